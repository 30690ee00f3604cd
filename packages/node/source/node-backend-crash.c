/* Backend service: calls whose connection ended without a response, whether the backend server
 * has ended with them, and calls that the quarantine holds back. */
#include "node-backend.h"
#include <sodium.h>

/* Time after which another node may be tried for the trial of a request. */
#define TRIAL_RETRY_DELAY FB_SECOND

/* Limit of the check whether the backend server, on the same host, still listens. */
#define PROBE_TIMEOUT (100 * FB_MILLISECOND)

/* Returns the calls in STATE; free with g_ptr_array_unref. */
static GPtrArray *
find_calls (fn_backend_t *backend, fn_call_state_t state)
{
  GPtrArray *calls = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, backend->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((fn_backend_call_t *)value)->state == state)
      g_ptr_array_add (calls, value);
  return calls;
}

static fn_quarantine_t *
find_quarantine (const fn_backend_t *backend)
{
  return fk_find_service (backend->kernel, FN_QUARANTINE);
}

/* Returns the key of the request, the same at all nodes. */
static const fb_digest_t *
get_key (fn_backend_call_t *backend_call)
{
  const fw_call_t *call = &backend_call->call;
  const fn_dialect_t *dialect = fn_get_adapter (backend_call->backend->kernel)->dialect;
  fr_request_parts_t parts = { call->method, call->host, call->path, { NULL, 0 }, call->body };

  if (backend_call->has_key)
    return &backend_call->key;
  for (size_t i = 0; i < call->header_count && dialect->caller.len > 0; i++)
    if (fb_equal_str (call->headers[i].name, dialect->caller))
      parts.caller = call->headers[i].value;
  backend_call->key = fr_get_request_key (&parts);
  backend_call->has_key = true;
  return &backend_call->key;
}

static void
log_suspect (const fn_backend_call_t *backend_call)
{
  fn_backend_t *backend = backend_call->backend;

  FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_SERVED,
          "running when the backend server ended", FB_STR ("id", backend_call->call.request_id),
          FB_STR ("host", backend_call->call.host), FB_STR ("path", backend_call->call.path),
          FB_NUMBER ("crash", backend_call->crash_id));
}

/* Counts those of CALLS that the backend server may have got as running in crash ID, and adds
 * their keys to KEYS. */
static void
add_suspects (GPtrArray *calls, uint64_t id, GArray *keys)
{
  for (guint i = 0; i < calls->len; i++)
    {
      fn_backend_call_t *backend_call = g_ptr_array_index (calls, i);

      if (backend_call->exchange && !fh_is_sent (backend_call->exchange))
        continue;
      backend_call->crash_id = id;
      g_array_append_vals (keys, get_key (backend_call), 1);
      log_suspect (backend_call);
    }
}

/* Returns a random id above 0 that the log shows as it is. */
static uint64_t
make_crash_id (void)
{
  uint64_t id;

  randombytes_buf (&id, sizeof id);
  return MAX (id & INT64_MAX, 1);
}

/* The other running calls have ended with the backend server too, although their connections
 * have not been seen to end yet. */
static void
record_crash (fn_backend_t *backend, GPtrArray *lost)
{
  GPtrArray *running = find_calls (backend, FN_CALL_RUNNING);
  GArray *keys = g_array_new (FALSE, FALSE, sizeof (fb_digest_t));
  uint64_t id = make_crash_id ();

  fn_assume_cold_backend (backend->kernel, "backend server has ended");
  fb_add_counter (backend->crashes, 1);
  FB_LOG (fk_get_log (backend->kernel), FB_LOG_WARNING, FN_BACKEND, "backend server has ended",
          FB_TEXT ("instance", backend->local.instance.data),
          FB_NUMBER ("running", lost->len + running->len), FB_NUMBER ("crash", id));
  add_suspects (lost, id, keys);
  add_suspects (running, id, keys);
  g_ptr_array_unref (running);
  fn_report_crash (find_quarantine (backend), (const fb_digest_t *)(void *)keys->data,
                   keys->len, id);
  g_array_unref (keys);
}

static void
end_lost_calls (fh_listening_t listening, void *user)
{
  fn_backend_t *backend = user;
  GPtrArray *lost = find_calls (backend, FN_CALL_LOST);

  backend->probe = NULL;
  /* A planned end is no crash. */
  if (listening == FH_NOT_LISTENING && !fn_is_backend_leaving (backend) && !backend->draining)
    record_crash (backend, lost);
  for (guint i = 0; i < lost->len; i++)
    {
      fn_backend_call_t *backend_call = g_ptr_array_index (lost, i);

      fn_answer_lost_call (backend_call);
    }
  g_ptr_array_unref (lost);
}

void
fn_lose_call (fn_backend_call_t *backend_call, const char *reason)
{
  fn_backend_t *backend = backend_call->backend;
  const fc_settings_t *settings = fn_get_settings (backend->kernel);

  backend_call->exchange = NULL;
  backend_call->lost_reason = reason;
  if (backend_call->crash_id != 0)
    {
      fn_answer_lost_call (backend_call);
      return;
    }
  backend_call->state = FN_CALL_LOST;
  if (!backend->probe)
    backend->probe
        = fh_start_probe (backend->kernel, &settings->backend.address, settings->backend.port,
                          PROBE_TIMEOUT, end_lost_calls, backend);
}

/* Returns whether a suspect other than BACKEND_CALL waits or runs. */
static bool
has_other_suspect (const fn_backend_call_t *backend_call)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, backend_call->backend->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value != backend_call && ((const fn_backend_call_t *)value)->is_suspect)
      return true;
  return false;
}

/* The refusal tells the entry node how long it need not ask again. */
static void
refuse_for (fn_backend_call_t *backend_call, fb_time_t time)
{
  fw_call_t answer = { .outcome = FW_NOT_RUN,
                       .status = 503,
                       .reason = FB_LITERAL (FN_QUARANTINED_REASON),
                       .quarantine_us = (uint64_t)MAX (time / FB_MICROSECOND, 1) };

  fb_add_counter (backend_call->backend->quarantined, 1);
  if (backend_call->has_ticket)
    {
      fn_refuse_backend_call (backend_call, 503, FN_QUARANTINED_REASON);
      return;
    }
  fb_add_counter (backend_call->backend->refused, 1);
  fn_answer_backend_call (backend_call, &answer);
}

bool
fn_refuse_quarantined (fn_backend_call_t *backend_call)
{
  fn_quarantine_t *quarantine = find_quarantine (backend_call->backend);
  fr_request_state_t state;
  fb_time_t left = TRIAL_RETRY_DELAY;

  if (backend_call->call.crash_id > 0)
    fn_note_crash (quarantine, get_key (backend_call), backend_call->call.crash_id);
  if (!fn_has_suspects (quarantine))
    return false;
  state = fn_check_request (quarantine, get_key (backend_call), &left);
  if (state == FR_REQUEST_FREE)
    return false;
  if (state == FR_REQUEST_QUARANTINED
      || (state == FR_REQUEST_TRIAL && !fn_owns_trial (quarantine, get_key (backend_call))))
    {
      refuse_for (backend_call, left);
      return true;
    }
  /* A call with a ticket cannot run elsewhere. */
  if (!backend_call->has_ticket && has_other_suspect (backend_call))
    {
      fn_refuse_for_retry_elsewhere (backend_call, 503,
                                     "another request under suspicion is running");
      return true;
    }
  backend_call->is_suspect = true;
  return false;
}

void
fn_note_completion (fn_backend_call_t *backend_call)
{
  fn_quarantine_t *quarantine = find_quarantine (backend_call->backend);

  if (fn_has_suspects (quarantine))
    fn_report_completion (quarantine, get_key (backend_call));
}

/* Applies the quarantine to a call that was accepted before. */
static void
check_accepted_call (fn_backend_call_t *backend_call)
{
  fn_backend_t *backend = backend_call->backend;
  fb_time_t left;
  fr_request_state_t state
      = fn_check_request (find_quarantine (backend), get_key (backend_call), &left);

  if (state == FR_REQUEST_FREE || backend_call->has_ticket)
    return;
  if (backend_call->state == FN_CALL_RUNNING)
    {
      backend_call->is_suspect = true;
      /* The backend server may drop the request before it ends. */
      if (state == FR_REQUEST_QUARANTINED)
        fn_abort_running_call (backend_call, 502, FN_QUARANTINED_REASON);
    }
  else if (state == FR_REQUEST_QUARANTINED || has_other_suspect (backend_call))
    fr_cancel_call (backend->admission, backend_call->handle);
  else
    backend_call->is_suspect = true;
}

/* Runs check_accepted_call for the calls in STATE; answers to some may end others. */
static void
check_accepted_calls (fn_backend_t *backend, fn_call_state_t state)
{
  GPtrArray *calls = find_calls (backend, state);
  GArray *handles = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (guint i = 0; i < calls->len; i++)
    g_array_append_val (handles, ((fn_backend_call_t *)g_ptr_array_index (calls, i))->handle);
  for (guint i = 0; i < handles->len; i++)
    {
      fn_backend_call_t *backend_call
          = g_hash_table_lookup (backend->calls, &g_array_index (handles, uint64_t, i));

      if (backend_call && backend_call->state == state)
        check_accepted_call (backend_call);
    }
  g_array_unref (handles);
  g_ptr_array_unref (calls);
}

void
fn_apply_quarantine (fk_kernel_t *kernel)
{
  fn_backend_t *backend = fk_find_service (kernel, FN_BACKEND);

  check_accepted_calls (backend, FN_CALL_RUNNING);
  check_accepted_calls (backend, FN_CALL_WAITING);
}
