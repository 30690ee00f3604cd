/* Check of a document, and functions shared by its sections' checks. */
#include "checker.h"
#include <foxtailrun/base/invariant.h>
#include <string.h>

static const fc_toml_t *
get_section (const fc_checker_t *checker, const char *section)
{
  const fc_toml_t *node = fc_find_child (checker->root, section);

  return node && node->kind == FC_TOML_ARRAY ? node : NULL;
}

size_t
fc_count_rows (const fc_checker_t *checker, const char *section)
{
  const fc_toml_t *node = get_section (checker, section);

  return node ? node->count : 0;
}

bool
fc_next_row (const fc_checker_t *checker, const char *section, const fc_toml_t **table,
             size_t *index, fc_row_t *row)
{
  char path[FC_ROW_PATH_SIZE];

  if (*table)
    {
      *table = (*table)->next;
      (*index)++;
    }
  else
    {
      const fc_toml_t *node = get_section (checker, section);

      *table = node ? node->child : NULL;
      *index = 0;
    }
  /* The check of the root reports elements that are not tables. */
  while (*table && (*table)->kind != FC_TOML_TABLE)
    {
      *table = (*table)->next;
      (*index)++;
    }
  if (!*table)
    return false;
  g_snprintf (path, sizeof path, "%s[%zu]", section, *index);
  fc_check_row (row, checker->limits->schema, section, path, *table, checker->problems);
  return true;
}

void
fc_report_duplicate (const fc_checker_t *checker, const fc_row_t *row, const char *key,
                     const char *section, size_t earlier)
{
  char *quote = fc_quote_node (fc_get_value (row, key)->node);
  char *found = g_strdup_printf ("%s, as in %s[%zu]", quote, section, earlier);
  char *allowed = g_strdup_printf ("a different %s for each [[%s]]", key, section);

  fc_add_key_problem (checker->problems, row, key, found, allowed);
  g_free (allowed);
  g_free (found);
  g_free (quote);
}

uint32_t
fc_resolve_name (const fc_checker_t *checker, const fc_row_t *row, const char *key,
                 GHashTable *names)
{
  const fc_value_t *value = fc_get_value (row, key);
  size_t index = 0;

  if (value->node && !fc_find_name (names, value->text, &index))
    fc_add_node_problem (checker->problems, row, key, value->node, NULL);
  return (uint32_t)index;
}

static void
check_count (const fc_checker_t *checker, const char *section, size_t max)
{
  const fc_toml_t *node = get_section (checker, section);
  char *found;
  char *allowed;

  if (!node || node->count <= max)
    return;
  found = g_strdup_printf ("%zu tables", node->count);
  allowed = g_strdup_printf ("at most %zu tables", max);
  fc_add_problem (checker->problems, node->line, section, found, allowed);
  g_free (allowed);
  g_free (found);
}

void
fc_check_root (fc_checker_t *checker)
{
  fc_row_t row;

  fc_check_row (&row, checker->limits->schema, "", "", checker->root, checker->problems);
  checker->snapshot->version_number = fc_get_value (&row, "version")->integer;
  checker->snapshot->idle_timeout_ms = (uint32_t)fc_get_value (&row, "idle_ms")->integer;
  check_count (checker, "rank", FC_RANKS_MAX);
  check_count (checker, "service", checker->limits->services);
  check_count (checker, "route", checker->limits->routes);
  check_count (checker, "customer", FC_CUSTOMERS_MAX);
  check_count (checker, "objective", FC_OBJECTIVES_MAX);
  fc_check_ranks (checker);
  fc_check_services (checker);
  fc_check_routes (checker);
  fc_check_customers (checker);
  fc_check_objectives (checker);
}

/* Returns whether SECTIONS have, in order, the lines of the tree's tables. */
static bool
has_same_tables (const fc_checker_t *checker, const GArray *sections)
{
  const fc_toml_t *next[FC_SECTION_KINDS];

  for (uint32_t i = 0; i < FC_SECTION_KINDS; i++)
    {
      const fc_toml_t *list = get_section (checker, fc_get_section_name (i));

      next[i] = list ? list->child : NULL;
    }
  for (guint i = 0; i < sections->len; i++)
    {
      const fc_section_t *section = &g_array_index (sections, fc_section_t, i);

      if (!next[section->kind] || next[section->kind]->line != section->line)
        return false;
      next[section->kind] = next[section->kind]->next;
    }
  for (uint32_t i = 0; i < FC_SECTION_KINDS; i++)
    if (next[i])
      return false;
  return true;
}

void
fc_record_sections (fc_checker_t *checker, GArray *sections, bool compare)
{
  const fc_toml_t *ranks = get_section (checker, "rank");
  const fc_toml_t *rank = ranks ? ranks->child : NULL;
  uint32_t element_counts[FC_SECTION_KINDS] = { 0 };

  if (!sections || (compare && !has_same_tables (checker, sections)))
    return;
  for (guint i = 0; i < sections->len; i++)
    {
      fc_section_t *section = &g_array_index (sections, fc_section_t, i);
      size_t element = element_counts[section->kind]++;

      if (section->kind == FC_SECTION_RANK)
        {
          /* The snapshot sorts ranks by urgency. */
          fb_str_t name;

          FB_INVARIANT (rank != NULL);
          name = fc_find_child (rank, "name")->text;
          FB_INVARIANT (fc_find_name (checker->snapshot->rank_names, name, &element));
          rank = rank->next;
        }
      section->element = (uint32_t)element;
    }
  checker->snapshot->sections = g_array_ref (sections);
}

/* Parses and checks the complete DOCUMENT. */
static fc_snapshot_t *
check_full_text (fb_bytes_t document, const fc_limits_t *limits, GArray *sections,
                 fc_problems_t *problems)
{
  fc_checker_t checker = { .problems = problems, .limits = limits };
  fb_str_t text = { (const char *)document.data, document.len };
  fc_toml_document_t *parsed = fc_parse_toml (text, problems);

  if (!parsed)
    return NULL;
  checker.root = fc_get_toml_root (parsed);
  checker.snapshot = fc_create_snapshot (document);
  fc_check_root (&checker);
  if (fc_count_problems (problems) == 0)
    fc_record_sections (&checker, sections, true);
  fc_destroy_toml (parsed);
  return checker.snapshot;
}

static fc_snapshot_t *
build_snapshot (const fc_snapshot_t *base, fb_bytes_t document, const fc_limits_t *limits,
                fc_problems_t *problems)
{
  fb_str_t text = { (const char *)document.data, document.len };
  fc_snapshot_t *snapshot = NULL;
  GArray *sections = NULL;
  fc_headers_t headers;

  if (document.len > limits->document_bytes)
    {
      char *found = g_strdup_printf ("%zu bytes", document.len);
      char *allowed = g_strdup_printf ("at most %zu bytes", limits->document_bytes);

      fc_add_problem (problems, 0, "file", found, allowed);
      g_free (allowed);
      g_free (found);
      return NULL;
    }
  headers.items = g_array_new (FALSE, FALSE, sizeof (fc_header_t));
  if (!fc_scan_headers (text, limits, problems, &headers))
    goto done;
  sections = fc_split_sections (text, &headers);
  snapshot = fc_check_changed_sections (base, document, limits, sections);
  if (!snapshot)
    snapshot = check_full_text (document, limits, sections, problems);

done:
  if (sections)
    g_array_unref (sections);
  g_array_unref (headers.items);
  return snapshot;
}

fc_snapshot_t *
fc_check_change (fc_snapshot_t *base, fb_bytes_t document, const fc_limits_t *limits,
                 fc_problems_t *problems)
{
  fc_problems_t *found = fc_create_problems ();
  fc_snapshot_t *snapshot = build_snapshot (base, document, limits, found);

  if (fc_count_problems (found) > 0)
    {
      fc_release_snapshot (snapshot);
      snapshot = NULL;
    }
  for (size_t i = 0; problems && i < fc_count_problems (found); i++)
    {
      const fc_problem_t *problem = fc_get_problem (found, i);

      fc_add_problem (problems, problem->line, problem->key, problem->found, problem->allowed);
    }
  fc_destroy_problems (found);
  return snapshot;
}

fc_snapshot_t *
fc_check_document (fb_bytes_t document, fc_problems_t *problems)
{
  return fc_check_change (NULL, document, fc_get_document_limits (), problems);
}
