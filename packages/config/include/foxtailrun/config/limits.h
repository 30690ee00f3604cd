/* Limits that a document is checked against, by its origin. */
#ifndef FOXTAILRUN_CONFIG_LIMITS_H
#define FOXTAILRUN_CONFIG_LIMITS_H

#include "schema.h"

typedef struct
{
  const fc_schema_t *schema;
  size_t document_bytes;
  size_t line_bytes; /* of one line, without its end */
  size_t values;     /* of all tables and arrays */
  size_t services;
  size_t routes;
} fc_limits_t;

/* Returns the limits of documents and settings that operators write; static. */
const fc_limits_t *fc_get_document_limits (void);

/* Returns the limits of documents that are translated from a platform's configuration: whatever
 * the platform allows is within them; static. */
const fc_limits_t *fc_get_translation_limits (void);

#endif
