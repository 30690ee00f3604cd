/* Creation, ticks, announcements and queries of the membership table. */
#include "member-table.h"
#include <foxtailrun/base/invariant.h>

/* A longer interval between two ticks means that the process was paused. */
#define PAUSE_THRESHOLD (2 * FB_SECOND)

/* Number of members to which a new version is announced at once. */
#define ANNOUNCE_SAME_ZONE_COUNT 2
#define ANNOUNCE_COUNT 4

static void
find_counters (fm_table_t *table, fb_counters_t *registry)
{
  static const char *const states[]
      = { "state=\"alive\"", "state=\"suspect\"", "state=\"leaving\"", "state=\"dead\"" };
  fm_counters_t *counters = &table->counters;

  counters->received = fb_find_counter (registry, "member_datagrams_received_total", "");
  counters->received_bytes = fb_find_counter (registry, "member_received_bytes_total", "");
  counters->sent = fb_find_counter (registry, "member_datagrams_sent_total", "");
  counters->sent_bytes = fb_find_counter (registry, "member_sent_bytes_total", "");
  counters->malformed = fb_find_counter (registry, "member_malformed_total", "");
  counters->refused = fb_find_counter (registry, "member_refused_updates_total", "");
  counters->probes_failed = fb_find_counter (registry, "member_failed_probes_total", "");
  counters->suspicions = fb_find_counter (registry, "member_suspicions_total", "");
  counters->deaths = fb_find_counter (registry, "member_deaths_total", "");
  counters->refutations = fb_find_counter (registry, "member_refutations_total", "");
  counters->conflicts = fb_find_counter (registry, "member_id_conflicts_total", "");
  counters->pauses = fb_find_counter (registry, "member_pauses_total", "");
  counters->divergences = fb_find_counter (registry, "member_divergences_total", "");
  counters->health = fb_find_counter (registry, "member_health", "");
  for (size_t i = 0; i <= FW_DEAD; i++)
    counters->states[i] = fb_find_counter (registry, "members", states[i]);
}

/* Restarts probes and suspicions after a pause of GAP without datagrams, and extends the
 * retention of dead members by GAP. */
static void
resume_after_pause (fm_table_t *table, fb_time_t now, fb_time_t gap)
{
  fb_add_counter (table->counters.pauses, 1);
  fm_reset_probes (table, now);
  for (guint i = 0; i < table->timed->len; i++)
    {
      fm_entry_t *entry = g_ptr_array_index (table->timed, i);
      entry->deadline = entry->member.state == FW_DEAD ? entry->deadline + gap
                                                       : now + fm_get_suspicion_timeout (table);
    }
}

typedef enum
{
  SAME_ZONE,
  OTHER_ZONE,
  OTHER_REGION,
  ANYWHERE
} placement_t;

static bool
matches_placement (const fw_member_t *self, const fw_member_t *member, placement_t placement)
{
  bool region = fb_equal_name (&self->region, &member->region);
  bool zone = region && fb_equal_name (&self->zone, &member->zone);

  switch (placement)
    {
    case SAME_ZONE:
      return zone;
    case OTHER_ZONE:
      return region && !zone;
    case OTHER_REGION:
      return !region;
    case ANYWHERE:
      return true;
    }
  return false;
}

/* Sends the version to up to LIMIT members in PLACEMENT not among the COUNT of CHOSEN, and
 * appends them to it; returns the new count. Starts at a random member. */
static size_t
announce_to (fm_table_t *table, placement_t placement, size_t limit, const fm_entry_t **chosen,
             size_t count)
{
  guint members = table->probe_order->len;
  guint start = (guint)g_rand_int_range (table->random, 0, (gint32)members);
  size_t initial_count = count;

  for (guint i = 0; i < members && count - initial_count < limit; i++)
    {
      const fm_entry_t *entry = g_ptr_array_index (table->probe_order, (start + i) % members);
      bool skip = !matches_placement (&table->self->member, &entry->member, placement);
      for (size_t j = 0; j < count; j++)
        skip = skip || chosen[j] == entry;
      if (skip)
        continue;
      chosen[count++] = entry;
      fm_send_gossip (table, entry, NULL);
    }
  return count;
}

fm_options_t
fm_get_default_options (void)
{
  return (fm_options_t){
    .probe_period = FB_SECOND,
    .ack_timeout = 300 * FB_MILLISECOND,
    .suspect_timeout = 4 * FB_SECOND,
    .gossip_period = 100 * FB_MILLISECOND,
    .dead_retention = 60 * FB_SECOND,
    .indirect_probes = 3,
    .gossip_fanout = 3,
    .health_multiplier_max = 4,
  };
}

fm_table_t *
fm_create_table (const fw_member_t *self, const fm_options_t *options, uint32_t seed,
                 const fb_clock_t *clock, fb_counters_t *counters, const fm_hooks_t *hooks)
{
  fm_table_t *table = g_new0 (fm_table_t, 1);
  fb_time_t now = fb_read_clock (clock);

  FB_INVARIANT (self->id.len > 0 && self->state == FW_ALIVE);
  FB_INVARIANT (self->incarnation <= FM_INCARNATION_MAX);
  FB_INVARIANT (hooks->send);
  table->options = options ? *options : fm_get_default_options ();
  table->hooks = *hooks;
  table->clock = clock;
  table->random = g_rand_new_with_seed (seed);
  table->sequence = g_rand_int (table->random);
  table->digest_matched_at = now;
  table->last_tick = now;
  /* A random offset keeps nodes that start together from probing at the same time. */
  table->next_probe_at
      = now + (fb_time_t)(g_rand_double (table->random) * table->options.probe_period);
  table->next_dead_probe_at = table->next_probe_at;
  find_counters (table, counters);
  fm_create_indexes (table);
  fm_queue_entry (table, fm_insert_entry (table, self));
  return table;
}

void
fm_destroy_table (fm_table_t *table)
{
  if (!table)
    return;
  fm_destroy_indexes (table);
  g_rand_free (table->random);
  g_free (table);
}

void
fm_tick (fm_table_t *table)
{
  fb_time_t now = fb_read_clock (table->clock);
  fb_time_t gap = now - table->last_tick;

  table->last_tick = now;
  if (gap > PAUSE_THRESHOLD)
    resume_after_pause (table, now, gap);
  fm_run_probes (table, now);
  /* Without the tolerance, a timer that fires early would skip a round. */
  if (now < table->next_gossip_at - table->options.gossip_period / 4)
    return;
  table->next_gossip_at = MAX (table->next_gossip_at, now) + table->options.gossip_period;
  fm_run_deadlines (table, now);
  fm_run_gossip (table);
}

void
fm_probe_address (fm_table_t *table, const fb_name_t *address, uint16_t port)
{
  const fw_member_t *self = &table->self->member;

  if (fb_equal_name (address, &self->address) && port == self->control_port)
    return;
  fm_send_datagram (table, FW_PING, ++table->sequence, address, port, NULL, NULL);
}

void
fm_merge_members (fm_table_t *table, const fw_member_t *members, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const fw_member_t *member = &members[i];
      if (member->incarnation > 0)
        fm_apply_update (table, member, FM_SOURCE_LIST, NULL);
      else if (!fm_find_entry (table, &member->id) && member->address.len > 0)
        fm_probe_address (table, &member->address, member->control_port);
    }
}

void
fm_set_version (fm_table_t *table, const fb_version_t *version)
{
  table->version = *version;
}

void
fm_announce_version (fm_table_t *table)
{
  const fm_entry_t *chosen[ANNOUNCE_COUNT];
  size_t count = 0;

  if (table->probe_order->len == 0)
    return;
  count = announce_to (table, SAME_ZONE, ANNOUNCE_SAME_ZONE_COUNT, chosen, count);
  count = announce_to (table, OTHER_ZONE, 1, chosen, count);
  count = announce_to (table, OTHER_REGION, 1, chosen, count);
  announce_to (table, ANYWHERE, ANNOUNCE_COUNT - count, chosen, count);
}

void
fm_announce_leaving (fm_table_t *table)
{
  const fw_member_t *self = &table->self->member;

  if (self->state == FW_LEAVING)
    return;
  fm_change_self (table, self->incarnation, FW_LEAVING);
  fm_run_gossip (table);
}

void
fm_raise_incarnation (fm_table_t *table)
{
  const fw_member_t *self = &table->self->member;

  if (self->incarnation < FM_INCARNATION_MAX)
    fm_change_self (table, self->incarnation + 1, self->state);
}

const fw_member_t *
fm_get_self (const fm_table_t *table)
{
  return &table->self->member;
}

const fw_member_t *
fm_find_member (const fm_table_t *table, const fb_name_t *id)
{
  const fm_entry_t *entry = fm_find_entry (table, id);

  return entry ? &entry->member : NULL;
}

size_t
fm_count_members (const fm_table_t *table, fw_member_state_t state)
{
  return table->state_counts[state];
}

uint64_t
fm_digest_members (const fm_table_t *table)
{
  return table->digest;
}

void
fm_visit_members (const fm_table_t *table, fm_visit_fn_t visit, void *user)
{
  for (guint i = 0; i < table->sorted->len; i++)
    {
      const fm_entry_t *entry = g_ptr_array_index (table->sorted, i);
      if (!visit (&entry->member, user))
        return;
    }
}

void
fm_visit_service (const fm_table_t *table, fb_str_t service, fm_visit_fn_t visit, void *user)
{
  const fm_service_t *found;
  fb_name_t name;

  if (!fb_set_name (&name, service))
    return;
  found = g_hash_table_lookup (table->services, &name);
  for (guint i = 0; found && i < found->entries->len; i++)
    {
      const fm_entry_t *entry = g_ptr_array_index (found->entries, i);
      FB_INVARIANT (entry->member.state <= FW_SUSPECT);
      if (!visit (&entry->member, user))
        return;
    }
}
