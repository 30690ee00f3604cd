/* The feed of a node on a platform with a store: carries out the reads and asks that the feed
 * decides on, and passes on what it learns. */
#include "node-services.h"
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/dist/feed.h>
#include <foxtailrun/http/client.h>
#include <foxtailrun/wire/feed.h>
#include <glib.h>
#include <sodium.h>

/* Paces that an ask may take; a relay answers after each of its reads, which follow within one
 * pace. */
#define ASK_PACES 1.5

/* Time in which a relay must take a connection. */
#define CONNECT_TIMEOUT (250 * FB_MILLISECOND)

/* Largest news: a whole fleet of the target size, at some 150 bytes for each endpoint. */
#define NEWS_MAX (2 * 1024 * 1024)

struct fn_feed
{
  fn_source_t base;
  fk_kernel_t *kernel;
  const fn_store_t *api;
  void *api_user;
  void *store; /* the adapter's */
  fd_feed_t *feed;
  fk_timer_t *wake;
  fh_client_t *relay; /* NULL before the first ask */
  fb_name_t relay_address;
  bool awaited; /* the distribution waits for a document above AWAITED_INDEX */
  uint64_t awaited_index;
  fb_name_t local_id; /* endpoint of the backend server beside this node */
  uint64_t local_start;
  fb_counter_t *malformed;
};

static void run_feed (void *user);

/* Lets the feed run at TIME. */
static void
wake_at (fn_feed_t *feed, fb_time_t time)
{
  fb_time_t now = fb_read_clock (fk_get_clock (feed->kernel));

  fk_destroy_timer (feed->wake);
  feed->wake = fk_create_timeout (feed->kernel, MAX (time - now, 0), run_feed, feed);
}

/* Tells the distribution the document that it waits for, if it is there. */
static void
deliver_document (void *user)
{
  fn_feed_t *feed = user;
  uint64_t position;
  fb_bytes_t text = fd_get_document (feed->feed, &position);

  if (!feed->awaited || !fd_is_synced (feed->feed))
    return;
  if (position > feed->awaited_index)
    {
      feed->awaited = false;
      fn_finish_source_read (feed->kernel, FB_OK, position, text);
    }
  else if (feed->awaited_index == 0)
    {
      feed->awaited = false;
      fn_finish_source_read (feed->kernel, FB_NOT_FOUND, 0, (fb_bytes_t){ NULL, 0 });
    }
}

static void
run_feed (void *user)
{
  fn_feed_t *feed = user;

  deliver_document (feed);
  wake_at (feed, fd_run_feed (feed->feed));
}

static void
read_document (fn_source_t *source, uint64_t index)
{
  fn_feed_t *feed = (fn_feed_t *)source;

  feed->awaited = true;
  feed->awaited_index = index;
  wake_at (feed, 0);
}

/* Keeps the description of the backend server beside this node. Of two endpoints at its address
 * the one that started later counts. */
static void
take_local (fn_feed_t *feed, const fw_endpoint_t *endpoint)
{
  const fw_member_t *member = &endpoint->member;
  bool known = fb_equal_name (&member->id, &feed->local_id);
  fn_local_backend_t local = { 0 };

  if (member->state == FW_DEAD && !known)
    return;
  if (!known && feed->local_id.len > 0 && member->incarnation < feed->local_start)
    return;
  if (member->state != FW_DEAD)
    local = (fn_local_backend_t){ member->id, endpoint->slots, member->state == FW_LEAVING };
  feed->local_id = local.instance;
  feed->local_start = member->incarnation;
  fn_set_local_backend (feed->kernel, &local);
}

static void
change_endpoint (const fw_endpoint_t *endpoint, void *user)
{
  fn_feed_t *feed = user;
  const fw_member_t *member = &endpoint->member;

  FB_LOG (fk_get_log (feed->kernel), FB_LOG_INFO, FN_SOURCE, "endpoint changed",
          FB_TEXT ("instance", member->id.data),
          FB_TEXT ("state", fw_describe_state (member->state)),
          FB_TEXT ("address", member->address.data), FB_TEXT ("zone", member->zone.data),
          FB_NUMBER ("position", fd_get_position (feed->feed)),
          FB_NUMBER ("age_ms", fd_get_age (feed->feed) / FB_MILLISECOND));
  if (fb_equal_name (&member->address, &fn_get_settings (feed->kernel)->address))
    take_local (feed, endpoint);
  fn_update_endpoint (feed->kernel, member);
}

static void
read_store (const fd_read_t *read, void *user)
{
  fn_feed_t *feed = user;

  feed->api->read (feed->store, read);
}

void
fn_end_store_read (fn_feed_t *feed, const fd_read_result_t *end)
{
  fd_end_read (feed->feed, end);
  wake_at (feed, 0);
}

fd_feed_t *
fn_get_feed (fn_feed_t *feed)
{
  return feed->feed;
}

static void
receive_news (const fh_response_t *response, void *user)
{
  fn_feed_t *feed = user;
  fw_feed_message_t news;

  if (response->result != FH_ANSWERED || response->status != 200)
    fd_fail_request (feed->feed, response->error ? response->error : "no answer");
  else if (fw_decode_feed (response->body, &news) != FB_OK)
    {
      fb_add_counter (feed->malformed, 1);
      fd_fail_request (feed->feed, "malformed news");
    }
  else
    {
      fd_handle_response (feed->feed, &news);
      fw_clear_feed (&news);
    }
  /* The relay's client, which the next run may replace, is still in use here. */
  wake_at (feed, 0);
}

static void
set_relay (fn_feed_t *feed, const fw_member_t *peer)
{
  fb_time_t limit
      = (fb_time_t)((double)fn_get_settings (feed->kernel)->source_poll_interval * ASK_PACES);

  if (feed->relay && fb_equal_name (&feed->relay_address, &peer->address))
    return;
  fh_destroy_client (feed->relay);
  feed->relay
      = fh_create_client (feed->kernel, &peer->address, peer->call_port, 1, NEWS_MAX, limit);
  fh_set_connect_timeout (feed->relay, CONNECT_TIMEOUT);
  feed->relay_address = peer->address;
}

static void
send_ask (const fw_member_t *peer, const fw_feed_message_t *ask, void *user)
{
  fn_feed_t *feed = user;
  size_t length;
  uint8_t *bytes = fw_encode_feed (ask, &length);
  fh_client_request_t outgoing = { .method = FB_LITERAL ("POST"),
                                   .path = FB_LITERAL (FN_FEED_PATH),
                                   .body = { bytes, length },
                                   .repeatable = true };

  set_relay (feed, peer);
  fh_send_request (feed->relay, &outgoing, receive_news, feed);
  g_free (bytes);
}

static void
answer_ask (void *asker, const fw_feed_message_t *news, void *user)
{
  size_t length;
  uint8_t *bytes = fw_encode_feed (news, &length);

  fh_respond (asker, 200, NULL, 0, (fb_bytes_t){ bytes, length });
  g_free (bytes);
}

static void
drop_ask (fh_request_t *request, void *user)
{
  fn_feed_t *feed = user;

  fd_cancel_request (feed->feed, request);
  fh_respond (request, 499, NULL, 0, (fb_bytes_t){ NULL, 0 });
}

void
fn_handle_feed_request (fk_kernel_t *kernel, fh_request_t *request)
{
  fn_feed_t *feed = fk_find_service (kernel, FN_SOURCE);
  fw_feed_message_t ask;

  if (!fn_get_adapter (kernel)->source_lists_endpoints
      || fw_decode_feed (fh_get_body (request), &ask) != FB_OK)
    {
      fh_respond (request, 400, NULL, 0, (fb_bytes_t){ NULL, 0 });
      return;
    }
  fh_set_cancelled_handler (request, drop_ask, feed);
  if (ask.kind == FW_FEED_REQUEST)
    fd_handle_request (feed->feed, request, &ask);
  else
    drop_ask (request, feed);
  fw_clear_feed (&ask);
  wake_at (feed, 0);
}

static fb_status_t
start_feed (fk_kernel_t *kernel, void *data)
{
  fn_feed_t *feed = data;

  feed->store = feed->api->create (kernel, feed, feed->api_user);
  wake_at (feed, 0);
  return FB_OK;
}

static void
stop_feed (void *data)
{
  fn_feed_t *feed = data;

  fk_destroy_timer (feed->wake);
  fh_destroy_client (feed->relay);
  feed->api->destroy (feed->store);
}

static void
destroy_feed (void *data)
{
  fn_feed_t *feed = data;

  fd_destroy_feed (feed->feed);
  g_free (feed);
}

void
fn_register_feed (fk_kernel_t *kernel, const fn_store_t *api, void *user)
{
  static const fk_service_t vtable = { start_feed, stop_feed, destroy_feed };
  const fc_settings_t *settings = fn_get_settings (kernel);
  fd_feed_options_t rules = { .address = settings->address,
                              .zone = settings->zone,
                              .poll_interval = settings->source_poll_interval };
  fn_feed_t *feed = g_new0 (fn_feed_t, 1);
  fd_feed_hooks_t hooks
      = { read_store, send_ask, answer_ask, change_endpoint, deliver_document, feed };

  feed->base.read = read_document;
  feed->kernel = kernel;
  feed->api = api;
  feed->api_user = user;
  feed->malformed = fb_find_counter (fk_get_counters (kernel), "malformed_news", "");
  feed->feed = fd_create_feed (&rules, randombytes_random (), fk_get_clock (kernel),
                               fk_get_counters (kernel), fk_get_log (kernel), &hooks);
  fk_register_service (kernel, FN_SOURCE, &vtable, feed);
}
