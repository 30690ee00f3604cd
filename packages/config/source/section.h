/* Sections of a document's text, split at its [[...]] headers. */
#ifndef FOXTAILRUN_CONFIG_SECTION_H
#define FOXTAILRUN_CONFIG_SECTION_H

#include "toml-tree.h"
#include <glib.h>

/* Number of section kinds. */
#define FC_SECTION_KINDS 5

typedef enum
{
  FC_SECTION_RANK,
  FC_SECTION_SERVICE,
  FC_SECTION_ROUTE,
  FC_SECTION_CUSTOMER,
  FC_SECTION_OBJECTIVE
} fc_section_kind_t;

/* A table: its header and all lines up to the next. */
typedef struct
{
  uint64_t hash;    /* xxHash64 of the text */
  uint32_t offset;  /* of the first byte in the document */
  uint32_t length;  /* bytes */
  uint32_t line;    /* of the header, from 1 */
  uint32_t kind;    /* fc_section_kind_t */
  uint32_t element; /* index of the table's element in the snapshot */
} fc_section_t;

/* Returns the name of KIND in a header, such as "rank"; static. */
const char *fc_get_section_name (uint32_t kind);

/* Splits TEXT, for which fc_scan_headers stored HEADERS. Returns the sections
 * (fc_section_t), to be released with g_array_unref, or NULL when HEADERS is not divisible
 * or a header line is anything but "[[kind]]", blanks and a comment. */
GArray *fc_split_sections (fb_str_t text, const fc_headers_t *headers);

#endif
