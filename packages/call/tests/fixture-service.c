/* The fake service: events, network, faults and the final state. */
#include "fixture-service.h"
#include "fixture-world.h"
#include "route-state.h"

/* Requests arrive for this long, faults happen for that long, and the world ends when all
 * waiting must have ended. */
#define ARRIVALS (10 * FB_SECOND)
#define FLOOD_START (3 * FB_SECOND)
#define FLOOD_DURATION (200 * FB_MILLISECOND)
#define FAULTS (12 * FB_SECOND)
#define END (60 * FB_SECOND)

#define TICK (10 * FB_MILLISECOND)
#define CALLER_PATIENCE (700 * FB_MILLISECOND)

static int
compare_events (const void *a, const void *b, void *user)
{
  const event_t *left = a;
  const event_t *right = b;

  if (left->time != right->time)
    return left->time < right->time ? -1 : 1;
  return left->order < right->order ? -1 : 1;
}

event_t *
add_event (world_t *world, event_kind_t kind, uint32_t node, fb_time_t delay)
{
  event_t *event = g_new0 (event_t, 1);

  event->kind = kind;
  event->node = node;
  event->time = fb_read_clock (world->clock) + delay;
  event->order = world->orders++;
  g_sequence_insert_sorted (world->events, event, compare_events, NULL);
  return event;
}

bool
draw (world_t *world, double probability)
{
  return g_rand_double (world->random) < probability;
}

/* Sends a message that may get lost, arrive twice, or arrive late; none crosses a partition. */
void
send_event (const node_t *from, const event_t *message)
{
  world_t *world = from->world;
  bool crosses = ((world->split >> from->index ^ world->split >> message->node) & 1) != 0;
  int copies = draw (world, 0.03) ? 2 : 1;

  if (draw (world, 0.03) || (crosses && fb_read_clock (world->clock) < world->split_until))
    return;
  for (int i = 0; i < copies; i++)
    {
      int late = draw (world, 0.05) ? 1500 : 5;
      event_t *event
          = add_event (world, message->kind, message->node,
                       (fb_time_t)g_rand_int_range (world->random, 1, late) * FB_MILLISECOND);
      fb_time_t time = event->time;
      uint64_t order = event->order;

      *event = *message;
      event->time = time;
      event->order = order;
    }
}

/* Lets all nodes hear about NODE, each with its own lag. */
static void
spread_state (world_t *world, uint32_t node, fw_member_state_t state)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      fb_time_t lag = (fb_time_t)g_rand_int_range (world->random, 0, 2000) * FB_MILLISECOND;
      event_t *event = add_event (world, EVENT_LEARN, i, lag);

      event->number = node;
      event->state = state;
    }
}

static void
learn_state (node_t *node, uint32_t number, fw_member_state_t state)
{
  fw_member_t member = { .id = node->world->nodes[number].id, .state = state };

  member.zone = fb_make_name (number % 2 == 0 ? "zone-0" : "zone-1");
  member.region = fb_make_name ("region");
  member.service = fb_make_name ("service");
  fr_update_instance (node->picker, &member);
}

static void
begin_node (node_t *node)
{
  world_t *world = node->world;

  start_node (node);
  for (uint32_t i = 0; i < NODES; i++)
    if (world->nodes[i].start_id != 0)
      learn_state (node, i, FW_ALIVE);
  spread_state (world, node->index, FW_ALIVE);
}

/* Kills NODE after DELAY and starts it again some time later. */
static void
plan_restart (node_t *node, fb_time_t delay)
{
  event_t *event = add_event (node->world, EVENT_KILL, node->index, delay);

  event->start_id = node->start_id;
  add_event (
      node->world, EVENT_START, node->index,
      delay + (fb_time_t)g_rand_int_range (node->world->random, 10, 2000) * FB_MILLISECOND);
}

/* Does something bad to a random node. */
static void
run_fault (world_t *world)
{
  static const fr_rank_options_t rules[RANKS] = { { 0.2 }, { 0.2 }, { 0.6 } };
  uint32_t index = (uint32_t)g_rand_int_range (world->random, 0, NODES);
  node_t *node = &world->nodes[index];

  if (fb_read_clock (world->clock) < FAULTS)
    add_event (world, EVENT_FAULT, 0,
               (fb_time_t)g_rand_int_range (world->random, 100, 2500) * FB_MILLISECOND);
  if (node->start_id == 0 || node->draining)
    return;
  switch (g_rand_int_range (world->random, 0, 7))
    {
    case 0:
      spread_state (world, index, FW_DEAD);
      node->draining = true;
      plan_restart (node, 0);
      break;
    case 1:
      spread_state (world, index, FW_LEAVING);
      node->draining = true;
      fr_drain_admission (node->admission);
      plan_restart (node, FB_SECOND);
      break;
    case 2:
      node->paused_until
          = fb_read_clock (world->clock)
            + (fb_time_t)g_rand_int_range (world->random, 100, 3000) * FB_MILLISECOND;
      break;
    case 3:
      world->failing = (world->failing + 1) % (NODES * 2);
      break;
    case 4:
      world->shedding = (world->shedding + 1) % (NODES * 2);
      break;
    case 5:
      world->split = (uint32_t)g_rand_int_range (world->random, 1, 1 << NODES);
      world->split_until = fb_read_clock (world->clock)
                           + (fb_time_t)g_rand_int_range (world->random, 1, 4) * FB_SECOND;
      break;
    default:
      /* Running calls keep their slots when these become fewer. */
      node->slots = MAX (node->running, (uint32_t)g_rand_int_range (world->random, 2, 6));
      fr_configure_admission (node->admission, node->slots, rules,
                              (size_t)g_rand_int_range (world->random, 1, RANKS + 1));
      break;
    }
}

static void
send_request (world_t *world, node_t *node, const event_t *event)
{
  const request_t *request = &world->requests[event->request];
  event_t *give_up = add_event (world, EVENT_GIVE_UP, 0, CALLER_PATIENCE);

  give_up->request = request->index;
  give_up->number = request->tries;
  if (node->start_id != 0)
    handle_request (node, event);
}

static void
run_event (world_t *world, const event_t *event)
{
  node_t *node = &world->nodes[event->node];
  bool up = node->start_id != 0 && (event->start_id == 0 || event->start_id == node->start_id);

  switch (event->kind)
    {
    case EVENT_REQUEST:
      send_request (world, node, event);
      return;
    case EVENT_GIVE_UP:
      handle_caller_reply (world, event->request, event->number, FW_UNKNOWN, "", "");
      return;
    case EVENT_FAULT:
      run_fault (world);
      return;
    case EVENT_START:
      begin_node (node);
      return;
    default:
      break;
    }
  if (event->kind == EVENT_TICK)
    add_event (world, EVENT_TICK, node->index, TICK);
  if (!up)
    return;
  if (event->kind == EVENT_CALL)
    handle_call (node, event);
  else if (event->kind == EVENT_CANCEL)
    handle_cancel (node, event);
  else if (event->kind == EVENT_ANSWER)
    handle_answer (node, event);
  else if (event->kind == EVENT_TIMEOUT)
    handle_timeout (node, event);
  else if (event->kind == EVENT_FINISH)
    handle_finish (node, event);
  else if (event->kind == EVENT_LEARN)
    learn_state (node, event->number, event->state);
  else if (event->kind == EVENT_TICK)
    fr_tick_admission (node->admission);
  else if (event->kind == EVENT_KILL)
    {
      world->totals[TOTAL_RESTARTED]++;
      kill_node (node);
    }
}

/* Runs all events before END; those of a paused node wait for its return. */
static void
run_events (world_t *world)
{
  while (true)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->events);
      event_t *event = g_sequence_get (first);
      fb_time_t paused = world->nodes[event->node].paused_until;

      if (event->time >= END)
        return;
      g_sequence_remove (first);
      if (event->time < paused && event->kind != EVENT_GIVE_UP && event->kind != EVENT_FAULT
          && event->kind != EVENT_START && event->kind != EVENT_KILL)
        {
          event->time = paused;
          event->order = world->orders++;
          g_sequence_insert_sorted (world->events, event, compare_events, NULL);
          continue;
        }
      fb_advance_clock (world->clock, event->time - fb_read_clock (world->clock));
      run_event (world, event);
      g_free (event);
    }
}

/* Checks that nothing is left over: each call ended, each slot and each count is free. */
static void
check_end (world_t *world)
{
  for (uint32_t i = 0; i < REQUESTS; i++)
    g_assert_true (world->requests[i].done);
  for (uint32_t i = 0; i < NODES; i++)
    {
      const node_t *node = &world->nodes[i];
      GHashTableIter iter;
      void *value;

      g_assert_cmpuint (node->start_id, !=, 0);
      g_assert_cmpuint (fr_count_started (node->admission), ==, 0);
      g_assert_cmpuint (fr_count_waiting (node->admission), ==, 0);
      g_assert_cmpuint (g_hash_table_size (node->works), ==, 0);
      g_assert_cmpuint (g_hash_table_size (node->attempts), ==, 0);
      g_hash_table_iter_init (&iter, node->picker->instances);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        g_assert_cmpuint (((instance_t *)value)->in_flight, ==, 0);
    }
}

static void
create_world (world_t *world, uint32_t seed)
{
  world->clock = fb_create_manual_clock (0);
  world->counters = fb_create_counters ();
  world->random = g_rand_new_with_seed (seed);
  world->events = g_sequence_new (NULL);
  world->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world->failing = 1;
  world->shedding = 2;
  for (uint32_t i = 0; i < NODES; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "node-%u", i);
      world->nodes[i].world = world;
      world->nodes[i].index = i;
      world->nodes[i].id = fb_make_name (name);
      begin_node (&world->nodes[i]);
      add_event (world, EVENT_TICK, i, 0);
    }
  add_event (world, EVENT_FAULT, 0, FB_SECOND);
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      /* Half of the requests come as a flood that admission must refuse in part. */
      double arrival
          = g_rand_double (world->random) * (double)(i % 2 == 0 ? ARRIVALS : FLOOD_DURATION);
      event_t *event = add_event (world, EVENT_REQUEST,
                                  (uint32_t)g_rand_int_range (world->random, 0, NODES),
                                  (fb_time_t)arrival + (i % 2 == 0 ? 0 : FLOOD_START));

      event->request = i;
      world->requests[i].index = i;
      world->requests[i].rank = (uint32_t)g_rand_int_range (world->random, 0, RANKS);
      world->requests[i].repeatable = draw (world, 0.3);
    }
}

void
run_world (uint32_t seed, uint64_t *totals)
{
  world_t *world = g_new0 (world_t, 1);

  world->totals = totals;
  create_world (world, seed);
  run_events (world);
  check_end (world);
  for (uint32_t i = 0; i < NODES; i++)
    kill_node (&world->nodes[i]);
  for (GSequenceIter *iter = g_sequence_get_begin_iter (world->events);
       !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    g_free (g_sequence_get (iter));
  g_sequence_free (world->events);
  g_hash_table_destroy (world->runs);
  g_hash_table_destroy (world->refused);
  g_rand_free (world->random);
  fb_destroy_counters (world->counters);
  fb_destroy_clock (world->clock);
  g_free (world);
}
