/* Check of one table against its section of a schema. */
#ifndef FOXTAILRUN_CONFIG_CHECK_ROW_H
#define FOXTAILRUN_CONFIG_CHECK_ROW_H

#include "toml-tree.h"
#include <foxtailrun/config/schema.h>

/* Most keys in one section. */
#define FC_ROW_MAX 16

/* Enough bytes for "section[index]". */
#define FC_ROW_PATH_MAX 64

/* One checked value, or its default. */
typedef struct
{
  const fc_field_t *field;
  const fc_toml_t *node; /* NULL when the key is left out or its value was reported */
  uint64_t integer;      /* FC_TYPE_INTEGER; FC_TYPE_BOOLEAN as 0 or 1 */
  double number;         /* FC_TYPE_NUMBER */
  fb_str_t text;         /* the types that are strings; empty when reported */
} fc_value_t;

typedef struct
{
  const fc_toml_t *table; /* may be NULL: every key is left out */
  char path[FC_ROW_PATH_MAX];
  fc_value_t values[FC_ROW_MAX];
  size_t count;
} fc_row_t;

/* Checks TABLE, called PATH in messages, against SECTION of SCHEMA and fills ROW; what is wrong
 * is added to PROBLEMS and left at its default. Elements of arrays are only checked to be
 * strings; see fc_next_string. At the top level, whose path is "", the sections are checked to
 * be tables. */
void fc_check_row (fc_row_t *row, const fc_schema_t *schema, const char *section,
                   const char *path, const fc_toml_t *table, fc_problems_t *problems);

/* Returns the value of KEY, which must be in the schema; owned by ROW. */
const fc_value_t *fc_get_value (const fc_row_t *row, const char *key);

/* Steps through the strings of LIST, an array value that may be left out; NODE starts as NULL.
 */
const fc_toml_t *fc_next_string (const fc_value_t *list, const fc_toml_t *node);

/* Returns the child of TABLE called KEY, or NULL; TABLE may be NULL. */
const fc_toml_t *fc_find_child (const fc_toml_t *table, const char *key);

/* Adds a problem at KEY of ROW; ALLOWED NULL stands for the field's own text. */
void fc_add_row_problem (fc_problems_t *problems, const fc_row_t *row, const char *key,
                         const char *found, const char *allowed);

/* Adds a problem at KEY of ROW for the array element or value NODE as written. */
void fc_add_node_problem (fc_problems_t *problems, const fc_row_t *row, const char *key,
                          const fc_toml_t *node, const char *allowed);

/* Returns NODE as written, shortened to one line; free with g_free. */
char *fc_quote_node (const fc_toml_t *node);

#endif
