/* Check of one table, called row, against its section of a schema. */
#ifndef FOXTAILRUN_CONFIG_CHECK_ROW_H
#define FOXTAILRUN_CONFIG_CHECK_ROW_H

#include "toml-tree.h"
#include <foxtailrun/config/schema.h>

/* Maximum number of keys in a section. */
#define FC_ROW_KEYS_MAX 16

/* Enough bytes for "section[index]" with a NUL. */
#define FC_ROW_PATH_SIZE 64

/* The checked value of a key, or its default. */
typedef struct
{
  const fc_field_t *field;
  const fc_toml_t *node; /* NULL when the key is omitted or its value is invalid */
  uint64_t integer;      /* FC_TYPE_INTEGER; FC_TYPE_BOOLEAN as 0 or 1 */
  double number;         /* FC_TYPE_NUMBER */
  fb_str_t text;         /* types that are strings */
} fc_value_t;

typedef struct
{
  const fc_toml_t *table; /* NULL when the table is omitted */
  char path[FC_ROW_PATH_SIZE];
  fc_value_t values[FC_ROW_KEYS_MAX];
  size_t count;
} fc_row_t;

/* Checks TABLE, called PATH in problems, against SECTION of SCHEMA and stores its values in
 * ROW; invalid ones are added to PROBLEMS and replaced by the default. Array elements are
 * only checked to be strings; see fc_next_string. At the top level, path "", sections must
 * be tables. */
void fc_check_row (fc_row_t *row, const fc_schema_t *schema, const char *section,
                   const char *path, const fc_toml_t *table, fc_problems_t *problems);

/* Returns the value of KEY, which must be in the schema; owned by ROW. */
const fc_value_t *fc_get_value (const fc_row_t *row, const char *key);

/* Returns the string after NODE (NULL: the first) of LIST, an array that may be omitted;
 * NULL after the last. */
const fc_toml_t *fc_next_string (const fc_value_t *list, const fc_toml_t *node);

/* Returns the child of TABLE called KEY, or NULL; TABLE may be NULL. */
const fc_toml_t *fc_find_child (const fc_toml_t *table, const char *key);

/* Adds a problem at KEY of ROW; ALLOWED may be NULL for the field's allowed values. */
void fc_add_key_problem (fc_problems_t *problems, const fc_row_t *row, const char *key,
                         const char *found, const char *allowed);

/* Adds a problem at KEY of ROW quoting NODE, the value or an array element. */
void fc_add_node_problem (fc_problems_t *problems, const fc_row_t *row, const char *key,
                          const fc_toml_t *node, const char *allowed);

/* Returns the first line of NODE's source, truncated; free with g_free. */
char *fc_quote_node (const fc_toml_t *node);

#endif
