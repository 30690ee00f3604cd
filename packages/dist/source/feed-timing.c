/* When a feed reads the store, and how long it waits for it. */
#include "feed-state.h"

/* Wait of a read of changes; each read is charged for. It is part of the time after which a
 * silent connection is noticed. */
#define CHANGE_WAIT_MS 300

/* Limit of the wait for a response, beyond the wait for a change. A connection that goes silent
 * just before a read is noticed after a poll interval and both; removals must be known again 3
 * s after that. */
#define READ_TIMEOUT_MS 1500

/* Limit for the first read after a failed one, doubled for each further one up to the limit
 * above. When only the last connection was broken, the store responds at once on a new one. If
 * that goes silent as well, the grace period that follows must end within the same 3 s. */
#define RETRY_TIMEOUT_MS 500

/* After a failed read: the response shows at once that the store is back. */
#define FAILED_CHANGE_WAIT_MS 1

/* On a node with followers: each response tells them that they missed nothing. */
#define RELAY_CHANGE_WAIT_MS 200

/* Age of the known state, in poll intervals, at which a node with followers reads the store,
 * and at which a follower without updates reads it itself. The difference leaves a relay 0.4 s
 * to read a configuration of 300 KB over a link of 7 Mbit/s. */
#define RELAY_READ_AGE_INTERVALS 0.6
#define FOLLOWER_READ_AGE_INTERVALS 1.25

fb_time_t
fd_get_read_age (const fd_feed_t *feed, fb_time_t now)
{
  double intervals = 1;

  if (fd_has_followers (feed, now))
    intervals = RELAY_READ_AGE_INTERVALS;
  else if (feed->relay_address.len > 0)
    intervals = FOLLOWER_READ_AGE_INTERVALS;
  return (fb_time_t)((double)feed->options.poll_interval * intervals);
}

uint32_t
fd_get_change_wait_ms (const fd_feed_t *feed, fb_time_t now)
{
  if (feed->consecutive_failures > 0)
    return FAILED_CHANGE_WAIT_MS;
  return fd_has_followers (feed, now) ? RELAY_CHANGE_WAIT_MS : CHANGE_WAIT_MS;
}

uint32_t
fd_get_timeout_ms (const fd_feed_t *feed, uint32_t wait_ms)
{
  uint32_t timeout_ms = RETRY_TIMEOUT_MS;

  if (feed->consecutive_failures == 0)
    return wait_ms + READ_TIMEOUT_MS;
  for (uint32_t i = 1; i < feed->consecutive_failures && timeout_ms < READ_TIMEOUT_MS; i++)
    timeout_ms *= 2;
  return MIN (timeout_ms, READ_TIMEOUT_MS);
}
