/* The simulated service: events, callers and instances. */
#include "sim-service.h"
#include "sim-heap.h"
#include <foxtailrun/call/retry.h>
#include <math.h>

#define WARM_UP_TIME (3 * FB_SECOND)
#define MEASURED_TIME (10 * FB_SECOND)
#define TICK_INTERVAL (10 * FB_MILLISECOND)

/* One-way delays within a zone and between zones. */
#define SAME_ZONE_DELAY (150 * FB_MICROSECOND)
#define CROSS_ZONE_DELAY (500 * FB_MICROSECOND)

#define ZONES 3
#define RETRIES_MAX 2

/* Time until a failing instance fails a call. */
#define FAILURE_TIME FB_MILLISECOND

const sim_rank_t SIM_RANK_TABLE[SIM_RANKS] = {
  { "price", 4 * FB_MILLISECOND, 20 * FB_MILLISECOND, 250 * FB_MILLISECOND, 5, 0.30, 0.25,
    true },
  { "stock", 6 * FB_MILLISECOND, 30 * FB_MILLISECOND, 250 * FB_MILLISECOND, 3, 0.20, 0.15,
    true },
  { "payment", 30 * FB_MILLISECOND, 300 * FB_MILLISECOND, 2 * FB_SECOND, 20, 0.25, 0.20,
    false },
  { "history", 40 * FB_MILLISECOND, 2 * FB_SECOND, 5 * FB_SECOND, 0.5, 0.10, 0.10, true },
};

enum
{
  EVENT_ARRIVE,
  EVENT_FLOOD,
  EVENT_OFFER,
  EVENT_FINISH,
  EVENT_RESPONSE,
  EVENT_TICK,
  EVENT_RETURN,
  EVENT_FLAP
};

typedef struct
{
  uint64_t id;
  uint32_t rank;
  uint32_t customer;
  fb_name_t customer_name;
  uint32_t entry;
  uint32_t target; /* instance of the current attempt */
  uint32_t attempt_count;
  fb_name_t attempted[RETRIES_MAX + 1];
  fb_time_t arrived;
  fb_time_t sent;
  fb_time_t service_time; /* on a healthy instance */
  fb_time_t slot_time;    /* time that it occupies a slot */
  uint32_t load;          /* as reported in the response */
  uint32_t pace;
  fb_time_t wait;
  fb_time_t started; /* in a slot; 0 if it was not */
  fr_result_t result;
} call_t;

typedef struct sim sim_t;

typedef struct
{
  sim_t *sim;
  uint32_t index;
  fw_member_t member;
  fr_admission_t *admission;
  /* of the entry node on this host */
  fr_picker_t *picker;
  fr_retry_budget_t *budget;
  fr_throttle_t *throttle;
  fr_pace_t *pace; /* NULL for none */
  bool down;
  fb_time_t down_since;
  fb_time_t cold_until;
  fb_time_t par_at; /* first time at par since the return; 0 for not yet */
} host_t;

struct sim
{
  const sim_deployment_t *deployment;
  const sim_scenario_t *scenario;
  const sim_policy_t *policy;
  fb_clock_t *clock;
  fb_counters_t *counters;
  GRand *random;
  /* A generator for each rank, so that arrivals are the same in all scenarios. */
  GRand *arrivals[SIM_RANKS + 1];
  sim_heap_t heap;
  host_t hosts[SIM_INSTANCES_MAX];
  uint64_t last_id;
  sim_result_t *result;
};

static double
get_time_scale (const sim_t *sim, uint32_t rank)
{
  return sim->scenario->time_scale[rank] > 0 ? sim->scenario->time_scale[rank] : 1;
}

static fb_time_t
scale_time (const sim_t *sim, uint32_t rank, fb_time_t time)
{
  return (fb_time_t)((double)time * get_time_scale (sim, rank));
}

static bool
is_returned (const sim_t *sim, uint32_t index)
{
  return index < sim->scenario->returning;
}

static const fb_str_t service_name = FB_LITERAL ("service");

static fb_time_t
draw_exponential (GRand *random, double mean)
{
  return (fb_time_t)(-log (1 - g_rand_double (random)) * mean);
}

static fb_time_t
get_delay (const sim_t *sim, const call_t *call)
{
  return call->entry % ZONES == call->target % ZONES ? SAME_ZONE_DELAY : CROSS_ZONE_DELAY;
}

/* Arrivals and responses within the measured time count independently, so calls queued at its
 * end do not count as lost. */
static bool
is_measured (const sim_t *sim)
{
  return fb_read_clock (sim->clock) >= WARM_UP_TIME;
}

static void
send_response (sim_t *sim, call_t *call)
{
  const host_t *host = &sim->hosts[call->target];

  if (host->pace != NULL)
    call->pace = fr_get_pace_permille (host->pace);
  call->wait = fr_get_expected_wait (host->admission, call->rank);
  sim_push_event (&sim->heap, fb_read_clock (sim->clock) + get_delay (sim, call),
                  EVENT_RESPONSE, call);
}

static void
on_start (void *data, void *user)
{
  host_t *host = user;
  sim_t *sim = host->sim;
  call_t *call = data;

  call->result = FR_RESULT_ANSWERED;
  call->started = fb_read_clock (sim->clock);
  call->slot_time = call->service_time;
  if (host->index == 0 && sim->scenario->slowness > 0)
    call->slot_time = (fb_time_t)((double)call->service_time * sim->scenario->slowness);
  if (fb_read_clock (sim->clock) < host->cold_until)
    call->slot_time = (fb_time_t)((double)call->slot_time * sim->scenario->cold_slowness
                                  * MAX (1, (double)fr_count_started (host->admission)
                                                / sim->scenario->cold_slots));
  if (host->index == 1 && g_rand_double (sim->random) < sim->scenario->failure)
    {
      call->result = FR_RESULT_FAILED;
      call->slot_time = FAILURE_TIME;
    }
  sim_push_event (&sim->heap, fb_read_clock (sim->clock) + call->slot_time, EVENT_FINISH, call);
}

static void
on_refuse (void *data, fr_refusal_t refusal, void *user)
{
  host_t *host = user;
  call_t *call = data;

  call->result = FR_RESULT_REFUSED;
  call->load = fr_get_load (host->admission);
  send_response (host->sim, call);
}

/* Sends the next attempt of CALL; false if there is none, which ends the call. */
static bool
send_attempt (sim_t *sim, call_t *call)
{
  host_t *entry = &sim->hosts[call->entry];
  fb_name_t picked;

  if (sim->policy->throttle
      && !fr_admit_customer (entry->throttle, service_name, call->rank,
                             fb_get_name (&call->customer_name)))
    return false;
  if (!fr_pick_for_latency_target (
          entry->picker, service_name, call->rank,
          scale_time (sim, call->rank, SIM_RANK_TABLE[call->rank].target), call->attempted,
          call->attempt_count, &picked))
    return false;
  call->started = 0;
  call->attempted[call->attempt_count++] = picked;
  for (uint32_t i = 0; i < sim->deployment->instances; i++)
    if (fb_equal_name (&sim->hosts[i].member.id, &picked))
      call->target = i;
  call->sent = fb_read_clock (sim->clock);
  if (is_measured (sim))
    sim->result->attempts++;
  sim_push_event (&sim->heap, call->sent + get_delay (sim, call), EVENT_OFFER, call);
  return true;
}

static void
offer_call (sim_t *sim, call_t *call)
{
  host_t *host = &sim->hosts[call->target];

  if (host->down)
    {
      call->result = FR_RESULT_UNREACHABLE;
      send_response (sim, call);
      return;
    }
  if (host->pace != NULL)
    fr_note_expected_service (host->pace, call->rank,
                              fr_get_expected_service_time (sim->hosts[call->entry].picker,
                                                            service_name, call->rank));
  fr_offer_call (
      host->admission, call->id, call, call->rank, fb_get_name (&call->customer_name), 1,
      call->arrived + scale_time (sim, call->rank, SIM_RANK_TABLE[call->rank].deadline));
  if (is_measured (sim) && is_returned (sim, host->index))
    sim->result->queue_max = MAX (sim->result->queue_max, fr_count_waiting (host->admission));
}

static void
finish_call (sim_t *sim, call_t *call)
{
  host_t *host = &sim->hosts[call->target];

  fb_time_t now = fb_read_clock (sim->clock);

  /* It was running when the instance ended. */
  if (host->down_since > call->started)
    call->result = FR_RESULT_FAILED;
  if (host->pace != NULL)
    {
      fr_record_paced_call (host->pace, call->rank, now - call->started,
                            call->result == FR_RESULT_FAILED);
      if (host->par_at == 0 && !fr_is_ramping (host->pace))
        host->par_at = now;
    }
  fr_finish_call (host->admission, call->id);
  call->load = fr_get_load (host->admission);
  send_response (sim, call);
}

/* Counts a successful response if it arrived before the deadline. */
static void
count_response (sim_t *sim, const call_t *call)
{
  const sim_rank_t *rank = &SIM_RANK_TABLE[call->rank];
  sim_rank_result_t *result = &sim->result->ranks[call->rank];
  fb_time_t latency = fb_read_clock (sim->clock) - call->arrived;
  double latency_ns = (double)latency;

  if (!is_measured (sim) || latency > scale_time (sim, call->rank, rank->deadline))
    return;
  result->answered++;
  if (latency <= scale_time (sim, call->rank, rank->target))
    result->in_target++;
  if (is_returned (sim, call->target))
    {
      fb_time_t bin = (fb_read_clock (sim->clock) - WARM_UP_TIME) / SIM_BIN_TIME;

      sim->result->answered_by_bin[MIN (bin, SIM_BINS - 1)]++;
      if (latency > scale_time (sim, call->rank, rank->target))
        sim->result->late++;
    }
  result->slot_time += (double)call->slot_time;
  g_array_append_val (result->latencies, latency_ns);
  if (call->rank == SIM_FLOODED_RANK && call->customer != 0)
    sim->result->others_answered++;
}

static void
handle_response (sim_t *sim, call_t *call)
{
  host_t *entry = &sim->hosts[call->entry];
  const sim_rank_t *rank = &SIM_RANK_TABLE[call->rank];
  fb_time_t now = fb_read_clock (sim->clock);
  fw_outcome_t outcome = FW_ANSWERED;

  if (sim->policy->pick == FR_PICK_LOCALITY)
    {
      fr_report_times (entry->picker, &sim->hosts[call->target].member.id, call->rank,
                       call->started > 0 ? call->slot_time : 0, call->wait);
      if (call->pace > 0)
        fr_report_pace (entry->picker, &sim->hosts[call->target].member.id, call->pace);
    }
  fr_report_result_for_rank (entry->picker, &sim->hosts[call->target].member.id, call->rank,
                             call->result, now - call->sent, call->load);
  if (sim->policy->throttle)
    fr_report_customer (entry->throttle, service_name, call->rank,
                        fb_get_name (&call->customer_name), call->result != FR_RESULT_REFUSED);
  if (call->result == FR_RESULT_ANSWERED)
    count_response (sim, call);
  else
    outcome = call->result == FR_RESULT_FAILED ? FW_FAILED : FW_NOT_RUN;
  if (sim->policy->throttle && call->attempt_count <= RETRIES_MAX
      && now < call->arrived + scale_time (sim, call->rank, rank->deadline)
      && fr_is_retry_safe (outcome, rank->repeatable, false)
      && fr_withdraw_retry (entry->budget, service_name, 0) && send_attempt (sim, call))
    return;
  if (call->result != FR_RESULT_ANSWERED && is_measured (sim)
      && is_returned (sim, call->target))
    sim->result->late++;
  g_free (call);
}

/* Adds the arrival of a call of RANK and CUSTOMER. */
static void
add_call (sim_t *sim, GRand *random, uint32_t rank, uint32_t customer)
{
  call_t *call = g_new0 (call_t, 1);
  double mean = (double)SIM_RANK_TABLE[rank].service * get_time_scale (sim, rank);
  char name[16];

  g_snprintf (name, sizeof name, "customer-%u", customer);
  call->customer_name = fb_make_name (name);
  call->id = ++sim->last_id;
  call->rank = rank;
  call->customer = customer;
  call->entry = (uint32_t)g_rand_int_range (random, 0, (gint32)sim->deployment->instances);
  call->arrived = fb_read_clock (sim->clock);
  call->service_time = (fb_time_t)(mean / 4) + draw_exponential (random, mean * 3 / 4);
  if (is_measured (sim))
    {
      sim->result->ranks[rank].offered++;
      if (rank == SIM_FLOODED_RANK && customer != 0)
        sim->result->others_offered++;
    }
  fr_deposit_retry (sim->hosts[call->entry].budget, service_name);
  if (!send_attempt (sim, call))
    g_free (call);
}

/* Schedules the next arrival of a stream of RANK with LOAD. */
static void
schedule_arrival (sim_t *sim, GRand *random, int kind, uint32_t rank, double load)
{
  uint32_t slots = sim->deployment->instances * sim->deployment->slots;
  double mean_interval
      = (double)SIM_RANK_TABLE[rank].service * get_time_scale (sim, rank) / (load * slots);

  if (load > 0)
    sim_push_event (&sim->heap,
                    fb_read_clock (sim->clock) + draw_exponential (random, mean_interval), kind,
                    GUINT_TO_POINTER (rank));
}

static double
get_load (const sim_t *sim, uint32_t rank)
{
  return SIM_RANK_TABLE[rank].load * sim->scenario->scale + sim->scenario->flood[rank];
}

/* Instance HOST starts: it is cold, and its node begins a ramp. */
static void
start_instance (sim_t *sim, host_t *host)
{
  host->down = false;
  host->par_at = 0;
  host->cold_until = fb_read_clock (sim->clock) + sim->scenario->cold_time;
  if (host->pace != NULL)
    fr_begin_ramp (host->pace, FR_PACE_NEW_INSTANCE);
}

static void
add_returned_instances (sim_t *sim)
{
  for (uint32_t i = 0; i < sim->scenario->returning; i++)
    {
      start_instance (sim, &sim->hosts[i]);
      for (uint32_t j = 0; j < sim->deployment->instances; j++)
        fr_update_instance (sim->hosts[j].picker, &sim->hosts[i].member);
    }
}

static void
flap (sim_t *sim, host_t *host)
{
  if (host->down)
    start_instance (sim, host);
  else
    {
      host->down = true;
      host->down_since = fb_read_clock (sim->clock);
    }
  sim_push_event (&sim->heap, fb_read_clock (sim->clock) + sim->scenario->flap_time, EVENT_FLAP,
                  host);
}

static void
run_event (sim_t *sim, const sim_event_t *event)
{
  uint32_t rank = GPOINTER_TO_UINT (event->data);
  GRand *random;

  switch (event->kind)
    {
    case EVENT_ARRIVE:
      random = sim->arrivals[rank];
      add_call (sim, random, rank, (uint32_t)g_rand_int_range (random, 0, SIM_CUSTOMERS));
      schedule_arrival (sim, random, EVENT_ARRIVE, rank, get_load (sim, rank));
      break;
    case EVENT_FLOOD:
      random = sim->arrivals[SIM_RANKS];
      add_call (sim, random, rank, 0);
      schedule_arrival (sim, random, EVENT_FLOOD, rank, sim->scenario->customer_flood);
      break;
    case EVENT_OFFER:
      offer_call (sim, event->data);
      break;
    case EVENT_FINISH:
      finish_call (sim, event->data);
      break;
    case EVENT_RESPONSE:
      handle_response (sim, event->data);
      break;
    case EVENT_RETURN:
      add_returned_instances (sim);
      break;
    case EVENT_FLAP:
      flap (sim, event->data);
      break;
    default:
      for (uint32_t i = 0; i < sim->deployment->instances; i++)
        fr_tick_admission (sim->hosts[i].admission);
      sim_push_event (&sim->heap, event->time + TICK_INTERVAL, EVENT_TICK, NULL);
      break;
    }
}

static void
create_hosts (sim_t *sim)
{
  uint32_t count = sim->deployment->instances;
  fr_rank_options_t rank_options[SIM_RANKS];

  for (int i = 0; i < SIM_RANKS; i++)
    rank_options[i]
        = (fr_rank_options_t){ SIM_RANK_TABLE[i].share, SIM_RANK_TABLE[i].target, 0 };
  for (uint32_t i = 0; i < count; i++)
    {
      host_t *host = &sim->hosts[i];
      const fr_admission_hooks_t hooks = { on_start, on_refuse, host };
      char name[16];

      host->sim = sim;
      host->index = i;
      g_snprintf (name, sizeof name, "node-%u", i);
      host->member.id = fb_make_name (name);
      g_snprintf (name, sizeof name, "zone-%u", i % ZONES);
      host->member.zone = fb_make_name (name);
      host->member.region = fb_make_name ("region");
      host->member.service = fb_make_name (service_name.data);
      host->admission
          = fr_create_admission (sim->policy->admission, sim->deployment->slots, rank_options,
                                 SIM_RANKS, sim->clock, sim->counters, &hooks);
      if (sim->policy->pace != NULL)
        {
          host->pace
              = fr_create_pace (*sim->policy->pace, sim->scenario->cold_time, sim->clock, NULL);
          fr_set_admission_pace (host->admission, host->pace);
        }
    }
  for (uint32_t i = 0; i < count; i++)
    {
      host_t *host = &sim->hosts[i];

      host->picker = fr_create_picker (sim->policy->pick, &host->member.id, &host->member.zone,
                                       i + 1, sim->clock);
      host->budget = fr_create_retry_budget (sim->clock);
      host->throttle = fr_create_throttle (i + 1, sim->clock);
      if (sim->policy->pace != NULL)
        fr_try_new_instances (host->picker);
      for (uint32_t j = sim->scenario->returning; j < count; j++)
        fr_update_instance (host->picker, &sim->hosts[j].member);
    }
}

static void
destroy_hosts (sim_t *sim)
{
  for (uint32_t i = 0; i < sim->deployment->instances; i++)
    {
      fr_destroy_admission (sim->hosts[i].admission);
      fr_destroy_picker (sim->hosts[i].picker);
      fr_destroy_retry_budget (sim->hosts[i].budget);
      fr_destroy_throttle (sim->hosts[i].throttle);
      fr_destroy_pace (sim->hosts[i].pace);
    }
}

static fb_time_t
get_measured_time (const sim_t *sim)
{
  return sim->scenario->returning > 0 ? SIM_RETURN_TIME : MEASURED_TIME;
}

/* Sets the mean time until the returned instances were at par, if all were. */
static void
set_par_time (sim_t *sim)
{
  for (uint32_t i = 0; i < sim->scenario->returning; i++)
    {
      if (sim->hosts[i].pace == NULL || sim->hosts[i].par_at == 0)
        {
          sim->result->par_time = 0;
          return;
        }
      sim->result->par_time += (double)(sim->hosts[i].par_at - WARM_UP_TIME) / (double)FB_SECOND
                               / sim->scenario->returning;
    }
}

static void
run_events (sim_t *sim)
{
  sim_event_t event;

  while (sim_pop_event (&sim->heap, &event))
    {
      if (event.time >= WARM_UP_TIME + get_measured_time (sim))
        {
          if (event.kind == EVENT_OFFER || event.kind == EVENT_FINISH
              || event.kind == EVENT_RESPONSE)
            g_free (event.data);
          continue;
        }
      fb_advance_clock (sim->clock, event.time - fb_read_clock (sim->clock));
      run_event (sim, &event);
    }
}

sim_result_t
sim_run_service (const sim_deployment_t *deployment, const sim_scenario_t *scenario,
                 const sim_policy_t *policy, uint32_t seed)
{
  sim_result_t result = { 0 };
  sim_t sim = { deployment, scenario, policy };

  sim.clock = fb_create_manual_clock (0);
  sim.counters = fb_create_counters ();
  sim.random = g_rand_new_with_seed (seed);
  for (uint32_t i = 0; i <= SIM_RANKS; i++)
    sim.arrivals[i] = g_rand_new_with_seed (seed * 100 + i);
  sim.result = &result;
  result.seconds = (double)get_measured_time (&sim) / (double)FB_SECOND;
  result.capacity
      = (double)get_measured_time (&sim) * deployment->instances * deployment->slots;
  for (uint32_t i = 0; i < SIM_RANKS; i++)
    result.ranks[i].latencies = g_array_new (FALSE, FALSE, sizeof (double));
  create_hosts (&sim);
  for (uint32_t i = 0; i < SIM_RANKS; i++)
    schedule_arrival (&sim, sim.arrivals[i], EVENT_ARRIVE, i, get_load (&sim, i));
  schedule_arrival (&sim, sim.arrivals[SIM_RANKS], EVENT_FLOOD, SIM_FLOODED_RANK,
                    scenario->customer_flood);
  sim_push_event (&sim.heap, 0, EVENT_TICK, NULL);
  if (scenario->returning > 0)
    sim_push_event (&sim.heap, WARM_UP_TIME, EVENT_RETURN, NULL);
  if (scenario->flap_time > 0)
    sim_push_event (&sim.heap, WARM_UP_TIME + scenario->flap_time, EVENT_FLAP, &sim.hosts[0]);
  run_events (&sim);
  set_par_time (&sim);
  destroy_hosts (&sim);
  sim_clear_heap (&sim.heap);
  for (uint32_t i = 0; i <= SIM_RANKS; i++)
    g_rand_free (sim.arrivals[i]);
  g_rand_free (sim.random);
  fb_destroy_counters (sim.counters);
  fb_destroy_clock (sim.clock);
  return result;
}

void
sim_clear_result (sim_result_t *result)
{
  for (int i = 0; i < SIM_RANKS; i++)
    g_array_free (result->ranks[i].latencies, TRUE);
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

double
sim_get_quantile (const sim_rank_result_t *rank, double quantile)
{
  if (rank->latencies->len == 0)
    return 0;
  g_array_sort (rank->latencies, compare_doubles);
  return g_array_index (rank->latencies, double, (guint)((rank->latencies->len - 1) * quantile))
         / (double)FB_MILLISECOND;
}
