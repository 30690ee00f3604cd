/* Entry: second attempts (hedges) beside slow first ones. */
#include "node-entry.h"

static fb_time_t
read_time (const fn_entry_t *entry)
{
  return fb_read_clock (fk_get_clock (entry->kernel));
}

void
fn_create_entry_hedge (fn_entry_t *entry)
{
  fb_counters_t *counters = fk_get_counters (entry->kernel);

  entry->hedge = fr_create_hedge (fk_get_clock (entry->kernel));
  fr_set_hedge_share (entry->hedge, fn_get_settings (entry->kernel)->hedge_share);
  entry->hedges_won = fb_find_counter (counters, "entry_hedges", "end=\"won\"");
  entry->hedges_lost = fb_find_counter (counters, "entry_hedges", "end=\"lost\"");
  entry->hedges_refused = fb_find_counter (counters, "entry_hedges", "end=\"refused\"");
}

/* Returns whether slow attempts of CALL may be hedged at all. A nested call is hedged with its
 * parent; its own hedge would multiply the load. A request that a backend server ended under
 * must not reach two at once. */
static bool
may_be_hedged (const fn_entry_call_t *call)
{
  return call->route->hedge && call->route->repeatable
         && fr_is_hedging_enabled (call->entry->hedge) && call->ticket.len == 0
         && !call->is_nested && call->crash_id == 0 && !call->hedged;
}

/* Sets the timer of CALL to HEDGE_AT, or to the deadline when that is earlier or HEDGE_AT is 0.
 */
static void
set_call_timer (fn_entry_call_t *call, fb_time_t hedge_at)
{
  fk_kernel_t *kernel = call->entry->kernel;
  fb_time_t now = read_time (call->entry);

  call->hedge_at = hedge_at < call->deadline ? hedge_at : 0;
  fk_destroy_timer (call->timer);
  call->timer = fk_create_timeout (
      kernel, MAX ((call->hedge_at > 0 ? call->hedge_at : call->deadline) - now, 0),
      fn_handle_call_timer, call);
}

void
fn_plan_hedge (fn_entry_call_t *call)
{
  fb_str_t service = fn_get_call_service (call);
  fb_time_t now = read_time (call->entry);
  fb_time_t delay;

  if (!may_be_hedged (call) || !fn_has_attempt_left (call)
      || !fr_get_hedge_delay (call->entry->hedge, service, call->rank, &delay))
    return;
  if (fr_decide_hedge (call->entry->hedge, service, call->rank, delay,
                       call->target_time - now - delay)
      != FR_HEDGE_TOO_LATE)
    set_call_timer (call, now + delay);
}

/* Returns the node of an instance picked for the hedge of CALL, whose budget it is charged to,
 * or NULL when there is none. */
static const fw_member_t *
pick_hedge_node (fn_entry_call_t *call)
{
  fn_entry_t *entry = call->entry;
  fb_str_t service = fn_get_call_service (call);
  const fw_member_t *node;
  fb_name_t instance;

  if (!fr_pick_below_load (entry->picker, service, call->rank,
                           call->target_time - read_time (entry), FR_HEDGE_LOAD_LIMIT,
                           call->tried_instances, call->attempt_count, &instance))
    return NULL;
  node = fn_find_endpoint (fk_find_service (entry->kernel, FN_DIRECTORY), &instance);
  if (node && fr_withdraw_allowed_hedge (entry->hedge, entry->budget, service, call->rank))
    return node;
  fr_report_result_for_rank (entry->picker, &instance, call->rank, FR_RESULT_CANCELLED, 0, 0);
  return NULL;
}

void
fn_handle_hedge_time (fn_entry_call_t *call)
{
  const fn_attempt_t *attempt = fn_find_open_attempt (call);
  fb_str_t service = fn_get_call_service (call);
  fb_time_t now = read_time (call->entry);
  const fw_member_t *node = NULL;
  fb_time_t next = 0;
  fr_hedge_decision_t decision;
  fb_time_t delay;

  if (attempt && may_be_hedged (call) && fn_has_attempt_left (call)
      && call->attempt_count < FN_ATTEMPTS_MAX)
    {
      decision = fr_decide_hedge (call->entry->hedge, service, call->rank,
                                  now - attempt->started_at, call->target_time - now);
      if (decision == FR_HEDGE_ALLOWED)
        node = pick_hedge_node (call);
      /* The delay has grown, or this is a later attempt than the one that was planned for. */
      else if (decision == FR_HEDGE_TOO_EARLY
               && fr_get_hedge_delay (call->entry->hedge, service, call->rank, &delay))
        next = attempt->started_at + delay;
    }
  set_call_timer (call, next);
  if (!node)
    return;
  call->hedged = true;
  fn_add_tried_instance (call, &node->id);
  fn_send_attempt (call, node, true);
}

void
fn_record_attempt_end (const fn_attempt_t *attempt, const fw_call_t *answer)
{
  const fn_entry_call_t *call = attempt->call;
  fn_entry_t *entry = call->entry;

  if (!call->route->hedge || !fr_is_hedging_enabled (entry->hedge))
    return;
  if (answer->outcome == FW_ANSWERED && !fn_is_server_failure (answer))
    fr_record_attempt_duration (entry->hedge, fn_get_call_service (call), call->rank,
                                read_time (entry) - attempt->started_at);
  /* Refusals for a reason of one instance, e.g. a draining node, say nothing of the load. */
  if (answer->outcome == FW_NOT_RUN && !answer->retry_elsewhere)
    fr_record_service_refusal (entry->hedge, fn_get_call_service (call));
}

/* Cancels the attempt that is not needed any more. A first attempt had been slow, which counts
 * like an answer; otherwise only fast answers would be recorded, and the delay would shrink. */
static void
cancel_loser (fn_entry_call_t *call, fn_attempt_t *loser)
{
  fb_time_t elapsed = read_time (call->entry) - loser->started_at;

  if (!loser->is_hedge)
    fr_record_attempt_duration (call->entry->hedge, fn_get_call_service (call), call->rank,
                                elapsed);
  fn_cancel_attempt (loser, elapsed);
}

/* Returns how much ANSWER, which is no good one, says: a response of the backend server most,
 * that the call was not run least. */
static int
rate_answer (const fw_call_t *answer)
{
  return answer->outcome == FW_ANSWERED ? 2 : answer->outcome != FW_NOT_RUN;
}

/* Decodes the held answer of CALL into HELD. */
static bool
read_held_answer (const fn_entry_call_t *call, fw_call_t *held)
{
  return call->held_answer
         && fw_unpack_call ((fb_bytes_t){ call->held_answer->data, call->held_answer->len },
                            held)
                == FB_OK;
}

const fw_call_t *
fn_judge_hedged_answer (fn_entry_call_t *call, const fn_attempt_t *attempt,
                        const fw_call_t *answer, fw_call_t *held)
{
  fn_attempt_t *other = fn_find_open_attempt (call);
  bool is_good = answer->outcome == FW_ANSWERED && !fn_is_server_failure (answer);

  if (attempt->is_hedge)
    {
      call->hedge_won = is_good;
      call->hedge_refused = answer->outcome == FW_NOT_RUN;
    }
  if (is_good || answer->quarantine_us > 0)
    {
      if (other)
        cancel_loser (call, other);
      return answer;
    }
  if (other)
    {
      fn_drop_held_answer (call);
      call->held_answer = fw_pack_call (answer);
      call->held_attempt = *attempt;
      return NULL;
    }
  if (!read_held_answer (call, held) || rate_answer (answer) >= rate_answer (held))
    return answer;
  call->last_attempt = call->held_attempt;
  return held;
}

void
fn_drop_held_answer (fn_entry_call_t *call)
{
  if (call->held_answer)
    g_byte_array_unref (g_steal_pointer (&call->held_answer));
}

bool
fn_finish_with_held_answer (fn_entry_call_t *call)
{
  fw_call_t held;

  if (!read_held_answer (call, &held) || held.outcome != FW_ANSWERED)
    return false;
  call->last_attempt = call->held_attempt;
  fn_finish_entry_call (call, &held);
  return true;
}

void
fn_count_hedge_end (const fn_entry_call_t *call)
{
  if (call->hedged)
    fb_add_counter (call->hedge_refused ? call->entry->hedges_refused
                    : call->hedge_won   ? call->entry->hedges_won
                                        : call->entry->hedges_lost,
                    1);
}
