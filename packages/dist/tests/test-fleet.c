/* Random runs of complete nodes under faults. SEEDS=N runs seeds 1 to N, SEED=N only seed
 * N. The stand-in fleet checks the invariants after every step. */
#include "fleet.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SEEDS_DEFAULT 40
#define FAULTS_PER_RUN 40

/* A member that died just before the end of the faults is detected within about 6 s. */
#define DETECTION_MAX (6 * FB_SECOND)

/* From a publication to the last node. */
#define PROPAGATION_MAX (6 * FB_SECOND)

static char seed_text[64];

static void
report_seed (int signal_number)
{
  if (write (STDERR_FILENO, seed_text, strlen (seed_text)) < 0)
    _exit (1);
}

typedef struct
{
  sf_fleet_t *fleet;
  GRand *random;
  uint64_t last_number; /* last published */
  fb_time_t resume_at[SF_HOSTS_MAX];
} run_t;

static void
publish_next (run_t *run)
{
  sf_publish_document (
      run->fleet, sf_make_document (++run->last_number, g_rand_int (run->random), 3), true);
}

/* Publishes the current document again, which raises only its revision. */
static void
publish_again (run_t *run)
{
  if (run->fleet->source.document != NULL)
    sf_publish_document (run->fleet, g_bytes_ref (run->fleet->source.document),
                         run->fleet->source.valid);
}

/* Publishes two documents with the same number; the second write wins. */
static void
publish_race (run_t *run)
{
  publish_next (run);
  sf_run_fleet (run->fleet, g_rand_int_range (run->random, 0, 4) * 10 * FB_MILLISECOND);
  run->last_number--;
  publish_next (run);
}

/* Publishes a document that refers to an undefined service or is truncated. */
static void
publish_invalid (run_t *run)
{
  GBytes *valid = sf_make_document (++run->last_number, g_rand_int (run->random), 3);
  gsize length;
  const char *text = g_bytes_get_data (valid, &length);
  GString *invalid = g_string_new_len (text, (gssize)length);

  if (g_rand_boolean (run->random))
    g_string_append (invalid, "[[route]]\nname = \"x\"\npath = \"/x\"\nservice = \"absent\"\n");
  else
    g_string_truncate (invalid, length - 20);
  sf_publish_document (run->fleet, g_string_free_to_bytes (invalid), false);
  g_bytes_unref (valid);
  if (g_rand_boolean (run->random))
    run->last_number--;
}

static void
kill_or_start (run_t *run, size_t index)
{
  if (run->fleet->hosts[index].node == NULL)
    sf_start_host (run->fleet, index);
  else
    sf_kill_host (run->fleet, index);
}

static void
restart_fleet (run_t *run)
{
  for (size_t i = 0; i < run->fleet->count; i++)
    {
      sf_kill_host (run->fleet, i);
      sf_start_host (run->fleet, i);
    }
}

static void
pause_host (run_t *run, size_t index)
{
  if (run->fleet->hosts[index].node == NULL || run->fleet->hosts[index].paused)
    return;
  sf_pause_host (run->fleet, index);
  run->resume_at[index] = fb_read_clock (run->fleet->clock)
                          + g_rand_int_range (run->random, 1, 80) * 100 * FB_MILLISECOND;
}

static void
change_link (run_t *run)
{
  static const double losses[] = { 0, 0.01, 0.1, 0.3 };
  static const fb_time_t delays[] = { 5, 50, 300, 1500 };
  sf_link_t *link = &run->fleet->link;

  link->loss = losses[g_rand_int_range (run->random, 0, G_N_ELEMENTS (losses))];
  link->delay_max
      = delays[g_rand_int_range (run->random, 0, G_N_ELEMENTS (delays))] * FB_MILLISECOND;
  link->duplication = 0.1;
  link->corruption = g_rand_double (run->random) * 0.5;
}

static void
partition_fleet (run_t *run)
{
  bool merge = g_rand_boolean (run->random);

  for (size_t i = 0; i < run->fleet->count; i++)
    run->fleet->hosts[i].partition = merge ? 0 : (uint32_t)g_rand_int_range (run->random, 0, 2);
}

static void
change_source (run_t *run)
{
  switch (g_rand_int_range (run->random, 0, 6))
    {
    case 0:
      run->fleet->source.down = true;
      break;
    case 1:
      sf_freeze_source (run->fleet);
      break;
    case 2:
      run->fleet->source.stale = 0.5;
      break;
    case 3:
      sf_reset_index (run->fleet);
      break;
    default:
      sf_restore_source (run->fleet);
    }
}

static void
inject_fault (run_t *run)
{
  size_t index = (size_t)g_rand_int_range (run->random, 0, (gint32)run->fleet->count);

  switch (g_rand_int_range (run->random, 0, 14))
    {
    case 0:
    case 1:
      publish_next (run);
      break;
    case 2:
      publish_again (run);
      break;
    case 3:
    case 4:
      publish_race (run);
      break;
    case 5:
    case 6:
      publish_invalid (run);
      break;
    case 7:
    case 8:
      if (g_rand_int_range (run->random, 0, 12) == 0)
        restart_fleet (run);
      else
        kill_or_start (run, index);
      break;
    case 9:
      pause_host (run, index);
      break;
    case 10:
      change_link (run);
      break;
    case 11:
      partition_fleet (run);
      break;
    default:
      change_source (run);
    }
}

static void
resume_hosts (run_t *run, bool all)
{
  fb_time_t now = fb_read_clock (run->fleet->clock);

  for (size_t i = 0; i < run->fleet->count; i++)
    {
      sf_host_t *host = &run->fleet->hosts[i];

      if (host->paused && (all || now >= run->resume_at[i]))
        sf_resume_host (run->fleet, i);
    }
}

static void
end_faults (run_t *run)
{
  sf_fleet_t *fleet = run->fleet;

  fleet->link = (sf_link_t){ .delay_min = FB_MILLISECOND, .delay_max = 5 * FB_MILLISECOND };
  for (size_t i = 0; i < fleet->count; i++)
    fleet->hosts[i].partition = 0;
  resume_hosts (run, true);
  sf_restore_source (fleet);
  /* Without a valid document no node can become ready. */
  publish_next (run);
}

/* Runs until all nodes are ready with the highest version, at most LIMIT; returns the time it
 * took. */
static fb_time_t
await_convergence (sf_fleet_t *fleet, fb_time_t limit)
{
  fb_version_t before = sf_get_highest (fleet);

  for (fb_time_t waited = 0;; waited += SF_STEP)
    {
      fb_version_t highest = sf_get_highest (fleet);

      g_assert_cmpint (fb_compare_versions (&highest, &before), >=, 0);
      if (sf_has_converged (fleet, &highest))
        return waited;
      if (waited > limit)
        break;
      sf_run_fleet (fleet, SF_STEP);
    }
  sf_print_fleet (fleet);
  fprintf (stderr, "# fleet did not converge\n");
  abort ();
}

/* Each zone has two readers, or as many as running nodes. Returns their number. */
static size_t
check_readers (const sf_fleet_t *fleet)
{
  size_t total = 0;

  for (size_t zone = 0; zone < fleet->zones; zone++)
    {
      size_t readers = 0;
      size_t running = 0;

      for (size_t i = zone; i < fleet->count; i += fleet->zones)
        {
          const sf_host_t *host = &fleet->hosts[i];
          running += host->node != NULL;
          readers += host->node != NULL && fd_is_reader (host->node);
        }
      g_assert_cmpuint (readers, ==, MIN (running, 2));
      total += readers;
    }
  return total;
}

typedef struct
{
  fb_time_t recovery;    /* longest from the end of the faults to convergence */
  fb_time_t propagation; /* longest from a publication to the last node */

  fb_counters_t *totals;
} measurements_t;

static void
add_total (const char *name, const char *labels, uint64_t value, void *user)
{
  fb_add_counter (fb_find_counter (user, name, labels), value);
}

static void
run_seed (uint32_t seed, measurements_t *measurements)
{
  GRand *random = g_rand_new_with_seed (seed);
  size_t count = (size_t)g_rand_int_range (random, 3, SF_HOSTS_MAX + 1);
  run_t run = { .random = random };
  fb_time_t recovery;
  fb_time_t propagation;
  uint64_t calls;
  size_t readers;
  g_snprintf (seed_text, sizeof seed_text, "# failed with SEED=%u\n", seed);
  run.fleet = sf_create_fleet (seed, count, (size_t)g_rand_int_range (random, 1, 4));
  publish_next (&run);
  for (int i = 0; i < FAULTS_PER_RUN; i++)
    {
      inject_fault (&run);
      resume_hosts (&run, false);
      sf_run_fleet (run.fleet, g_rand_int_range (random, 1, 200) * SF_STEP);
    }
  end_faults (&run);
  recovery = await_convergence (run.fleet, DETECTION_MAX + PROPAGATION_MAX);
  measurements->recovery = MAX (measurements->recovery, recovery);
  /* Long enough for the membership to settle and for the watches started before to end. */
  sf_run_fleet (run.fleet, 60 * FB_SECOND);
  readers = check_readers (run.fleet);
  calls = run.fleet->source.calls;
  sf_run_fleet (run.fleet, 30 * FB_SECOND);
  /* Each reader has one call open and starts the next when a wait ends. */
  g_assert_cmpuint (run.fleet->source.calls - calls, <=,
                    readers
                        * (1 + (30 * FB_SECOND + FD_WATCH_WAIT_MAX - 1) / FD_WATCH_WAIT_MAX));
  publish_next (&run);
  propagation = await_convergence (run.fleet, PROPAGATION_MAX);
  measurements->propagation = MAX (measurements->propagation, propagation);
  for (size_t i = 0; i < count; i++)
    sf_kill_host (run.fleet, i);
  fb_visit_counters (run.fleet->totals, add_total, measurements->totals);
  sf_destroy_fleet (run.fleet);
  g_rand_free (random);
}

/* Guards against any order of faults that makes a node revert, apply an invalid or truncated
 * document, accept calls before it has caught up, call the source too often, or stay behind
 * after the faults. */
static void
test_random_faults (void)
{
  /* Events that the faults must have caused. */
  static const char *const required_counters[]
      = { "dist_applied",         "dist_revision_raised", "dist_refused",
          "dist_bad_messages",    "dist_source_failures", "dist_source_stale",
          "dist_fetch_timeouts",  "dist_pauses",          "dist_digest_mismatches",
          "dist_claim_mismatches" };
  const char *seed_count = g_getenv ("SEEDS");
  const char *single_seed = g_getenv ("SEED");
  uint32_t first = single_seed != NULL ? (uint32_t)g_ascii_strtoull (single_seed, NULL, 10) : 1;
  uint32_t last
      = seed_count != NULL ? (uint32_t)g_ascii_strtoull (seed_count, NULL, 10) : SEEDS_DEFAULT;
  measurements_t measurements = { .totals = fb_create_counters () };

  signal (SIGABRT, report_seed);
  for (uint32_t seed = first; seed <= (single_seed != NULL ? first : last); seed++)
    run_seed (seed, &measurements);
  g_test_message ("longest recovery %d ms, longest propagation %d ms",
                  (int)(measurements.recovery / FB_MILLISECOND),
                  (int)(measurements.propagation / FB_MILLISECOND));
  for (size_t i = 0; i < G_N_ELEMENTS (required_counters); i++)
    {
      uint64_t value
          = fb_get_counter (fb_find_counter (measurements.totals, required_counters[i], ""));

      g_test_message ("%s %d", required_counters[i], (int)value);
      g_assert_true (single_seed != NULL || value > 0);
    }
  fb_destroy_counters (measurements.totals);
}

/* Guards against a restart of the whole fleet in which nodes read the source at the same
 * moment or more than once, or all stay readers because they know no other members. */
static void
test_restart_reads (void)
{
  sf_fleet_t *fleet = sf_create_fleet (3, SF_HOSTS_MAX, 3);
  uint64_t early_calls;

  sf_publish_document (fleet, sf_make_document (1, 1, 3), true);
  sf_run_fleet (fleet, FB_SECOND);
  early_calls = fleet->source.calls;
  g_assert_cmpuint (early_calls, >, 0);
  g_assert_cmpuint (early_calls, <, SF_HOSTS_MAX);
  sf_run_fleet (fleet, 1500 * FB_MILLISECOND);
  g_assert_cmpuint (fleet->source.calls, ==, SF_HOSTS_MAX);
  sf_run_fleet (fleet, 20 * FB_SECOND);
  g_assert_cmpuint (check_readers (fleet), ==, 6);
  /* Each reader makes one read without a wait, one with a wait, and one for each wait that
   * ended in the 17 s or more since its join. */
  g_assert_cmpuint (fleet->source.calls, ==,
                    SF_HOSTS_MAX + 6 * (2 + 17 * FB_SECOND / FD_WATCH_WAIT_MAX));
  sf_destroy_fleet (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet/restart-reads", test_restart_reads);
  g_test_add_func ("/fleet/random-faults", test_random_faults);
  return g_test_run ();
}
