/* Settings of one node. */
#ifndef FOXTAILRUN_CONFIG_SETTINGS_H
#define FOXTAILRUN_CONFIG_SETTINGS_H

#include "problem.h"
#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/log.h>
#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>

#define FC_SEEDS_MAX 32

/* Defaults of the limits of one caller's connection. */
#define FC_PIPELINE_REQUESTS_DEFAULT 32
#define FC_PIPELINE_BYTES_DEFAULT 262144
#define FC_LIMIT_BURST_MS_DEFAULT 500

/* Limits of the settings for cold backend servers. */
#define FC_WARMUP_OVERAGE_MAX 100
#define FC_WARMUP_TOLERANCE_MAX 1000000

/* Defaults of [memory]. The times are well above those of callers on slow hosts and on links
 * that lose packets. */
#define FC_MEMORY_BUDGET_DEFAULT 67108864
#define FC_HEADER_TIMEOUT_MS_DEFAULT 10000
#define FC_BODY_WINDOW_MS_DEFAULT 10000
#define FC_RESPONSE_WINDOW_MS_DEFAULT 30000
#define FC_PROGRESS_BYTES_DEFAULT 1024

/* Least number of descriptors that connections can work with. */
#define FC_DESCRIPTORS_MIN 64

typedef struct
{
  fb_name_t address; /* numeric IP */
  uint16_t port;     /* 0 when not set */
} fc_socket_address_t;

/* The TOML tables and keys are [node] id, zone, region, service; [listen] address, caller_port,
 * call_port, control_port, admin_port, ready_port, pipeline_requests, pipeline_bytes; [memory]
 * budget_bytes, descriptors, header_timeout_ms, body_window_ms, response_window_ms,
 * progress_bytes; [drain] limit_ms; [hedge] budget_share; [backend] address, port,
 * limit_burst_ms, warmup_overage, warmup_tolerance, pace; [platform] address, port; [seeds]
 * nodes; [admin] key; [log] level, format. The fields caller, source_poll_interval,
 * retry_ratio, shared_retry_floor and evacuation have no key and are 0 after fc_check_settings.
 */
typedef struct
{
  fb_name_t id;
  fb_name_t zone;
  fb_name_t region;
  fb_name_t service;  /* service of the backend server; empty for none */
  const char *caller; /* its name in requests to backend servers, where the platform's names
                         are longer; NULL for SERVICE; static */
  fb_name_t address;
  uint16_t caller_port;
  uint16_t call_port;
  uint16_t control_port;
  uint16_t admin_port;
  uint16_t ready_port;       /* HTTP readiness check of the platform; 0 for none */
  size_t pipeline_requests;  /* unanswered on one caller's connection */
  size_t pipeline_bytes;     /* held for them and their responses */
  size_t memory_budget;      /* for requests and responses of all connections */
  size_t descriptors;        /* for all connections; 0 for those that the system allows */
  fb_time_t header_timeout;  /* for the head of a request */
  fb_time_t body_window;     /* in which a body makes progress of PROGRESS_BYTES */
  fb_time_t response_window; /* in which a response does */
  size_t progress_bytes;
  fb_time_t source_poll_interval; /* between two reads of the platform's list of
                                      instances; 0 when it has none */
  bool evacuation;                /* the platform names zones whose instances get no calls */
  double retry_ratio; /* retries per first attempt, with a retry budget shared by the nodes */
  uint32_t shared_retry_floor; /* further retries in 10 s of all nodes together; 0 without
                                  a shared retry budget */
  double hedge_share;          /* fraction of the retry budget for hedges; 0 for none */
  fb_time_t drain_timeout;     /* after it the calls still open are cut */
  fc_socket_address_t backend;
  fb_time_t limit_burst;   /* under the backend server's rate limit, calls of this time at the
                              limit may start at once */
  double warmup_overage;   /* factor by which a cold backend server's rate may be exceeded */
  double warmup_tolerance; /* requests a second that may reach a cold backend server beyond that
                              because of delays in transit */
  bool pace; /* calls follow the pace (slow start) of a backend server that has started
                or recovered; also at the entry node */
  fc_socket_address_t platform;
  fc_socket_address_t seeds[FC_SEEDS_MAX];
  size_t seed_count;
  fb_name_t admin_key; /* empty: admin requests that change state are refused */
  fb_log_level_t log_level;
  fb_log_format_t log_format;
} fc_settings_t;

/* Checks DOCUMENT into SETTINGS; FB_INVALID with every problem added to PROBLEMS, which may
 * be NULL. */
fb_status_t fc_check_settings (fb_bytes_t document, fc_settings_t *settings,
                               fc_problems_t *problems);

/* Returns the name of the node's service in requests to backend servers; borrowed from
 * SETTINGS. */
fb_str_t fc_get_caller (const fc_settings_t *settings);

/* Sets the fields of [memory] to their defaults. */
void fc_set_default_memory (fc_settings_t *settings);

/* Parses "IP:PORT" or "[IPv6]:PORT" with a port from 1. */
bool fc_parse_socket_address (fb_str_t text, fc_socket_address_t *socket_address);

/* Reads file PATH of at most MAX bytes into *DATA; free with g_free. FB_NOT_FOUND, FB_IO or
 * FB_TOO_LARGE with one problem added. */
fb_status_t fc_read_file (const char *path, size_t max, uint8_t **data, size_t *length,
                          fc_problems_t *problems);

#endif
