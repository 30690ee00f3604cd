/* Check of a document by the sections that it shares with one checked before. */
#include "check-parts.h"
#include <string.h>

/* Nodes allocated at once. */
#define CHUNK_NODES 1024

/* One parse of the whole costs less than a parse of each section, so it is used when more than
 * this part of the text has changed. */
#define CHANGED_PART_MAX 0.5

typedef struct
{
  const fc_snapshot_t *base;
  fb_str_t text;       /* the new document */
  GHashTable *known;   /* hash of a section of BASE to 1 + its index */
  GPtrArray *parsed;   /* fc_toml_document_t */
  GPtrArray *chunks;   /* arrays of CHUNK_NODES nodes */
  size_t used;         /* nodes in the last chunk */
  GStringChunk *texts; /* values that the base does not hold as text */
  fc_toml_t root;
  fc_toml_t lists[FC_SECTION_KINDS];
  fc_toml_t *last[FC_SECTION_KINDS];
} assembly_t;

static void
destroy_parsed (gpointer data)
{
  fc_destroy_toml (data);
}

static fc_toml_t *
create_node (assembly_t *assembly, fc_toml_kind_t kind, const char *key)
{
  fc_toml_t *node;

  if (assembly->chunks->len == 0 || assembly->used == CHUNK_NODES)
    {
      g_ptr_array_add (assembly->chunks, g_new0 (fc_toml_t, CHUNK_NODES));
      assembly->used = 0;
    }
  node = (fc_toml_t *)assembly->chunks->pdata[assembly->chunks->len - 1] + assembly->used++;
  node->kind = kind;
  node->key = fb_wrap_text (key);
  return node;
}

static fc_toml_t *
prepend_child (assembly_t *assembly, fc_toml_t *parent, fc_toml_kind_t kind, const char *key)
{
  fc_toml_t *node = create_node (assembly, kind, key);

  node->next = parent->child;
  parent->child = node;
  parent->count++;
  return node;
}

static void
add_text (assembly_t *assembly, fc_toml_t *parent, const char *key, fb_str_t text)
{
  prepend_child (assembly, parent, FC_TOML_STRING, key)->text = text;
}

static void
add_integer (assembly_t *assembly, fc_toml_t *parent, const char *key, uint32_t integer)
{
  fc_toml_t *node = prepend_child (assembly, parent, FC_TOML_INTEGER, key);

  node->integer = integer;
  node->number = integer;
}

static void
add_number (assembly_t *assembly, fc_toml_t *parent, const char *key, double number)
{
  prepend_child (assembly, parent, FC_TOML_FLOAT, key)->number = number;
}

static void
add_rank (assembly_t *assembly, fc_toml_t *table, const fc_rank_t *rank)
{
  add_text (assembly, table, "name", fb_get_name (&rank->name));
  add_integer (assembly, table, "order", rank->order);
  add_integer (assembly, table, "target_ms", rank->target_ms);
  add_number (assembly, table, "worth", rank->worth);
  add_number (assembly, table, "share", rank->share);
}

static void
add_service (assembly_t *assembly, fc_toml_t *table, const fc_service_t *service)
{
  fc_toml_t *list = prepend_child (assembly, table, FC_TOML_ARRAY, "depends_on");

  for (size_t i = service->depends_count; i > 0; i--)
    {
      const fc_service_t *target = &assembly->base->services[service->depends_on[i - 1]];

      add_text (assembly, list, "", fb_get_name (&target->name));
    }
  add_text (assembly, table, "name", fb_get_name (&service->name));
  add_integer (assembly, table, "slots", service->slots);
  add_integer (assembly, table, "connections", service->connections);
}

/* Splits METHODS, joined by commas, from the end, as children are put in front. */
static void
add_methods (assembly_t *assembly, fc_toml_t *table, fb_str_t methods)
{
  fc_toml_t *list;
  size_t end = methods.len;

  if (methods.len == 0)
    return;
  list = prepend_child (assembly, table, FC_TOML_ARRAY, "methods");
  for (size_t at = methods.len; at > 0; at--)
    if (at == 1 || methods.data[at - 2] == ',')
      {
        add_text (assembly, list, "", (fb_str_t){ methods.data + at - 1, end - (at - 1) });
        end = at > 1 ? at - 2 : 0;
      }
}

static void
add_parts (assembly_t *assembly, fc_toml_t *table, const fc_route_t *route)
{
  fc_toml_t *list;

  if (route->part_count == 0)
    return;
  list = prepend_child (assembly, table, FC_TOML_ARRAY, "parts");
  for (size_t i = route->part_count; i > 0; i--)
    {
      const fc_part_t *part = &route->parts[i - 1];
      char text[FB_NAME_MAX + 16];
      int len = g_snprintf (text, sizeof text, "%s=%u",
                            assembly->base->services[part->service].name.data, part->weight);
      char *kept = g_string_chunk_insert_len (assembly->texts, text, len);

      add_text (assembly, list, "", (fb_str_t){ kept, (size_t)len });
    }
}

static void
add_route (assembly_t *assembly, fc_toml_t *table, const fc_route_t *route)
{
  const fc_snapshot_t *base = assembly->base;

  add_text (assembly, table, "name", fb_get_name (&route->name));
  add_text (assembly, table, "host", route->host);
  add_text (assembly, table, "path", route->path);
  prepend_child (assembly, table, FC_TOML_BOOLEAN, "below")->integer = route->below;
  add_methods (assembly, table, route->methods);
  add_text (assembly, table, "service", fb_get_name (&base->services[route->service].name));
  add_text (assembly, table, "rank", fb_get_name (&base->ranks[route->rank].name));
  add_integer (assembly, table, "timeout_ms", route->timeout_ms);
  add_integer (assembly, table, "retries", route->retries);
  prepend_child (assembly, table, FC_TOML_BOOLEAN, "repeatable")->integer = route->repeatable;
  prepend_child (assembly, table, FC_TOML_BOOLEAN, "ticket")->integer = route->ticket;
  add_integer (assembly, table, "target_ms", route->target_ms);
  add_parts (assembly, table, route);
}

static void
add_customer (assembly_t *assembly, fc_toml_t *table, const fc_customer_t *customer)
{
  add_text (assembly, table, "name", fb_get_name (&customer->name));
  add_number (assembly, table, "weight", customer->weight);
}

static void
add_objective (assembly_t *assembly, fc_toml_t *table, const fc_objective_t *objective)
{
  const fc_snapshot_t *base = assembly->base;

  add_text (assembly, table, "service", fb_get_name (&base->services[objective->service].name));
  add_text (assembly, table, "rank", fb_get_name (&base->ranks[objective->rank].name));
  add_integer (assembly, table, "target_ms", objective->target_ms);
  add_number (assembly, table, "ratio", objective->ratio);
}

/* Fills TABLE with the values of the element of BASE that SECTION led to. Defaults are given
 * as values, which yields the same element. */
static void
restore_table (assembly_t *assembly, fc_toml_t *table, const fc_section_t *section)
{
  const fc_snapshot_t *base = assembly->base;

  switch ((fc_section_kind_t)section->kind)
    {
    case FC_SECTION_RANK:
      add_rank (assembly, table, &base->ranks[section->element]);
      break;
    case FC_SECTION_SERVICE:
      add_service (assembly, table, &base->services[section->element]);
      break;
    case FC_SECTION_ROUTE:
      add_route (assembly, table, &base->routes[section->element]);
      break;
    case FC_SECTION_CUSTOMER:
      add_customer (assembly, table, &base->customers[section->element]);
      break;
    case FC_SECTION_OBJECTIVE:
      add_objective (assembly, table, &base->objectives[section->element]);
      break;
    }
}

/* Returns the section of BASE with the same bytes as SECTION, or NULL. */
static const fc_section_t *
find_known (const assembly_t *assembly, const fc_section_t *section)
{
  gpointer found = g_hash_table_lookup (assembly->known, GSIZE_TO_POINTER (section->hash));
  const fc_section_t *known;

  if (!found)
    return NULL;
  known = &g_array_index (assembly->base->sections, fc_section_t, GPOINTER_TO_SIZE (found) - 1);
  if (known->length != section->length
      || memcmp (assembly->base->document + known->offset,
                 assembly->text.data + section->offset, known->length)
             != 0)
    return NULL;
  return known;
}

/* Parses LENGTH bytes at OFFSET; returns the root, or NULL on a syntax error. */
static const fc_toml_t *
parse_part (assembly_t *assembly, size_t offset, size_t length)
{
  fc_problems_t *problems = fc_create_problems ();
  fb_str_t part = { assembly->text.data + offset, length };
  fc_toml_document_t *parsed = fc_parse_toml (part, problems);

  fc_destroy_problems (problems);
  if (!parsed)
    return NULL;
  g_ptr_array_add (assembly->parsed, parsed);
  return fc_get_toml_root (parsed);
}

/* Parses SECTION on its own and copies its only table to TABLE. */
static bool
parse_section (assembly_t *assembly, fc_toml_t *table, const fc_section_t *section)
{
  const fc_toml_t *root;
  const fc_toml_t *list;

  root = parse_part (assembly, section->offset, section->length);
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
add_section (assembly_t *assembly, const fc_section_t *section)
{
  fc_toml_t *list = &assembly->lists[section->kind];
  fc_toml_t *table = create_node (assembly, FC_TOML_TABLE, "");
  const fc_section_t *known = find_known (assembly, section);

  if (known)
    restore_table (assembly, table, known);
  else if (!parse_section (assembly, table, section))
    return false;
  if (assembly->last[section->kind])
    assembly->last[section->kind]->next = table;
  else
    list->child = table;
  assembly->last[section->kind] = table;
  list->count++;
  return true;
}

/* Links the keys above the first header and the lists under the root; false when a key holds
 * anything but an integer, which a full check reports. */
static bool
link_root (assembly_t *assembly, size_t head)
{
  const fc_toml_t *root = parse_part (assembly, 0, head);

  if (!root)
    return false;
  assembly->root.kind = FC_TOML_TABLE;
  for (uint32_t i = 0; i < FC_SECTION_KINDS; i++)
    {
      fc_toml_t *list = &assembly->lists[i];

      if (list->count == 0)
        continue;
      list->kind = FC_TOML_ARRAY;
      list->key = fb_wrap_text (fc_get_section_name (i));
      list->next = assembly->root.child;
      assembly->root.child = list;
      assembly->root.count++;
    }
  for (const fc_toml_t *child = root->child; child; child = child->next)
    {
      fc_toml_t *copy;

      if (child->kind != FC_TOML_INTEGER)
        return false;
      copy = prepend_child (assembly, &assembly->root, child->kind, "");
      copy->key = child->key;
      copy->integer = child->integer;
      copy->number = child->number;
    }
  return true;
}

static bool
is_small_change (const assembly_t *assembly, const GArray *sections)
{
  size_t changed = 0;

  for (guint i = 0; i < sections->len; i++)
    {
      const fc_section_t *section = &g_array_index (sections, fc_section_t, i);

      if (!find_known (assembly, section))
        changed += section->length;
    }
  return (double)changed <= CHANGED_PART_MAX * (double)assembly->text.len;
}

static bool
assemble (assembly_t *assembly, const GArray *sections)
{
  const GArray *known = assembly->base->sections;

  for (guint i = 0; i < known->len; i++)
    g_hash_table_insert (assembly->known,
                         GSIZE_TO_POINTER (g_array_index (known, fc_section_t, i).hash),
                         GSIZE_TO_POINTER ((size_t)i + 1));
  if (!is_small_change (assembly, sections))
    return false;
  for (guint i = 0; i < sections->len; i++)
    if (!add_section (assembly, &g_array_index (sections, fc_section_t, i)))
      return false;
  return link_root (assembly, g_array_index (sections, fc_section_t, 0).offset);
}

static fc_snapshot_t *
check_assembled (const assembly_t *assembly, fb_bytes_t document, GArray *sections)
{
  fc_problems_t *problems = fc_create_problems ();
  fc_checker_t checker = { .root = &assembly->root, .problems = problems };

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
fc_try_change (const fc_snapshot_t *base, fb_bytes_t document, GArray *sections)
{
  assembly_t assembly = { .base = base };
  fc_snapshot_t *snapshot = NULL;

  if (!base || !base->sections || !sections || sections->len == 0)
    return NULL;
  assembly.text = (fb_str_t){ (const char *)document.data, document.len };
  assembly.known = g_hash_table_new (NULL, NULL);
  assembly.parsed = g_ptr_array_new_with_free_func (destroy_parsed);
  assembly.chunks = g_ptr_array_new_with_free_func (g_free);
  assembly.texts = g_string_chunk_new (1024);
  if (assemble (&assembly, sections))
    snapshot = check_assembled (&assembly, document, sections);
  g_string_chunk_free (assembly.texts);
  g_ptr_array_unref (assembly.chunks);
  g_ptr_array_unref (assembly.parsed);
  g_hash_table_unref (assembly.known);
  return snapshot;
}
