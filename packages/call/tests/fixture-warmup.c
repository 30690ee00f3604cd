#include "fixture-warmup.h"
#include <foxtailrun/call/admission.h>

#define INSTANCES 4
#define SLOTS 9
#define STEP (5 * FB_MILLISECOND)
#define STEPS 5000
#define COUNTED_STEPS 1000 /* at the end */

/* A cold instance tolerates COLD_RATE; its process ends at twice that in a second. */
#define COLD_RATE 13
#define COLD_TIME (3 * FB_SECOND)
#define OVERAGE 1.5
#define RESTART_TIME FB_SECOND

/* Requests in a step on average; a warm fleet could serve 9 in the same time. */
#define REQUESTS_PER_STEP 1.2
#define SERVICE_TIME (20 * FB_MILLISECOND)
#define DEADLINE (500 * FB_MILLISECOND)
#define ATTEMPTS 4
#define RETRY_DELAY (100 * FB_MILLISECOND)

typedef struct
{
  unsigned attempts;
  fb_time_t next_try; /* 0 while an instance has it */
  bool counted;
} request_t;

typedef struct
{
  uint64_t id;
  request_t *request;
  fb_time_t end; /* 0 while it waits */
} call_t;

typedef struct
{
  struct fleet *fleet;
  fr_admission_t *admission;
  fr_warmup_t *warmup;
  fb_time_t up_at;
  fb_time_t cold_until;
  fb_time_t next_check;
  GQueue received; /* fb_time_t of the last second */
  GPtrArray *running;
} instance_t;

typedef struct fleet
{
  fb_clock_t *clock;
  GRand *random;
  instance_t instances[INSTANCES];
  GPtrArray *requests; /* that wait for their next try */
  GPtrArray *memory;   /* all requests and calls, freed at the end */
  uint64_t last_id;
  unsigned counted;
  unsigned served;
  unsigned ends;
} fleet_t;

static void *
allocate (fleet_t *fleet, size_t size)
{
  void *data = g_malloc0 (size);

  g_ptr_array_add (fleet->memory, data);
  return data;
}

static fb_time_t
get_now (const fleet_t *fleet)
{
  return fb_read_clock (fleet->clock);
}

/* Ends the process when it got too much while cold. */
static void
receive (instance_t *instance)
{
  fb_time_t now = get_now (instance->fleet);
  fb_time_t *time = g_new (fb_time_t, 1);

  *time = now;
  g_queue_push_tail (&instance->received, time);
  while (*(fb_time_t *)g_queue_peek_head (&instance->received) + FB_SECOND <= now)
    g_free (g_queue_pop_head (&instance->received));
  if (now >= instance->cold_until || instance->received.length <= 2 * COLD_RATE)
    return;
  instance->fleet->ends++;
  instance->up_at = now + RESTART_TIME
                    + g_rand_int_range (instance->fleet->random, 0, 500) * FB_MILLISECOND;
  instance->cold_until = instance->up_at + COLD_TIME;
  fr_assume_cold (instance->warmup);
  g_queue_clear_full (&instance->received, g_free);
}

static void
end_request (fleet_t *fleet, request_t *request, bool served)
{
  if (!served && request->attempts < ATTEMPTS)
    {
      request->next_try = get_now (fleet) + RETRY_DELAY;
      g_ptr_array_add (fleet->requests, request);
      return;
    }
  fleet->served += served && request->counted;
}

static void
on_start (void *data, void *user)
{
  instance_t *instance = user;
  call_t *call = data;
  fb_time_t now = get_now (instance->fleet);

  call->end = now + SERVICE_TIME * (now < instance->cold_until ? 2 : 1);
  g_ptr_array_add (instance->running, call);
  if (now >= instance->up_at)
    receive (instance);
}

static void
on_refuse (void *data, fr_refusal_t refusal, void *user)
{
  end_request (((instance_t *)user)->fleet, ((call_t *)data)->request, false);
}

static void
offer (instance_t *instance, request_t *request)
{
  call_t *call = allocate (instance->fleet, sizeof *call);

  call->id = ++instance->fleet->last_id;
  call->request = request;
  request->attempts++;
  fr_offer_call (instance->admission, call->id, call, 0, FB_LITERAL (""), 1,
                 get_now (instance->fleet) + DEADLINE);
}

/* Offers REQUEST to one of the instances that take connections. */
static void
try_request (fleet_t *fleet, request_t *request)
{
  size_t first = (size_t)g_rand_int_range (fleet->random, 0, INSTANCES);

  for (size_t i = 0; i < INSTANCES; i++)
    {
      instance_t *instance = &fleet->instances[(first + i) % INSTANCES];

      if (get_now (fleet) >= instance->up_at)
        {
          offer (instance, request);
          return;
        }
    }
  request->attempts++;
  end_request (fleet, request, false);
}

static void
finish_calls (instance_t *instance)
{
  fb_time_t now = get_now (instance->fleet);

  for (guint i = instance->running->len; i > 0; i--)
    {
      call_t *call = g_ptr_array_index (instance->running, i - 1);
      bool lost = now < instance->up_at;

      if (!lost && now < call->end)
        continue;
      g_ptr_array_remove_index_fast (instance->running, i - 1);
      end_request (instance->fleet, call->request, !lost);
      fr_finish_call (instance->admission, call->id);
    }
}

/* Sends the health checks of the node beside INSTANCE. */
static void
check_health (instance_t *instance)
{
  fb_time_t now = get_now (instance->fleet);

  if (!fr_has_warmup (instance->warmup) || now < instance->up_at || now < instance->next_check
      || fr_request_health_check (instance->warmup) > 0)
    return;
  fr_count_health_check (instance->warmup);
  receive (instance);
  if (now >= instance->up_at)
    fr_set_cold_until (instance->warmup, instance->cold_until);
  instance->next_check = now + fr_get_health_check_period (instance->warmup);
}

static void
run_step (fleet_t *fleet, bool counted)
{
  GPtrArray *due = g_ptr_array_new ();
  int requests = (int)(REQUESTS_PER_STEP + g_rand_double (fleet->random));

  fb_advance_clock (fleet->clock, STEP);
  for (size_t i = 0; i < INSTANCES; i++)
    {
      finish_calls (&fleet->instances[i]);
      check_health (&fleet->instances[i]);
      fr_tick_admission (fleet->instances[i].admission);
    }
  for (guint i = fleet->requests->len; i > 0; i--)
    if (((request_t *)g_ptr_array_index (fleet->requests, i - 1))->next_try <= get_now (fleet))
      g_ptr_array_add (due, g_ptr_array_remove_index_fast (fleet->requests, i - 1));
  for (; requests > 0; requests--)
    {
      request_t *request = allocate (fleet, sizeof *request);

      request->counted = counted;
      fleet->counted += counted;
      g_ptr_array_add (due, request);
    }
  for (guint i = 0; i < due->len; i++)
    try_request (fleet, g_ptr_array_index (due, i));
  g_ptr_array_unref (due);
}

static void
start_instance (fleet_t *fleet, instance_t *instance, fb_counters_t *counters, bool protected)
{
  static const fr_rank_options_t rank = { 0, FB_SECOND, 0 };
  const fr_admission_hooks_t hooks = { on_start, on_refuse, instance };

  instance->fleet = fleet;
  instance->up_at
      = get_now (fleet) + g_rand_int_range (fleet->random, 1000, 2000) * FB_MILLISECOND;
  instance->cold_until = instance->up_at + COLD_TIME;
  instance->running = g_ptr_array_new ();
  instance->admission
      = fr_create_admission (FR_POLICY_SHARES, SLOTS, &rank, 1, fleet->clock, counters, &hooks);
  instance->warmup = fr_create_warmup (fleet->clock);
  fr_configure_warmup (instance->warmup, protected ? COLD_RATE : 0, OVERAGE);
  fr_set_admission_warmup (instance->admission, instance->warmup);
}

static void
stop_instance (instance_t *instance)
{
  g_ptr_array_unref (instance->running);
  g_queue_clear_full (&instance->received, g_free);
  fr_destroy_admission (instance->admission);
  fr_destroy_warmup (instance->warmup);
}

return_result_t
replay_return (uint32_t seed, bool protected)
{
  fleet_t fleet = { .clock = fb_create_manual_clock (FB_SECOND),
                    .random = g_rand_new_with_seed (seed),
                    .requests = g_ptr_array_new (),
                    .memory = g_ptr_array_new_with_free_func (g_free) };
  fb_counters_t *counters = fb_create_counters ();
  return_result_t result;

  for (size_t i = 0; i < INSTANCES; i++)
    start_instance (&fleet, &fleet.instances[i], counters, protected);
  for (size_t i = 0; i < STEPS; i++)
    run_step (&fleet, i >= STEPS - COUNTED_STEPS && i < STEPS - 200);
  result = (return_result_t){ (double)fleet.served / fleet.counted, fleet.ends };
  for (size_t i = 0; i < INSTANCES; i++)
    stop_instance (&fleet.instances[i]);
  g_ptr_array_unref (fleet.requests);
  g_ptr_array_unref (fleet.memory);
  fb_destroy_counters (counters);
  g_rand_free (fleet.random);
  fb_destroy_clock (fleet.clock);
  return result;
}
