/* Simulated service: entry nodes and callers. */
#include "fixture-simulation.h"
#include <string.h>

#define ENTRY_ATTEMPTS_MAX 3

static const fb_str_t service = FB_LITERAL ("service");

/* Records that KEY was reported as not run; from now on it must never run. */
static void
record_not_run (simulation_t *simulation, const char *key)
{
  g_assert_false (g_hash_table_contains (simulation->runs, key));
  g_hash_table_add (simulation->not_run, g_strdup (key));
}

static void
end_request (simulation_t *simulation, request_t *request, fw_outcome_t outcome)
{
  request->done = true;
  request->outcome = outcome;
  if (outcome == FW_ANSWERED)
    simulation->totals[TOTAL_ANSWERED]++;
  else if (outcome == FW_NOT_RUN)
    simulation->totals[TOTAL_NOT_RUN]++;
  else
    simulation->totals[TOTAL_UNKNOWN]++;
}

static void
repeat_request (simulation_t *simulation, request_t *request)
{
  fb_time_t delay = (fb_time_t)g_rand_int_range (simulation->random, 1,
                                                 draw_chance (simulation, 0.2) ? 3000 : 50)
                    * FB_MILLISECOND;
  event_t *event = add_event (simulation, EVENT_REQUEST,
                              (uint32_t)g_rand_int_range (simulation->random, 0, NODES), delay);

  event->request = request->index;
}

void
handle_caller_outcome (simulation_t *simulation, uint32_t request_index,
                       uint32_t caller_attempt, fw_outcome_t outcome, const char *body,
                       const char *ticket)
{
  request_t *request = &simulation->requests[request_index];
  char expected[TEXT_MAX];

  /* Only the first outcome of each attempt of the caller counts. */
  if (request->done || request->ended_attempts != caller_attempt)
    return;
  request->ended_attempts++;
  if (outcome == FW_ANSWERED)
    {
      g_snprintf (expected, sizeof expected, "answer to %u", request_index);
      g_assert_cmpstr (body, ==, expected);
      end_request (simulation, request, outcome);
      return;
    }
  if (outcome == FW_NOT_RUN && request->ticket[0] != '\0')
    {
      record_not_run (simulation, request->ticket);
      request->ticket[0] = '\0';
      if (draw_chance (simulation, 0.5))
        {
          end_request (simulation, request, FW_NOT_RUN);
          return;
        }
    }
  if (ticket[0] != '\0')
    g_strlcpy (request->ticket, ticket, TEXT_MAX);
  if (request->ended_attempts >= CALLER_ATTEMPTS_MAX
      || (request->repeatable && draw_chance (simulation, 0.5)))
    end_request (simulation, request, outcome);
  else
    repeat_request (simulation, request);
}

static void
end_entry_call (node_t *node, entry_call_t *entry_call, fw_outcome_t outcome, const char *body,
                const char *ticket)
{
  if (outcome == FW_NOT_RUN && entry_call->may_have_run)
    outcome = FW_UNKNOWN;
  handle_caller_outcome (node->simulation, entry_call->request, entry_call->caller_attempt,
                         outcome, body, ticket);
  g_free (entry_call);
}

/* Chooses the target of the next attempt of ENTRY_CALL; returns false when there is none. */
static bool
choose_target (node_t *node, entry_call_t *entry_call, uint32_t rank)
{
  fb_name_t picked;
  fr_ticket_t ticket;

  if (entry_call->has_ticket)
    {
      g_assert_cmpint (fr_parse_ticket (fb_wrap_text (entry_call->ticket), &ticket), ==, FB_OK);
      picked = ticket.node;
      fr_begin_attempt_for_rank (node->picker, &picked, rank);
    }
  else if (!fr_admit_call (node->throttle, service, rank)
           || !fr_pick_for_rank (node->picker, service, rank, service, entry_call->targets,
                                 entry_call->target_count, &picked))
    return false;
  entry_call->targets[entry_call->target_count++] = picked;
  entry_call->target = (uint32_t)(picked.data[picked.len - 1] - '0');
  return true;
}

/* Sends the next attempt of ENTRY_CALL and takes ownership of ENTRY_CALL. */
static void
send_attempt (node_t *node, entry_call_t *entry_call)
{
  simulation_t *simulation = node->simulation;
  fb_time_t now = fb_read_clock (simulation->clock);
  event_t call = { .kind = EVENT_CALL, .entry = node->index, .entry_start_id = node->start_id };
  event_t *timeout;

  if (!choose_target (node, entry_call, simulation->requests[entry_call->request].rank))
    {
      end_entry_call (node, entry_call, FW_NOT_RUN, "", "");
      return;
    }
  entry_call->attempt_id = ++simulation->last_id;
  entry_call->sent_at = now;
  call.node = entry_call->target;
  call.start_id = simulation->nodes[entry_call->target].start_id;
  call.attempt = entry_call->attempt_id;
  call.request = entry_call->request;
  call.remaining = entry_call->deadline - now;
  g_strlcpy (call.ticket, entry_call->ticket, TEXT_MAX);
  if (call.start_id != 0)
    send_event (node, &call);
  timeout = add_event (simulation, EVENT_TIMEOUT, node->index, call.remaining);
  timeout->start_id = node->start_id;
  timeout->attempt = entry_call->attempt_id;
  g_hash_table_insert (node->entry_calls, &entry_call->attempt_id, entry_call);
}

void
handle_request (node_t *node, const event_t *event)
{
  simulation_t *simulation = node->simulation;
  const request_t *request = &simulation->requests[event->request];
  entry_call_t *entry_call = g_new0 (entry_call_t, 1);

  entry_call->request = request->index;
  entry_call->caller_attempt = request->ended_attempts;
  entry_call->has_ticket = request->ticket[0] != '\0';
  g_strlcpy (entry_call->ticket, request->ticket, TEXT_MAX);
  entry_call->deadline
      = fb_read_clock (simulation->clock)
        + (fb_time_t)g_rand_int_range (simulation->random, 20, 500) * FB_MILLISECOND;
  fr_deposit_retry (node->budget, service);
  send_attempt (node, entry_call);
}

/* Removes and returns NODE's entry call with current attempt ATTEMPT_ID; NULL when it has
 * ended. */
static entry_call_t *
remove_entry_call (node_t *node, uint64_t attempt_id)
{
  entry_call_t *entry_call = g_hash_table_lookup (node->entry_calls, &attempt_id);

  if (entry_call != NULL)
    g_hash_table_steal (node->entry_calls, &attempt_id);
  return entry_call;
}

static void
report_attempt (node_t *node, const entry_call_t *entry_call, fw_outcome_t outcome,
                uint32_t load)
{
  static const fr_result_t results[] = {
    [FW_ANSWERED] = FR_RESULT_ANSWERED,
    [FW_NOT_RUN] = FR_RESULT_REFUSED,
    [FW_UNKNOWN] = FR_RESULT_FAILED,
    [FW_FAILED] = FR_RESULT_FAILED,
  };
  uint32_t rank = node->simulation->requests[entry_call->request].rank;

  fr_report_result_for_rank (
      node->picker, &entry_call->targets[entry_call->target_count - 1], rank, results[outcome],
      fb_read_clock (node->simulation->clock) - entry_call->sent_at, load);
  if (!entry_call->has_ticket)
    fr_report_call (node->throttle, service, rank, outcome != FW_NOT_RUN);
}

/* Handles OUTCOME of the current attempt: ends ENTRY_CALL or sends its next attempt. */
static void
handle_attempt_outcome (node_t *node, entry_call_t *entry_call, fw_outcome_t outcome,
                        const event_t *answer)
{
  simulation_t *simulation = node->simulation;
  const request_t *request = &simulation->requests[entry_call->request];
  const char *ticket = answer == NULL ? "" : answer->ticket;

  report_attempt (node, entry_call, outcome, answer == NULL ? 0 : answer->load);
  if (outcome == FW_UNKNOWN || outcome == FW_FAILED)
    entry_call->may_have_run = true;
  else if (outcome == FW_NOT_RUN && !entry_call->has_ticket)
    {
      char *key = g_strdup_printf ("%" G_GUINT64_FORMAT, entry_call->attempt_id);

      record_not_run (simulation, key);
      g_free (key);
    }
  if (ticket[0] == '\0' && entry_call->target_count < ENTRY_ATTEMPTS_MAX
      && fb_read_clock (simulation->clock) < entry_call->deadline
      && fr_is_retry_safe (outcome, request->repeatable, entry_call->has_ticket)
      && fr_withdraw_retry (node->budget, service, 0))
    {
      simulation->totals[TOTAL_RETRIED]++;
      send_attempt (node, entry_call);
    }
  else
    end_entry_call (node, entry_call, outcome, answer == NULL ? "" : answer->body, ticket);
}

void
handle_answer (node_t *node, const event_t *event)
{
  entry_call_t *entry_call = remove_entry_call (node, event->attempt);

  if (entry_call == NULL)
    node->simulation->totals[TOTAL_LATE]++;
  else
    handle_attempt_outcome (node, entry_call, event->outcome, event);
}

void
handle_timeout (node_t *node, const event_t *event)
{
  entry_call_t *entry_call = remove_entry_call (node, event->attempt);
  event_t cancel = { .kind = EVENT_CANCEL };

  if (entry_call == NULL)
    return;
  cancel.node = entry_call->target;
  cancel.start_id = node->simulation->nodes[entry_call->target].start_id;
  cancel.attempt = entry_call->attempt_id;
  send_event (node, &cancel);
  handle_attempt_outcome (node, entry_call, FW_UNKNOWN, NULL);
}
