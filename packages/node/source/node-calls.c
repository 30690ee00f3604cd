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

struct fn_calls
{
  fk_kernel_t *kernel;
  fh_server_t *server;
  GHashTable *peers; /* fh_client_t by "address:port" */
  GHashTable *sent;  /* sent_t by id of the attempt */
  fb_counter_t *malformed;
};

/* A call that another node serves. */
typedef struct
{
  fn_calls_t *calls;
  uint64_t id;
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

  if (fb_equal_str (fh_get_path (request), FB_LITERAL (FN_NEWS_PATH)))
    {
      fn_receive_ask (calls->kernel, request);
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
  fh_watch_cancel (request, cancel_remote, remote);
}

static void
receive_answer (const fh_response_t *response, void *user)
{
  sent_t *sent = user;
  fn_calls_t *calls = sent->calls;
  fn_entry_t *entry = fk_find_service (calls->kernel, FN_ENTRY);
  uint64_t id = sent->id;
  fw_call_t answer;

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
    fn_fail_lost (entry, id, response->error ? response->error : "no call message");
}

static char *
format_peer_key (const fb_name_t *address, uint16_t port)
{
  return g_strdup_printf ("%s:%u", address->data, port);
}

static fh_client_t *
find_peer (fn_calls_t *calls, const fb_name_t *address, uint16_t port)
{
  char *key = format_peer_key (address, port);
  fh_client_t *client = g_hash_table_lookup (calls->peers, key);

  if (client)
    {
      g_free (key);
      return client;
    }
  client = fh_create_client (calls->kernel, address, port, IDLE_MAX,
                             FW_ANSWER_BODY_MAX + HEADER_MAX, IO_TIMEOUT);
  fh_limit_connecting (client, CONNECT_TIMEOUT);
  g_hash_table_insert (calls->peers, key, client);
  return client;
}

/* Closes the idle connections to an endpoint that left; calls in flight go on. */
static void
forget_endpoint (const fw_member_t *endpoint, void *user)
{
  fn_calls_t *calls = user;
  char *key = format_peer_key (&endpoint->address, endpoint->call_port);
  fh_client_t *client = g_hash_table_lookup (calls->peers, key);

  if (client && endpoint->state == FW_DEAD)
    fh_close_idle (client);
  g_free (key);
}

void
fn_send_call (fn_calls_t *calls, const fw_member_t *node, const fw_call_t *call)
{
  sent_t *sent = g_new0 (sent_t, 1);
  GByteArray *bytes = fw_pack_call (call);
  fh_outgoing_t outgoing = { .method = FB_LITERAL ("POST"),
                             .path = FB_LITERAL (CALL_PATH),
                             .body = { bytes->data, bytes->len },
                             .repeatable = !call->single };

  sent->calls = calls;
  sent->id = call->id;
  g_hash_table_insert (calls->sent, &sent->id, sent);
  sent->exchange = fh_send_request (find_peer (calls, &node->address, node->call_port),
                                    &outgoing, receive_answer, sent);
  g_byte_array_unref (bytes);
}

void
fn_cancel_sent (fn_calls_t *calls, uint64_t id)
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
  return calls->server ? FB_OK : FB_IO;
}

static void
destroy_peer (void *data)
{
  fh_destroy_client (data);
}

static void
stop_calls (void *data)
{
  fn_calls_t *calls = data;

  if (calls->server)
    fh_stop_accepting (calls->server);
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
  calls->malformed = fb_find_counter (fk_get_counters (kernel), "malformed_call_messages", "");
  fn_watch_endpoints (fk_find_service (kernel, FN_DIRECTORY), forget_endpoint, calls);
  fk_register_service (kernel, FN_CALLS, &vtable, calls);
}
