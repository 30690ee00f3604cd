/* Entry: requests that the quarantine holds back, and what callers are told. */
#include "node-entry.h"
#include <foxtailrun/call/admission.h>
#include <inttypes.h>
#include <stdio.h>

/* Time after which a refused caller should retry: about two typical calls, to let slots free
 * up. */
#define RETRY_AFTER_S "0.1"
#define RETRY_AFTER_MIN_MS 100

static fn_quarantine_t *
find_quarantine (const fn_entry_call_t *call)
{
  return fk_find_service (call->entry->kernel, FN_QUARANTINE);
}

/* Returns the key of CALL's request, the same at all nodes. */
static fb_digest_t
get_key (const fn_entry_call_t *call)
{
  fk_kernel_t *kernel = call->entry->kernel;
  fr_request_parts_t parts = { .method = fh_get_method (call->request),
                               .host = fh_get_host (call->request),
                               .path = fh_get_path (call->request),
                               .body = fh_get_body (call->request) };

  if (fn_get_adapter (kernel)->dialect->caller.len > 0)
    parts.caller = fc_get_caller (fn_get_settings (kernel));
  return fr_get_request_key (&parts);
}

bool
fn_refuse_quarantined_call (fn_entry_call_t *call)
{
  fw_call_t answer
      = { .outcome = FW_NOT_RUN, .status = 503, .reason = FB_LITERAL (FN_QUARANTINED_REASON) };
  fb_digest_t key;
  fb_time_t left;

  /* Only the issuer of a ticket knows whether the call ran. */
  if (call->ticket.len > 0 || !fn_has_suspects (find_quarantine (call)))
    return false;
  key = get_key (call);
  if (fn_check_request (find_quarantine (call), &key, &left) != FR_REQUEST_QUARANTINED)
    return false;
  answer.quarantine_us = (uint64_t)MAX (left / FB_MICROSECOND, 1);
  fb_add_counter (call->entry->quarantined, 1);
  fn_finish_entry_call (call, &answer);
  return true;
}

void
fn_read_request_report (fn_entry_call_t *call, const fw_call_t *answer)
{
  fb_digest_t key;

  call->crash_id = answer->crash_id;
  if (answer->quarantine_us == 0)
    return;
  key = get_key (call);
  fn_hold_request (find_quarantine (call), &key,
                   (fb_time_t)answer->quarantine_us * FB_MICROSECOND);
}

bool
fn_is_warming_up (const fw_call_t *answer)
{
  return answer->outcome == FW_NOT_RUN
         && fb_equal_str (answer->reason,
                          fb_wrap_text (fr_describe_refusal (FR_REFUSED_WARMING_UP)));
}

void
fn_format_retry_after (const fw_call_t *answer, char text[FN_RETRY_AFTER_LEN])
{
  /* After a window, all its starts are free again. */
  uint64_t wait_ms
      = CLAMP (answer->wait_us / 1000, RETRY_AFTER_MIN_MS, FR_WARMUP_WINDOW / FB_MILLISECOND);

  if (answer->quarantine_us > 0)
    snprintf (text, FN_RETRY_AFTER_LEN, "%" PRIu64, answer->quarantine_us / 1000000 + 1);
  else if (fn_is_warming_up (answer))
    snprintf (text, FN_RETRY_AFTER_LEN, "%" PRIu64 ".%" PRIu64, wait_ms / 1000,
              wait_ms % 1000 / 100);
  else
    g_strlcpy (text, RETRY_AFTER_S, FN_RETRY_AFTER_LEN);
}
