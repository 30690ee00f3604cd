/* Entry node's limits on retries and on calls to overloaded services: budget and throttle. */
#ifndef FOXTAILRUN_CALL_RETRY_H
#define FOXTAILRUN_CALL_RETRY_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/string.h>
#include <foxtailrun/wire/call.h>

/* Default of the retries allowed per first attempt in the sliding window of 10 s. */
#define FR_RETRY_RATIO 0.1

typedef struct fr_retry_budget fr_retry_budget_t;

/* Creates a budget per service; borrows CLOCK. */
fr_retry_budget_t *fr_create_retry_budget (const fb_clock_t *clock);

/* Frees the budget; NULL is allowed. */
void fr_destroy_retry_budget (fr_retry_budget_t *budget);

/* Sets the retries allowed in 10 s: RATIO per first attempt plus FLOOR, by default 10,
 * regardless of traffic. Nodes that share an allowance each set their fraction of it. */
void fr_set_retry_allowance (fr_retry_budget_t *budget, double ratio, double floor);

/* Counts a first attempt to SERVICE, which adds to its budget. */
void fr_deposit_retry (fr_retry_budget_t *budget, fb_str_t service);

/* Withdraws one retry of a call of RANK, 0 being the most urgent, from the budget of
 * SERVICE; false when it is used up. Less urgent ranks may use only a fraction. */
bool fr_withdraw_retry (fr_retry_budget_t *budget, fb_str_t service, uint32_t rank);

/* Withdraws one hedge, a second attempt beside an open first one, like a retry; false when the
 * budget is used up, or hedges would use more than SHARE, 0 to 1, of what it allows. */
bool fr_withdraw_hedge (fr_retry_budget_t *budget, fb_str_t service, uint32_t rank,
                        double share);

/* Charges a retry made regardless of the budget, such as a call by a repeated run. */
void fr_charge_retry (fr_retry_budget_t *budget, fb_str_t service);

/* Returns whether an attempt that ended with OUTCOME may be retried on another node: only when
 * it provably did not run, or the route is REPEATABLE and no answer arrived. Never with
 * HAS_TICKET, which binds the call to one node. */
bool fr_is_retry_safe (fw_outcome_t outcome, bool repeatable, bool has_ticket);

typedef struct fr_throttle fr_throttle_t;

/* Creates an adaptive throttle per service and rank; borrows CLOCK, SEED starts the random
 * numbers. */
fr_throttle_t *fr_create_throttle (uint32_t seed, const fb_clock_t *clock);

/* Frees the throttle; NULL is allowed. */
void fr_destroy_throttle (fr_throttle_t *throttle);

/* Returns whether a call may be sent; otherwise refuse it locally as not run. */
bool fr_admit_call (fr_throttle_t *throttle, fb_str_t service, uint32_t rank);

/* Counts a sent call that ended; ACCEPTED is false when admission refused it. */
void fr_report_call (fr_throttle_t *throttle, fb_str_t service, uint32_t rank, bool accepted);

/* Like the functions above, which stand for a customer with an empty name. Each customer is
 * throttled by its own outcomes, so that one's flood does not cause refusals of others;
 * customers with few calls are counted together. */
bool fr_admit_customer (fr_throttle_t *throttle, fb_str_t service, uint32_t rank,
                        fb_str_t customer);
void fr_report_customer (fr_throttle_t *throttle, fb_str_t service, uint32_t rank,
                         fb_str_t customer, bool accepted);

#endif
