/* Calls between entry nodes and nodes on backend hosts, each one HTTP exchange, so that
 * closing its connection cancels it. */
#include "node-limits.h"
#include "node-services.h"
#include <foxtailrun/http/client.h>
#include <foxtailrun/http/server.h>
#include <glib.h>
#include <string.h>

#define CALL_PATH "/call"

/* Limit of an encoded call or answer without its body: the longest head of a caller's request,
 * and what the nodes add. */
#define HEADER_MAX_BYTES (FW_TEXT_MAX + 64 * 1024)

/* Limit for one node. */
#define IDLE_CONNECTIONS_MAX 64

/* Time to connect to a node. Shorter than the 1 s after which TCP retransmits a SYN: trying
 * another instance is faster. */
#define CONNECT_TIMEOUT (250 * FB_MILLISECOND)

/* Limit of each wait for data; the entry cancels earlier, at the deadline. */
#define IO_TIMEOUT (600 * FB_SECOND)

#define ALIVE_PATH "/alive"

/* A node with an open call is probed after this time without data, longer than most calls
 * take. */
#define PROBE_DELAY (300 * FB_MILLISECOND)

/* Time to answer a probe, on a new connection. A node limited to a tenth of a core may be busy
 * with a configuration for half of it. */
#define PROBE_TIMEOUT (500 * FB_MILLISECOND)

/* Minimum time between two probes of one node. */
#define PROBE_INTERVAL (600 * FB_MILLISECOND)

#define PEER_CHECK_INTERVAL (100 * FB_MILLISECOND)

/* Time without new calls for a node after each unanswered probe. */
#define UNRESPONSIVE_AVOID_TIME (1500 * FB_MILLISECOND)

struct fn_calls
{
  fk_kernel_t *kernel;
  fh_server_t *server;
  GHashTable *peers;    /* peer_t by "address:port" */
  GHashTable *outgoing; /* outgoing_call_t by attempt id */
  fk_timer_t *check_timer;
  fb_counter_t *malformed;
  fb_counter_t *probes;
};

/* A node that calls are sent to. */
typedef struct
{
  fn_calls_t *calls;
  fh_client_t *client;
  fh_client_t *probe_client;
  fb_name_t instance;         /* on the node's host, as of the last call */
  fb_time_t last_received_at; /* last response to a call or probe */
  fb_time_t last_probed_at;
  bool probe_in_flight;
  bool unresponsive; /* the last probe was not answered */
} peer_t;

typedef struct
{
  fn_calls_t *calls;
  uint64_t id;
  peer_t *peer;
  fb_time_t started_at;
  bool at_most_once;
  fh_exchange_t *exchange;
} outgoing_call_t;

typedef struct
{
  fn_calls_t *calls;
  fh_request_t *request;
  uint64_t handle;
} incoming_call_t;

static bool
decode_call (fn_calls_t *calls, fb_bytes_t bytes, fw_call_t *call)
{
  if (fw_unpack_call (bytes, call) == FB_OK)
    return true;
  fb_add_counter (calls->malformed, 1);
  FB_LOG (fk_get_log (calls->kernel), FB_LOG_WARNING, FN_CALLS,
          "dropped a malformed call message", FB_NUMBER ("bytes", bytes.len));
  return false;
}

static void
send_answer (const fw_call_t *answer, void *user)
{
  incoming_call_t *incoming = user;
  fw_call_t message = *answer;
  GByteArray *bytes;

  message.kind = FW_ANSWER;
  bytes = fw_pack_call (&message);
  fh_respond (incoming->request, 200, NULL, 0, (fb_bytes_t){ bytes->data, bytes->len });
  g_byte_array_unref (bytes);
  g_free (incoming);
}

/* The entry node has closed the connection. */
static void
cancel_incoming_call (fh_request_t *request, void *user)
{
  incoming_call_t *incoming = user;

  fn_cancel_call (fk_find_service (incoming->calls->kernel, FN_BACKEND), incoming->handle);
  fh_respond (request, 499, NULL, 0, (fb_bytes_t){ NULL, 0 });
  g_free (incoming);
}

static void
receive_request (fh_request_t *request, void *user)
{
  fn_calls_t *calls = user;
  fw_call_t call;
  incoming_call_t *incoming;
  uint64_t handle;

  if (fb_equal_str (fh_get_path (request), FB_LITERAL (FN_FEED_PATH)))
    {
      fn_handle_feed_request (calls->kernel, request);
      return;
    }
  if (fb_equal_str (fh_get_path (request), FB_LITERAL (FN_CRASH_PATH)))
    {
      fn_handle_crash_report (calls->kernel, request);
      return;
    }
  if (fb_equal_str (fh_get_path (request), FB_LITERAL (ALIVE_PATH)))
    {
      fh_respond (request, 200, NULL, 0, (fb_bytes_t){ NULL, 0 });
      return;
    }
  if (!fb_equal_str (fh_get_path (request), FB_LITERAL (CALL_PATH))
      || !decode_call (calls, fh_get_body (request), &call) || call.kind != FW_CALL)
    {
      fh_respond (request, 400, NULL, 0, (fb_bytes_t){ NULL, 0 });
      return;
    }
  incoming = g_new0 (incoming_call_t, 1);
  incoming->calls = calls;
  incoming->request = request;
  handle = fn_serve_call (fk_find_service (calls->kernel, FN_BACKEND), &call, send_answer,
                          incoming);
  /* With handle 0 the call was answered already and INCOMING freed. */
  if (handle == 0)
    return;
  incoming->handle = handle;
  fh_set_cancelled_handler (request, cancel_incoming_call, incoming);
}

static fb_time_t
read_time (const fn_calls_t *calls)
{
  return fb_read_clock (fk_get_clock (calls->kernel));
}

static void
receive_answer (const fh_response_t *response, void *user)
{
  outgoing_call_t *outgoing = user;
  fn_calls_t *calls = outgoing->calls;
  fn_entry_t *entry = fk_find_service (calls->kernel, FN_ENTRY);
  uint64_t id = outgoing->id;
  fw_call_t answer;

  if (response->result == FH_ANSWERED)
    outgoing->peer->last_received_at = read_time (calls);
  g_hash_table_remove (calls->outgoing, &id);
  /* A node's server refuses for lack of memory before it passes the call on. A repeatable call
   * may have been sent before, on a kept connection that ended. */
  if (response->result == FH_NOT_SENT
      || (response->result == FH_ANSWERED && response->status == 503 && outgoing->at_most_once))
    fn_fail_unsent_attempt (entry, id);
  else if (response->result == FH_ANSWERED && response->status == 200
           && decode_call (calls, response->body, &answer) && answer.kind == FW_ANSWER)
    {
      answer.id = id;
      fn_end_attempt (entry, &answer);
    }
  else
    fn_fail_unanswered_attempt (entry, id,
                                response->error ? response->error : "no call message");
}

static char *
format_peer_key (const fb_name_t *address, uint16_t port)
{
  return g_strdup_printf ("%s:%u", address->data, port);
}

static peer_t *
find_peer (fn_calls_t *calls, const fw_member_t *node)
{
  char *key = format_peer_key (&node->address, node->call_port);
  peer_t *peer = g_hash_table_lookup (calls->peers, key);

  if (peer)
    g_free (key);
  else
    {
      peer = g_new0 (peer_t, 1);
      peer->calls = calls;
      peer->client = fh_create_client (calls->kernel, &node->address, node->call_port,
                                       IDLE_CONNECTIONS_MAX,
                                       FW_ANSWER_BODY_MAX + HEADER_MAX_BYTES, IO_TIMEOUT);
      fh_set_connect_timeout (peer->client, CONNECT_TIMEOUT);
      peer->probe_client = fh_create_client (calls->kernel, &node->address, node->call_port, 0,
                                             0, PROBE_TIMEOUT);
      g_hash_table_insert (calls->peers, key, peer);
    }
  peer->instance = node->id;
  return peer;
}

/* Cancels open calls at PEER that may run more than once, to retry them elsewhere, and keeps
 * new calls from it. A draining node cancels none: PEER may only be slow, and a planned stop
 * must not abort a running call. */
static void
handle_unresponsive_peer (peer_t *peer)
{
  fn_calls_t *calls = peer->calls;
  fn_entry_t *entry = fk_find_service (calls->kernel, FN_ENTRY);
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;

  fn_eject_instance (entry, &peer->instance, read_time (calls) + UNRESPONSIVE_AVOID_TIME);
  if (fn_is_draining (calls->kernel))
    goto done;
  g_hash_table_iter_init (&iter, calls->outgoing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const outgoing_call_t *outgoing = value;

      if (outgoing->peer == peer && !outgoing->at_most_once
          && outgoing->started_at < peer->last_probed_at)
        g_array_append_val (ids, outgoing->id);
    }
  for (guint i = 0; i < ids->len; i++)
    {
      uint64_t id = g_array_index (ids, uint64_t, i);

      fn_cancel_sent_call (calls, id);
      fn_fail_unanswered_attempt (entry, id, "the node is silent");
    }

done:
  g_array_unref (ids);
}

static void
receive_probe_response (const fh_response_t *response, void *user)
{
  peer_t *peer = user;
  bool unresponsive = response->result != FH_ANSWERED;

  peer->probe_in_flight = false;
  if (!unresponsive)
    peer->last_received_at = read_time (peer->calls);
  if (unresponsive != peer->unresponsive)
    FB_LOG (fk_get_log (peer->calls->kernel), FB_LOG_WARNING, FN_CALLS,
            unresponsive ? "a node does not answer probes" : "a node answers probes again",
            FB_TEXT ("instance", peer->instance.data),
            FB_NUMBER ("heard_ms_ago",
                       (read_time (peer->calls) - peer->last_received_at) / FB_MILLISECOND));
  peer->unresponsive = unresponsive;
  if (unresponsive)
    handle_unresponsive_peer (peer);
}

static void
probe_peer (peer_t *peer, fb_time_t now)
{
  fh_client_request_t request
      = { .method = FB_LITERAL ("GET"), .path = FB_LITERAL (ALIVE_PATH) };

  if (peer->probe_in_flight || now - peer->last_probed_at < PROBE_INTERVAL)
    return;
  peer->probe_in_flight = true;
  peer->last_probed_at = now;
  fb_add_counter (peer->calls->probes, 1);
  fh_send_request (peer->probe_client, &request, receive_probe_response, peer);
}

/* Probes nodes with open calls that sent nothing for PROBE_DELAY, and unresponsive ones.
 * Pauses the timer when no check is needed. */
static void
check_peers (void *user)
{
  fn_calls_t *calls = user;
  fb_time_t now = read_time (calls);
  bool keep_checking = g_hash_table_size (calls->outgoing) > 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, calls->outgoing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const outgoing_call_t *outgoing = value;

      if (now - MAX (outgoing->started_at, outgoing->peer->last_received_at) >= PROBE_DELAY)
        probe_peer (outgoing->peer, now);
    }
  g_hash_table_iter_init (&iter, calls->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((peer_t *)value)->unresponsive)
      {
        keep_checking = true;
        probe_peer (value, now);
      }
  if (!keep_checking)
    fk_pause_timer (calls->check_timer);
}

/* Closes idle connections to a dead endpoint and clears its unresponsive state; calls in
 * flight go on. */
static void
update_peer (const fw_member_t *endpoint, void *user)
{
  fn_calls_t *calls = user;
  char *key = format_peer_key (&endpoint->address, endpoint->call_port);
  peer_t *peer = g_hash_table_lookup (calls->peers, key);

  if (peer && endpoint->state == FW_DEAD)
    {
      peer->unresponsive = false;
      fh_close_idle (peer->client);
    }
  g_free (key);
}

void
fn_send_call (fn_calls_t *calls, const fw_member_t *node, const fw_call_t *call)
{
  outgoing_call_t *outgoing = g_new0 (outgoing_call_t, 1);
  GByteArray *bytes = fw_pack_call (call);
  fh_client_request_t request = { .method = FB_LITERAL ("POST"),
                                  .path = FB_LITERAL (CALL_PATH),
                                  .body = { bytes->data, bytes->len },
                                  .repeatable = !call->at_most_once };

  outgoing->calls = calls;
  outgoing->id = call->id;
  outgoing->peer = find_peer (calls, node);
  outgoing->started_at = read_time (calls);
  outgoing->at_most_once = call->at_most_once;
  g_hash_table_insert (calls->outgoing, &outgoing->id, outgoing);
  outgoing->exchange
      = fh_send_request (outgoing->peer->client, &request, receive_answer, outgoing);
  fk_resume_timer (calls->check_timer);
  g_byte_array_unref (bytes);
}

void
fn_cancel_sent_call (fn_calls_t *calls, uint64_t id)
{
  outgoing_call_t *outgoing = g_hash_table_lookup (calls->outgoing, &id);

  if (!outgoing)
    return;
  fh_cancel_exchange (outgoing->exchange);
  g_hash_table_remove (calls->outgoing, &id);
}

static fb_status_t
start_calls (fk_kernel_t *kernel, void *data)
{
  fn_calls_t *calls = data;
  const fc_settings_t *settings = fn_get_settings (kernel);

  calls->server
      = fh_create_server (kernel, &settings->address, settings->call_port,
                          FW_REQUEST_BODY_MAX + HEADER_MAX_BYTES, receive_request, calls);
  if (calls->server)
    {
      fn_limit_server (kernel, calls->server, FN_SHARE_NODES);
      /* A call that waits or runs is held by the request and by the backend service. */
      fh_set_request_copies (calls->server, 2);
    }
  calls->check_timer = fk_create_timer (kernel, PEER_CHECK_INTERVAL, check_peers, calls);
  return calls->server ? FB_OK : FB_IO;
}

static void
destroy_peer (void *data)
{
  peer_t *peer = data;

  fh_destroy_client (peer->client);
  fh_destroy_client (peer->probe_client);
  g_free (peer);
}

static void
stop_calls (void *data)
{
  fn_calls_t *calls = data;

  if (calls->server)
    fh_stop_accepting (calls->server);
  fk_destroy_timer (calls->check_timer);
  g_hash_table_remove_all (calls->peers);
}

static void
destroy_calls (void *data)
{
  fn_calls_t *calls = data;

  fh_destroy_server (calls->server);
  g_hash_table_destroy (calls->peers);
  g_hash_table_destroy (calls->outgoing);
  g_free (calls);
}

void
fn_register_calls (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { start_calls, stop_calls, destroy_calls };
  fn_calls_t *calls = g_new0 (fn_calls_t, 1);

  calls->kernel = kernel;
  calls->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_peer);
  calls->outgoing = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  calls->probes = fb_find_counter (fk_get_counters (kernel), "calls_probes", "");
  calls->malformed = fb_find_counter (fk_get_counters (kernel), "malformed_call_messages", "");
  fn_watch_endpoints (fk_find_service (kernel, FN_DIRECTORY), update_peer, calls);
  fk_register_service (kernel, FN_CALLS, &vtable, calls);
}
