/* Run of an open-loop load: calls start when due, independent of earlier ones. */
#include "load.h"

/* The shortest timer period allowed. Calls due within a period start together; each latency
 * counts from its own due time. */
#define START_INTERVAL FB_MILLISECOND

#define RESPONSE_BYTES_MAX (8 * 1024 * 1024)

typedef struct
{
  load_plan_t *plan;
  fk_kernel_t *kernel;
  fh_client_t *clients[LOAD_ENTRIES_MAX];
  GRand *random;
  uint64_t call_count; /* calls to offer */
  uint64_t next_call;  /* number of the next call */
  uint32_t in_flight;
  fb_time_t started_at;
} run_t;

typedef struct
{
  run_t *run;
  load_kind_t *kind;
  fh_client_t *client;
  fb_time_t due_at;
  bool is_repeat;
} call_t;

static void send_call (call_t *call, fb_str_t ticket);

static fb_time_t
read_clock (const run_t *run)
{
  return fb_read_clock (fk_get_clock (run->kernel));
}

static void
quit_if_complete (run_t *run)
{
  if (run->next_call == run->call_count && run->in_flight == 0)
    fk_quit (run->kernel);
}

static void
handle_response (const fh_response_t *response, void *user)
{
  call_t *call = user;
  run_t *run = call->run;
  load_kind_t *kind = call->kind;
  fb_str_t ticket = fh_find_header (response->headers, response->header_count,
                                    FB_LITERAL ("foxtailrun-ticket"));
  fb_time_t latency = read_clock (run) - call->due_at;
  load_outcome_t outcome;

  if (kind->ticket && !call->is_repeat && response->status == 428 && ticket.len > 0)
    {
      call->is_repeat = true;
      kind->ticket_repeats++;
      send_call (call, ticket);
      return;
    }
  outcome = load_classify_response (response);
  kind->outcomes[outcome]++;
  if (outcome == LOAD_ANSWERED)
    g_array_append_val (kind->latencies, latency);
  g_free (call);
  run->in_flight--;
  quit_if_complete (run);
}

static void
send_call (call_t *call, fb_str_t ticket)
{
  const load_kind_t *kind = call->kind;
  fh_header_t headers[2];
  fh_client_request_t outgoing = { .method = fb_wrap_text (kind->method),
                                   .path = fb_wrap_text (kind->path),
                                   .headers = headers };

  if (kind->customer.len > 0)
    headers[outgoing.header_count++]
        = (fh_header_t){ FB_LITERAL ("foxtailrun-customer"), fb_get_name (&kind->customer) };
  if (ticket.len > 0)
    headers[outgoing.header_count++]
        = (fh_header_t){ FB_LITERAL ("foxtailrun-ticket"), ticket };
  fh_send_request (call->client, &outgoing, handle_response, call);
}

static fb_time_t
compute_due_time (const run_t *run, uint64_t number)
{
  return run->started_at + (fb_time_t)(number * FB_SECOND / run->plan->rate);
}

/* Starts the next call, or counts it as not started. */
static void
offer_call (run_t *run)
{
  load_plan_t *plan = run->plan;
  uint64_t number = run->next_call++;
  load_kind_t *kind = load_draw_kind (plan, run->random);
  call_t *call;

  kind->offered++;
  if (run->in_flight >= plan->in_flight_max)
    {
      kind->outcomes[LOAD_NOT_STARTED]++;
      return;
    }
  call = g_new0 (call_t, 1);
  call->run = run;
  call->kind = kind;
  call->client = run->clients[number % plan->entry_count];
  call->due_at = compute_due_time (run, number);
  run->in_flight++;
  plan->in_flight_peak = MAX (plan->in_flight_peak, run->in_flight);
  send_call (call, (fb_str_t){ NULL, 0 });
}

static void
offer_due_calls (void *user)
{
  run_t *run = user;
  fb_time_t now = read_clock (run);

  while (run->next_call < run->call_count && compute_due_time (run, run->next_call) <= now)
    offer_call (run);
  quit_if_complete (run);
}

void
load_run (load_plan_t *plan)
{
  run_t run = { .plan = plan, .call_count = (uint64_t)plan->rate * plan->duration_s };
  fk_timer_t *timer;

  run.kernel = fk_create_kernel (NULL);
  run.random = g_rand_new_with_seed (plan->seed);
  for (size_t i = 0; i < plan->entry_count; i++)
    run.clients[i] = fh_create_client (run.kernel, &plan->entries[i].address,
                                       plan->entries[i].port, plan->in_flight_max,
                                       RESPONSE_BYTES_MAX, plan->timeout_ms * FB_MILLISECOND);
  run.started_at = read_clock (&run);
  timer = fk_create_timer (run.kernel, START_INTERVAL, offer_due_calls, &run);
  fk_run (run.kernel);
  plan->elapsed = read_clock (&run) - run.started_at;
  fk_destroy_timer (timer);
  for (size_t i = 0; i < plan->entry_count; i++)
    fh_destroy_client (run.clients[i]);
  g_rand_free (run.random);
  fk_destroy_kernel (run.kernel);
}
