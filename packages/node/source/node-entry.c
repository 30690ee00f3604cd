#include "node-entry.h"
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Longest request id that a caller may set, in bytes. */
#define REQUEST_ID_MAX 63

/* Longest wait of a caller, in ms; bounds what it claims. */
#define ASKED_MAX_MS 3600000

/* Time in s after which a caller that was refused may come back: about two calls of the usual
 * kinds, in which slots become free. */
#define RETRY_AFTER_S "0.1"

static const fb_str_t default_customer = { "default", 7 };

static fb_str_t
find_request_header (fh_request_t *request, fb_str_t name)
{
  const fh_header_t *headers;
  size_t count = fh_get_headers (request, &headers);

  return fh_find_header (headers, count, name);
}

static void
respond (fn_entry_t *entry, fh_request_t *request, const fw_call_t *answer,
         const char *request_id)
{
  const fn_dialect_t *dialect = fn_get_adapter (entry->kernel)->dialect;
  fh_header_t headers[FH_HEADERS_MAX + 3];
  size_t count = 0;
  GString *text = NULL;
  fb_bytes_t body = answer->body;

  for (size_t i = 0; i < answer->header_count; i++)
    headers[count++] = (fh_header_t){ answer->headers[i].name, answer->headers[i].value };
  if (dialect->outcome.len > 0)
    headers[count++] = (fh_header_t){ dialect->outcome,
                                      fb_wrap_text (fw_describe_outcome (answer->outcome)) };
  if (!fh_find_header (headers, count, dialect->request_id).data)
    headers[count++] = (fh_header_t){ dialect->request_id, fb_wrap_text (request_id) };
  if (answer->outcome == FW_NOT_RUN && answer->status == 503)
    headers[count++] = (fh_header_t){ FB_LITERAL ("retry-after"), FB_LITERAL (RETRY_AFTER_S) };
  if (answer->outcome != FW_ANSWERED)
    {
      text = g_string_new_len (answer->reason.data, (gssize)answer->reason.len);
      g_string_append_c (text, '\n');
      headers[count++]
          = (fh_header_t){ FB_LITERAL ("content-type"), FB_LITERAL ("text/plain") };
      body = (fb_bytes_t){ (const uint8_t *)text->str, text->len };
    }
  fb_add_counter (entry->outcomes[answer->outcome], 1);
  if (answer->close_delimited)
    fh_respond_close_delimited (request, answer->status, headers, count, body);
  else
    fh_respond (request, answer->status, headers, count, body);
  if (text)
    g_string_free (text, TRUE);
}

static void
refuse_request (fn_entry_t *entry, fh_request_t *request, uint32_t status, const char *reason,
                const char *request_id)
{
  fw_call_t answer
      = { .outcome = FW_NOT_RUN, .status = status, .reason = fb_wrap_text (reason) };

  FB_LOG (
      fk_get_log (entry->kernel), FB_LOG_INFO, FN_REQUEST, "refused on arrival",
      FB_TEXT ("id", request_id), FB_NUMBER ("status", status), FB_TEXT ("reason", reason),
      FB_STR ("host", fh_get_host (request)), FB_STR ("path", fh_get_path (request)),
      FB_NUMBER ("version",
                 fn_get_version (fk_find_service (entry->kernel, FN_DISTRIBUTION))->number));

  /* A ticket may have been used through another node, so that only its own node can say "not
   * run". */
  if (find_request_header (request, FB_LITERAL ("foxtailrun-ticket")).len > 0)
    {
      answer.outcome = FW_UNKNOWN;
      answer.status = status < 500 ? status : 504;
    }
  respond (entry, request, &answer, request_id);
}

/* One in so many calls that were answered in time is logged. */
#define SAMPLE_RATE 64

/* Returns whether the line of a call is written: always when it was not answered in time,
 * otherwise by its id, so that all nodes it crosses keep or drop it together. */
static bool
is_logged (const fn_entry_call_t *call, const fw_call_t *answer)
{
  return answer->outcome != FW_ANSWERED || answer->status >= 500
         || fb_read_clock (fk_get_clock (call->entry->kernel)) > call->target_time
         || fb_hash_str (fb_wrap_text (call->request_id), 0) % SAMPLE_RATE == 0;
}

static void
log_call (const fn_entry_call_t *call, const fw_call_t *answer)
{
  fn_entry_t *entry = call->entry;
  fb_time_t now = fb_read_clock (fk_get_clock (entry->kernel));
  const char *instance
      = call->attempt_count > 0 ? call->tried[call->attempt_count - 1].data : "";

  if (!is_logged (call, answer))
    return;
  FB_LOG (fk_get_log (entry->kernel), FB_LOG_INFO, FN_REQUEST,
          answer->outcome != FW_ANSWERED ? fw_describe_outcome (answer->outcome)
          : now > call->target_time      ? "answered late"
                                         : "answered",
          FB_TEXT ("id", call->request_id), FB_NUMBER ("status", answer->status),
          FB_STR ("reason", answer->reason), FB_TEXT ("route", call->route->name.data),
          FB_NUMBER ("version", fc_get_version_number (call->snapshot)),
          FB_TEXT ("instance", instance), FB_NUMBER ("attempts", call->attempt_count),
          FB_NUMBER ("again", call->is_caller_retry),
          FB_NUMBER ("total_ms", (now - call->start) / FB_MILLISECOND),
          FB_NUMBER ("target_ms", (call->target_time - call->start) / FB_MILLISECOND),
          FB_NUMBER ("limit_ms", (call->deadline - call->start) / FB_MILLISECOND),
          FB_NUMBER ("attempt_ms", (now - call->attempt_start) / FB_MILLISECOND),
          FB_NUMBER ("service_ms", answer->service_us / 1000),
          FB_NUMBER ("wait_ms", answer->wait_us / 1000), FB_NUMBER ("load", answer->load));
}

void
fn_finish_entry_call (fn_entry_call_t *call, const fw_call_t *answer)
{
  fn_entry_t *entry = call->entry;
  fw_call_t told = *answer;

  /* A refused retry says nothing about the attempts before it. */
  if (told.outcome == FW_NOT_RUN && call->may_have_run)
    {
      told.outcome = FW_UNKNOWN;
      told.status = 504;
    }
  log_call (call, &told);
  fb_observe_time (entry->durations[told.outcome],
                   fb_read_clock (fk_get_clock (entry->kernel)) - call->start);
  fn_count_burn (fk_find_service (entry->kernel, FN_BURN), call->snapshot, call->route, &told,
                 call->start);
  respond (entry, call->request, &told, call->request_id);
  fk_destroy_timer (call->timer);
  fc_release_snapshot (call->snapshot);
  entry->calls--;
  g_free (call);
}

void
fn_finish_with_outcome (fn_entry_call_t *call, fw_outcome_t outcome, uint32_t status,
                        const char *reason)
{
  fw_call_t answer = { .outcome = outcome, .status = status, .reason = fb_wrap_text (reason) };

  fn_finish_entry_call (call, &answer);
}

/* The caller's deadline has passed: an open attempt may still run. */
static void
expire_call (void *user)
{
  fn_entry_call_t *call = user;
  bool open = call->attempt != 0;

  fn_abandon_attempt (call);
  fn_finish_with_outcome (call, open ? FW_UNKNOWN : FW_NOT_RUN, open ? 504 : 503,
                          "deadline passed");
}

static void
cancel_call (fh_request_t *request, void *user)
{
  fn_entry_call_t *call = user;

  fn_abandon_attempt (call);
  fn_finish_with_outcome (call, FW_UNKNOWN, 499, "caller went away");
}

/* Writes the caller's request id, or a new one, into TEXT. */
static void
set_request_id (fn_entry_t *entry, fh_request_t *request, char text[REQUEST_ID_MAX + 1])
{
  const fn_dialect_t *dialect = fn_get_adapter (entry->kernel)->dialect;
  fb_str_t given = find_request_header (request, dialect->request_id);

  if (given.len > 0 && given.len <= REQUEST_ID_MAX)
    {
      memcpy (text, given.data, given.len);
      text[given.len] = '\0';
      return;
    }
  snprintf (text, REQUEST_ID_MAX + 1, "%016" PRIx64, ++entry->next_id);
}

/* Returns the time in ns that the caller says it will wait; as the route allows when it says
 * nothing. */
static fb_time_t
read_wait (fn_entry_t *entry, fh_request_t *request, const fc_route_t *route)
{
  uint64_t asked;

  if (fb_parse_u64 (
          find_request_header (request, fn_get_adapter (entry->kernel)->dialect->timeout_ms),
          &asked))
    return (fb_time_t)MIN (asked, ASKED_MAX_MS) * FB_MILLISECOND;
  return route->timeout_ms * FB_MILLISECOND;
}

/* Period over which the longest wait of a route's callers is kept. */
#define WAIT_PERIOD (10 * FB_SECOND)

/* Callers of a route differ by up to this part in how long they wait at first. */
#define PATIENCE_SPREAD 0.15

/* A caller with that much less time than the least patient of the route has spent it on an
 * earlier try. */
#define AGAIN_MIN (20 * FB_MILLISECOND)

/* Returns the time that a caller of ROUTE with ASKED left has spent on earlier tries at least.
 */
static fb_time_t
guess_spent (fn_entry_t *entry, const fc_route_t *route, fb_time_t asked)
{
  fn_route_timeout_t *wait = g_hash_table_lookup (entry->waits, route->name.data);
  fb_time_t now = fb_read_clock (fk_get_clock (entry->kernel));
  fb_time_t least; /* that a caller has at its first try */

  if (!wait)
    {
      wait = g_new0 (fn_route_timeout_t, 1);
      g_hash_table_insert (entry->waits, g_strdup (route->name.data), wait);
    }
  if (now >= wait->period_end)
    {
      wait->previous_max = now < wait->period_end + WAIT_PERIOD ? wait->current_max : 0;
      wait->current_max = 0;
      wait->period_end = now + WAIT_PERIOD;
    }
  wait->current_max = MAX (wait->current_max, asked);
  least = (fb_time_t)((double)MAX (wait->current_max, wait->previous_max)
                      * (1 - PATIENCE_SPREAD));
  return least - asked >= AGAIN_MIN ? least - asked : 0;
}

/* Sets the time until which the call is in time, counted from the caller's first try. */
static void
set_aim (fn_entry_call_t *call, fb_time_t asked)
{
  uint32_t target = call->route->target_ms;
  fb_time_t spent = guess_spent (call->entry, call->route, asked);

  if (target == 0)
    target = fc_get_rank (call->snapshot, call->route->rank)->target_ms;
  call->latency_target = target * FB_MILLISECOND;
  call->is_caller_retry = spent > 0;
  call->target_time = call->start + MAX (call->latency_target - spent, 0);
}

/* Returns whether a path segment is read the same by everyone: not empty, no dot segment, no
 * escaped dot or slash, no parameters. */
static bool
is_plain_segment (fb_str_t segment)
{
  char *text = g_ascii_strdown (segment.data, (gssize)segment.len);
  bool plain = segment.len > 0 && strcmp (text, ".") != 0 && strcmp (text, "..") != 0
               && !strstr (text, "%2e") && !strstr (text, "%2f") && !strstr (text, "%5c")
               && !strpbrk (text, "\\;");

  g_free (text);
  return plain;
}

/* Returns whether PATH up to its query reads the same for routing and for a backend server that
 * resolves dot segments, empty segments and escapes. Another reading could reach a route that
 * runs at most once by the name of one that is repeatable. */
static bool
is_plain_path (fb_str_t path)
{
  const char *query = memchr (path.data, '?', path.len);
  const char *end = query ? query : path.data + path.len;
  const char *at = path.data;

  if (at == end || *at != '/')
    return false;
  for (at++; at < end;)
    {
      const char *slash = memchr (at, '/', (size_t)(end - at));
      const char *stop = slash ? slash : end;

      if (!is_plain_segment ((fb_str_t){ at, (size_t)(stop - at) }))
        return false;
      at = stop + 1;
    }
  return true;
}

/* Returns why a request is malformed, or NULL. Control bytes could otherwise split the header
 * lines that are written to the backend server. */
static const char *
find_fault (fn_entry_t *entry, fh_request_t *request)
{
  const fn_dialect_t *dialect = fn_get_adapter (entry->kernel)->dialect;
  const fh_header_t *headers;
  size_t count = fh_get_headers (request, &headers);
  fb_str_t path = fh_get_path (request);

  for (size_t i = 0; i < path.len; i++)
    {
      if ((unsigned char)path.data[i] <= ' ')
        return "path holds a control byte or a space";
    }
  if (dialect->resolves_paths && !is_plain_path (path))
    return "path holds an empty, dot or escaped segment";
  for (size_t i = 0; i < count; i++)
    {
      if (memchr (headers[i].value.data, '\n', headers[i].value.len)
          || memchr (headers[i].value.data, '\r', headers[i].value.len)
          || memchr (headers[i].name.data, '\n', headers[i].name.len))
        return "header holds a line break";
    }
  if (find_request_header (request, dialect->customer).len > FB_NAME_MAX)
    return "customer name is too long";
  return NULL;
}

static fb_str_t
read_customer (fn_entry_t *entry, fh_request_t *request)
{
  const fn_dialect_t *dialect = fn_get_adapter (entry->kernel)->dialect;
  fb_str_t customer = find_request_header (request, dialect->customer);

  return customer.len > 0 ? customer : default_customer;
}

static fn_entry_call_t *
create_call (fn_entry_t *entry, fh_request_t *request, fc_snapshot_t *snapshot,
             const fc_route_t *route, uint32_t service, const char *request_id)
{
  fn_entry_call_t *call = g_new0 (fn_entry_call_t, 1);
  fb_time_t asked = read_wait (entry, request, route);
  fb_time_t timeout = MIN (asked, route->timeout_ms * FB_MILLISECOND);

  call->entry = entry;
  call->request = request;
  call->snapshot = fc_retain_snapshot (snapshot);
  call->route = route;
  call->service = service;
  call->customer = read_customer (entry, request);
  call->ticket = find_request_header (request, FB_LITERAL ("foxtailrun-ticket"));
  g_strlcpy (call->request_id, request_id, sizeof call->request_id);
  call->start = fb_read_clock (fk_get_clock (entry->kernel));
  call->deadline = call->start + timeout;
  set_aim (call, asked);
  call->timer = fk_create_timeout (entry->kernel, timeout, expire_call, call);
  entry->calls++;
  return call;
}

static void
handle_request (fh_request_t *request, void *user)
{
  fn_entry_t *entry = user;
  fn_distribution_t *distribution = fk_find_service (entry->kernel, FN_DISTRIBUTION);
  /* Noticing a pause may change the state of the distribution, so that it comes before the
   * snapshot. */
  bool ready = fn_is_ready (distribution);
  const fn_dialect_t *dialect = fn_get_adapter (entry->kernel)->dialect;
  fc_snapshot_t *snapshot = fn_get_snapshot (distribution);
  const char *fault = find_fault (entry, request);
  const fc_route_t *route = NULL;
  uint32_t part;
  fb_str_t service;
  fb_str_t customer;
  char request_id[REQUEST_ID_MAX + 1];
  fn_entry_call_t *call;

  set_request_id (entry, request, request_id);
  if (fault)
    {
      refuse_request (entry, request, 400, fault, request_id);
      return;
    }
  if (snapshot)
    route = fc_find_route (snapshot, fh_get_host (request), fh_get_method (request),
                           fh_get_path (request));
  if (!ready || !snapshot || entry->closed)
    {
      fn_count_refusal (fk_find_service (entry->kernel, FN_BURN), snapshot, route);
      refuse_request (entry, request, 503,
                      entry->closed ? "node is shutting down" : "node is not ready",
                      request_id);
      return;
    }
  if (!route)
    {
      refuse_request (entry, request, 404, "no route for this path and method", request_id);
      return;
    }
  part = fr_split_call (entry->splitter, route);
  service = fb_get_name (&fc_get_service (snapshot, part)->name);
  customer = read_customer (entry, request);
  /* The throttle keeps one customer's flood from the others; without customers the nodes beside
   * the backend servers refuse more exactly. A refusal here would leave the outcome of a ticket
   * unknown; its own node can say more. */
  if (dialect->customer.len > 0
      && find_request_header (request, FB_LITERAL ("foxtailrun-ticket")).len == 0
      && !fr_admit_customer (entry->throttle, service, route->rank, customer))
    {
      fb_add_counter (entry->throttled, 1);
      fn_count_refusal (fk_find_service (entry->kernel, FN_BURN), snapshot, route);
      refuse_request (entry, request, 429, "service is overloaded for this rank", request_id);
      return;
    }
  fh_set_idle_timeout (entry->server,
                       (fb_time_t)fc_get_idle_timeout_ms (snapshot) * FB_MILLISECOND);
  call = create_call (entry, request, snapshot, route, part, request_id);
  fh_set_cancelled_handler (request, cancel_call, call);
  call->parent_is_repeat = fn_is_parent_repeat (fk_find_service (entry->kernel, FN_BACKEND),
                                                fb_wrap_text (request_id));
  if (call->parent_is_repeat)
    fr_charge_retry (entry->budget, service);
  else
    fr_deposit_retry (entry->budget, service);
  fn_start_attempt (call);
}

/* Part of the allowance of retries that nodes share which they use, since some nodes see more
 * endpoints than others. */
#define SLACK_PART 0.5

static void
update_instance (const fw_member_t *member, void *user)
{
  fn_entry_t *entry = user;
  const fc_settings_t *settings = fn_get_settings (entry->kernel);
  size_t nodes = fn_count_endpoints (fk_find_service (entry->kernel, FN_DIRECTORY));

  fr_update_instance (entry->picker, member);
  if (settings->shared_retry_floor > 0)
    fr_set_retry_allowance (entry->budget, settings->retry_ratio,
                            settings->shared_retry_floor * SLACK_PART / (double)MAX (nodes, 1));
}

static fb_status_t
start_entry (fk_kernel_t *kernel, void *data)
{
  fn_entry_t *entry = data;
  const fc_settings_t *settings = fn_get_settings (kernel);
  fw_member_t self = *fm_get_self (fn_get_members (fk_find_service (kernel, FN_MEMBERSHIP)));

  /* The picker learns the region from this node's own description, which is no endpoint itself
   * where the platform lists them. */
  if (fn_get_adapter (kernel)->source_lists_endpoints)
    {
      self.service = (fb_name_t){ 0 };
      update_instance (&self, entry);
    }
  else
    fn_update_endpoint (kernel, &self);
  entry->server = fh_create_server (kernel, &settings->address, settings->caller_port,
                                    FW_REQUEST_BODY_MAX, handle_request, entry);
  return entry->server ? FB_OK : FB_IO;
}

static void
stop_entry (void *data)
{
  fn_close_entry (data);
}

static void
destroy_entry (void *data)
{
  fn_entry_t *entry = data;

  fh_destroy_server (entry->server);
  fr_destroy_picker (entry->picker);
  fr_destroy_retry_budget (entry->budget);
  fr_destroy_throttle (entry->throttle);
  fr_destroy_splitter (entry->splitter);
  g_hash_table_destroy (entry->waits);
  g_hash_table_destroy (entry->attempts);
  for (size_t i = 0; i < G_N_ELEMENTS (entry->durations); i++)
    fb_destroy_histogram (entry->durations[i]);
  g_free (entry);
}

static void
find_entry_counters (fn_entry_t *entry, fb_counters_t *counters)
{
  static const fw_outcome_t outcomes[] = { FW_ANSWERED, FW_NOT_RUN, FW_UNKNOWN, FW_FAILED };

  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      char *labels = g_strdup_printf ("outcome=\"%s\"", fw_describe_outcome (outcomes[i]));
      entry->outcomes[outcomes[i]] = fb_find_counter (counters, "entry_calls", labels);
      entry->durations[outcomes[i]]
          = fb_create_histogram (counters, "entry_duration_us", labels);
      g_free (labels);
    }
  entry->retries = fb_find_counter (counters, "entry_retries", "");
  entry->throttled = fb_find_counter (counters, "entry_throttled", "");
  entry->unmatched = fb_find_counter (counters, "entry_unmatched_answers", "");
}

void
fn_register_entry (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { start_entry, stop_entry, destroy_entry };
  const fc_settings_t *settings = fn_get_settings (kernel);
  fn_entry_t *entry = g_new0 (fn_entry_t, 1);

  entry->kernel = kernel;
  fb_set_log_limit (fk_get_log (kernel), FN_REQUEST, FN_CALL_LOG_LINES_MAX);
  entry->picker = fr_create_picker (FR_PICK_LOCALITY, &settings->id, &settings->zone,
                                    randombytes_random (), fk_get_clock (kernel));
  entry->budget = fr_create_retry_budget (fk_get_clock (kernel));
  entry->splitter = fr_create_splitter (randombytes_random ());
  entry->throttle = fr_create_throttle (randombytes_random (), fk_get_clock (kernel));
  entry->waits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  entry->next_id = (uint64_t)randombytes_random () << 24;
  find_entry_counters (entry, fk_get_counters (kernel));
  fn_watch_endpoints (fk_find_service (kernel, FN_DIRECTORY), update_instance, entry);
  fk_register_service (kernel, FN_ENTRY, &vtable, entry);
}

void
fn_disable_keep_alive (fn_entry_t *entry)
{
  if (entry->server)
    fh_disable_keep_alive (entry->server);
}

void
fn_close_entry (fn_entry_t *entry)
{
  entry->closed = true;
  if (entry->server)
    fh_stop_accepting (entry->server);
}

void
fn_avoid_instance (fn_entry_t *entry, const fb_name_t *instance, fb_time_t time)
{
  fr_avoid_until (entry->picker, instance, time);
}

size_t
fn_count_entry_calls (fn_entry_t *entry)
{
  return entry->calls;
}

size_t
fn_count_instances (fn_entry_t *entry, fb_str_t service)
{
  return fr_count_instances (entry->picker, service);
}
