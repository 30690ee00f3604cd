/* Backend service: what the backend server says about itself in its responses, and the end of
 * its calls when it leaves. */
#include "node-backend.h"

/* Status of a backend server that is not the expected instance; it speaks for another one. */
#define MISDIRECTED_STATUS 421

static fb_str_t
find_header (const fh_response_t *response, fb_str_t name)
{
  if (name.len == 0)
    return (fb_str_t){ NULL, 0 };
  return fh_find_header (response->headers, response->header_count, name);
}

/* Returns whether the instance that got BACKEND_CALL is still the local backend server. */
static bool
is_current_instance (const fn_backend_call_t *backend_call)
{
  const fn_local_backend_t *local = &backend_call->backend->local;

  return fb_equal_name (&backend_call->instance, &local->instance)
         && backend_call->instance_incarnation == local->incarnation;
}

bool
fn_is_backend_leaving (const fn_backend_t *backend)
{
  return backend->local.leaving || backend->said_leaving;
}

void
fn_refuse_waiting_calls (fn_backend_t *backend)
{
  GArray *handles = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, backend->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const fn_backend_call_t *backend_call = value;

      if (backend_call->state == FN_CALL_WAITING)
        g_array_append_val (handles, backend_call->handle);
    }
  for (guint i = 0; i < handles->len; i++)
    fr_cancel_call (backend->admission, g_array_index (handles, uint64_t, i));
  g_array_unref (handles);
}

static void
handle_leaving (const fn_backend_call_t *backend_call)
{
  fn_backend_t *backend = backend_call->backend;

  fb_add_counter (backend->leaving_responses, 1);
  if (backend->said_leaving)
    return;
  backend->said_leaving = true;
  FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_BACKEND,
          "backend server says that it leaves",
          FB_TEXT ("instance", backend->local.instance.data),
          FB_STR ("id", backend_call->call.request_id),
          FB_NUMBER ("listed_leaving", backend->local.leaving),
          FB_NUMBER ("started", fr_count_started (backend->admission)),
          FB_NUMBER ("waiting", fr_count_waiting (backend->admission)));
  fn_refuse_waiting_calls (backend);
}

void
fn_handle_backend_report (const fn_backend_call_t *backend_call, const fh_response_t *response)
{
  const fn_dialect_t *dialect = fn_get_adapter (backend_call->backend->kernel)->dialect;

  if (response->status == MISDIRECTED_STATUS || !is_current_instance (backend_call))
    return;
  if (fb_equal_str (find_header (response, dialect->leaving), FB_LITERAL ("1")))
    handle_leaving (backend_call);
}
