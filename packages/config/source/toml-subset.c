/* Parser for a TOML subset: lines of "key = value" and "[[name]]" headers. It takes a tenth
 * of the library's time, which is 0.5 s on a starting host with a tenth of a core. Other
 * text and all errors are left to the library. */
#include "toml-subset.h"
#include <string.h>

/* Decimal digits that always fit into 64 bits. */
#define DIGITS_MAX 18

typedef struct
{
  const char *position;
  const char *end;
  uint32_t line;
  fc_create_node_fn_t create;
  void *user;
  fc_toml_t *root;
  fc_toml_t *table; /* to which the next key is added */
} parser_t;

static bool
is_key_char (char c)
{
  return g_ascii_isalnum (c) || c == '_' || c == '-';
}

static void
skip_blanks (parser_t *parser)
{
  while (parser->position < parser->end
         && (*parser->position == ' ' || *parser->position == '\t'))
    parser->position++;
}

static bool
skip_char (parser_t *parser, char c)
{
  if (parser->position == parser->end || *parser->position != c)
    return false;
  parser->position++;
  return true;
}

static bool
skip_text (parser_t *parser, const char *text)
{
  size_t len = strlen (text);

  if ((size_t)(parser->end - parser->position) < len
      || memcmp (parser->position, text, len) != 0)
    return false;
  parser->position += len;
  return true;
}

static fb_str_t
parse_key (parser_t *parser)
{
  const char *start = parser->position;

  while (parser->position < parser->end && is_key_char (*parser->position))
    parser->position++;
  return (fb_str_t){ start, (size_t)(parser->position - start) };
}

static fc_toml_t *
create_node (parser_t *parser, fc_toml_kind_t kind, fb_str_t key)
{
  fc_toml_t *node = parser->create (parser->user);

  node->kind = kind;
  node->key = key;
  node->line = parser->line;
  return node;
}

/* Appends ELEMENT to LIST, whose last element is LAST or NULL. */
static void
append_element (fc_toml_t *list, fc_toml_t *last, fc_toml_t *element)
{
  if (last)
    last->next = element;
  else
    list->child = element;
  list->count++;
}

static int
compare_keys (fb_str_t a, fb_str_t b)
{
  int order = memcmp (a.data, b.data, MIN (a.len, b.len));

  return order != 0 ? order : (a.len > b.len) - (a.len < b.len);
}

/* Inserts CHILD into TABLE sorted by key, as the library does; false when the key exists. */
static bool
insert_child (fc_toml_t *table, fc_toml_t *child)
{
  const fc_toml_t **link = &table->child;

  while (*link && compare_keys ((*link)->key, child->key) < 0)
    link = (const fc_toml_t **)&((fc_toml_t *)*link)->next;
  if (*link && fb_equal_str ((*link)->key, child->key))
    return false;
  child->next = *link;
  *link = child;
  table->count++;
  return true;
}

static bool
parse_string (parser_t *parser, fc_toml_t *node)
{
  const char *start = ++parser->position;

  while (parser->position < parser->end && *parser->position >= ' ' && *parser->position < 0x7F
         && *parser->position != '"' && *parser->position != '\\')
    parser->position++;
  node->kind = FC_TOML_STRING;
  node->text = (fb_str_t){ start, (size_t)(parser->position - start) };
  /* Three quotes start a multi-line string. */
  return skip_char (parser, '"')
         && (node->text.len > 0 || parser->position == parser->end || *parser->position != '"');
}

static bool
parse_integer (parser_t *parser, fc_toml_t *node)
{
  const char *start = parser->position;

  while (parser->position < parser->end && g_ascii_isdigit (*parser->position)
         && parser->position - start < DIGITS_MAX)
    node->integer = node->integer * 10 + (*parser->position++ - '0');
  node->kind = FC_TOML_INTEGER;
  node->number = (double)node->integer;
  return parser->position > start && (*start != '0' || parser->position - start == 1);
}

/* Parses an integer, or a number with a point and digits on both sides of it. */
static bool
parse_number (parser_t *parser, fc_toml_t *node)
{
  const char *start = parser->position;
  const char *point;
  char copy[2 * DIGITS_MAX + 2] = { 0 };

  if (!parse_integer (parser, node))
    return false;
  point = parser->position;
  if (!skip_char (parser, '.'))
    return true;
  while (parser->position < parser->end && g_ascii_isdigit (*parser->position)
         && parser->position - point <= DIGITS_MAX)
    parser->position++;
  memcpy (copy, start, (size_t)(parser->position - start));
  node->kind = FC_TOML_FLOAT;
  node->integer = 0;
  node->number = g_ascii_strtod (copy, NULL);
  return parser->position - point > 1;
}

static bool parse_value (parser_t *parser, fc_toml_t *node);

static bool
parse_array (parser_t *parser, fc_toml_t *node)
{
  fc_toml_t *last = NULL;

  parser->position++;
  node->kind = FC_TOML_ARRAY;
  do
    {
      fc_toml_t *element = create_node (parser, FC_TOML_STRING, (fb_str_t){ "", 0 });

      skip_blanks (parser);
      if (parser->position == parser->end || *parser->position != '"'
          || !parse_value (parser, element))
        return false;
      append_element (node, last, element);
      last = element;
      skip_blanks (parser);
    }
  while (skip_char (parser, ','));
  return skip_char (parser, ']');
}

static bool
parse_value (parser_t *parser, fc_toml_t *node)
{
  const char *start = parser->position;
  bool valid;

  if (parser->position == parser->end)
    return false;
  if (*parser->position == '"')
    valid = parse_string (parser, node);
  else if (*parser->position == '[')
    valid = parse_array (parser, node);
  else if (skip_text (parser, "true") || skip_text (parser, "false"))
    {
      node->kind = FC_TOML_BOOLEAN;
      node->integer = *start == 't';
      valid = true;
    }
  else
    valid = parse_number (parser, node);
  node->source = (fb_str_t){ start, (size_t)(parser->position - start) };
  return valid;
}

static bool
parse_pair (parser_t *parser)
{
  fb_str_t key = parse_key (parser);
  fc_toml_t *node;

  if (key.len == 0)
    return false;
  node = create_node (parser, FC_TOML_STRING, key);
  skip_blanks (parser);
  if (!skip_char (parser, '='))
    return false;
  skip_blanks (parser);
  return parse_value (parser, node) && insert_child (parser->table, node);
}

/* Parses "[[name]]", which starts a table in list "name". */
static bool
parse_header (parser_t *parser, fc_toml_t **lists, fc_toml_t **last)
{
  const char *start = parser->position;
  fb_str_t name;
  size_t i = 0;

  if (!skip_text (parser, "[["))
    return false;
  name = parse_key (parser);
  if (name.len == 0 || !skip_text (parser, "]]"))
    return false;
  parser->table = create_node (parser, FC_TOML_TABLE, (fb_str_t){ "", 0 });
  parser->table->source = (fb_str_t){ start, (size_t)(parser->position - start) };
  while (i < FC_SUBSET_LISTS_MAX && lists[i] && !fb_equal_str (lists[i]->key, name))
    i++;
  if (i == FC_SUBSET_LISTS_MAX)
    return false;
  if (!lists[i])
    {
      lists[i] = create_node (parser, FC_TOML_ARRAY, name);
      lists[i]->source = parser->table->source;
      if (!insert_child (parser->root, lists[i]))
        return false;
    }
  append_element (lists[i], last[i], parser->table);
  last[i] = parser->table;
  return true;
}

bool
fc_parse_toml_subset (fb_str_t text, fc_create_node_fn_t create, void *user)
{
  parser_t parser = { text.data, text.data + text.len, 1, create, user, NULL, NULL };
  fc_toml_t *lists[FC_SUBSET_LISTS_MAX] = { NULL };
  fc_toml_t *last[FC_SUBSET_LISTS_MAX] = { NULL };

  parser.root = create_node (&parser, FC_TOML_TABLE, (fb_str_t){ "", 0 });
  parser.table = parser.root;
  for (; parser.position < parser.end; parser.line++)
    {
      if (*parser.position != '\n'
          && !(*parser.position == '[' ? parse_header (&parser, lists, last)
                                       : parse_pair (&parser)))
        return false;
      skip_blanks (&parser);
      if (parser.position < parser.end && !skip_char (&parser, '\n'))
        return false;
    }
  return true;
}
