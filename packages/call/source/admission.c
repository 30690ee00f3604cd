/* Admission: queues calls, assigns slots and calls the hooks. */
#include "admission-state.h"
#include <foxtailrun/base/invariant.h>

const char *
fr_describe_refusal (fr_refusal_t refusal)
{
  switch (refusal)
    {
    case FR_REFUSED_QUEUE_FULL:
      return "queue-full";
    case FR_REFUSED_RATE_LIMIT:
      return "rate-limit";
    case FR_REFUSED_WARMING_UP:
      return "warming-up";
    case FR_REFUSED_DEADLINE:
      return "deadline";
    case FR_REFUSED_DRAINING:
      return "draining";
    case FR_REFUSED_CANCELLED:
      return "cancelled";
    }
  return "unknown";
}

/* Calls the pending hooks. When a hook calls admission, the outermost call delivers the
 * added events. */
static void
deliver_events (fr_admission_t *admission)
{
  event_t *event;

  if (admission->delivering)
    return;
  admission->delivering = true;
  while ((event = g_queue_pop_head (&admission->events)) != NULL)
    {
      if (event->start)
        admission->hooks.start (event->call, admission->hooks.user);
      else
        admission->hooks.refuse (event->call, event->refusal, admission->hooks.user);
      g_free (event);
    }
  admission->delivering = false;
}

static void
add_event (fr_admission_t *admission, void *call, bool start, fr_refusal_t refusal)
{
  event_t *event = g_new0 (event_t, 1);

  event->call = call;
  event->start = start;
  event->refusal = refusal;
  g_queue_push_tail (&admission->events, event);
  fb_add_counter (start ? admission->count_started : admission->count_refused[refusal], 1);
}

static void
refuse_entry (fr_admission_t *admission, entry_t *entry, fr_refusal_t refusal)
{
  fr_remove_entry (entry);
  admission->waiting--;
  add_event (admission, entry->call, false, refusal);
  g_hash_table_remove (admission->entries, &entry->id);
}

/* Returns whether ENTRY cannot end by its deadline. The average service time is ignored
 * while the rank runs no call, or too long an average would never be corrected. */
static bool
misses_deadline (const fr_admission_t *admission, const entry_t *entry, fb_time_t now)
{
  const rank_t *rank = entry->flow->rank;

  if (entry->deadline <= now)
    return true;
  return admission->policy == FR_POLICY_SHARES && rank->started > 0
         && (double)(entry->deadline - now) < rank->service_time_ns;
}

/* Returns whether a call of RANK that starts at START is expected to end after TARGET_TIME. */
static bool
misses_target_time (const rank_t *rank, fb_time_t start, fb_time_t target_time, bool goes_first)
{
  return (double)start + fr_get_planned_time (rank, goes_first) > (double)target_time;
}

/* Returns whether ENTRY, next in a rank over its share, would miss its target, so that the
 * slot goes to a newer call. Without its own target time, a call within its customer's fair
 * share is served late instead, so that one customer's flood does not cause refusals of
 * others. */
static bool
should_skip_entry (const fr_admission_t *admission, const entry_t *entry, fb_time_t now)
{
  const rank_t *rank = entry->flow->rank;

  if (entry->target_time > 0)
    return admission->policy == FR_POLICY_SHARES && rank->waiting > 1
           && misses_target_time (rank, now, entry->target_time, entry->goes_first)
           && !fr_is_below_share (admission, rank);
  return admission->policy == FR_POLICY_SHARES && rank->options.latency_target > 0
         && rank->started > 0 && !entry->within_fair_share
         && (double)(now - entry->arrived_at) + rank->service_time_ns
                > (double)rank->options.latency_target
         && !fr_is_below_share (admission, rank);
}

/* Returns whether a waiting ENTRY would miss its target time while other calls wait too.
 * Refused early so that its caller can retry in time, unless already a retry. */
static bool
should_refuse_entry (const fr_admission_t *admission, const entry_t *entry, fb_time_t now)
{
  const rank_t *rank = entry->flow->rank;

  return admission->policy == FR_POLICY_SHARES && entry->target_time > 0 && !entry->goes_first
         && admission->waiting > 1
         && misses_target_time (rank, now, entry->target_time, entry->goes_first)
         && !fr_is_below_share (admission, rank);
}

static void
start_entry (fr_admission_t *admission, entry_t *entry, fb_time_t now)
{
  FB_INVARIANT (admission->started < fr_get_slots_in_force (admission));
  fr_remove_entry (entry);
  fr_charge_start (entry);
  entry->started_at = now;
  entry->flow->rank->start_rate += (double)FB_SECOND / (double)USAGE_TIME_CONSTANT;
  if (admission->rate_limit != NULL)
    fr_count_start (admission->rate_limit);
  if (admission->warmup != NULL)
    fr_count_warmup_start (admission->warmup);
  admission->waiting--;
  admission->started++;
  add_event (admission, entry->call, true, FR_REFUSED_QUEUE_FULL);
}

static void
start_waiting_calls (fr_admission_t *admission)
{
  fb_time_t now = fb_read_clock (admission->clock);
  rank_t *rank;

  while (admission->started < fr_get_slots_in_force (admission)
         && fr_can_start_by_limit (admission) && (rank = fr_choose_rank (admission)) != NULL)
    {
      entry_t *entry = fr_peek_entry (rank);

      if (misses_deadline (admission, entry, now))
        refuse_entry (admission, entry, FR_REFUSED_DEADLINE);
      else if (should_skip_entry (admission, entry, now))
        refuse_entry (admission, entry, FR_REFUSED_QUEUE_FULL);
      else
        start_entry (admission, entry, now);
    }
}

static void
set_ranks (fr_admission_t *admission, const fr_rank_options_t *ranks, size_t rank_count)
{
  size_t old_count = admission->ranks->len;

  FB_INVARIANT (rank_count > 0);
  for (size_t i = 0; i < rank_count; i++)
    {
      rank_t *rank;

      if (i >= old_count)
        g_ptr_array_add (admission->ranks, fr_create_rank ((uint32_t)i, &ranks[i]));
      rank = g_ptr_array_index (admission->ranks, i);
      rank->options = ranks[i];
      if (rank->options.queue_length_max == 0)
        rank->options.queue_length_max = QUEUE_MAX_DEFAULT;
    }
}

fr_admission_t *
fr_create_admission (fr_policy_t policy, uint32_t slots, const fr_rank_options_t *ranks,
                     size_t rank_count, const fb_clock_t *clock, fb_counters_t *counters,
                     const fr_admission_hooks_t *hooks)
{
  fr_admission_t *admission = g_new0 (fr_admission_t, 1);

  FB_INVARIANT (slots > 0);
  admission->policy = policy;
  admission->slots = slots;
  admission->clock = clock;
  admission->hooks = *hooks;
  admission->usage_updated_at = fb_read_clock (clock);
  admission->concurrency_limit = slots;
  admission->ranks = g_ptr_array_new ();
  admission->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&admission->events);
  admission->count_started = fb_find_counter (counters, "admission_started_total", "");
  for (int i = FR_REFUSED_QUEUE_FULL; i <= FR_REFUSED_CANCELLED; i++)
    {
      char *labels = g_strdup_printf ("reason=\"%s\"", fr_describe_refusal ((fr_refusal_t)i));

      admission->count_refused[i]
          = fb_find_counter (counters, "admission_refused_total", labels);
      g_free (labels);
    }
  set_ranks (admission, ranks, rank_count);
  return admission;
}

void
fr_set_admission_rate_limit (fr_admission_t *admission, fr_rate_limit_t *limit)
{
  admission->rate_limit = limit;
}

void
fr_set_admission_warmup (fr_admission_t *admission, fr_warmup_t *warmup)
{
  admission->warmup = warmup;
}

void
fr_set_admission_pace (fr_admission_t *admission, fr_pace_t *pace)
{
  admission->pace = pace;
  if (pace != NULL)
    fr_set_pace_slots (pace, admission->slots);
}

uint32_t
fr_get_slots_in_force (const fr_admission_t *admission)
{
  return admission->pace == NULL ? admission->slots
                                 : MIN (fr_get_pace_limit (admission->pace), admission->slots);
}

void
fr_destroy_admission (fr_admission_t *admission)
{
  if (admission == NULL)
    return;
  FB_INVARIANT (!admission->delivering);
  for (size_t i = 0; i < admission->ranks->len; i++)
    fr_destroy_rank (g_ptr_array_index (admission->ranks, i));
  g_ptr_array_free (admission->ranks, TRUE);
  g_hash_table_destroy (admission->entries);
  g_free (admission);
}

void
fr_configure_admission (fr_admission_t *admission, uint32_t slots,
                        const fr_rank_options_t *ranks, size_t rank_count)
{
  GHashTableIter iter;
  void *value;
  rank_t *last_rank;

  FB_INVARIANT (slots > 0);
  fr_update_usage (admission);
  admission->slots = slots;
  if (admission->pace != NULL)
    fr_set_pace_slots (admission->pace, slots);
  set_ranks (admission, ranks, rank_count);
  last_rank = g_ptr_array_index (admission->ranks, rank_count - 1);
  for (size_t i = rank_count; i < admission->ranks->len; i++)
    fr_merge_rank (last_rank, g_ptr_array_index (admission->ranks, i));
  g_hash_table_iter_init (&iter, admission->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;

      /* Started calls are in no queue; look up their flow in the rank it was merged into. */
      if (entry->flow->rank->index >= rank_count)
        entry->flow = fr_find_or_add_flow (last_rank, fb_wrap_text (entry->flow->customer),
                                           entry->flow->weight);
    }
  while (admission->ranks->len > rank_count)
    fr_destroy_rank (g_ptr_array_remove_index (admission->ranks, admission->ranks->len - 1));
  start_waiting_calls (admission);
  deliver_events (admission);
}

/* Evicts a waiting call if needed to queue one more call of FLOW; returns false when the queue
 * stays full. */
static bool
ensure_queue_space (fr_admission_t *admission, const flow_t *flow)
{
  rank_t *rank = flow->rank;
  entry_t *evicted;

  if (admission->policy == FR_POLICY_ADAPTIVE)
    return (double)(admission->started + admission->waiting) < admission->concurrency_limit;
  if (rank->waiting < rank->options.queue_length_max)
    return true;
  evicted = fr_find_entry_to_evict (rank, flow);
  if (evicted == NULL)
    return false;
  refuse_entry (admission, evicted, FR_REFUSED_QUEUE_FULL);
  return true;
}

/* Returns whether the wait of a new call of RANK can be estimated. A rank that runs no call
 * accepts one regardless of its average service time, or too long an average would never be
 * corrected. */
static bool
can_estimate_wait (const rank_t *rank, const fr_call_options_t *times)
{
  return rank->started > 0 || (times->target_time > 0 && rank->waiting > 0);
}

/* Returns whether a limit of the starts lets a new call of FLOW start too late for its
 * deadline, or for its target time when its rank is over its share; sets REFUSAL to which one.
 * Unlike the wait for a slot this is known without a sample of the service time. */
static bool
misses_by_start_limit (const fr_admission_t *admission, const flow_t *flow,
                       const fr_call_options_t *times, fb_time_t now, fr_refusal_t *refusal)
{
  const rank_t *rank = flow->rank;
  double wait;

  if (admission->policy != FR_POLICY_SHARES)
    return false;
  wait = fr_estimate_limit_wait (admission, flow, times->goes_first, refusal);
  if (wait == 0)
    return false;
  if (wait + rank->service_time_ns > (double)(times->deadline - now))
    return true;
  return times->target_time > 0 && !fr_is_below_share (admission, rank)
         && misses_target_time (rank, now + (fb_time_t)wait, times->target_time,
                                times->goes_first);
}

static bool
should_refuse_call (fr_admission_t *admission, const flow_t *flow,
                    const fr_call_options_t *times, fr_refusal_t *refusal)
{
  const rank_t *rank = flow->rank;
  fb_time_t now = fb_read_clock (admission->clock);
  fb_time_t deadline = times->deadline;

  *refusal = FR_REFUSED_DRAINING;
  if (admission->draining)
    return true;
  *refusal = FR_REFUSED_DEADLINE;
  if (deadline <= now)
    return true;
  if (misses_by_start_limit (admission, flow, times, now, refusal))
    return true;
  *refusal = FR_REFUSED_DEADLINE;
  if (admission->policy == FR_POLICY_SHARES && can_estimate_wait (rank, times))
    {
      double wait = fr_estimate_wait (admission, flow, times->goes_first);
      double latency = wait + rank->service_time_ns;

      if (latency > (double)(deadline - now))
        return true;
      *refusal = FR_REFUSED_QUEUE_FULL;
      if (times->target_time > 0)
        return wait > 0
               && misses_target_time (rank, now + (fb_time_t)wait, times->target_time,
                                      times->goes_first)
               && !fr_is_below_share (admission, rank);
      /* Calls over the guaranteed share are refused when they would exceed the latency target;
       * calls within it are served late. */
      if (rank->options.latency_target > 0 && latency > (double)rank->options.latency_target
          && admission->waiting > 0 && !fr_is_below_share (admission, rank))
        return true;
    }
  *refusal = FR_REFUSED_QUEUE_FULL;
  return !ensure_queue_space (admission, flow);
}

void
fr_offer_call (fr_admission_t *admission, uint64_t id, void *call, uint32_t rank,
               fb_str_t customer, double weight, fb_time_t deadline)
{
  fr_call_options_t times = { .deadline = deadline };

  fr_offer_call_with_options (admission, id, call, rank, customer, weight, &times);
}

void
fr_offer_call_with_options (fr_admission_t *admission, uint64_t id, void *call, uint32_t rank,
                            fb_str_t customer, double weight, const fr_call_options_t *times)
{
  size_t index = MIN (rank, admission->ranks->len - 1);
  /* The baseline policies do not distinguish customers. */
  bool by_customer = admission->policy == FR_POLICY_SHARES;
  flow_t *flow = fr_find_or_add_flow (g_ptr_array_index (admission->ranks, index),
                                      by_customer ? customer : FB_LITERAL (""),
                                      by_customer ? weight : 1);
  fr_refusal_t refusal;

  FB_INVARIANT (!g_hash_table_contains (admission->entries, &id));
  fr_update_usage (admission);
  if (should_refuse_call (admission, flow, times, &refusal))
    add_event (admission, call, false, refusal);
  else
    {
      entry_t *entry = g_new0 (entry_t, 1);

      entry->id = id;
      entry->call = call;
      entry->flow = flow;
      entry->arrival_number = admission->arrival_count++;
      entry->arrived_at = fb_read_clock (admission->clock);
      entry->deadline = times->deadline;
      entry->target_time = times->target_time;
      entry->goes_first = times->goes_first;
      g_hash_table_insert (admission->entries, &entry->id, entry);
      admission->waiting++;
      fr_push_entry (entry);
      start_waiting_calls (admission);
    }
  deliver_events (admission);
}

void
fr_finish_call (fr_admission_t *admission, uint64_t id)
{
  entry_t *entry = g_hash_table_lookup (admission->entries, &id);
  fb_time_t now = fb_read_clock (admission->clock);
  rank_t *rank;

  FB_INVARIANT (entry != NULL && entry->link.data == NULL);
  fr_update_usage (admission);
  rank = entry->flow->rank;
  fr_charge_finish (entry, now - entry->started_at);
  fr_sample_call_time (rank, now - entry->started_at, entry->goes_first);
  if (admission->policy == FR_POLICY_ADAPTIVE)
    fr_update_concurrency_limit (admission, now - entry->arrived_at, now - entry->started_at);
  admission->started--;
  g_hash_table_remove (admission->entries, &id);
  start_waiting_calls (admission);
  deliver_events (admission);
}

bool
fr_cancel_call (fr_admission_t *admission, uint64_t id)
{
  entry_t *entry = g_hash_table_lookup (admission->entries, &id);

  if (entry == NULL || entry->link.data == NULL)
    return false;
  refuse_entry (admission, entry, FR_REFUSED_CANCELLED);
  deliver_events (admission);
  return true;
}

void
fr_tick_admission (fr_admission_t *admission)
{
  fb_time_t now = fb_read_clock (admission->clock);
  GPtrArray *past_deadline = g_ptr_array_new ();
  GPtrArray *past_target = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  fr_update_usage (admission);
  g_hash_table_iter_init (&iter, admission->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;

      if (entry->link.data == NULL)
        continue;
      if (misses_deadline (admission, entry, now))
        g_ptr_array_add (past_deadline, entry);
      else if (should_refuse_entry (admission, entry, now))
        g_ptr_array_add (past_target, entry);
    }
  for (size_t i = 0; i < past_deadline->len; i++)
    refuse_entry (admission, g_ptr_array_index (past_deadline, i), FR_REFUSED_DEADLINE);
  for (size_t i = 0; i < past_target->len; i++)
    refuse_entry (admission, g_ptr_array_index (past_target, i), FR_REFUSED_QUEUE_FULL);
  g_ptr_array_free (past_deadline, TRUE);
  g_ptr_array_free (past_target, TRUE);
  for (size_t i = 0; i < admission->ranks->len; i++)
    fr_remove_idle_flows (g_ptr_array_index (admission->ranks, i));
  start_waiting_calls (admission);
  deliver_events (admission);
}

void
fr_drain_admission (fr_admission_t *admission)
{
  admission->draining = true;
}

uint32_t
fr_get_load (const fr_admission_t *admission)
{
  return (uint32_t)((admission->started + admission->waiting) * 1000
                    / fr_get_slots_in_force (admission));
}

size_t
fr_count_started (const fr_admission_t *admission)
{
  return admission->started;
}

size_t
fr_count_waiting (const fr_admission_t *admission)
{
  return admission->waiting;
}
