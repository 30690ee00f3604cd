/* Entry node's decision to start a second attempt (hedge) of a slow repeatable call at another
 * instance. */
#ifndef FOXTAILRUN_CALL_HEDGE_H
#define FOXTAILRUN_CALL_HEDGE_H

#include <foxtailrun/call/retry.h>

/* Least attempts of a service and rank in the sliding period for calls to be hedged. */
#define FR_HEDGE_SAMPLES_MIN 20

/* Period in ns over which durations of attempts are recorded. */
#define FR_HEDGE_PERIOD (30 * FB_SECOND)

/* Time in ns after a refusal by a service's admission in which its calls are not hedged. */
#define FR_HEDGE_REFUSAL_PAUSE (2 * FB_SECOND)

/* A hedge is sent only to an instance that last reported a smaller load per 1,000 slots. */
#define FR_HEDGE_LOAD_LIMIT 1000

typedef enum
{
  FR_HEDGE_ALLOWED,
  FR_HEDGE_DISABLED,
  FR_HEDGE_FEW_SAMPLES,
  FR_HEDGE_TOO_EARLY, /* the first attempt is not slow yet */
  FR_HEDGE_TOO_LATE,  /* a median attempt would miss the target */
  FR_HEDGE_OVERLOADED /* the service refused a call within FR_HEDGE_REFUSAL_PAUSE */
} fr_hedge_decision_t;

typedef struct fr_hedge fr_hedge_t;

/* Creates the state by service and rank, with a budget share of 0; borrows CLOCK. */
fr_hedge_t *fr_create_hedge (const fb_clock_t *clock);

/* Frees the state; NULL is allowed. */
void fr_destroy_hedge (fr_hedge_t *hedge);

/* Sets the fraction, 0 to 1, of the retry budget that hedges may use; with 0 there are none. */
void fr_set_hedge_share (fr_hedge_t *hedge, double share);

/* Returns whether the share is above 0. */
bool fr_is_hedging_enabled (const fr_hedge_t *hedge);

/* Records the time in ns that an attempt at SERVICE took until its answer, or that a slow one
 * ran before it was cancelled: it would have taken longer. */
void fr_record_attempt_duration (fr_hedge_t *hedge, fb_str_t service, uint32_t rank,
                                 fb_time_t duration);

/* Records that admission control of an instance of SERVICE refused a call. */
void fr_record_service_refusal (fr_hedge_t *hedge, fb_str_t service);

/* Sets DELAY to the time in ns after the start of an attempt at which it counts as slow: the
 * 90th percentile of recorded durations, rounded up. Returns false with fewer samples than
 * FR_HEDGE_SAMPLES_MIN or without a share. */
bool fr_get_hedge_delay (fr_hedge_t *hedge, fb_str_t service, uint32_t rank, fb_time_t *delay);

/* Decides whether a call of SERVICE and RANK may be hedged whose first attempt has been running
 * for ELAPSED ns and whose target time is TARGET_LEFT ns away. */
fr_hedge_decision_t fr_decide_hedge (fr_hedge_t *hedge, fb_str_t service, uint32_t rank,
                                     fb_time_t elapsed, fb_time_t target_left);

/* Withdraws a hedge of a call of RANK from BUDGET; false when the budget of SERVICE, or the
 * hedges' share of it, is used up. */
bool fr_withdraw_allowed_hedge (fr_hedge_t *hedge, fr_retry_budget_t *budget, fb_str_t service,
                                uint32_t rank);

#endif
