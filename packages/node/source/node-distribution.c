/* Distribution service: connects the distribution to the source, control bus and
 * membership. */
#include "node-services.h"
#include <foxtailrun/transport/bus.h>
#include <foxtailrun/wire/control.h>
#include <glib.h>
#include <sodium.h>

#define TICK_PERIOD (100 * FB_MILLISECOND)

/* If the last tick is older, fn_is_ready runs one first, to detect a pause of the process
 * before a call is accepted. */
#define TICK_OVERDUE (1 * FB_SECOND)

struct fn_distribution
{
  fk_kernel_t *kernel;
  fd_node_t *node;
  ft_bus_t *bus;
  fk_timer_t *tick_timer;
  fb_time_t last_tick;
  char *refusal;
};

static void
send_control (const fw_member_t *to, const fw_control_t *message, void *user)
{
  fn_distribution_t *distribution = user;
  size_t length;
  uint8_t *bytes = fw_encode_control (message, &length);

  ft_send (distribution->bus, &to->address, to->control_port, (fb_bytes_t){ bytes, length },
           (fb_bytes_t){ NULL, 0 });
  g_free (bytes);
}

static void
read_source (fb_position_t position, void *user)
{
  fn_distribution_t *distribution = user;

  fn_source_t *source = fk_find_service (distribution->kernel, FN_SOURCE);

  source->read (source, position);
}

static void
apply_snapshot (fc_snapshot_t *snapshot, const fb_version_t *version, void *user)
{
  fn_distribution_t *distribution = user;
  fn_membership_t *membership = fk_find_service (distribution->kernel, FN_MEMBERSHIP);
  char text[FB_VERSION_TEXT_MAX];

  fb_format_version (version, text, sizeof text);
  fm_set_version (fn_get_members (membership), version);
  /* This version supersedes the refused one. */
  g_clear_pointer (&distribution->refusal, g_free);
  FB_LOG (fk_get_log (distribution->kernel), FB_LOG_INFO, FN_DISTRIBUTION,
          "configuration in force", FB_TEXT ("version", text),
          FB_NUMBER ("routes", fc_count_routes (snapshot)));
  fn_update_backend_configuration (distribution->kernel);
}

static void
report_ready (bool ready, void *user)
{
  fn_distribution_t *distribution = user;

  FB_LOG (fk_get_log (distribution->kernel), FB_LOG_INFO, FN_DISTRIBUTION,
          ready ? "ready for calls" : "not ready for calls", FB_NUMBER ("ready", ready));
}

static void
report_refusal (const fb_version_t *version, const fc_problems_t *problems, void *user)
{
  fn_distribution_t *distribution = user;
  char text[FB_VERSION_TEXT_MAX];
  char *problem = NULL;

  fb_format_version (version, text, sizeof text);
  if (problems && fc_count_problems (problems) > 0)
    problem = fc_format_problem (fc_get_problem (problems, 0), text);
  g_free (distribution->refusal);
  distribution->refusal = problem ? problem : g_strdup (text);
  FB_LOG (fk_get_log (distribution->kernel), FB_LOG_WARNING, FN_DISTRIBUTION,
          "configuration refused", FB_TEXT ("version", text),
          FB_TEXT ("problem", distribution->refusal));
}

/* Lost messages need no handling: the distribution requests them again by timers. */
static void
receive_control (fb_bytes_t header, fb_bytes_t body, void *user)
{
  fn_distribution_t *distribution = user;
  fw_control_t message;

  if (fw_decode_control (header, &message) != FB_OK)
    {
      FB_LOG (fk_get_log (distribution->kernel), FB_LOG_WARNING, FN_DISTRIBUTION,
              "dropped a malformed control message", FB_NUMBER ("bytes", header.len));
      return;
    }
  fd_handle_message (distribution->node, &message);
  fw_clear_control (&message);
}

static void
tick_distribution (void *user)
{
  fn_distribution_t *distribution = user;

  distribution->last_tick = fb_read_clock (fk_get_clock (distribution->kernel));
  fd_tick (distribution->node);
}

static fb_status_t
start_distribution (fk_kernel_t *kernel, void *data)
{
  fn_distribution_t *distribution = data;
  const fc_settings_t *settings = fn_get_settings (kernel);

  if (fn_get_adapter (kernel)->source_lists_endpoints)
    fd_set_standalone (distribution->node);
  else
    {
      distribution->bus = ft_create_bus (kernel, "control", &settings->address,
                                         settings->control_port, receive_control, distribution);
      if (!distribution->bus)
        return FB_IO;
    }
  distribution->tick_timer
      = fk_create_timer (kernel, TICK_PERIOD, tick_distribution, distribution);
  tick_distribution (distribution);
  return FB_OK;
}

static void
stop_distribution (void *data)
{
  fn_distribution_t *distribution = data;

  fk_destroy_timer (distribution->tick_timer);
  ft_destroy_bus (distribution->bus);
  distribution->bus = NULL;
}

static void
destroy_distribution (void *data)
{
  fn_distribution_t *distribution = data;

  fd_destroy_node (distribution->node);
  g_free (distribution->refusal);
  g_free (distribution);
}

void
fn_register_distribution (fk_kernel_t *kernel)
{
  static const fk_service_t vtable
      = { start_distribution, stop_distribution, destroy_distribution };
  fn_distribution_t *distribution = g_new0 (fn_distribution_t, 1);
  fd_hooks_t hooks = { send_control, read_source,    apply_snapshot,
                       report_ready, report_refusal, distribution };

  distribution->kernel = kernel;
  distribution->node = fd_create_node (fn_get_members (fk_find_service (kernel, FN_MEMBERSHIP)),
                                       randombytes_random (), fk_get_clock (kernel),
                                       fk_get_counters (kernel), fk_get_log (kernel), &hooks);
  if (fn_get_adapter (kernel)->document_limits)
    fd_set_limits (distribution->node, fn_get_adapter (kernel)->document_limits);
  fk_register_service (kernel, FN_DISTRIBUTION, &vtable, distribution);
}

fc_snapshot_t *
fn_get_snapshot (fn_distribution_t *distribution)
{
  return fd_get_snapshot (distribution->node);
}

const fb_version_t *
fn_get_version (fn_distribution_t *distribution)
{
  return fd_get_version (distribution->node);
}

bool
fn_is_ready (fn_distribution_t *distribution)
{
  fb_time_t now = fb_read_clock (fk_get_clock (distribution->kernel));

  if (now - distribution->last_tick > TICK_OVERDUE)
    tick_distribution (distribution);
  return fd_is_ready (distribution->node);
}

bool
fn_is_reader (fn_distribution_t *distribution)
{
  return fd_is_reader (distribution->node);
}

const char *
fn_get_refusal (fn_distribution_t *distribution)
{
  return distribution->refusal;
}

bool
fn_finish_source_read (fk_kernel_t *kernel, fb_status_t status, fb_position_t position,
                       fb_bytes_t document)
{
  fn_distribution_t *distribution = fk_find_service (kernel, FN_DISTRIBUTION);

  return fd_handle_source_result (distribution->node, status, position, document);
}

void
fn_handle_summary (fn_distribution_t *distribution, const fw_member_t *sender,
                   const fb_version_t *version)
{
  fd_handle_summary (distribution->node, sender, version);
}

void
fn_handle_divergence (fn_distribution_t *distribution, const fw_member_t *peer)
{
  fd_handle_divergence (distribution->node, peer);
}
