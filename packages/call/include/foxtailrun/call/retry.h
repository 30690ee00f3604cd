/* Limits on repeated and refused work at the entry node: retry budget and adaptive throttle. */
#ifndef FOXTAILRUN_CALL_RETRY_H
#define FOXTAILRUN_CALL_RETRY_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/string.h>
#include <foxtailrun/wire/call.h>

/* Retries allowed for each first attempt, over a sliding window, unless set otherwise. */
#define FR_RETRY_RATIO 0.1

typedef struct fr_retry_budget fr_retry_budget_t;

/* Creates a budget per service; CLOCK is borrowed. */
fr_retry_budget_t *fr_create_retry_budget (const fb_clock_t *clock);

/* Frees the budget; NULL is allowed. */
void fr_destroy_retry_budget (fr_retry_budget_t *budget);

/* Sets the retries allowed in 10 s: RATIO for each first attempt, and FLOOR, 10 at first,
 * whatever the traffic. Nodes that share an allowance each take their part of it. */
void fr_set_retry_allowance (fr_retry_budget_t *budget, double ratio, double floor);

/* Counts a first attempt to SERVICE, which earns a part of a retry. */
void fr_deposit_retry (fr_retry_budget_t *budget, fb_str_t service);

/* Takes one retry of a call of RANK, 0 being the most urgent, from the budget of SERVICE;
 * returns false when there is none. Less urgent ranks leave a part to the others. */
bool fr_withdraw_retry (fr_retry_budget_t *budget, fb_str_t service, uint32_t rank);

/* Counts a retry that is made whatever the budget holds, such as a call that a run makes once
 * more because it is a repeat itself. */
void fr_charge_retry (fr_retry_budget_t *budget, fb_str_t service);

/* Returns whether an attempt that ended with OUTCOME may be made again: only when it provably
 * did not run, or the route is repeatable and no answer came. HAS_TICKET forbids any other
 * node. */
bool fr_is_retry_safe (fw_outcome_t outcome, bool repeatable, bool has_ticket);

typedef struct fr_throttle fr_throttle_t;

/* Creates an adaptive throttle per service and rank; CLOCK is borrowed, SEED starts the random
 * numbers. */
fr_throttle_t *fr_create_throttle (uint32_t seed, const fb_clock_t *clock);

/* Frees the throttle; NULL is allowed. */
void fr_destroy_throttle (fr_throttle_t *throttle);

/* Returns whether a call may be sent; false means refuse it here as not run. */
bool fr_admit_upstream (fr_throttle_t *throttle, fb_str_t service, uint32_t rank);

/* Counts how a sent call ended: ACCEPTED is false when admission refused it. */
void fr_report_upstream (fr_throttle_t *throttle, fb_str_t service, uint32_t rank,
                         bool accepted);

/* The same for a call of CUSTOMER: a customer is throttled by what became of its own calls, so
 * that one that floods does not cost the others theirs. Customers with few calls are counted
 * together. The functions above stand for a customer without a name. */
bool fr_admit_customer (fr_throttle_t *throttle, fb_str_t service, uint32_t rank,
                        fb_str_t customer);
void fr_report_customer (fr_throttle_t *throttle, fb_str_t service, uint32_t rank,
                         fb_str_t customer, bool accepted);

#endif
