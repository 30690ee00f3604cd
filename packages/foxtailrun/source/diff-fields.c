/* The values compared between two documents and the risks of their changes. */
#include "diff.h"
#include <string.h>

static void
append_str (GString *text, fb_str_t str)
{
  g_string_append_len (text, str.data, (gssize)str.len);
}

static void
append_name (GString *text, const fb_name_t *name)
{
  append_str (text, fb_get_name (name));
}

static void
append_number (GString *text, double number)
{
  g_string_append_printf (text, "%.10g", number);
}

static size_t
count_document (const fc_snapshot_t *snapshot)
{
  return 1;
}

static void
format_document_name (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
}

static void
format_version (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%" G_GUINT64_FORMAT, fc_get_version_number (snapshot));
}

static void
format_idle_timeout (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_idle_timeout_ms (snapshot));
}

static const char *
assess_version (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after, size_t to)
{
  return fc_get_version_number (after) < fc_get_version_number (before)
             ? "nodes keep the document with the higher version"
             : NULL;
}

static void
format_rank_name (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_name (text, &fc_get_rank (snapshot, index)->name);
}

static void
format_order (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_rank (snapshot, index)->order);
}

static void
format_rank_target (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_rank (snapshot, index)->target_ms);
}

static void
format_worth (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_number (text, fc_get_rank (snapshot, index)->worth);
}

static void
format_share (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_number (text, fc_get_rank (snapshot, index)->share);
}

static const char *
assess_share (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after, size_t to)
{
  return fc_get_rank (after, to)->share < fc_get_rank (before, from)->share
             ? "the rank is guaranteed less slot time during a flood"
             : NULL;
}

static const char *
assess_rank_removal (const fc_snapshot_t *before, size_t index)
{
  return fc_get_rank (before, index)->share > 0 ? "its guaranteed share of slot time is gone"
                                                : NULL;
}

static void
format_service_name (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_name (text, &fc_get_service (snapshot, index)->name);
}

static void
format_slots (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_service (snapshot, index)->slots);
}

static const char *
assess_slots (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after, size_t to)
{
  return fc_get_service (after, to)->slots < fc_get_service (before, from)->slots
             ? "each instance runs fewer calls at once"
             : NULL;
}

static void
format_connections (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_service (snapshot, index)->connections);
}

static void
format_health (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_str (text, fc_get_service (snapshot, index)->health);
}

static void
format_warmup_time (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_service (snapshot, index)->warmup_ms);
}

static void
format_warmup_rate (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_number (text, fc_get_service (snapshot, index)->warmup_rate);
}

static int
compare_strings (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Sorted, as the order of dependencies has no meaning. */
static void
format_dependencies (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  const fc_service_t *service = fc_get_service (snapshot, index);
  GPtrArray *names = g_ptr_array_new ();

  for (size_t i = 0; i < service->depends_count; i++)
    g_ptr_array_add (names,
                     (gpointer)fc_get_service (snapshot, service->depends_on[i])->name.data);
  g_ptr_array_sort (names, compare_strings);
  g_string_append_c (text, '[');
  for (guint i = 0; i < names->len; i++)
    g_string_append_printf (text, "%s%s", i ? ", " : "", (const char *)names->pdata[i]);
  g_string_append_c (text, ']');
  g_ptr_array_unref (names);
}

static const char *
assess_service_removal (const fc_snapshot_t *before, size_t index)
{
  return "its instances receive no more calls";
}

static void
format_route_name (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_name (text, &fc_get_route (snapshot, index)->name);
}

static void
format_host (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_str (text, fc_get_route (snapshot, index)->host);
}

static const char *
assess_host (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after, size_t to)
{
  return fc_get_route (after, to)->host.len > 0
             ? "requests for other hosts no longer match this route"
             : NULL;
}

static void
format_path (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_str (text, fc_get_route (snapshot, index)->path);
}

static void
format_below (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append (text, fc_get_route (snapshot, index)->below ? "true" : "false");
}

static const char *
assess_below (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after, size_t to)
{
  return fc_get_route (after, to)->below ? "requests for the prefix itself no longer match"
                                         : NULL;
}

static const char *
assess_path (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after, size_t to)
{
  return "requests for the earlier path no longer match this route";
}

static void
format_methods (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  const fc_route_t *route = fc_get_route (snapshot, index);
  char *joined = fb_copy_text (route->methods);
  char **methods = g_strsplit (joined, ",", -1);

  if (route->methods.len == 0)
    g_string_append (text, "all");
  if (route->methods.len > 0)
    {
      qsort (methods, g_strv_length (methods), sizeof *methods, compare_strings);
      for (size_t i = 0; methods[i]; i++)
        g_string_append_printf (text, "%s%s", i ? "," : "", methods[i]);
    }
  g_strfreev (methods);
  g_free (joined);
}

static bool
has_method (const fc_route_t *route, const char *method)
{
  char *joined = fb_copy_text (route->methods);
  char **methods = g_strsplit (joined, ",", -1);
  bool found
      = route->methods.len == 0 || g_strv_contains ((const gchar *const *)methods, method);

  g_strfreev (methods);
  g_free (joined);
  return found;
}

static const char *
assess_methods (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after, size_t to)
{
  static const char risk[]
      = "requests with a method that was removed no longer match this route";
  const fc_route_t *old = fc_get_route (before, from);
  const fc_route_t *new = fc_get_route (after, to);
  char *joined = fb_copy_text (old->methods);
  char **methods = g_strsplit (joined, ",", -1);
  bool is_removed = old->methods.len == 0 && new->methods.len > 0;

  for (size_t i = 0; methods[i]; i++)
    is_removed = is_removed || !has_method (new, methods[i]);
  g_strfreev (methods);
  g_free (joined);
  return is_removed ? risk : NULL;
}

static void
format_route_service (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  format_service_name (snapshot, fc_get_route (snapshot, index)->service, text);
}

static const char *
assess_route_service (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after,
                      size_t to)
{
  return fc_get_route (before, from)->repeatable
             ? NULL
             : "tickets issued before were for instances of the earlier service";
}

static void
format_parts (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  const fc_route_t *route = fc_get_route (snapshot, index);

  g_string_append_c (text, '[');
  for (size_t i = 0; i < route->part_count; i++)
    {
      g_string_append (text, i ? ", " : "");
      format_service_name (snapshot, route->parts[i].service, text);
      g_string_append_printf (text, "=%u", route->parts[i].weight);
    }
  g_string_append_c (text, ']');
}

static void
format_route_rank (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  format_rank_name (snapshot, fc_get_route (snapshot, index)->rank, text);
}

static void
format_timeout (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_route (snapshot, index)->timeout_ms);
}

static void
format_route_target (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_route (snapshot, index)->target_ms);
}

static void
format_ticket (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append (text, fc_get_route (snapshot, index)->ticket ? "true" : "false");
}

static const char *
assess_ticket (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after, size_t to)
{
  return fc_get_route (after, to)->ticket
             ? "callers must send a ticket for calls that are not repeatable"
             : "a caller that repeats a request may run it twice";
}

static void
format_hedge (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append (text, fc_get_route (snapshot, index)->hedge ? "true" : "false");
}

static void
format_repeatable (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append (text, fc_get_route (snapshot, index)->repeatable ? "true" : "false");
}

static const char *
assess_repeatable (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after,
                   size_t to)
{
  return fc_get_route (after, to)->repeatable ? "a call may run more than once"
                                              : "callers must send a ticket";
}

static void
format_retries (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_route (snapshot, index)->retries);
}

static const char *
assess_route_removal (const fc_snapshot_t *before, size_t index)
{
  return "requests for its path no longer match it";
}

static void
format_customer_name (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_name (text, &fc_get_customer (snapshot, index)->name);
}

static void
format_weight (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_number (text, fc_get_customer (snapshot, index)->weight);
}

static void
format_objective_name (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  const fc_objective_t *objective = fc_get_objective (snapshot, index);

  format_service_name (snapshot, objective->service, text);
  g_string_append_c (text, '/');
  format_rank_name (snapshot, objective->rank, text);
}

static void
format_objective_target (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  g_string_append_printf (text, "%u", fc_get_objective (snapshot, index)->target_ms);
}

static void
format_ratio (const fc_snapshot_t *snapshot, size_t index, GString *text)
{
  append_number (text, fc_get_objective (snapshot, index)->ratio);
}

static const diff_field_t document_fields[] = { { "version", format_version, assess_version },
                                                { "idle_ms", format_idle_timeout, NULL } };

static const diff_field_t rank_fields[] = {
  { "order", format_order, NULL },
  { "target_ms", format_rank_target, NULL },
  { "worth", format_worth, NULL },
  { "share", format_share, assess_share },
};

static const diff_field_t service_fields[] = {
  { "slots", format_slots, assess_slots },
  { "connections", format_connections, NULL },
  { "health", format_health, NULL, "" },
  { "warmup_ms", format_warmup_time, NULL, "0" },
  { "warmup_rate", format_warmup_rate, NULL, "0" },
  { "depends_on", format_dependencies, NULL },
};

static const diff_field_t route_fields[] = {
  { "host", format_host, assess_host, "" },
  { "path", format_path, assess_path },
  { "below", format_below, assess_below, "false" },
  { "methods", format_methods, assess_methods },
  { "service", format_route_service, assess_route_service },
  { "parts", format_parts, NULL, "[]" },
  { "rank", format_route_rank, NULL },
  { "timeout_ms", format_timeout, NULL },
  { "target_ms", format_route_target, NULL, "0" },
  { "repeatable", format_repeatable, assess_repeatable },
  { "ticket", format_ticket, assess_ticket, "true" },
  { "hedge", format_hedge, NULL, "false" },
  { "retries", format_retries, NULL },
};

static const diff_field_t customer_fields[] = { { "weight", format_weight, NULL } };

static const diff_field_t objective_fields[] = {
  { "target_ms", format_objective_target, NULL },
  { "ratio", format_ratio, NULL },
};

#define FIELDS(fields) (fields), G_N_ELEMENTS (fields)

const diff_kind_t diff_kinds[] = {
  { "document", count_document, format_document_name, FIELDS (document_fields), NULL },
  { "rank", fc_count_ranks, format_rank_name, FIELDS (rank_fields), assess_rank_removal },
  { "service", fc_count_services, format_service_name, FIELDS (service_fields),
    assess_service_removal },
  { "route", fc_count_routes, format_route_name, FIELDS (route_fields), assess_route_removal },
  { "customer", fc_count_customers, format_customer_name, FIELDS (customer_fields), NULL },
  { "objective", fc_count_objectives, format_objective_name, FIELDS (objective_fields), NULL },
};

const size_t diff_kind_count = G_N_ELEMENTS (diff_kinds);
