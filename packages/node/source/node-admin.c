/* Admin service: HTTP API for operators and metrics. */
#include "node-explain.h"
#include "node-limits.h"
#include "node-services.h"
#include <foxtailrun/http/server.h>
#include <foxtailrun/node/node.h>
#include <glib.h>
#include <jansson.h>
#include <sodium.h>
#include <string.h>

#define ADMIN_BODY_MAX_BYTES 4096

typedef struct
{
  fk_kernel_t *kernel;
  fh_server_t *server;
} admin_t;

/* Handler of one method and path. ANSWER returns a new object; sets STATUS if not 200. */
typedef struct
{
  fb_str_t method;
  fb_str_t path;
  bool requires_key;
  json_t *(*answer) (admin_t *admin, uint32_t *status);
} handler_t;

static fn_distribution_t *
find_distribution (admin_t *admin)
{
  return fk_find_service (admin->kernel, FN_DISTRIBUTION);
}

static json_t *
answer_health (admin_t *admin, uint32_t *status)
{
  return json_pack ("{s:s}", "health", "ok");
}

static bool
is_ready (admin_t *admin)
{
  return fn_is_ready (find_distribution (admin)) && !fn_is_draining (admin->kernel);
}

static json_t *
answer_ready (admin_t *admin, uint32_t *status)
{
  bool draining = fn_is_draining (admin->kernel);
  bool ready = is_ready (admin);

  *status = ready ? 200 : 503;
  return json_pack ("{s:b,s:b}", "ready", ready, "draining", draining);
}

static json_t *
answer_version (admin_t *admin, uint32_t *status)
{
  fn_distribution_t *distribution = find_distribution (admin);
  const fb_version_t *version = fn_get_version (distribution);
  const fc_settings_t *settings = fn_get_settings (admin->kernel);
  char digest[FB_DIGEST_HEX_LEN + 1];
  fb_time_t warmup_left;
  const char *warmup
      = fn_describe_warmup (fk_find_service (admin->kernel, FN_BACKEND), &warmup_left);

  fb_format_digest (&version->digest, digest);
  return json_pack (
      "{s:s,s:s,s:I,s:I,s:s,s:b,s:b,s:s?,s:s,s:I,s:o}", "id", settings->id.data, "zone",
      settings->zone.data, "number", (json_int_t)version->number, "revision",
      (json_int_t)version->revision, "digest", digest, "reader", fn_is_reader (distribution),
      "ready", is_ready (admin), "refused", fn_get_refusal (distribution), "warmup", warmup,
      "warmup_left_ms", (json_int_t)(warmup_left / FB_MILLISECOND), "evacuated_zones",
      fn_describe_evacuated_zones (fk_find_service (admin->kernel, FN_DIRECTORY)));
}

static bool
append_member (const fw_member_t *member, void *user)
{
  json_array_append_new (
      user, json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:I}", "id", member->id.data, "state",
                       fw_describe_state (member->state), "zone", member->zone.data, "region",
                       member->region.data, "service", member->service.data, "address",
                       member->address.data, "admin_port", (int)member->admin_port,
                       "incarnation", (json_int_t)member->incarnation));
  return true;
}

static json_t *
answer_members (admin_t *admin, uint32_t *status)
{
  json_t *list = json_array ();

  fm_visit_members (fn_get_members (fk_find_service (admin->kernel, FN_MEMBERSHIP)),
                    append_member, list);
  return json_pack ("{s:o}", "members", list);
}

static json_t *
describe_route (admin_t *admin, const fc_snapshot_t *snapshot, const fc_route_t *route)
{
  const fc_service_t *service = fc_get_service (snapshot, route->service);
  const fc_rank_t *rank = fc_get_rank (snapshot, route->rank);
  size_t instances = fn_count_instances (fk_find_service (admin->kernel, FN_ENTRY),
                                         fb_get_name (&service->name));

  return json_pack ("{s:s,s:s%,s:s%,s:s,s:s,s:i,s:i,s:b,s:i}", "name", route->name.data, "path",
                    route->path.data, route->path.len, "methods", route->methods.data,
                    route->methods.len, "service", service->name.data, "rank", rank->name.data,
                    "timeout_ms", (int)route->timeout_ms, "retries", (int)route->retries,
                    "repeatable", route->repeatable, "instances", (int)instances);
}

static json_t *
answer_routes (admin_t *admin, uint32_t *status)
{
  fc_snapshot_t *snapshot = fn_get_snapshot (find_distribution (admin));
  json_t *list = json_array ();

  for (size_t i = 0; snapshot && i < fc_count_routes (snapshot); i++)
    json_array_append_new (list, describe_route (admin, snapshot, fc_get_route (snapshot, i)));
  return json_pack ("{s:o}", "routes", list);
}

static json_t *
answer_burn (admin_t *admin, uint32_t *status)
{
  return fn_describe_burn (fk_find_service (admin->kernel, FN_BURN));
}

static json_t *
answer_drain (admin_t *admin, uint32_t *status)
{
  fn_begin_drain (admin->kernel);
  *status = 202;
  return json_pack ("{s:b}", "draining", true);
}

static void
append_counter (const char *name, const char *labels, uint64_t value, void *user)
{
  g_string_append_printf (user,
                          *labels ? "foxtailrun_%s{%s} %" G_GUINT64_FORMAT "\n"
                                  : "foxtailrun_%s%s %" G_GUINT64_FORMAT "\n",
                          name, labels, value);
}

static void
answer_metrics (admin_t *admin, fh_request_t *request)
{
  static const fh_header_t type
      = { FB_LITERAL ("content-type"), FB_LITERAL ("text/plain; version=0.0.4") };
  GString *text = g_string_new ("");

  fn_update_memory_metrics (admin->kernel);
  fb_visit_counters (fk_get_counters (admin->kernel), append_counter, text);
  fh_respond (request, 200, &type, 1, (fb_bytes_t){ (const uint8_t *)text->str, text->len });
  g_string_free (text, TRUE);
}

/* Responds with OBJECT and releases it. */
static void
respond_json (fh_request_t *request, uint32_t status, json_t *object)
{
  static const fh_header_t type
      = { FB_LITERAL ("content-type"), FB_LITERAL ("application/json") };
  char *text = json_dumps (object, JSON_COMPACT);

  fh_respond (request, status, &type, 1,
              (fb_bytes_t){ (const uint8_t *)text, fb_wrap_text (text).len });
  free (text);
  json_decref (object);
}

static bool
is_explain_path (fb_str_t path)
{
  return fb_equal_str (path, FB_LITERAL ("/explain"))
         || fb_has_prefix (path, FB_LITERAL ("/explain?"));
}

static void
answer_explain (admin_t *admin, fh_request_t *request, fb_str_t path)
{
  size_t start = MIN (path.len, strlen ("/explain?"));
  fb_str_t query = { path.data + start, path.len - start };
  uint32_t status = 200;
  json_t *answer;

  if (fb_equal_str (fh_get_method (request), FB_LITERAL ("GET")))
    answer = fn_explain_request (admin->kernel, query, &status);
  else
    {
      status = 405;
      answer = json_pack ("{s:s}", "error", "method not allowed");
    }
  respond_json (request, status, answer);
}

/* Returns whether REQUEST has the settings' key as bearer token, compared in constant time. */
static bool
has_valid_key (admin_t *admin, fh_request_t *request)
{
  static const fb_str_t scheme = { "Bearer ", 7 };
  const fb_name_t *key = &fn_get_settings (admin->kernel)->admin_key;
  const fh_header_t *headers;
  size_t count = fh_get_headers (request, &headers);
  fb_str_t authorization = fh_find_header (headers, count, FB_LITERAL ("authorization"));

  if (key->len == 0 || !fb_has_prefix (authorization, scheme)
      || authorization.len - scheme.len != key->len)
    return false;
  return sodium_memcmp (authorization.data + scheme.len, key->data, key->len) == 0;
}

static const handler_t handlers[] = {
  { FB_LITERAL ("GET"), FB_LITERAL ("/health"), false, answer_health },
  { FB_LITERAL ("GET"), FB_LITERAL ("/ready"), false, answer_ready },
  { FB_LITERAL ("GET"), FB_LITERAL ("/version"), false, answer_version },
  { FB_LITERAL ("GET"), FB_LITERAL ("/members"), false, answer_members },
  { FB_LITERAL ("GET"), FB_LITERAL ("/routes"), false, answer_routes },
  { FB_LITERAL ("GET"), FB_LITERAL ("/burn"), false, answer_burn },
  { FB_LITERAL ("POST"), FB_LITERAL ("/drain"), true, answer_drain },
};

static void
call_handler (admin_t *admin, const handler_t *handler, fh_request_t *request)
{
  uint32_t status = 200;
  json_t *object;

  if (handler->requires_key && !has_valid_key (admin, request))
    {
      respond_json (request, 401, json_pack ("{s:s}", "error", "missing or wrong key"));
      return;
    }
  object = handler->answer (admin, &status);
  respond_json (request, status, object);
}

static void
handle_request (fh_request_t *request, void *user)
{
  admin_t *admin = user;
  fb_str_t path = fh_get_path (request);
  bool path_found = false;

  if (is_explain_path (path))
    {
      answer_explain (admin, request, path);
      return;
    }
  if (fb_equal_str (path, FB_LITERAL ("/metrics")))
    {
      answer_metrics (admin, request);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    {
      if (!fb_equal_str (path, handlers[i].path))
        continue;
      path_found = true;
      if (fb_equal_str (fh_get_method (request), handlers[i].method))
        {
          call_handler (admin, &handlers[i], request);
          return;
        }
    }
  respond_json (
      request, path_found ? 405 : 404,
      json_pack ("{s:s}", "error", path_found ? "method not allowed" : "unknown path"));
}

static bool
is_loopback (const fb_name_t *address)
{
  return fb_has_prefix (fb_get_name (address), FB_LITERAL ("127."))
         || fb_equal_str (fb_get_name (address), FB_LITERAL ("::1"));
}

static fb_status_t
start_admin (fk_kernel_t *kernel, void *data)
{
  admin_t *admin = data;
  const fc_settings_t *settings = fn_get_settings (kernel);

  if (settings->admin_port == 0)
    return FB_OK;
  if (!is_loopback (&settings->address) && settings->admin_key.len == 0)
    {
      FB_LOG (fk_get_log (kernel), FB_LOG_ERROR, FN_ADMIN,
              "a listen address that is not loopback requires a key in [admin]",
              FB_TEXT ("address", settings->address.data));
      return FB_INVALID;
    }
  admin->server = fh_create_server (kernel, &settings->address, settings->admin_port,
                                    ADMIN_BODY_MAX_BYTES, handle_request, admin);
  if (!admin->server)
    return FB_IO;
  fn_limit_server (kernel, admin->server, FN_SHARE_ADMIN);
  return FB_OK;
}

static void
stop_admin (void *data)
{
  admin_t *admin = data;

  if (admin->server)
    fh_stop_accepting (admin->server);
}

static void
destroy_admin (void *data)
{
  admin_t *admin = data;

  fh_destroy_server (admin->server);
  g_free (admin);
}

void
fn_register_admin (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { start_admin, stop_admin, destroy_admin };
  admin_t *admin = g_new0 (admin_t, 1);

  admin->kernel = kernel;
  fk_register_service (kernel, FN_ADMIN, &vtable, admin);
}
