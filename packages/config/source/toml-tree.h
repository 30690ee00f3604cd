/* A parsed TOML document as a C tree; the interface to the C++ parser. */
#ifndef FOXTAILRUN_CONFIG_TOML_TREE_H
#define FOXTAILRUN_CONFIG_TOML_TREE_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/config/limits.h>
#include <foxtailrun/config/problem.h>
#include <glib.h>

typedef enum
{
  FC_TOML_TABLE,
  FC_TOML_ARRAY,
  FC_TOML_STRING,
  FC_TOML_INTEGER,
  FC_TOML_FLOAT,
  FC_TOML_BOOLEAN,
  FC_TOML_TIME /* date, time or both */
} fc_toml_kind_t;

/* One value; all memory is owned by the document. */
typedef struct fc_toml fc_toml_t;

struct fc_toml
{
  fc_toml_kind_t kind;
  uint32_t line;   /* from 1; 0 when unknown */
  fb_str_t key;    /* name in the parent table; empty in an array */
  fb_str_t source; /* text of the value */
  fb_str_t text;   /* FC_TOML_STRING, with escapes decoded */
  int64_t integer; /* FC_TOML_INTEGER, clamped when out of range; FC_TOML_BOOLEAN as 0 or 1 */
  double number;   /* FC_TOML_INTEGER and FC_TOML_FLOAT */
  size_t count;    /* children of a table or an array */
  const fc_toml_t *child; /* first child */
  const fc_toml_t *next;  /* next child of the parent */
};

typedef struct fc_toml_document fc_toml_document_t;

/* Parses TEXT, which must outlive the result and have passed fc_scan_toml. NULL with the
 * first syntax error added to PROBLEMS; throws no C++ exception. */
fc_toml_document_t *fc_parse_toml (fb_str_t text, fc_problems_t *problems);

/* Same with toml11 only, which fc_parse_toml uses for text outside fc_parse_toml_subset. */
fc_toml_document_t *fc_parse_toml_library (fb_str_t text, fc_problems_t *problems);

/* Returns the top-level table. */
const fc_toml_t *fc_get_toml_root (const fc_toml_document_t *document);

/* Frees the document; NULL is allowed. */
void fc_destroy_toml (fc_toml_document_t *document);

/* Returns false with a problem added when TEXT is not UTF-8, or its nesting, line length or
 * number of values could exhaust the parser's stack or memory or take quadratic time. */
bool fc_scan_toml (fb_str_t text, fc_problems_t *problems);

/* A line starting with "[" outside strings, comments and arrays. */
typedef struct
{
  uint32_t offset; /* of the line, in bytes */
  uint32_t line;   /* from 1 */
} fc_header_t;

typedef struct
{
  GArray *items;  /* fc_header_t, created by the caller */
  bool divisible; /* false when a multi-line string, carriage return or indented header
                   * prevents splitting at headers */
} fc_headers_t;

/* As fc_scan_toml, within LIMITS; appends the table headers of TEXT, less than 4 GB, to
 * HEADERS, which may be NULL. */
bool fc_scan_headers (fb_str_t text, const fc_limits_t *limits, fc_problems_t *problems,
                      fc_headers_t *headers);

#endif
