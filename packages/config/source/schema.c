/* Schemas of configuration document and settings file. */
#include <foxtailrun/base/string.h>
#include <foxtailrun/config/schema.h>
#include <foxtailrun/config/settings.h>
#include <foxtailrun/config/snapshot.h>
#include <glib.h>
#include <stdint.h>
#include <string.h>

#define NAME_TEXT "a name of 1 to 47 letters, digits, '.', '_' or '-'"
#define ADDRESS_TEXT "a numeric IP address"
#define HOST_TEXT "a host name of at most 255 bytes, with a port if callers send one"
#define PATH_TEXT                                                                              \
  "\"/\" or a path of at most 255 bytes and 32 segments, each preceded by \"/\", without "     \
  "spaces, '?' or '#'"
#define REQUEST_PATH_TEXT                                                                      \
  "a path of at most 255 printable ASCII characters that starts with \"/\", without spaces, "  \
  "quotes, backslashes or '#'"
#define METHODS_TEXT "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, each at most once"
#define PORT_MAX 65535

/* Largest integer that every JSON parser represents exactly. */
#define VERSION_MAX 9007199254740991.0

static const fc_field_t document_fields[] = {
  { "", "version", FC_TYPE_INTEGER, "", NULL, 1, VERSION_MAX, NULL,
    "version number of the document, increased with each publication" },
  { "", "idle_ms", FC_TYPE_INTEGER, "ms", "10000", 100, 3600000, NULL,
    "time for which a caller's connection may stay idle" },

  { "rank", "name", FC_TYPE_NAME, "", NULL, 0, 0, NAME_TEXT, "name of the rank" },
  { "rank", "order", FC_TYPE_INTEGER, "", NULL, 0, 99, NULL, "urgency; 0 is the most urgent" },
  { "rank", "target_ms", FC_TYPE_INTEGER, "ms", "1000", 1, 3600000, NULL, "latency target" },
  { "rank", "worth", FC_TYPE_NUMBER, "", "1", 0, 1000000, NULL,
    "relative worth of one call answered within its target" },
  { "rank", "share", FC_TYPE_NUMBER, "fraction of slot time", "0", 0, 1, NULL,
    "guaranteed fraction of slot time; the sum over all ranks is at most 1" },

  { "service", "name", FC_TYPE_NAME, "", NULL, 0, 0, NAME_TEXT, "name of the service" },
  { "service", "slots", FC_TYPE_INTEGER, "calls", NULL, 1, FC_SLOTS_MAX, NULL,
    "maximum number of concurrent calls of an instance" },
  { "service", "connections", FC_TYPE_INTEGER, "connections", NULL, 1, 100000, NULL,
    "maximum number of concurrent connections of an instance" },
  { "service", "depends_on", FC_TYPE_REFERENCES, "", "[]", 0, 0, "names of other services",
    "services that this one calls" },
  { "service", "health", FC_TYPE_REQUEST_PATH, "", "", 0, 0, REQUEST_PATH_TEXT,
    "path of health checks; required with warmup_rate" },
  { "service", "warmup_ms", FC_TYPE_INTEGER, "ms", "0", 0, 3600000, NULL,
    "how long an instance is usually cold after its start" },
  { "service", "warmup_rate", FC_TYPE_NUMBER, "requests per second", "0", 0, 1000000, NULL,
    "requests that a cold instance tolerates, health checks included; 0 when its instances are never "
    "cold" },

  { "route", "name", FC_TYPE_NAME, "", NULL, 0, 0, NAME_TEXT, "name of the route" },
  { "route", "host", FC_TYPE_HOST, "", "", 0, 0, HOST_TEXT,
    "host of the request; every host when left out" },
  { "route", "path", FC_TYPE_PATH, "", NULL, 0, 0, PATH_TEXT,
    "prefix of the request path, matched by complete segments" },
  { "route", "below", FC_TYPE_BOOLEAN, "", "false", 0, 0, "true or false",
    "whether only paths match that continue with a \"/\" after the prefix" },
  { "route", "methods", FC_TYPE_METHODS, "", "[]", 0, 0, METHODS_TEXT,
    "methods of the route; none listed means every method" },
  { "route", "service", FC_TYPE_REFERENCE, "", NULL, 0, 0, "the name of a service",
    "service that runs the calls" },
  { "route", "parts", FC_TYPE_WEIGHTED_SERVICES, "", "[]", 0, 0,
    "\"NAME=WEIGHT\", each with a different service and a weight from 1 to 1000000",
    "services among which the calls are split by weight; takes precedence over service" },
  { "route", "rank", FC_TYPE_REFERENCE, "", NULL, 0, 0, "the name of a rank",
    "rank of the calls" },
  { "route", "timeout_ms", FC_TYPE_INTEGER, "ms", "1000", 1, 600000, NULL,
    "timeout of a call, including all its attempts" },
  { "route", "target_ms", FC_TYPE_INTEGER, "ms", "0", 0, 3600000, NULL,
    "latency target; 0 for that of the rank" },
  { "route", "repeatable", FC_TYPE_BOOLEAN, "", "false", 0, 0, "true or false",
    "whether a call may run more than once" },
  { "route", "ticket", FC_TYPE_BOOLEAN, "", "true", 0, 0, "true or false",
    "whether a call that is not repeatable requires a ticket; if false, the entry node sends each "
    "request at most once" },
  { "route", "hedge", FC_TYPE_BOOLEAN, "", "false", 0, 0, "true or false",
    "whether a second attempt may start beside a slow first one; needs repeatable and retries" },
  { "route", "retries", FC_TYPE_INTEGER, "attempts", "1", 0, 3, NULL,
    "maximum number of attempts after the first" },

  { "customer", "name", FC_TYPE_NAME, "", NULL, 0, 0, NAME_TEXT, "name of the customer" },
  { "customer", "weight", FC_TYPE_NUMBER, "", "1", 0.01, 1000, NULL,
    "weight within a rank, relative to 1 for customers that are not listed" },

  { "objective", "service", FC_TYPE_REFERENCE, "", NULL, 0, 0, "the name of a service",
    "service that the objective applies to" },
  { "objective", "rank", FC_TYPE_REFERENCE, "", NULL, 0, 0, "the name of a rank",
    "rank that the objective applies to" },
  { "objective", "target_ms", FC_TYPE_INTEGER, "ms", NULL, 1, 3600000, NULL, "latency target" },
  { "objective", "ratio", FC_TYPE_NUMBER, "fraction of calls", NULL, 0, 1, NULL,
    "fraction of calls to be answered within the target" },
};

static const fc_field_t settings_fields[] = {
  { "node", "id", FC_TYPE_NAME, "", NULL, 0, 0, NAME_TEXT, "unique name of the node" },
  { "node", "zone", FC_TYPE_NAME, "", NULL, 0, 0, NAME_TEXT, "availability zone" },
  { "node", "region", FC_TYPE_NAME, "", NULL, 0, 0, NAME_TEXT, "region of the zone" },
  { "node", "service", FC_TYPE_NAME, "", "", 0, 0, NAME_TEXT,
    "service of the node's backend server; none when left out" },

  { "listen", "address", FC_TYPE_ADDRESS, "", NULL, 0, 0,
    ADDRESS_TEXT " that other nodes reach, not 0.0.0.0 or ::", "address of the node" },
  { "listen", "caller_port", FC_TYPE_INTEGER, "", "7400", 1, PORT_MAX, NULL,
    "TCP port for HTTP requests from callers" },
  { "listen", "call_port", FC_TYPE_INTEGER, "", "7401", 1, PORT_MAX, NULL,
    "TCP port for calls from other nodes" },
  { "listen", "control_port", FC_TYPE_INTEGER, "", "7402", 1, PORT_MAX, NULL,
    "UDP and TCP port for membership and distribution" },
  { "listen", "admin_port", FC_TYPE_INTEGER, "", "7403", 1, PORT_MAX, NULL,
    "TCP port for HTTP administration" },

  { "listen", "ready_port", FC_TYPE_INTEGER, "", "0", 0, PORT_MAX, NULL,
    "TCP port that answers every HTTP request with 200 when the node is ready, otherwise with 503; "
    "0 for none" },
  { "listen", "pipeline_requests", FC_TYPE_INTEGER, "requests",
    G_STRINGIFY (FC_PIPELINE_REQUESTS_DEFAULT), 1, 1024, NULL,
    "unanswered requests of one caller's connection; at the limit it is not read further" },
  { "listen", "pipeline_bytes", FC_TYPE_INTEGER, "bytes",
    G_STRINGIFY (FC_PIPELINE_BYTES_DEFAULT), 16384, 67108864, NULL,
    "bytes held for the unanswered requests of one caller's connection and their responses; at "
    "the limit it is not read further" },

  { "memory", "budget_bytes", FC_TYPE_INTEGER, "bytes", G_STRINGIFY (FC_MEMORY_BUDGET_DEFAULT),
    8388608, 1099511627776.0, NULL,
    "memory for requests and responses of all connections; when it is short, large ones wait, are "
    "refused or closed" },
  { "memory", "descriptors", FC_TYPE_INTEGER, "descriptors", "0", 0, 1048576, NULL,
    "descriptors that connections may use, at least 64; 0 for those that the system allows the "
    "process" },
  { "memory", "header_timeout_ms", FC_TYPE_INTEGER, "ms",
    G_STRINGIFY (FC_HEADER_TIMEOUT_MS_DEFAULT), 100, 3600000, NULL,
    "time within which the head of a request must arrive, from its first byte on" },
  { "memory", "body_window_ms", FC_TYPE_INTEGER, "ms", G_STRINGIFY (FC_BODY_WINDOW_MS_DEFAULT),
    100, 3600000, NULL, "time within which a request body must make progress" },
  { "memory", "response_window_ms", FC_TYPE_INTEGER, "ms",
    G_STRINGIFY (FC_RESPONSE_WINDOW_MS_DEFAULT), 100, 3600000, NULL,
    "time within which the caller must take a part of its response" },
  { "memory", "progress_bytes", FC_TYPE_INTEGER, "bytes",
    G_STRINGIFY (FC_PROGRESS_BYTES_DEFAULT), 1, 65536, NULL,
    "least bytes in such a time that count as progress" },

  { "drain", "limit_ms", FC_TYPE_INTEGER, "ms", "120000", 1000, 3600000, NULL,
    "time limit of a graceful shutdown; calls still open after it are cut" },

  { "hedge", "budget_share", FC_TYPE_NUMBER, "fraction of the retry budget", "0", 0, 1, NULL,
    "fraction of the retry budget that second attempts beside slow first ones may use; 0 for "
    "none" },

  { "backend", "address", FC_TYPE_ADDRESS, "", "127.0.0.1", 0, 0, ADDRESS_TEXT,
    "address of the backend server" },
  { "backend", "port", FC_TYPE_INTEGER, "", "0", 1, PORT_MAX, NULL,
    "HTTP port of the backend server; required with node.service" },
  { "backend", "limit_burst_ms", FC_TYPE_INTEGER, "ms", G_STRINGIFY (FC_LIMIT_BURST_MS_DEFAULT),
    0, 1000, NULL,
    "under a rate limit that the backend server names, calls of this time at the limit, at least "
    "one, may start at once after a pause" },
  { "backend", "warmup_overage", FC_TYPE_NUMBER, "", "1", 0.1, FC_WARMUP_OVERAGE_MAX, NULL,
    "factor by which the requests to a cold backend server may exceed the service's warmup_rate" },
  { "backend", "warmup_tolerance", FC_TYPE_NUMBER, "requests per second", "0", 0,
    FC_WARMUP_TOLERANCE_MAX, NULL,
    "requests beyond that which a cold backend server tolerates; left as a margin for delays in "
    "transit" },
  { "backend", "pace", FC_TYPE_BOOLEAN, "", "false", 0, 0, "true or false",
    "whether a backend server that has started or recovered gets calls at the pace that its "
    "responses allow; only when all nodes run a build that knows this key" },

  { "platform", "address", FC_TYPE_ADDRESS, "", "127.0.0.1", 0, 0, ADDRESS_TEXT,
    "address of the platform's configuration service and host list" },
  { "platform", "port", FC_TYPE_INTEGER, "", "0", 1, PORT_MAX, NULL,
    "HTTP port of the platform; required with [platform]" },

  { "seeds", "nodes", FC_TYPE_SOCKET_ADDRESSES, "", "[]", 0, 0,
    "at most 32 different \"IP:PORT\" or \"[IPv6]:PORT\"",
    "control addresses of nodes through which to join" },

  { "admin", "key", FC_TYPE_ADMIN_KEY, "", "", 0, 0,
    "a key of 8 to 47 printable ASCII characters without spaces",
    "key for admin requests that change state; they are refused when it is left out" },

  { "log", "level", FC_TYPE_CHOICE, "", "info", 0, 0, "debug, info, warning, error",
    "lowest level that is logged" },
  { "log", "format", FC_TYPE_CHOICE, "", "logfmt", 0, 0, "logfmt, json",
    "format of the log lines" },
};

const fc_schema_t *
fc_get_document_schema (void)
{
  static const fc_schema_t schema = { document_fields, G_N_ELEMENTS (document_fields), true };

  return &schema;
}

/* Replaces the fields of SCHEMA that have the keys of WIDER. */
static void
replace_fields (fc_field_t *fields, size_t count, const fc_field_t *wider, size_t wider_count)
{
  for (size_t i = 0; i < wider_count; i++)
    for (size_t j = 0; j < count; j++)
      if (strcmp (fields[j].section, wider[i].section) == 0
          && strcmp (fields[j].key, wider[i].key) == 0)
        fields[j] = wider[i];
}

const fc_schema_t *
fc_get_translation_schema (void)
{
  static const fc_field_t wider[] = {
    { "service", "health", FC_TYPE_ANY_REQUEST_PATH, "", "", 0, 0,
      "a path of printable ASCII characters that starts with \"/\", without spaces, quotes, "
      "backslashes or '#'",
      "path of health checks; required with warmup_rate" },
    { "", "version", FC_TYPE_INTEGER, "", NULL, 1, 9223372036854775807.0, NULL,
      "version number of the document, increased with each publication" },
    { "", "idle_ms", FC_TYPE_INTEGER, "ms", "10000", 100, UINT32_MAX, NULL,
      "time for which a caller's connection may stay idle" },
    { "service", "warmup_ms", FC_TYPE_INTEGER, "ms", "0", 0, UINT32_MAX, NULL,
      "how long an instance is usually cold after its start" },
    { "route", "timeout_ms", FC_TYPE_INTEGER, "ms", "1000", 1, UINT32_MAX, NULL,
      "timeout of a call, including all its attempts" },
    { "route", "host", FC_TYPE_TEXT, "", "", 0, 0, "a text", "host of the request" },
    { "route", "path", FC_TYPE_ANY_PATH, "", NULL, 0, 0, "a text that starts with \"/\"",
      "prefix of the request path, matched by complete segments" },
  };
  static fc_field_t fields[G_N_ELEMENTS (document_fields)];
  static const fc_schema_t schema = { fields, G_N_ELEMENTS (fields), true };

  if (!fields[0].section)
    {
      memcpy (fields, document_fields, sizeof fields);
      replace_fields (fields, G_N_ELEMENTS (fields), wider, G_N_ELEMENTS (wider));
    }
  return &schema;
}

const fc_schema_t *
fc_get_settings_schema (void)
{
  static const fc_schema_t schema = { settings_fields, G_N_ELEMENTS (settings_fields), false };

  return &schema;
}

const char *
fc_describe_type (fc_type_t type)
{
  switch (type)
    {
    case FC_TYPE_NAME:
    case FC_TYPE_REFERENCE:
    case FC_TYPE_PATH:
    case FC_TYPE_REQUEST_PATH:
    case FC_TYPE_ADDRESS:
    case FC_TYPE_CHOICE:
    case FC_TYPE_ADMIN_KEY:
    case FC_TYPE_HOST:
    case FC_TYPE_TEXT:
    case FC_TYPE_ANY_PATH:
    case FC_TYPE_ANY_REQUEST_PATH:
      return "string";
    case FC_TYPE_INTEGER:
      return "integer";
    case FC_TYPE_NUMBER:
      return "number";
    case FC_TYPE_BOOLEAN:
      return "boolean";
    case FC_TYPE_REFERENCES:
    case FC_TYPE_METHODS:
    case FC_TYPE_WEIGHTED_SERVICES:
    case FC_TYPE_SOCKET_ADDRESSES:
      return "array of strings";
    }
  return "unknown";
}

char *
fc_describe_allowed (const fc_field_t *field)
{
  switch (field->type)
    {
    case FC_TYPE_INTEGER:
      return g_strdup_printf ("an integer from %.0f to %.0f", field->min, field->max);
    case FC_TYPE_NUMBER:
      return g_strdup_printf ("a number from %.10g to %.10g", field->min, field->max);
    case FC_TYPE_REFERENCES:
    case FC_TYPE_METHODS:
    case FC_TYPE_WEIGHTED_SERVICES:
    case FC_TYPE_SOCKET_ADDRESSES:
      return g_strdup_printf ("an array of %s", field->allowed);
    case FC_TYPE_CHOICE:
      return g_strdup_printf ("one of %s", field->allowed);
    default:
      return g_strdup (field->allowed);
    }
}
