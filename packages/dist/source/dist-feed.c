/* Schedules the reads of the store and processes their results. */
#include "feed-state.h"
#include <string.h>

/* Failed reads in a row that are taken for an outage of the store. A single one is hardly long
 * enough for endpoints to expire, and most often a connection that was lost. */
#define OUTAGE_FAILURES 2

/* Time from the start of a failed read to the next one, if the failure does not take longer:
 * random below a bound that doubles with each failure. */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 1000
#define BACKOFF_DOUBLINGS 4

/* Age of the known state from which a node that could not read the store reads endpoints and
 * the newest document apart: a read of changes returns each document published meanwhile in
 * full, the oldest first, and several large ones take seconds on a slow link. */
#define BACKLOG_AGE (2 * FB_SECOND)

/* A document of this size takes 0.15 s on a link of 7 Mbit/s. Smaller ones come with the
 * changes. */
#define LARGE_DOCUMENT_BYTES (128 * 1024)

/* Interval of checks on removed endpoints that may be listed again. */
#define SETTLE_CHECK_PERIOD (200 * FB_MILLISECOND)

static fb_time_t
get_time (const fd_feed_t *feed)
{
  return fb_read_clock (feed->clock);
}

static void
find_counters (fd_feed_t *feed, fb_counters_t *counters)
{
  feed->reads = fb_find_counter (counters, "source_calls", "");
  feed->read_failures = fb_find_counter (counters, "source_failures", "");
  feed->full_reads = fb_find_counter (counters, "source_full_reads", "");
  feed->restores = fb_find_counter (counters, "source_restores", "");
  feed->withheld_removals = fb_find_counter (counters, "source_withheld_removals", "");
  feed->ignored_documents = fb_find_counter (counters, "source_ignored_documents", "");
  feed->ignored_updates = fb_find_counter (counters, "feed_news", "way=\"ignored\"");
  feed->updates_received = fb_find_counter (counters, "feed_news", "way=\"taken\"");
  feed->updates_sent = fb_find_counter (counters, "feed_news", "way=\"given\"");
  feed->request_failures = fb_find_counter (counters, "feed_news", "way=\"failed\"");
  feed->deltas_applied = fb_find_counter (counters, "feed_deltas", "");
}

fd_feed_t *
fd_create_feed (const fd_feed_options_t *options, uint32_t seed, const fb_clock_t *clock,
                fb_counters_t *counters, fb_log_t *log, const fd_feed_hooks_t *hooks)
{
  fd_feed_t *feed = g_new0 (fd_feed_t, 1);

  feed->options = *options;
  feed->clock = clock;
  feed->log = log;
  feed->hooks = *hooks;
  feed->random = g_rand_new_with_seed (seed);
  feed->id = ((uint64_t)g_rand_int (feed->random) << 32) + 1;
  feed->listing = fm_create_listing (clock, hooks->endpoint_changed, hooks->user);
  feed->pending_requests = g_ptr_array_new_with_free_func (g_free);
  fd_init_evacuations (feed);
  find_counters (feed, counters);
  return feed;
}

void
fd_destroy_feed (fd_feed_t *feed)
{
  if (!feed)
    return;
  fd_clear_feed_documents (feed);
  fd_clear_evacuations (feed);
  fm_destroy_listing (feed->listing);
  g_ptr_array_free (feed->pending_requests, TRUE);
  g_rand_free (feed->random);
  g_free (feed->page_key);
  g_free (feed);
}

static fb_time_t
get_next_read_time (const fd_feed_t *feed, fb_time_t now)
{
  if (feed->consecutive_failures > 0 || feed->read_kind != FD_READ_CHANGES)
    return feed->next_read_at;
  return feed->known_at + fd_get_read_age (feed, now);
}

/* Returns whether large documents may have been published while the store could not be read. */
static bool
has_backlog (const fd_feed_t *feed)
{
  return feed->consecutive_failures >= OUTAGE_FAILURES && fd_get_age (feed) >= BACKLOG_AGE
         && fd_get_document (feed, &(fb_position_t){ 0 }).len >= LARGE_DOCUMENT_BYTES;
}

/* Returns the kind of the read that delivers endpoints apart from the document. Evacuations are
 * read before, so that all three are known up to the start of the document's read. */
static fd_read_kind_t
get_separate_kind (const fd_feed_t *feed)
{
  return feed->options.evacuation ? FD_READ_EVACUATIONS : FD_READ_ENDPOINTS;
}

/* Returns the kind of the read to start. Changes of a document that is known up to a position
 * of an earlier era cannot be requested: the document is read by itself. */
static fd_read_kind_t
get_read_kind (const fd_feed_t *feed)
{
  if (feed->read_kind != FD_READ_CHANGES)
    return feed->read_kind;
  if (feed->document_known_position.era < feed->position.era)
    return FD_READ_DOCUMENT;
  if (fd_needs_evacuation_read (feed))
    return FD_READ_EVACUATIONS;
  return has_backlog (feed) ? get_separate_kind (feed) : FD_READ_CHANGES;
}

static void
begin_full_read (fd_feed_t *feed)
{
  fb_add_counter (feed->full_reads, 1);
  if (feed->synced)
    FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG_SERVICE, "reading everything",
            FB_NUMBER ("era", feed->position.era),
            FB_NUMBER ("position", feed->position.revision),
            FB_NUMBER ("age_ms", fd_get_age (feed) / FB_MILLISECOND));
  fm_begin_full_read (feed->listing);
}

static void
start_read (fd_feed_t *feed, fb_time_t now)
{
  fd_read_t read = { .after_key = feed->page_key };

  if (feed->read_kind == FD_READ_CHANGES && get_read_kind (feed) == get_separate_kind (feed))
    feed->is_document_due = true;
  feed->read_kind = get_read_kind (feed);
  if (!feed->page_key)
    fd_begin_evacuation_read (feed);
  feed->read_era = feed->page_key ? feed->first_page_position.era : feed->position.era;
  read.kind = feed->read_kind;
  switch (feed->read_kind)
    {
    case FD_READ_CHANGES:
      read.after_revision
          = fd_limit_to_evacuations (
                feed, fb_get_earlier_position (feed->position, feed->document_known_position))
                .revision;
      read.wait_ms = fd_get_change_wait_ms (feed, now);
      break;
    case FD_READ_ENDPOINTS:
      read.after_revision = feed->position.revision;
      read.wait_ms = 1;
      break;
    case FD_READ_DOCUMENT:
      feed->document_read_started_at = now;
      break;
    case FD_READ_EVACUATIONS:
      break;
    case FD_READ_ALL:
      if (!feed->page_key)
        begin_full_read (feed);
      break;
    }
  read.timeout_ms = fd_get_timeout_ms (feed, read.wait_ms);
  feed->read_outstanding = true;
  feed->read_started_at = now;
  feed->documents_read = 0;
  fb_add_counter (feed->reads, 1);
  feed->hooks.start_read (&read, feed->hooks.user);
}

fb_time_t
fd_run_feed (fd_feed_t *feed)
{
  fb_time_t now = get_time (feed);
  fb_time_t next = now + FB_SECOND;

  fm_tick_listing (feed->listing);
  fd_update_relay (feed, now);
  if (!feed->read_outstanding && now >= get_next_read_time (feed, now))
    start_read (feed, now);
  if (!feed->read_outstanding)
    next = MIN (next, get_next_read_time (feed, now));
  if (fd_can_request (feed, now))
    next = MIN (next, MAX (feed->next_request_at, now));
  if (!fm_is_listing_settled (feed->listing))
    next = MIN (next, now + SETTLE_CHECK_PERIOD);
  return next;
}

static bool
is_first_page (const fd_feed_t *feed)
{
  return feed->read_kind == FD_READ_ALL && !feed->page_key;
}

/* Returns whether the outstanding read can deliver what was written at POSITION: it must be of
 * the era in which the read continues, and may be older than an update received meanwhile. */
static bool
is_usable (const fd_feed_t *feed, fb_position_t position)
{
  if (is_first_page (feed))
    return position.era >= feed->position.era;
  return position.era == feed->read_era
         && (feed->read_kind == FD_READ_ALL
             || fb_compare_positions (position, feed->position) > 0);
}

void
fd_add_endpoint (fd_feed_t *feed, fb_position_t position, const fw_endpoint_t *endpoint)
{
  if (is_usable (feed, position))
    fm_add_endpoint (feed->listing, endpoint);
}

void
fd_set_known_at (fd_feed_t *feed, fb_time_t time)
{
  feed->known_at = time;
  fm_set_known_time (feed->listing, time);
}

void
fd_remove_listed (fd_feed_t *feed, const fb_name_t *id)
{
  bool was_missing = fm_is_missing (feed->listing, id);

  fm_remove_endpoint (feed->listing, id);
  if (was_missing || !fm_is_missing (feed->listing, id))
    return;
  fb_add_counter (feed->withheld_removals, 1);
  FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG_SERVICE,
          "removal withheld until the listing is settled", FB_TEXT ("instance", id->data),
          FB_NUMBER ("position", feed->position.revision),
          FB_NUMBER ("age_ms", fd_get_age (feed) / FB_MILLISECOND));
}

void
fd_remove_endpoint (fd_feed_t *feed, fb_position_t position, const fb_name_t *id)
{
  if (is_usable (feed, position))
    fd_remove_listed (feed, id);
}

void
fd_set_document (fd_feed_t *feed, fb_position_t position, uint64_t number, fb_bytes_t text)
{
  if (fd_add_document (feed, position, number, text))
    feed->documents_read++;
}

/* Schedules the next read at once, or after the back-off of a failure. */
static void
schedule_read (fd_feed_t *feed, fd_read_kind_t kind)
{
  feed->read_kind = kind;
  if (feed->consecutive_failures == 0)
    feed->next_read_at = 0;
}

/* Schedules the next read. A read of changes returns every document since the last one in
 * full. When they are published faster than read, NEWEST_ONLY reads only the newest, and the
 * endpoints separately. */
static void
schedule_next_read (fd_feed_t *feed, bool newest_only)
{
  schedule_read (feed, newest_only ? FD_READ_DOCUMENT : FD_READ_CHANGES);
  if (newest_only)
    feed->next_read_at = feed->known_at + fd_get_read_age (feed, get_time (feed));
}

static void
finish_changes (fd_feed_t *feed, fb_position_t position)
{
  feed->position = fb_get_later_position (feed->position, position);
  feed->document_known_position
      = fb_get_later_position (feed->document_known_position, position);
  fd_set_known_at (feed, MAX (feed->known_at, feed->read_started_at));
  feed->read_completed_at = get_time (feed);
  schedule_next_read (feed, feed->documents_read > 1
                                && !fd_is_following (feed, feed->read_completed_at));
}

static void
finish_endpoints (fd_feed_t *feed, fb_position_t position)
{
  feed->position = fb_get_later_position (feed->position, position);
  fd_set_known_at (feed, MAX (feed->known_at, feed->document_read_started_at));
  feed->read_completed_at = get_time (feed);
  schedule_next_read (
      feed, feed->document_read_found_new
                || (feed->is_document_due && !fd_is_following (feed, feed->read_completed_at)));
}

static void
finish_document (fd_feed_t *feed, fb_position_t position)
{
  feed->document_known_position
      = fb_get_later_position (feed->document_known_position, position);
  feed->document_read_found_new = feed->documents_read > 0;
  feed->is_document_due = false;
  if (fd_is_following (feed, get_time (feed)))
    schedule_read (feed, FD_READ_CHANGES);
  else
    schedule_read (feed, get_separate_kind (feed));
}

/* Changes made during a full read are found by the next read of changes, which starts at the
 * position of the first page. */
static void
finish_page (fd_feed_t *feed, const fd_read_result_t *result)
{
  char *page_key = result->kind == FD_RESULT_HAS_MORE ? g_strdup (result->last_key) : NULL;

  if (!feed->page_key)
    feed->first_page_position = result->position;
  g_free (feed->page_key);
  feed->page_key = page_key;
  schedule_read (feed, FD_READ_ALL);
  if (page_key)
    return;
  fm_end_full_read (feed->listing);
  fd_finish_evacuation_read (feed, feed->first_page_position);
  feed->synced = true;
  feed->rereading = false;
  feed->is_document_due = false;
  feed->position = feed->first_page_position;
  feed->document_known_position = feed->first_page_position;
  fd_set_known_at (feed, feed->read_started_at);
  feed->read_completed_at = get_time (feed);
  feed->read_kind = FD_READ_CHANGES;
}

static void
restart_full_read (fd_feed_t *feed)
{
  g_clear_pointer (&feed->page_key, g_free);
  schedule_read (feed, FD_READ_ALL);
  feed->rereading = feed->synced;
}

static void
record_failure (fd_feed_t *feed, const fd_read_result_t *result)
{
  uint32_t bound = BACKOFF_MAX_MS;
  fb_time_t now = get_time (feed);
  fb_time_t backoff;

  if (feed->consecutive_failures < BACKOFF_DOUBLINGS)
    bound = MIN (bound, (uint32_t)BACKOFF_MIN_MS << feed->consecutive_failures);
  if (feed->consecutive_failures == 0)
    FB_LOG (feed->log, FB_LOG_WARNING, FD_FEED_LOG_SERVICE, "store cannot be read",
            FB_NUMBER ("status", result->http_status),
            FB_TEXT ("error", result->error ? result->error : ""),
            FB_NUMBER ("position", feed->position.revision),
            FB_NUMBER ("age_ms", fd_get_age (feed) / FB_MILLISECOND));
  if (feed->consecutive_failures == 0)
    feed->outage_started_at = feed->read_started_at;
  feed->failed_read_started_at = feed->read_started_at;
  feed->consecutive_failures++;
  feed->rereading = false;
  fb_add_counter (feed->read_failures, 1);
  fm_mark_source_unavailable (feed->listing);
  backoff
      = g_rand_int_range (feed->random, BACKOFF_MIN_MS / 2, (gint32)bound + 1) * FB_MILLISECOND;
  feed->next_read_at
      = MAX (feed->read_started_at + backoff, now + BACKOFF_MIN_MS / 2 * FB_MILLISECOND);
  if (feed->read_kind == FD_READ_ALL)
    g_clear_pointer (&feed->page_key, g_free);
}

void
fd_mark_source_available (fd_feed_t *feed)
{
  fm_mark_source_available (feed->listing, feed->consecutive_failures >= OUTAGE_FAILURES);
  feed->consecutive_failures = 0;
}

static void
record_success (fd_feed_t *feed)
{
  fb_time_t now = get_time (feed);

  if (feed->consecutive_failures > 0)
    FB_LOG (
        feed->log, FB_LOG_INFO, FD_FEED_LOG_SERVICE, "store can be read again",
        FB_NUMBER ("failures", feed->consecutive_failures),
        FB_NUMBER ("outage", feed->consecutive_failures >= OUTAGE_FAILURES),
        FB_NUMBER ("outage_ms", (now - feed->outage_started_at) / FB_MILLISECOND),
        FB_NUMBER ("noticed_within_ms", (now - feed->failed_read_started_at) / FB_MILLISECOND),
        FB_NUMBER ("read_ms", (now - feed->read_started_at) / FB_MILLISECOND));
  fd_mark_source_available (feed);
}

/* A set of several pages is read with everything else. */
static void
finish_evacuations (fd_feed_t *feed, const fd_read_result_t *result)
{
  if (result->kind == FD_RESULT_HAS_MORE)
    {
      restart_full_read (feed);
      return;
    }
  fd_finish_evacuation_read (feed, result->position);
  schedule_read (feed, FD_READ_ENDPOINTS);
}

static void
finish_read (fd_feed_t *feed, const fd_read_result_t *result)
{
  switch (feed->read_kind)
    {
    case FD_READ_ALL:
      finish_page (feed, result);
      break;
    case FD_READ_CHANGES:
      fd_finish_evacuation_read (feed, result->position);
      finish_changes (feed, result->position);
      break;
    case FD_READ_DOCUMENT:
      finish_document (feed, result->position);
      break;
    case FD_READ_ENDPOINTS:
      finish_endpoints (feed, result->position);
      break;
    case FD_READ_EVACUATIONS:
      finish_evacuations (feed, result);
      break;
    }
}

/* Nothing is known of the changes of an era that begins. */
static void
record_restore (fd_feed_t *feed, fb_position_t store_position)
{
  if (feed->synced)
    {
      fb_add_counter (feed->restores, 1);
      FB_LOG (feed->log, FB_LOG_WARNING, FD_FEED_LOG_SERVICE, "store was restored from a copy",
              FB_NUMBER ("era", store_position.era),
              FB_NUMBER ("store_position", store_position.revision),
              FB_NUMBER ("position", feed->position.revision),
              FB_NUMBER ("document_position", feed->documents[0].position.revision),
              FB_NUMBER ("age_ms", fd_get_age (feed) / FB_MILLISECOND));
    }
  feed->position = (fb_position_t){ .era = store_position.era };
  feed->relay_feed_id = 0;
  fm_mark_source_restored (feed->listing);
}

/* Reads everything again, but not before EARLIEST, and only when no relay sends an update
 * first. */
static void
schedule_full_read (fd_feed_t *feed, fb_time_t earliest)
{
  fb_time_t now = get_time (feed);

  restart_full_read (feed);
  feed->next_read_at = MAX (earliest, now + fd_prepare_full_read (feed, now));
}

void
fd_begin_era (fd_feed_t *feed, fb_position_t store_position)
{
  record_restore (feed, store_position);
  if (feed->read_outstanding)
    feed->rereading = true;
  else
    schedule_full_read (feed, 0);
}

/* Returns whether nothing is known of the store's era, and no full read of it has begun. */
static bool
needs_full_read (const fd_feed_t *feed)
{
  return feed->synced && feed->position.revision == 0 && feed->read_kind != FD_READ_ALL;
}

/* Returns whether the outstanding read goes on with a response of ERA. */
static bool
continues_in_era (const fd_feed_t *feed, uint64_t era)
{
  return is_first_page (feed) || feed->read_kind == FD_READ_DOCUMENT || era == feed->read_era;
}

static void
handle_result (fd_feed_t *feed, const fd_read_result_t *result)
{
  uint64_t era = result->position.era;

  if (era > feed->position.era && is_first_page (feed))
    record_restore (feed, result->position);
  else if (era > feed->position.era)
    {
      fd_begin_era (feed, result->position);
      return;
    }
  if (result->kind == FD_RESULT_COMPACTED)
    {
      FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG_SERVICE, "store history compacted",
              FB_NUMBER ("position", feed->position.revision));
      restart_full_read (feed);
    }
  else if (continues_in_era (feed, era))
    finish_read (feed, result);
  else if (feed->read_kind == FD_READ_ALL)
    restart_full_read (feed);
}

void
fd_end_read (fd_feed_t *feed, const fd_read_result_t *result)
{
  fd_read_result_t late
      = { .kind = FD_RESULT_FAILED, .error = "response from before the store was restored" };

  feed->read_outstanding = false;
  if (result->kind != FD_RESULT_FAILED && result->position.era < feed->position.era)
    result = &late;
  if (result->kind == FD_RESULT_FAILED)
    record_failure (feed, result);
  else
    {
      record_success (feed);
      handle_result (feed, result);
    }
  if (needs_full_read (feed))
    schedule_full_read (feed, feed->consecutive_failures > 0 ? feed->next_read_at : 0);
  fd_respond_to_requests (feed);
  if (feed->synced)
    feed->hooks.document_changed (feed->hooks.user);
}

bool
fd_is_synced (const fd_feed_t *feed)
{
  return feed->synced;
}

fb_position_t
fd_get_position (const fd_feed_t *feed)
{
  return feed->position;
}

fb_time_t
fd_get_age (const fd_feed_t *feed)
{
  return get_time (feed) - feed->known_at;
}
