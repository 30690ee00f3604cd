/* Limit of the requests that a cold backend server receives: one that has just started, or has
 * lost its caches, takes only a limited rate for some seconds. */
#ifndef FOXTAILRUN_CALL_WARMUP_H
#define FOXTAILRUN_CALL_WARMUP_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>
#include <stddef.h>

/* Span in which the starts are limited. */
#define FR_WARMUP_WINDOW FB_SECOND

/* The starts are spread over this many parts of a window. If all took place at once, a delay of
 * some of them in transit would bring two such bursts into one second, and an urgent call would
 * wait for up to a whole window behind a burst of others. */
#define FR_WARMUP_PARTS 4

/* Largest limit in force; it bounds the memory of the start times. */
#define FR_WARMUP_LIMIT_MAX 2048

typedef struct fr_warmup fr_warmup_t;

/* Creates a warm-up limit without a rate; CLOCK is borrowed. The backend server is assumed to
 * be cold, and requests of an earlier process to have reached it until now. */
fr_warmup_t *fr_create_warmup (const fb_clock_t *clock);

/* Frees WARMUP; NULL is allowed. */
void fr_destroy_warmup (fr_warmup_t *warmup);

/* Sets the rate that a cold backend server tolerates, in requests per second, and the factor by
 * which it may be exceeded. While cold, at most floor (RATE * OVERAGE) starts are allowed in
 * any span of FR_WARMUP_WINDOW, at least 1 and at most FR_WARMUP_LIMIT_MAX, and the
 * FR_WARMUP_PARTS-th of them, rounded up, in that part of it. A rate of 0 ends the limit: the
 * backend server then never counts as cold. */
void fr_configure_warmup (fr_warmup_t *warmup, double rate, double overage);

/* Returns whether a rate is configured. */
bool fr_has_warmup (const fr_warmup_t *warmup);

/* Records that the backend server said that it is cold until UNTIL; warm if that has passed.
 * The limit ends 50 ms after the time that it named last. */
void fr_set_cold_until (fr_warmup_t *warmup, fb_time_t until);

/* Treats the backend server as cold until the next fr_set_cold_until. Returns whether it was
 * not treated so before. */
bool fr_assume_cold (fr_warmup_t *warmup);

/* Returns whether the limit is in force. */
bool fr_is_cold (const fr_warmup_t *warmup);

/* Returns whether it is in force because of fr_assume_cold. */
bool fr_is_assumed_cold (const fr_warmup_t *warmup);

/* Returns the time in ns until the backend server is warm, as it reported; 0 when it is warm or
 * when the time is not known. */
fb_time_t fr_get_cold_time (const fr_warmup_t *warmup);

/* Counts a call that is sent to the backend server; required while it is warm too. */
void fr_count_warmup_start (fr_warmup_t *warmup);

/* Counts a health check that is sent to the backend server. */
void fr_count_health_check (fr_warmup_t *warmup);

/* Returns the starts of calls allowed in a window, without those kept for health checks; 0
 * while warm. */
size_t fr_get_warmup_limit (const fr_warmup_t *warmup);

/* Returns the time in ns until a call may start that has CALLS_AHEAD calls before it; 0 when it
 * may start now, and while warm. */
fb_time_t fr_get_warmup_delay (const fr_warmup_t *warmup, double calls_ahead);

/* Returns the time in ns until a health check may be sent. It goes before the calls that wait:
 * a place in the window is kept for it from this call until fr_count_health_check. */
fb_time_t fr_request_health_check (fr_warmup_t *warmup);

/* Returns whether a health check is due before its period ends: since the last one, a warm
 * backend server got so many calls that it would have got too many if it had become cold. */
bool fr_needs_health_check (const fr_warmup_t *warmup);

/* Returns the time in ns from one health check to the next. */
fb_time_t fr_get_health_check_period (const fr_warmup_t *warmup);

/* What a response to a health check says; a missing header has data NULL. */
typedef struct
{
  uint32_t status;
  fb_str_t instance_id;
  fb_str_t warmup_ms;
} fr_health_response_t;

/* Sets COLD_TIME to the time in ns for which the backend server says that it stays cold;
 * without the field, it is warm. FB_INVALID if the response says nothing about INSTANCE,
 * empty if not known: another instance sent it, the time is no decimal number, or a failing
 * server names none.
 */
fb_status_t fr_read_health_response (const fr_health_response_t *response, fb_str_t instance,
                                     fb_time_t *cold_time);

#endif
