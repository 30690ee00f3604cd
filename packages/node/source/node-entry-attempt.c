/* Entry: sends attempts of a call to instances and decides on retries. */
#include "node-entry.h"
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

static fb_str_t
get_service_name (const fn_entry_call_t *call)
{
  return fb_get_name (&fc_get_service (call->snapshot, call->service_index)->name);
}

/* Removes the open attempt; returns the name of its instance. */
static const fb_name_t *
close_attempt (fn_entry_call_t *call)
{
  g_hash_table_remove (call->entry->attempts, &call->attempt_id);
  call->attempt_id = 0;
  call->local_handle = 0;
  return &call->tried_instances[call->attempt_count - 1];
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

/* Returns whether ANSWER is an error that may not occur on another backend server. */
static bool
is_server_failure (const fw_call_t *answer)
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
  fw_outcome_t outcome = is_server_failure (answer) ? FW_FAILED : answer->outcome;

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
  return call->attempt_count - call->retry_elsewhere_count - call->queue_full_count
             <= route->retries
         && (!call->reached_backend
             || fr_withdraw_retry (call->entry->budget, get_service_name (call), route->rank));
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
end_attempt (fn_entry_call_t *call, const fw_call_t *answer)
{
  fn_entry_t *entry = call->entry;
  const fb_name_t *instance = close_attempt (call);
  bool accepted = answer->outcome != FW_NOT_RUN || answer->status == 428;

  read_instance_report (entry, instance, answer);
  fn_read_request_report (call, answer);
  fr_report_times (entry->picker, instance, call->route->rank,
                   (fb_time_t)answer->service_us * FB_MICROSECOND,
                   (fb_time_t)answer->wait_us * FB_MICROSECOND);
  if (answer->pace_permille > 0)
    fr_report_pace (entry->picker, instance, answer->pace_permille);
  fr_report_result_for_rank (entry->picker, instance, call->route->rank,
                             classify_answer (answer),
                             read_time (entry) - call->attempt_started_at, answer->load);
  fr_report_customer (entry->throttle, get_service_name (call), call->route->rank,
                      call->customer, accepted);
  call->may_have_run |= answer->outcome != FW_NOT_RUN;
  call->reached_backend |= answer->reached_backend;
  if (acquire_retry (call, answer))
    {
      fb_add_counter (entry->retries, 1);
      fn_start_attempt (call);
      return;
    }
  fn_finish_entry_call (call, answer);
}

/* Ends the open attempt with an outcome decided here. Its ticket may have been used before:
 * only the issuer can state that the call was not run. */
static void
fail_attempt (fn_entry_call_t *call, fw_outcome_t outcome, uint32_t status, const char *reason)
{
  fw_call_t answer = { .kind = FW_ANSWER,
                       .outcome = outcome,
                       .status = status,
                       .reason = fb_wrap_text (reason),
                       .retry_elsewhere = outcome == FW_NOT_RUN,
                       .reached_backend = outcome != FW_NOT_RUN };

  if (call->ticket.len > 0)
    {
      answer.outcome = FW_UNKNOWN;
      answer.status = 504;
    }
  end_attempt (call, &answer);
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
        = (fw_header_t){ dialect->caller, fb_get_name (&settings->service) };
}

static void
build_message (fn_entry_call_t *call, const fw_member_t *node, fw_call_t *message)
{
  const fc_route_t *route = call->route;

  *message = (fw_call_t){
    .kind = FW_CALL,
    .id = call->attempt_id,
    .remaining_us = (uint64_t)((call->deadline - call->attempt_started_at) / FB_MICROSECOND),
    .service = get_service_name (call),
    .rank = fb_get_name (&fc_get_rank (call->snapshot, route->rank)->name),
    .customer = call->customer,
    .method = fh_get_method (call->request),
    .host = fh_get_host (call->request),
    .path = fh_get_path (call->request),
    .at_most_once = !route->repeatable,
    .target_left_us
    = (uint64_t)(MAX (call->target_time - call->attempt_started_at, 0) / FB_MICROSECOND),
    .is_caller_retry = call->is_caller_retry,
    .earlier_attempt_arrived = call->reached_backend || call->parent_is_retry,
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
                                                   route->rank)
                     / FB_MICROSECOND);
  copy_headers (call, message);
}

static void
send_attempt (fn_entry_call_t *call, const fw_member_t *node)
{
  fn_entry_t *entry = call->entry;
  fw_call_t message;
  uint64_t attempt_id = ++entry->next_id;
  uint64_t handle;

  call->attempt_id = attempt_id;
  call->attempt_started_at = read_time (entry);
  call->is_local = is_local (entry, node);
  g_hash_table_insert (entry->attempts, &call->attempt_id, call);
  build_message (call, node, &message);
  if (!call->is_local)
    {
      fn_send_call (fk_find_service (entry->kernel, FN_CALLS), node, &message);
      return;
    }
  handle = fn_serve_call (find_backend (entry), &message, receive_local_answer, call);
  /* With handle 0 the call was answered already and may have been freed. */
  if (handle != 0)
    call->local_handle = handle;
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
  call->tried_instances[call->attempt_count++] = ticket.node;
  fr_begin_attempt_for_rank (entry->picker, &ticket.node, call->route->rank);
  send_attempt (call, node);
}

void
fn_start_attempt (fn_entry_call_t *call)
{
  fn_entry_t *entry = call->entry;
  fb_str_t service = get_service_name (call);
  fb_name_t instance;
  const fw_member_t *node;

  if (call->ticket.len > 0)
    {
      start_ticket_attempt (call);
      return;
    }
  if (!fr_pick_for_latency_target (entry->picker, service, call->route->rank,
                                   call->latency_target, call->tried_instances,
                                   call->attempt_count, &instance))
    {
      fn_finish_with_outcome (call, FW_NOT_RUN, 503,
                              call->attempt_count > 0
                                  ? "no other instance would answer in time"
                                  : "no instance of the service is available");
      return;
    }
  call->tried_instances[call->attempt_count++] = instance;
  node = find_node (entry, &instance);
  if (!node)
    {
      fr_report_result_for_rank (entry->picker, &instance, call->route->rank,
                                 FR_RESULT_CANCELLED, 0, 0);
      fn_finish_with_outcome (call, FW_NOT_RUN, 503, "the chosen instance has left");
      return;
    }
  send_attempt (call, node);
}

void
fn_abandon_attempt (fn_entry_call_t *call)
{
  fn_entry_t *entry = call->entry;
  uint64_t attempt_id = call->attempt_id;
  uint64_t handle = call->local_handle;
  const fb_name_t *instance;

  if (attempt_id == 0)
    return;
  instance = close_attempt (call);
  fr_report_result_for_rank (entry->picker, instance, call->route->rank, FR_RESULT_CANCELLED, 0,
                             0);
  if (call->is_local)
    {
      fn_cancel_call (find_backend (entry), handle);
      return;
    }
  fn_cancel_sent_call (fk_find_service (entry->kernel, FN_CALLS), attempt_id);
}

void
fn_end_attempt (fn_entry_t *entry, const fw_call_t *answer)
{
  fn_entry_call_t *call = g_hash_table_lookup (entry->attempts, &answer->id);

  if (!call)
    {
      fb_add_counter (entry->unmatched_answers, 1);
      return;
    }
  end_attempt (call, answer);
}

void
fn_fail_unsent_attempt (fn_entry_t *entry, uint64_t id)
{
  fn_entry_call_t *call = g_hash_table_lookup (entry->attempts, &id);

  if (call)
    fail_attempt (call, FW_NOT_RUN, 503, "no connection to the node");
}

void
fn_fail_unanswered_attempt (fn_entry_t *entry, uint64_t id, const char *reason)
{
  fn_entry_call_t *call = g_hash_table_lookup (entry->attempts, &id);

  if (call)
    fail_attempt (call, FW_UNKNOWN, 504, reason);
}
