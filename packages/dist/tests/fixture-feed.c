#include "fixture-feed-state.h"
#include <string.h>

#define STEP (5 * FB_MILLISECOND)

/* Duration of a read of the store, and of a message between two nodes. */
#define READ_DURATION (10 * FB_MILLISECOND)
#define MESSAGE_DELAY (5 * FB_MILLISECOND)

#define REQUEST_TIMEOUT (FEED_POLL_INTERVAL * 3 / 2)

/* Time for which an unused connection stays open. */
#define IDLE_TIMEOUT (4 * FB_SECOND)

/* Period in which each instance updates its endpoint in the store, in steps. */
#define ENDPOINT_WRITE_STEPS 200

static fb_name_t
make_name (const char *prefix, size_t number)
{
  char text[32];

  g_snprintf (text, sizeof text, "%s%zu", prefix, number);
  return fb_make_name (text);
}

static fw_endpoint_t
make_endpoint (const fleet_t *fleet, size_t number)
{
  return (fw_endpoint_t){ .member = { .id = make_name ("i-", number),
                                      .incarnation = fleet->store.endpoints[number].incarnation,
                                      .state = fleet->store.endpoints[number].state,
                                      .address = make_name ("10.0.0.", number),
                                      .call_port = 80,
                                      .zone = make_name ("zone-", number % FEED_ZONES),
                                      .service = fb_make_name ("shop") },
                          .slots = 9 };
}

/* Returns whether what is sent on CONNECTION to RELAY, or to the store, is lost. Opens it anew
 * if it is not open to that. */
static bool
is_lost_on (connection_t *connection, size_t relay, fb_time_t now)
{
  if (!connection->open || connection->relay != relay
      || now - connection->used_at > IDLE_TIMEOUT)
    *connection = (connection_t){ .open = true, .relay = relay };
  connection->used_at = now;
  return connection->silent;
}

/* The outstanding read of NODE gets no response from now on. */
static void
lose_read (node_t *node, fb_time_t now)
{
  node->read_lost = true;
  node->read_end_at = now + node->read.timeout_ms * FB_MILLISECOND;
}

static void
start_read (const fd_read_t *read, void *user)
{
  node_t *node = user;

  g_assert_false (node->read_outstanding);
  node->read_outstanding = true;
  node->read = *read;
  node->read_lost = false;
  node->read_started_at = fb_read_clock (node->fleet->clock);
  node->read_end_at = node->read_started_at + READ_DURATION;
  if (is_lost_on (&node->store_connection, 0, node->read_started_at)
      || node->fleet->store_silent)
    lose_read (node, node->read_started_at);
  node->fleet->reads++;
  node->fleet->document_reads += read->kind == FD_READ_DOCUMENT;
  node->fleet->full_reads += read->kind == FD_READ_ALL;
  node->fleet->evacuation_reads += read->kind == FD_READ_EVACUATIONS;
}

static node_t *
find_node (fleet_t *fleet, const fb_name_t *address)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      fb_name_t own = make_name ("10.0.0.", i);

      if (fb_equal_name (&own, address))
        return &fleet->nodes[i];
    }
  g_assert_not_reached ();
}

static void
set_response (node_t *node, const fw_feed_message_t *message)
{
  node->response = fw_encode_feed (message, &node->response_len);
  node->response_at = fb_read_clock (node->fleet->clock) + MESSAGE_DELAY;
}

static void
send_request (const fw_member_t *member, const fw_feed_message_t *request, void *user)
{
  node_t *node = user;
  node_t *relay = find_node (node->fleet, &member->address);

  g_assert_false (node->request_outstanding);
  g_assert_true (relay != node);
  node->request_outstanding = true;
  node->request_sent_at = fb_read_clock (node->fleet->clock);
  node->relay = relay->number;
  if (is_lost_on (&node->relay_connection, relay->number, node->request_sent_at))
    return;
  if (relay->fault == FEED_REFUSING)
    node->request_sent_at -= REQUEST_TIMEOUT;
  else if (relay->fault != FEED_UNRESPONSIVE)
    {
      fd_handle_request (relay->feed, node, request);
      relay->run_at = 0;
    }
}

static void
receive_response (void *requester, const fw_feed_message_t *message, void *user)
{
  node_t *node = requester;
  const node_t *relay = user;

  if (node->request_outstanding && node->relay == relay->number && !node->response
      && !node->relay_connection.silent)
    set_response (node, message);
}

static void
record_endpoint (const fw_endpoint_t *endpoint, fb_time_t previous_at, void *user)
{
  node_t *node = user;
  size_t number = (size_t)g_ascii_strtoull (endpoint->member.id.data + 2, NULL, 10);

  node->known_states[number] = endpoint->member.state;
}

static void
ignore_document (void *user)
{
}

static void
record_evacuations (void *user)
{
  node_t *node = user;

  for (size_t i = 0; i < FEED_ZONES; i++)
    {
      fb_name_t zone = make_name ("zone-", i);

      node->evacuated[i] = fd_is_evacuated (node->feed, &zone);
    }
}

static fb_position_t
make_position (const fleet_t *fleet, uint64_t revision)
{
  return (fb_position_t){ fleet->era, revision };
}

/* Delivers the endpoints changed after REVISION to NODE; removed ones only WITH_REMOVED. */
static void
deliver_endpoints (node_t *node, uint64_t revision, bool with_removed)
{
  fleet_t *fleet = node->fleet;

  for (size_t i = 0; i < fleet->count; i++)
    {
      const listed_endpoint_t *listed = &fleet->store.endpoints[i];
      fw_endpoint_t endpoint = make_endpoint (fleet, i);

      if (listed->revision <= revision)
        continue;
      if (listed->state != FW_DEAD)
        fd_add_endpoint (node->feed, make_position (fleet, listed->revision), &endpoint);
      else if (with_removed)
        fd_remove_endpoint (node->feed, make_position (fleet, listed->revision),
                            &endpoint.member.id);
    }
}

/* Delivers the evacuations changed after REVISION to NODE; ended ones only WITH_ENDED. */
static void
deliver_evacuations (node_t *node, uint64_t revision, bool with_ended)
{
  const fleet_t *fleet = node->fleet;

  for (size_t i = 0; i < FEED_ZONES; i++)
    {
      const listed_evacuation_t *listed = &fleet->store.evacuations[i];
      fb_name_t zone = make_name ("zone-", i);

      if (listed->revision > revision && (listed->active || with_ended))
        fd_set_evacuation (node->feed, make_position (fleet, listed->revision), &zone,
                           listed->active);
    }
}

static void
deliver_document (node_t *node)
{
  const fleet_t *fleet = node->fleet;

  fd_set_document (
      node->feed, make_position (fleet, fleet->store.text_revision), fleet->store.text_number,
      (fb_bytes_t){ (const uint8_t *)fleet->store.text, strlen (fleet->store.text) });
}

static void
end_read (node_t *node)
{
  fleet_t *fleet = node->fleet;
  fd_read_result_t result = { .kind = FD_RESULT_COMPLETE,
                              .position = make_position (fleet, fleet->store.revision) };
  const fd_read_t *read = &node->read;

  node->read_outstanding = false;
  node->store_connection.open = !node->read_lost;
  node->store_connection.used_at = fb_read_clock (fleet->clock);
  if (!fleet->store_available || node->read_lost || node->fault == FEED_STORE_UNREACHABLE)
    result.kind = FD_RESULT_FAILED;
  else if (read->kind == FD_READ_DOCUMENT)
    deliver_document (node);
  else if (read->kind == FD_READ_EVACUATIONS)
    deliver_evacuations (node, 0, false);
  else if (read->kind == FD_READ_ALL)
    {
      deliver_evacuations (node, 0, false);
      deliver_endpoints (node, 0, false);
      deliver_document (node);
    }
  else if (read->after_revision < fleet->store.compacted_revision
           || read->after_revision > fleet->store.revision)
    result.kind = FD_RESULT_COMPACTED;
  else
    {
      deliver_endpoints (node, read->after_revision, true);
      if (read->kind == FD_READ_CHANGES)
        deliver_evacuations (node, read->after_revision, true);
      if (read->kind == FD_READ_CHANGES && fleet->store.text_revision > read->after_revision)
        deliver_document (node);
    }
  fd_end_read (node->feed, &result);
}

static void
end_request (node_t *node)
{
  fw_feed_message_t message;
  uint8_t *response = node->response;

  node->request_outstanding = false;
  node->response = NULL;
  if (response)
    {
      g_assert_cmpint (fw_decode_feed ((fb_bytes_t){ response, node->response_len }, &message),
                       ==, FB_OK);
      fd_handle_response (node->feed, &message);
      fw_clear_feed (&message);
      g_free (response);
    }
  else
    {
      node->relay_connection.open = false;
      fd_cancel_request (node->fleet->nodes[node->relay].feed, node);
      fd_fail_request (node->feed, "no response");
    }
}

/* Returns whether the store holds NODE's read of changes back until there is one. */
static bool
is_read_waiting (const node_t *node, fb_time_t now)
{
  const fleet_t *fleet = node->fleet;

  return !node->read_lost && fleet->store_available && node->read.kind == FD_READ_CHANGES
         && fleet->store.revision == node->read.after_revision
         && now < node->read_end_at + node->read.wait_ms * FB_MILLISECOND;
}

static void
step_node (node_t *node)
{
  fb_time_t now = fb_read_clock (node->fleet->clock);

  if (node->fault == FEED_UNRESPONSIVE || node->fault == FEED_REFUSING)
    return;
  if (node->read_outstanding && now >= node->read_end_at && !is_read_waiting (node, now))
    {
      end_read (node);
      node->run_at = 0;
    }
  if (node->request_outstanding
      && (node->response ? now >= node->response_at
                         : now - node->request_sent_at >= REQUEST_TIMEOUT))
    {
      end_request (node);
      node->run_at = 0;
    }
  if (now >= node->run_at)
    node->run_at = fd_run_feed (node->feed);
}

static void
rewrite_endpoints (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->store.endpoints[i].state != FW_DEAD
        && (fleet->steps + i * 7) % ENDPOINT_WRITE_STEPS == 0)
      fleet->store.endpoints[i].revision = ++fleet->store.revision;
}

void
feed_advance (fleet_t *fleet, fb_time_t time)
{
  for (; time > 0; time -= STEP)
    {
      fleet->steps++;
      if (!fleet->updates_stopped)
        rewrite_endpoints (fleet);
      for (size_t i = 0; i < fleet->count; i++)
        step_node (&fleet->nodes[i]);
      fb_advance_clock (fleet->clock, STEP);
    }
}

/* Starts the feed of NODE, which knows nothing. */
static void
start_node (fleet_t *fleet, size_t number, uint32_t seed)
{
  node_t *node = &fleet->nodes[number];
  fd_feed_options_t options = { .address = make_name ("10.0.0.", number),
                                .zone = make_name ("zone-", number % FEED_ZONES),
                                .poll_interval = FEED_POLL_INTERVAL,
                                .evacuation = fleet->evacuation };
  fd_feed_hooks_t hooks
      = { start_read,         send_request, receive_response, record_endpoint, ignore_document,
          record_evacuations, node };

  *node = (node_t){ .fleet = fleet, .number = number, .relay = FEED_NODES_MAX };
  for (size_t i = 0; i < FEED_NODES_MAX; i++)
    node->known_states[i] = FW_DEAD;
  node->feed = fd_create_feed (&options, seed, fleet->clock, fleet->counters, NULL, &hooks);
}

void
feed_restart_node (fleet_t *fleet, size_t number)
{
  node_t *node = &fleet->nodes[number];

  for (size_t i = 0; i < fleet->count; i++)
    fd_cancel_request (fleet->nodes[i].feed, node);
  fd_destroy_feed (node->feed);
  g_free (node->response);
  start_node (fleet, number, (uint32_t)fleet->steps);
}

static fleet_t *
create_fleet (size_t count, uint32_t seed, bool evacuation)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->clock = fb_create_manual_clock (1000 * FB_SECOND);
  fleet->counters = fb_create_counters ();
  fleet->count = count;
  fleet->store_available = true;
  fleet->era = 1;
  fleet->evacuation = evacuation;
  feed_publish (fleet, "first");
  for (size_t i = 0; i < count; i++)
    feed_set_endpoint (fleet, i, FW_ALIVE);
  for (size_t i = 0; i < count; i++)
    start_node (fleet, i, seed + (uint32_t)i);
  feed_advance (fleet, FB_SECOND);
  return fleet;
}

fleet_t *
feed_create_fleet (size_t count, uint32_t seed)
{
  return create_fleet (count, seed, false);
}

fleet_t *
feed_create_fleet_with_evacuation (size_t count, uint32_t seed)
{
  return create_fleet (count, seed, true);
}

void
feed_set_evacuated (fleet_t *fleet, size_t zone, bool evacuated)
{
  fleet->store.evacuations[zone] = (listed_evacuation_t){ evacuated, ++fleet->store.revision };
}

void
feed_destroy_fleet (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      fd_destroy_feed (fleet->nodes[i].feed);
      g_free (fleet->nodes[i].response);
    }
  fb_destroy_counters (fleet->counters);
  fb_destroy_clock (fleet->clock);
  g_free (fleet->store.text);
  g_free (fleet->copy.text);
  g_free (fleet);
}

void
feed_set_fault (fleet_t *fleet, size_t node, feed_fault_t fault)
{
  fleet->nodes[node].fault = fault;
  fleet->nodes[node].run_at = 0;
}

void
feed_set_store_available (fleet_t *fleet, bool available)
{
  fleet->store_available = available;
}

void
feed_set_store_silent (fleet_t *fleet, bool silent)
{
  fb_time_t now = fb_read_clock (fleet->clock);

  fleet->store_silent = silent;
  for (size_t i = 0; i < fleet->count && silent; i++)
    if (fleet->nodes[i].read_outstanding)
      lose_read (&fleet->nodes[i], now);
}

void
feed_silence_connections (fleet_t *fleet, bool with_relays)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      node_t *node = &fleet->nodes[i];

      node->store_connection.silent = node->store_connection.open;
      if (node->read_outstanding)
        lose_read (node, node->read_started_at);
      if (with_relays && node->relay_connection.open && !node->response)
        node->relay_connection.silent = true;
    }
}

void
feed_compact_store (fleet_t *fleet)
{
  fleet->store.compacted_revision = ++fleet->store.revision;
}

static void
copy_store (store_t *to, const store_t *from)
{
  char *text = g_strdup (from->text);

  g_free (to->text);
  *to = *from;
  to->text = text;
}

void
feed_copy_store (fleet_t *fleet)
{
  copy_store (&fleet->copy, &fleet->store);
}

void
feed_restore_store (fleet_t *fleet)
{
  copy_store (&fleet->store, &fleet->copy);
  fleet->era++;
}

void
feed_stop_endpoint_updates (fleet_t *fleet)
{
  fleet->updates_stopped = true;
}

void
feed_set_endpoint (fleet_t *fleet, size_t node, fw_member_state_t state)
{
  if (state == FW_ALIVE && fleet->has_left[node])
    {
      fleet->incarnations[node]++;
      fleet->has_left[node] = false;
    }
  fleet->has_left[node] = fleet->has_left[node] || state == FW_LEAVING;
  fleet->store.endpoints[node]
      = (listed_endpoint_t){ state, 1 + fleet->incarnations[node], ++fleet->store.revision };
}

void
feed_publish (fleet_t *fleet, const char *text)
{
  g_free (fleet->store.text);
  fleet->store.text = g_strdup (text);
  fleet->store.text_revision = ++fleet->store.revision;
  fleet->store.text_number = ++fleet->published;
}
