/* Backend service: calls whose connection ended without a response, and whether the backend
 * server has ended with them. */
#include "node-backend.h"
#include <sodium.h>

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

static void
log_suspect (const fn_backend_call_t *backend_call)
{
  fn_backend_t *backend = backend_call->backend;

  FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_SERVED,
          "running when the backend server ended", FB_STR ("id", backend_call->call.request_id),
          FB_STR ("host", backend_call->call.host), FB_STR ("path", backend_call->call.path),
          FB_NUMBER ("crash", backend_call->crash_id));
}

/* Counts BACKEND_CALL as running in crash ID, if the backend server may have got it. */
static void
add_suspect (fn_backend_call_t *backend_call, uint64_t id)
{
  if (backend_call->exchange && !fh_is_sent (backend_call->exchange))
    return;
  backend_call->crash_id = id;
  log_suspect (backend_call);
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
  uint64_t id = make_crash_id ();

  fb_add_counter (backend->crashes, 1);
  FB_LOG (fk_get_log (backend->kernel), FB_LOG_WARNING, FN_BACKEND, "backend server has ended",
          FB_TEXT ("instance", backend->local.instance.data),
          FB_NUMBER ("running", lost->len + running->len), FB_NUMBER ("crash", id));
  for (guint i = 0; i < lost->len; i++)
    add_suspect (g_ptr_array_index (lost, i), id);
  for (guint i = 0; i < running->len; i++)
    add_suspect (g_ptr_array_index (running, i), id);
  g_ptr_array_unref (running);
}

static void
end_lost_calls (fh_listening_t listening, void *user)
{
  fn_backend_t *backend = user;
  GPtrArray *lost = find_calls (backend, FN_CALL_LOST);

  backend->probe = NULL;
  /* A planned end is no crash. */
  if (listening == FH_NOT_LISTENING && !fn_is_backend_leaving (backend))
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
