/* A fleet of real processes on loopback: platform stand-in, nodes and backend stand-ins. Waits
 * poll; only a fault reaches their timeout. */
#ifndef FOXTAILRUND_FIXTURE_FLEET_H
#define FOXTAILRUND_FIXTURE_FLEET_H

#include <foxtailrun/http/client.h>
#include <glib.h>
#include <jansson.h>

#define FLEET_NODES_MAX 16

/* Timeout of each wait for a condition. */
#define FLEET_WAIT_TIMEOUT_S 60

#define FLEET_ADMIN_KEY "fleet-test-key"

#define FLEET_CALLER_PORT 8000
#define FLEET_CALL_PORT 7002

typedef struct fleet fleet_t;

/* A response; free its strings by fleet_clear_response. */
typedef struct
{
  fh_result_t result;
  uint32_t status;
  char *outcome; /* of the header foxtailrun-outcome, "" when missing */
  char *ticket;
  char *body;
} fleet_response_t;

/* One test case, run on its own fleet. */
typedef struct
{
  const char *name;
  void (*check) (fleet_t *fleet);
} fleet_case_t;

/* Runs COUNT CASES, each on its own fleet of NODES nodes; returns the exit status. */
int fleet_run_cases (int argc, char **argv, const fleet_case_t *cases, size_t count,
                     size_t nodes);

/* Starts the platform and NODES nodes in two zones, the first half with service storefront,
 * the rest with inventory. Publishes version 1; waits until it is in force and all nodes see
 * each other alive. */
fleet_t *fleet_start (size_t nodes);

/* As fleet_start, with TOML text SETTINGS, borrowed, appended to each node's settings. */
fleet_t *fleet_start_with_settings (size_t nodes, const char *settings);

/* Kills all processes, removes the folder and frees FLEET. */
void fleet_stop (fleet_t *fleet);

/* Publishes the base document with VERSION and EXTRA text appended. */
void fleet_publish (fleet_t *fleet, uint64_t version, const char *extra);

/* Publishes a host list with node LEAVING's host marked as leaving; 0 for none. */
void fleet_publish_hosts (fleet_t *fleet, size_t leaving);

/* The platform fails all calls while DOWN is set. */
void fleet_set_platform_outage (fleet_t *fleet, bool down);

/* Returns the process id of node NUMBER, whose process must live. */
GPid fleet_get_pid (const fleet_t *fleet, size_t number);

/* Returns the IP address of node NUMBER. */
fb_name_t fleet_get_address (const fleet_t *fleet, size_t number);

/* Sends SIGNAL to node NUMBER, from 1. */
void fleet_signal (fleet_t *fleet, size_t number, int signal);

/* Sends SIGNAL to the backend server of node NUMBER. */
void fleet_signal_backend (fleet_t *fleet, size_t number, int signal);

/* Has the backend server of node NUMBER spoil one in INTERVAL of its responses by KIND, see
 * standin-backend.c; none with 0. */
void fleet_spoil_responses (fleet_t *fleet, size_t number, const char *kind, unsigned interval);

/* Replaces the backend server of node NUMBER by one that sends bytes without end, of a KIND of
 * standin-endless.c. */
void fleet_start_endless (fleet_t *fleet, size_t number, const char *kind);

/* Waits until node NUMBER exits; returns its exit status, or 128 plus the signal. */
int fleet_wait_exit (fleet_t *fleet, size_t number);

/* Starts node NUMBER again after fleet_wait_exit. */
void fleet_restart (fleet_t *fleet, size_t number);

/* Waits until node NUMBER is ready with VERSION in force. */
void fleet_wait_version (fleet_t *fleet, size_t number, uint64_t version);

/* Returns the version number in force at node NUMBER, 0 when it does not answer. */
uint64_t fleet_get_version (fleet_t *fleet, size_t number);

/* Waits until node NUMBER sees member OTHER in STATE. */
void fleet_wait_state (fleet_t *fleet, size_t number, size_t other, const char *state);

/* Sends a request to the caller port of node NUMBER and waits. TICKET may be NULL. */
fleet_response_t fleet_call (fleet_t *fleet, size_t number, const char *method,
                             const char *path, const char *ticket);

/* Like fleet_call, without waiting; fleet_finish_call waits and frees the call. */
typedef struct fleet_pending_call fleet_pending_call_t;
fleet_pending_call_t *fleet_begin_call (fleet_t *fleet, size_t number, const char *method,
                                        const char *path, const char *ticket);
fleet_response_t fleet_finish_call (fleet_t *fleet, fleet_pending_call_t *call);

/* Like fleet_begin_call, with the request id ID. */
fleet_pending_call_t *fleet_begin_call_with_id (fleet_t *fleet, size_t number,
                                                const char *method, const char *path,
                                                const char *id);

/* Closes the connection of CALL without waiting and frees it. */
void fleet_abandon_call (fleet_pending_call_t *call);

/* Sends a request to the administration port of node NUMBER; KEY may be NULL. */
fleet_response_t fleet_request_admin (fleet_t *fleet, size_t number, const char *method,
                                      const char *path, const char *key);

/* Frees the strings of RESPONSE. */
void fleet_clear_response (fleet_response_t *response);

/* Returns how often PATH ran on all backend servers. */
uint64_t fleet_count_runs (fleet_t *fleet, const char *path);

/* Returns how often PATH ran on the backend server of node NUMBER, and how many of these runs
 * were cancelled. */
uint64_t fleet_count_runs_at (fleet_t *fleet, size_t number, const char *path);
uint64_t fleet_count_cancelled_at (fleet_t *fleet, size_t number, const char *path);

/* Waits until PATH ran on any backend server. */
void fleet_wait_run (fleet_t *fleet, const char *path);

/* Runs the event loop for MS milliseconds. */
void fleet_run_loop (fleet_t *fleet, uint64_t ms);

/* Returns "IP:PORT" of the administration or caller port of node NUMBER, which need not exist;
 * free with g_free. */
char *fleet_format_admin_address (const fleet_t *fleet, size_t number);
char *fleet_format_caller_address (const fleet_t *fleet, size_t number);

/* Returns the platform's folder, owned by FLEET. */
const char *fleet_get_publish_folder (const fleet_t *fleet);

/* Writes the base document with VERSION and EXTRA to unpublished file NAME. Returns its path;
 * free with g_free. */
char *fleet_write_document (fleet_t *fleet, const char *name, uint64_t version,
                            const char *extra);

/* Returns the number of the node named by TICKET. */
size_t fleet_parse_ticket_node (const char *ticket);

#endif
