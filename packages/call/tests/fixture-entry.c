/* The fake service: entry nodes and callers. */
#include "fixture-world.h"
#include <string.h>

#define ATTEMPTS_MAX 3

static const fb_str_t service = FB_LITERAL ("service");

/* Records that KEY was said not to have run; from now on it must never run. */
static void
note_refused (world_t *world, const char *key)
{
  g_assert_false (g_hash_table_contains (world->runs, key));
  g_hash_table_add (world->refused, g_strdup (key));
}

static void
end_request (world_t *world, request_t *request, fw_outcome_t outcome)
{
  request->done = true;
  request->outcome = outcome;
  if (outcome == FW_ANSWERED)
    world->totals[TOTAL_ANSWERED]++;
  else if (outcome == FW_NOT_RUN)
    world->totals[TOTAL_NOT_RUN]++;
  else
    world->totals[TOTAL_UNKNOWN]++;
}

/* Sends the request of a caller once more, soon or much later. */
static void
repeat_request (world_t *world, request_t *request)
{
  fb_time_t delay
      = (fb_time_t)g_rand_int_range (world->random, 1, draw (world, 0.2) ? 3000 : 50)
        * FB_MILLISECOND;
  event_t *event = add_event (world, EVENT_REQUEST,
                              (uint32_t)g_rand_int_range (world->random, 0, NODES), delay);

  event->request = request->index;
}

void
handle_caller_reply (world_t *world, uint32_t index, uint32_t number, fw_outcome_t outcome,
                     const char *body, const char *ticket)
{
  request_t *request = &world->requests[index];
  char expected[TEXT_MAX];

  if (request->done || request->tries != number)
    return;
  /* An older try is not waited for any more. */
  request->tries++;
  if (outcome == FW_ANSWERED)
    {
      g_snprintf (expected, sizeof expected, "answer to %u", index);
      g_assert_cmpstr (body, ==, expected);
      end_request (world, request, outcome);
      return;
    }
  if (outcome == FW_NOT_RUN && request->ticket[0] != '\0')
    {
      note_refused (world, request->ticket);
      request->ticket[0] = '\0';
      if (draw (world, 0.5))
        {
          end_request (world, request, FW_NOT_RUN);
          return;
        }
    }
  if (ticket[0] != '\0')
    g_strlcpy (request->ticket, ticket, TEXT_MAX);
  if (request->tries >= TRIES_MAX || (request->repeatable && draw (world, 0.5)))
    end_request (world, request, outcome);
  else
    repeat_request (world, request);
}

static void
end_attempt (node_t *node, attempt_t *attempt, fw_outcome_t outcome, const char *body,
             const char *ticket)
{
  if (outcome == FW_NOT_RUN && attempt->may_have_run)
    outcome = FW_UNKNOWN;
  handle_caller_reply (node->world, attempt->request, attempt->number, outcome, body, ticket);
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
           || !fr_pick_ranked (node->picker, service, rank, service, attempt->tried,
                               attempt->tries, &picked))
    return false;
  attempt->tried[attempt->tries++] = picked;
  attempt->target = (uint32_t)(picked.data[picked.len - 1] - '0');
  return true;
}

/* Sends ATTEMPT and takes it over. */
static void
send_attempt (node_t *node, attempt_t *attempt)
{
  world_t *world = node->world;
  fb_time_t now = fb_read_clock (world->clock);
  event_t call = { .kind = EVENT_CALL, .entry = node->index, .entry_start = node->start_id };
  event_t *timeout;

  if (!choose_target (node, attempt, world->requests[attempt->request].rank))
    {
      end_attempt (node, attempt, FW_NOT_RUN, "", "");
      return;
    }
  attempt->id = ++world->ids;
  attempt->sent = now;
  call.node = attempt->target;
  call.start_id = world->nodes[attempt->target].start_id;
  call.attempt = attempt->id;
  call.request = attempt->request;
  call.remaining = attempt->deadline - now;
  g_strlcpy (call.ticket, attempt->ticket, TEXT_MAX);
  if (call.start_id != 0)
    send_event (node, &call);
  timeout = add_event (world, EVENT_TIMEOUT, node->index, call.remaining);
  timeout->start_id = node->start_id;
  timeout->attempt = attempt->id;
  g_hash_table_insert (node->attempts, &attempt->id, attempt);
}

void
handle_request (node_t *node, const event_t *event)
{
  world_t *world = node->world;
  const request_t *request = &world->requests[event->request];
  attempt_t *attempt = g_new0 (attempt_t, 1);

  attempt->request = request->index;
  attempt->number = request->tries;
  attempt->has_ticket = request->ticket[0] != '\0';
  g_strlcpy (attempt->ticket, request->ticket, TEXT_MAX);
  attempt->deadline = fb_read_clock (world->clock)
                      + (fb_time_t)g_rand_int_range (world->random, 20, 500) * FB_MILLISECOND;
  fr_deposit_retry (node->budget, service);
  send_attempt (node, attempt);
}

/* Takes the attempt ID out of the node, or returns NULL when it has ended. */
static attempt_t *
take_attempt (node_t *node, uint64_t id)
{
  attempt_t *attempt = g_hash_table_lookup (node->attempts, &id);

  if (attempt != NULL)
    g_hash_table_steal (node->attempts, &id);
  return attempt;
}

/* Tells picker and throttle how ATTEMPT ended. */
static void
report_attempt (node_t *node, const attempt_t *attempt, fw_outcome_t outcome, uint32_t load)
{
  static const fr_result_t results[] = {
    [FW_ANSWERED] = FR_RESULT_ANSWERED,
    [FW_NOT_RUN] = FR_RESULT_REFUSED,
    [FW_UNKNOWN] = FR_RESULT_FAILED,
    [FW_FAILED] = FR_RESULT_FAILED,
  };
  uint32_t rank = node->world->requests[attempt->request].rank;

  fr_report_ranked (node->picker, &attempt->tried[attempt->tries - 1], rank, results[outcome],
                    fb_read_clock (node->world->clock) - attempt->sent, load);
  if (!attempt->has_ticket)
    fr_report_upstream (node->throttle, service, rank, outcome != FW_NOT_RUN);
}

/* Ends ATTEMPT with OUTCOME or makes it again. */
static void
conclude_attempt (node_t *node, attempt_t *attempt, fw_outcome_t outcome, const event_t *answer)
{
  world_t *world = node->world;
  const request_t *request = &world->requests[attempt->request];
  const char *ticket = answer == NULL ? "" : answer->ticket;

  report_attempt (node, attempt, outcome, answer == NULL ? 0 : answer->load);
  if (outcome == FW_UNKNOWN || outcome == FW_FAILED)
    attempt->may_have_run = true;
  else if (outcome == FW_NOT_RUN && !attempt->has_ticket)
    {
      char *key = g_strdup_printf ("%" G_GUINT64_FORMAT, attempt->id);

      note_refused (world, key);
      g_free (key);
    }
  if (ticket[0] == '\0' && attempt->tries < ATTEMPTS_MAX
      && fb_read_clock (world->clock) < attempt->deadline
      && fr_is_retry_safe (outcome, request->repeatable, attempt->has_ticket)
      && fr_withdraw_retry (node->budget, service, 0))
    {
      world->totals[TOTAL_RETRIED]++;
      send_attempt (node, attempt);
    }
  else
    end_attempt (node, attempt, outcome, answer == NULL ? "" : answer->body, ticket);
}

void
handle_answer (node_t *node, const event_t *event)
{
  attempt_t *attempt = take_attempt (node, event->attempt);

  if (attempt == NULL)
    node->world->totals[TOTAL_LATE]++;
  else
    conclude_attempt (node, attempt, event->outcome, event);
}

void
handle_timeout (node_t *node, const event_t *event)
{
  attempt_t *attempt = take_attempt (node, event->attempt);
  event_t cancel = { .kind = EVENT_CANCEL };

  if (attempt == NULL)
    return;
  cancel.node = attempt->target;
  cancel.start_id = node->world->nodes[attempt->target].start_id;
  cancel.attempt = attempt->id;
  send_event (node, &cancel);
  conclude_attempt (node, attempt, FW_UNKNOWN, NULL);
}
