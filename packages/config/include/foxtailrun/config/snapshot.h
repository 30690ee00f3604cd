/* Snapshots: checked, immutable configuration documents. */
#ifndef FOXTAILRUN_CONFIG_SNAPSHOT_H
#define FOXTAILRUN_CONFIG_SNAPSHOT_H

#include "limits.h"
#include "problem.h"
#include <foxtailrun/base/string.h>

/* Limits of documents that operators write. */
#define FC_DOCUMENT_MAX (1024 * 1024)
#define FC_SERVICES_MAX 1000
#define FC_ROUTES_MAX 8000
#define FC_SLOTS_MAX 10000 /* of an instance */
#define FC_CUSTOMERS_MAX 4000
#define FC_OBJECTIVES_MAX 4000

/* Limit of translated documents: a configuration of 1 MB (2^20 bytes) has at most 11 times as
 * many, when it consists of services with short names that no document takes. */
#define FC_TRANSLATION_MAX (16 * 1024 * 1024)

/* Limit of both. */
#define FC_RANKS_MAX 16

typedef struct
{
  fb_name_t name;
  uint32_t order;     /* 0 is the most urgent */
  uint32_t target_ms; /* latency target */
  double worth;       /* relative worth of one call answered within its target */
  double share;       /* guaranteed fraction of slot time, 0 to 1 */
} fc_rank_t;

typedef struct
{
  fb_name_t name;
  uint32_t slots;       /* maximum number of concurrent calls of an instance */
  uint32_t connections; /* maximum number of concurrent connections of an instance */
  fb_str_t health;      /* path of health checks; empty for none */
  uint32_t warmup_ms;   /* how long an instance is usually cold after its start */
  double warmup_rate;   /* requests per second that a cold instance tolerates; 0: instances
                           are never treated as cold */
  const uint32_t *depends_on; /* indexes of services */
  size_t depends_count;
} fc_service_t;

/* One of the services that share a route's calls. */
typedef struct
{
  uint32_t service; /* index */
  uint32_t weight;  /* relative to the weights of the other parts */
} fc_part_t;

typedef struct
{
  fb_name_t name;
  fb_str_t host;    /* host of the request; empty for every host */
  fb_str_t path;    /* prefix, starts with "/" */
  bool below;       /* matches only paths that continue with a "/" after the prefix */
  fb_str_t methods; /* methods joined by commas, such as "GET,POST"; empty for all */
  uint32_t service; /* index; that of the first part when there are parts */
  uint32_t rank;    /* index */
  uint32_t timeout_ms;
  uint32_t target_ms; /* latency target; 0 for that of the rank */
  uint32_t retries;   /* maximum number of attempts after the first */
  bool repeatable;    /* false: runs at most once */
  bool ticket;        /* a call that is not repeatable requires a ticket from the node that runs
                         it; if false, the entry node sends each request at most once */
  bool hedge;         /* a second attempt may start beside a slow first one, if repeatable */
  const fc_part_t *parts;
  size_t part_count;
} fc_route_t;

typedef struct
{
  fb_name_t name;
  double weight; /* within a rank, relative to the default of 1 */
} fc_customer_t;

typedef struct
{
  uint32_t service; /* index */
  uint32_t rank;    /* index */
  uint32_t target_ms;
  double ratio; /* fraction of calls to be answered within the target, 0 to 1 */
} fc_objective_t;

typedef struct fc_snapshot fc_snapshot_t;

/* Parses and checks DOCUMENT, which an operator wrote. Returns a snapshot with one reference,
 * or NULL with every problem added to PROBLEMS, which may be NULL. Only this and
 * fc_check_change create snapshots, so that every index is valid. */
fc_snapshot_t *fc_check_document (fb_bytes_t document, fc_problems_t *problems);

/* As fc_check_document, but against LIMITS, and parses only the sections that differ from BASE
 * when they are at most half of the text. BASE is borrowed, was checked against the same limits
 * and may be NULL. */
fc_snapshot_t *fc_check_change (fc_snapshot_t *base, fb_bytes_t document,
                                const fc_limits_t *limits, fc_problems_t *problems);

/* Adds a reference and returns SNAPSHOT; thread-safe. */
fc_snapshot_t *fc_retain_snapshot (fc_snapshot_t *snapshot);

/* Removes a reference; frees SNAPSHOT with the last; thread-safe. NULL is allowed. */
void fc_release_snapshot (fc_snapshot_t *snapshot);

/* Returns the publisher's version number. */
uint64_t fc_get_version_number (const fc_snapshot_t *snapshot);

/* Returns the idle timeout of callers' connections, in ms. */
uint32_t fc_get_idle_timeout_ms (const fc_snapshot_t *snapshot);

/* Returns the text of the document; owned by the snapshot. */
fb_bytes_t fc_get_document (const fc_snapshot_t *snapshot);

size_t fc_count_ranks (const fc_snapshot_t *snapshot);
size_t fc_count_services (const fc_snapshot_t *snapshot);
size_t fc_count_routes (const fc_snapshot_t *snapshot);
size_t fc_count_customers (const fc_snapshot_t *snapshot);
size_t fc_count_objectives (const fc_snapshot_t *snapshot);

/* Each returns element INDEX, owned by the snapshot, or NULL when out of range; ranks are
 * sorted by urgency. */
const fc_rank_t *fc_get_rank (const fc_snapshot_t *snapshot, size_t index);
const fc_service_t *fc_get_service (const fc_snapshot_t *snapshot, size_t index);
const fc_route_t *fc_get_route (const fc_snapshot_t *snapshot, size_t index);
const fc_customer_t *fc_get_customer (const fc_snapshot_t *snapshot, size_t index);
const fc_objective_t *fc_get_objective (const fc_snapshot_t *snapshot, size_t index);

/* Returns rank or service NAME, owned by the snapshot, or NULL, and its index in *INDEX;
 * INDEX may be NULL. */
const fc_rank_t *fc_find_rank (const fc_snapshot_t *snapshot, fb_str_t name, uint32_t *index);
const fc_service_t *fc_find_service (const fc_snapshot_t *snapshot, fb_str_t name,
                                     uint32_t *index);

/* Returns HOST's route with the longest prefix of PATH (a query after "?" is ignored) that
 * allows METHOD, or NULL. Prefixes match complete segments, empty ones too. Routes without a
 * host are searched when HOST, which may be empty, has no match. */
const fc_route_t *fc_find_route (const fc_snapshot_t *snapshot, fb_str_t host, fb_str_t method,
                                 fb_str_t path);

/* Returns the weight of customer NAME, or 1 when not listed. */
double fc_get_customer_weight (const fc_snapshot_t *snapshot, fb_str_t name);

#endif
