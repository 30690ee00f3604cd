/* The fake service: nodes beside their backend servers. */
#include "fixture-world.h"
#include <string.h>

#define SLOTS 3

/* Small, so that the bounds are reached. */
#define RECORDS_MAX 12
#define BYTES_MAX 100

static const fr_rank_options_t rules[RANKS] = {
  { 0.4, 50 * FB_MILLISECOND, 6 },
  { 0.3, 100 * FB_MILLISECOND, 6 },
  { 0.1, 500 * FB_MILLISECOND, 6 },
};

static void
free_work (void *data)
{
  work_t *work = data;

  g_ptr_array_free (work->waiters, TRUE);
  g_free (work);
}

/* Sends OUTCOME to the entry node of the use CALL. */
static void
send_answer (node_t *node, const event_t *call, fw_outcome_t outcome, fb_bytes_t body,
             const char *ticket)
{
  event_t answer = { .kind = EVENT_ANSWER,
                     .node = call->entry,
                     .start_id = call->entry_start,
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
answer_work (work_t *work, fw_outcome_t outcome, fb_bytes_t body)
{
  for (size_t i = 0; i < work->waiters->len; i++)
    send_answer (work->node, g_ptr_array_index (work->waiters, i), outcome, body, "");
}

/* Counts that KEY, a ticket or an attempt without one, reached the backend server. */
static void
count_run (world_t *world, const work_t *work)
{
  char *key = work->has_ticket ? g_strdup (work->call.ticket)
                               : g_strdup_printf ("%" G_GUINT64_FORMAT, work->call.attempt);
  guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (world->runs, key)) + 1;

  g_assert_cmpuint (runs, ==, 1);
  g_assert_false (g_hash_table_contains (world->refused, key));
  g_hash_table_insert (world->runs, key, GUINT_TO_POINTER (runs));
  world->totals[TOTAL_RUNS]++;
}

static void
on_start (void *call, void *user)
{
  node_t *node = user;
  work_t *work = call;
  world_t *world = node->world;
  fb_time_t service = (fb_time_t)g_rand_int_range (world->random, 1, 40) * FB_MILLISECOND;
  bool cold = fb_read_clock (world->clock) - node->started < 2 * FB_SECOND;
  event_t *finish;

  g_assert_false (work->started);
  work->started = true;
  node->running++;
  g_assert_cmpuint (node->running, <=, node->slots);
  /* A server that sheds load does not run the request, but the node cannot know that. */
  if (world->shedding == node->index && draw (world, 0.5))
    work->failed = true;
  else
    count_run (world, work);
  if (world->failing == node->index && draw (world, 0.8))
    work->failed = true;
  finish = add_event (world, EVENT_FINISH, node->index,
                      work->failed ? FB_MILLISECOND : service * (cold ? 4 : 1));
  finish->start_id = node->start_id;
  finish->attempt = work->id;
}

static void
on_refuse (void *call, fr_refusal_t refusal, void *user)
{
  node_t *node = user;
  work_t *work = call;

  g_assert_false (work->started);
  if (work->has_ticket)
    fr_abandon_once (node->once, &work->ticket);
  answer_work (work, FW_NOT_RUN, (fb_bytes_t){ NULL, 0 });
  g_hash_table_remove (node->works, &work->id);
}

/* Offers the use CALL to admission. */
static void
offer_work (node_t *node, const event_t *call, const fr_ticket_t *ticket)
{
  static const char *customers[] = { "a", "b", "c" };
  world_t *world = node->world;
  const request_t *request = &world->requests[call->request];
  work_t *work = g_new0 (work_t, 1);

  work->id = ++world->ids;
  work->node = node;
  work->call = *call;
  work->has_ticket = ticket != NULL;
  if (ticket != NULL)
    work->ticket = *ticket;
  work->waiters = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (work->waiters, g_memdup2 (call, sizeof *call));
  g_hash_table_insert (node->works, &work->id, work);
  fr_offer_call (node->admission, work->id, work, request->rank,
                 fb_wrap_text (customers[call->request % G_N_ELEMENTS (customers)]), 1,
                 fb_read_clock (world->clock) + call->remaining);
}

/* Lets CALL wait for the running use of its ticket. */
static void
join_work (node_t *node, const event_t *call)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, node->works);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      work_t *work = value;

      if (!work->has_ticket || strcmp (work->call.ticket, call->ticket) != 0)
        continue;
      g_ptr_array_add (work->waiters, g_memdup2 (call, sizeof *call));
      node->world->totals[TOTAL_WAITED]++;
      return;
    }
  g_assert_not_reached ();
}

static void
handle_ticket (node_t *node, const event_t *call)
{
  uint64_t *totals = node->world->totals;
  const fb_bytes_t nothing = { NULL, 0 };
  fr_ticket_t ticket;
  fb_bytes_t answer;

  g_assert_cmpint (fr_parse_ticket (fb_wrap_text (call->ticket), &ticket), ==, FB_OK);
  switch (fr_begin_once (node->once, &ticket, call->request, &answer))
    {
    case FR_ONCE_RUN:
      offer_work (node, call, &ticket);
      break;
    case FR_ONCE_RUNNING:
      join_work (node, call);
      break;
    case FR_ONCE_ANSWERED:
      totals[TOTAL_REPLAYED]++;
      send_answer (node, call, FW_ANSWERED, answer, "");
      break;
    case FR_ONCE_UNKNOWN:
    case FR_ONCE_MISMATCH:
      totals[TOTAL_UNRECORDED]++;
      send_answer (node, call, FW_UNKNOWN, nothing, "");
      break;
    case FR_ONCE_OTHER_PROCESS:
      totals[TOTAL_FOREIGN]++;
      send_answer (node, call, FW_UNKNOWN, nothing, "");
      break;
    case FR_ONCE_REFUSED:
    case FR_ONCE_INVALID:
      totals[TOTAL_CLOSED]++;
      send_answer (node, call, FW_NOT_RUN, nothing, "");
      break;
    }
}

void
handle_call (node_t *node, const event_t *call)
{
  char ticket[FR_TICKET_MAX];

  if (call->ticket[0] != '\0')
    handle_ticket (node, call);
  else if (!node->world->requests[call->request].repeatable)
    {
      fr_issue_ticket (node->once, ticket);
      send_answer (node, call, FW_NOT_RUN, (fb_bytes_t){ NULL, 0 }, ticket);
    }
  else if (g_hash_table_add (node->seen, g_memdup2 (&call->attempt, sizeof call->attempt)))
    offer_work (node, call, NULL);
}

void
handle_cancel (node_t *node, const event_t *event)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, node->works);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const work_t *work = value;

      if (work->call.attempt != event->attempt || work->has_ticket)
        continue;
      fr_cancel_call (node->admission, work->id);
      return;
    }
}

void
handle_finish (node_t *node, const event_t *event)
{
  work_t *work = g_hash_table_lookup (node->works, &event->attempt);
  char text[TEXT_MAX] = "";
  fb_bytes_t body = { (const uint8_t *)text, 0 };

  g_assert_nonnull (work);
  if (!work->failed)
    body.len = (size_t)g_snprintf (text, sizeof text, "answer to %u", work->call.request);
  node->running--;
  if (work->has_ticket)
    fr_end_once (node->once, &work->ticket, body);
  if (!work->failed)
    answer_work (work, FW_ANSWERED, body);
  else
    answer_work (work, work->has_ticket ? FW_UNKNOWN : FW_FAILED, body);
  g_hash_table_steal (node->works, &work->id);
  fr_finish_call (node->admission, work->id);
  free_work (work);
}

void
start_node (node_t *node)
{
  world_t *world = node->world;
  const fr_admission_hooks_t hooks = { on_start, on_refuse, node };
  fb_name_t zone = fb_make_name (node->index % 2 == 0 ? "zone-0" : "zone-1");
  uint8_t secret[32] = { 0 };

  g_assert_cmpuint (node->start_id, ==, 0);
  node->start_id = ++world->ids;
  memcpy (secret, &node->start_id, sizeof node->start_id);
  node->started = fb_read_clock (world->clock);
  node->paused_until = 0;
  node->draining = false;
  node->running = 0;
  node->slots = SLOTS;
  node->admission = fr_create_admission (FR_POLICY_SHARES, SLOTS, rules, RANKS, world->clock,
                                         world->counters, &hooks);
  node->once = fr_create_once (&node->id, node->start_id, secret, RECORDS_MAX, BYTES_MAX);
  node->picker = fr_create_picker (FR_PICK_TWO_CHOICES, &node->id, &zone,
                                   g_rand_int (world->random), world->clock);
  node->budget = fr_create_retry_budget (world->clock);
  node->throttle = fr_create_throttle (g_rand_int (world->random), world->clock);
  node->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  node->works = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_work);
  node->seen = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
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
  g_hash_table_destroy (node->attempts);
  g_hash_table_destroy (node->works);
  g_hash_table_destroy (node->seen);
}
