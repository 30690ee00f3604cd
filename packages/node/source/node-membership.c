/* Membership service: gossip over UDP, and the drain when a host list marks this host as
 * leaving. */
#include "node-services.h"
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/node/node.h>
#include <foxtailrun/transport/udp.h>
#include <glib.h>
#include <sodium.h>

#define WATCHERS_MAX 4

/* Same as in the distribution: one wake-up of the process serves both. */
#define TICK_PERIOD (100 * FB_MILLISECOND)

/* Interval at which the seeds are pinged until another member is known. */
#define SEED_PERIOD (1 * FB_SECOND)

typedef struct
{
  fn_member_changed_fn_t changed;
  void *user;
} watcher_t;

struct fn_membership
{
  fk_kernel_t *kernel;
  fm_table_t *table;
  ft_udp_t *udp;
  fk_timer_t *tick_timer;
  fk_timer_t *seed_timer;
  fk_timer_t *drain_timer; /* set once the host list has marked this host as leaving */
  watcher_t watchers[WATCHERS_MAX];
  size_t watcher_count;
};

static void
send_datagram (const fb_name_t *address, uint16_t port, fb_bytes_t datagram, void *user)
{
  fn_membership_t *membership = user;

  if (membership->udp)
    ft_send_datagram (membership->udp, address, port, datagram);
}

static void
report_change (const fw_member_t *member, const fw_member_t *previous, void *user)
{
  fn_membership_t *membership = user;

  if (!previous || previous->state != member->state
      || previous->incarnation != member->incarnation)
    FB_LOG (fk_get_log (membership->kernel), FB_LOG_INFO, FN_MEMBERSHIP, "member changed",
            FB_TEXT ("id", member->id.data),
            FB_TEXT ("state", fw_describe_state (member->state)),
            FB_TEXT ("zone", member->zone.data));
  for (size_t i = 0; i < membership->watcher_count; i++)
    membership->watchers[i].changed (member, membership->watchers[i].user);
}

static void
receive_summary (const fw_member_t *sender, const fb_version_t *version, void *user)
{
  fn_membership_t *membership = user;

  fn_handle_summary (fk_find_service (membership->kernel, FN_DISTRIBUTION), sender, version);
}

static void
begin_drain (void *user)
{
  fn_membership_t *membership = user;

  FB_LOG (fk_get_log (membership->kernel), FB_LOG_INFO, FN_MEMBERSHIP,
          "the host list marks this host as leaving",
          FB_TEXT ("id", fn_get_settings (membership->kernel)->id.data));
  fn_begin_drain (membership->kernel);
}

static void
report_divergence (const fw_member_t *peer, void *user)
{
  fn_membership_t *membership = user;

  fn_handle_divergence (fk_find_service (membership->kernel, FN_DISTRIBUTION), peer);
}

static void
schedule_drain (void *user)
{
  fn_membership_t *membership = user;

  /* The drain changes the member table, not allowed in a hook: deferred to the next turn. */
  if (!membership->drain_timer)
    membership->drain_timer
        = fk_create_timeout (membership->kernel, 0, begin_drain, membership);
}

static void
receive_datagram (fb_bytes_t datagram, void *user)
{
  fn_membership_t *membership = user;

  if (fm_handle_datagram (membership->table, datagram) != FB_OK)
    FB_LOG (fk_get_log (membership->kernel), FB_LOG_WARNING, FN_MEMBERSHIP,
            "dropped a malformed datagram", FB_NUMBER ("bytes", datagram.len));
}

static void
tick_membership (void *user)
{
  fm_tick (((fn_membership_t *)user)->table);
}

static void
probe_seeds (void *user)
{
  fn_membership_t *membership = user;
  const fc_settings_t *settings = fn_get_settings (membership->kernel);

  if (fm_count_members (membership->table, FW_ALIVE) > 1)
    return;
  for (size_t i = 0; i < settings->seed_count; i++)
    fm_probe_address (membership->table, &settings->seeds[i].address, settings->seeds[i].port);
}

static fb_status_t
start_membership (fk_kernel_t *kernel, void *data)
{
  fn_membership_t *membership = data;
  const fc_settings_t *settings = fn_get_settings (kernel);

  if (fn_get_adapter (kernel)->source_lists_endpoints)
    return FB_OK;
  membership->udp = ft_create_udp (kernel, &settings->address, settings->control_port,
                                   receive_datagram, membership);
  if (!membership->udp)
    return FB_IO;
  membership->tick_timer = fk_create_timer (kernel, TICK_PERIOD, tick_membership, membership);
  membership->seed_timer = fk_create_timer (kernel, SEED_PERIOD, probe_seeds, membership);
  probe_seeds (membership);
  return FB_OK;
}

static void
stop_membership (void *data)
{
  fn_membership_t *membership = data;

  fk_destroy_timer (membership->tick_timer);
  fk_destroy_timer (membership->seed_timer);
  fk_destroy_timer (membership->drain_timer);
  ft_destroy_udp (membership->udp);
  membership->udp = NULL;
}

static void
destroy_membership (void *data)
{
  fn_membership_t *membership = data;

  fm_destroy_table (membership->table);
  g_free (membership);
}

static fw_member_t
describe_self (const fc_settings_t *settings)
{
  return (fw_member_t){ .id = settings->id,
                        .incarnation = (uint64_t)(g_get_real_time () / 1000),
                        .state = FW_ALIVE,
                        .address = settings->address,
                        .control_port = settings->control_port,
                        .call_port = settings->call_port,
                        .admin_port = settings->admin_port,
                        .zone = settings->zone,
                        .region = settings->region,
                        .service = settings->service };
}

void
fn_register_membership (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { start_membership, stop_membership, destroy_membership };
  fn_membership_t *membership = g_new0 (fn_membership_t, 1);
  fw_member_t self = describe_self (fn_get_settings (kernel));
  fm_options_t options = fm_get_default_options ();
  fm_hooks_t hooks = { .send = send_datagram,
                       .changed = report_change,
                       .summary_received = receive_summary,
                       .diverged = report_divergence,
                       .leave_requested = schedule_drain,
                       .user = membership };

  membership->kernel = kernel;
  membership->table = fm_create_table (&self, &options, randombytes_random (),
                                       fk_get_clock (kernel), fk_get_counters (kernel), &hooks);
  fk_register_service (kernel, FN_MEMBERSHIP, &vtable, membership);
}

fm_table_t *
fn_get_members (fn_membership_t *membership)
{
  return membership->table;
}

void
fn_watch_members (fn_membership_t *membership, fn_member_changed_fn_t changed, void *user)
{
  FB_INVARIANT (membership->watcher_count < WATCHERS_MAX);
  membership->watchers[membership->watcher_count++] = (watcher_t){ changed, user };
}
