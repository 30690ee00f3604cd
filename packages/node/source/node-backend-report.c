/* Backend service: what the backend server says about itself in its responses, and the end of
 * its calls when it leaves. */
#include "node-backend.h"

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

static void
log_rate_limit (fn_backend_t *backend, const char *message, fb_str_t request_id)
{
  double rate;

  fr_get_rate_limit (backend->rate_limit, &rate);
  fb_set_counter (backend->rate_limit_gauge, (uint64_t)(rate * 1000));
  FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_BACKEND, message,
          FB_TEXT ("instance", backend->local.instance.data), FB_STR ("id", request_id),
          FB_NUMBER ("limit_per_1000_s", rate * 1000),
          FB_NUMBER ("started", fr_count_started (backend->admission)),
          FB_NUMBER ("waiting", fr_count_waiting (backend->admission)));
}

static void
handle_rate_limit (const fn_backend_call_t *backend_call, fb_str_t value)
{
  fn_backend_t *backend = backend_call->backend;
  double rate;

  if (!value.data)
    {
      if (fr_end_rate_limit (backend->rate_limit, backend_call->started_at))
        log_rate_limit (backend, "backend server no longer limits its requests",
                        backend_call->call.request_id);
    }
  else if (fr_parse_rate (value, &rate) != FB_OK)
    {
      fb_add_counter (backend->invalid_rate_limits, 1);
      FB_LOG (fk_get_log (backend->kernel), FB_LOG_WARNING, FN_BACKEND,
              "rate limit of the backend server ignored: not a decimal number",
              FB_STR ("found", value), FB_STR ("id", backend_call->call.request_id));
    }
  else if (fr_name_rate_limit (backend->rate_limit, rate))
    log_rate_limit (backend, "backend server limits its requests",
                    backend_call->call.request_id);
}

void
fn_set_answer_report (fn_backend_t *backend, fw_call_t *answer)
{
  double rate;
  bool limited = fr_get_rate_limit (backend->rate_limit, &rate);

  answer->leaving = fn_is_backend_leaving (backend);
  if (!answer->leaving && !limited)
    return;
  answer->instance = fb_get_name (&backend->local.instance);
  answer->incarnation = backend->local.incarnation;
  /* 0 stands for no limit. */
  if (limited)
    answer->rate_limit_milli = MAX ((uint64_t)(rate * 1000), 1);
}

void
fn_adopt_reported_limit (fn_backend_t *backend, const fw_call_t *call)
{
  if (call->rate_limit_milli == 0
      || !fb_equal_str (call->instance, fb_get_name (&backend->local.instance))
      || call->incarnation != backend->local.incarnation)
    return;
  if (fr_adopt_rate_limit (backend->rate_limit, (double)call->rate_limit_milli / 1000))
    log_rate_limit (backend, "rate limit of the backend server known from another node",
                    call->request_id);
}

void
fn_handle_backend_report (const fn_backend_call_t *backend_call, const fh_response_t *response)
{
  const fn_dialect_t *dialect = fn_get_adapter (backend_call->backend->kernel)->dialect;

  if (!is_current_instance (backend_call))
    return;
  if (response->status == FN_MISDIRECTED_STATUS)
    {
      fn_reject_local_backend (backend_call->backend->kernel, &backend_call->instance,
                               backend_call->instance_incarnation);
      return;
    }
  if (fb_equal_str (find_header (response, dialect->leaving), FB_LITERAL ("1")))
    handle_leaving (backend_call);
  if (dialect->rate_limit.len > 0)
    handle_rate_limit (backend_call, find_header (response, dialect->rate_limit));
}
