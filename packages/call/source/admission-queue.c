/* Queues of one rank: start-time fair queueing of customers by weight. */
#include "admission-state.h"
#include <foxtailrun/base/invariant.h>

/* Charged for a call of a rank without a service time sample. */
#define DEFAULT_SERVICE_TIME_NS ((double)FB_MILLISECOND)

static int
compare_virtual_starts (const void *a, const void *b, void *user)
{
  const flow_t *left = a;
  const flow_t *right = b;

  if (left->virtual_start != right->virtual_start)
    return left->virtual_start < right->virtual_start ? -1 : 1;
  return 0;
}

static void
destroy_flow (void *data)
{
  flow_t *flow = data;

  g_free (flow->customer);
  g_free (flow);
}

static void
unschedule_flow (flow_t *flow)
{
  if (flow->position != NULL)
    g_sequence_remove (flow->position);
  flow->position = NULL;
}

/* Inserts FLOW by its virtual start, or removes it when it has no waiting call. */
static void
schedule_flow (flow_t *flow)
{
  unschedule_flow (flow);
  if (!g_queue_is_empty (&flow->waiting))
    flow->position = g_sequence_insert_sorted (flow->rank->backlogged_flows, flow,
                                               compare_virtual_starts, NULL);
}

rank_t *
fr_create_rank (uint32_t index, const fr_rank_options_t *options)
{
  rank_t *rank = g_new0 (rank_t, 1);

  rank->index = index;
  rank->options = *options;
  rank->flows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_flow);
  rank->backlogged_flows = g_sequence_new (NULL);
  return rank;
}

void
fr_destroy_rank (rank_t *rank)
{
  g_sequence_free (rank->backlogged_flows);
  g_hash_table_destroy (rank->flows);
  g_free (rank);
}

flow_t *
fr_find_or_add_flow (rank_t *rank, fb_str_t customer, double weight)
{
  char *name = fb_copy_text (customer);
  flow_t *flow = g_hash_table_lookup (rank->flows, name);

  if (flow == NULL)
    {
      flow = g_new0 (flow_t, 1);
      flow->customer = name;
      flow->rank = rank;
      flow->virtual_start = rank->virtual_time;
      g_queue_init (&flow->waiting);
      g_hash_table_insert (rank->flows, name, flow);
    }
  else
    g_free (name);
  flow->weight = weight > 0 ? weight : 1;
  return flow;
}

void
fr_push_entry (entry_t *entry)
{
  flow_t *flow = entry->flow;
  bool was_empty = g_queue_is_empty (&flow->waiting);

  entry->within_fair_share = was_empty && flow->virtual_start <= flow->rank->virtual_time;
  entry->link.data = entry;
  if (entry->goes_first)
    g_queue_push_nth_link (&flow->waiting, (gint)flow->first_waiting++, &entry->link);
  else
    g_queue_push_tail_link (&flow->waiting, &entry->link);
  flow->rank->waiting++;
  if (!was_empty)
    return;
  /* An idle customer accumulates no credit. */
  flow->virtual_start = MAX (flow->virtual_start, flow->rank->virtual_time);
  schedule_flow (flow);
}

entry_t *
fr_peek_entry (const rank_t *rank)
{
  GSequenceIter *first = g_sequence_get_begin_iter (rank->backlogged_flows);

  FB_INVARIANT (!g_sequence_iter_is_end (first));
  return g_queue_peek_head (&((flow_t *)g_sequence_get (first))->waiting);
}

void
fr_remove_entry (entry_t *entry)
{
  flow_t *flow = entry->flow;

  FB_INVARIANT (entry->link.data == entry);
  g_queue_unlink (&flow->waiting, &entry->link);
  entry->link.data = NULL;
  if (entry->goes_first)
    flow->first_waiting--;
  flow->rank->waiting--;
  if (g_queue_is_empty (&flow->waiting))
    unschedule_flow (flow);
}

void
fr_charge_start (entry_t *entry)
{
  flow_t *flow = entry->flow;
  rank_t *rank = flow->rank;

  rank->virtual_time = MAX (rank->virtual_time, flow->virtual_start);
  entry->charged_ns
      = rank->service_time_ns > 0 ? rank->service_time_ns : DEFAULT_SERVICE_TIME_NS;
  flow->virtual_start += entry->charged_ns / flow->weight;
  flow->started++;
  rank->started++;
  schedule_flow (flow);
}

void
fr_charge_finish (entry_t *entry, fb_time_t service_time)
{
  flow_t *flow = entry->flow;

  FB_INVARIANT (flow->started > 0 && flow->rank->started > 0);
  flow->started--;
  flow->rank->started--;
  flow->virtual_start += ((double)service_time - entry->charged_ns) / flow->weight;
  schedule_flow (flow);
}

entry_t *
fr_find_entry_to_evict (const rank_t *rank, const flow_t *arriving_flow)
{
  const flow_t *largest = arriving_flow;
  double largest_waiting = (double)(g_queue_get_length ((GQueue *)&arriving_flow->waiting) + 1)
                           / arriving_flow->weight;

  for (GSequenceIter *iter = g_sequence_get_begin_iter (rank->backlogged_flows);
       !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      const flow_t *flow = g_sequence_get (iter);
      double waiting = (double)flow->waiting.length / flow->weight;

      if (flow != arriving_flow && waiting > largest_waiting)
        {
          largest_waiting = waiting;
          largest = flow;
        }
    }
  return largest == arriving_flow ? NULL : g_queue_peek_tail ((GQueue *)&largest->waiting);
}

double
fr_count_calls_ahead (const flow_t *flow)
{
  double own_waiting = flow->waiting.length;
  double calls_ahead = own_waiting;

  for (GSequenceIter *iter = g_sequence_get_begin_iter (flow->rank->backlogged_flows);
       !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      const flow_t *other = g_sequence_get (iter);

      if (other != flow)
        calls_ahead += MIN ((double)other->waiting.length,
                            (own_waiting + 1) * other->weight / flow->weight);
    }
  return calls_ahead;
}

static gboolean
is_flow_idle (void *key, void *value, void *user)
{
  const flow_t *flow = value;

  /* A charge ahead of the virtual time matters only while other calls wait. */
  return g_queue_is_empty ((GQueue *)&flow->waiting) && flow->started == 0
         && (flow->rank->waiting == 0 || flow->virtual_start <= flow->rank->virtual_time);
}

void
fr_remove_idle_flows (rank_t *rank)
{
  g_hash_table_foreach_remove (rank->flows, is_flow_idle, NULL);
}

void
fr_merge_rank (rank_t *to, rank_t *from)
{
  GHashTableIter iter;
  void *value;

  to->usage += from->usage;
  to->start_rate += from->start_rate;
  to->started += from->started;
  to->waiting += from->waiting;
  g_hash_table_iter_init (&iter, from->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      flow_t *flow = value;
      flow_t *merged_flow
          = fr_find_or_add_flow (to, fb_wrap_text (flow->customer), flow->weight);
      entry_t *entry;

      unschedule_flow (flow);
      unschedule_flow (merged_flow);
      merged_flow->virtual_start = MAX (merged_flow->virtual_start, to->virtual_time)
                                   + MAX (0, flow->virtual_start - from->virtual_time);
      merged_flow->started += flow->started;
      while ((entry = g_queue_peek_head (&flow->waiting)) != NULL)
        {
          g_queue_unlink (&flow->waiting, &entry->link);
          g_queue_push_tail_link (&merged_flow->waiting, &entry->link);
          entry->flow = merged_flow;
          entry->goes_first = false;
        }
      schedule_flow (merged_flow);
    }
}
