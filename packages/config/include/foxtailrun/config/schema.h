/* Keys of configuration document and settings file; the checks, the schema command and the
 * configuration reference use the same tables. */
#ifndef FOXTAILRUN_CONFIG_SCHEMA_H
#define FOXTAILRUN_CONFIG_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  FC_TYPE_NAME,         /* string of 1 to FB_NAME_MAX letters, digits, ".", "_" or "-" */
  FC_TYPE_REFERENCE,    /* name of another element */
  FC_TYPE_PATH,         /* string that starts with "/" */
  FC_TYPE_REQUEST_PATH, /* path of a request, with an optional query; may be empty */
  FC_TYPE_INTEGER,
  FC_TYPE_NUMBER, /* integer or float */
  FC_TYPE_BOOLEAN,
  FC_TYPE_REFERENCES,        /* array of names of other elements */
  FC_TYPE_METHODS,           /* array of HTTP methods */
  FC_TYPE_WEIGHTED_SERVICES, /* array of "NAME=WEIGHT" with names of services */
  FC_TYPE_HOST,              /* host name with an optional port; may be empty */
  FC_TYPE_ADDRESS,           /* numeric IP address */
  FC_TYPE_SOCKET_ADDRESSES,  /* array of "IP:PORT" */
  FC_TYPE_CHOICE,            /* one of the strings listed in ALLOWED */
  FC_TYPE_ADMIN_KEY,         /* string of printable ASCII characters without spaces */
  /* In translated documents only, of any length. */
  FC_TYPE_TEXT,            /* any string but an empty one */
  FC_TYPE_ANY_PATH,        /* string that starts with "/" */
  FC_TYPE_ANY_REQUEST_PATH /* as FC_TYPE_REQUEST_PATH */
} fc_type_t;

/* Definition of one key. */
typedef struct
{
  const char *section; /* name of the table; "" for the top level */
  const char *key;
  fc_type_t type;
  const char *unit;         /* "" when there is none */
  const char *default_text; /* default as text; NULL when the key is required */
  double min;               /* of integers and numbers, inclusive */
  double max;               /* of integers and numbers, inclusive */
  const char *allowed;      /* allowed values; NULL for integers and numbers */
  const char *meaning;      /* one phrase */
} fc_field_t;

/* Fields of a file; those of one section are adjacent. */
typedef struct
{
  const fc_field_t *fields;
  size_t count;
  bool repeated; /* sections are arrays of tables, [[section]] */
} fc_schema_t;

/* Returns the static schema of the configuration document. */
const fc_schema_t *fc_get_document_schema (void);

/* Returns the static schema of documents that are translated from a platform's configuration.
 * It has the same keys with wider limits. */
const fc_schema_t *fc_get_translation_schema (void);

/* Returns the static schema of the settings file. */
const fc_schema_t *fc_get_settings_schema (void);

/* Returns the name of TYPE, such as "integer"; static. */
const char *fc_describe_type (fc_type_t type);

/* Returns the allowed values of FIELD, such as "an integer from 0 to 3"; free with g_free. */
char *fc_describe_allowed (const fc_field_t *field);

#endif
