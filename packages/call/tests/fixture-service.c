/* Simulated service: events, network, faults and checks of the final state. */
#include "fixture-service.h"
#include "fixture-simulation.h"
#include "route-state.h"

#define ARRIVALS_END (10 * FB_SECOND)
#define FLOOD_START (3 * FB_SECOND)
#define FLOOD_DURATION (200 * FB_MILLISECOND)
#define FAULTS_END (12 * FB_SECOND)

/* By then all calls, timeouts and retries must have ended. */
#define SIMULATION_END (60 * FB_SECOND)

#define TICK_INTERVAL (10 * FB_MILLISECOND)
#define CALLER_TIMEOUT (700 * FB_MILLISECOND)

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
add_event (simulation_t *simulation, event_kind_t kind, uint32_t node, fb_time_t delay)
{
  event_t *event = g_new0 (event_t, 1);

  event->kind = kind;
  event->node = node;
  event->time = fb_read_clock (simulation->clock) + delay;
  event->order = simulation->next_order++;
  g_sequence_insert_sorted (simulation->events, event, compare_events, NULL);
  return event;
}

bool
draw_chance (simulation_t *simulation, double probability)
{
  return g_rand_double (simulation->random) < probability;
}

/* Sends MESSAGE, which may be lost, duplicated or delayed; none crosses a partition. */
void
send_event (const node_t *from, const event_t *message)
{
  simulation_t *simulation = from->simulation;
  bool crosses_partition = ((simulation->partition_mask >> from->index
                             ^ simulation->partition_mask >> message->node)
                            & 1)
                           != 0;
  int copies = draw_chance (simulation, 0.03) ? 2 : 1;

  if (draw_chance (simulation, 0.03)
      || (crosses_partition && fb_read_clock (simulation->clock) < simulation->partition_until))
    return;
  for (int i = 0; i < copies; i++)
    {
      int delay_max_ms = draw_chance (simulation, 0.05) ? 1500 : 5;
      event_t *event = add_event (
          simulation, message->kind, message->node,
          (fb_time_t)g_rand_int_range (simulation->random, 1, delay_max_ms) * FB_MILLISECOND);
      fb_time_t time = event->time;
      uint64_t order = event->order;

      *event = *message;
      event->time = time;
      event->order = order;
    }
}

/* Announces STATE of NODE to all nodes, each after a random delay. */
static void
announce_state (simulation_t *simulation, uint32_t node, fw_member_state_t state)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      fb_time_t delay
          = (fb_time_t)g_rand_int_range (simulation->random, 0, 2000) * FB_MILLISECOND;
      event_t *event = add_event (simulation, EVENT_MEMBER_UPDATE, i, delay);

      event->number = node;
      event->state = state;
    }
}

static void
apply_member_state (node_t *node, uint32_t member_index, fw_member_state_t state)
{
  fw_member_t member = { .id = node->simulation->nodes[member_index].id, .state = state };

  member.zone = fb_make_name (member_index % 2 == 0 ? "zone-0" : "zone-1");
  member.region = fb_make_name ("region");
  member.service = fb_make_name ("service");
  fr_update_instance (node->picker, &member);
}

static void
join_node (node_t *node)
{
  simulation_t *simulation = node->simulation;

  start_node (node);
  for (uint32_t i = 0; i < NODES; i++)
    if (simulation->nodes[i].start_id != 0)
      apply_member_state (node, i, FW_ALIVE);
  announce_state (simulation, node->index, FW_ALIVE);
}

/* Kills NODE after DELAY and restarts it after a random time. */
static void
schedule_restart (node_t *node, fb_time_t delay)
{
  event_t *event = add_event (node->simulation, EVENT_KILL, node->index, delay);

  event->start_id = node->start_id;
  add_event (node->simulation, EVENT_START, node->index,
             delay
                 + (fb_time_t)g_rand_int_range (node->simulation->random, 10, 2000)
                       * FB_MILLISECOND);
}

static void
inject_fault (simulation_t *simulation)
{
  static const fr_rank_options_t rank_options[RANKS] = { { 0.2 }, { 0.2 }, { 0.6 } };
  uint32_t index = (uint32_t)g_rand_int_range (simulation->random, 0, NODES);
  node_t *node = &simulation->nodes[index];

  if (fb_read_clock (simulation->clock) < FAULTS_END)
    add_event (simulation, EVENT_FAULT, 0,
               (fb_time_t)g_rand_int_range (simulation->random, 100, 2500) * FB_MILLISECOND);
  if (node->start_id == 0 || node->draining)
    return;
  switch (g_rand_int_range (simulation->random, 0, 7))
    {
    case 0:
      announce_state (simulation, index, FW_DEAD);
      node->draining = true;
      schedule_restart (node, 0);
      break;
    case 1:
      announce_state (simulation, index, FW_LEAVING);
      node->draining = true;
      fr_drain_admission (node->admission);
      schedule_restart (node, FB_SECOND);
      break;
    case 2:
      node->paused_until
          = fb_read_clock (simulation->clock)
            + (fb_time_t)g_rand_int_range (simulation->random, 100, 3000) * FB_MILLISECOND;
      break;
    case 3:
      simulation->failing_node = (simulation->failing_node + 1) % (NODES * 2);
      break;
    case 4:
      simulation->shedding_node = (simulation->shedding_node + 1) % (NODES * 2);
      break;
    case 5:
      simulation->partition_mask
          = (uint32_t)g_rand_int_range (simulation->random, 1, 1 << NODES);
      simulation->partition_until
          = fb_read_clock (simulation->clock)
            + (fb_time_t)g_rand_int_range (simulation->random, 1, 4) * FB_SECOND;
      break;
    default:
      /* Not fewer slots than running calls, which keep theirs. */
      node->slots = MAX (node->running, (uint32_t)g_rand_int_range (simulation->random, 2, 6));
      fr_configure_admission (node->admission, node->slots, rank_options,
                              (size_t)g_rand_int_range (simulation->random, 1, RANKS + 1));
      break;
    }
}

static void
send_request (simulation_t *simulation, node_t *node, const event_t *event)
{
  const request_t *request = &simulation->requests[event->request];
  event_t *timeout = add_event (simulation, EVENT_CALLER_TIMEOUT, 0, CALLER_TIMEOUT);

  timeout->request = request->index;
  timeout->number = request->ended_attempts;
  if (node->start_id != 0)
    handle_request (node, event);
}

static void
run_event (simulation_t *simulation, const event_t *event)
{
  node_t *node = &simulation->nodes[event->node];
  bool up = node->start_id != 0 && (event->start_id == 0 || event->start_id == node->start_id);

  switch (event->kind)
    {
    case EVENT_REQUEST:
      send_request (simulation, node, event);
      return;
    case EVENT_CALLER_TIMEOUT:
      handle_caller_outcome (simulation, event->request, event->number, FW_UNKNOWN, "", "");
      return;
    case EVENT_FAULT:
      inject_fault (simulation);
      return;
    case EVENT_START:
      join_node (node);
      return;
    default:
      break;
    }
  if (event->kind == EVENT_TICK)
    add_event (simulation, EVENT_TICK, node->index, TICK_INTERVAL);
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
  else if (event->kind == EVENT_MEMBER_UPDATE)
    apply_member_state (node, event->number, event->state);
  else if (event->kind == EVENT_TICK)
    fr_tick_admission (node->admission);
  else if (event->kind == EVENT_KILL)
    {
      simulation->totals[TOTAL_RESTARTED]++;
      kill_node (node);
    }
}

/* Runs all events before SIMULATION_END; those of a paused node wait for the end of its
 * pause. */
static void
run_events (simulation_t *simulation)
{
  while (true)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (simulation->events);
      event_t *event = g_sequence_get (first);
      fb_time_t paused = simulation->nodes[event->node].paused_until;

      if (event->time >= SIMULATION_END)
        return;
      g_sequence_remove (first);
      if (event->time < paused && event->kind != EVENT_CALLER_TIMEOUT
          && event->kind != EVENT_FAULT && event->kind != EVENT_START
          && event->kind != EVENT_KILL)
        {
          event->time = paused;
          event->order = simulation->next_order++;
          g_sequence_insert_sorted (simulation->events, event, compare_events, NULL);
          continue;
        }
      fb_advance_clock (simulation->clock, event->time - fb_read_clock (simulation->clock));
      run_event (simulation, event);
      g_free (event);
    }
}

/* Checks that each call has ended and that no slot or in-flight count is leaked. */
static void
check_final_state (simulation_t *simulation)
{
  for (uint32_t i = 0; i < REQUESTS; i++)
    g_assert_true (simulation->requests[i].done);
  for (uint32_t i = 0; i < NODES; i++)
    {
      const node_t *node = &simulation->nodes[i];
      GHashTableIter iter;
      void *value;

      g_assert_cmpuint (node->start_id, !=, 0);
      g_assert_cmpuint (fr_count_started (node->admission), ==, 0);
      g_assert_cmpuint (fr_count_waiting (node->admission), ==, 0);
      g_assert_cmpuint (g_hash_table_size (node->backend_calls), ==, 0);
      g_assert_cmpuint (g_hash_table_size (node->entry_calls), ==, 0);
      g_hash_table_iter_init (&iter, node->picker->instances);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        g_assert_cmpuint (((instance_t *)value)->in_flight, ==, 0);
    }
}

static void
create_simulation (simulation_t *simulation, uint32_t seed)
{
  simulation->clock = fb_create_manual_clock (0);
  simulation->counters = fb_create_counters ();
  simulation->random = g_rand_new_with_seed (seed);
  simulation->events = g_sequence_new (NULL);
  simulation->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  simulation->not_run = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  simulation->failing_node = 1;
  simulation->shedding_node = 2;
  for (uint32_t i = 0; i < NODES; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "node-%u", i);
      simulation->nodes[i].simulation = simulation;
      simulation->nodes[i].index = i;
      simulation->nodes[i].id = fb_make_name (name);
      join_node (&simulation->nodes[i]);
      add_event (simulation, EVENT_TICK, i, 0);
    }
  add_event (simulation, EVENT_FAULT, 0, FB_SECOND);
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      /* Half of the requests arrive as a flood, of which admission must refuse some. */
      double arrival = g_rand_double (simulation->random)
                       * (double)(i % 2 == 0 ? ARRIVALS_END : FLOOD_DURATION);
      event_t *event = add_event (simulation, EVENT_REQUEST,
                                  (uint32_t)g_rand_int_range (simulation->random, 0, NODES),
                                  (fb_time_t)arrival + (i % 2 == 0 ? 0 : FLOOD_START));

      event->request = i;
      simulation->requests[i].index = i;
      simulation->requests[i].rank = (uint32_t)g_rand_int_range (simulation->random, 0, RANKS);
      simulation->requests[i].repeatable = draw_chance (simulation, 0.3);
    }
}

void
run_simulation (uint32_t seed, uint64_t *totals)
{
  simulation_t *simulation = g_new0 (simulation_t, 1);

  simulation->totals = totals;
  create_simulation (simulation, seed);
  run_events (simulation);
  check_final_state (simulation);
  for (uint32_t i = 0; i < NODES; i++)
    kill_node (&simulation->nodes[i]);
  for (GSequenceIter *iter = g_sequence_get_begin_iter (simulation->events);
       !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    g_free (g_sequence_get (iter));
  g_sequence_free (simulation->events);
  g_hash_table_destroy (simulation->runs);
  g_hash_table_destroy (simulation->not_run);
  g_rand_free (simulation->random);
  fb_destroy_counters (simulation->counters);
  fb_destroy_clock (simulation->clock);
  g_free (simulation);
}
