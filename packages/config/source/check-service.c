/* Check of services and their dependencies. */
#include "checker.h"
#include <string.h>

static void
report_dependency (const fc_checker_t *checker, size_t service, const fc_toml_t *node,
                   const char *allowed)
{
  char *key = g_strdup_printf ("service[%zu].depends_on", service);
  char *found = fc_quote_node (node);

  fc_add_problem (checker->problems, node->line, key, found, allowed);
  g_free (found);
  g_free (key);
}

/* Stores the services in array LIST as SERVICE's dependencies. */
static void
resolve_dependencies (const fc_checker_t *checker, size_t service, const fc_toml_t *list)
{
  fc_snapshot_t *snapshot = checker->snapshot;
  uint32_t *indexes = g_new0 (uint32_t, list->count);
  GHashTable *resolved = g_hash_table_new (NULL, NULL);
  size_t count = 0;

  g_ptr_array_add (snapshot->arrays, indexes);
  for (const fc_toml_t *node = list->child; node; node = node->next)
    {
      size_t index;

      if (node->kind != FC_TOML_STRING)
        continue; /* reported by fc_check_row */
      if (!fc_find_name (snapshot->service_names, node->text, &index))
        report_dependency (checker, service, node, "the name of a service");
      else if (!g_hash_table_add (resolved, GSIZE_TO_POINTER (index)))
        report_dependency (checker, service, node, "each service at most once");
      else
        indexes[count++] = (uint32_t)index;
    }
  g_hash_table_unref (resolved);
  snapshot->services[service].depends_on = indexes;
  snapshot->services[service].depends_count = count;
}

/* Stores the fields of ROW for cold instances in SERVICE. */
static void
store_warmup (const fc_checker_t *checker, const fc_row_t *row, fc_service_t *service)
{
  fb_str_t health = fc_get_value (row, "health")->text;

  service->health = (fb_str_t){ g_string_chunk_insert_len (checker->snapshot->texts,
                                                           health.data, (gssize)health.len),
                                health.len };
  service->warmup_ms = (uint32_t)fc_get_value (row, "warmup_ms")->integer;
  service->warmup_rate = fc_get_value (row, "warmup_rate")->number;
  /* Only a health check shows that an instance is warm. */
  if (service->warmup_rate > 0 && !fc_find_child (row->table, "health"))
    fc_add_key_problem (checker->problems, row, "health", "no value with warmup_rate", NULL);
}

void
fc_check_services (fc_checker_t *checker)
{
  fc_snapshot_t *snapshot = checker->snapshot;
  size_t count = fc_count_rows (checker, "service");
  const fc_toml_t **lists = g_new0 (const fc_toml_t *, count);
  uint32_t *lines = g_new0 (uint32_t, count);
  const fc_toml_t *table = NULL;
  size_t index;
  size_t earlier;
  fc_row_t row;

  snapshot->service_count = count;
  snapshot->services = g_new0 (fc_service_t, count);
  while (fc_next_row (checker, "service", &table, &index, &row))
    {
      fc_service_t *service = &snapshot->services[index];

      fb_set_name (&service->name, fc_get_value (&row, "name")->text);
      service->slots = (uint32_t)fc_get_value (&row, "slots")->integer;
      service->connections = (uint32_t)fc_get_value (&row, "connections")->integer;
      store_warmup (checker, &row, service);
      lists[index] = fc_get_value (&row, "depends_on")->node;
      if (service->name.len > 0
          && !fc_add_name (snapshot->service_names, &service->name, index, &earlier))
        fc_report_duplicate (checker, &row, "name", "service", earlier);
    }
  for (size_t i = 0; i < count; i++)
    if (lists[i])
      {
        lines[i] = lists[i]->line;
        resolve_dependencies (checker, i, lists[i]);
      }
  fc_check_cycles (checker, lines);
  g_free (lines);
  g_free (lists);
}
