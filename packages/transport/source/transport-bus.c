#include "transport-socket.h"
#include <foxtailrun/transport/bus.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

/* Maximum of messages queued per connection and direction; a DEALER refuses more. */
#define HIGH_WATER_MARK 10000

/* Maximum time to write queued messages of the ROUTER when the bus is closed. */
#define LINGER_MS 1000

/* Unused connections are closed after this, to limit descriptors and memory. */
#define IDLE_TIMEOUT (60 * FB_SECOND)

#define PENDING_CHECK_INTERVAL (50 * FB_MILLISECOND)
#define IDLE_CHECK_INTERVAL (5 * FB_SECOND)

typedef struct
{
  fb_time_t expires_at;
  GBytes *header;
  GBytes *body;
} pending_message_t;

typedef struct
{
  ft_bus_t *bus;
  fb_name_t address;
  uint16_t port;
  ft_socket_t *dealer;
  ft_socket_t *monitor;
  GQueue pending_messages; /* pending_message_t, oldest first, waiting for the connection */
  fb_time_t last_used;
} peer_t;

struct ft_bus
{
  fk_kernel_t *kernel;
  char *name;
  void *context;
  ft_message_fn_t message_callback;
  void *user;
  ft_socket_t *router;
  GHashTable *peers;         /* "address:port" to peer_t */
  fk_timer_t *pending_timer; /* active while messages wait for a connection */
  fk_timer_t *idle_timer;
  fb_counter_t *sent_bytes;
  fb_counter_t *received_bytes;
  uint64_t monitor_count;
};

static void
free_pending_message (pending_message_t *pending)
{
  g_bytes_unref (pending->header);
  g_bytes_unref (pending->body);
  g_free (pending);
}

static bool
write_frames (ft_bus_t *bus, peer_t *peer, fb_bytes_t header, fb_bytes_t body)
{
  if (!ft_write_socket (peer->dealer, header, true))
    return false;
  /* ZeroMQ never refuses further frames after accepting the first of a message. */
  ft_write_socket (peer->dealer, body, false);
  fb_add_counter (bus->sent_bytes, header.len + body.len);
  return true;
}

static fb_bytes_t
view_bytes (GBytes *bytes)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (bytes, &len);

  return (fb_bytes_t){ data, len };
}

static void
flush_pending (peer_t *peer)
{
  while (!g_queue_is_empty (&peer->pending_messages))
    {
      pending_message_t *pending = g_queue_peek_head (&peer->pending_messages);
      if (!write_frames (peer->bus, peer, view_bytes (pending->header),
                         view_bytes (pending->body)))
        return;
      free_pending_message (g_queue_pop_head (&peer->pending_messages));
    }
}

/* Peers send no replies: a message on a DEALER only shows a connection. */
static void
handle_dealer_message (ft_frames_t *frames, void *user)
{
  peer_t *peer = user;
  ft_bus_t *bus = peer->bus;

  peer->last_used = fb_read_clock (fk_get_clock (bus->kernel));
  flush_pending (peer);
}

static void
handle_monitor_event (ft_frames_t *frames, void *user)
{
  peer_t *peer = user;
  uint16_t event = 0;

  if (frames->count < 1 || frames->frame[0].len < sizeof event)
    return;
  memcpy (&event, frames->frame[0].data, sizeof event);
  if (event == ZMQ_EVENT_HANDSHAKE_SUCCEEDED)
    flush_pending (peer);
}

static void
handle_router_message (ft_frames_t *frames, void *user)
{
  ft_bus_t *bus = user;

  /* The first frame is the ROUTER's identity of the sender. */
  if (frames->count != 3)
    return;
  fb_add_counter (bus->received_bytes, frames->frame[1].len + frames->frame[2].len);
  bus->message_callback (frames->frame[1], frames->frame[2], bus->user);
}

static void
destroy_peer (void *data)
{
  peer_t *peer = data;

  ft_destroy_socket (peer->monitor);
  ft_destroy_socket (peer->dealer);
  g_queue_clear_full (&peer->pending_messages, (GDestroyNotify)free_pending_message);
  g_free (peer);
}

static void
set_socket_options (void *socket)
{
  int interval_ms = FT_HEARTBEAT_TIMEOUT_MS / 3;
  int timeout_ms = FT_HEARTBEAT_TIMEOUT_MS;
  int high_water_mark = HIGH_WATER_MARK;

  zmq_setsockopt (socket, ZMQ_HEARTBEAT_IVL, &interval_ms, sizeof interval_ms);
  zmq_setsockopt (socket, ZMQ_HEARTBEAT_TIMEOUT, &timeout_ms, sizeof timeout_ms);
  zmq_setsockopt (socket, ZMQ_HEARTBEAT_TTL, &timeout_ms, sizeof timeout_ms);
  zmq_setsockopt (socket, ZMQ_HANDSHAKE_IVL, &timeout_ms, sizeof timeout_ms);
  zmq_setsockopt (socket, ZMQ_SNDHWM, &high_water_mark, sizeof high_water_mark);
  zmq_setsockopt (socket, ZMQ_RCVHWM, &high_water_mark, sizeof high_water_mark);
}

/* Opens the DEALER and its monitor. ZMQ_IMMEDIATE queues messages only for established
 * connections, so that a refused message was certainly not sent. */
static void
open_peer_sockets (ft_bus_t *bus, peer_t *peer)
{
  char endpoint[96];
  int immediate = 1;
  int reconnect_ms = 100;
  int reconnect_max_ms = 1000;
  int linger_ms = 0;
  void *dealer = zmq_socket (bus->context, ZMQ_DEALER);
  void *monitor = zmq_socket (bus->context, ZMQ_PAIR);

  set_socket_options (dealer);
  zmq_setsockopt (dealer, ZMQ_IMMEDIATE, &immediate, sizeof immediate);
  zmq_setsockopt (dealer, ZMQ_RECONNECT_IVL, &reconnect_ms, sizeof reconnect_ms);
  zmq_setsockopt (dealer, ZMQ_RECONNECT_IVL_MAX, &reconnect_max_ms, sizeof reconnect_max_ms);
  zmq_setsockopt (dealer, ZMQ_LINGER, &linger_ms, sizeof linger_ms);
  zmq_setsockopt (monitor, ZMQ_LINGER, &linger_ms, sizeof linger_ms);
  snprintf (endpoint, sizeof endpoint, "inproc://monitor-%s-%" G_GUINT64_FORMAT, bus->name,
            bus->monitor_count++);
  zmq_socket_monitor (dealer, endpoint, ZMQ_EVENT_HANDSHAKE_SUCCEEDED);
  zmq_connect (monitor, endpoint);
  snprintf (endpoint, sizeof endpoint, "tcp://%s:%u", peer->address.data, peer->port);
  zmq_connect (dealer, endpoint);
  peer->dealer = ft_create_socket (bus->kernel, dealer, handle_dealer_message, peer);
  peer->monitor = ft_create_socket (bus->kernel, monitor, handle_monitor_event, peer);
}

static char *
format_peer_key (const fb_name_t *address, uint16_t port)
{
  return g_strdup_printf ("%s:%u", address->data, port);
}

static peer_t *
find_or_create_peer (ft_bus_t *bus, const fb_name_t *address, uint16_t port)
{
  char *key = format_peer_key (address, port);
  peer_t *peer = g_hash_table_lookup (bus->peers, key);

  if (peer)
    {
      g_free (key);
      return peer;
    }
  peer = g_new0 (peer_t, 1);
  peer->bus = bus;
  peer->address = *address;
  peer->port = port;
  g_queue_init (&peer->pending_messages);
  open_peer_sockets (bus, peer);
  g_hash_table_insert (bus->peers, key, peer);
  return peer;
}

static void
close_idle_peers (void *user)
{
  ft_bus_t *bus = user;
  fb_time_t now = fb_read_clock (fk_get_clock (bus->kernel));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, bus->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;
      if (g_queue_is_empty (&peer->pending_messages) && now - peer->last_used > IDLE_TIMEOUT)
        g_hash_table_iter_remove (&iter);
    }
}

/* Drops the expired messages of PEER; returns whether others are waiting. */
static bool
drop_expired (peer_t *peer, fb_time_t now)
{
  pending_message_t *oldest;

  while ((oldest = g_queue_peek_head (&peer->pending_messages)) && oldest->expires_at <= now)
    free_pending_message (g_queue_pop_head (&peer->pending_messages));
  return oldest != NULL;
}

static void
process_pending (void *user)
{
  ft_bus_t *bus = user;
  fb_time_t now = fb_read_clock (fk_get_clock (bus->kernel));
  GHashTableIter iter;
  gpointer value;
  bool waiting = false;

  g_hash_table_iter_init (&iter, bus->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      flush_pending (value);
      waiting |= drop_expired (value, now);
    }
  if (!waiting)
    fk_pause_timer (bus->pending_timer);
}

ft_bus_t *
ft_create_bus (fk_kernel_t *kernel, const char *name, const fb_name_t *address, uint16_t port,
               ft_message_fn_t callback, void *user)
{
  char endpoint[96];
  int linger_ms = LINGER_MS;
  ft_bus_t *bus = g_new0 (ft_bus_t, 1);
  void *router;
  char *labels;

  bus->kernel = kernel;
  bus->name = g_strdup (name);
  bus->message_callback = callback;
  bus->user = user;
  labels = g_strdup_printf ("bus=\"%s\"", name);
  bus->sent_bytes = fb_find_counter (fk_get_counters (kernel), "bus_sent_bytes", labels);
  bus->received_bytes
      = fb_find_counter (fk_get_counters (kernel), "bus_received_bytes", labels);
  g_free (labels);
  bus->context = zmq_ctx_new ();
  bus->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_peer);
  router = zmq_socket (bus->context, ZMQ_ROUTER);
  set_socket_options (router);
  zmq_setsockopt (router, ZMQ_LINGER, &linger_ms, sizeof linger_ms);
  snprintf (endpoint, sizeof endpoint, "tcp://%s:%u", address->data, port);
  if (zmq_bind (router, endpoint) != 0)
    {
      FB_LOG (fk_get_log (kernel), FB_LOG_ERROR, "transport", "cannot bind TCP socket",
              FB_TEXT ("endpoint", endpoint), FB_TEXT ("error", zmq_strerror (zmq_errno ())));
      zmq_close (router);
      ft_destroy_bus (bus);
      return NULL;
    }
  bus->router = ft_create_socket (kernel, router, handle_router_message, bus);
  bus->pending_timer = fk_create_timer (kernel, PENDING_CHECK_INTERVAL, process_pending, bus);
  bus->idle_timer = fk_create_timer (kernel, IDLE_CHECK_INTERVAL, close_idle_peers, bus);
  return bus;
}

void
ft_destroy_bus (ft_bus_t *bus)
{
  if (!bus)
    return;
  fk_destroy_timer (bus->pending_timer);
  fk_destroy_timer (bus->idle_timer);
  g_hash_table_destroy (bus->peers);
  ft_destroy_socket (bus->router);
  zmq_ctx_term (bus->context);
  g_free (bus->name);
  g_free (bus);
}

void
ft_send (ft_bus_t *bus, const fb_name_t *address, uint16_t port, fb_bytes_t header,
         fb_bytes_t body)
{
  fb_time_t now = fb_read_clock (fk_get_clock (bus->kernel));
  peer_t *peer = find_or_create_peer (bus, address, port);
  pending_message_t *pending;

  peer->last_used = now;
  if (g_queue_is_empty (&peer->pending_messages) && write_frames (bus, peer, header, body))
    return;
  pending = g_new0 (pending_message_t, 1);
  pending->expires_at = now + FT_CONNECT_TIMEOUT;
  pending->header = g_bytes_new (header.data, header.len);
  pending->body = g_bytes_new (body.data, body.len);
  g_queue_push_tail (&peer->pending_messages, pending);
  fk_resume_timer (bus->pending_timer);
}
