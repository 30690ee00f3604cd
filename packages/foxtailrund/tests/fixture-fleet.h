/* A small fleet of real processes on loopback for the failure tests: the platform stand-in, and
 * nodes with their backend server stand-ins. Waiting is by condition, with a generous bound
 * that only a fault reaches. */
#ifndef FOXTAILRUND_FIXTURE_FLEET_H
#define FOXTAILRUND_FIXTURE_FLEET_H

#include <foxtailrun/http/client.h>
#include <glib.h>
#include <jansson.h>

#define FLEET_NODES_MAX 16

/* Bound of each wait for a condition. */
#define FLEET_WAIT_S 60

#define FLEET_KEY "fleet-test-key"

typedef struct fleet fleet_t;

/* An answer to a call; strings are owned by the caller of fleet_call. */
typedef struct
{
  fh_result_t result;
  uint32_t status;
  char *outcome; /* of the header, "" when missing */
  char *ticket;
  char *body;
} fleet_answer_t;

/* One case: what to check on a fresh fleet. */
typedef struct
{
  const char *name;
  void (*check) (fleet_t *fleet);
} fleet_case_t;

/* Runs COUNT cases as tests, each on its own fleet of NODES nodes; returns the exit code of the
 * program. */
int fleet_run_cases (int argc, char **argv, const fleet_case_t *cases, size_t count,
                     size_t nodes);

/* Starts the platform and NODES nodes over two zones: the first half with service storefront,
 * the rest with inventory; publishes version 1 and waits until all are ready. */
fleet_t *fleet_start (size_t nodes);

/* Kills all processes and removes the folder. */
void fleet_stop (fleet_t *fleet);

/* Publishes the test's document under VERSION with EXTRA text at its end. */
void fleet_publish (fleet_t *fleet, uint64_t version, const char *extra);

/* Publishes a host list in which the host of node NUMBER is to leave; 0 for none. */
void fleet_publish_hosts (fleet_t *fleet, size_t leaving);

/* Makes the platform fail all calls, or answer again. */
void fleet_set_outage (fleet_t *fleet, bool down);

/* Sends SIGNAL to node NUMBER, from 1. */
void fleet_signal (fleet_t *fleet, size_t number, int signal);

/* Sends SIGNAL to the backend server of node NUMBER. */
void fleet_signal_backend (fleet_t *fleet, size_t number, int signal);

/* Waits for the end of node NUMBER; returns its exit code, or 128 plus the signal. */
int fleet_wait_exit (fleet_t *fleet, size_t number);

/* Starts node NUMBER again after its end. */
void fleet_restart (fleet_t *fleet, size_t number);

/* Waits until node NUMBER is ready with VERSION in force. */
void fleet_wait_version (fleet_t *fleet, size_t number, uint64_t version);

/* Returns the version number in force at node NUMBER, 0 when it does not answer. */
uint64_t fleet_read_version (fleet_t *fleet, size_t number);

/* Waits until node NUMBER sees member OTHER in STATE. */
void fleet_wait_state (fleet_t *fleet, size_t number, size_t other, const char *state);

/* Sends a request to the callers' port of node NUMBER and waits for the answer. TICKET may be
 * NULL. */
fleet_answer_t fleet_call (fleet_t *fleet, size_t number, const char *method, const char *path,
                           const char *ticket);

/* Starts a request without waiting; end it by fleet_finish_call. */
typedef struct fleet_pending fleet_pending_t;
fleet_pending_t *fleet_begin_call (fleet_t *fleet, size_t number, const char *method,
                                   const char *path, const char *ticket);
fleet_answer_t fleet_finish_call (fleet_t *fleet, fleet_pending_t *pending);

/* Sends a request to the administration of node NUMBER with KEY or NULL. */
fleet_answer_t fleet_ask_admin (fleet_t *fleet, size_t number, const char *method,
                                const char *path, const char *key);

/* Frees the strings of ANSWER. */
void fleet_clear_answer (fleet_answer_t *answer);

/* Returns how often PATH ran on the backend servers of all nodes together. */
uint64_t fleet_count_runs (fleet_t *fleet, const char *path);

/* Waits until PATH ran at least once. */
void fleet_wait_run (fleet_t *fleet, const char *path);

/* Lets the loop of the test run for MS milliseconds. */
void fleet_pause (fleet_t *fleet, uint64_t ms);

/* Returns "IP:PORT" of the administration of node NUMBER, which need not run, and of its
 * callers' port; the caller frees them. */
char *fleet_format_admin (const fleet_t *fleet, size_t number);
char *fleet_format_entry (const fleet_t *fleet, size_t number);

/* Returns the folder that the platform publishes from; owned by the fleet. */
const char *fleet_get_published (const fleet_t *fleet);

/* Writes the test's document under VERSION with EXTRA text at its end to a file that is not
 * published; returns its path, which the caller frees. */
char *fleet_write_document (fleet_t *fleet, const char *name, uint64_t version,
                            const char *extra);

/* Returns the number of the node named in TICKET. */
size_t fleet_find_owner (const char *ticket);

#endif
