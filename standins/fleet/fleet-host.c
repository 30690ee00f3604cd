/* Process of a host: hooks of its node, start, end, pause and invariants. */
#include "fleet-state.h"
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/config/delta.h>
#include <string.h>

#define HOST_LIST_INTERVAL (30 * FB_SECOND)
#define STEPS_PER_TICK 10

static void
send_datagram (const fb_name_t *address, uint16_t port, fb_bytes_t datagram, void *user)
{
  sf_transmit (user, port, SF_DATAGRAM, datagram);
}

static void
handle_version (const fw_member_t *sender, const fb_version_t *version, void *user)
{
  sf_host_t *host = user;

  if (host->node != NULL)
    fd_handle_summary (host->node, sender, version);
}

static void
handle_divergence (const fw_member_t *peer, void *user)
{
  sf_host_t *host = user;

  if (host->node != NULL)
    fd_handle_divergence (host->node, peer);
}

static uint8_t *
corrupt_document (sf_host_t *host, fw_control_t *message)
{
  fb_bytes_t document = fc_get_document (fd_get_snapshot (host->node));
  uint8_t *changed;
  uint8_t *frame;

  if (g_rand_boolean (host->fleet->random))
    {
      message->version.number++;
      return NULL;
    }
  changed = g_memdup2 (document.data, document.len);
  changed[document.len - 2]++; /* the last digit: "retries = 1" becomes 2 */
  memset (&message->base_digest, 0, sizeof message->base_digest);
  frame = fc_encode_delta ((fb_bytes_t){ NULL, 0 }, (fb_bytes_t){ changed, document.len },
                           &message->payload.len);
  message->payload.data = frame;
  g_free (changed);
  return frame;
}

static void
send_control (const fw_member_t *to, const fw_control_t *message, void *user)
{
  sf_host_t *host = user;
  fw_control_t outgoing = *message;
  uint8_t *payload = NULL;
  uint8_t *bytes;
  size_t length;

  /* Guards against readiness too early: calls would run with an outdated configuration. */
  if (message->kind == FW_SUMMARY && message->ready)
    FB_INVARIANT (host->ready && fd_is_ready (host->node));
  if (message->kind == FW_DOCUMENT && message->payload.len > 0
      && g_rand_double (host->fleet->random) < host->fleet->link.corruption)
    payload = corrupt_document (host, &outgoing);
  bytes = fw_encode_control (&outgoing, &length);
  sf_transmit (host, to->control_port, SF_CONTROL, (fb_bytes_t){ bytes, length });
  g_free (bytes);
  g_free (payload);
}

static void
read_source (fb_position_t position, void *user)
{
  sf_host_t *host = user;
  sf_event_t *event = sf_schedule_event (host, SF_SOURCE_READ, (fb_bytes_t){ NULL, 0 });

  FB_INVARIANT (!host->watch.waiting);
  event->index = position.revision;
  host->watch.requested_at = fb_read_clock (host->fleet->clock);
  host->source_calls++;
  host->fleet->source.calls++;
}

char *
sf_format_digest (const fb_digest_t *digest)
{
  char *text = g_malloc (FB_DIGEST_HEX_LEN + 1);

  fb_format_digest (digest, text);
  return text;
}

static bool
contains_digest (GHashTable *table, const fb_digest_t *digest)
{
  char *text = sf_format_digest (digest);
  bool listed = g_hash_table_contains (table, text);

  g_free (text);
  return listed;
}

static void
apply_snapshot (fc_snapshot_t *snapshot, const fb_version_t *version, void *user)
{
  sf_host_t *host = user;
  fb_digest_t digest = fb_compute_digest (fc_get_document (snapshot));

  FB_INVARIANT (fb_compare_digests (&digest, &version->digest) == 0);
  FB_INVARIANT (fc_get_version_number (snapshot) == version->number);
  FB_INVARIANT (contains_digest (host->fleet->valid, &digest));
  FB_INVARIANT (fb_compare_versions (version, &host->last_version) > 0);
  host->applied_at = fb_read_clock (host->fleet->clock);
}

static void
set_ready (bool ready, void *user)
{
  sf_host_t *host = user;
  fb_time_t join_time = fb_read_clock (host->fleet->clock) - host->join_started_at;

  FB_INVARIANT (ready != host->ready);
  host->ready = ready;
  if (!ready)
    return;
  FB_INVARIANT (fd_get_snapshot (host->node) != NULL);
  FB_INVARIANT (host->summaries_received + host->source_values > 0);
  if (join_time < 3 * FB_SECOND)
    FB_INVARIANT (host->summaries_received > 0 && host->source_values > 0);
}

static void
record_refusal (const fb_version_t *version, const fc_problems_t *problems, void *user)
{
  sf_host_t *host = user;

  FB_INVARIANT (fc_count_problems (problems) > 0);
  FB_INVARIANT (!contains_digest (host->fleet->valid, &version->digest));
  g_hash_table_add (host->fleet->refused, sf_format_digest (&version->digest));
}

void
sf_start_host (sf_fleet_t *fleet, size_t index)
{
  sf_host_t *host = &fleet->hosts[index];
  fb_time_t now = fb_read_clock (fleet->clock);
  fm_options_t options = fm_get_default_options ();
  fm_hooks_t member_hooks = { .send = send_datagram,
                              .summary_received = handle_version,
                              .diverged = handle_divergence,
                              .user = host };
  fd_hooks_t hooks
      = { send_control, read_source, apply_snapshot, set_ready, record_refusal, host };

  g_assert_null (host->table);
  host->start_count++;
  host->self.incarnation = (uint64_t)(now / FB_MILLISECOND) + 1;
  host->self.state = FW_ALIVE;
  host->counters = fb_create_counters ();
  host->table = fm_create_table (&host->self, &options, g_rand_int (fleet->random),
                                 fleet->clock, host->counters, &member_hooks);
  host->node = fd_create_node (host->table, g_rand_int (fleet->random), fleet->clock,
                               host->counters, NULL, &hooks);
  memset (&host->last_version, 0, sizeof host->last_version);
  memset (&host->watch, 0, sizeof host->watch);
  host->started_at = now;
  host->join_started_at = now;
  host->next_host_list_read_at = now;
  host->summaries_received = host->source_values = host->source_calls = 0;
  host->ready = host->paused = false;
}

static void
add_total (const char *name, const char *labels, uint64_t value, void *user)
{
  fb_add_counter (fb_find_counter (user, name, labels), value);
}

void
sf_kill_host (sf_fleet_t *fleet, size_t index)
{
  sf_host_t *host = &fleet->hosts[index];

  g_queue_clear_full (&host->inbox, sf_free_event);
  if (host->counters != NULL)
    fb_visit_counters (host->counters, add_total, fleet->totals);
  fd_destroy_node (host->node);
  fm_destroy_table (host->table);
  fb_destroy_counters (host->counters);
  host->node = NULL;
  host->table = NULL;
  host->counters = NULL;
  host->paused = false;
}

void
sf_pause_host (sf_fleet_t *fleet, size_t index)
{
  fleet->hosts[index].paused = true;
}

void
sf_resume_host (sf_fleet_t *fleet, size_t index)
{
  sf_host_t *host = &fleet->hosts[index];
  sf_event_t *event;

  host->paused = false;
  if (fd_is_ready (host->node) != host->ready)
    {
      host->join_started_at = fb_read_clock (fleet->clock);
      host->summaries_received = host->source_values = 0;
    }
  while ((event = g_queue_pop_head (&host->inbox)) != NULL)
    {
      sf_deliver_event (host, event);
      sf_free_event (event);
    }
}

static void
probe_listed_hosts (sf_host_t *host)
{
  sf_fleet_t *fleet = host->fleet;
  bool isolated = fm_count_members (host->table, FW_ALIVE) == 1;
  size_t count = fd_is_reader (host->node) ? fleet->count : 3;

  if (!isolated && !fd_is_reader (host->node))
    return;
  for (size_t i = 0; i < count; i++)
    {
      const fw_member_t *other = &fleet->hosts[i].self;
      const fw_member_t *known = fm_find_member (host->table, &other->id);

      if (i != host->index && (known == NULL || known->state == FW_DEAD))
        fm_probe_address (host->table, &other->address, other->control_port);
    }
  host->next_host_list_read_at
      = fb_read_clock (fleet->clock) + (isolated ? FB_SECOND : HOST_LIST_INTERVAL);
}

static void
check_host (sf_host_t *host)
{
  const fb_version_t *version = fd_get_version (host->node);
  fc_snapshot_t *snapshot = fd_get_snapshot (host->node);
  fb_time_t age = fb_read_clock (host->fleet->clock) - host->started_at;

  FB_INVARIANT (fb_compare_versions (version, &host->last_version) >= 0);
  FB_INVARIANT ((snapshot == NULL) == (version->number == 0));
  if (snapshot != NULL)
    FB_INVARIANT (fc_get_version_number (snapshot) == version->number);
  FB_INVARIANT (!fd_is_ready (host->node) || host->ready);
  FB_INVARIANT (host->source_calls <= 3 + (uint64_t)(age / FB_SECOND) + 1);
  host->last_version = *version;
}

void
sf_run_host (sf_host_t *host, uint64_t step)
{
  sf_source_t *source = &host->fleet->source;
  fb_time_t now = fb_read_clock (host->fleet->clock);

  if (host->watch.waiting && (source->down || now >= host->watch.deadline))
    sf_answer_read (host, source->down ? FB_UNAVAILABLE : FB_TIMEOUT);
  if (host->paused)
    return;
  if (step % STEPS_PER_TICK == host->index % STEPS_PER_TICK)
    {
      fm_tick (host->table);
      fd_tick (host->node);
      if (now >= host->next_host_list_read_at)
        probe_listed_hosts (host);
    }
  check_host (host);
}
