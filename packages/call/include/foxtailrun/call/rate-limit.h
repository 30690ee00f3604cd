/* Limit of the calls per second that a backend server names while it is overloaded. */
#ifndef FOXTAILRUN_CALL_RATE_LIMIT_H
#define FOXTAILRUN_CALL_RATE_LIMIT_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>

/* Least rate at which calls are started under a limit, also of 0: only a response can show that
 * the limit has ended. */
#define FR_RATE_MIN 0.25

/* Largest limit that is accepted, in calls per second. */
#define FR_RATE_MAX 1e9

typedef struct fr_rate_limit fr_rate_limit_t;

/* Creates a limit that is not in force; CLOCK is borrowed. After a pause, the calls of
 * BURST_TIME in ns, at least one, may start at once. */
fr_rate_limit_t *fr_create_rate_limit (fb_time_t burst_time, const fb_clock_t *clock);

/* Frees LIMIT; NULL is allowed. */
void fr_destroy_rate_limit (fr_rate_limit_t *limit);

/* Parses a decimal number of calls per second, 0 to FR_RATE_MAX; FB_INVALID on anything else.
 */
fb_status_t fr_parse_rate (fb_str_t text, double *rate);

/* Puts RATE in force, which the backend server named in a response; returns whether that
 * changes the limit. */
bool fr_name_rate_limit (fr_rate_limit_t *limit, double rate);

/* Ends the limit because of a response without one to a call sent at SENT_AT, unless the
 * backend server named one since then: responses can overtake each other. Returns whether a
 * limit ended. */
bool fr_end_rate_limit (fr_rate_limit_t *limit, fb_time_t sent_at);

/* Puts RATE in force, which another node heard from the backend server. Ignored after the first
 * response to this node; returns whether that changes the limit. */
bool fr_adopt_rate_limit (fr_rate_limit_t *limit, double rate);

/* Forgets everything: the backend server is another one or has started again. */
void fr_reset_rate_limit (fr_rate_limit_t *limit);

/* Sets RATE to the limit in force; returns false if there is none. */
bool fr_get_rate_limit (const fr_rate_limit_t *limit, double *rate);

/* Returns the time in ns until the limit lets a call start that has CALLS_AHEAD calls before
 * it; 0 when it may start now. */
fb_time_t fr_get_start_delay (const fr_rate_limit_t *limit, double calls_ahead);

/* Counts a started call. */
void fr_count_start (fr_rate_limit_t *limit);

#endif
