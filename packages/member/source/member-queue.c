/* Queue of updates to transmit, and the datagrams that carry them. */
#include "member-table.h"
#include <foxtailrun/base/invariant.h>
#include <string.h>

/* A receiver whose list differs gets older changes by a list exchange. */
#define RECENT_CHANGE_AGE_MAX (30 * FB_SECOND)

/* Returns the transmissions of each update: FM_BASE_TRANSMISSIONS plus log2 of the members
 * not dead. */
static uint32_t
get_transmission_limit (const fm_table_t *table)
{
  size_t members = table->probe_order->len + 1;
  uint32_t limit = FM_BASE_TRANSMISSIONS + g_bit_storage (members - 1);

  FB_INVARIANT (limit < FM_QUEUE_COUNT);
  return limit;
}

/* A datagram that is being built, and the entries of its updates in the same order. */
typedef struct
{
  fw_datagram_t datagram;
  fm_entry_t *entries[FW_UPDATES_MAX];
} draft_t;

static void
add_to_draft (fm_table_t *table, draft_t *draft, fm_entry_t *entry)
{
  if (entry->last_datagram == table->datagrams_built
      || draft->datagram.update_count == FW_UPDATES_MAX)
    return;
  entry->last_datagram = table->datagrams_built;
  /* The sender field already describes this node. */
  if (entry == table->self)
    return;
  draft->entries[draft->datagram.update_count] = entry;
  draft->datagram.updates[draft->datagram.update_count++] = entry->member;
}

static void
choose_updates (fm_table_t *table, draft_t *draft, const fm_priority_updates_t *priority)
{
  fb_time_t oldest = fb_read_clock (table->clock) - RECENT_CHANGE_AGE_MAX;

  table->datagrams_built++;
  for (size_t i = 0; priority && i < priority->count; i++)
    add_to_draft (table, draft, (fm_entry_t *)priority->entries[i]);
  for (size_t i = 0; i < FM_QUEUE_COUNT; i++)
    for (GList *link = table->queues[i].head;
         link && draft->datagram.update_count < FW_UPDATES_MAX; link = link->next)
      add_to_draft (table, draft, link->data);
  if (!priority || !priority->include_recent)
    return;
  for (GList *link = table->recent.head; link; link = link->next)
    {
      fm_entry_t *entry = link->data;
      if (entry->changed_at == 0 || entry->changed_at < oldest
          || draft->datagram.update_count == FW_UPDATES_MAX)
        break;
      add_to_draft (table, draft, entry);
    }
}

static void
count_transmission (fm_table_t *table, fm_entry_t *entry)
{
  if (!entry->queued)
    return;
  g_queue_unlink (&table->queues[entry->transmissions], &entry->queue_link);
  entry->transmissions++;
  if (entry->transmissions < get_transmission_limit (table))
    {
      g_queue_push_tail_link (&table->queues[entry->transmissions], &entry->queue_link);
      return;
    }
  entry->queued = false;
  table->queued_count--;
}

void
fm_queue_entry (fm_table_t *table, fm_entry_t *entry)
{
  fm_dequeue_entry (table, entry);
  entry->transmissions = 0;
  entry->queued = true;
  table->queued_count++;
  g_queue_push_tail_link (&table->queues[0], &entry->queue_link);
  entry->changed_at = fb_read_clock (table->clock);
  g_queue_unlink (&table->recent, &entry->recent_link);
  g_queue_push_head_link (&table->recent, &entry->recent_link);
}

void
fm_dequeue_entry (fm_table_t *table, fm_entry_t *entry)
{
  if (!entry->queued)
    return;
  g_queue_unlink (&table->queues[entry->transmissions], &entry->queue_link);
  entry->queued = false;
  table->queued_count--;
}

void
fm_send_datagram (fm_table_t *table, fw_datagram_kind_t kind, uint64_t sequence,
                  const fb_name_t *address, uint16_t port, const fb_name_t *target,
                  const fm_priority_updates_t *priority)
{
  draft_t draft;
  uint8_t buffer[FW_DATAGRAM_MAX];
  size_t length;
  size_t fitted;

  memset (&draft.datagram, 0, offsetof (fw_datagram_t, updates));
  draft.datagram.kind = kind;
  draft.datagram.sequence = sequence;
  draft.datagram.sender = table->self->member;
  draft.datagram.version = table->version;
  draft.datagram.members_digest = table->digest;
  if (target)
    draft.datagram.target = *target;
  choose_updates (table, &draft, priority);
  if (fw_encode_datagram (&draft.datagram, buffer, &length, &fitted) != FB_OK)
    return;
  for (size_t i = 0; i < fitted; i++)
    count_transmission (table, draft.entries[i]);
  if (table->self->last_datagram == table->datagrams_built)
    count_transmission (table, table->self);
  fb_add_counter (table->counters.sent, 1);
  fb_add_counter (table->counters.sent_bytes, length);
  table->hooks.send (address, port, (fb_bytes_t){ buffer, length }, table->hooks.user);
}

void
fm_send_gossip (fm_table_t *table, const fm_entry_t *to, const fm_priority_updates_t *priority)
{
  fm_send_datagram (table, FW_GOSSIP, 0, &to->member.address, to->member.control_port, NULL,
                    priority);
}

void
fm_run_gossip (fm_table_t *table)
{
  guint members = table->probe_order->len;

  /* The shuffled probe order sends each copy of an update to a different member. */
  for (uint32_t i = 0; i < table->options.gossip_fanout && i < members; i++)
    {
      if (table->queued_count == 0)
        return;
      table->gossip_cursor = (table->gossip_cursor + 1) % members;
      fm_send_gossip (table, g_ptr_array_index (table->probe_order, table->gossip_cursor),
                      NULL);
    }
}
