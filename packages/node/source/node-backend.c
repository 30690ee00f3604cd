/* Backend service: admits calls to the local backend server and runs them there. */
#include "node-backend.h"
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Precision of deadlines in the queue; each tick wakes up the process. */
#define TICK_PERIOD (10 * FB_MILLISECOND)

/* Limit of each wait for data from the backend server. On a stalled connection, frees the
 * slots of calls that no deadline cancels, such as those with a ticket. */
#define BACKEND_IO_TIMEOUT (30 * FB_SECOND)

/* Limit of the remaining time that another node may send with a call. */
#define REMAINING_TIME_MAX_US 3600000000U

#define IDLE_CONNECTIONS_MAX 32

/* Timeout of connecting to the backend server, on the same host. */
#define CONNECT_TIMEOUT (250 * FB_MILLISECOND)

/* Time after a failed connection in which calls are refused without a new attempt. */
#define RECONNECT_DELAY (250 * FB_MILLISECOND)

#define ONCE_RECORDS_MAX 20000
#define ONCE_BYTES_MAX (8 * 1024 * 1024)

static void
free_call (void *data)
{
  fn_backend_call_t *backend_call = data;

  g_free (backend_call->header);
  g_free (backend_call->body);
  g_free (backend_call);
}

/* Returns the index of the call's rank, or of the least urgent one if not in the snapshot. */
static uint32_t
find_rank (const fn_backend_call_t *backend_call)
{
  const fc_snapshot_t *snapshot
      = fn_get_snapshot (fk_find_service (backend_call->backend->kernel, FN_DISTRIBUTION));
  uint32_t rank = snapshot ? (uint32_t)fc_count_ranks (snapshot) - 1 : 0;

  if (snapshot)
    fc_find_rank (snapshot, backend_call->call.rank, &rank);
  return rank;
}

static void
log_unanswered (const fn_backend_call_t *backend_call, const fw_call_t *answer)
{
  fn_backend_t *backend = backend_call->backend;
  fb_time_t now = fb_read_clock (fk_get_clock (backend->kernel));

  FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_SERVED,
          fw_describe_outcome (answer->outcome), FB_STR ("id", backend_call->call.request_id),
          FB_STR ("reason", answer->reason), FB_TEXT ("instance", backend->local.instance.data),
          FB_STR ("rank", backend_call->call.rank),
          FB_NUMBER ("running", backend_call->state == FN_CALL_RUNNING),
          FB_NUMBER ("left_ms", (backend_call->deadline - now) / FB_MILLISECOND),
          FB_NUMBER ("target_left_ms", (backend_call->target_time - now) / FB_MILLISECOND),
          FB_NUMBER ("started", fr_count_started (backend->admission)),
          FB_NUMBER ("waiting", fr_count_waiting (backend->admission)),
          FB_NUMBER ("wait_ms", answer->wait_us / 1000));
}

void
fn_answer_backend_call (fn_backend_call_t *backend_call, fw_call_t *answer)
{
  fn_backend_t *backend = backend_call->backend;

  answer->kind = FW_ANSWER;
  answer->load = fr_get_load (backend->admission);
  answer->wait_us
      = (uint64_t)(fr_get_expected_wait (backend->admission, find_rank (backend_call))
                   / FB_MICROSECOND);
  fn_set_answer_report (backend, answer);
  fn_set_answer_pace (backend_call, answer);
  if (answer->outcome != FW_ANSWERED)
    log_unanswered (backend_call, answer);
  if (backend_call->answered)
    backend_call->answered (answer, backend_call->user);
  g_hash_table_remove (backend->calls, &backend_call->handle);
}

void
fn_answer_outcome (fn_backend_call_t *backend_call, fw_outcome_t outcome, uint32_t status,
                   const char *reason)
{
  fw_call_t answer = { .outcome = outcome, .status = status, .reason = fb_wrap_text (reason) };

  if (outcome == FW_NOT_RUN)
    fb_add_counter (backend_call->backend->refused, 1);
  else if (outcome == FW_UNKNOWN)
    fb_add_counter (backend_call->backend->unknown, 1);
  fn_answer_backend_call (backend_call, &answer);
}

void
fn_refuse_for_retry_elsewhere (fn_backend_call_t *backend_call, uint32_t status,
                               const char *reason)
{
  fw_call_t answer = { .outcome = FW_NOT_RUN,
                       .status = status,
                       .reason = fb_wrap_text (reason),
                       .retry_elsewhere = true };

  fb_add_counter (backend_call->backend->refused, 1);
  fn_answer_backend_call (backend_call, &answer);
}

static void
finish_running (fn_backend_call_t *backend_call, fw_call_t *answer)
{
  fn_backend_t *backend = backend_call->backend;
  fb_time_t service = fb_read_clock (fk_get_clock (backend->kernel)) - backend_call->started_at;

  backend_call->exchange = NULL;
  answer->kind = FW_ANSWER;
  answer->reached_backend = !answer->retry_elsewhere;
  answer->service_us = (uint64_t)(service / FB_MICROSECOND);
  fb_observe_time (backend->service_times, service);
  if (answer->outcome == FW_UNKNOWN)
    fb_add_counter (backend->unknown, 1);
  if (backend_call->has_ticket)
    fn_end_ticket (backend_call, answer);
  fn_record_paced_call (backend_call, answer, find_rank (backend_call), service);
  fr_finish_call (backend->admission, backend_call->handle);
  fn_answer_backend_call (backend_call, answer);
}

static void
record_connect_failure (fn_backend_t *backend)
{
  fn_assume_cold_backend (backend->kernel, "no connection");
  backend->refuse_until = fb_read_clock (fk_get_clock (backend->kernel)) + RECONNECT_DELAY;
  FB_LOG (fk_get_log (backend->kernel), FB_LOG_WARNING, FN_BACKEND,
          "no connection to the backend server",
          FB_TEXT ("instance", backend->local.instance.data),
          FB_NUMBER ("refusing_ms", RECONNECT_DELAY / FB_MILLISECOND));
  fn_begin_ramp (backend, FR_PACE_CONNECTION);
}

static void
end_exchange (const fh_response_t *response, void *user)
{
  fn_backend_call_t *backend_call = user;
  fn_backend_t *backend = backend_call->backend;
  const fn_dialect_t *dialect = fn_get_adapter (backend->kernel)->dialect;
  fw_call_t answer = { .status = 502, .reason = fb_wrap_text (response->error) };
  const char *error = response->result == FH_ANSWERED
                          ? fn_find_response_error (dialect, response)
                          : response->error;

  /* A misdirected request says which instance is not here, even without proof that it was not
   * run. */
  if (response->result == FH_ANSWERED && (!error || response->status == FN_MISDIRECTED_STATUS))
    fn_handle_backend_report (backend_call, response);
  if (response->result == FH_NOT_SENT)
    {
      answer.outcome = FW_NOT_RUN;
      answer.status = 503;
      answer.retry_elsewhere = true;
      record_connect_failure (backend);
    }
  else if (error)
    {
      fb_add_counter (backend->unusable_responses, 1);
      /* A server that has ended and started again may be cold before its new start is listed.
       * Not assumed here: most lost calls are not due to that, and the limit of a cold server
       * would cut a warm one to a fraction of its rate. */
      if (response->result != FH_ANSWERED)
        fn_update_health (backend, true);
      fn_lose_call (backend_call, error);
      return;
    }
  else if (fn_reports_not_run (dialect, response))
    {
      answer.outcome = FW_NOT_RUN;
      answer.status = 503;
      answer.reason = FB_LITERAL ("refused by the backend server");
    }
  else
    {
      if (response->status < 500)
        fn_note_completion (backend_call);
      answer.outcome = FW_ANSWERED;
      answer.status = response->status;
      answer.body = response->body;
      answer.close_delimited = response->close_delimited;
      fn_set_answer_headers (&answer, response);
    }
  finish_running (backend_call, &answer);
}

void
fn_answer_lost_call (fn_backend_call_t *backend_call)
{
  bool may_have_run = backend_call->has_ticket || backend_call->call.at_most_once;
  fw_call_t answer = { .outcome = may_have_run ? FW_UNKNOWN : FW_FAILED,
                       .status = 502,
                       .reason = fb_wrap_text (backend_call->lost_reason),
                       .crash_id = backend_call->crash_id };

  finish_running (backend_call, &answer);
}

static void
send_to_backend (fn_backend_call_t *backend_call)
{
  fn_backend_t *backend = backend_call->backend;
  fb_time_t now = fb_read_clock (fk_get_clock (backend->kernel));
  const fn_dialect_t *dialect = fn_get_adapter (backend->kernel)->dialect;
  const fb_name_t *instance = &backend->local.instance;
  fb_str_t full_id = fw_get_instance_id (instance, &backend->local.full_id);
  fh_header_t headers[FW_HEADERS_MAX + 3];
  fh_client_request_t outgoing
      = { .method = backend_call->call.method,
          .host = backend_call->call.host,
          .path = backend_call->call.path,
          .headers = headers,
          .body = backend_call->call.body,
          .new_connection = backend_call->has_ticket || backend_call->call.at_most_once,
          .allows_close_delimited = dialect->allows_close_delimited };
  size_t count = backend_call->call.header_count;
  char remaining[24];

  for (size_t i = 0; i < count; i++)
    headers[i] = (fh_header_t){ backend_call->call.headers[i].name,
                                backend_call->call.headers[i].value };
  snprintf (remaining, sizeof remaining, "%" PRId64,
            (backend_call->deadline - now) / FB_MILLISECOND);
  headers[count++] = (fh_header_t){ dialect->timeout_ms, fb_wrap_text (remaining) };
  if (dialect->instance.len > 0 && instance->len > 0)
    headers[count++] = (fh_header_t){ dialect->instance, full_id };
  if (dialect->echoes_request_id)
    {
      outgoing.echoed_header
          = (fh_header_t){ dialect->request_id, backend_call->call.request_id };
      outgoing.requires_echo = dialect->requires_request_id;
      if (!fh_find_header (headers, count, dialect->request_id).data)
        headers[count++] = outgoing.echoed_header;
    }
  outgoing.header_count = count;
  backend_call->instance = *instance;
  backend_call->instance_incarnation = backend->local.incarnation;
  backend_call->started_at = now;
  fb_observe_time (backend->wait_times, now - backend_call->arrived_at);
  backend_call->state = FN_CALL_RUNNING;
  fb_add_counter (backend->started, 1);
  if (fr_needs_health_check (backend->warmup))
    fn_update_health (backend, true);
  backend_call->exchange
      = fh_send_request (backend->client, &outgoing, end_exchange, backend_call);
}

static void
start_call (void *call, void *user)
{
  send_to_backend (call);
}

/* Ends a call refused before it got a slot, and those that joined it. */
static void
refuse_call (void *call, fr_refusal_t refusal, void *user)
{
  fn_backend_call_t *backend_call = call;
  bool is_busy = refusal == FR_REFUSED_QUEUE_FULL || refusal == FR_REFUSED_RATE_LIMIT
                 || refusal == FR_REFUSED_WARMING_UP;
  fw_call_t answer = { .outcome = FW_NOT_RUN,
                       .status = is_busy ? 429 : 503,
                       .reason = fb_wrap_text (fr_describe_refusal (refusal)),
                       .retry_elsewhere = refusal == FR_REFUSED_CANCELLED };

  if (refusal == FR_REFUSED_CANCELLED && backend_call->answered
      && fn_is_evacuated (backend_call->backend))
    {
      answer.reason = FB_LITERAL (FN_EVACUATED_REASON);
      fb_add_counter (backend_call->backend->evacuated, 1);
    }
  fb_add_counter (backend_call->backend->refused, 1);
  if (backend_call->has_ticket)
    fn_end_ticket (backend_call, &answer);
  fn_answer_backend_call (backend_call, &answer);
}

void
fn_abort_running_call (fn_backend_call_t *backend_call, uint32_t status, const char *reason)
{
  fw_call_t answer = { .outcome = backend_call->call.at_most_once ? FW_UNKNOWN : FW_FAILED,
                       .status = status,
                       .reason = fb_wrap_text (reason),
                       .crash_id = backend_call->crash_id };

  fh_cancel_exchange (backend_call->exchange);
  finish_running (backend_call, &answer);
}

/* Cancels running calls past their deadline, except those with a ticket, whose answer is
 * recorded. */
static void
tick_backend (void *user)
{
  fn_backend_t *backend = user;
  fb_time_t now = fb_read_clock (fk_get_clock (backend->kernel));
  GPtrArray *expired = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  fr_tick_admission (backend->admission);
  g_hash_table_iter_init (&iter, backend->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      fn_backend_call_t *backend_call = value;
      if (backend_call->state == FN_CALL_RUNNING && !backend_call->has_ticket
          && now >= backend_call->deadline)
        g_ptr_array_add (expired, backend_call);
    }
  for (guint i = 0; i < expired->len; i++)
    {
      fn_abort_running_call (g_ptr_array_index (expired, i), 504,
                             "deadline passed at the backend server");
    }
  g_ptr_array_free (expired, TRUE);
  if (g_hash_table_size (backend->calls) == 0)
    fk_pause_timer (backend->tick_timer);
}

static fb_time_t
get_deadline (const fw_call_t *call, fb_time_t now)
{
  return now + (fb_time_t)MIN (call->remaining_us, REMAINING_TIME_MAX_US) * FB_MICROSECOND;
}

/* Returns why CALL is refused, or NULL if it is accepted. */
static const char *
find_refusal_reason (fn_backend_t *backend, const fw_call_t *call)
{
  fn_distribution_t *distribution = fk_find_service (backend->kernel, FN_DISTRIBUTION);
  const fc_settings_t *settings = fn_get_settings (backend->kernel);
  fb_time_t now = fb_read_clock (fk_get_clock (backend->kernel));
  fc_snapshot_t *snapshot;

  if (!fn_is_ready (distribution))
    return "node is not ready";
  snapshot = fn_get_snapshot (distribution);
  if (!backend->client || !snapshot
      || !fb_equal_str (call->service, fb_get_name (&settings->service))
      || !fc_find_service (snapshot, call->service, NULL))
    return "service is not served here";
  if (fn_get_adapter (backend->kernel)->source_lists_endpoints
      && (backend->local.instance.len == 0 || fn_is_backend_leaving (backend)))
    return "backend server is leaving or gone";
  if (fn_is_evacuated (backend))
    {
      fb_add_counter (backend->evacuated, 1);
      return FN_EVACUATED_REASON;
    }
  if (now < backend->refuse_until)
    return "backend server takes no connections";
  if (backend->closed || (backend->draining && call->ticket.len == 0))
    return "draining";
  if (!fn_can_finish_by (backend->kernel, get_deadline (call, now)))
    return FN_STOPS_BEFORE_DEADLINE;
  return NULL;
}

static bool
needs_ticket (fn_backend_t *backend, const fw_call_t *call)
{
  fc_snapshot_t *snapshot
      = fn_get_snapshot (fk_find_service (backend->kernel, FN_DISTRIBUTION));
  const fc_route_t *route = fc_find_route (snapshot, call->host, call->method, call->path);

  return route && !route->repeatable && route->ticket;
}

/* Returns a copy of CALL, or NULL if it has a text that calls between nodes cannot carry. */
static fn_backend_call_t *
create_call (fn_backend_t *backend, const fw_call_t *call)
{
  fn_backend_call_t *backend_call = g_new0 (fn_backend_call_t, 1);
  fb_time_t now;
  size_t length;

  backend_call->backend = backend;
  backend_call->handle = ++backend->last_handle;
  backend_call->header = fw_encode_call (call, &length);
  backend_call->body = g_memdup2 (call->body.data, call->body.len);
  if (fw_decode_call ((fb_bytes_t){ backend_call->header, length },
                      (fb_bytes_t){ backend_call->body, call->body.len }, &backend_call->call)
      != FB_OK)
    {
      free_call (backend_call);
      return NULL;
    }
  now = fb_read_clock (fk_get_clock (backend->kernel));
  backend_call->arrived_at = now;
  backend_call->deadline = get_deadline (call, now);
  backend_call->target_time
      = now + (fb_time_t)MIN (call->target_left_us, REMAINING_TIME_MAX_US) * FB_MICROSECOND;
  return backend_call;
}

/* Queues a call for a slot. Its ticket is now recorded as running, so that a copy of the
 * request joins it and needs no slot. */
static void
enqueue_call (fn_backend_call_t *backend_call)
{
  fn_backend_t *backend = backend_call->backend;
  fc_snapshot_t *snapshot
      = fn_get_snapshot (fk_find_service (backend->kernel, FN_DISTRIBUTION));
  fr_call_options_t times
      = { backend_call->deadline, backend_call->target_time, backend_call->call.goes_first };

  fn_adopt_reported_limit (backend, &backend_call->call);
  if (backend_call->has_ticket && !fn_begin_ticket (backend_call))
    return;
  fn_configure_backend_admission (backend, snapshot);
  fn_note_expected_service (backend_call, find_rank (backend_call));
  fr_offer_call_with_options (backend->admission, backend_call->handle, backend_call,
                              find_rank (backend_call), backend_call->call.customer,
                              fc_get_customer_weight (snapshot, backend_call->call.customer),
                              &times);
}

static fb_status_t
start_backend (fk_kernel_t *kernel, void *data)
{
  fn_backend_t *backend = data;
  const fc_settings_t *settings = fn_get_settings (kernel);

  if (settings->service.len > 0)
    backend->client
        = fh_create_client (kernel, &settings->backend.address, settings->backend.port,
                            IDLE_CONNECTIONS_MAX, FW_ANSWER_BODY_MAX, BACKEND_IO_TIMEOUT);
  if (backend->client)
    fh_set_connect_timeout (backend->client, CONNECT_TIMEOUT);
  backend->tick_timer = fk_create_timer (kernel, TICK_PERIOD, tick_backend, backend);
  fn_update_health (backend, false);
  fn_start_pace (backend);
  return FB_OK;
}

static void
stop_backend (void *data)
{
  fn_backend_t *backend = data;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, backend->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      fn_backend_call_t *backend_call = value;
      if (backend_call->exchange)
        fh_cancel_exchange (backend_call->exchange);
      backend_call->exchange = NULL;
    }
  fn_stop_health (backend->health);
  fh_cancel_probe (g_steal_pointer (&backend->probe));
  fk_destroy_timer (backend->tick_timer);
  fh_destroy_client (backend->client);
  backend->client = NULL;
}

static void
destroy_backend (void *data)
{
  fn_backend_t *backend = data;

  fr_destroy_admission (backend->admission);
  fr_destroy_rate_limit (backend->rate_limit);
  fn_destroy_health (backend->health);
  fr_destroy_warmup (backend->warmup);
  fr_destroy_pace (backend->pace);
  fr_destroy_once (backend->once);
  fc_release_snapshot (backend->admission_snapshot);
  g_hash_table_destroy (backend->calls);
  fb_destroy_histogram (backend->wait_times);
  fb_destroy_histogram (backend->service_times);
  g_free (backend);
}

void
fn_register_backend (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { start_backend, stop_backend, destroy_backend };
  static const fr_rank_options_t rank = { .share = 0, .latency_target = FB_SECOND };
  fn_backend_t *backend = g_new0 (fn_backend_t, 1);
  fb_counters_t *counters = fk_get_counters (kernel);
  fr_admission_hooks_t hooks = { start_call, refuse_call, backend };
  uint8_t secret[32];

  randombytes_buf (secret, sizeof secret);
  backend->kernel = kernel;
  fb_set_log_limit (fk_get_log (kernel), FN_SERVED, FN_CALL_LOG_LINES_MAX);
  backend->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_call);
  backend->admission = fr_create_admission (FR_POLICY_SHARES, 1, &rank, 1,
                                            fk_get_clock (kernel), counters, &hooks);
  backend->rate_limit
      = fr_create_rate_limit (fn_get_settings (kernel)->limit_burst, fk_get_clock (kernel));
  fr_set_admission_rate_limit (backend->admission, backend->rate_limit);
  backend->warmup = fr_create_warmup (fk_get_clock (kernel));
  fr_set_admission_warmup (backend->admission, backend->warmup);
  backend->health = fn_create_health (backend);
  backend->once = fr_create_once (&fn_get_settings (kernel)->id, fn_get_start_id (kernel),
                                  secret, ONCE_RECORDS_MAX, ONCE_BYTES_MAX);
  backend->started = fb_find_counter (counters, "backend_calls", "end=\"started\"");
  backend->refused = fb_find_counter (counters, "backend_calls", "end=\"refused\"");
  backend->recorded_answers_sent
      = fb_find_counter (counters, "backend_calls", "end=\"replayed\"");
  backend->unknown = fb_find_counter (counters, "backend_calls", "end=\"unknown\"");
  backend->leaving_responses = fb_find_counter (counters, "backend_leaving_responses", "");
  backend->unusable_responses = fb_find_counter (counters, "backend_unusable_responses", "");
  backend->crashes = fb_find_counter (counters, "backend_crashes", "");
  backend->quarantined = fb_find_counter (counters, "backend_quarantined_calls", "");
  backend->evacuated = fb_find_counter (counters, "backend_evacuated_calls", "");
  backend->rate_limit_gauge = fb_find_counter (counters, "backend_rate_limit_millis", "");
  backend->invalid_rate_limits = fb_find_counter (counters, "backend_invalid_rate_limits", "");
  backend->wait_times = fb_create_histogram (counters, "backend_wait_us", "");
  backend->service_times = fb_create_histogram (counters, "backend_service_us", "");
  fn_watch_own_zone (backend);
  fk_register_service (kernel, FN_BACKEND, &vtable, backend);
}

void
fn_set_local_backend (fk_kernel_t *kernel, const fn_local_backend_t *local)
{
  fn_backend_t *backend = fk_find_service (kernel, FN_BACKEND);
  bool is_other = !fb_equal_name (&backend->local.instance, &local->instance);
  bool has_restarted = !is_other && backend->local.incarnation != local->incarnation;

  if (is_other || has_restarted)
    {
      backend->said_leaving = false;
      fr_reset_rate_limit (backend->rate_limit);
      fb_set_counter (backend->rate_limit_gauge, 0);
    }
  if (backend->local.slots != local->slots)
    g_clear_pointer (&backend->admission_snapshot, fc_release_snapshot);
  if (is_other && backend->client)
    fh_close_idle (backend->client);
  backend->local = *local;
  FB_LOG (fk_get_log (kernel), FB_LOG_INFO, FN_BACKEND, "backend server description updated",
          FB_TEXT ("instance", local->instance.data), FB_NUMBER ("slots", local->slots),
          FB_NUMBER ("leaving", local->leaving));
  if (is_other && local->instance.len > 0)
    fn_begin_ramp_of_other (backend);
  else if (has_restarted)
    fn_begin_ramp (backend, FR_PACE_NEW_INSTANCE);
  if ((is_other || has_restarted) && local->instance.len > 0)
    fn_assume_cold_backend (kernel, "another instance or start is listed");
  fn_update_health (backend, false);
  if (local->leaving || local->instance.len == 0)
    fn_refuse_waiting_calls (backend);
}

/* Answers a call that could not be copied. Its ticket, if any, may have run before. */
static void
refuse_unreadable_call (fn_backend_t *backend, const fw_call_t *call, fn_answered_fn_t answered,
                        void *user)
{
  fw_call_t answer
      = { .kind = FW_ANSWER,
          .outcome = call->ticket.len > 0 && !fb_equal_str (call->ticket, FN_TICKET_REQUEST)
                         ? FW_UNKNOWN
                         : FW_NOT_RUN,
          .status = 431,
          .reason = FB_LITERAL ("the request has a field that is too long") };

  fb_add_counter (backend->refused, 1);
  FB_LOG (fk_get_log (backend->kernel), FB_LOG_WARNING, FN_SERVED, "call cannot be copied",
          FB_STR ("id", call->request_id), FB_STR ("host", call->host),
          FB_STR ("path", call->path));
  answered (&answer, user);
}

uint64_t
fn_serve_call (fn_backend_t *backend, const fw_call_t *call, fn_answered_fn_t answered,
               void *user)
{
  const char *refusal_reason = find_refusal_reason (backend, call);
  bool is_ticket_request
      = fb_equal_str (call->ticket, FN_TICKET_REQUEST)
        || (!refusal_reason && call->ticket.len == 0 && needs_ticket (backend, call));
  fn_backend_call_t *backend_call = create_call (backend, call);
  uint64_t handle;

  if (!backend_call)
    {
      refuse_unreadable_call (backend, call, answered, user);
      return 0;
    }
  handle = backend_call->handle;
  backend_call->answered = answered;
  backend_call->user = user;
  backend_call->has_ticket = !is_ticket_request && call->ticket.len > 0;
  g_hash_table_insert (backend->calls, &backend_call->handle, backend_call);
  fk_resume_timer (backend->tick_timer);
  if (backend_call->has_ticket
      && fr_parse_ticket (call->ticket, &backend_call->ticket) != FB_OK)
    fn_answer_outcome (backend_call, FW_NOT_RUN, 422, "malformed ticket");
  else if (refusal_reason)
    fn_refuse_backend_call (backend_call, 503, refusal_reason);
  else if (is_ticket_request)
    fn_send_ticket (backend_call);
  else if (!fn_refuse_quarantined (backend_call))
    enqueue_call (backend_call);
  return g_hash_table_contains (backend->calls, &handle) ? handle : 0;
}

void
fn_cancel_call (fn_backend_t *backend, uint64_t handle)
{
  fn_backend_call_t *backend_call = g_hash_table_lookup (backend->calls, &handle);
  fw_call_t answer = { .outcome = FW_FAILED };

  if (!backend_call)
    return;
  backend_call->answered = NULL;
  if (backend_call->state == FN_CALL_RUNNING && !backend_call->has_ticket)
    {
      fh_cancel_exchange (backend_call->exchange);
      finish_running (backend_call, &answer);
    }
  else if (backend_call->state == FN_CALL_WAITING)
    fr_cancel_call (backend->admission, handle);
}

const fw_call_t *
fn_find_parent_call (fn_backend_t *backend, fb_str_t request_id)
{
  GHashTableIter iter;
  gpointer value;
  size_t length = request_id.len;

  while (length > 0 && request_id.data[length - 1] != '.')
    length--;
  if (length < 2)
    return NULL;
  g_hash_table_iter_init (&iter, backend->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const fn_backend_call_t *backend_call = value;

      if (backend_call->state != FN_CALL_WAITING
          && fb_equal_str (backend_call->call.request_id,
                           (fb_str_t){ request_id.data, length - 1 }))
        return &backend_call->call;
    }
  return NULL;
}

size_t
fn_count_backend_calls (fn_backend_t *backend)
{
  return g_hash_table_size (backend->calls);
}

void
fn_drain_backend (fn_backend_t *backend, bool final)
{
  backend->draining = true;
  backend->closed = backend->closed || final;
}
