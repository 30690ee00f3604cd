/* Requests under which backend servers end. */
#include <foxtailrun/call/quarantine.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = { "free", "suspect", "quarantined", "trial" };

static fb_digest_t
make_key (char name)
{
  return fb_compute_digest ((fb_bytes_t){ (const uint8_t *)&name, 1 });
}

typedef struct
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  fr_quarantine_t *quarantine;
  GString *states;
} fixture_t;

/* Runs one step: "a1" is request a in crash 1, "a." its complete run, "a+5" a quarantine of 5 s
 * at another node, "a?" appends its state, "t5" advances the clock by 5 s. */
static void
run_step (fixture_t *fixture, const char *step)
{
  fb_digest_t key = make_key (step[0]);
  fb_time_t left;

  if (step[0] == 't')
    fb_advance_clock (fixture->clock, atoi (step + 1) * FB_SECOND);
  else if (step[1] == '.')
    fr_clear_request (fixture->quarantine, &key);
  else if (step[1] == '+')
    fr_hold_request (fixture->quarantine, &key, atoi (step + 2) * FB_SECOND);
  else if (step[1] == '?')
    g_string_append_printf (fixture->states, "%s ",
                            state_names[fr_check_request (fixture->quarantine, &key, &left)]);
  else
    fr_add_crash (fixture->quarantine, &key, (uint64_t)atoi (step + 1));
}

/* Guards against a request that is sent on after it has ended three instances, for good after
 * it has become harmless, and against one refused for crashes that it did not cause. */
static void
test_states (void)
{
  static const struct
  {
    const char *steps;
    const char *states;
  } cases[] = {
    { "a?", "free " },
    { "a1 a? a2 a? a3 a?", "suspect suspect quarantined " },
    { "a1 a1 a1 a?", "suspect " },
    { "a1 a2 a. a? a3 a?", "free suspect " },
    { "a1 a2 a. a2 a?", "free " },
    { "a1 a2 a. a3 a4 a? a5 a?", "suspect quarantined " },
    { "a1 b1 a2 b2 b. a3 b3 a? b?", "quarantined suspect " },
    { "a1 a2 t59 a? t1 a? a3 a?", "suspect free suspect " },
    { "a1 a2 a3 t59 a? t1 a?", "quarantined trial " },
    { "a1 a2 a3 t60 a4 a? t119 a? t1 a?", "quarantined quarantined trial " },
    { "a1 a2 a3 a4 a5 t60 a?", "trial " },
    { "a1 a2 a3 t60 a. a?", "free " },
    { "a1 a2 a3 t659 a? t1 a?", "trial free " },
    { "a1 a2 a3 a4 a5 a6 a7 a8 a9 a?", "quarantined " },
    { "a+5 a? t4 a? t1 a?", "quarantined quarantined free " },
    { "a1 a+5 a? t5 a?", "quarantined suspect " },
    { "a+99999 t959 a? t1 a?", "quarantined free " },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture = { .clock = fb_create_manual_clock (1000 * FB_SECOND),
                            .counters = fb_create_counters (),
                            .states = g_string_new ("") };
      char **steps = g_strsplit (cases[i].steps, " ", -1);

      fixture.quarantine = fr_create_quarantine (fixture.clock, fixture.counters);
      for (size_t j = 0; steps[j]; j++)
        run_step (&fixture, steps[j]);
      g_test_message ("%s", cases[i].steps);
      g_assert_cmpstr (fixture.states->str, ==, cases[i].states);
      g_strfreev (steps);
      g_string_free (fixture.states, TRUE);
      fr_destroy_quarantine (fixture.quarantine);
      fb_destroy_counters (fixture.counters);
      fb_destroy_clock (fixture.clock);
    }
}

/* Guards against two requests taken for one, and one for two. */
static void
test_keys (void)
{
  static const struct
  {
    fr_request_parts_t parts;
    bool same;
  } cases[] = {
    { { { "GET", 3 }, { "h", 1 }, { "/a?b", 4 }, { "shop", 4 }, { NULL, 0 } }, true },
    { { { "PUT", 3 }, { "h", 1 }, { "/a?b", 4 }, { "shop", 4 }, { NULL, 0 } }, false },
    { { { "GET", 3 }, { "g", 1 }, { "/a?b", 4 }, { "shop", 4 }, { NULL, 0 } }, false },
    { { { "GET", 3 }, { "h", 1 }, { "/a?c", 4 }, { "shop", 4 }, { NULL, 0 } }, false },
    { { { "GET", 3 }, { "h", 1 }, { "/a?b", 4 }, { "stock", 5 }, { NULL, 0 } }, false },
    { { { "GET", 3 }, { "h", 1 }, { "/a?bs", 5 }, { "hop", 3 }, { NULL, 0 } }, false },
    { { { "GET", 3 }, { "h", 1 }, { "/a?b", 4 }, { "shop", 4 }, { (const uint8_t *)"x", 1 } },
      false },
  };
  fb_digest_t first = fr_get_request_key (&cases[0].parts);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_digest_t key = fr_get_request_key (&cases[i].parts);

      g_assert_true ((fb_compare_digests (&key, &first) == 0) == cases[i].same);
    }
}

/* Guards against records that grow with a flood of different requests, and a quarantine that
 * the flood displaces. */
static void
test_bounds (void)
{
  fb_clock_t *clock = fb_create_manual_clock (1000 * FB_SECOND);
  fb_counters_t *counters = fb_create_counters ();
  fr_quarantine_t *quarantine = fr_create_quarantine (clock, counters);
  fw_suspect_t *suspects = g_new (fw_suspect_t, FW_SUSPECTS_MAX);
  fb_digest_t quarantined = make_key ('a');
  fb_time_t left;

  for (uint64_t id = 1; id <= FR_QUARANTINE_CRASHES; id++)
    fr_add_crash (quarantine, &quarantined, id);
  for (uint32_t i = 0; i < 3 * FW_SUSPECTS_MAX; i++)
    {
      fb_digest_t key = fb_compute_digest ((fb_bytes_t){ (const uint8_t *)&i, sizeof i });

      fr_add_crash (quarantine, &key, 100 + i);
      fb_advance_clock (clock, FB_MILLISECOND);
    }
  g_assert_cmpuint (fr_collect_suspects (quarantine, 0, suspects), ==, FW_SUSPECTS_MAX);
  g_assert_cmpint (fr_check_request (quarantine, &quarantined, &left), ==,
                   FR_REQUEST_QUARANTINED);
  g_free (suspects);
  fr_destroy_quarantine (quarantine);
  fb_destroy_counters (counters);
  fb_destroy_clock (clock);
}

/* Guards against trials by two nodes, or by none. */
static void
test_trial_owner (void)
{
  fb_name_t names[5];

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char text[16];

      g_snprintf (text, sizeof text, "10.0.0.%zu", i);
      names[i] = fb_make_name (text);
    }
  for (int request = 'a'; request <= 'z'; request++)
    {
      fb_digest_t key = make_key ((char)request);
      size_t owners = 0;

      for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
        owners += fr_owns_trial (&key, &names[i], names, G_N_ELEMENTS (names));
      g_assert_cmpuint (owners, ==, 1);
    }
}

/* Guards against a crash that only the sender of its report tells, which may end meanwhile, and
 * against news passed on for ever. */
static void
test_passing_on (void)
{
  fb_clock_t *clock = fb_create_manual_clock (1000 * FB_SECOND);
  fb_counters_t *counters = fb_create_counters ();
  fr_quarantine_t *sender = fr_create_quarantine (clock, counters);
  fr_quarantine_t *receiver = fr_create_quarantine (clock, counters);
  fw_suspect_t *suspects = g_new (fw_suspect_t, FW_SUSPECTS_MAX);
  fb_digest_t key = make_key ('a');
  uint64_t sequence = fr_get_quarantine_sequence (receiver);

  fr_add_crash (sender, &key, 1);
  g_assert_cmpuint (fr_collect_suspects (sender, 0, suspects), ==, 1);
  g_assert_true (fr_merge_suspect (receiver, &suspects[0]));
  g_assert_cmpuint (fr_collect_suspects (receiver, sequence, suspects), ==, 1);
  sequence = fr_get_quarantine_sequence (sender);
  g_assert_false (fr_merge_suspect (sender, &suspects[0]));
  g_assert_cmpuint (fr_collect_suspects (sender, sequence, suspects), ==, 0);
  g_free (suspects);
  fr_destroy_quarantine (receiver);
  fr_destroy_quarantine (sender);
  fb_destroy_counters (counters);
  fb_destroy_clock (clock);
}

#define NODES 4
#define REQUESTS 3

/* Sends all that node FROM knows to node TO. */
static void
exchange (fr_quarantine_t *from, fr_quarantine_t *to)
{
  fw_suspect_t *suspects = g_new (fw_suspect_t, FW_SUSPECTS_MAX);
  size_t count = fr_collect_suspects (from, 0, suspects);

  for (size_t i = 0; i < count; i++)
    fr_merge_suspect (to, &suspects[i]);
  g_free (suspects);
}

/* Guards against nodes that disagree for good, after reports in any order, repeated or lost. */
static void
run_random (uint32_t seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  fb_clock_t *clock = fb_create_manual_clock (1000 * FB_SECOND);
  fb_counters_t *counters = fb_create_counters ();
  fr_quarantine_t *nodes[NODES];
  uint64_t id = 0;

  for (size_t i = 0; i < NODES; i++)
    nodes[i] = fr_create_quarantine (clock, counters);
  for (int step = 0; step < 24; step++)
    {
      fr_quarantine_t *node = nodes[g_rand_int_range (random, 0, NODES)];
      fb_digest_t key = make_key ((char)('a' + step % REQUESTS));

      if (g_rand_int_range (random, 0, 4) == 0)
        fr_clear_request (node, &key);
      else
        fr_add_crash (node, &key, ++id);
      for (int i = 0; i < 3; i++)
        exchange (nodes[g_rand_int_range (random, 0, NODES)],
                  nodes[g_rand_int_range (random, 0, NODES)]);
      fb_advance_clock (clock, 100 * FB_MILLISECOND);
    }
  for (size_t i = 0; i < 2 * NODES; i++)
    for (size_t j = 0; j < NODES; j++)
      exchange (nodes[i % NODES], nodes[j]);
  for (size_t i = 0; i < NODES; i++)
    for (size_t j = 0; j < REQUESTS; j++)
      {
        fb_digest_t key = make_key ((char)('a' + j));
        fb_time_t left;

        g_test_message ("seed %u, node %zu, request %zu", seed, i, j);
        g_assert_cmpint (fr_check_request (nodes[i], &key, &left), ==,
                         fr_check_request (nodes[0], &key, &left));
      }
  for (size_t i = 0; i < NODES; i++)
    fr_destroy_quarantine (nodes[i]);
  fb_destroy_counters (counters);
  fb_destroy_clock (clock);
  g_rand_free (random);
}

static void
test_random (void)
{
  const char *seeds = g_getenv ("SEEDS");
  unsigned long count = seeds ? strtoul (seeds, NULL, 10) : 200;

  for (unsigned long seed = 1; seed <= count; seed++)
    run_random ((uint32_t)seed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/call/quarantine/states", test_states);
  g_test_add_func ("/call/quarantine/keys", test_keys);
  g_test_add_func ("/call/quarantine/bounds", test_bounds);
  g_test_add_func ("/call/quarantine/trial-owner", test_trial_owner);
  g_test_add_func ("/call/quarantine/passing-on", test_passing_on);
  g_test_add_func ("/call/quarantine/random", test_random);
  return g_test_run ();
}
