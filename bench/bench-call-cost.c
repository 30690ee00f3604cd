/* Measures the time of each operation of the call package. */
#include <foxtailrun/call/admission.h>
#include <foxtailrun/call/once.h>
#include <foxtailrun/call/picker.h>
#include <foxtailrun/call/retry.h>
#include <glib.h>

#define ROUNDS 200000
#define INSTANCES 3000
#define CUSTOMERS 1000
#define SLOTS 9
#define RESPONSE_BYTES 1024

static const fb_str_t service = FB_LITERAL ("service");

static fb_name_t
make_name (const char *prefix, int number)
{
  char text[32];

  g_snprintf (text, sizeof text, "%s-%d", prefix, number);
  return fb_make_name (text);
}

static void
print_cost (const char *name, const fb_clock_t *clock, fb_time_t start, int count)
{
  g_print ("%-44s %8.0f ns\n", name, (double)(fb_read_clock (clock) - start) / count);
}

/* Started calls finish in order; refused ones are counted. */
typedef struct
{
  GQueue started;
  uint64_t refused;
} admission_state_t;

static void
on_start (void *call, void *user)
{
  g_queue_push_tail (&((admission_state_t *)user)->started, call);
}

static void
on_refuse (void *call, fr_refusal_t refusal, void *user)
{
  ((admission_state_t *)user)->refused++;
}

/* Finishes one call for every OFFERED ones; customers take turns. */
static void
measure_admission (const char *name, const fb_clock_t *clock, int offered)
{
  admission_state_t state = { G_QUEUE_INIT, 0 };
  const fr_admission_hooks_t hooks = { on_start, on_refuse, &state };
  const fr_rank_options_t rank_options[] = { { 0.5, 0, 0 }, { 0.3, 0, 0 }, { 0.1, 0, 0 } };
  fb_counters_t *counters = fb_create_counters ();
  fr_admission_t *admission
      = fr_create_admission (FR_POLICY_SHARES, SLOTS, rank_options, 3, clock, counters, &hooks);
  fb_name_t customers[CUSTOMERS];
  fb_time_t start;

  for (int i = 0; i < CUSTOMERS; i++)
    customers[i] = make_name ("customer", i);
  start = fb_read_clock (clock);
  for (guint i = 1; i <= ROUNDS; i++)
    {
      fr_offer_call (admission, i, GUINT_TO_POINTER (i), i % 3,
                     fb_get_name (&customers[i % CUSTOMERS]), 1,
                     fb_read_clock (clock) + FB_SECOND);
      if (i % (guint)offered == 0 && !g_queue_is_empty (&state.started))
        fr_finish_call (admission, GPOINTER_TO_UINT (g_queue_pop_head (&state.started)));
      if (i % 1000 == 0)
        fr_tick_admission (admission);
    }
  print_cost (name, clock, start, ROUNDS);
  fr_destroy_admission (admission);
  fb_destroy_counters (counters);
  g_queue_clear (&state.started);
}

static void
measure_picker (const fb_clock_t *clock)
{
  fb_name_t self = make_name ("entry", 0);
  fb_name_t zone = make_name ("zone", 0);
  fr_picker_t *picker = fr_create_picker (FR_PICK_TWO_CHOICES, &self, &zone, 1, clock);
  fb_time_t start = fb_read_clock (clock);

  for (int i = 0; i < INSTANCES; i++)
    {
      fw_member_t member = { .id = make_name ("node", i),
                             .zone = make_name ("zone", i % 8),
                             .region = make_name ("region", i % 4),
                             .service = fb_make_name (service.data) };

      fr_update_instance (picker, &member);
    }
  print_cost ("picker: add one of 3,000 members", clock, start, INSTANCES);
  start = fb_read_clock (clock);
  for (int i = 0; i < ROUNDS; i++)
    {
      fb_name_t picked;

      if (fr_pick_for_rank (picker, service, 0, service, NULL, 0, &picked))
        fr_report_result_for_rank (picker, &picked, 0, FR_RESULT_ANSWERED, FB_MILLISECOND, 500);
    }
  print_cost ("picker: pick and report, 16 of 3,000", clock, start, ROUNDS);
  fr_destroy_picker (picker);
}

static void
measure_throttle (const fb_clock_t *clock)
{
  fr_throttle_t *throttle = fr_create_throttle (1, clock);
  fb_time_t start = fb_read_clock (clock);

  for (int i = 0; i < ROUNDS; i++)
    {
      fb_name_t customer = make_name ("customer", i % CUSTOMERS);

      if (fr_admit_customer (throttle, service, 0, fb_get_name (&customer)))
        fr_report_customer (throttle, service, 0, fb_get_name (&customer), i % 4 != 0);
    }
  print_cost ("throttle: admit and report, 1,000 customers", clock, start, ROUNDS);
  fr_destroy_throttle (throttle);
}

static void
measure_once (const fb_clock_t *clock)
{
  static const uint8_t secret[32] = { 1 };
  static uint8_t body[RESPONSE_BYTES];
  fb_name_t self = make_name ("entry", 0);
  fr_once_t *once = fr_create_once (&self, 1, secret, 10000, 4 * 1024 * 1024);
  fb_time_t start = fb_read_clock (clock);

  for (int i = 0; i < ROUNDS; i++)
    {
      char text[FR_TICKET_SIZE];
      fr_ticket_t ticket;
      fb_bytes_t response;

      fr_issue_ticket (once, text);
      if (fr_parse_ticket (fb_wrap_text (text), &ticket) == FB_OK
          && fr_begin_once (once, &ticket, 1, &response) == FR_ONCE_RUN)
        fr_end_once (once, &ticket, (fb_bytes_t){ body, sizeof body });
    }
  print_cost ("once: issue, parse, begin, end, 1 KB answer", clock, start, ROUNDS);
  fr_destroy_once (once);
}

int
main (void)
{
  fb_clock_t *clock = fb_create_system_clock ();

  measure_admission ("admission: offer and finish, no queue", clock, 1);
  measure_admission ("admission: offer, 10 for each that ends", clock, 10);
  measure_picker (clock);
  measure_throttle (clock);
  measure_once (clock);
  fb_destroy_clock (clock);
  return 0;
}
