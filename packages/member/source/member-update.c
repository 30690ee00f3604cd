/* Rules for applying updates to the table. */
#include "member-table.h"
#include <foxtailrun/base/invariant.h>
#include <string.h>

static void
report_change (fm_table_t *table, const fm_entry_t *entry, const fw_member_t *previous)
{
  if (table->hooks.changed)
    table->hooks.changed (&entry->member, previous, table->hooks.user);
}

/* Sets the deadline of the state of ENTRY, and counts suspicions and deaths. */
static void
record_state (fm_table_t *table, fm_entry_t *entry)
{
  fb_time_t now = fb_read_clock (table->clock);

  if (entry->member.state == FW_SUSPECT)
    {
      fm_set_deadline (table, entry, now + fm_get_suspicion_timeout (table));
      fb_add_counter (table->counters.suspicions, 1);
    }
  else if (entry->member.state == FW_DEAD)
    {
      fm_set_deadline (table, entry, now + table->options.dead_retention);
      fb_add_counter (table->counters.deaths, 1);
    }
  else
    fm_set_deadline (table, entry, 0);
}

static void
update_entry (fm_table_t *table, fm_entry_t *entry, const fw_member_t *member)
{
  fw_member_t previous = entry->member;

  fm_replace_entry (table, entry, member);
  record_state (table, entry);
  fm_queue_entry (table, entry);
  report_change (table, entry, &previous);
}

/* Shortest time between two refutations of another process with this node's id; otherwise
 * the two would refute each other endlessly and load the entire fleet. */
#define CONFLICT_REFUTATION_INTERVAL FB_SECOND

void
fm_request_leaving (fm_table_t *table)
{
  if (table->self->member.state == FW_ALIVE && table->hooks.leave_requested)
    table->hooks.leave_requested (table->hooks.user);
}

void
fm_mark_leaving (fm_table_t *table, const fb_name_t *id)
{
  fm_entry_t *entry = fm_find_entry (table, id);
  fw_member_t next;

  if (!entry || entry->member.state == FW_LEAVING || entry->member.state == FW_DEAD)
    return;
  if (entry == table->self)
    {
      fm_request_leaving (table);
      return;
    }
  next = entry->member;
  next.state = FW_LEAVING;
  update_entry (table, entry, &next);
}

/* Handles an update about this node: refutes it with an incarnation above that of UPDATE, or
 * calls the leave hook. */
static void
refute_update (fm_table_t *table, const fw_member_t *update)
{
  const fw_member_t *self = &table->self->member;
  fb_time_t now = fb_read_clock (table->clock);

  if (!fw_overrides (update, self))
    return;
  /* Not announced by this process: another node read it in the host list (see
   * fm_mark_leaving). */
  if (update->state == FW_LEAVING && update->incarnation == self->incarnation)
    {
      fm_request_leaving (table);
      return;
    }
  if (update->state == FW_ALIVE || update->state == FW_LEAVING)
    {
      fb_add_counter (table->counters.conflicts, 1);
      if (now < table->next_conflict_refutation_at)
        return;
      table->next_conflict_refutation_at = now + CONFLICT_REFUTATION_INTERVAL;
    }
  if (update->incarnation >= FM_INCARNATION_MAX)
    {
      fb_add_counter (table->counters.refused, 1);
      return;
    }
  fb_add_counter (table->counters.refutations, 1);
  fm_change_self (table, update->incarnation + 1, self->state);
}

static void
add_member (fm_table_t *table, const fw_member_t *update, fm_source_t source)
{
  fm_entry_t *entry;

  /* Tables that added unknown dead members would send the same death to each other forever. */
  if (update->state == FW_DEAD)
    return;
  if (update->address.len == 0 || update->control_port == 0
      || g_hash_table_size (table->by_id) >= FM_MEMBERS_MAX)
    {
      fb_add_counter (table->counters.refused, 1);
      return;
    }
  entry = fm_insert_entry (table, update);
  record_state (table, entry);
  /* Other members already know the entries of a peer's list. */
  if (source != FM_SOURCE_LIST)
    fm_queue_entry (table, entry);
  report_change (table, entry, NULL);
}

/* Restricts UPDATE, a suspicion or death of a member alive here under the same incarnation,
 * to what SOURCE permits; false when it must not be applied. */
static bool
restrict_suspicion_or_death (fm_table_t *table, fm_entry_t *entry, fw_member_t *update,
                             fm_source_t source)
{
  /* After a partition, lists of the other side declare this side dead: probe instead. */
  if (source == FM_SOURCE_LIST)
    {
      fm_set_next_probe_target (table, entry);
      return false;
    }
  /* Without a suspicion first, the member would have no time to refute its death. */
  if (source == FM_SOURCE_GOSSIP)
    update->state = FW_SUSPECT;
  return true;
}

void
fm_add_priority_update (fm_priority_updates_t *priority, const fm_entry_t *entry)
{
  if (priority->count < FM_PRIORITY_UPDATES_MAX)
    priority->entries[priority->count++] = entry;
}

fb_time_t
fm_get_suspicion_timeout (const fm_table_t *table)
{
  return table->options.suspect_timeout * (table->health_score + 1);
}

void
fm_apply_update (fm_table_t *table, const fw_member_t *update, fm_source_t source,
                 fm_priority_updates_t *priority)
{
  fw_member_t next = *update;
  fm_entry_t *entry;

  if (update->incarnation > FM_INCARNATION_MAX)
    {
      fb_add_counter (table->counters.refused, 1);
      return;
    }
  entry = fm_find_entry (table, &update->id);
  if (entry == table->self)
    {
      refute_update (table, update);
      return;
    }
  if (!entry)
    {
      add_member (table, update, source);
      return;
    }
  if (!fw_overrides (update, &entry->member))
    {
      if (priority && (update->state == FW_SUSPECT || update->state == FW_DEAD)
          && fw_overrides (&entry->member, update))
        fm_add_priority_update (priority, entry);
      return;
    }
  if (update->incarnation == entry->member.incarnation)
    {
      /* The description of a member is constant within an incarnation. */
      next = entry->member;
      next.state = update->state;
      if (entry->member.state == FW_ALIVE && next.state != FW_LEAVING
          && !restrict_suspicion_or_death (table, entry, &next, source))
        return;
    }
  else if (update->address.len == 0 || update->control_port == 0)
    {
      fb_add_counter (table->counters.refused, 1);
      return;
    }
  update_entry (table, entry, &next);
}

void
fm_suspect_entry (fm_table_t *table, fm_entry_t *entry)
{
  fw_member_t next = entry->member;
  fm_priority_updates_t priority = { 0 };

  /* A leaving member keeps its state while it is suspected. */
  if (next.state == FW_LEAVING && entry->deadline == 0)
    fm_set_deadline (table, entry,
                     fb_read_clock (table->clock) + fm_get_suspicion_timeout (table));
  if (next.state != FW_ALIVE)
    return;
  next.state = FW_SUSPECT;
  update_entry (table, entry, &next);
  fm_add_priority_update (&priority, entry);
  fm_send_gossip (table, entry, &priority);
}

void
fm_change_self (fm_table_t *table, uint64_t incarnation, fw_member_state_t state)
{
  fw_member_t next = table->self->member;

  FB_INVARIANT (state == FW_ALIVE || state == FW_LEAVING);
  FB_INVARIANT (state >= next.state);
  next.incarnation = incarnation;
  next.state = state;
  update_entry (table, table->self, &next);
}

void
fm_run_deadlines (fm_table_t *table, fb_time_t now)
{
  for (guint i = table->timed->len; i > 0; i--)
    {
      fm_entry_t *entry = g_ptr_array_index (table->timed, i - 1);
      fw_member_t next = entry->member;

      if (entry->deadline > now)
        continue;
      if (entry->member.state == FW_DEAD)
        {
          fm_remove_entry (table, entry);
          continue;
        }
      next.state = FW_DEAD;
      update_entry (table, entry, &next);
    }
}
