/* Inheritance of urgency by nested calls. */
#include <foxtailrun/call/nested.h>
#include <glib.h>

/* Least ratio of timeout and latency target of a route whose late answers are of use. With less
 * time after the target, a nested call that misses its own target makes its parent useless
 * anyway. */
#define LATE_ANSWER_RATIO 3

bool
fr_accepts_late_answers (uint32_t timeout_ms, uint32_t target_ms)
{
  return timeout_ms / LATE_ANSWER_RATIO >= target_ms;
}

fr_urgency_t
fr_inherit_urgency (const fr_urgency_t *own, fb_time_t deadline, const fr_parent_t *parent)
{
  if (!fr_accepts_late_answers (parent->timeout_ms, parent->target_ms))
    return *own;
  /* A refusal would waste what the parent has done so far; a late answer would not. */
  return (fr_urgency_t){ .rank = MIN (own->rank, parent->rank),
                         .target_time = MAX (own->target_time, deadline),
                         .goes_first = true };
}
