/* Indexes of the entries by id, probe order, service and deadline, with digest and counts. */
#include "member-table.h"
#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/invariant.h>
#include <string.h>

static void
destroy_service (gpointer data)
{
  fm_service_t *service = data;

  g_ptr_array_free (service->entries, TRUE);
  g_free (service);
}

static uint64_t
compute_entry_digest (const fw_member_t *member)
{
  if (member->state == FW_DEAD)
    return 0;
  return fb_hash_str (fb_get_name (&member->id),
                      member->incarnation * (FW_DEAD + 1) + (uint64_t)member->state);
}

static guint
find_sorted_position (const fm_table_t *table, const fb_name_t *id)
{
  guint low = 0;
  guint high = table->sorted->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const fm_entry_t *entry = g_ptr_array_index (table->sorted, middle);
      if (fb_compare_names (&entry->member.id, id) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
set_order_index (fm_table_t *table, guint index, fm_entry_t *entry)
{
  table->probe_order->pdata[index] = entry;
  entry->list_index = index;
}

static void
swap_in_order (fm_table_t *table, guint a, guint b)
{
  fm_entry_t *first = g_ptr_array_index (table->probe_order, a);
  fm_entry_t *second = g_ptr_array_index (table->probe_order, b);

  set_order_index (table, a, second);
  set_order_index (table, b, first);
}

/* Adds ENTRY at a random position among the members not yet probed in this round. */
static void
add_to_order (fm_table_t *table, fm_entry_t *entry)
{
  guint last = table->probe_order->len;

  g_ptr_array_add (table->probe_order, entry);
  entry->list_index = last;
  swap_in_order (
      table, last,
      (guint)g_rand_int_range (table->random, (gint32)table->probe_cursor, (gint32)last + 1));
}

static void
remove_from_order (fm_table_t *table, fm_entry_t *entry)
{
  if (entry->list_index < table->probe_cursor)
    {
      table->probe_cursor--;
      swap_in_order (table, entry->list_index, table->probe_cursor);
    }
  swap_in_order (table, entry->list_index, table->probe_order->len - 1);
  g_ptr_array_set_size (table->probe_order, (gint)table->probe_order->len - 1);
}

static void
add_to_state_list (fm_table_t *table, fm_entry_t *entry)
{
  if (entry == table->self)
    return;
  if (entry->member.state != FW_DEAD)
    {
      add_to_order (table, entry);
      return;
    }
  entry->list_index = table->dead->len;
  g_ptr_array_add (table->dead, entry);
}

static void
remove_from_state_list (fm_table_t *table, fm_entry_t *entry)
{
  if (entry == table->self)
    return;
  if (entry->member.state != FW_DEAD)
    {
      remove_from_order (table, entry);
      return;
    }
  FB_INVARIANT (g_ptr_array_index (table->dead, entry->list_index) == entry);
  g_ptr_array_remove_index_fast (table->dead, entry->list_index);
  if (entry->list_index < table->dead->len)
    ((fm_entry_t *)g_ptr_array_index (table->dead, entry->list_index))->list_index
        = entry->list_index;
}

static void
remove_from_service (fm_table_t *table, fm_entry_t *entry)
{
  fm_service_t *service = entry->service;

  if (!service)
    return;
  FB_INVARIANT (g_ptr_array_index (service->entries, entry->service_index) == entry);
  g_ptr_array_remove_index_fast (service->entries, entry->service_index);
  if (entry->service_index < service->entries->len)
    ((fm_entry_t *)g_ptr_array_index (service->entries, entry->service_index))->service_index
        = entry->service_index;
  entry->service = NULL;
  if (service->entries->len == 0)
    g_hash_table_remove (table->services, &service->name);
}

static void
add_to_service (fm_table_t *table, fm_entry_t *entry)
{
  fm_service_t *service;

  if (entry->member.service.len == 0 || entry->member.state > FW_SUSPECT)
    return;
  service = g_hash_table_lookup (table->services, &entry->member.service);
  if (!service)
    {
      service = g_new0 (fm_service_t, 1);
      service->name = entry->member.service;
      service->entries = g_ptr_array_new ();
      g_hash_table_insert (table->services, &service->name, service);
    }
  entry->service = service;
  entry->service_index = service->entries->len;
  g_ptr_array_add (service->entries, entry);
}

static void
set_entry_digest (fm_table_t *table, fm_entry_t *entry, uint64_t digest)
{
  if (digest == entry->digest)
    return;
  table->digest ^= entry->digest ^ digest;
  entry->digest = digest;
  table->digest_changed_at = fb_read_clock (table->clock);
  table->peer_digest_since = 0;
}

static void
adjust_state_count (fm_table_t *table, fw_member_state_t state, int change)
{
  table->state_counts[state] += (size_t)change;
  fb_set_counter (table->counters.states[state], table->state_counts[state]);
}

fm_entry_t *
fm_find_entry (const fm_table_t *table, const fb_name_t *id)
{
  return g_hash_table_lookup (table->by_id, id);
}

fm_entry_t *
fm_insert_entry (fm_table_t *table, const fw_member_t *member)
{
  fm_entry_t *entry = g_new0 (fm_entry_t, 1);

  entry->member = *member;
  entry->queue_link.data = entry;
  entry->recent_link.data = entry;
  if (!table->self)
    table->self = entry;
  FB_INVARIANT (g_hash_table_insert (table->by_id, &entry->member.id, entry));
  g_ptr_array_insert (table->sorted, (gint)find_sorted_position (table, &member->id), entry);
  g_queue_push_tail_link (&table->recent, &entry->recent_link);
  add_to_state_list (table, entry);
  add_to_service (table, entry);
  set_entry_digest (table, entry, compute_entry_digest (member));
  adjust_state_count (table, member->state, 1);
  return entry;
}

void
fm_replace_entry (fm_table_t *table, fm_entry_t *entry, const fw_member_t *member)
{
  fw_member_t previous = entry->member;
  bool changes_list = (previous.state == FW_DEAD) != (member->state == FW_DEAD);

  FB_INVARIANT (fb_equal_name (&previous.id, &member->id));
  FB_INVARIANT (member->incarnation >= previous.incarnation);
  remove_from_service (table, entry);
  if (changes_list)
    remove_from_state_list (table, entry);
  entry->member = *member;
  if (changes_list)
    add_to_state_list (table, entry);
  add_to_service (table, entry);
  set_entry_digest (table, entry, compute_entry_digest (member));
  adjust_state_count (table, previous.state, -1);
  adjust_state_count (table, member->state, 1);
}

void
fm_remove_entry (fm_table_t *table, fm_entry_t *entry)
{
  guint position = find_sorted_position (table, &entry->member.id);

  FB_INVARIANT (entry != table->self);
  FB_INVARIANT (g_ptr_array_index (table->sorted, position) == entry);
  fm_set_deadline (table, entry, 0);
  fm_dequeue_entry (table, entry);
  remove_from_service (table, entry);
  remove_from_state_list (table, entry);
  set_entry_digest (table, entry, 0);
  adjust_state_count (table, entry->member.state, -1);
  g_queue_unlink (&table->recent, &entry->recent_link);
  g_ptr_array_remove_index (table->sorted, position);
  g_hash_table_remove (table->by_id, &entry->member.id);
}

void
fm_set_deadline (fm_table_t *table, fm_entry_t *entry, fb_time_t deadline)
{
  if (deadline != 0 && entry->deadline == 0)
    {
      entry->timed_index = table->timed->len;
      g_ptr_array_add (table->timed, entry);
    }
  else if (deadline == 0 && entry->deadline != 0)
    {
      FB_INVARIANT (g_ptr_array_index (table->timed, entry->timed_index) == entry);
      g_ptr_array_remove_index_fast (table->timed, entry->timed_index);
      if (entry->timed_index < table->timed->len)
        ((fm_entry_t *)g_ptr_array_index (table->timed, entry->timed_index))->timed_index
            = entry->timed_index;
    }
  entry->deadline = deadline;
}

void
fm_set_next_probe_target (fm_table_t *table, fm_entry_t *entry)
{
  if (entry == table->self || entry->member.state == FW_DEAD)
    return;
  if (entry->list_index < table->probe_cursor)
    table->probe_cursor--;
  swap_in_order (table, entry->list_index, table->probe_cursor);
}

void
fm_create_indexes (fm_table_t *table)
{
  table->by_id = g_hash_table_new_full (fb_hash_name_key, fb_equal_name_keys, NULL, g_free);
  table->services
      = g_hash_table_new_full (fb_hash_name_key, fb_equal_name_keys, NULL, destroy_service);
  table->sorted = g_ptr_array_new ();
  table->probe_order = g_ptr_array_new ();
  table->dead = g_ptr_array_new ();
  table->timed = g_ptr_array_new ();
}

void
fm_destroy_indexes (fm_table_t *table)
{
  g_ptr_array_free (table->sorted, TRUE);
  g_ptr_array_free (table->probe_order, TRUE);
  g_ptr_array_free (table->dead, TRUE);
  g_ptr_array_free (table->timed, TRUE);
  g_hash_table_destroy (table->services);
  g_hash_table_destroy (table->by_id);
}
