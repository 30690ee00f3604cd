/* Simulated service: entry nodes and callers. */
#include "fixture-simulation.h"
#include <string.h>

#define ATTEMPTS_MAX 3

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

/* Sends the request of a caller again after a random delay. */
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
handle_caller_outcome (simulation_t *simulation, uint32_t index, uint32_t number,
                       fw_outcome_t outcome, const char *body, const char *ticket)
{
  request_t *request = &simulation->requests[index];
  char expected[TEXT_MAX];

  if (request->done || request->attempts != number)
    return;
  /* Later outcomes of this attempt are ignored. */
  request->attempts++;
  if (outcome == FW_ANSWERED)
    {
      g_snprintf (expected, sizeof expected, "answer to %u", index);
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
  if (request->attempts >= CALLER_ATTEMPTS_MAX
      || (request->repeatable && draw_chance (simulation, 0.5)))
    end_request (simulation, request, outcome);
  else
    repeat_request (simulation, request);
}

static void
end_attempt (node_t *node, attempt_t *attempt, fw_outcome_t outcome, const char *body,
             const char *ticket)
{
  if (outcome == FW_NOT_RUN && attempt->may_have_run)
    outcome = FW_UNKNOWN;
  handle_caller_outcome (node->simulation, attempt->request, attempt->number, outcome, body,
                         ticket);
  g_free (attempt);
}

/* Chooses the target of ATTEMPT; returns false when there is none. */
static bool
choose_target (node_t *node, attempt_t *attempt, uint32_t rank)
{
  fb_name_t picked;
  fr_ticket_t ticket;

  if (attempt->has_ticket)
    {
      g_assert_cmpint (fr_parse_ticket (fb_wrap_text (attempt->ticket), &ticket), ==, FB_OK);
      picked = ticket.node;
      fr_begin_ranked (node->picker, &picked, rank);
    }
  else if (!fr_admit_upstream (node->throttle, service, rank)
           || !fr_pick_ranked (node->picker, service, rank, service, attempt->targets,
                               attempt->target_count, &picked))
    return false;
  attempt->targets[attempt->target_count++] = picked;
  attempt->target = (uint32_t)(picked.data[picked.len - 1] - '0');
  return true;
}

/* Sends ATTEMPT and takes ownership of it. */
static void
send_attempt (node_t *node, attempt_t *attempt)
{
  simulation_t *simulation = node->simulation;
  fb_time_t now = fb_read_clock (simulation->clock);
  event_t call = { .kind = EVENT_CALL, .entry = node->index, .entry_start_id = node->start_id };
  event_t *timeout;

  if (!choose_target (node, attempt, simulation->requests[attempt->request].rank))
    {
      end_attempt (node, attempt, FW_NOT_RUN, "", "");
      return;
    }
  attempt->id = ++simulation->last_id;
  attempt->sent_at = now;
  call.node = attempt->target;
  call.start_id = simulation->nodes[attempt->target].start_id;
  call.attempt = attempt->id;
  call.request = attempt->request;
  call.remaining = attempt->deadline - now;
  g_strlcpy (call.ticket, attempt->ticket, TEXT_MAX);
  if (call.start_id != 0)
    send_event (node, &call);
  timeout = add_event (simulation, EVENT_TIMEOUT, node->index, call.remaining);
  timeout->start_id = node->start_id;
  timeout->attempt = attempt->id;
  g_hash_table_insert (node->attempts, &attempt->id, attempt);
}

void
handle_request (node_t *node, const event_t *event)
{
  simulation_t *simulation = node->simulation;
  const request_t *request = &simulation->requests[event->request];
  attempt_t *attempt = g_new0 (attempt_t, 1);

  attempt->request = request->index;
  attempt->number = request->attempts;
  attempt->has_ticket = request->ticket[0] != '\0';
  g_strlcpy (attempt->ticket, request->ticket, TEXT_MAX);
  attempt->deadline
      = fb_read_clock (simulation->clock)
        + (fb_time_t)g_rand_int_range (simulation->random, 20, 500) * FB_MILLISECOND;
  fr_deposit_retry (node->budget, service);
  send_attempt (node, attempt);
}

/* Removes the attempt ID from NODE and returns it, or NULL when it has ended. */
static attempt_t *
remove_attempt (node_t *node, uint64_t id)
{
  attempt_t *attempt = g_hash_table_lookup (node->attempts, &id);

  if (attempt != NULL)
    g_hash_table_steal (node->attempts, &id);
  return attempt;
}

/* Reports the end of ATTEMPT to picker and throttle. */
static void
report_attempt (node_t *node, const attempt_t *attempt, fw_outcome_t outcome, uint32_t load)
{
  static const fr_result_t results[] = {
    [FW_ANSWERED] = FR_RESULT_ANSWERED,
    [FW_NOT_RUN] = FR_RESULT_REFUSED,
    [FW_UNKNOWN] = FR_RESULT_FAILED,
    [FW_FAILED] = FR_RESULT_FAILED,
  };
  uint32_t rank = node->simulation->requests[attempt->request].rank;

  fr_report_ranked (node->picker, &attempt->targets[attempt->target_count - 1], rank,
                    results[outcome],
                    fb_read_clock (node->simulation->clock) - attempt->sent_at, load);
  if (!attempt->has_ticket)
    fr_report_upstream (node->throttle, service, rank, outcome != FW_NOT_RUN);
}

/* Ends ATTEMPT with OUTCOME or retries it. */
static void
handle_attempt_outcome (node_t *node, attempt_t *attempt, fw_outcome_t outcome,
                        const event_t *answer)
{
  simulation_t *simulation = node->simulation;
  const request_t *request = &simulation->requests[attempt->request];
  const char *ticket = answer == NULL ? "" : answer->ticket;

  report_attempt (node, attempt, outcome, answer == NULL ? 0 : answer->load);
  if (outcome == FW_UNKNOWN || outcome == FW_FAILED)
    attempt->may_have_run = true;
  else if (outcome == FW_NOT_RUN && !attempt->has_ticket)
    {
      char *key = g_strdup_printf ("%" G_GUINT64_FORMAT, attempt->id);

      record_not_run (simulation, key);
      g_free (key);
    }
  if (ticket[0] == '\0' && attempt->target_count < ATTEMPTS_MAX
      && fb_read_clock (simulation->clock) < attempt->deadline
      && fr_is_retry_safe (outcome, request->repeatable, attempt->has_ticket)
      && fr_withdraw_retry (node->budget, service, 0))
    {
      simulation->totals[TOTAL_RETRIED]++;
      send_attempt (node, attempt);
    }
  else
    end_attempt (node, attempt, outcome, answer == NULL ? "" : answer->body, ticket);
}

void
handle_answer (node_t *node, const event_t *event)
{
  attempt_t *attempt = remove_attempt (node, event->attempt);

  if (attempt == NULL)
    node->simulation->totals[TOTAL_LATE]++;
  else
    handle_attempt_outcome (node, attempt, event->outcome, event);
}

void
handle_timeout (node_t *node, const event_t *event)
{
  attempt_t *attempt = remove_attempt (node, event->attempt);
  event_t cancel = { .kind = EVENT_CANCEL };

  if (attempt == NULL)
    return;
  cancel.node = attempt->target;
  cancel.start_id = node->simulation->nodes[attempt->target].start_id;
  cancel.attempt = attempt->id;
  send_event (node, &cancel);
  handle_attempt_outcome (node, attempt, FW_UNKNOWN, NULL);
}
