/* Simulated service: target nodes and their backend servers. */
#include "fixture-simulation.h"
#include <string.h>

#define SLOTS 3

/* Small, so that the limits are reached. */
#define RECORDS_MAX 12
#define ANSWER_BYTES_MAX 100

static const fr_rank_options_t rank_options[RANKS] = {
  { 0.4, 50 * FB_MILLISECOND, 6 },
  { 0.3, 100 * FB_MILLISECOND, 6 },
  { 0.1, 500 * FB_MILLISECOND, 6 },
};

static void
free_backend_call (void *data)
{
  backend_call_t *backend_call = data;

  g_ptr_array_free (backend_call->waiters, TRUE);
  g_free (backend_call);
}

static void
send_answer (node_t *node, const event_t *call, fw_outcome_t outcome, fb_bytes_t body,
             const char *ticket)
{
  event_t answer = { .kind = EVENT_ANSWER,
                     .node = call->entry,
                     .start_id = call->entry_start_id,
                     .attempt = call->attempt,
                     .outcome = outcome,
                     .load = fr_get_load (node->admission) };

  g_assert_cmpuint (body.len, <, TEXT_MAX);
  if (body.len > 0)
    memcpy (answer.body, body.data, body.len);
  g_strlcpy (answer.ticket, ticket, TEXT_MAX);
  send_event (node, &answer);
}

static void
answer_backend_call (backend_call_t *backend_call, fw_outcome_t outcome, fb_bytes_t body)
{
  for (size_t i = 0; i < backend_call->waiters->len; i++)
    send_answer (backend_call->node, g_ptr_array_index (backend_call->waiters, i), outcome,
                 body, "");
}

/* Counts a run by ticket, or by attempt without one; each may run once. */
static void
count_run (simulation_t *simulation, const backend_call_t *backend_call)
{
  char *key = backend_call->has_ticket
                  ? g_strdup (backend_call->call.ticket)
                  : g_strdup_printf ("%" G_GUINT64_FORMAT, backend_call->call.attempt);
  guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (simulation->runs, key)) + 1;

  g_assert_cmpuint (runs, ==, 1);
  g_assert_false (g_hash_table_contains (simulation->not_run, key));
  g_hash_table_insert (simulation->runs, key, GUINT_TO_POINTER (runs));
  simulation->totals[TOTAL_RUNS]++;
}

static void
on_start (void *call, void *user)
{
  node_t *node = user;
  backend_call_t *backend_call = call;
  simulation_t *simulation = node->simulation;
  fb_time_t service_time
      = (fb_time_t)g_rand_int_range (simulation->random, 1, 40) * FB_MILLISECOND;
  bool warming_up = fb_read_clock (simulation->clock) - node->started_at < 2 * FB_SECOND;
  event_t *finish;

  g_assert_false (backend_call->started);
  backend_call->started = true;
  node->running++;
  g_assert_cmpuint (node->running, <=, node->slots);
  /* A server that sheds load does not run the request, which the node cannot know. */
  if (simulation->shedding_node == node->index && draw_chance (simulation, 0.5))
    backend_call->failed = true;
  else
    count_run (simulation, backend_call);
  if (simulation->failing_node == node->index && draw_chance (simulation, 0.8))
    backend_call->failed = true;
  finish
      = add_event (simulation, EVENT_FINISH, node->index,
                   backend_call->failed ? FB_MILLISECOND : service_time * (warming_up ? 4 : 1));
  finish->start_id = node->start_id;
  finish->attempt = backend_call->id;
}

static void
on_refuse (void *call, fr_refusal_t refusal, void *user)
{
  node_t *node = user;
  backend_call_t *backend_call = call;

  g_assert_false (backend_call->started);
  if (backend_call->has_ticket)
    fr_abandon_once (node->once, &backend_call->ticket);
  answer_backend_call (backend_call, FW_NOT_RUN, (fb_bytes_t){ NULL, 0 });
  g_hash_table_remove (node->backend_calls, &backend_call->id);
}

static void
offer_backend_call (node_t *node, const event_t *call, const fr_ticket_t *ticket)
{
  static const char *customers[] = { "a", "b", "c" };
  simulation_t *simulation = node->simulation;
  const request_t *request = &simulation->requests[call->request];
  backend_call_t *backend_call = g_new0 (backend_call_t, 1);

  backend_call->id = ++simulation->last_id;
  backend_call->node = node;
  backend_call->call = *call;
  backend_call->has_ticket = ticket != NULL;
  if (ticket != NULL)
    backend_call->ticket = *ticket;
  backend_call->waiters = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (backend_call->waiters, g_memdup2 (call, sizeof *call));
  g_hash_table_insert (node->backend_calls, &backend_call->id, backend_call);
  fr_offer_call (node->admission, backend_call->id, backend_call, request->rank,
                 fb_wrap_text (customers[call->request % G_N_ELEMENTS (customers)]), 1,
                 fb_read_clock (simulation->clock) + call->remaining);
}

static void
join_backend_call (node_t *node, const event_t *call)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, node->backend_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      backend_call_t *backend_call = value;

      if (!backend_call->has_ticket || strcmp (backend_call->call.ticket, call->ticket) != 0)
        continue;
      g_ptr_array_add (backend_call->waiters, g_memdup2 (call, sizeof *call));
      node->simulation->totals[TOTAL_JOINED]++;
      return;
    }
  g_assert_not_reached ();
}

static void
handle_ticket (node_t *node, const event_t *call)
{
  uint64_t *totals = node->simulation->totals;
  const fb_bytes_t empty = { NULL, 0 };
  fr_ticket_t ticket;
  fb_bytes_t answer;

  g_assert_cmpint (fr_parse_ticket (fb_wrap_text (call->ticket), &ticket), ==, FB_OK);
  switch (fr_begin_once (node->once, &ticket, call->request, &answer))
    {
    case FR_ONCE_RUN:
      offer_backend_call (node, call, &ticket);
      break;
    case FR_ONCE_RUNNING:
      join_backend_call (node, call);
      break;
    case FR_ONCE_ANSWERED:
      totals[TOTAL_REPLAYED]++;
      send_answer (node, call, FW_ANSWERED, answer, "");
      break;
    case FR_ONCE_UNKNOWN:
    case FR_ONCE_MISMATCH:
      totals[TOTAL_NO_RECORD]++;
      send_answer (node, call, FW_UNKNOWN, empty, "");
      break;
    case FR_ONCE_OTHER_PROCESS:
      totals[TOTAL_OTHER_PROCESS]++;
      send_answer (node, call, FW_UNKNOWN, empty, "");
      break;
    case FR_ONCE_REFUSED:
    case FR_ONCE_INVALID:
      totals[TOTAL_REFUSED]++;
      send_answer (node, call, FW_NOT_RUN, empty, "");
      break;
    }
}

void
handle_call (node_t *node, const event_t *call)
{
  char ticket[FR_TICKET_SIZE];

  if (call->ticket[0] != '\0')
    handle_ticket (node, call);
  else if (!node->simulation->requests[call->request].repeatable)
    {
      fr_issue_ticket (node->once, ticket);
      send_answer (node, call, FW_NOT_RUN, (fb_bytes_t){ NULL, 0 }, ticket);
    }
  else if (g_hash_table_add (node->seen_attempts,
                             g_memdup2 (&call->attempt, sizeof call->attempt)))
    offer_backend_call (node, call, NULL);
}

void
handle_cancel (node_t *node, const event_t *event)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, node->backend_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const backend_call_t *backend_call = value;

      if (backend_call->call.attempt != event->attempt || backend_call->has_ticket)
        continue;
      fr_cancel_call (node->admission, backend_call->id);
      return;
    }
}

void
handle_finish (node_t *node, const event_t *event)
{
  backend_call_t *backend_call = g_hash_table_lookup (node->backend_calls, &event->attempt);
  char text[TEXT_MAX] = "";
  fb_bytes_t body = { (const uint8_t *)text, 0 };

  g_assert_nonnull (backend_call);
  if (!backend_call->failed)
    body.len
        = (size_t)g_snprintf (text, sizeof text, "answer to %u", backend_call->call.request);
  node->running--;
  if (backend_call->has_ticket)
    fr_end_once (node->once, &backend_call->ticket, body);
  if (!backend_call->failed)
    answer_backend_call (backend_call, FW_ANSWERED, body);
  else
    answer_backend_call (backend_call, backend_call->has_ticket ? FW_UNKNOWN : FW_FAILED, body);
  g_hash_table_steal (node->backend_calls, &backend_call->id);
  fr_finish_call (node->admission, backend_call->id);
  free_backend_call (backend_call);
}

void
start_node (node_t *node)
{
  simulation_t *simulation = node->simulation;
  const fr_admission_hooks_t hooks = { on_start, on_refuse, node };
  fb_name_t zone = fb_make_name (node->index % 2 == 0 ? "zone-0" : "zone-1");
  uint8_t secret[32] = { 0 };

  g_assert_cmpuint (node->start_id, ==, 0);
  node->start_id = ++simulation->last_id;
  memcpy (secret, &node->start_id, sizeof node->start_id);
  node->started_at = fb_read_clock (simulation->clock);
  node->paused_until = 0;
  node->draining = false;
  node->running = 0;
  node->slots = SLOTS;
  node->admission = fr_create_admission (FR_POLICY_SHARES, SLOTS, rank_options, RANKS,
                                         simulation->clock, simulation->counters, &hooks);
  node->once
      = fr_create_once (&node->id, node->start_id, secret, RECORDS_MAX, ANSWER_BYTES_MAX);
  node->picker = fr_create_picker (FR_PICK_TWO_CHOICES, &node->id, &zone,
                                   g_rand_int (simulation->random), simulation->clock);
  node->budget = fr_create_retry_budget (simulation->clock);
  node->throttle = fr_create_throttle (g_rand_int (simulation->random), simulation->clock);
  node->entry_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  node->backend_calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_backend_call);
  node->seen_attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
kill_node (node_t *node)
{
  node->start_id = 0;
  fr_destroy_admission (node->admission);
  fr_destroy_once (node->once);
  fr_destroy_picker (node->picker);
  fr_destroy_retry_budget (node->budget);
  fr_destroy_throttle (node->throttle);
  g_hash_table_destroy (node->entry_calls);
  g_hash_table_destroy (node->backend_calls);
  g_hash_table_destroy (node->seen_attempts);
}
