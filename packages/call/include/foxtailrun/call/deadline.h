/* When a call that cannot be answered in time is given up. */
#ifndef FOXTAILRUN_CALL_DEADLINE_H
#define FOXTAILRUN_CALL_DEADLINE_H

#include <foxtailrun/base/clock.h>
#include <stdbool.h>

/* Returns the time at which a call with DEADLINE is given up. Load pattern: a slow instance
 * holds the first of several requests that a caller sent on one connection. At the deadline the
 * caller closes the connection and loses the responses to those behind it, so that a call with
 * HAS_REQUEST_BEHIND is given up earlier. */
fb_time_t fr_get_give_up_time (fb_time_t deadline, bool has_request_behind);

#endif
