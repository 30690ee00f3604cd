#include <foxtailrun/call/deadline.h>

/* Covers the way to a distant caller and its processing of the response. */
#define PIPELINE_LEAD (25 * FB_MILLISECOND)

fb_time_t
fr_get_give_up_time (fb_time_t deadline, bool has_request_behind)
{
  return has_request_behind ? deadline - PIPELINE_LEAD : deadline;
}
