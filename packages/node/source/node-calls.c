/* Calls between the entry nodes and the nodes beside backend servers: one HTTP exchange each,
 * so that the end of its connection cancels a call. */
#include "node-services.h"
#include <foxtailrun/http/client.h>
#include <foxtailrun/http/server.h>
#include <glib.h>
#include <string.h>

#define CALL_PATH "/call"

/* Room for the encoded header beside the body. */
#define HEADER_MAX (256 * 1024)

/* Connections to one node kept for the next call. */
#define IDLE_MAX 64

/* Time in which a node must take a connection. A refused call goes to another instance, which
 * is worth more than a retransmitted opening packet after 1 s. */
#define CONNECT_TIMEOUT (250 * FB_MILLISECOND)

/* Bounds a call without a deadline of its own; the entry gives up earlier. */
#define IO_TIMEOUT (600 * FB_SECOND)

/* Path at which a node shows that it is alive. */
#define ALIVE_PATH "/alive"

/* A node from which nothing was heard for so long while a call is open at it is asked whether
 * it is alive: longer than most calls take. */
#define PROBE_AFTER (300 * FB_MILLISECOND)

/* Time in which it must answer, on a new connection; a node of a tenth of a core may be busy
 * with a configuration for half as long. */
#define PROBE_TIMEOUT (500 * FB_MILLISECOND)

/* Time between two such questions to one node. */
#define PROBE_PERIOD (600 * FB_MILLISECOND)

/* Period in which open calls are looked at. */
#define PROBE_TICK (100 * FB_MILLISECOND)

/* Time for which a silent node gets no calls after each question that it did not answer. */
#define SILENT_TIME (1500 * FB_MILLISECOND)

struct fn_calls
{
  fk_kernel_t *kernel;
  fh_server_t *server;
  GHashTable *peers; /* peer_t by "address:port" */
  GHashTable *sent;  /* sent_t by id of the attempt */
  fk_timer_t *tick;
  fb_counter_t *malformed;
  fb_counter_t *probes;
};

/* A node that calls are sent to. */
typedef struct
{
  fn_calls_t *calls;
  fh_client_t *client;
  fh_client_t *prober;
  fb_name_t instance; /* beside it, as of the last call */
  fb_time_t heard;    /* when something last came from it */
  fb_time_t probed;   /* when it was last asked */
  bool probing;
  bool silent;
} peer_t;

/* A call that another node serves. */
typedef struct
{
  fn_calls_t *calls;
  uint64_t id;
  peer_t *peer;
  fb_time_t started;
  bool single; /* may run at most once */
  fh_exchange_t *exchange;
} sent_t;

/* A call of another node that is served here. */
typedef struct
{
  fn_calls_t *calls;
  fh_request_t *request;
  uint64_t handle;
} remote_t;

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
answer_remote (const fw_call_t *answer, void *user)
{
  remote_t *remote = user;
  fw_call_t message = *answer;
  GByteArray *bytes;

  message.kind = FW_ANSWER;
  bytes = fw_pack_call (&message);
  fh_respond (remote->request, 200, NULL, 0, (fb_bytes_t){ bytes->data, bytes->len });
  g_byte_array_unref (bytes);
  g_free (remote);
}

/* The entry node gave the call up or is gone. */
static void
cancel_remote (fh_request_t *request, void *user)
{
  remote_t *remote = user;

  fn_cancel_call (fk_find_service (remote->calls->kernel, FN_BACKEND), remote->handle);
  fh_respond (request, 499, NULL, 0, (fb_bytes_t){ NULL, 0 });
  g_free (remote);
}

static void
receive_request (fh_request_t *request, void *user)
{
  fn_calls_t *calls = user;
  fw_call_t call;
  remote_t *remote;
  uint64_t handle;

  if (fb_equal_str (fh_get_path (request), FB_LITERAL (FN_FEED_PATH)))
    {
      fn_handle_feed_request (calls->kernel, request);
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
  remote = g_new0 (remote_t, 1);
  remote->calls = calls;
  remote->request = request;
  handle = fn_serve_call (fk_find_service (calls->kernel, FN_BACKEND), &call, answer_remote,
                          remote);
  /* The answer has freed REMOTE unless the handle says that the call waits. */
  if (handle == 0)
    return;
  remote->handle = handle;
  fh_set_cancelled_handler (request, cancel_remote, remote);
}

static fb_time_t
read_time (const fn_calls_t *calls)
{
  return fb_read_clock (fk_get_clock (calls->kernel));
}

static void
receive_answer (const fh_response_t *response, void *user)
{
  sent_t *sent = user;
  fn_calls_t *calls = sent->calls;
  fn_entry_t *entry = fk_find_service (calls->kernel, FN_ENTRY);
  uint64_t id = sent->id;
  fw_call_t answer;

  if (response->result == FH_ANSWERED)
    sent->peer->heard = read_time (calls);
  g_hash_table_remove (calls->sent, &id);
  if (response->result == FH_NOT_SENT)
    fn_fail_unsent (entry, id);
  else if (response->result == FH_ANSWERED && response->status == 200
           && decode_call (calls, response->body, &answer) && answer.kind == FW_ANSWER)
    {
      answer.id = id;
      fn_end_attempt (entry, &answer);
    }
  else
    fn_fail_unanswered (entry, id, response->error ? response->error : "no call message");
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
      peer->client = fh_create_client (calls->kernel, &node->address, node->call_port, IDLE_MAX,
                                       FW_ANSWER_BODY_MAX + HEADER_MAX, IO_TIMEOUT);
      fh_set_connect_timeout (peer->client, CONNECT_TIMEOUT);
      peer->prober = fh_create_client (calls->kernel, &node->address, node->call_port, 0, 0,
                                       PROBE_TIMEOUT);
      g_hash_table_insert (calls->peers, key, peer);
    }
  peer->instance = node->id;
  return peer;
}

/* Gives up the calls at PEER that may be made again elsewhere, and keeps new ones from it. A
 * node that is draining gives up none: the peer may only be slow, and a planned stop must not
 * cut a call at which a backend server is at work. */
static void
leave_silent (peer_t *peer)
{
  fn_calls_t *calls = peer->calls;
  fn_entry_t *entry = fk_find_service (calls->kernel, FN_ENTRY);
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;

  fn_avoid_instance (entry, &peer->instance, read_time (calls) + SILENT_TIME);
  if (fn_is_draining (calls->kernel))
    goto done;
  g_hash_table_iter_init (&iter, calls->sent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const sent_t *sent = value;

      if (sent->peer == peer && !sent->single && sent->started < peer->probed)
        g_array_append_val (ids, sent->id);
    }
  for (guint i = 0; i < ids->len; i++)
    {
      uint64_t id = g_array_index (ids, uint64_t, i);

      fn_cancel_sent_call (calls, id);
      fn_fail_unanswered (entry, id, "the node is silent");
    }

done:
  g_array_unref (ids);
}

static void
end_probe (const fh_response_t *response, void *user)
{
  peer_t *peer = user;
  bool silent = response->result != FH_ANSWERED;

  peer->probing = false;
  if (!silent)
    peer->heard = read_time (peer->calls);
  if (silent != peer->silent)
    FB_LOG (
        fk_get_log (peer->calls->kernel), FB_LOG_WARNING, FN_CALLS,
        silent ? "a node is silent" : "a node answers again",
        FB_TEXT ("instance", peer->instance.data),
        FB_NUMBER ("heard_ms_ago", (read_time (peer->calls) - peer->heard) / FB_MILLISECOND));
  peer->silent = silent;
  if (silent)
    leave_silent (peer);
}

static void
probe_peer (peer_t *peer, fb_time_t now)
{
  fh_client_request_t outgoing
      = { .method = FB_LITERAL ("GET"), .path = FB_LITERAL (ALIVE_PATH) };

  if (peer->probing || now - peer->probed < PROBE_PERIOD)
    return;
  peer->probing = true;
  peer->probed = now;
  fb_add_counter (peer->calls->probes, 1);
  fh_send_request (peer->prober, &outgoing, end_probe, peer);
}

/* Asks the nodes that owe an answer and were not heard of whether they are alive, and the
 * silent ones whether they are back. */
static void
tick_calls (void *user)
{
  fn_calls_t *calls = user;
  fb_time_t now = read_time (calls);
  bool waiting = g_hash_table_size (calls->sent) > 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, calls->sent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const sent_t *sent = value;

      if (now - MAX (sent->started, sent->peer->heard) >= PROBE_AFTER)
        probe_peer (sent->peer, now);
    }
  g_hash_table_iter_init (&iter, calls->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((peer_t *)value)->silent)
      {
        waiting = true;
        probe_peer (value, now);
      }
  if (!waiting)
    fk_pause_timer (calls->tick);
}

/* Closes the idle connections to an endpoint that left, and forgets its silence; calls in
 * flight go on. */
static void
forget_endpoint (const fw_member_t *endpoint, void *user)
{
  fn_calls_t *calls = user;
  char *key = format_peer_key (&endpoint->address, endpoint->call_port);
  peer_t *peer = g_hash_table_lookup (calls->peers, key);

  if (peer && endpoint->state == FW_DEAD)
    {
      peer->silent = false;
      fh_close_idle (peer->client);
    }
  g_free (key);
}

void
fn_send_call (fn_calls_t *calls, const fw_member_t *node, const fw_call_t *call)
{
  sent_t *sent = g_new0 (sent_t, 1);
  GByteArray *bytes = fw_pack_call (call);
  fh_client_request_t outgoing = { .method = FB_LITERAL ("POST"),
                                   .path = FB_LITERAL (CALL_PATH),
                                   .body = { bytes->data, bytes->len },
                                   .repeatable = !call->at_most_once };

  sent->calls = calls;
  sent->id = call->id;
  sent->peer = find_peer (calls, node);
  sent->started = read_time (calls);
  sent->single = call->at_most_once;
  g_hash_table_insert (calls->sent, &sent->id, sent);
  sent->exchange = fh_send_request (sent->peer->client, &outgoing, receive_answer, sent);
  fk_resume_timer (calls->tick);
  g_byte_array_unref (bytes);
}

void
fn_cancel_sent_call (fn_calls_t *calls, uint64_t id)
{
  sent_t *sent = g_hash_table_lookup (calls->sent, &id);

  if (!sent)
    return;
  fh_cancel_exchange (sent->exchange);
  g_hash_table_remove (calls->sent, &id);
}

static fb_status_t
start_calls (fk_kernel_t *kernel, void *data)
{
  fn_calls_t *calls = data;
  const fc_settings_t *settings = fn_get_settings (kernel);

  calls->server = fh_create_server (kernel, &settings->address, settings->call_port,
                                    FW_REQUEST_BODY_MAX + HEADER_MAX, receive_request, calls);
  calls->tick = fk_create_timer (kernel, PROBE_TICK, tick_calls, calls);
  return calls->server ? FB_OK : FB_IO;
}

static void
destroy_peer (void *data)
{
  peer_t *peer = data;

  fh_destroy_client (peer->client);
  fh_destroy_client (peer->prober);
  g_free (peer);
}

static void
stop_calls (void *data)
{
  fn_calls_t *calls = data;

  if (calls->server)
    fh_stop_accepting (calls->server);
  fk_destroy_timer (calls->tick);
  g_hash_table_remove_all (calls->peers);
}

static void
destroy_calls (void *data)
{
  fn_calls_t *calls = data;

  fh_destroy_server (calls->server);
  g_hash_table_destroy (calls->peers);
  g_hash_table_destroy (calls->sent);
  g_free (calls);
}

void
fn_register_calls (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { start_calls, stop_calls, destroy_calls };
  fn_calls_t *calls = g_new0 (fn_calls_t, 1);

  calls->kernel = kernel;
  calls->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_peer);
  calls->sent = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  calls->probes = fb_find_counter (fk_get_counters (kernel), "calls_probes", "");
  calls->malformed = fb_find_counter (fk_get_counters (kernel), "malformed_call_messages", "");
  fn_watch_endpoints (fk_find_service (kernel, FN_DIRECTORY), forget_endpoint, calls);
  fk_register_service (kernel, FN_CALLS, &vtable, calls);
}
