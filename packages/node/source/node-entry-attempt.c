/* Entry: sends attempts of a call to instances and decides on retries. */
#include "node-entry.h"
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/call/once.h>

static fn_backend_t *
find_backend (fn_entry_t *entry)
{
  return fk_find_service (entry->kernel, FN_BACKEND);
}

static fb_time_t
read_time (fn_entry_t *entry)
{
  return fb_read_clock (fk_get_clock (entry->kernel));
}

/* Returns whether NODE is the endpoint on this node's host. */
static bool
is_local (fn_entry_t *entry, const fw_member_t *node)
{
  const fc_settings_t *settings = fn_get_settings (entry->kernel);

  return node->call_port == settings->call_port
         && fb_equal_name (&node->address, &settings->address);
}

static const fw_member_t *
find_node (fn_entry_t *entry, const fb_name_t *id)
{
  return fn_find_endpoint (fk_find_service (entry->kernel, FN_DIRECTORY), id);
}

fb_str_t
fn_get_call_service (const fn_entry_call_t *call)
{
  return fb_get_name (&fc_get_service (call->snapshot, call->service_index)->name);
}

fn_attempt_t *
fn_find_open_attempt (fn_entry_call_t *call)
{
  for (size_t i = 0; i < FN_OPEN_ATTEMPTS_MAX; i++)
    if (call->open_attempts[i].id != 0)
      return &call->open_attempts[i];
  return NULL;
}

/* Removes ATTEMPT from the open ones; returns a copy. */
static fn_attempt_t
close_attempt (fn_attempt_t *attempt)
{
  fn_attempt_t closed = *attempt;

  g_hash_table_remove (attempt->call->entry->attempts, &attempt->id);
  attempt->id = 0;
  attempt->local_handle = 0;
  return closed;
}

void
fn_add_tried_instance (fn_entry_call_t *call, const fb_name_t *instance)
{
  call->tried_instances[call->attempt_count++] = *instance;
  call->last_attempt.instance = *instance;
}

bool
fn_has_attempt_left (const fn_entry_call_t *call)
{
  return call->attempt_count - call->retry_elsewhere_count - call->queue_full_count
             - call->hedge_refused
         <= call->route->retries;
}

static fr_result_t
classify_answer (const fw_call_t *answer)
{
  if (answer->outcome == FW_NOT_RUN && answer->retry_elsewhere)
    return FR_RESULT_UNREACHABLE;
  if (answer->outcome == FW_NOT_RUN)
    return answer->status == 428 ? FR_RESULT_ANSWERED : FR_RESULT_REFUSED;
  if (answer->outcome == FW_ANSWERED && answer->status < 500)
    return FR_RESULT_ANSWERED;
  return FR_RESULT_FAILED;
}

bool
fn_is_server_failure (const fw_call_t *answer)
{
  return answer->outcome == FW_ANSWERED
         && (answer->status == 500 || (answer->status >= 502 && answer->status <= 504));
}

/* Returns whether another attempt follows ANSWER, and counts it against its limit. Refusals by
 * a single node are retried beyond the route's limit, so that they don't fail the call. The
 * retry budget limits only calls that reach backend servers more than once. */
static bool
acquire_retry (fn_entry_call_t *call, const fw_call_t *answer)
{
  const fc_route_t *route = call->route;
  bool retry_elsewhere = answer->outcome == FW_NOT_RUN && answer->retry_elsewhere;
  fw_outcome_t outcome = fn_is_server_failure (answer) ? FW_FAILED : answer->outcome;

  if (outcome == FW_ANSWERED || answer->status == 428 || answer->status == 422
      || answer->quarantine_us > 0)
    return false;
  if (call->attempt_count >= FN_ATTEMPTS_MAX || read_time (call->entry) >= call->deadline)
    return false;
  if (!fr_is_retry_safe (outcome, route->repeatable, call->ticket.len > 0))
    return false;
  if (retry_elsewhere)
    return call->retry_elsewhere_count++ < FN_RETRY_ELSEWHERE_MAX;
  /* Refusing a call costs a node little, and another instance's queue may have room. */
  if (outcome == FW_NOT_RUN && answer->status == 429
      && call->queue_full_count < FN_QUEUE_FULL_RETRIES_MAX)
    {
      call->queue_full_count++;
      return true;
    }
  return fn_has_attempt_left (call)
         && (!call->reached_backend
             || fr_withdraw_retry (call->entry->budget, fn_get_call_service (call),
                                   call->rank));
}

/* Records what ANSWER reports of INSTANCE: its rate limit, and whether it leaves. A refusal
 * without a report does not end a limit: the node beside the instance may not know of it yet.
 */
static void
read_instance_report (fn_entry_t *entry, const fb_name_t *instance, const fw_call_t *answer)
{
  if (answer->instance.len == 0 && answer->outcome == FW_ANSWERED)
    fr_report_rate_limit (entry->picker, instance, 0, 0);
  if (answer->instance.len == 0 || !fb_equal_str (answer->instance, fb_get_name (instance)))
    return;
  fr_report_rate_limit (entry->picker, instance, answer->incarnation, answer->rate_limit_milli);
  if (answer->leaving)
    fn_record_leaving (fk_find_service (entry->kernel, FN_DIRECTORY), instance,
                       answer->incarnation);
}

static void
end_attempt (fn_attempt_t *open_attempt, const fw_call_t *answer)
{
  fn_entry_call_t *call = open_attempt->call;
  fn_entry_t *entry = call->entry;
  fn_attempt_t attempt = close_attempt (open_attempt);
  const fb_name_t *instance = &attempt.instance;
  uint64_t earlier_crash_id = call->hedged ? call->crash_id : 0;
  fw_call_t held;
  bool accepted = answer->outcome != FW_NOT_RUN || answer->status == 428;

  read_instance_report (entry, instance, answer);
  fn_read_request_report (call, answer);
  if (call->crash_id == 0)
    call->crash_id = earlier_crash_id;
  fr_report_times (entry->picker, instance, call->rank,
                   (fb_time_t)answer->service_us * FB_MICROSECOND,
                   (fb_time_t)answer->wait_us * FB_MICROSECOND);
  if (answer->pace_permille > 0)
    fr_report_pace (entry->picker, instance, answer->pace_permille);
  fr_report_result_for_rank (entry->picker, instance, call->rank, classify_answer (answer),
                             read_time (entry) - attempt.started_at, answer->load);
  fr_report_customer (entry->throttle, fn_get_call_service (call), call->route->rank,
                      call->customer, accepted);
  fn_record_attempt_end (&attempt, answer);
  call->may_have_run |= answer->outcome != FW_NOT_RUN;
  call->reached_backend |= answer->reached_backend;
  call->last_attempt = attempt;
  if (call->hedged)
    answer = fn_judge_hedged_answer (call, &attempt, answer, &held);
  if (!answer)
    return;
  if (acquire_retry (call, answer))
    {
      fn_drop_held_answer (call);
      fb_add_counter (entry->retries, 1);
      fn_start_attempt (call);
      return;
    }
  fn_finish_entry_call (call, answer);
}

/* Ends ATTEMPT with an outcome decided here. Its ticket may have been used before:
 * only the issuer can state that the call was not run. */
static void
fail_attempt (fn_attempt_t *attempt, fw_outcome_t outcome, uint32_t status, const char *reason)
{
  fw_call_t answer = { .kind = FW_ANSWER,
                       .outcome = outcome,
                       .status = status,
                       .reason = fb_wrap_text (reason),
                       .retry_elsewhere = outcome == FW_NOT_RUN,
                       .reached_backend = outcome != FW_NOT_RUN };

  if (attempt->call->ticket.len > 0)
    {
      answer.outcome = FW_UNKNOWN;
      answer.status = 504;
    }
  end_attempt (attempt, &answer);
}

static void
receive_local_answer (const fw_call_t *answer, void *user)
{
  end_attempt (user, answer);
}

/* Returns whether HEADER of a caller is replaced or removed. An empty request id is replaced by
 * the node's. */
static bool
is_replaced_header (const fn_dialect_t *dialect, const fh_header_t *header)
{
  fb_str_t name = header->name;

  return fb_has_prefix (name, FB_LITERAL ("foxtailrun-"))
         || (header->value.len == 0 && fb_equal_str (name, dialect->request_id))
         || fb_equal_str (name, dialect->timeout_ms) || fb_equal_str (name, dialect->instance)
         || fb_equal_str (name, dialect->caller);
}

static void
copy_headers (fn_entry_call_t *call, fw_call_t *message)
{
  const fn_dialect_t *dialect = fn_get_adapter (call->entry->kernel)->dialect;
  const fc_settings_t *settings = fn_get_settings (call->entry->kernel);
  const fh_header_t *headers;
  size_t count = fh_get_headers (call->request, &headers);

  for (size_t i = 0; i < count; i++)
    {
      if (!fh_is_hop_header (headers[i].name) && !is_replaced_header (dialect, &headers[i]))
        message->headers[message->header_count++]
            = (fw_header_t){ headers[i].name, headers[i].value };
    }
  if (dialect->caller.len > 0)
    message->headers[message->header_count++]
        = (fw_header_t){ dialect->caller, fc_get_caller (settings) };
}

static void
build_message (const fn_attempt_t *attempt, const fw_member_t *node, fw_call_t *message)
{
  fn_entry_call_t *call = attempt->call;
  const fc_route_t *route = call->route;

  *message = (fw_call_t){
    .kind = FW_CALL,
    .id = attempt->id,
    .remaining_us = (uint64_t)((call->deadline - attempt->started_at) / FB_MICROSECOND),
    .service = fn_get_call_service (call),
    .rank = fb_get_name (&fc_get_rank (call->snapshot, call->rank)->name),
    .customer = call->customer,
    .method = fh_get_method (call->request),
    .host = fh_get_host (call->request),
    .path = fh_get_path (call->request),
    .at_most_once = !route->repeatable,
    .target_left_us
    = (uint64_t)(MAX (call->target_time - attempt->started_at, 0) / FB_MICROSECOND),
    .goes_first = call->goes_first,
    /* The first of two open attempts has probably arrived. */
    .earlier_attempt_arrived
    = call->reached_backend || call->parent_is_retry || attempt->is_hedge,
    .ticket = call->ticket,
    .request_id = fb_wrap_text (call->request_id),
    .crash_id = call->crash_id,
    .body = fh_get_body (call->request),
  };
  if (message->ticket.len == 0 && !route->repeatable && route->ticket)
    message->ticket = FN_TICKET_REQUEST;
  /* The node beside the instance may have restarted since it heard of the limit. */
  message->rate_limit_milli
      = fr_get_reported_rate_limit (call->entry->picker, &node->id, node->incarnation);
  if (message->rate_limit_milli > 0)
    {
      message->instance = fb_get_name (&node->id);
      message->incarnation = node->incarnation;
    }
  /* Tells the node also that the pace may be reported here. */
  if (fn_get_settings (call->entry->kernel)->pace)
    message->expected_service_us
        = (uint64_t)(fr_get_expected_service_time (call->entry->picker, message->service,
                                                   call->rank)
                     / FB_MICROSECOND);
  copy_headers (call, message);
}

void
fn_send_attempt (fn_entry_call_t *call, const fw_member_t *node, bool is_hedge)
{
  fn_entry_t *entry = call->entry;
  fn_attempt_t *attempt = &call->open_attempts[call->open_attempts[0].id != 0 ? 1 : 0];
  fw_call_t message;
  uint64_t handle;

  FB_INVARIANT (attempt->id == 0);
  *attempt = (fn_attempt_t){ .call = call,
                             .id = ++entry->next_id,
                             .instance = node->id,
                             .started_at = read_time (entry),
                             .is_local = is_local (entry, node),
                             .is_hedge = is_hedge };
  call->last_attempt = *attempt;
  g_hash_table_insert (entry->attempts, &attempt->id, attempt);
  build_message (attempt, node, &message);
  if (!attempt->is_local)
    {
      fn_send_call (fk_find_service (entry->kernel, FN_CALLS), node, &message);
      return;
    }
  handle = fn_serve_call (find_backend (entry), &message, receive_local_answer, attempt);
  /* With handle 0 the call was answered already and may have been freed. */
  if (handle != 0)
    attempt->local_handle = handle;
}

/* Sends the attempt to the issuer of the ticket, the only node that may run it. */
static void
start_ticket_attempt (fn_entry_call_t *call)
{
  fn_entry_t *entry = call->entry;
  fr_ticket_t ticket;
  const fw_member_t *node;

  if (fr_parse_ticket (call->ticket, &ticket) != FB_OK)
    {
      fn_finish_with_outcome (call, FW_NOT_RUN, 422, "malformed ticket");
      return;
    }
  node = find_node (entry, &ticket.node);
  if (!node || node->state == FW_DEAD)
    {
      fn_finish_with_outcome (call, FW_UNKNOWN, 504, "the node that issued the ticket is gone");
      return;
    }
  fn_add_tried_instance (call, &ticket.node);
  fr_begin_attempt_for_rank (entry->picker, &ticket.node, call->rank);
  fn_send_attempt (call, node, false);
}

void
fn_start_attempt (fn_entry_call_t *call)
{
  fn_entry_t *entry = call->entry;
  fb_str_t service = fn_get_call_service (call);
  fb_name_t instance;
  const fw_member_t *node;

  if (call->ticket.len > 0)
    {
      start_ticket_attempt (call);
      return;
    }
  if (!fr_pick_for_latency_target (entry->picker, service, call->rank, call->latency_target,
                                   call->tried_instances, call->attempt_count, &instance))
    {
      fn_finish_with_outcome (call, FW_NOT_RUN, 503,
                              call->attempt_count > 0
                                  ? "no other instance would answer in time"
                                  : "no instance of the service is available");
      return;
    }
  fn_add_tried_instance (call, &instance);
  node = find_node (entry, &instance);
  if (!node)
    {
      fr_report_result_for_rank (entry->picker, &instance, call->rank, FR_RESULT_CANCELLED, 0,
                                 0);
      fn_finish_with_outcome (call, FW_NOT_RUN, 503, "the chosen instance has left");
      return;
    }
  fn_plan_hedge (call);
  fn_send_attempt (call, node, false);
}

void
fn_cancel_attempt (fn_attempt_t *open_attempt, fb_time_t min_duration)
{
  fn_entry_call_t *call = open_attempt->call;
  fn_entry_t *entry = call->entry;
  fn_attempt_t attempt = close_attempt (open_attempt);

  call->may_have_run = true;
  fr_report_result_for_rank (entry->picker, &attempt.instance, call->rank, FR_RESULT_CANCELLED,
                             min_duration, 0);
  if (attempt.is_local)
    {
      fn_cancel_call (find_backend (entry), attempt.local_handle);
      return;
    }
  fn_cancel_sent_call (fk_find_service (entry->kernel, FN_CALLS), attempt.id);
}

void
fn_abandon_attempts (fn_entry_call_t *call)
{
  fn_attempt_t *attempt;

  while ((attempt = fn_find_open_attempt (call)) != NULL)
    fn_cancel_attempt (attempt, 0);
}

void
fn_end_attempt (fn_entry_t *entry, const fw_call_t *answer)
{
  fn_attempt_t *attempt = g_hash_table_lookup (entry->attempts, &answer->id);

  if (!attempt)
    {
      fb_add_counter (entry->unmatched_answers, 1);
      return;
    }
  end_attempt (attempt, answer);
}

void
fn_fail_unsent_attempt (fn_entry_t *entry, uint64_t id)
{
  fn_attempt_t *attempt = g_hash_table_lookup (entry->attempts, &id);

  if (attempt)
    fail_attempt (attempt, FW_NOT_RUN, 503, "no connection to the node");
}

void
fn_fail_unanswered_attempt (fn_entry_t *entry, uint64_t id, const char *reason)
{
  fn_attempt_t *attempt = g_hash_table_lookup (entry->attempts, &id);

  if (attempt)
    fail_attempt (attempt, FW_UNKNOWN, 504, reason);
}
