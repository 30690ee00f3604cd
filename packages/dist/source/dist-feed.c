/* When a feed reads the store, and what it takes from a read. */
#include "feed-state.h"
#include <string.h>

/* How long a read of changes waits for one; each read is paid for. After a lost answer or a
 * forgotten history this node has no news for so long, and then reads the whole list, which
 * takes up to 1 s on a slow link; both must end within the bound on a change of the
 * configuration. */
#define WAIT_MS 2000

/* The same while other nodes follow this one: each answer tells them that nothing is missing.
 */
#define FOLLOWED_WAIT_MS 200

/* Paces after which a node that others follow reads, and after which a node that follows reads
 * itself, for want of news. Between them lies the time in which the relay takes a configuration
 * of 300 KB over a link of 7 Mbit/s, 0.4 s. */
#define FOLLOWED_PACES 0.6
#define FOLLOWING_PACES 1.25

/* Bounds of the delay after a failed read: full jitter below a bound that doubles. */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 1000
#define BACKOFF_DOUBLINGS 4

/* Period in which removed endpoints are looked at while they may come back. */
#define SETTLE_PERIOD (200 * FB_MILLISECOND)

static fb_time_t
read_time (const fd_feed_t *feed)
{
  return fb_read_clock (feed->clock);
}

static void
find_counters (fd_feed_t *feed, fb_counters_t *counters)
{
  feed->reads = fb_find_counter (counters, "source_calls", "");
  feed->read_failures = fb_find_counter (counters, "source_failures", "");
  feed->news_taken = fb_find_counter (counters, "feed_news", "way=\"taken\"");
  feed->news_given = fb_find_counter (counters, "feed_news", "way=\"given\"");
  feed->news_failures = fb_find_counter (counters, "feed_news", "way=\"failed\"");
  feed->deltas = fb_find_counter (counters, "feed_deltas", "");
}

fd_feed_t *
fd_create_feed (const fd_feed_options_t *rules, uint32_t seed, const fb_clock_t *clock,
                fb_counters_t *counters, fb_log_t *log, const fd_feed_hooks_t *hooks)
{
  fd_feed_t *feed = g_new0 (fd_feed_t, 1);

  feed->rules = *rules;
  feed->clock = clock;
  feed->log = log;
  feed->hooks = *hooks;
  feed->random = g_rand_new_with_seed (seed);
  feed->id = ((uint64_t)g_rand_int (feed->random) << 32) + 1;
  feed->listing = fm_create_listing (clock, hooks->endpoint_changed, hooks->user);
  feed->asks = g_ptr_array_new_with_free_func (g_free);
  find_counters (feed, counters);
  return feed;
}

void
fd_destroy_feed (fd_feed_t *feed)
{
  if (!feed)
    return;
  fd_drop_documents (feed);
  fm_destroy_listing (feed->listing);
  g_ptr_array_free (feed->asks, TRUE);
  g_rand_free (feed->random);
  g_free (feed->page);
  g_free (feed);
}

/* Returns the age of its knowledge at which this node reads the store. */
static fb_time_t
get_pace (const fd_feed_t *feed, fb_time_t now)
{
  double paces = 1;

  if (fd_is_followed (feed, now))
    paces = FOLLOWED_PACES;
  else if (feed->relay.len > 0)
    paces = FOLLOWING_PACES;
  return (fb_time_t)((double)feed->rules.poll_interval * paces);
}

/* Returns when the next read is due. */
static fb_time_t
get_read_time (const fd_feed_t *feed, fb_time_t now)
{
  if (feed->failures > 0 || feed->kind != FD_READ_CHANGES)
    return feed->read_at;
  return feed->fresh + get_pace (feed, now);
}

static void
start_read (fd_feed_t *feed, fb_time_t now)
{
  fd_read_t read = { .kind = feed->kind, .after_key = feed->page };

  switch (feed->kind)
    {
    case FD_READ_CHANGES:
      read.after_position = MIN (feed->position, feed->seen);
      read.wait_ms = fd_is_followed (feed, now) ? FOLLOWED_WAIT_MS : WAIT_MS;
      break;
    case FD_READ_ENDPOINTS:
      read.after_position = feed->position;
      read.wait_ms = 1;
      break;
    case FD_READ_DOCUMENT:
      feed->document_started = now;
      break;
    case FD_READ_ALL:
      if (!feed->page)
        fm_begin_full_read (feed->listing);
      break;
    }
  feed->reading = true;
  feed->started = now;
  feed->documents_read = 0;
  fb_add_counter (feed->reads, 1);
  feed->hooks.read (&read, feed->hooks.user);
}

fb_time_t
fd_run_feed (fd_feed_t *feed)
{
  fb_time_t now = read_time (feed);
  fb_time_t next = now + FB_SECOND;

  fm_tick_listing (feed->listing);
  fd_run_relay (feed, now);
  if (!feed->reading && now >= get_read_time (feed, now))
    start_read (feed, now);
  if (!feed->reading)
    next = MIN (next, get_read_time (feed, now));
  if (fd_may_ask (feed))
    next = MIN (next, MAX (feed->ask_at, now));
  if (!fm_is_settled (feed->listing))
    next = MIN (next, now + SETTLE_PERIOD);
  return next;
}

/* Returns whether what the open read brings as of POSITION may be older than what news of
 * another node brought meanwhile. */
static bool
is_overtaken (const fd_feed_t *feed, uint64_t position)
{
  return feed->kind != FD_READ_ALL && position <= feed->position;
}

void
fd_add_endpoint (fd_feed_t *feed, uint64_t position, const fw_endpoint_t *endpoint)
{
  if (!is_overtaken (feed, position))
    fm_add_endpoint (feed->listing, endpoint);
}

void
fd_remove_endpoint (fd_feed_t *feed, uint64_t position, const fb_name_t *id)
{
  if (!is_overtaken (feed, position))
    fm_remove_endpoint (feed->listing, id);
}

void
fd_set_document (fd_feed_t *feed, uint64_t position, fb_bytes_t text)
{
  if (fd_hold_document (feed, position, text))
    feed->documents_read++;
}

static void
read_next (fd_feed_t *feed, fd_read_kind_t kind)
{
  feed->kind = kind;
  feed->read_at = 0;
}

/* Chooses the next read. A read of changes brings every version of the configuration since the
 * one before, each as large as the whole. While versions follow each other faster than the
 * reads, as STORM says, only the newest is read, and the endpoints apart. */
static void
read_on (fd_feed_t *feed, bool storm)
{
  read_next (feed, storm ? FD_READ_DOCUMENT : FD_READ_CHANGES);
  if (storm)
    feed->read_at = feed->fresh + get_pace (feed, read_time (feed));
}

static void
end_changes (fd_feed_t *feed, uint64_t position)
{
  feed->position = MAX (feed->position, position);
  feed->seen = MAX (feed->seen, position);
  feed->fresh = MAX (feed->fresh, feed->started);
  feed->completed = read_time (feed);
  read_on (feed, feed->documents_read > 1 && !fd_is_following (feed, feed->completed));
}

static void
end_endpoints (fd_feed_t *feed, uint64_t position)
{
  feed->position = MAX (feed->position, position);
  feed->fresh = MAX (feed->fresh, feed->document_started);
  feed->completed = read_time (feed);
  read_on (feed, feed->document_moved);
}

static void
end_document (fd_feed_t *feed, uint64_t position)
{
  feed->seen = MAX (feed->seen, position);
  feed->document_moved = feed->documents_read > 0;
  if (fd_is_following (feed, read_time (feed)))
    read_next (feed, FD_READ_CHANGES);
  else
    read_next (feed, FD_READ_ENDPOINTS);
}

/* Changes made while the pages are read come by the read of changes that follows, which starts
 * at the first page's position. */
static void
end_page (fd_feed_t *feed, const fd_read_result_t *end)
{
  char *page = end->kind == FD_RESULT_HAS_MORE ? g_strdup (end->last_key) : NULL;

  if (!feed->page)
    feed->first = end->position;
  g_free (feed->page);
  feed->page = page;
  read_next (feed, FD_READ_ALL);
  if (page)
    return;
  fm_end_full_read (feed->listing);
  feed->listed = true;
  feed->position = feed->first;
  feed->seen = feed->first;
  feed->fresh = feed->started;
  feed->completed = read_time (feed);
  feed->kind = FD_READ_CHANGES;
}

static void
restart_list (fd_feed_t *feed)
{
  g_clear_pointer (&feed->page, g_free);
  read_next (feed, FD_READ_ALL);
}

static void
note_failure (fd_feed_t *feed, const fd_read_result_t *end)
{
  uint32_t bound = BACKOFF_MAX_MS;

  if (feed->failures < BACKOFF_DOUBLINGS)
    bound = MIN (bound, (uint32_t)BACKOFF_MIN_MS << feed->failures);
  if (feed->failures == 0)
    FB_LOG (feed->log, FB_LOG_WARNING, FD_FEED_LOG, "the store is lost",
            FB_NUMBER ("status", end->http_status),
            FB_TEXT ("error", end->error ? end->error : ""),
            FB_NUMBER ("position", feed->position),
            FB_NUMBER ("age_ms", fd_get_age (feed) / FB_MILLISECOND));
  feed->failures++;
  fb_add_counter (feed->read_failures, 1);
  fm_mark_source_unavailable (feed->listing);
  feed->read_at = read_time (feed)
                  + g_rand_int_range (feed->random, BACKOFF_MIN_MS / 2, (gint32)bound + 1)
                        * FB_MILLISECOND;
  if (feed->kind == FD_READ_ALL)
    g_clear_pointer (&feed->page, g_free);
}

static void
note_success (fd_feed_t *feed)
{
  if (feed->failures > 0)
    FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG, "the store is back",
            FB_NUMBER ("failures", feed->failures));
  feed->failures = 0;
  fm_mark_source_available (feed->listing);
}

static void
take_end (fd_feed_t *feed, const fd_read_result_t *end)
{
  switch (feed->kind)
    {
    case FD_READ_ALL:
      end_page (feed, end);
      break;
    case FD_READ_CHANGES:
      end_changes (feed, end->position);
      break;
    case FD_READ_DOCUMENT:
      end_document (feed, end->position);
      break;
    case FD_READ_ENDPOINTS:
      end_endpoints (feed, end->position);
      break;
    }
}

void
fd_end_read (fd_feed_t *feed, const fd_read_result_t *end)
{
  feed->reading = false;
  if (end->kind == FD_RESULT_FAILED)
    note_failure (feed, end);
  else
    note_success (feed);
  if (end->kind == FD_RESULT_COMPACTED)
    {
      FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG, "the store has forgotten the history",
              FB_NUMBER ("position", feed->position));
      restart_list (feed);
    }
  else if (end->kind != FD_RESULT_FAILED)
    take_end (feed, end);
  fd_answer_asks (feed);
  if (feed->listed)
    feed->hooks.document_changed (feed->hooks.user);
}

bool
fd_is_synced (const fd_feed_t *feed)
{
  return feed->listed;
}

uint64_t
fd_get_position (const fd_feed_t *feed)
{
  return feed->position;
}

fb_time_t
fd_get_age (const fd_feed_t *feed)
{
  return read_time (feed) - feed->fresh;
}
