/* Check of one table against its section of a schema. */
#include "check-row.h"
#include "check-text.h"
#include <foxtailrun/base/invariant.h>
#include <glib.h>
#include <string.h>

/* Maximum length of a value quoted in a problem. */
#define QUOTE_MAX_BYTES 60

/* Returns the first line of TEXT, truncated to QUOTE_MAX_BYTES; free with g_free. */
static char *
quote_text (fb_str_t text)
{
  size_t len = 0;

  while (len < text.len && len < QUOTE_MAX_BYTES && text.data[len] != '\n'
         && text.data[len] != '\r')
    len++;
  if (len == text.len)
    return fb_copy_text (text);
  while (len > 0 && ((unsigned char)text.data[len] & 0xC0) == 0x80)
    len--; /* not within a UTF-8 sequence */
  return g_strdup_printf ("%.*s...", (int)len, text.data);
}

char *
fc_quote_node (const fc_toml_t *node)
{
  if (node->kind == FC_TOML_TABLE)
    return g_strdup ("a table");
  if (node->kind == FC_TOML_ARRAY)
    return g_strdup (node->child && node->child->kind == FC_TOML_TABLE ? "an array of tables"
                                                                       : "an array");
  return quote_text (node->source);
}

static char *
join_key (const char *path, const char *key)
{
  return path[0] ? g_strdup_printf ("%s.%s", path, key) : g_strdup (key);
}

void
fc_add_key_problem (fc_problems_t *problems, const fc_row_t *row, const char *key,
                    const char *found, const char *allowed)
{
  const fc_value_t *value = fc_get_value (row, key);
  char *path = join_key (row->path, key);
  char *default_allowed = allowed ? NULL : fc_describe_allowed (value->field);
  uint32_t line = 0;

  if (value->node)
    line = value->node->line;
  else if (row->table && row->path[0])
    line = row->table->line;
  fc_add_problem (problems, line, path, found, allowed ? allowed : default_allowed);
  g_free (default_allowed);
  g_free (path);
}

void
fc_add_node_problem (fc_problems_t *problems, const fc_row_t *row, const char *key,
                     const fc_toml_t *node, const char *allowed)
{
  char *path = join_key (row->path, key);
  char *default_allowed = allowed ? NULL : fc_describe_allowed (fc_get_value (row, key)->field);
  char *found = fc_quote_node (node);

  fc_add_problem (problems, node->line, path, found, allowed ? allowed : default_allowed);
  g_free (found);
  g_free (default_allowed);
  g_free (path);
}

const fc_value_t *
fc_get_value (const fc_row_t *row, const char *key)
{
  for (size_t i = 0; i < row->count; i++)
    if (strcmp (row->values[i].field->key, key) == 0)
      return &row->values[i];
  FB_INVARIANT (false && "the key is in the schema");
  return NULL;
}

static void
set_default (fc_value_t *value)
{
  const char *text = value->field->default_text ? value->field->default_text : "";

  value->node = NULL;
  value->integer = 0;
  value->number = 0;
  value->text = (fb_str_t){ "", 0 };
  switch (value->field->type)
    {
    case FC_TYPE_INTEGER:
      value->integer = g_ascii_strtoull (text, NULL, 10);
      break;
    case FC_TYPE_NUMBER:
      value->number = g_ascii_strtod (text, NULL);
      break;
    case FC_TYPE_BOOLEAN:
      value->integer = strcmp (text, "true") == 0;
      break;
    case FC_TYPE_REFERENCES:
    case FC_TYPE_METHODS:
    case FC_TYPE_WEIGHTED_SERVICES:
    case FC_TYPE_SOCKET_ADDRESSES:
      break;
    default:
      value->text = fb_wrap_text (text);
      break;
    }
}

/* Returns false for a NaN. */
static bool
is_in_range (const fc_field_t *field, double number)
{
  return number >= field->min && number <= field->max;
}

static bool
accept_value (fc_value_t *value, const fc_toml_t *node)
{
  switch (value->field->type)
    {
    case FC_TYPE_INTEGER:
      if (node->kind != FC_TOML_INTEGER || !is_in_range (value->field, node->number))
        return false;
      value->integer = (uint64_t)node->integer;
      break;
    case FC_TYPE_NUMBER:
      if ((node->kind != FC_TOML_INTEGER && node->kind != FC_TOML_FLOAT)
          || !is_in_range (value->field, node->number))
        return false;
      value->number = node->number;
      break;
    case FC_TYPE_BOOLEAN:
      if (node->kind != FC_TOML_BOOLEAN)
        return false;
      value->integer = (uint64_t)node->integer;
      break;
    case FC_TYPE_REFERENCES:
    case FC_TYPE_METHODS:
    case FC_TYPE_WEIGHTED_SERVICES:
    case FC_TYPE_SOCKET_ADDRESSES:
      if (node->kind != FC_TOML_ARRAY)
        return false;
      break;
    default:
      if (node->kind != FC_TOML_STRING || !fc_is_valid_text (value->field, node->text))
        return false;
      value->text = node->text;
      break;
    }
  value->node = node;
  return true;
}

const fc_toml_t *
fc_next_string (const fc_value_t *array, const fc_toml_t *node)
{
  if (node)
    node = node->next;
  else if (array->node)
    node = array->node->child;
  while (node && node->kind != FC_TOML_STRING)
    node = node->next;
  return node;
}

/* Reports the elements of ARRAY that are not strings. */
static void
check_array_elements (const fc_row_t *row, const fc_value_t *array, fc_problems_t *problems)
{
  if (!array->node || array->node->kind != FC_TOML_ARRAY)
    return;
  for (const fc_toml_t *node = array->node->child; node; node = node->next)
    if (node->kind != FC_TOML_STRING)
      fc_add_node_problem (problems, row, array->field->key, node, NULL);
}

static fc_value_t *
find_value (fc_row_t *row, fb_str_t key)
{
  for (size_t i = 0; i < row->count; i++)
    if (fb_equal_str (fb_wrap_text (row->values[i].field->key), key))
      return &row->values[i];
  return NULL;
}

static bool
starts_section (const fc_schema_t *schema, size_t index)
{
  const char *section = schema->fields[index].section;

  return section[0] && (index == 0 || strcmp (schema->fields[index - 1].section, section) != 0);
}

static const char *
find_section (const fc_schema_t *schema, fb_str_t key)
{
  for (size_t i = 0; i < schema->count; i++)
    if (starts_section (schema, i)
        && fb_equal_str (fb_wrap_text (schema->fields[i].section), key))
      return schema->fields[i].section;
  return NULL;
}

static void
check_section_type (const fc_schema_t *schema, const char *section, const fc_toml_t *node,
                    fc_problems_t *problems)
{
  bool valid = node->kind == (schema->repeated ? FC_TOML_ARRAY : FC_TOML_TABLE);
  char *allowed;
  char *found;

  for (const fc_toml_t *child = node->child; schema->repeated && child; child = child->next)
    valid = valid && child->kind == FC_TOML_TABLE;
  if (valid)
    return;
  allowed = g_strdup_printf (schema->repeated ? "[[%s]] tables" : "one [%s] table", section);
  found = fc_quote_node (node);
  fc_add_problem (problems, node->line, section, found, allowed);
  g_free (found);
  g_free (allowed);
}

static void
report_unknown_key (const fc_row_t *row, const fc_schema_t *schema, const fc_toml_t *node,
                    fc_problems_t *problems)
{
  GString *allowed = g_string_new ("");
  char *name = quote_text (node->key);
  char *key = join_key (row->path, name);

  for (size_t i = 0; i < row->count; i++)
    g_string_append_printf (allowed, ", %s", row->values[i].field->key);
  for (size_t i = 0; !row->path[0] && i < schema->count; i++)
    if (starts_section (schema, i))
      g_string_append_printf (allowed, ", %s", schema->fields[i].section);
  g_string_erase (allowed, 0, 2);
  g_string_prepend (allowed, "one of ");
  fc_add_problem (problems, node->line, key, "an unknown key", allowed->str);
  g_string_free (allowed, TRUE);
  g_free (key);
  g_free (name);
}

const fc_toml_t *
fc_find_child (const fc_toml_t *table, const char *key)
{
  if (!table || table->kind != FC_TOML_TABLE)
    return NULL;
  for (const fc_toml_t *child = table->child; child; child = child->next)
    if (fb_equal_str (child->key, fb_wrap_text (key)))
      return child;
  return NULL;
}

void
fc_check_row (fc_row_t *row, const fc_schema_t *schema, const char *section, const char *path,
              const fc_toml_t *table, fc_problems_t *problems)
{
  bool present[FC_ROW_KEYS_MAX] = { false };

  memset (row, 0, sizeof *row);
  row->table = table;
  g_strlcpy (row->path, path, sizeof row->path);
  for (size_t i = 0; i < schema->count; i++)
    if (strcmp (schema->fields[i].section, section) == 0)
      {
        FB_INVARIANT (row->count < FC_ROW_KEYS_MAX);
        row->values[row->count].field = &schema->fields[i];
        set_default (&row->values[row->count++]);
      }
  for (const fc_toml_t *node = table ? table->child : NULL; node; node = node->next)
    {
      fc_value_t *value = find_value (row, node->key);
      const char *section_name = path[0] ? NULL : find_section (schema, node->key);

      if (!value)
        {
          if (section_name)
            check_section_type (schema, section_name, node, problems);
          else
            report_unknown_key (row, schema, node, problems);
          continue;
        }
      present[value - row->values] = true;
      if (!accept_value (value, node))
        fc_add_node_problem (problems, row, value->field->key, node, NULL);
      check_array_elements (row, value, problems);
    }
  for (size_t i = 0; i < row->count; i++)
    if (!present[i] && !row->values[i].field->default_text)
      fc_add_key_problem (problems, row, row->values[i].field->key, "no value", NULL);
}
