/* Feed service, for platforms that list endpoints and configuration in a store: does the reads
 * and requests that the feed schedules, and passes on endpoints and documents. */
#include "node-services.h"
#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/histogram.h>
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/dist/feed.h>
#include <foxtailrun/http/client.h>
#include <foxtailrun/wire/feed.h>
#include <glib.h>
#include <sodium.h>

/* Timeout of a request to a relay, in poll intervals. A relay responds after each of its
 * reads, at most one interval apart. */
#define RELAY_TIMEOUT_POLL_INTERVALS 1.5

#define RELAY_CONNECT_TIMEOUT (250 * FB_MILLISECOND)

/* Holds all endpoints of a fleet of the target size, at about 150 bytes each. */
#define FEED_MESSAGE_BYTES_MAX (2 * 1024 * 1024)

/* An endpoint at this node's address. There may be several: another writer may list one, or an
 * instance replaces one that is still listed. */
typedef struct
{
  fw_endpoint_t endpoint;
  uint64_t rejection; /* number of the last time that the backend server denied to be this
                         incarnation; 0 for never */
} local_endpoint_t;

struct fn_feed
{
  fn_source_t base;
  fk_kernel_t *kernel;
  const fn_store_t *store;
  void *store_user;
  void *store_reader; /* returned by STORE */
  fd_feed_t *feed;
  fk_timer_t *run_timer;
  fh_client_t *relay_client; /* NULL before the first request */
  fb_name_t relay_address;
  bool is_awaiting_document; /* the distribution waits for another than that of
                                DOCUMENT_POSITION */
  fb_position_t document_position;
  GHashTable *local_endpoints; /* local_endpoint_t by id: those listed at this node's address */
  uint64_t last_rejection;
  fb_counter_t *malformed;
  fb_histogram_t *leaving_ages; /* of the news that an endpoint leaves or was removed */
};

static void run_feed (void *user);

/* Schedules the next run for TIME; a past time runs it at the next iteration of the loop. */
static void
schedule_run (fn_feed_t *feed, fb_time_t time)
{
  fb_time_t now = fb_read_clock (fk_get_clock (feed->kernel));

  fk_destroy_timer (feed->run_timer);
  feed->run_timer = fk_create_timeout (feed->kernel, MAX (time - now, 0), run_feed, feed);
}

/* Passes on the document that the distribution waits for, if any. Also the document_changed
 * hook of the feed. */
static void
deliver_document (void *user)
{
  fn_feed_t *feed = user;
  fb_position_t position;
  fb_bytes_t text = fd_get_document (feed->feed, &position);

  if (!feed->is_awaiting_document || !fd_is_synced (feed->feed))
    return;
  if (fb_compare_positions (position, feed->document_position) != 0)
    {
      feed->is_awaiting_document = false;
      if (!fn_finish_source_read (feed->kernel, FB_OK, position, text))
        fd_refuse_document (feed->feed);
    }
  else if (feed->document_position.revision == 0)
    {
      feed->is_awaiting_document = false;
      fn_finish_source_read (feed->kernel, FB_NOT_FOUND, position, (fb_bytes_t){ NULL, 0 });
    }
}

static void
run_feed (void *user)
{
  fn_feed_t *feed = user;

  deliver_document (feed);
  schedule_run (feed, fd_run_feed (feed->feed));
}

static void
read_document (fn_source_t *source, fb_position_t position)
{
  fn_feed_t *feed = (fn_feed_t *)source;

  feed->is_awaiting_document = true;
  feed->document_position = position;
  schedule_run (feed, 0);
}

/* Returns whether A describes the local backend server rather than B: it was not denied, or
 * longer ago; it takes calls, so that the server can deny to be it; it started later. */
static bool
is_likelier (const local_endpoint_t *a, const local_endpoint_t *b)
{
  if (a->rejection != b->rejection)
    return a->rejection < b->rejection;
  if (a->endpoint.member.state != b->endpoint.member.state)
    return a->endpoint.member.state == FW_ALIVE;
  return a->endpoint.member.incarnation > b->endpoint.member.incarnation;
}

/* Passes on the description of the local backend server. */
static void
update_local_backend (fn_feed_t *feed)
{
  const fc_settings_t *settings = fn_get_settings (feed->kernel);
  const local_endpoint_t *best = NULL;
  fn_local_backend_t local = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->local_endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const local_endpoint_t *candidate = value;

      if (fb_equal_name (&candidate->endpoint.member.service, &settings->service)
          && (!best || is_likelier (candidate, best)))
        best = candidate;
    }
  if (best)
    local = (fn_local_backend_t){ .instance = best->endpoint.member.id,
                                  .full_id = best->endpoint.full_id,
                                  .incarnation = best->endpoint.member.incarnation,
                                  .slots = best->endpoint.slots,
                                  .leaving = best->endpoint.member.state == FW_LEAVING };
  fn_set_local_backend (feed->kernel, &local);
}

/* Keeps the endpoints at this node's address; returns whether ENDPOINT is or was one. */
static bool
record_local_endpoint (fn_feed_t *feed, const fw_endpoint_t *endpoint)
{
  const fw_member_t *member = &endpoint->member;
  local_endpoint_t *known = g_hash_table_lookup (feed->local_endpoints, &member->id);
  local_endpoint_t *local;

  if (member->state == FW_DEAD
      || !fb_equal_name (&member->address, &fn_get_settings (feed->kernel)->address))
    return g_hash_table_remove (feed->local_endpoints, &member->id);
  local = g_new0 (local_endpoint_t, 1);
  local->endpoint = *endpoint;
  if (known && known->endpoint.member.incarnation == member->incarnation)
    local->rejection = known->rejection;
  g_hash_table_replace (feed->local_endpoints, &local->endpoint.member.id, local);
  return true;
}

void
fn_reject_local_backend (fk_kernel_t *kernel, const fb_name_t *instance, uint64_t incarnation)
{
  fn_feed_t *feed = fk_find_service (kernel, FN_SOURCE);
  local_endpoint_t *local;

  if (!fn_get_adapter (kernel)->source_lists_endpoints)
    return;
  local = g_hash_table_lookup (feed->local_endpoints, instance);
  if (!local || local->endpoint.member.incarnation != incarnation)
    return;
  FB_LOG (fk_get_log (kernel), FB_LOG_WARNING, FN_SOURCE,
          "backend server is not the instance that the source lists",
          FB_TEXT ("instance", instance->data), FB_NUMBER ("incarnation", incarnation),
          FB_NUMBER ("listed_here", g_hash_table_size (feed->local_endpoints)));
  local->rejection = ++feed->last_rejection;
  if (g_hash_table_size (feed->local_endpoints) > 1)
    update_local_backend (feed);
}

/* Returns whether MEMBER no longer takes calls and did so far. */
static bool
stops_serving (fn_feed_t *feed, const fw_member_t *member)
{
  const fw_member_t *known
      = fn_find_endpoint (fk_find_service (feed->kernel, FN_DIRECTORY), &member->id);

  return member->state != FW_ALIVE && known && known->state == FW_ALIVE;
}

static void
handle_endpoint_change (const fw_endpoint_t *endpoint, fb_time_t previous_at, void *user)
{
  fn_feed_t *feed = user;
  const fw_member_t *member = &endpoint->member;
  fb_time_t age = fb_read_clock (fk_get_clock (feed->kernel)) - previous_at;

  FB_LOG (fk_get_log (feed->kernel), FB_LOG_INFO, FN_SOURCE, "endpoint changed",
          FB_TEXT ("instance", member->id.data),
          FB_TEXT ("state", fw_describe_state (member->state)),
          FB_TEXT ("address", member->address.data), FB_TEXT ("zone", member->zone.data),
          FB_NUMBER ("position", fd_get_position (feed->feed).revision),
          FB_NUMBER ("age_ms", age / FB_MILLISECOND));
  if (endpoint->full_id.len > 0)
    FB_LOG (fk_get_log (feed->kernel), FB_LOG_INFO, FN_SOURCE,
            "endpoint is listed under another id", FB_TEXT ("instance", member->id.data),
            FB_STR ("listed", fw_get_instance_id (&member->id, &endpoint->full_id)));
  if (stops_serving (feed, member))
    fb_observe_time (feed->leaving_ages, age);
  if (record_local_endpoint (feed, endpoint))
    update_local_backend (feed);
  fn_update_endpoint (feed->kernel, member);
}

/* The state known so far is as old as the news can be; a node that starts has none. */
static void
handle_evacuations (void *user)
{
  fn_feed_t *feed = user;
  fb_time_t age = fd_is_synced (feed->feed) ? fd_get_age (feed->feed) : 0;
  size_t count;
  fb_name_t *zones = fd_get_evacuations (feed->feed, &count);

  fn_set_evacuated_zones (fk_find_service (feed->kernel, FN_DIRECTORY), zones, count, age);
  g_free (zones);
}

static void
read_store (const fd_read_t *read, void *user)
{
  fn_feed_t *feed = user;

  feed->store->read (feed->store_reader, read);
}

void
fn_end_store_read (fn_feed_t *feed, const fd_read_result_t *result)
{
  fd_end_read (feed->feed, result);
  schedule_run (feed, 0);
}

fd_feed_t *
fn_get_feed (fn_feed_t *feed)
{
  return feed->feed;
}

static void
receive_response (const fh_response_t *response, void *user)
{
  fn_feed_t *feed = user;
  fw_feed_message_t message;

  if (response->result != FH_ANSWERED || response->status != 200)
    fd_fail_request (feed->feed, response->error ? response->error : "no response");
  else if (fw_decode_feed (response->body, &message) != FB_OK)
    {
      fb_add_counter (feed->malformed, 1);
      fd_fail_request (feed->feed, "malformed feed message");
    }
  else
    {
      fd_handle_response (feed->feed, &message);
      fw_clear_feed (&message);
    }
  /* Deferred, since the run may destroy the relay's client, in use here. */
  schedule_run (feed, 0);
}

static void
connect_relay (fn_feed_t *feed, const fw_member_t *relay)
{
  fb_time_t timeout = (fb_time_t)((double)fn_get_settings (feed->kernel)->source_poll_interval
                                  * RELAY_TIMEOUT_POLL_INTERVALS);

  if (feed->relay_client && fb_equal_name (&feed->relay_address, &relay->address))
    return;
  fh_destroy_client (feed->relay_client);
  feed->relay_client = fh_create_client (feed->kernel, &relay->address, relay->call_port, 1,
                                         FEED_MESSAGE_BYTES_MAX, timeout);
  fh_set_connect_timeout (feed->relay_client, RELAY_CONNECT_TIMEOUT);
  feed->relay_address = relay->address;
}

static void
send_request (const fw_member_t *relay, const fw_feed_message_t *message, void *user)
{
  fn_feed_t *feed = user;
  size_t length;
  uint8_t *bytes = fw_encode_feed (message, &length);
  fh_client_request_t outgoing = { .method = FB_LITERAL ("POST"),
                                   .path = FB_LITERAL (FN_FEED_PATH),
                                   .body = { bytes, length },
                                   .repeatable = true };

  connect_relay (feed, relay);
  fh_send_request (feed->relay_client, &outgoing, receive_response, feed);
  g_free (bytes);
}

static void
send_response (void *requester, const fw_feed_message_t *message, void *user)
{
  size_t length;
  uint8_t *bytes = fw_encode_feed (message, &length);

  fh_respond (requester, 200, NULL, 0, (fb_bytes_t){ bytes, length });
  g_free (bytes);
}

static void
cancel_request (fh_request_t *request, void *user)
{
  fn_feed_t *feed = user;

  fd_cancel_request (feed->feed, request);
  fh_respond (request, 499, NULL, 0, (fb_bytes_t){ NULL, 0 });
}

void
fn_handle_feed_request (fk_kernel_t *kernel, fh_request_t *request)
{
  fn_feed_t *feed = fk_find_service (kernel, FN_SOURCE);
  fw_feed_message_t message;

  if (!fn_get_adapter (kernel)->source_lists_endpoints
      || fw_decode_feed (fh_get_body (request), &message) != FB_OK)
    {
      fh_respond (request, 400, NULL, 0, (fb_bytes_t){ NULL, 0 });
      return;
    }
  fh_set_cancelled_handler (request, cancel_request, feed);
  if (message.kind == FW_FEED_REQUEST)
    fd_handle_request (feed->feed, request, &message);
  else
    cancel_request (request, feed);
  fw_clear_feed (&message);
  schedule_run (feed, 0);
}

static fb_status_t
start_feed (fk_kernel_t *kernel, void *data)
{
  fn_feed_t *feed = data;

  feed->store_reader = feed->store->create (kernel, feed, feed->store_user);
  schedule_run (feed, 0);
  return FB_OK;
}

static void
stop_feed (void *data)
{
  fn_feed_t *feed = data;

  fk_destroy_timer (feed->run_timer);
  fh_destroy_client (feed->relay_client);
  feed->store->destroy (feed->store_reader);
}

static void
destroy_feed (void *data)
{
  fn_feed_t *feed = data;

  fd_destroy_feed (feed->feed);
  g_hash_table_destroy (feed->local_endpoints);
  fb_destroy_histogram (feed->leaving_ages);
  g_free (feed);
}

void
fn_register_feed (fk_kernel_t *kernel, const fn_store_t *store, void *user)
{
  static const fk_service_t vtable = { start_feed, stop_feed, destroy_feed };
  const fc_settings_t *settings = fn_get_settings (kernel);
  fd_feed_options_t options = { .address = settings->address,
                                .zone = settings->zone,
                                .poll_interval = settings->source_poll_interval,
                                .evacuation = settings->evacuation };
  fn_feed_t *feed = g_new0 (fn_feed_t, 1);
  fd_feed_hooks_t hooks
      = { read_store,       send_request,       send_response, handle_endpoint_change,
          deliver_document, handle_evacuations, feed };

  feed->base.read = read_document;
  feed->kernel = kernel;
  feed->local_endpoints
      = g_hash_table_new_full (fb_hash_name_key, fb_equal_name_keys, NULL, g_free);
  feed->store = store;
  feed->store_user = user;
  feed->malformed = fb_find_counter (fk_get_counters (kernel), "malformed_news", "");
  feed->leaving_ages
      = fb_create_histogram (fk_get_counters (kernel), "endpoint_leaving_age_us", "");
  feed->feed = fd_create_feed (&options, randombytes_random (), fk_get_clock (kernel),
                               fk_get_counters (kernel), fk_get_log (kernel), &hooks);
  fk_register_service (kernel, FN_SOURCE, &vtable, feed);
}
