/* Check of routes. */
#include "checker.h"
#include <string.h>

/* Maximum weight of a part, as in the schema. */
#define WEIGHT_MAX 1000000

/* Stores ROW's methods in *METHODS and appends them, comma-joined, to JOINED. */
static void
check_methods (const fc_checker_t *checker, const fc_row_t *row, fc_methods_t *methods,
               GString *joined)
{
  const fc_value_t *list = fc_get_value (row, "methods");

  *methods = 0;
  for (const fc_toml_t *node = NULL; (node = fc_next_string (list, node));)
    {
      fc_methods_t method_bit = fc_get_method_bit (node->text);

      if (method_bit == 0 || (*methods & method_bit))
        {
          fc_add_node_problem (checker->problems, row, "methods", node, NULL);
          continue;
        }
      *methods |= method_bit;
      g_string_append_printf (joined, "%s%.*s", joined->len ? "," : "", (int)node->text.len,
                              node->text.data);
    }
  if (!list->node || list->node->count == 0)
    *methods = FC_METHODS_ALL;
}

static fb_str_t
store_text (fc_snapshot_t *snapshot, const char *data, size_t len)
{
  return (fb_str_t){ g_string_chunk_insert_len (snapshot->texts, data, (gssize)len), len };
}

static void
index_route (fc_checker_t *checker, const fc_row_t *row, size_t index, fc_methods_t methods)
{
  const fc_route_t *route = &checker->snapshot->routes[index];
  uint32_t earlier;
  char *found;

  if (route->path.len == 0 || methods == 0
      || fc_add_route (checker->snapshot->route_index, route, methods, (uint32_t)index,
                       &earlier))
    return;
  found = g_strdup_printf ("\"%.*s\", which route[%u] has for the same methods",
                           (int)route->path.len, route->path.data, earlier);
  fc_add_key_problem (checker->problems, row, "path", found,
                      "one route for each path and method");
  g_free (found);
}

/* Parses "NAME=WEIGHT" into *PART; false when malformed or NAME is no service. */
static bool
parse_weighted_service (const fc_snapshot_t *snapshot, fb_str_t text, fc_part_t *part)
{
  const char *equals = text.len ? memrchr (text.data, '=', text.len) : NULL;
  fb_str_t name;
  uint64_t weight;
  size_t service;

  if (!equals)
    return false;
  name = (fb_str_t){ text.data, (size_t)(equals - text.data) };
  if (!fb_parse_u64 ((fb_str_t){ equals + 1, text.len - name.len - 1 }, &weight) || weight == 0
      || weight > WEIGHT_MAX || !fc_find_name (snapshot->service_names, name, &service))
    return false;
  *part = (fc_part_t){ (uint32_t)service, (uint32_t)weight };
  return true;
}

static bool
has_service (const fc_part_t *parts, size_t count, uint32_t service)
{
  for (size_t i = 0; i < count; i++)
    if (parts[i].service == service)
      return true;
  return false;
}

static void
check_parts (const fc_checker_t *checker, const fc_row_t *row, fc_route_t *route)
{
  const fc_value_t *list = fc_get_value (row, "parts");
  fc_part_t *parts;

  if (!list->node || list->node->count == 0)
    return;
  parts = g_new0 (fc_part_t, list->node->count);
  g_ptr_array_add (checker->snapshot->arrays, parts);
  for (const fc_toml_t *node = NULL; (node = fc_next_string (list, node));)
    {
      fc_part_t *part = &parts[route->part_count];

      if (parse_weighted_service (checker->snapshot, node->text, part)
          && !has_service (parts, route->part_count, part->service))
        route->part_count++;
      else
        fc_add_node_problem (checker->problems, row, "parts", node, NULL);
    }
  route->parts = parts;
  if (route->part_count > 0)
    route->service = parts[0].service;
}

static void
check_route (fc_checker_t *checker, const fc_row_t *row, size_t index)
{
  fc_snapshot_t *snapshot = checker->snapshot;
  fc_route_t *route = &snapshot->routes[index];
  fb_str_t host = fc_get_value (row, "host")->text;
  fb_str_t path = fc_get_value (row, "path")->text;
  GString *joined = g_string_new ("");
  fc_methods_t methods;

  fb_set_name (&route->name, fc_get_value (row, "name")->text);
  route->host = store_text (snapshot, host.data, host.len);
  route->path = store_text (snapshot, path.data, path.len);
  route->below = fc_get_value (row, "below")->integer != 0;
  check_methods (checker, row, &methods, joined);
  route->methods = store_text (snapshot, joined->str, joined->len);
  g_string_free (joined, TRUE);
  route->service = fc_resolve_name (checker, row, "service", snapshot->service_names);
  route->rank = fc_resolve_name (checker, row, "rank", snapshot->rank_names);
  route->timeout_ms = (uint32_t)fc_get_value (row, "timeout_ms")->integer;
  route->retries = (uint32_t)fc_get_value (row, "retries")->integer;
  route->repeatable = fc_get_value (row, "repeatable")->integer != 0;
  route->ticket = fc_get_value (row, "ticket")->integer != 0;
  route->hedge = fc_get_value (row, "hedge")->integer != 0;
  route->target_ms = (uint32_t)fc_get_value (row, "target_ms")->integer;
  check_parts (checker, row, route);
  index_route (checker, row, index, methods);
}

void
fc_check_routes (fc_checker_t *checker)
{
  fc_snapshot_t *snapshot = checker->snapshot;
  GHashTable *names = fc_create_name_table ();
  const fc_toml_t *table = NULL;
  size_t index;
  size_t earlier;
  fc_row_t row;

  snapshot->route_count = fc_count_rows (checker, "route");
  snapshot->routes = g_new0 (fc_route_t, snapshot->route_count);
  while (fc_next_row (checker, "route", &table, &index, &row))
    {
      const fb_name_t *name = &snapshot->routes[index].name;

      check_route (checker, &row, index);
      if (name->len > 0 && !fc_add_name (names, name, index, &earlier))
        fc_report_duplicate (checker, &row, "name", "route", earlier);
    }
  g_hash_table_unref (names);
}
