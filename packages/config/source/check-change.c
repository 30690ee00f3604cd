/* Check of a changed document, reusing unchanged sections of an earlier snapshot. */
#include "checker.h"
#include <string.h>

#define NODES_PER_CHUNK 1024

/* A full parse costs less per byte than parsing single sections: it is used when more than
 * this fraction of the text changed. */
#define CHANGED_FRACTION_MAX 0.5

typedef struct
{
  const fc_snapshot_t *base;
  fb_str_t text;             /* the new document */
  GHashTable *base_sections; /* hash of a section of BASE to 1 + its index */
  GPtrArray *documents;      /* fc_toml_document_t of the parsed ranges */
  GPtrArray *chunks;         /* arrays of NODES_PER_CHUNK nodes */
  size_t chunk_used;         /* nodes used in the last chunk */
  GStringChunk *texts;       /* values that BASE does not store as text */
  fc_toml_t root;
  fc_toml_t lists[FC_SECTION_KINDS];
  fc_toml_t *last_tables[FC_SECTION_KINDS];
} tree_builder_t;

static void
destroy_document (gpointer data)
{
  fc_destroy_toml (data);
}

static fc_toml_t *
create_node (tree_builder_t *builder, fc_toml_kind_t kind, const char *key)
{
  fc_toml_t *node;

  if (builder->chunks->len == 0 || builder->chunk_used == NODES_PER_CHUNK)
    {
      g_ptr_array_add (builder->chunks, g_new0 (fc_toml_t, NODES_PER_CHUNK));
      builder->chunk_used = 0;
    }
  node = (fc_toml_t *)builder->chunks->pdata[builder->chunks->len - 1] + builder->chunk_used++;
  node->kind = kind;
  node->key = fb_wrap_text (key);
  return node;
}

static fc_toml_t *
prepend_child (tree_builder_t *builder, fc_toml_t *parent, fc_toml_kind_t kind, const char *key)
{
  fc_toml_t *node = create_node (builder, kind, key);

  node->next = parent->child;
  parent->child = node;
  parent->count++;
  return node;
}

static void
add_text (tree_builder_t *builder, fc_toml_t *parent, const char *key, fb_str_t text)
{
  prepend_child (builder, parent, FC_TOML_STRING, key)->text = text;
}

static void
add_integer (tree_builder_t *builder, fc_toml_t *parent, const char *key, uint32_t integer)
{
  fc_toml_t *node = prepend_child (builder, parent, FC_TOML_INTEGER, key);

  node->integer = integer;
  node->number = integer;
}

static void
add_number (tree_builder_t *builder, fc_toml_t *parent, const char *key, double number)
{
  prepend_child (builder, parent, FC_TOML_FLOAT, key)->number = number;
}

static void
add_rank_values (tree_builder_t *builder, fc_toml_t *table, const fc_rank_t *rank)
{
  add_text (builder, table, "name", fb_get_name (&rank->name));
  add_integer (builder, table, "order", rank->order);
  add_integer (builder, table, "target_ms", rank->target_ms);
  add_number (builder, table, "worth", rank->worth);
  add_number (builder, table, "share", rank->share);
}

static void
add_service_values (tree_builder_t *builder, fc_toml_t *table, const fc_service_t *service)
{
  fc_toml_t *list = prepend_child (builder, table, FC_TOML_ARRAY, "depends_on");

  for (size_t i = service->depends_count; i > 0; i--)
    {
      const fc_service_t *target = &builder->base->services[service->depends_on[i - 1]];

      add_text (builder, list, "", fb_get_name (&target->name));
    }
  add_text (builder, table, "name", fb_get_name (&service->name));
  add_integer (builder, table, "slots", service->slots);
  add_integer (builder, table, "connections", service->connections);
  if (service->health.len > 0)
    add_text (builder, table, "health", service->health);
  add_integer (builder, table, "warmup_ms", service->warmup_ms);
  add_number (builder, table, "warmup_rate", service->warmup_rate);
}

/* Splits comma-joined METHODS from the end, as children are prepended. */
static void
add_method_values (tree_builder_t *builder, fc_toml_t *table, fb_str_t methods)
{
  fc_toml_t *list;
  size_t end = methods.len;

  if (methods.len == 0)
    return;
  list = prepend_child (builder, table, FC_TOML_ARRAY, "methods");
  for (size_t at = methods.len; at > 0; at--)
    if (at == 1 || methods.data[at - 2] == ',')
      {
        add_text (builder, list, "", (fb_str_t){ methods.data + at - 1, end - (at - 1) });
        end = at > 1 ? at - 2 : 0;
      }
}

static void
add_weighted_services (tree_builder_t *builder, fc_toml_t *table, const fc_route_t *route)
{
  fc_toml_t *list;

  if (route->part_count == 0)
    return;
  list = prepend_child (builder, table, FC_TOML_ARRAY, "parts");
  for (size_t i = route->part_count; i > 0; i--)
    {
      const fc_part_t *part = &route->parts[i - 1];
      char text[FB_NAME_MAX + 16];
      int len = g_snprintf (text, sizeof text, "%s=%u",
                            builder->base->services[part->service].name.data, part->weight);
      char *copy = g_string_chunk_insert_len (builder->texts, text, len);

      add_text (builder, list, "", (fb_str_t){ copy, (size_t)len });
    }
}

static void
add_route_values (tree_builder_t *builder, fc_toml_t *table, const fc_route_t *route)
{
  const fc_snapshot_t *base = builder->base;

  add_text (builder, table, "name", fb_get_name (&route->name));
  add_text (builder, table, "host", route->host);
  add_text (builder, table, "path", route->path);
  prepend_child (builder, table, FC_TOML_BOOLEAN, "below")->integer = route->below;
  add_method_values (builder, table, route->methods);
  add_text (builder, table, "service", fb_get_name (&base->services[route->service].name));
  add_text (builder, table, "rank", fb_get_name (&base->ranks[route->rank].name));
  add_integer (builder, table, "timeout_ms", route->timeout_ms);
  add_integer (builder, table, "retries", route->retries);
  prepend_child (builder, table, FC_TOML_BOOLEAN, "repeatable")->integer = route->repeatable;
  prepend_child (builder, table, FC_TOML_BOOLEAN, "ticket")->integer = route->ticket;
  prepend_child (builder, table, FC_TOML_BOOLEAN, "hedge")->integer = route->hedge;
  add_integer (builder, table, "target_ms", route->target_ms);
  add_weighted_services (builder, table, route);
}

static void
add_customer_values (tree_builder_t *builder, fc_toml_t *table, const fc_customer_t *customer)
{
  add_text (builder, table, "name", fb_get_name (&customer->name));
  add_number (builder, table, "weight", customer->weight);
}

static void
add_objective_values (tree_builder_t *builder, fc_toml_t *table,
                      const fc_objective_t *objective)
{
  const fc_snapshot_t *base = builder->base;

  add_text (builder, table, "service", fb_get_name (&base->services[objective->service].name));
  add_text (builder, table, "rank", fb_get_name (&base->ranks[objective->rank].name));
  add_integer (builder, table, "target_ms", objective->target_ms);
  add_number (builder, table, "ratio", objective->ratio);
}

/* Adds the values of BASE's element of SECTION to TABLE. Omitted keys are added with their
 * defaults, which gives the same element. */
static void
add_element_values (tree_builder_t *builder, fc_toml_t *table, const fc_section_t *section)
{
  const fc_snapshot_t *base = builder->base;

  switch ((fc_section_kind_t)section->kind)
    {
    case FC_SECTION_RANK:
      add_rank_values (builder, table, &base->ranks[section->element]);
      break;
    case FC_SECTION_SERVICE:
      add_service_values (builder, table, &base->services[section->element]);
      break;
    case FC_SECTION_ROUTE:
      add_route_values (builder, table, &base->routes[section->element]);
      break;
    case FC_SECTION_CUSTOMER:
      add_customer_values (builder, table, &base->customers[section->element]);
      break;
    case FC_SECTION_OBJECTIVE:
      add_objective_values (builder, table, &base->objectives[section->element]);
      break;
    }
}

/* Returns BASE's section with the text of SECTION, or NULL. */
static const fc_section_t *
find_unchanged_section (const tree_builder_t *builder, const fc_section_t *section)
{
  gpointer found
      = g_hash_table_lookup (builder->base_sections, GSIZE_TO_POINTER (section->hash));
  const fc_section_t *unchanged;

  if (!found)
    return NULL;
  unchanged
      = &g_array_index (builder->base->sections, fc_section_t, GPOINTER_TO_SIZE (found) - 1);
  if (unchanged->length != section->length
      || memcmp (builder->base->document + unchanged->offset,
                 builder->text.data + section->offset, unchanged->length)
             != 0)
    return NULL;
  return unchanged;
}

/* Parses LENGTH bytes at OFFSET; returns the root, or NULL on a syntax error. */
static const fc_toml_t *
parse_range (tree_builder_t *builder, size_t offset, size_t length)
{
  fc_problems_t *problems = fc_create_problems ();
  fb_str_t range = { builder->text.data + offset, length };
  fc_toml_document_t *document = fc_parse_toml (range, problems);

  fc_destroy_problems (problems);
  if (!document)
    return NULL;
  g_ptr_array_add (builder->documents, document);
  return fc_get_toml_root (document);
}

/* Parses SECTION alone and copies its only table to TABLE. */
static bool
parse_section (tree_builder_t *builder, fc_toml_t *table, const fc_section_t *section)
{
  const fc_toml_t *root;
  const fc_toml_t *list;

  root = parse_range (builder, section->offset, section->length);
  if (!root || root->count != 1)
    return false;
  list = root->child;
  if (list->kind != FC_TOML_ARRAY || list->count != 1 || list->child->kind != FC_TOML_TABLE
      || !fb_equal_str (list->key, fb_wrap_text (fc_get_section_name (section->kind))))
    return false;
  *table = *list->child;
  return true;
}

static bool
add_section (tree_builder_t *builder, const fc_section_t *section)
{
  fc_toml_t *list = &builder->lists[section->kind];
  fc_toml_t *table = create_node (builder, FC_TOML_TABLE, "");
  const fc_section_t *unchanged = find_unchanged_section (builder, section);

  if (unchanged)
    add_element_values (builder, table, unchanged);
  else if (!parse_section (builder, table, section))
    return false;
  if (builder->last_tables[section->kind])
    builder->last_tables[section->kind]->next = table;
  else
    list->child = table;
  builder->last_tables[section->kind] = table;
  list->count++;
  return true;
}

/* Adds the keys before the first header, in HEAD_LENGTH bytes, and the lists of tables to
 * the root. Returns false for a non-integer value, which the full check reports. */
static bool
link_root (tree_builder_t *builder, size_t head_length)
{
  const fc_toml_t *root = parse_range (builder, 0, head_length);

  if (!root)
    return false;
  builder->root.kind = FC_TOML_TABLE;
  for (uint32_t i = 0; i < FC_SECTION_KINDS; i++)
    {
      fc_toml_t *list = &builder->lists[i];

      if (list->count == 0)
        continue;
      list->kind = FC_TOML_ARRAY;
      list->key = fb_wrap_text (fc_get_section_name (i));
      list->next = builder->root.child;
      builder->root.child = list;
      builder->root.count++;
    }
  for (const fc_toml_t *child = root->child; child; child = child->next)
    {
      fc_toml_t *copy;

      if (child->kind != FC_TOML_INTEGER)
        return false;
      copy = prepend_child (builder, &builder->root, child->kind, "");
      copy->key = child->key;
      copy->integer = child->integer;
      copy->number = child->number;
    }
  return true;
}

static bool
is_small_change (const tree_builder_t *builder, const GArray *sections)
{
  size_t changed = 0;

  for (guint i = 0; i < sections->len; i++)
    {
      const fc_section_t *section = &g_array_index (sections, fc_section_t, i);

      if (!find_unchanged_section (builder, section))
        changed += section->length;
    }
  return (double)changed <= CHANGED_FRACTION_MAX * (double)builder->text.len;
}

static bool
build_tree (tree_builder_t *builder, const GArray *sections)
{
  const GArray *base_sections = builder->base->sections;

  for (guint i = 0; i < base_sections->len; i++)
    g_hash_table_insert (builder->base_sections,
                         GSIZE_TO_POINTER (g_array_index (base_sections, fc_section_t, i).hash),
                         GSIZE_TO_POINTER ((size_t)i + 1));
  if (!is_small_change (builder, sections))
    return false;
  for (guint i = 0; i < sections->len; i++)
    if (!add_section (builder, &g_array_index (sections, fc_section_t, i)))
      return false;
  return link_root (builder, g_array_index (sections, fc_section_t, 0).offset);
}

static fc_snapshot_t *
check_tree (const tree_builder_t *builder, fb_bytes_t document, const fc_limits_t *limits,
            GArray *sections)
{
  fc_problems_t *problems = fc_create_problems ();
  fc_checker_t checker = { .root = &builder->root, .problems = problems, .limits = limits };

  checker.snapshot = fc_create_snapshot (document);
  fc_check_root (&checker);
  if (fc_count_problems (problems) > 0)
    {
      fc_release_snapshot (checker.snapshot);
      checker.snapshot = NULL;
    }
  else
    fc_record_sections (&checker, sections, false);
  fc_destroy_problems (problems);
  return checker.snapshot;
}

fc_snapshot_t *
fc_check_changed_sections (const fc_snapshot_t *base, fb_bytes_t document,
                           const fc_limits_t *limits, GArray *sections)
{
  tree_builder_t builder = { .base = base };
  fc_snapshot_t *snapshot = NULL;

  if (!base || !base->sections || !sections || sections->len == 0)
    return NULL;
  builder.text = (fb_str_t){ (const char *)document.data, document.len };
  builder.base_sections = g_hash_table_new (NULL, NULL);
  builder.documents = g_ptr_array_new_with_free_func (destroy_document);
  builder.chunks = g_ptr_array_new_with_free_func (g_free);
  builder.texts = g_string_chunk_new (1024);
  if (build_tree (&builder, sections))
    snapshot = check_tree (&builder, document, limits, sections);
  g_string_chunk_free (builder.texts);
  g_ptr_array_unref (builder.chunks);
  g_ptr_array_unref (builder.documents);
  g_hash_table_unref (builder.base_sections);
  return snapshot;
}
