/* Following: of the nodes of a zone a few read the store, and the others ask one of them. The
 * readers are those with the highest rendezvous weights; a node that is asked reads, whatever
 * it thinks of its own place. */
#include "feed-state.h"
#include <string.h>

/* Nodes that follow one reader. Each asks once or twice a second, and a message costs a host of
 * a tenth of a core about a thousandth of its time. */
#define FOLLOWERS_MAX 40

/* Places beyond the readers that a node turns to when those do not answer. */
#define SPARE_PLACES 2
#define PLACES_MAX 128 /* room for the readers of a zone of 5,000 nodes */

/* Time for which a relay that did not answer well is left aside. */
#define AVOID_TIME (2 * FB_SECOND)

/* Time between two choices while there is nobody to follow. */
#define CHOICE_PERIOD FB_SECOND

/* Pause after a relay had no news to vouch for, before the next one is asked. */
#define ASK_PAUSE (100 * FB_MILLISECOND)

/* Paces for which a node goes on reading after it was last asked. */
#define MEMORY_PACES 3

static fb_time_t
read_time (const fd_feed_t *feed)
{
  return fb_read_clock (feed->clock);
}

bool
fd_is_followed (const fd_feed_t *feed, fb_time_t now)
{
  return now < feed->asked_until;
}

bool
fd_is_following (const fd_feed_t *feed, fb_time_t now)
{
  return feed->relay.len > 0 && now < feed->news_fresh + 2 * feed->rules.poll_interval;
}

static bool
is_avoided (const fd_feed_t *feed, const fb_name_t *address, fb_time_t now)
{
  for (size_t i = 0; i < FD_AVOIDED_MAX; i++)
    if (now < feed->avoided[i].until && fb_equal_name (&feed->avoided[i].address, address))
      return true;
  return false;
}

static void
avoid_relay (fd_feed_t *feed, fb_time_t now)
{
  feed->avoided[feed->next_avoided++ % FD_AVOIDED_MAX]
      = (fd_avoided_t){ feed->relay, now + AVOID_TIME };
}

/* Nodes of the zone by their weight. */
typedef struct
{
  const fd_feed_t *feed;
  const fw_member_t *places[PLACES_MAX]; /* of the listing; the highest weight first */
  uint64_t weights[PLACES_MAX];
  size_t count; /* of places that are taken */
  size_t nodes; /* of the zone */
} ranking_t;

static bool
is_ranked (const ranking_t *ranking, const fb_name_t *address)
{
  for (size_t i = 0; i < ranking->count; i++)
    if (fb_equal_name (&ranking->places[i]->address, address))
      return true;
  return false;
}

static void
rank_endpoint (const fw_endpoint_t *endpoint, void *user)
{
  ranking_t *ranking = user;
  const fw_member_t *member = &endpoint->member;
  const fd_feed_options_t *rules = &ranking->feed->rules;
  uint64_t weight;
  size_t place;

  if (member->state != FW_ALIVE || !fb_equal_name (&member->zone, &rules->zone)
      || is_ranked (ranking, &member->address))
    return;
  ranking->nodes++;
  weight
      = fb_get_rendezvous_weight (fb_get_name (&rules->zone), fb_get_name (&member->address));
  for (place = ranking->count; place > 0 && ranking->weights[place - 1] < weight; place--)
    {
      if (place == PLACES_MAX)
        continue;
      ranking->places[place] = ranking->places[place - 1];
      ranking->weights[place] = ranking->weights[place - 1];
    }
  if (place == PLACES_MAX)
    return;
  ranking->places[place] = member;
  ranking->weights[place] = weight;
  ranking->count = MIN (ranking->count + 1, PLACES_MAX);
}

/* Returns the node to follow, in RANKING, or NULL when this one is to read itself. */
static const fw_member_t *
choose_place (const fd_feed_t *feed, const ranking_t *ranking, fb_time_t now)
{
  size_t readers = 1 + ranking->nodes / FOLLOWERS_MAX;
  size_t places = MIN (readers + SPARE_PLACES, ranking->count);
  size_t first = fb_hash_str (fb_get_name (&feed->rules.address), 0) % readers;

  for (size_t i = 0; i < readers && i < ranking->count; i++)
    if (fb_equal_name (&ranking->places[i]->address, &feed->rules.address))
      return NULL;
  for (size_t i = 0; i < places; i++)
    {
      const fw_member_t *member = ranking->places[(first + i) % places];

      if (!fb_equal_name (&member->address, &feed->rules.address)
          && !is_avoided (feed, &member->address, now))
        return member;
    }
  return NULL;
}

static void
follow (fd_feed_t *feed, const fb_name_t *address, const char *reason, fb_time_t now)
{
  if (fb_equal_name (&feed->relay, address))
    return;
  feed->relay = *address;
  FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG,
          address->len > 0 ? "following another node" : "reading the store",
          FB_TEXT ("relay", address->data), FB_TEXT ("reason", reason),
          FB_NUMBER ("position", feed->position),
          FB_NUMBER ("age_ms", (now - feed->fresh) / FB_MILLISECOND));
}

static void
send_ask (fd_feed_t *feed, const fw_member_t *peer, fb_time_t now)
{
  fw_feed_message_t ask
      = { .kind = FW_FEED_REQUEST,
          .feed_id = feed->relay_id,
          .sequence = feed->relay_sequence,
          .position = feed->position,
          .document_position = MAX (feed->documents[0].position, feed->wanted) };

  feed->asking = true;
  feed->asked = now;
  feed->hooks.send_request (peer, &ask, feed->hooks.user);
}

bool
fd_may_ask (const fd_feed_t *feed)
{
  return feed->listed && feed->kind != FD_READ_ALL && !feed->asking;
}

void
fd_run_relay (fd_feed_t *feed, fb_time_t now)
{
  static const fb_name_t none;
  ranking_t ranking = { .feed = feed };
  const fw_member_t *place;

  if (!fd_may_ask (feed) || now < feed->ask_at)
    return;
  feed->ask_at = now + CHOICE_PERIOD;
  if (fd_is_followed (feed, now))
    {
      follow (feed, &none, "other nodes follow this one", now);
      return;
    }
  fm_visit_changes (feed->listing, 0, rank_endpoint, &ranking);
  place = choose_place (feed, &ranking, now);
  if (place)
    {
      follow (feed, &place->address, "a reader of the zone", now);
      send_ask (feed, place, now);
    }
  else
    follow (feed, &none, "nobody to follow", now);
}

/* Leaves the relay aside, so that the next choice is another one. */
static void
leave_relay (fd_feed_t *feed, const char *reason)
{
  fb_time_t now = read_time (feed);

  fb_add_counter (feed->news_failures, 1);
  FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG, "no news of another node",
          FB_TEXT ("relay", feed->relay.data), FB_TEXT ("reason", reason),
          FB_NUMBER ("position", feed->position),
          FB_NUMBER ("age_ms", (now - feed->fresh) / FB_MILLISECOND));
  avoid_relay (feed, now);
  feed->ask_at = now + ASK_PAUSE;
}

static void
take_endpoints (fd_feed_t *feed, const fw_feed_message_t *news)
{
  if (news->complete)
    fm_begin_full_read (feed->listing);
  for (size_t i = 0; i < news->endpoint_count; i++)
    {
      const fw_endpoint_t *endpoint = &news->endpoints[i];

      if (endpoint->member.state == FW_DEAD)
        fm_remove_endpoint (feed->listing, &endpoint->member.id);
      else
        fm_add_endpoint (feed->listing, endpoint);
    }
  if (news->complete)
    fm_end_full_read (feed->listing);
}

/* Takes over the configuration that NEWS tells of, or lets it be read of the store. */
static void
take_document (fd_feed_t *feed, const fw_feed_message_t *news)
{
  if (news->document_position > feed->documents[0].position)
    {
      if (news->delta.len > 0
          && fd_apply_delta (feed, news->document_position, &news->digest, news->delta))
        fb_add_counter (feed->deltas, 1);
      else
        {
          feed->wanted = MAX (feed->wanted, news->document_position);
          if (!feed->reading)
            {
              feed->kind = FD_READ_DOCUMENT;
              feed->read_at = 0;
            }
          return;
        }
    }
  feed->seen = MAX (feed->seen, news->position);
}

/* Returns when what NEWS tells was known to be whole, in this node's time: what the ask did not
 * spend at the sender it may have spent on the way back. */
static fb_time_t
get_fresh_time (const fd_feed_t *feed, const fw_feed_message_t *news, fb_time_t now)
{
  fb_time_t way = now - feed->asked - (fb_time_t)news->request_wait_us * FB_MICROSECOND;

  return now - (fb_time_t)news->age_us * FB_MICROSECOND - MAX (way, 0);
}

static void
take_news (fd_feed_t *feed, const fw_feed_message_t *news, fb_time_t now)
{
  fm_mark_source_available (feed->listing);
  feed->failures = 0;
  if (!feed->reading)
    feed->kind = FD_READ_CHANGES;
  take_endpoints (feed, news);
  feed->position = news->position;
  feed->relay_id = news->feed_id;
  feed->relay_sequence = news->sequence;
  feed->news_fresh = get_fresh_time (feed, news, now);
  feed->fresh = MAX (feed->fresh, feed->news_fresh);
  take_document (feed, news);
  fb_add_counter (feed->news_taken, 1);
  feed->hooks.document_changed (feed->hooks.user);
}

void
fd_handle_response (fd_feed_t *feed, const fw_feed_message_t *news)
{
  fb_time_t now = read_time (feed);

  feed->asking = false;
  if (news->kind != FW_FEED_UPDATE)
    {
      leave_relay (feed, "it does not read the store");
      return;
    }
  feed->ask_at = now;
  /* A list that is being read anew, or a read of the store that was faster, goes first. */
  if (feed->kind != FD_READ_ALL && news->position >= feed->position)
    take_news (feed, news, now);
}

void
fd_fail_request (fd_feed_t *feed, const char *reason)
{
  feed->asking = false;
  leave_relay (feed, reason);
}

/* Returns whether this node knows all that the store holds, and no decision is open. */
static bool
can_vouch (const fd_feed_t *feed, fb_time_t now)
{
  return feed->listed && feed->kind != FD_READ_ALL && feed->failures == 0
         && fm_is_settled (feed->listing) && now < feed->fresh + 2 * feed->rules.poll_interval;
}

static void
add_endpoint (const fw_endpoint_t *endpoint, void *user)
{
  g_array_append_val ((GArray *)user, *endpoint);
}

static void
give_news (fd_feed_t *feed, const fd_asked_t *asked, fb_time_t now)
{
  GArray *endpoints = g_array_new (FALSE, FALSE, sizeof (fw_endpoint_t));
  fw_feed_message_t news
      = { .kind = FW_FEED_UPDATE,
          .feed_id = feed->id,
          .sequence = fm_get_sequence (feed->listing),
          .position = feed->position,
          .document_position = feed->documents[0].position,
          .digest = feed->documents[0].digest,
          .age_us = (uint64_t)((now - feed->fresh) / FB_MICROSECOND),
          .request_wait_us = (uint64_t)((now - asked->arrived) / FB_MICROSECOND) };

  news.complete
      = asked->ask.feed_id != feed->id
        || !fm_visit_changes (feed->listing, asked->ask.sequence, add_endpoint, endpoints);
  if (news.complete)
    fm_visit_changes (feed->listing, 0, add_endpoint, endpoints);
  news.endpoint_count = MIN (endpoints->len, FW_ENDPOINTS_MAX);
  news.endpoints = (fw_endpoint_t *)(void *)endpoints->data;
  if (asked->ask.document_position < news.document_position)
    news.delta = fd_find_delta (feed, asked->ask.document_position);
  fb_add_counter (feed->news_given, 1);
  feed->hooks.send_response (asked->asker, &news, feed->hooks.user);
  g_array_free (endpoints, TRUE);
}

/* Returns whether ASKED can be answered: something is new, or a read since then has shown that
 * nothing is. */
static bool
is_answerable (const fd_feed_t *feed, const fd_asked_t *asked, fb_time_t now)
{
  const fw_feed_message_t *ask = &asked->ask;

  if (feed->position < ask->position || now >= feed->fresh + feed->rules.poll_interval)
    return false;
  return ask->feed_id != feed->id || ask->sequence != fm_get_sequence (feed->listing)
         || ask->document_position < feed->documents[0].position
         || feed->completed > asked->arrived;
}

void
fd_answer_asks (fd_feed_t *feed)
{
  fb_time_t now = read_time (feed);
  bool good = can_vouch (feed, now);
  fw_feed_message_t none = { .kind = FW_FEED_UNAVAILABLE };

  for (guint i = feed->asks->len; i > 0; i--)
    {
      fd_asked_t *asked = g_ptr_array_index (feed->asks, i - 1);

      if (good && !is_answerable (feed, asked, now))
        continue;
      if (good)
        give_news (feed, asked, now);
      else
        feed->hooks.send_response (asked->asker, &none, feed->hooks.user);
      g_ptr_array_remove_index_fast (feed->asks, i - 1);
    }
}

void
fd_handle_request (fd_feed_t *feed, void *asker, const fw_feed_message_t *ask)
{
  fd_asked_t *asked = g_new0 (fd_asked_t, 1);
  fb_time_t now = read_time (feed);

  *asked = (fd_asked_t){ asker, *ask, now };
  asked->ask.endpoints = NULL;
  g_ptr_array_add (feed->asks, asked);
  feed->asked_until = now + MEMORY_PACES * feed->rules.poll_interval;
  fd_answer_asks (feed);
}

void
fd_cancel_request (fd_feed_t *feed, void *asker)
{
  for (guint i = feed->asks->len; i > 0; i--)
    if (((fd_asked_t *)g_ptr_array_index (feed->asks, i - 1))->asker == asker)
      g_ptr_array_remove_index_fast (feed->asks, i - 1);
}
