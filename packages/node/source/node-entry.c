/* Entry: accepts callers' requests and answers them. */
#include "node-entry.h"
#include "node-limits.h"
#include <foxtailrun/call/nested.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Longer timeouts are reduced to this. */
#define CALLER_TIMEOUT_MAX_MS 3600000

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
  fh_header_t headers[FW_HEADERS_MAX + 4];
  size_t count = 0;
  GString *text = NULL;
  fb_bytes_t body = answer->body;
  char retry_after[FN_RETRY_AFTER_LEN];

  for (size_t i = 0; i < answer->header_count; i++)
    headers[count++] = (fh_header_t){ answer->headers[i].name, answer->headers[i].value };
  if (dialect->outcome.len > 0)
    headers[count++] = (fh_header_t){ dialect->outcome,
                                      fb_wrap_text (fw_describe_outcome (answer->outcome)) };
  if (!fh_find_header (headers, count, dialect->request_id).data)
    headers[count++] = (fh_header_t){ dialect->request_id, fb_wrap_text (request_id) };
  if (answer->outcome == FW_NOT_RUN && (answer->status == 503 || fn_is_warming_up (answer)))
    {
      fn_format_retry_after (answer, retry_after);
      headers[count++]
          = (fh_header_t){ FB_LITERAL ("retry-after"), fb_wrap_text (retry_after) };
    }
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

  /* The ticket may have been used elsewhere: only its issuer can state that the call was not
   * run. */
  if (find_request_header (request, FB_LITERAL ("foxtailrun-ticket")).len > 0)
    {
      answer.outcome = FW_UNKNOWN;
      answer.status = status < 500 ? status : 504;
    }
  respond (entry, request, &answer, request_id);
}

/* One in this many calls answered in time with a status below 500 is logged. */
#define LOG_SAMPLE_INTERVAL 64

/* Returns whether a call is logged: always if late or with status 500 or more, otherwise
 * sampled by the hash of its request id, so that all nodes on its path agree. */
static bool
is_logged (const fn_entry_call_t *call, const fw_call_t *answer)
{
  return answer->outcome != FW_ANSWERED || answer->status >= 500
         || fb_read_clock (fk_get_clock (call->entry->kernel)) > call->target_time
         || fb_hash_str (fb_wrap_text (call->request_id), 0) % LOG_SAMPLE_INTERVAL == 0;
}

static void
log_call (const fn_entry_call_t *call, const fw_call_t *answer)
{
  fn_entry_t *entry = call->entry;
  fb_time_t now = fb_read_clock (fk_get_clock (entry->kernel));

  if (!is_logged (call, answer))
    return;
  FB_LOG (fk_get_log (entry->kernel), FB_LOG_INFO, FN_REQUEST,
          answer->outcome != FW_ANSWERED ? fw_describe_outcome (answer->outcome)
          : now > call->target_time      ? "answered late"
                                         : "answered",
          FB_TEXT ("id", call->request_id), FB_NUMBER ("status", answer->status),
          FB_STR ("reason", answer->reason), FB_TEXT ("route", call->route->name.data),
          FB_NUMBER ("version", fc_get_version_number (call->snapshot)),
          FB_TEXT ("instance", call->last_attempt.instance.data),
          FB_NUMBER ("attempts", call->attempt_count), FB_NUMBER ("hedged", call->hedged),
          FB_NUMBER ("again", call->is_caller_retry),
          FB_NUMBER ("total_ms", (now - call->arrived_at) / FB_MILLISECOND),
          FB_NUMBER ("target_ms", (call->target_time - call->arrived_at) / FB_MILLISECOND),
          FB_NUMBER ("limit_ms", (call->deadline - call->arrived_at) / FB_MILLISECOND),
          FB_NUMBER ("attempt_ms", (now - call->last_attempt.started_at) / FB_MILLISECOND),
          FB_NUMBER ("service_ms", answer->service_us / 1000),
          FB_NUMBER ("wait_ms", answer->wait_us / 1000), FB_NUMBER ("load", answer->load));
}

void
fn_finish_entry_call (fn_entry_call_t *call, const fw_call_t *answer)
{
  fn_entry_t *entry = call->entry;
  fw_call_t final_answer = *answer;

  /* An earlier attempt may have run, even though the last one did not. */
  if (final_answer.outcome == FW_NOT_RUN && call->may_have_run)
    {
      final_answer.outcome = FW_UNKNOWN;
      final_answer.status = 504;
    }
  log_call (call, &final_answer);
  fb_observe_time (entry->durations[final_answer.outcome],
                   fb_read_clock (fk_get_clock (entry->kernel)) - call->arrived_at);
  fn_count_objective_call (fk_find_service (entry->kernel, FN_BURN), call->snapshot,
                           call->route, &final_answer, call->arrived_at);
  respond (entry, call->request, &final_answer, call->request_id);
  fn_count_hedge_end (call);
  fn_drop_held_answer (call);
  fk_destroy_timer (call->timer);
  fc_release_snapshot (call->snapshot);
  entry->open_calls--;
  g_free (call);
}

void
fn_finish_with_outcome (fn_entry_call_t *call, fw_outcome_t outcome, uint32_t status,
                        const char *reason)
{
  fw_call_t answer = { .outcome = outcome, .status = status, .reason = fb_wrap_text (reason) };

  fn_finish_entry_call (call, &answer);
}

/* Ends a call whose deadline has passed; its open attempts may still run. */
static void
expire_call (fn_entry_call_t *call)
{
  bool has_open_attempt = fn_find_open_attempt (call) != NULL;

  fn_abandon_attempts (call);
  if (fn_finish_with_held_answer (call))
    return;
  fn_finish_with_outcome (call, has_open_attempt ? FW_UNKNOWN : FW_NOT_RUN,
                          has_open_attempt ? 504 : 503, "deadline passed");
}

void
fn_handle_call_timer (void *user)
{
  fn_entry_call_t *call = user;

  if (call->hedge_at > 0)
    fn_handle_hedge_time (call);
  else
    expire_call (call);
}

static void
cancel_call (fh_request_t *request, void *user)
{
  fn_entry_call_t *call = user;

  fn_abandon_attempts (call);
  fn_finish_with_outcome (call, FW_UNKNOWN, 499, "caller closed the connection");
}

/* Writes the caller's request id, or a new one, into REQUEST_ID. */
static void
set_request_id (fn_entry_t *entry, fh_request_t *request,
                char request_id[FN_REQUEST_ID_MAX + 1])
{
  const fn_dialect_t *dialect = fn_get_adapter (entry->kernel)->dialect;
  fb_str_t header = find_request_header (request, dialect->request_id);

  if (header.len > 0 && header.len <= FN_REQUEST_ID_MAX)
    {
      memcpy (request_id, header.data, header.len);
      request_id[header.len] = '\0';
      return;
    }
  snprintf (request_id, FN_REQUEST_ID_MAX + 1, "%016" PRIx64, ++entry->next_id);
}

/* Returns the caller's timeout in ns, or the route's without one. */
static fb_time_t
read_caller_timeout (fn_entry_t *entry, fh_request_t *request, const fc_route_t *route)
{
  uint64_t caller_timeout;

  if (fb_parse_u64 (
          find_request_header (request, fn_get_adapter (entry->kernel)->dialect->timeout_ms),
          &caller_timeout))
    return (fb_time_t)MIN (caller_timeout, CALLER_TIMEOUT_MAX_MS) * FB_MILLISECOND;
  return route->timeout_ms * FB_MILLISECOND;
}

/* Window over which the longest timeout of a route's callers is recorded. */
#define TIMEOUT_WINDOW (10 * FB_SECOND)

/* Timeouts of first requests on a route differ by up to this fraction. */
#define FIRST_REQUEST_TIMEOUT_SPREAD 0.15

/* A timeout shorter by this than the shortest expected of a first request belongs to a retry:
 * the caller spent the difference on earlier requests. */
#define SPENT_TIME_MIN (20 * FB_MILLISECOND)

/* Estimates the least time in ns that a caller of ROUTE with CALLER_TIMEOUT spent on earlier
 * requests; 0 for its first. */
static fb_time_t
estimate_spent_time (fn_entry_t *entry, const fc_route_t *route, fb_time_t caller_timeout)
{
  fn_route_timeout_t *route_timeout
      = g_hash_table_lookup (entry->route_timeouts, route->name.data);
  fb_time_t now = fb_read_clock (fk_get_clock (entry->kernel));
  fb_time_t first_request_timeout_min;

  if (!route_timeout)
    {
      route_timeout = g_new0 (fn_route_timeout_t, 1);
      g_hash_table_insert (entry->route_timeouts, g_strdup (route->name.data), route_timeout);
    }
  if (now >= route_timeout->window_end)
    {
      route_timeout->previous_max
          = now < route_timeout->window_end + TIMEOUT_WINDOW ? route_timeout->current_max : 0;
      route_timeout->current_max = 0;
      route_timeout->window_end = now + TIMEOUT_WINDOW;
    }
  route_timeout->current_max = MAX (route_timeout->current_max, caller_timeout);
  first_request_timeout_min
      = (fb_time_t)((double)MAX (route_timeout->current_max, route_timeout->previous_max)
                    * (1 - FIRST_REQUEST_TIMEOUT_SPREAD));
  return first_request_timeout_min - caller_timeout >= SPENT_TIME_MIN
             ? first_request_timeout_min - caller_timeout
             : 0;
}

static uint32_t
get_target_ms (const fc_snapshot_t *snapshot, const fc_route_t *route)
{
  return route->target_ms > 0 ? route->target_ms
                              : fc_get_rank (snapshot, route->rank)->target_ms;
}

/* Sets the time until which an answer is in time, counted from the caller's first request. */
static void
set_target_time (fn_entry_call_t *call, fb_time_t caller_timeout)
{
  fb_time_t spent = estimate_spent_time (call->entry, call->route, caller_timeout);

  call->latency_target = get_target_ms (call->snapshot, call->route) * FB_MILLISECOND;
  call->is_caller_retry = spent > 0;
  call->goes_first = call->is_caller_retry;
  call->target_time = call->arrived_at + MAX (call->latency_target - spent, 0);
}

/* Returns whether SEGMENT of a path is not empty, no dot segment, and without escaped dot or
 * slash, backslash or parameters. */
static bool
is_normalized_segment (fb_str_t segment)
{
  char *text = g_ascii_strdown (segment.data, (gssize)segment.len);
  bool normalized = segment.len > 0 && strcmp (text, ".") != 0 && strcmp (text, "..") != 0
                    && !strstr (text, "%2e") && !strstr (text, "%2f") && !strstr (text, "%5c")
                    && !strpbrk (text, "\\;");

  g_free (text);
  return normalized;
}

/* Returns whether PATH up to its query is unchanged when a backend server resolves dot
 * segments, empty segments and escapes. Otherwise it could match a repeatable route and reach
 * one that runs at most once. */
static bool
is_normalized_path (fb_str_t path)
{
  const char *query = memchr (path.data, '?', path.len);
  const char *end = query ? query : path.data + path.len;
  const char *pos = path.data;

  if (pos == end || *pos != '/')
    return false;
  for (pos++; pos < end;)
    {
      const char *slash = memchr (pos, '/', (size_t)(end - pos));
      const char *segment_end = slash ? slash : end;

      if (!is_normalized_segment ((fb_str_t){ pos, (size_t)(segment_end - pos) }))
        return false;
      pos = segment_end + 1;
    }
  return true;
}

static size_t
count_request_headers (fh_request_t *request, fb_str_t name)
{
  const fh_header_t *headers;
  size_t count = fh_get_headers (request, &headers);
  size_t found = 0;

  for (size_t i = 0; i < count; i++)
    found += fb_equal_str (headers[i].name, name);
  return found;
}

/* Returns why a field of REQUEST is longer than calls between nodes can carry and sets STATUS,
 * or returns NULL. HTTP/1 refuses such a head before; HTTP/2 takes a little more, and any
 * method. */
static const char *
find_length_error (fn_entry_t *entry, fh_request_t *request, uint32_t *status)
{
  const fn_dialect_t *dialect = fn_get_adapter (entry->kernel)->dialect;
  const fh_header_t *headers;
  size_t count = fh_get_headers (request, &headers);

  *status = 431;
  if (find_request_header (request, dialect->request_id).len > FN_REQUEST_ID_MAX)
    return "request id is longer than 255 bytes";
  if (fh_get_host (request).len > FW_TEXT_MAX)
    return "host is longer than 400 KB";
  for (size_t i = 0; i < count; i++)
    if (headers[i].name.len > FW_TEXT_MAX || headers[i].value.len > FW_TEXT_MAX)
      return "header is longer than 400 KB";
  if (fh_get_path (request).len > FW_TEXT_MAX)
    {
      *status = 414;
      return "path is longer than 400 KB";
    }
  if (fh_get_method (request).len > FB_NAME_MAX)
    {
      *status = 501;
      return "method is longer than any known one";
    }
  return NULL;
}

/* Returns why REQUEST is refused and sets STATUS, or returns NULL. Control bytes could split
 * header lines sent to the backend server. */
static const char *
find_request_error (fn_entry_t *entry, fh_request_t *request, uint32_t *status)
{
  const fn_dialect_t *dialect = fn_get_adapter (entry->kernel)->dialect;
  const fh_header_t *headers;
  size_t count = fh_get_headers (request, &headers);
  fb_str_t path = fh_get_path (request);
  const char *length_error = find_length_error (entry, request, status);

  if (length_error)
    return length_error;
  *status = 400;
  for (size_t i = 0; i < path.len; i++)
    {
      if ((unsigned char)path.data[i] <= ' ')
        return "path holds a control byte or a space";
    }
  if (dialect->resolves_paths && !is_normalized_path (path))
    return "path holds an empty, dot or escaped segment";
  for (size_t i = 0; i < count; i++)
    {
      if (memchr (headers[i].value.data, '\n', headers[i].value.len)
          || memchr (headers[i].value.data, '\r', headers[i].value.len)
          || memchr (headers[i].name.data, '\n', headers[i].name.len))
        return "header holds a line break";
    }
  /* HTTP/2 allows any bytes. */
  if (!fh_is_token (fh_get_method (request)))
    return "method is no token";
  for (size_t i = 0; i < fh_get_host (request).len; i++)
    {
      if ((unsigned char)fh_get_host (request).data[i] <= ' ')
        return "host holds a control byte or a space";
    }
  if (count_request_headers (request, dialect->request_id) > 1)
    return "several request ids";
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
             const fc_route_t *route, uint32_t service_index, const char *request_id)
{
  fn_entry_call_t *call = g_new0 (fn_entry_call_t, 1);
  fb_time_t caller_timeout = read_caller_timeout (entry, request, route);
  fb_time_t timeout = MIN (caller_timeout, route->timeout_ms * FB_MILLISECOND);
  fb_time_t now = fb_read_clock (fk_get_clock (entry->kernel));

  call->entry = entry;
  call->request = request;
  call->snapshot = fc_retain_snapshot (snapshot);
  call->route = route;
  call->rank = route->rank;
  call->service_index = service_index;
  call->customer = read_customer (entry, request);
  call->ticket = find_request_header (request, FB_LITERAL ("foxtailrun-ticket"));
  g_strlcpy (call->request_id, request_id, sizeof call->request_id);
  /* Earlier than now when the request waited for others of its connection. */
  call->arrived_at = fh_get_arrival_time (request);
  call->deadline = call->arrived_at + timeout;
  set_target_time (call, caller_timeout);
  call->timer = fk_create_timeout (entry->kernel, MAX (call->deadline - now, 0),
                                   fn_handle_call_timer, call);
  entry->open_calls++;
  return call;
}

/* A request that may run only once must not run before those ahead of it on its connection, and
 * those behind it not before it (RFC 9112, section 9.3.2). */
static bool
may_overlap (const fh_request_t *request, void *user)
{
  fn_entry_t *entry = user;
  fc_snapshot_t *snapshot = fn_get_snapshot (fk_find_service (entry->kernel, FN_DISTRIBUTION));
  const fc_route_t *route = snapshot
                                ? fc_find_route (snapshot, fh_get_host (request),
                                                 fh_get_method (request), fh_get_path (request))
                                : NULL;

  return route && route->repeatable;
}

/* Lets CALL inherit the urgency of the one on whose behalf the backend server makes it, if any.
 */
static void
adopt_parent (fn_entry_call_t *call)
{
  const fw_call_t *parent = fn_find_parent_call (
      fk_find_service (call->entry->kernel, FN_BACKEND), fb_wrap_text (call->request_id));
  fr_urgency_t urgency = { call->rank, call->target_time, call->is_caller_retry };
  const fc_route_t *route;
  fr_parent_t inherited;

  if (!parent)
    return;
  call->is_nested = true;
  call->parent_is_retry = parent->earlier_attempt_arrived;
  route = fc_find_route (call->snapshot, parent->host, parent->method, parent->path);
  if (!route)
    return;
  inherited = (fr_parent_t){ .rank = route->rank,
                             .timeout_ms = route->timeout_ms,
                             .target_ms = get_target_ms (call->snapshot, route) };
  fc_find_rank (call->snapshot, parent->rank, &inherited.rank);
  urgency = fr_inherit_urgency (&urgency, call->deadline, &inherited);
  call->rank = urgency.rank;
  call->target_time = urgency.target_time;
  call->goes_first = urgency.goes_first;
}

/* Returns why CALL is refused on arrival, or NULL. */
static const char *
find_call_refusal (const fn_entry_call_t *call)
{
  fk_kernel_t *kernel = call->entry->kernel;

  if (fb_read_clock (fk_get_clock (kernel)) >= call->deadline)
    return "deadline passed behind other requests";
  /* Nobody would answer it. */
  if (!fn_can_finish_by (kernel, call->deadline))
    return FN_STOPS_BEFORE_DEADLINE;
  return NULL;
}

static void
handle_request (fh_request_t *request, void *user)
{
  fn_entry_t *entry = user;
  fn_distribution_t *distribution = fk_find_service (entry->kernel, FN_DISTRIBUTION);
  /* fn_is_ready may start a new join after a pause, so call it before reading the snapshot. */
  bool ready = fn_is_ready (distribution);
  const fn_dialect_t *dialect = fn_get_adapter (entry->kernel)->dialect;
  fc_snapshot_t *snapshot = fn_get_snapshot (distribution);
  uint32_t error_status;
  const char *error = find_request_error (entry, request, &error_status);
  const fc_route_t *route = NULL;
  uint32_t service_index;
  fb_str_t service;
  fb_str_t customer;
  const char *reason;
  char request_id[FN_REQUEST_ID_MAX + 1];
  fn_entry_call_t *call;

  set_request_id (entry, request, request_id);
  if (error)
    {
      refuse_request (entry, request, error_status, error, request_id);
      return;
    }
  if (snapshot)
    route = fc_find_route (snapshot, fh_get_host (request), fh_get_method (request),
                           fh_get_path (request));
  if (!ready || !snapshot || entry->closed)
    {
      fn_count_objective_refusal (fk_find_service (entry->kernel, FN_BURN), snapshot, route);
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
  service_index = fr_split_call (entry->splitter, route);
  service = fb_get_name (&fc_get_service (snapshot, service_index)->name);
  customer = read_customer (entry, request);
  /* Protects other customers from one that overloads the service. Not used without customers,
   * since nodes on backend hosts refuse more precisely. Calls with a ticket are not throttled:
   * only the issuer of the ticket knows whether the call ran, so a refusal here would have to
   * report unknown. */
  if (dialect->customer.len > 0
      && find_request_header (request, FB_LITERAL ("foxtailrun-ticket")).len == 0
      && !fr_admit_customer (entry->throttle, service, route->rank, customer))
    {
      fb_add_counter (entry->throttled, 1);
      fn_count_objective_refusal (fk_find_service (entry->kernel, FN_BURN), snapshot, route);
      refuse_request (entry, request, 429, "service is overloaded for this rank", request_id);
      return;
    }
  fh_set_idle_timeout (entry->server,
                       (fb_time_t)fc_get_idle_timeout_ms (snapshot) * FB_MILLISECOND);
  call = create_call (entry, request, snapshot, route, service_index, request_id);
  reason = find_call_refusal (call);
  if (reason)
    {
      bool has_ticket = call->ticket.len > 0; /* only its issuer knows whether the call ran */

      fn_finish_with_outcome (call, has_ticket ? FW_UNKNOWN : FW_NOT_RUN,
                              has_ticket ? 504 : 503, reason);
      return;
    }
  if (fn_refuse_quarantined_call (call))
    return;
  fh_set_cancelled_handler (request, cancel_call, call);
  adopt_parent (call);
  if (call->parent_is_retry)
    fr_charge_retry (entry->budget, service);
  else
    fr_deposit_retry (entry->budget, service);
  fn_start_attempt (call);
}

/* Fraction of the shared retry floor that nodes divide among themselves. Below 1, since each
 * divides by the number of endpoints it sees, which differs between nodes. */
#define SHARED_RETRY_FRACTION 0.5

static void
handle_endpoint_change (const fw_member_t *member, void *user)
{
  fn_entry_t *entry = user;
  const fc_settings_t *settings = fn_get_settings (entry->kernel);
  size_t nodes = fn_count_endpoints (fk_find_service (entry->kernel, FN_DIRECTORY));

  fr_update_instance (entry->picker, member);
  if (settings->shared_retry_floor > 0)
    fr_set_retry_allowance (entry->budget, settings->retry_ratio,
                            settings->shared_retry_floor * SHARED_RETRY_FRACTION
                                / (double)MAX (nodes, 1));
}

static void
handle_evacuation (const fb_name_t *zone, bool evacuated, void *user)
{
  fn_entry_t *entry = user;

  fr_set_zone_evacuated (entry->picker, zone, evacuated);
}

static fb_status_t
start_entry (fk_kernel_t *kernel, void *data)
{
  fn_entry_t *entry = data;
  const fc_settings_t *settings = fn_get_settings (kernel);
  fw_member_t self = *fm_get_self (fn_get_members (fk_find_service (kernel, FN_MEMBERSHIP)));

  /* The picker reads the region from this node's own description, which is not among the
   * endpoints that a platform lists. */
  if (fn_get_adapter (kernel)->source_lists_endpoints)
    {
      self.service = (fb_name_t){ 0 };
      handle_endpoint_change (&self, entry);
    }
  else
    fn_update_endpoint (kernel, &self);
  entry->server = fh_create_server (kernel, &settings->address, settings->caller_port,
                                    FW_REQUEST_BODY_MAX, handle_request, entry);
  if (!entry->server)
    return FB_IO;
  fn_limit_server (kernel, entry->server, FN_SHARE_CALLERS);
  fh_set_pipeline (entry->server, settings->pipeline_requests, settings->pipeline_bytes,
                   may_overlap);
  return FB_OK;
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
  fr_destroy_hedge (entry->hedge);
  fr_destroy_throttle (entry->throttle);
  fr_destroy_splitter (entry->splitter);
  g_hash_table_destroy (entry->route_timeouts);
  g_hash_table_destroy (entry->attempts);
  for (size_t i = 0; i < G_N_ELEMENTS (entry->durations); i++)
    fb_destroy_histogram (entry->durations[i]);
  g_free (entry);
}

static void
create_entry_metrics (fn_entry_t *entry, fb_counters_t *counters)
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
  entry->quarantined = fb_find_counter (counters, "entry_quarantined_calls", "");
  entry->throttled = fb_find_counter (counters, "entry_throttled", "");
  entry->unmatched_answers = fb_find_counter (counters, "entry_unmatched_answers", "");
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
  if (settings->pace)
    fr_try_new_instances (entry->picker);
  entry->budget = fr_create_retry_budget (fk_get_clock (kernel));
  entry->splitter = fr_create_splitter (randombytes_random ());
  entry->throttle = fr_create_throttle (randombytes_random (), fk_get_clock (kernel));
  entry->route_timeouts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  entry->next_id = (uint64_t)randombytes_random () << 24;
  create_entry_metrics (entry, fk_get_counters (kernel));
  fn_create_entry_hedge (entry);
  fn_watch_endpoints (fk_find_service (kernel, FN_DIRECTORY), handle_endpoint_change, entry);
  fn_watch_evacuations (fk_find_service (kernel, FN_DIRECTORY), handle_evacuation, entry);
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
fn_eject_instance (fn_entry_t *entry, const fb_name_t *instance, fb_time_t until)
{
  fr_eject_until (entry->picker, instance, until);
}

size_t
fn_count_entry_calls (fn_entry_t *entry)
{
  return entry->open_calls;
}

size_t
fn_count_instances (fn_entry_t *entry, fb_str_t service)
{
  return fr_count_available_instances (entry->picker, service);
}
