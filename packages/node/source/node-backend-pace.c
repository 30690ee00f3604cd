/* Backend service: pace (slow start) of a backend server that has started or recovered. */
#include "node-backend.h"

static void
log_begin (fr_pace_cause_t cause, void *user)
{
  const fn_backend_t *backend = user;

  FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_BACKEND,
          "slow start of the backend server begins",
          FB_TEXT ("instance", backend->local.instance.data),
          FB_TEXT ("cause", fr_describe_pace_cause (cause)));
}

static void
log_end (fr_pace_cause_t cause, fb_time_t duration, void *user)
{
  const fn_backend_t *backend = user;

  FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_BACKEND,
          "slow start of the backend server has ended",
          FB_TEXT ("instance", backend->local.instance.data),
          FB_TEXT ("cause", fr_describe_pace_cause (cause)),
          FB_NUMBER ("duration_ms", duration / FB_MILLISECOND));
}

static void
update_gauge (fn_backend_t *backend)
{
  fb_set_counter (backend->pace_gauge, fr_get_pace_permille (backend->pace));
}

void
fn_start_pace (fn_backend_t *backend)
{
  const fc_settings_t *settings = fn_get_settings (backend->kernel);
  fr_pace_hooks_t hooks = { log_begin, log_end, backend };

  if (!settings->pace || settings->service.len == 0)
    return;
  backend->pace = fr_create_pace (FR_PACE_DEFAULT, 0, fk_get_clock (backend->kernel), &hooks);
  backend->pace_gauge
      = fb_find_counter (fk_get_counters (backend->kernel), "backend_pace_permille", "");
  fr_set_admission_pace (backend->admission, backend->pace);
  fn_begin_ramp (backend, FR_PACE_STARTED);
}

void
fn_begin_ramp (fn_backend_t *backend, fr_pace_cause_t cause)
{
  if (!backend->pace)
    return;
  fr_begin_ramp (backend->pace, cause);
  update_gauge (backend);
}

void
fn_begin_ramp_of_other (fn_backend_t *backend)
{
  if (!backend->pace)
    return;
  fr_forget_service_times (backend->pace);
  fn_begin_ramp (backend, FR_PACE_NEW_INSTANCE);
}

void
fn_follow_warmup (fn_backend_t *backend, bool was_cold)
{
  bool cold = fr_is_cold (backend->warmup);

  if (!backend->pace)
    return;
  if (!cold)
    fr_note_warm (backend->pace);
  else if (!was_cold && !fr_is_ramping (backend->pace))
    fr_begin_ramp (backend->pace, FR_PACE_COLD);
  update_gauge (backend);
}

void
fn_note_expected_service (const fn_backend_call_t *backend_call, uint32_t rank)
{
  if (backend_call->backend->pace)
    fr_note_expected_service (backend_call->backend->pace, rank,
                              (fb_time_t)backend_call->call.expected_service_us
                                  * FB_MICROSECOND);
}

void
fn_record_paced_call (const fn_backend_call_t *backend_call, const fw_call_t *answer,
                      uint32_t rank, fb_time_t service_time)
{
  fn_backend_t *backend = backend_call->backend;

  /* Calls that their caller cancelled or that the backend server did not run show nothing. */
  if (!backend->pace || !backend_call->answered || answer->outcome == FW_NOT_RUN)
    return;
  fr_record_paced_call (backend->pace, rank, service_time,
                        answer->outcome != FW_ANSWERED || answer->status >= 500);
  update_gauge (backend);
}

void
fn_set_answer_pace (const fn_backend_call_t *backend_call, fw_call_t *answer)
{
  /* An entry node that sends the expected service time knows the pace too. */
  if (backend_call->backend->pace && backend_call->call.expected_service_us > 0)
    answer->pace_permille = fr_get_pace_permille (backend_call->backend->pace);
}
