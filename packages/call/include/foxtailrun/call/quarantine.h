/* Quarantine of requests under which backend servers end.
 *
 * Each crash of a backend server makes the requests that were running suspects. A suspect that
 * runs to its end is cleared; one that has been running in FR_QUARANTINE_CRASHES crashes since
 * is quarantined: it is not sent to any backend server for a time. After that one trial
 * decides. The load pattern: a few requests end every instance that they reach, beside many
 * proper ones that end with it; instances also end for other reasons. */
#ifndef FOXTAILRUN_CALL_QUARANTINE_H
#define FOXTAILRUN_CALL_QUARANTINE_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/wire/crash.h>

/* Crashes without a complete run in between, from which a request is quarantined. Two crashes
 * in a row beside another request are likely in a series of crashes, three are not, as suspects
 * run one at a time. */
#define FR_QUARANTINE_CRASHES 3

typedef enum
{
  FR_REQUEST_FREE,
  FR_REQUEST_SUSPECT,     /* may run where no other suspect runs */
  FR_REQUEST_QUARANTINED, /* must not run */
  FR_REQUEST_TRIAL        /* may run once, at the node that fr_owns_trial names */
} fr_request_state_t;

/* What makes two requests the same one. */
typedef struct
{
  fb_str_t method;
  fb_str_t host;
  fb_str_t path;   /* with its query */
  fb_str_t caller; /* service that sent it; may be empty */
  fb_bytes_t body;
} fr_request_parts_t;

typedef struct fr_quarantine fr_quarantine_t;

fb_digest_t fr_get_request_key (const fr_request_parts_t *parts);

/* Creates an empty quarantine; CLOCK and COUNTERS are borrowed. */
fr_quarantine_t *fr_create_quarantine (const fb_clock_t *clock, fb_counters_t *counters);

/* Frees QUARANTINE; NULL is allowed. */
void fr_destroy_quarantine (fr_quarantine_t *quarantine);

/* Returns whether any request is not free, so that keys need to be computed. */
bool fr_has_suspects (const fr_quarantine_t *quarantine);

/* Returns the state of request KEY. QUARANTINED sets LEFT to the remaining time in ns. */
fr_request_state_t fr_check_request (fr_quarantine_t *quarantine, const fb_digest_t *key,
                                     fb_time_t *left);

/* Returns whether NAME, of those in NAMES, runs the trial of request KEY. */
bool fr_owns_trial (const fb_digest_t *key, const fb_name_t *name, const fb_name_t *names,
                    size_t count);

/* Records that request KEY was running in crash ID of a backend server. Returns whether that
 * was not known. */
bool fr_add_crash (fr_quarantine_t *quarantine, const fb_digest_t *key, uint64_t id);

/* Records that request KEY has run to its end. Returns whether it was not free. */
bool fr_clear_request (fr_quarantine_t *quarantine, const fb_digest_t *key);

/* Records that a node quarantines request KEY for TIME in ns. */
void fr_hold_request (fr_quarantine_t *quarantine, const fb_digest_t *key, fb_time_t time);

/* Merges what another node knows. Merging twice, or in another order, gives the same. Returns
 * whether it was news, which counts as a change. */
bool fr_merge_suspect (fr_quarantine_t *quarantine, const fw_suspect_t *suspect);

/* Returns the number of the last change. */
uint64_t fr_get_quarantine_sequence (const fr_quarantine_t *quarantine);

/* Writes at most FW_SUSPECTS_MAX records that changed after SEQUENCE into SUSPECTS; returns
 * their number. */
size_t fr_collect_suspects (fr_quarantine_t *quarantine, uint64_t sequence,
                            fw_suspect_t suspects[FW_SUSPECTS_MAX]);

#endif
