#include "fixture-network.h"

/* Largest number of messages queued for a paused node; later ones are lost. */
#define WAITING_MESSAGES_MAX 128

typedef enum
{
  STOPPED,
  RUNNING,
  PAUSED
} run_state_t;

typedef struct
{
  run_state_t state;
  unsigned group;
  unsigned run_generation; /* incremented by each start and stop */
  GQueue waiting;
  fb_time_t last_stream_arrival[FX_NODES_MAX]; /* by receiving node */
} node_t;

/* A message in transit, or a tick when BYTES is NULL. */
typedef struct
{
  fb_time_t due_at;
  uint64_t number; /* in order of creation, for events due at the same time */
  size_t from;
  size_t to;
  unsigned from_generation;
  unsigned to_generation;
  fx_channel_t channel;
  GBytes *bytes;
} event_t;

struct fx_network
{
  fx_hooks_t hooks;
  fx_faults_t faults;
  fb_clock_t *clock;
  GRand *random;
  GSequence *events;
  uint64_t events_created;
  size_t count;
  node_t nodes[FX_NODES_MAX];
};

static int
compare_events (const void *a, const void *b, void *user)
{
  const event_t *left = a;
  const event_t *right = b;

  if (left->due_at != right->due_at)
    return left->due_at < right->due_at ? -1 : 1;
  return left->number < right->number ? -1 : left->number > right->number;
}

static void
destroy_event (void *data)
{
  event_t *event = data;

  if (event->bytes)
    g_bytes_unref (event->bytes);
  g_free (event);
}

static void
add_event (fx_network_t *network, fb_time_t at, size_t from, size_t to, fx_channel_t channel,
           GBytes *bytes)
{
  event_t *event = g_new0 (event_t, 1);

  event->due_at = at;
  event->number = ++network->events_created;
  event->from = from;
  event->to = to;
  event->from_generation = network->nodes[from].run_generation;
  event->to_generation = network->nodes[to].run_generation;
  event->channel = channel;
  event->bytes = bytes ? g_bytes_ref (bytes) : NULL;
  g_sequence_insert_sorted (network->events, event, compare_events, NULL);
}

static void
run_receive (fx_network_t *network, const event_t *event)
{
  gsize length;
  const uint8_t *data = g_bytes_get_data (event->bytes, &length);

  network->hooks.receive (event->to, event->from, event->channel, (fb_bytes_t){ data, length },
                          network->hooks.user);
  network->hooks.check (event->to, network->hooks.user);
}

static void
run_tick (fx_network_t *network, size_t node)
{
  network->hooks.tick (node, network->hooks.user);
  network->hooks.check (node, network->hooks.user);
}

/* Handles EVENT and takes ownership of it. */
static void
handle_event (fx_network_t *network, event_t *event)
{
  node_t *to = &network->nodes[event->to];
  const node_t *from = &network->nodes[event->from];

  if (!event->bytes)
    {
      if (to->run_generation == event->to_generation && to->state != STOPPED)
        {
          if (to->state == RUNNING)
            run_tick (network, event->to);
          add_event (network, event->due_at + FX_TICK_INTERVAL, event->to, event->to,
                     FX_DATAGRAM, NULL);
        }
    }
  else if (to->state == STOPPED || from->group != to->group
           || (event->channel == FX_STREAM
               && (from->run_generation != event->from_generation
                   || to->run_generation != event->to_generation)))
    {
      /* The message is lost. */
    }
  else if (to->state == RUNNING)
    run_receive (network, event);
  else if (to->waiting.length < WAITING_MESSAGES_MAX)
    {
      g_queue_push_tail (&to->waiting, event);
      return;
    }
  destroy_event (event);
}

fx_network_t *
fx_create_network (size_t count, uint32_t seed, const fx_hooks_t *hooks)
{
  fx_network_t *network = g_new0 (fx_network_t, 1);

  g_assert_cmpuint (count, <=, FX_NODES_MAX);
  network->hooks = *hooks;
  network->faults.delay_min = FB_MILLISECOND;
  network->faults.delay_max = 5 * FB_MILLISECOND;
  network->clock = fb_create_manual_clock (1000 * FB_SECOND);
  network->random = g_rand_new_with_seed (seed);
  network->events = g_sequence_new (destroy_event);
  network->count = count;
  return network;
}

void
fx_destroy_network (fx_network_t *network)
{
  for (size_t i = 0; i < network->count; i++)
    g_queue_clear_full (&network->nodes[i].waiting, destroy_event);
  g_sequence_free (network->events);
  g_rand_free (network->random);
  fb_destroy_clock (network->clock);
  g_free (network);
}

fb_clock_t *
fx_get_clock (fx_network_t *network)
{
  return network->clock;
}

void
fx_set_faults (fx_network_t *network, const fx_faults_t *faults)
{
  network->faults = *faults;
}

void
fx_send (fx_network_t *network, size_t from, size_t to, fx_channel_t channel, fb_bytes_t bytes)
{
  const fx_faults_t *faults = &network->faults;
  fb_time_t now = fb_read_clock (network->clock);
  bool stream = channel == FX_STREAM;
  int copies
      = !stream && g_rand_double (network->random) < faults->duplicate_probability ? 2 : 1;
  GBytes *copy;

  if (network->nodes[from].group != network->nodes[to].group
      || (!stream && g_rand_double (network->random) < faults->loss_probability))
    return;
  copy = g_bytes_new (bytes.data, bytes.len);
  for (int i = 0; i < copies; i++)
    {
      fb_time_t at = now
                     + (fb_time_t)g_rand_double_range (
                         network->random, (double)faults->delay_min, (double)faults->delay_max);
      fb_time_t *last_arrival = &network->nodes[from].last_stream_arrival[to];
      if (stream)
        at = *last_arrival = MAX (at, *last_arrival);
      add_event (network, at, from, to, channel, copy);
    }
  g_bytes_unref (copy);
}

void
fx_set_group (fx_network_t *network, size_t node, unsigned group)
{
  network->nodes[node].group = group;
}

void
fx_start_node (fx_network_t *network, size_t node)
{
  fb_time_t now = fb_read_clock (network->clock);

  g_assert_cmpint (network->nodes[node].state, ==, STOPPED);
  network->nodes[node].state = RUNNING;
  network->nodes[node].run_generation++;
  add_event (network, now + g_rand_int_range (network->random, 0, FX_TICK_INTERVAL), node, node,
             FX_DATAGRAM, NULL);
}

void
fx_stop_node (fx_network_t *network, size_t node)
{
  network->nodes[node].state = STOPPED;
  network->nodes[node].run_generation++;
  g_queue_clear_full (&network->nodes[node].waiting, destroy_event);
}

void
fx_pause_node (fx_network_t *network, size_t node)
{
  g_assert_cmpint (network->nodes[node].state, ==, RUNNING);
  network->nodes[node].state = PAUSED;
}

void
fx_resume_node (fx_network_t *network, size_t node)
{
  node_t *resumed = &network->nodes[node];
  event_t *event;

  g_assert_cmpint (resumed->state, ==, PAUSED);
  resumed->state = RUNNING;
  run_tick (network, node);
  while ((event = g_queue_pop_head (&resumed->waiting)))
    {
      run_receive (network, event);
      destroy_event (event);
    }
}

void
fx_run (fx_network_t *network, fb_time_t duration)
{
  fb_time_t end = fb_read_clock (network->clock) + duration;

  while (!g_sequence_is_empty (network->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (network->events);
      event_t *event = g_sequence_get (first);
      event_t *due;
      if (event->due_at > end)
        break;
      /* Removing an event from the sequence destroys it; the copy takes over its bytes. */
      due = g_memdup2 (event, sizeof *event);
      event->bytes = NULL;
      g_sequence_remove (first);
      fb_advance_clock (network->clock, due->due_at - fb_read_clock (network->clock));
      handle_event (network, due);
    }
  fb_advance_clock (network->clock, end - fb_read_clock (network->clock));
}
