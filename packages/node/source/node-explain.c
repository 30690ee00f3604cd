/* GET /explain: the route of a request and the instances it may be sent to. */
#include "node-explain.h"
#include "node-entry.h"
#include <string.h>

typedef struct
{
  json_t *list;
  fb_str_t service;
  size_t candidate_count;
} instance_list_t;

/* Returns the decoded parameter NAME of QUERY, or NULL; free it by g_free. */
static char *
find_query_parameter (fb_str_t query, const char *name)
{
  size_t length = strlen (name);
  char *value = NULL;
  char *text = fb_copy_text (query);
  char **pairs = g_strsplit (text, "&", -1);

  for (size_t i = 0; pairs[i] && !value; i++)
    if (strncmp (pairs[i], name, length) == 0 && pairs[i][length] == '=')
      value = g_uri_unescape_string (pairs[i] + length + 1, NULL);
  g_strfreev (pairs);
  g_free (text);
  return value;
}

static json_t *
describe_route (const fc_snapshot_t *snapshot, const fc_route_t *route)
{
  const fc_rank_t *rank = fc_get_rank (snapshot, route->rank);

  return json_pack ("{s:s,s:s%,s:s%,s:s,s:s,s:i,s:i,s:i,s:b,s:b}", "name", route->name.data,
                    "path", route->path.data, route->path.len, "methods",
                    route->methods.len ? route->methods.data : "", route->methods.len,
                    "service", fc_get_service (snapshot, route->service)->name.data, "rank",
                    rank->name.data, "order", (int)rank->order, "timeout_ms",
                    (int)route->timeout_ms, "retries", (int)route->retries, "repeatable",
                    route->repeatable, "ticket", !route->repeatable);
}

static const char *
describe_use (const fr_instance_view_t *preference)
{
  if (preference->candidate)
    return "candidate";
  if (preference->evacuated)
    return "zone is evacuated";
  if (!preference->in_subset)
    return "not used by this node";
  return preference->ejected ? "ejected after failures" : "spare";
}

static void
append_instance (const fr_instance_view_t *preference, void *user)
{
  instance_list_t *instances = user;
  const fw_member_t *member = preference->member;
  json_t *order = preference->candidate
                      ? json_integer ((json_int_t)++instances->candidate_count)
                      : json_null ();

  json_array_append_new (
      instances->list,
      json_pack ("{s:o,s:s,s:s,s:s,s:s,s:b,s:i,s:i,s:s}", "order", order, "id", member->id.data,
                 "state", fw_describe_state (member->state), "zone", member->zone.data,
                 "distance", preference->distance, "ejected", preference->ejected, "in_flight",
                 (int)preference->in_flight, "load", (int)preference->load, "use",
                 describe_use (preference)));
}

/* Appends MEMBER if it is a leaving or dead instance of the service, which the picker
 * lacks. */
static bool
append_unavailable_member (const fw_member_t *member, void *user)
{
  instance_list_t *instances = user;

  if ((member->state == FW_LEAVING || member->state == FW_DEAD)
      && fb_equal_str (fb_get_name (&member->service), instances->service))
    json_array_append_new (
        instances->list, json_pack ("{s:n,s:s,s:s,s:s,s:s,s:b,s:i,s:i,s:s}", "order", "id",
                                    member->id.data, "state", fw_describe_state (member->state),
                                    "zone", member->zone.data, "distance", "-", "ejected",
                                    false, "in_flight", 0, "load", 0, "use", "gone"));
  return true;
}

/* Adds the route and its instances to ANSWER; returns the text of the result. */
static const char *
explain_route (fk_kernel_t *kernel, const fc_snapshot_t *snapshot, const fc_route_t *route,
               json_t *answer)
{
  fn_entry_t *entry = fk_find_service (kernel, FN_ENTRY);
  instance_list_t instances = { .list = json_array () };

  instances.service = fb_get_name (&fc_get_service (snapshot, route->service)->name);
  fr_visit_instances (entry->picker, instances.service, route->rank, append_instance,
                      &instances);
  fm_visit_members (fn_get_members (fk_find_service (kernel, FN_MEMBERSHIP)),
                    append_unavailable_member, &instances);
  json_object_set_new (answer, "route", describe_route (snapshot, route));
  json_object_set_new (answer, "instances", instances.list);
  return instances.candidate_count > 0
             ? "one of the candidates, the earlier in order the more likely"
             : "503 not run: no instance of the service";
}

json_t *
fn_explain_request (fk_kernel_t *kernel, fb_str_t query, uint32_t *status)
{
  fn_distribution_t *distribution = fk_find_service (kernel, FN_DISTRIBUTION);
  const fc_settings_t *settings = fn_get_settings (kernel);
  const fc_snapshot_t *snapshot = fn_get_snapshot (distribution);
  bool ready = fn_is_ready (distribution);
  char *method = find_query_parameter (query, "method");
  char *path = find_query_parameter (query, "path");
  char *host = find_query_parameter (query, "host");
  const fc_route_t *route = NULL;
  const char *result = "503 not run: no configuration is in force";
  json_t *answer;

  if (method && path && path[0] == '/' && g_utf8_validate (method, -1, NULL)
      && g_utf8_validate (path, -1, NULL))
    {
      answer
          = json_pack ("{s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:n,s:[]}", "method", method, "path", path,
                       "node", settings->id.data, "zone", settings->zone.data, "ready", ready,
                       "draining", fn_is_draining (kernel), "version",
                       (json_int_t)fn_get_version (distribution)->number, "route", "instances");
      if (snapshot)
        {
          route = fc_find_route (snapshot, fb_wrap_text (host), fb_wrap_text (method),
                                 fb_wrap_text (path));
          result = route ? explain_route (kernel, snapshot, route, answer)
                         : "404 not run: no route for this path and method";
          if (!ready)
            result = "503 not run: the node is not ready";
        }
      json_object_set_new (answer, "result", json_string (result));
    }
  else
    {
      *status = 400;
      answer = json_pack ("{s:s}", "error", "needs ?method=METHOD&path=/PATH in UTF-8");
    }
  g_free (host);
  g_free (path);
  g_free (method);
  return answer;
}
