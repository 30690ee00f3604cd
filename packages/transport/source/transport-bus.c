#include "transport-socket.h"
#include <foxtailrun/transport/bus.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

/* Messages that wait in one direction before a sender is refused. */
#define HIGH_WATER_MARK 10000

/* Time for answers still to be written when the bus closes, in ms. */
#define LINGER_MS 1000

/* Connections without traffic for this long are closed, to bound descriptors and memory. */
#define IDLE_LIMIT (60 * FB_SECOND)

#define SWEEP_PERIOD (50 * FB_MILLISECOND)
#define IDLE_PERIOD (5 * FB_SECOND)

typedef struct
{
  fb_time_t expires;
  GBytes *header;
  GBytes *body;
} pending_t;

typedef struct
{
  ft_bus_t *bus;
  fb_name_t address;
  uint16_t port;
  ft_socket_t *dealer;
  ft_socket_t *monitor;
  GQueue pending; /* messages that wait for the connection */
  fb_time_t last_used;
} peer_t;

struct ft_bus
{
  fk_kernel_t *kernel;
  char *name;
  void *context;
  ft_message_fn_t received_hook;
  void *user;
  ft_socket_t *router;
  GHashTable *peers; /* "address:port" to peer_t */
  fk_timer_t *sweep; /* runs while messages wait for a connection */
  fk_timer_t *idle;
  fb_counter_t *sent;
  fb_counter_t *received;
  uint64_t monitor_count;
};

static void
free_pending (pending_t *pending)
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
  /* The second frame belongs to a message already accepted, so that it cannot be refused. */
  ft_write_socket (peer->dealer, body, false);
  fb_add_counter (bus->sent, header.len + body.len);
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
  while (!g_queue_is_empty (&peer->pending))
    {
      pending_t *pending = g_queue_peek_head (&peer->pending);
      if (!write_frames (peer->bus, peer, view_bytes (pending->header),
                         view_bytes (pending->body)))
        return;
      free_pending (g_queue_pop_head (&peer->pending));
    }
}

/* Nothing is answered on a DEALER; what wakes it shows that the connection is there. */
static void
note_traffic (ft_frames_t *frames, void *user)
{
  peer_t *peer = user;
  ft_bus_t *bus = peer->bus;

  peer->last_used = fb_read_clock (fk_get_clock (bus->kernel));
  flush_pending (peer);
}

static void
receive_event (ft_frames_t *frames, void *user)
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
receive_message (ft_frames_t *frames, void *user)
{
  ft_bus_t *bus = user;

  /* The first frame is the sender's address on the ROUTER. */
  if (frames->count != 3)
    return;
  fb_add_counter (bus->received, frames->frame[1].len + frames->frame[2].len);
  bus->received_hook (frames->frame[1], frames->frame[2], bus->user);
}

static void
destroy_peer (void *data)
{
  peer_t *peer = data;

  ft_destroy_socket (peer->monitor);
  ft_destroy_socket (peer->dealer);
  g_queue_clear_full (&peer->pending, (GDestroyNotify)free_pending);
  g_free (peer);
}

static void
set_heartbeat (void *socket)
{
  int interval = FT_HEARTBEAT_TIMEOUT_MS / 3;
  int silence = FT_HEARTBEAT_TIMEOUT_MS;
  int high = HIGH_WATER_MARK;

  zmq_setsockopt (socket, ZMQ_HEARTBEAT_IVL, &interval, sizeof interval);
  zmq_setsockopt (socket, ZMQ_HEARTBEAT_TIMEOUT, &silence, sizeof silence);
  zmq_setsockopt (socket, ZMQ_HEARTBEAT_TTL, &silence, sizeof silence);
  zmq_setsockopt (socket, ZMQ_HANDSHAKE_IVL, &silence, sizeof silence);
  zmq_setsockopt (socket, ZMQ_SNDHWM, &high, sizeof high);
  zmq_setsockopt (socket, ZMQ_RCVHWM, &high, sizeof high);
}

/* Opens the DEALER and its monitor. IMMEDIATE keeps messages out of connections that are not
 * established, so that a message refused here provably never left. */
static void
open_peer_sockets (ft_bus_t *bus, peer_t *peer)
{
  char endpoint[96];
  int one = 1;
  int reconnect = 100;
  int reconnect_max = 1000;
  int linger = 0;
  void *dealer = zmq_socket (bus->context, ZMQ_DEALER);
  void *monitor = zmq_socket (bus->context, ZMQ_PAIR);

  set_heartbeat (dealer);
  zmq_setsockopt (dealer, ZMQ_IMMEDIATE, &one, sizeof one);
  zmq_setsockopt (dealer, ZMQ_RECONNECT_IVL, &reconnect, sizeof reconnect);
  zmq_setsockopt (dealer, ZMQ_RECONNECT_IVL_MAX, &reconnect_max, sizeof reconnect_max);
  zmq_setsockopt (dealer, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (monitor, ZMQ_LINGER, &linger, sizeof linger);
  snprintf (endpoint, sizeof endpoint, "inproc://monitor-%s-%" G_GUINT64_FORMAT, bus->name,
            bus->monitor_count++);
  zmq_socket_monitor (dealer, endpoint, ZMQ_EVENT_HANDSHAKE_SUCCEEDED);
  zmq_connect (monitor, endpoint);
  snprintf (endpoint, sizeof endpoint, "tcp://%s:%u", peer->address.data, peer->port);
  zmq_connect (dealer, endpoint);
  peer->dealer = ft_create_socket (bus->kernel, dealer, note_traffic, peer);
  peer->monitor = ft_create_socket (bus->kernel, monitor, receive_event, peer);
}

static char *
format_peer_key (const fb_name_t *address, uint16_t port)
{
  return g_strdup_printf ("%s:%u", address->data, port);
}

static peer_t *
find_peer (ft_bus_t *bus, const fb_name_t *address, uint16_t port)
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
  g_queue_init (&peer->pending);
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
      if (g_queue_is_empty (&peer->pending) && now - peer->last_used > IDLE_LIMIT)
        g_hash_table_iter_remove (&iter);
    }
}

/* Drops the messages of PEER whose wait for a connection is over; returns whether others wait.
 */
static bool
drop_expired (peer_t *peer, fb_time_t now)
{
  pending_t *oldest;

  while ((oldest = g_queue_peek_head (&peer->pending)) && oldest->expires <= now)
    free_pending (g_queue_pop_head (&peer->pending));
  return oldest != NULL;
}

static void
sweep_pending (void *user)
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
    fk_pause_timer (bus->sweep);
}

ft_bus_t *
ft_create_bus (fk_kernel_t *kernel, const char *name, const fb_name_t *address, uint16_t port,
               ft_message_fn_t received, void *user)
{
  char endpoint[96];
  int linger = LINGER_MS;
  ft_bus_t *bus = g_new0 (ft_bus_t, 1);
  void *router;
  char *labels;

  bus->kernel = kernel;
  bus->name = g_strdup (name);
  bus->received_hook = received;
  bus->user = user;
  labels = g_strdup_printf ("bus=\"%s\"", name);
  bus->sent = fb_find_counter (fk_get_counters (kernel), "bus_sent_bytes", labels);
  bus->received = fb_find_counter (fk_get_counters (kernel), "bus_received_bytes", labels);
  g_free (labels);
  bus->context = zmq_ctx_new ();
  bus->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_peer);
  router = zmq_socket (bus->context, ZMQ_ROUTER);
  set_heartbeat (router);
  zmq_setsockopt (router, ZMQ_LINGER, &linger, sizeof linger);
  snprintf (endpoint, sizeof endpoint, "tcp://%s:%u", address->data, port);
  if (zmq_bind (router, endpoint) != 0)
    {
      FB_LOG (fk_get_log (kernel), FB_LOG_ERROR, "transport", "cannot bind TCP socket",
              FB_TEXT ("endpoint", endpoint), FB_TEXT ("error", zmq_strerror (zmq_errno ())));
      zmq_close (router);
      ft_destroy_bus (bus);
      return NULL;
    }
  bus->router = ft_create_socket (kernel, router, receive_message, bus);
  bus->sweep = fk_create_timer (kernel, SWEEP_PERIOD, sweep_pending, bus);
  bus->idle = fk_create_timer (kernel, IDLE_PERIOD, close_idle_peers, bus);
  return bus;
}

void
ft_destroy_bus (ft_bus_t *bus)
{
  if (!bus)
    return;
  fk_destroy_timer (bus->sweep);
  fk_destroy_timer (bus->idle);
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
  peer_t *peer = find_peer (bus, address, port);
  pending_t *pending;

  peer->last_used = now;
  if (g_queue_is_empty (&peer->pending) && write_frames (bus, peer, header, body))
    return;
  pending = g_new0 (pending_t, 1);
  pending->expires = now + FT_CONNECT_TIMEOUT;
  pending->header = g_bytes_new (header.data, header.len);
  pending->body = g_bytes_new (body.data, body.len);
  g_queue_push_tail (&peer->pending, pending);
  fk_resume_timer (bus->sweep);
}
