/* Following another node. In each zone the nodes with the highest rendezvous weights read
 * the store; each other one requests updates from one of them, its relay. A node that gets
 * requests reads the store whatever its weight. */
#include "feed-state.h"
#include <string.h>

/* A follower sends one or two requests a second, each of which takes a relay on a tenth of a
 * core about a thousandth of its time. */
#define NODES_PER_READER 40

/* Nodes next in weight that a node may follow when the readers do not respond. */
#define SPARE_RELAYS 2
#define CANDIDATES_MAX 128 /* enough for the readers and spares of a zone of 5,000 nodes */

/* Time for which a relay is not chosen again after a failed request. */
#define RELAY_AVOID_TIME (2 * FB_SECOND)

/* Time between two choices of a relay while none is available. */
#define RELAY_CHOICE_PERIOD FB_SECOND

#define RELAY_RETRY_DELAY (100 * FB_MILLISECOND)

/* Poll intervals for which a node waits for a relay after a restore before it reads everything
 * itself. Random, so that nodes whose relays fail do not read together; the longest wait, the
 * back-off of a failed read and a full read fit the time in which changes must be known again.
 */
#define FULL_READ_DELAY_MIN_INTERVALS 0.6
#define FULL_READ_DELAY_MAX_INTERVALS 1.25

/* Poll intervals for which a node counts as followed after its last received request. */
#define FOLLOWED_INTERVALS 3

static fb_time_t
get_time (const fd_feed_t *feed)
{
  return fb_read_clock (feed->clock);
}

bool
fd_has_followers (const fd_feed_t *feed, fb_time_t now)
{
  return now < feed->followed_until;
}

bool
fd_is_following (const fd_feed_t *feed, fb_time_t now)
{
  return feed->relay_address.len > 0
         && now < feed->relay_known_at + 2 * feed->options.poll_interval;
}

static bool
is_avoided (const fd_feed_t *feed, const fb_name_t *address, fb_time_t now)
{
  for (size_t i = 0; i < FD_AVOIDED_RELAYS_MAX; i++)
    if (now < feed->avoided_relays[i].avoid_until
        && fb_equal_name (&feed->avoided_relays[i].address, address))
      return true;
  return false;
}

static void
avoid_relay (fd_feed_t *feed, fb_time_t now)
{
  feed->avoided_relays[feed->next_avoided_relay++ % FD_AVOIDED_RELAYS_MAX]
      = (fd_avoided_relay_t){ feed->relay_address, now + RELAY_AVOID_TIME };
}

/* Nodes of this node's zone, and those of them with the highest rendezvous weights. */
typedef struct
{
  const fd_feed_t *feed;
  const fw_member_t *candidates[CANDIDATES_MAX]; /* borrowed, by descending weight */
  uint64_t weights[CANDIDATES_MAX];
  size_t candidate_count;
  size_t node_count; /* of the zone */
} zone_nodes_t;

static bool
is_candidate (const zone_nodes_t *zone_nodes, const fb_name_t *address)
{
  for (size_t i = 0; i < zone_nodes->candidate_count; i++)
    if (fb_equal_name (&zone_nodes->candidates[i]->address, address))
      return true;
  return false;
}

static void
add_candidate (const fw_endpoint_t *endpoint, void *user)
{
  zone_nodes_t *zone_nodes = user;
  const fw_member_t *member = &endpoint->member;
  const fd_feed_options_t *options = &zone_nodes->feed->options;
  uint64_t weight;
  size_t index;

  if (member->state != FW_ALIVE || !fb_equal_name (&member->zone, &options->zone)
      || is_candidate (zone_nodes, &member->address))
    return;
  zone_nodes->node_count++;
  weight
      = fb_get_rendezvous_weight (fb_get_name (&options->zone), fb_get_name (&member->address));
  for (index = zone_nodes->candidate_count;
       index > 0 && zone_nodes->weights[index - 1] < weight; index--)
    {
      if (index == CANDIDATES_MAX)
        continue;
      zone_nodes->candidates[index] = zone_nodes->candidates[index - 1];
      zone_nodes->weights[index] = zone_nodes->weights[index - 1];
    }
  if (index == CANDIDATES_MAX)
    return;
  zone_nodes->candidates[index] = member;
  zone_nodes->weights[index] = weight;
  zone_nodes->candidate_count = MIN (zone_nodes->candidate_count + 1, CANDIDATES_MAX);
}

/* Returns the node of ZONE_NODES to follow, or NULL when this node should read the store. */
static const fw_member_t *
choose_relay (const fd_feed_t *feed, const zone_nodes_t *zone_nodes, fb_time_t now)
{
  size_t readers = 1 + zone_nodes->node_count / NODES_PER_READER;
  size_t candidates = MIN (readers + SPARE_RELAYS, zone_nodes->candidate_count);
  size_t first = fb_hash_str (fb_get_name (&feed->options.address), 0) % readers;

  for (size_t i = 0; i < readers && i < zone_nodes->candidate_count; i++)
    if (fb_equal_name (&zone_nodes->candidates[i]->address, &feed->options.address))
      return NULL;
  for (size_t i = 0; i < candidates; i++)
    {
      const fw_member_t *member = zone_nodes->candidates[(first + i) % candidates];

      if (!fb_equal_name (&member->address, &feed->options.address)
          && !is_avoided (feed, &member->address, now))
        return member;
    }
  return NULL;
}

static void
set_relay (fd_feed_t *feed, const fb_name_t *address, const char *reason, fb_time_t now)
{
  if (fb_equal_name (&feed->relay_address, address))
    return;
  feed->relay_address = *address;
  FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG_SERVICE,
          address->len > 0 ? "following a relay" : "reading the store directly",
          FB_TEXT ("relay", address->data), FB_TEXT ("reason", reason),
          FB_NUMBER ("position", feed->position.revision),
          FB_NUMBER ("age_ms", (now - feed->known_at) / FB_MILLISECOND));
}

static void
send_request (fd_feed_t *feed, const fw_member_t *relay, fb_time_t now)
{
  /* An announced document is read from the store and needs no second announcement. */
  fw_feed_message_t request
      = { .kind = FW_FEED_REQUEST,
          .feed_id = feed->relay_feed_id,
          .sequence = feed->relay_sequence,
          .position = feed->position,
          .document_position = fb_get_later_position (feed->documents[0].position,
                                                      feed->announced_document_position) };

  feed->request_outstanding = true;
  feed->request_sent_at = now;
  feed->request_era = feed->position.era;
  feed->hooks.send_request (relay, &request, feed->hooks.user);
}

bool
fd_is_full_read_due (const fd_feed_t *feed, fb_time_t now)
{
  return feed->read_kind == FD_READ_ALL
         && (feed->read_outstanding || feed->page_key || now >= feed->next_read_at);
}

bool
fd_can_request (const fd_feed_t *feed, fb_time_t now)
{
  return feed->synced && !fd_is_full_read_due (feed, now) && !feed->request_outstanding;
}

/* Returns the node to follow, or NULL when this node should read the store. */
static const fw_member_t *
find_relay (const fd_feed_t *feed, fb_time_t now)
{
  zone_nodes_t zone_nodes = { .feed = feed };

  fm_visit_listing_changes (feed->listing, 0, add_candidate, &zone_nodes);
  return choose_relay (feed, &zone_nodes, now);
}

fb_time_t
fd_prepare_full_read (fd_feed_t *feed, fb_time_t now)
{
  double intervals = g_rand_double_range (feed->random, FULL_READ_DELAY_MIN_INTERVALS,
                                          FULL_READ_DELAY_MAX_INTERVALS);

  memset (feed->avoided_relays, 0, sizeof feed->avoided_relays);
  feed->next_request_at = now;
  if (fd_has_followers (feed, now) || !find_relay (feed, now))
    return 0;
  return (fb_time_t)((double)feed->options.poll_interval * intervals);
}

void
fd_update_relay (fd_feed_t *feed, fb_time_t now)
{
  static const fb_name_t no_relay;
  const fw_member_t *relay;

  if (!fd_can_request (feed, now) || now < feed->next_request_at)
    return;
  feed->next_request_at = now + RELAY_CHOICE_PERIOD;
  if (fd_has_followers (feed, now))
    {
      set_relay (feed, &no_relay, "other nodes follow this one", now);
      return;
    }
  relay = find_relay (feed, now);
  if (relay)
    {
      set_relay (feed, &relay->address, "a reader of the zone", now);
      send_request (feed, relay, now);
    }
  else
    set_relay (feed, &no_relay, "no relay available", now);
}

/* So that the next choice is another relay. */
static void
handle_relay_failure (fd_feed_t *feed, const char *reason)
{
  fb_time_t now = get_time (feed);

  fb_add_counter (feed->request_failures, 1);
  FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG_SERVICE, "request to relay failed",
          FB_TEXT ("relay", feed->relay_address.data), FB_TEXT ("reason", reason),
          FB_NUMBER ("position", feed->position.revision),
          FB_NUMBER ("age_ms", (now - feed->known_at) / FB_MILLISECOND));
  avoid_relay (feed, now);
  feed->next_request_at = now + RELAY_RETRY_DELAY;
}

static void
apply_endpoints (fd_feed_t *feed, const fw_feed_message_t *update)
{
  if (update->complete)
    fm_begin_full_read (feed->listing);
  for (size_t i = 0; i < update->endpoint_count; i++)
    {
      const fw_endpoint_t *endpoint = &update->endpoints[i];

      if (endpoint->member.state == FW_DEAD)
        fd_remove_listed (feed, &endpoint->member.id);
      else
        fm_add_endpoint (feed->listing, endpoint);
    }
  if (update->complete)
    fm_end_full_read (feed->listing);
}

static bool
is_newer_than_held (const fd_feed_t *feed, const fw_feed_message_t *update)
{
  return fd_is_newer_document (update->document_position, update->document_number,
                               feed->documents[0].position, feed->documents[0].number);
}

/* Returns whether this node holds a newer document than the sender of REQUEST. */
static bool
has_newer_document (const fd_feed_t *feed, const fw_feed_message_t *request)
{
  return fd_is_newer_document (feed->documents[0].position, feed->documents[0].number,
                               request->document_position, request->document_number);
}

static void
update_document (fd_feed_t *feed, const fw_feed_message_t *update)
{
  if (is_newer_than_held (feed, update))
    {
      if (update->delta.len > 0 && fd_apply_delta (feed, update))
        fb_add_counter (feed->deltas_applied, 1);
      else
        {
          feed->announced_document_position = update->document_position;
          feed->announced_document_number = update->document_number;
          if (!feed->read_outstanding)
            {
              feed->read_kind = FD_READ_DOCUMENT;
              feed->next_read_at = 0;
            }
          return;
        }
    }
  feed->document_known_position
      = fb_get_later_position (feed->document_known_position, update->document_known_position);
}

/* Returns, by this node's clock, the time up to which UPDATE is complete. The round trip
 * less the wait at the relay is taken for the way back, the worst case. */
static fb_time_t
get_known_at (const fd_feed_t *feed, const fw_feed_message_t *update, fb_time_t now)
{
  fb_time_t return_time
      = now - feed->request_sent_at - (fb_time_t)update->request_wait_us * FB_MICROSECOND;

  return now - (fb_time_t)update->age_us * FB_MICROSECOND - MAX (return_time, 0);
}

static void
apply_update (fd_feed_t *feed, const fw_feed_message_t *update, fb_time_t now)
{
  fd_mark_source_available (feed);
  feed->rereading = false;
  if (!feed->read_outstanding)
    feed->read_kind = FD_READ_CHANGES;
  fd_apply_evacuations (feed, update);
  apply_endpoints (feed, update);
  feed->position = update->position;
  feed->relay_feed_id = update->feed_id;
  feed->relay_sequence = update->sequence;
  feed->relay_known_at = get_known_at (feed, update, now);
  fd_set_known_at (feed, MAX (feed->known_at, feed->relay_known_at));
  update_document (feed, update);
  fb_add_counter (feed->updates_received, 1);
  feed->hooks.document_changed (feed->hooks.user);
}

static void
record_ignored_update (fd_feed_t *feed, const fw_feed_message_t *update)
{
  fb_add_counter (feed->ignored_updates, 1);
  FB_LOG (feed->log, FB_LOG_INFO, FD_FEED_LOG_SERVICE, "update of relay ignored",
          FB_TEXT ("relay", feed->relay_address.data),
          FB_NUMBER ("update_era", update->position.era),
          FB_NUMBER ("update_position", update->position.revision),
          FB_NUMBER ("era", feed->position.era),
          FB_NUMBER ("position", feed->position.revision));
}

/* Returns whether UPDATE can be applied. A full read, or a read of the store with a higher
 * position, supersedes it. The changes that the relay has seen across a restore do not tell
 * what it has changed for this node, which has seen others. */
static bool
is_applicable (const fd_feed_t *feed, const fw_feed_message_t *update, fb_time_t now)
{
  return !fd_is_full_read_due (feed, now)
         && (update->complete || feed->request_era == update->position.era)
         && fb_compare_positions (update->position, feed->position) >= 0;
}

void
fd_handle_response (fd_feed_t *feed, const fw_feed_message_t *response)
{
  fb_time_t now = get_time (feed);

  feed->request_outstanding = false;
  if (response->kind != FW_FEED_UPDATE)
    {
      handle_relay_failure (feed, "relay has no current state of the store");
      return;
    }
  if (!fd_accepts_evacuations (feed, response))
    {
      handle_relay_failure (feed, "relay sends no evacuations");
      return;
    }
  feed->next_request_at = now;
  if (response->position.era > feed->position.era)
    fd_begin_era (feed, response->position);
  if (is_applicable (feed, response, now))
    apply_update (feed, response, now);
  else
    record_ignored_update (feed, response);
}

void
fd_fail_request (fd_feed_t *feed, const char *reason)
{
  feed->request_outstanding = false;
  handle_relay_failure (feed, reason);
}

/* Returns whether this node knows the current state of the store, and can tell others. */
static bool
is_up_to_date (const fd_feed_t *feed, fb_time_t now)
{
  return feed->synced && feed->read_kind != FD_READ_ALL && feed->consecutive_failures == 0
         && fm_is_listing_shareable (feed->listing) && fd_can_send_evacuations (feed)
         && now < feed->known_at + 2 * feed->options.poll_interval;
}

static void
append_endpoint (const fw_endpoint_t *endpoint, void *user)
{
  g_array_append_val ((GArray *)user, *endpoint);
}

static void
send_update (fd_feed_t *feed, const fd_pending_request_t *pending, fb_time_t now)
{
  static const fw_feed_message_t unavailable = { .kind = FW_FEED_UNAVAILABLE };
  GArray *endpoints = g_array_new (FALSE, FALSE, sizeof (fw_endpoint_t));
  fw_feed_message_t update
      = { .kind = FW_FEED_UPDATE,
          .feed_id = feed->id,
          .sequence = fm_get_listing_sequence (feed->listing),
          .position = feed->position,
          .document_position = feed->documents[0].position,
          .document_number = feed->documents[0].number,
          .document_known_position = feed->document_known_position,
          .digest = feed->documents[0].digest,
          .age_us = (uint64_t)((now - feed->known_at) / FB_MICROSECOND),
          .request_wait_us = (uint64_t)((now - pending->arrived_at) / FB_MICROSECOND) };

  update.complete = pending->message.feed_id != feed->id
                    || !fm_visit_listing_changes (feed->listing, pending->message.sequence,
                                                  append_endpoint, endpoints);
  if (update.complete)
    fm_visit_listing_changes (feed->listing, 0, append_endpoint, endpoints);
  if (endpoints->len > FW_ENDPOINTS_MAX)
    {
      /* A part would be taken for the full list: the requester reads the store instead. */
      feed->hooks.send_response (pending->requester, &unavailable, feed->hooks.user);
      g_array_free (endpoints, TRUE);
      return;
    }
  update.endpoint_count = endpoints->len;
  update.endpoints = (fw_endpoint_t *)(void *)endpoints->data;
  if (has_newer_document (feed, &pending->message))
    update.delta = fd_find_delta (feed, pending->message.document_position);
  fd_add_evacuations (feed, &update);
  fb_add_counter (feed->updates_sent, 1);
  feed->hooks.send_response (pending->requester, &update, feed->hooks.user);
  g_free (update.evacuated_zones);
  g_array_free (endpoints, TRUE);
}

/* Returns whether PENDING can be responded to: a change exists, or a read that ended after
 * its arrival showed none. */
static bool
can_respond (const fd_feed_t *feed, const fd_pending_request_t *pending, fb_time_t now)
{
  const fw_feed_message_t *request = &pending->message;

  if (fb_compare_positions (feed->position, request->position) < 0
      || now >= feed->known_at + feed->options.poll_interval)
    return false;
  return request->feed_id != feed->id
         || request->sequence != fm_get_listing_sequence (feed->listing)
         || has_newer_document (feed, request) || fd_misses_evacuation (feed, pending)
         || feed->read_completed_at > pending->arrived_at;
}

void
fd_respond_to_requests (fd_feed_t *feed)
{
  fb_time_t now = get_time (feed);
  bool up_to_date = is_up_to_date (feed, now);
  bool is_rereading
      = feed->rereading && (feed->read_outstanding || fd_is_full_read_due (feed, now));
  fw_feed_message_t unavailable = { .kind = FW_FEED_UNAVAILABLE };

  for (guint i = feed->pending_requests->len; i > 0; i--)
    {
      fd_pending_request_t *pending = g_ptr_array_index (feed->pending_requests, i - 1);

      /* A node that is told that no state is available would read everything, too. */
      if (is_rereading || (up_to_date && !can_respond (feed, pending, now)))
        continue;
      if (up_to_date)
        send_update (feed, pending, now);
      else
        feed->hooks.send_response (pending->requester, &unavailable, feed->hooks.user);
      g_ptr_array_remove_index_fast (feed->pending_requests, i - 1);
    }
}

void
fd_handle_request (fd_feed_t *feed, void *requester, const fw_feed_message_t *request)
{
  fd_pending_request_t *pending = g_new0 (fd_pending_request_t, 1);
  fb_time_t now = get_time (feed);

  *pending = (fd_pending_request_t){ requester, *request, now };
  pending->message.endpoints = NULL;
  g_ptr_array_add (feed->pending_requests, pending);
  feed->followed_until = now + FOLLOWED_INTERVALS * feed->options.poll_interval;
  if (request->position.era > feed->position.era)
    fd_begin_era (feed, request->position);
  else if (feed->rereading && feed->consecutive_failures == 0)
    feed->next_read_at = MIN (feed->next_read_at, now);
  fd_respond_to_requests (feed);
}

void
fd_cancel_request (fd_feed_t *feed, void *requester)
{
  for (guint i = feed->pending_requests->len; i > 0; i--)
    if (((fd_pending_request_t *)g_ptr_array_index (feed->pending_requests, i - 1))->requester
        == requester)
      g_ptr_array_remove_index_fast (feed->pending_requests, i - 1);
}
