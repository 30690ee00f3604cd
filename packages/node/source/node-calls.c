#include "node-services.h"
#include <foxtailrun/transport/bus.h>
#include <glib.h>
#include <string.h>

struct fn_calls
{
  fk_kernel_t *kernel;
  ft_bus_t *bus;
  GHashTable *open; /* remote_t of calls not yet answered, by requester and id */
  fb_counter_t *malformed;
};

/* A call from another node that is being served here. */
typedef struct
{
  fn_calls_t *calls;
  ft_requester_t from;
  uint64_t id;
  uint64_t handle;
} remote_t;

static guint
hash_remote (const void *key)
{
  const remote_t *remote = key;

  return (guint)fb_hash_str ((fb_str_t){ (const char *)remote->from.data, remote->from.len },
                             remote->id);
}

static gboolean
equal_remote (const void *a, const void *b)
{
  const remote_t *left = a;
  const remote_t *right = b;

  return left->id == right->id && left->from.len == right->from.len
         && memcmp (left->from.data, right->from.data, left->from.len) == 0;
}

static void
send_answer (fn_calls_t *calls, const ft_requester_t *to, const fw_call_t *answer)
{
  size_t length;
  uint8_t *header = fw_encode_call (answer, &length);

  ft_answer (calls->bus, to, (fb_bytes_t){ header, length }, answer->body);
  g_free (header);
}

static void
answer_remote (const fw_call_t *answer, void *user)
{
  remote_t *remote = user;
  fw_call_t message = *answer;

  message.kind = FW_ANSWER;
  message.id = remote->id;
  if (remote->calls->bus)
    send_answer (remote->calls, &remote->from, &message);
  g_hash_table_remove (remote->calls->open, remote);
}

static void
serve_remote (fn_calls_t *calls, const ft_requester_t *from, const fw_call_t *call)
{
  fn_backend_t *backend = fk_find_service (calls->kernel, FN_BACKEND);
  remote_t *remote = g_new0 (remote_t, 1);
  uint64_t handle;

  remote->calls = calls;
  remote->from = *from;
  remote->id = call->id;
  if (g_hash_table_contains (calls->open, remote))
    {
      g_free (remote);
      return;
    }
  g_hash_table_add (calls->open, remote);
  handle = fn_serve_call (backend, call, answer_remote, remote);
  if (handle != 0)
    remote->handle = handle;
}

static void
cancel_remote (fn_calls_t *calls, const ft_requester_t *from, uint64_t id)
{
  remote_t probe = { .from = *from, .id = id };
  remote_t *remote = g_hash_table_lookup (calls->open, &probe);

  if (!remote)
    return;
  fn_cancel_call (fk_find_service (calls->kernel, FN_BACKEND), remote->handle);
  g_hash_table_remove (calls->open, remote);
}

static bool
decode_call (fn_calls_t *calls, fb_bytes_t header, fb_bytes_t body, fw_call_t *call)
{
  if (fw_decode_call (header, body, call) == FB_OK)
    return true;
  fb_add_counter (calls->malformed, 1);
  FB_LOG (fk_get_log (calls->kernel), FB_LOG_WARNING, FN_CALLS,
          "dropped a malformed call message", FB_NUMBER ("bytes", header.len));
  return false;
}

static void
receive_request (const ft_requester_t *from, fb_bytes_t header, fb_bytes_t body, void *user)
{
  fn_calls_t *calls = user;
  fw_call_t call;

  if (!decode_call (calls, header, body, &call))
    return;
  if (call.kind == FW_CALL)
    serve_remote (calls, from, &call);
  else if (call.kind == FW_CANCEL)
    cancel_remote (calls, from, call.id);
}

static void
receive_answer (const fb_name_t *address, uint16_t port, fb_bytes_t header, fb_bytes_t body,
                void *user)
{
  fn_calls_t *calls = user;
  fw_call_t answer;

  if (decode_call (calls, header, body, &answer) && answer.kind == FW_ANSWER)
    fn_end_attempt (fk_find_service (calls->kernel, FN_ENTRY), &answer);
}

static void
report_not_sent (uint64_t tag, void *user)
{
  fn_calls_t *calls = user;

  /* Cancellations carry tag 0: nothing waits for them. */
  if (tag != 0)
    fn_fail_unsent (fk_find_service (calls->kernel, FN_ENTRY), tag);
}

static void
report_disconnect (const fb_name_t *address, uint16_t port, void *user)
{
  fn_calls_t *calls = user;

  fn_fail_peer (fk_find_service (calls->kernel, FN_ENTRY), address, port);
}

static void
forget_member (const fw_member_t *member, void *user)
{
  fn_calls_t *calls = user;

  if (member->state == FW_DEAD && calls->bus)
    ft_disconnect (calls->bus, &member->address, member->call_port);
}

static fb_status_t
start_calls (fk_kernel_t *kernel, void *data)
{
  fn_calls_t *calls = data;
  const fc_settings_t *settings = fn_get_settings (kernel);
  ft_bus_hooks_t hooks
      = { receive_request, receive_answer, report_not_sent, report_disconnect, calls };

  calls->bus = ft_create_bus (kernel, "calls", &settings->address, settings->call_port, &hooks);
  return calls->bus ? FB_OK : FB_IO;
}

static void
stop_calls (void *data)
{
  fn_calls_t *calls = data;
  ft_bus_t *bus = calls->bus;

  calls->bus = NULL;
  ft_destroy_bus (bus);
}

static void
destroy_calls (void *data)
{
  fn_calls_t *calls = data;

  g_hash_table_destroy (calls->open);
  g_free (calls);
}

void
fn_register_calls (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { start_calls, stop_calls, destroy_calls };
  fn_calls_t *calls = g_new0 (fn_calls_t, 1);

  calls->kernel = kernel;
  calls->open = g_hash_table_new_full (hash_remote, equal_remote, g_free, NULL);
  calls->malformed = fb_find_counter (fk_get_counters (kernel), "malformed_call_messages", "");
  fn_watch_members (fk_find_service (kernel, FN_MEMBERSHIP), forget_member, calls);
  fk_register_service (kernel, FN_CALLS, &vtable, calls);
}

void
fn_send_call (fn_calls_t *calls, const fw_member_t *node, const fw_call_t *call)
{
  size_t length;
  uint8_t *header = fw_encode_call (call, &length);

  ft_send (calls->bus, &node->address, node->call_port, call->id,
           (fb_bytes_t){ header, length }, call->body);
  g_free (header);
}

void
fn_send_cancel (fn_calls_t *calls, const fw_member_t *node, uint64_t id)
{
  fw_call_t cancel = { .kind = FW_CANCEL, .id = id };
  size_t length;
  uint8_t *header = fw_encode_call (&cancel, &length);

  ft_send (calls->bus, &node->address, node->call_port, 0, (fb_bytes_t){ header, length },
           (fb_bytes_t){ NULL, 0 });
  g_free (header);
}
