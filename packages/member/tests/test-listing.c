/* Endpoints listed by a platform, during outages of the list. */
#include <foxtailrun/member/listing.h>
#include <glib.h>
#include <string.h>

typedef struct
{
  fb_clock_t *clock;
  fm_listing_t *listing;
  GString *changes; /* "ID=STATE " for each change */
} fixture_t;

static void
record_change (const fw_endpoint_t *endpoint, fb_time_t previous_at, void *user)
{
  fixture_t *fixture = user;

  g_string_append_printf (fixture->changes, "%s=%s ", endpoint->member.id.data,
                          fw_describe_state (endpoint->member.state));
}

/* NAME is a letter, the id, and the incarnation, 0 if left out. */
static void
add_endpoint (fixture_t *fixture, const char *name, fw_member_state_t state)
{
  char id[2] = { name[0] };
  fw_endpoint_t endpoint = { .member = { .id = fb_make_name (id),
                                         .incarnation = g_ascii_strtoull (name + 1, NULL, 10),
                                         .state = state,
                                         .address = fb_make_name ("10.0.0.1"),
                                         .service = fb_make_name ("shop") },
                             .slots = 9 };

  fm_add_endpoint (fixture->listing, &endpoint);
}

static void
remove_endpoint (fixture_t *fixture, const char *id)
{
  fb_name_t name = fb_make_name (id);

  fm_remove_endpoint (fixture->listing, &name);
}

/* Runs one step: "+a" adds a, "~a" adds it as leaving, "-a" removes it, "(" and ")" begin and
 * end a full read, "!" and "?" mark the source unavailable and available, "=" marks it
 * available after a short failure, "." records that all is known, "^" marks it restored, and a
 * digit advances the clock by that many half seconds. */
static void
run_step (fixture_t *fixture, const char *step)
{
  switch (step[0])
    {
    case '+':
      add_endpoint (fixture, step + 1, FW_ALIVE);
      break;
    case '~':
      add_endpoint (fixture, step + 1, FW_LEAVING);
      break;
    case '-':
      remove_endpoint (fixture, step + 1);
      break;
    case '(':
      fm_begin_full_read (fixture->listing);
      break;
    case ')':
      fm_end_full_read (fixture->listing);
      break;
    case '!':
      fm_mark_source_unavailable (fixture->listing);
      break;
    case '?':
      fm_mark_source_available (fixture->listing, true);
      break;
    case '=':
      fm_mark_source_available (fixture->listing, false);
      break;
    case '.':
      fm_set_known_time (fixture->listing, fb_read_clock (fixture->clock));
      fm_tick_listing (fixture->listing);
      break;
    case '^':
      fm_mark_source_restored (fixture->listing);
      break;
    default:
      fb_advance_clock (fixture->clock, (step[0] - '0') * FB_SECOND / 2);
      fm_tick_listing (fixture->listing);
    }
}

/* Guards against endpoints removed because the list cannot be read or they expired during
 * an outage, removed ones that stay listed, and delayed removals or leaving marks while the
 * listing is settled. */
static void
test_outages (void)
{
  static const struct
  {
    const char *steps;
    const char *changes;
    size_t count;
  } cases[] = {
    { "+a +a", "a=alive ", 1 },
    { "+a ~a ~a", "a=alive a=leaving ", 1 },
    { "+a -a", "a=alive a=dead ", 0 },
    { "-a", "", 0 },
    { "( +a +b ) ( +b )", "a=alive b=alive a=dead ", 1 },
    { "+a ! 9 9", "a=alive ", 1 },
    { "+a ! -a 9 9", "a=alive ", 1 },
    { "+a ! 2 ? -a 3", "a=alive ", 1 },
    { "+a ! 2 ? -a 4", "a=alive a=dead ", 0 },
    { "+a ! 2 ? ( ) 3 +a 4", "a=alive ", 1 },
    { "+a ! 2 ? ( ) 4", "a=alive a=dead ", 0 },
    { "+a ! 2 ? ~a", "a=alive a=leaving ", 1 },
    { "+a ! ? 4 -a", "a=alive a=dead ", 0 },
    { "+a ! ? -a 2 ! 9 ? 3", "a=alive ", 1 },
    { "+a ? -a", "a=alive a=dead ", 0 },
    /* A short failure delays a removal until all is known, the loss of most endpoints longer.
     */
    { "+a +b ! -a = .", "a=alive b=alive a=dead ", 1 },
    { "+a +b ! -a =", "a=alive b=alive ", 2 },
    { "+a +b ! = -a .", "a=alive b=alive a=dead ", 1 },
    { "+a +b ! = . -a", "a=alive b=alive a=dead ", 1 },
    { "+a +b ! ( +b = ) .", "a=alive b=alive a=dead ", 1 },
    { "+a +b ! -a = ! = .", "a=alive b=alive a=dead ", 1 },
    { "+a ! -a = . 3 +a 9", "a=alive ", 1 },
    { "+a +b +c ! -a -b = . 3 +a +b 9", "a=alive b=alive c=alive ", 3 },
    { "+a +b ! ( = ) . 3 +b +a 9", "a=alive b=alive ", 2 },
    { "+a ! -a = . 4", "a=alive a=dead ", 0 },
    /* A short failure in the grace period neither ends nor renews it. */
    { "+a +b ! 9 ? -a 2 ! = . 1 +a 9", "a=alive b=alive ", 2 },
    { "+a +b ! 9 ? -a . 2 ! = . 2", "a=alive b=alive a=dead ", 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture = { .clock = fb_create_manual_clock (100 * FB_SECOND) };
      char **steps = g_strsplit (cases[i].steps, " ", -1);

      fixture.changes = g_string_new ("");
      fixture.listing = fm_create_listing (fixture.clock, record_change, &fixture);
      for (size_t j = 0; steps[j]; j++)
        run_step (&fixture, steps[j]);
      g_test_message ("%s", cases[i].steps);
      g_assert_cmpstr (fixture.changes->str, ==, cases[i].changes);
      g_assert_cmpuint (fm_count_endpoints (fixture.listing), ==, cases[i].count);
      g_strfreev (steps);
      g_string_free (fixture.changes, TRUE);
      fm_destroy_listing (fixture.listing);
      fb_destroy_clock (fixture.clock);
    }
}

static void
record_previous_time (const fw_endpoint_t *endpoint, fb_time_t previous_at, void *user)
{
  *(fb_time_t *)user = previous_at;
}

/* Guards against news of a removal that counts as fresh because only the known state is: the
 * removal was withheld. */
static void
test_change_age (void)
{
  static const struct
  {
    bool outage;
    fb_time_t previous_s;
  } cases[] = { { false, 105 }, { true, 100 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_time_t previous_at = 0;
      fb_name_t id = fb_make_name ("a");
      fixture_t fixture = { .clock = fb_create_manual_clock (100 * FB_SECOND) };

      fixture.listing = fm_create_listing (fixture.clock, record_previous_time, &previous_at);
      fm_set_known_time (fixture.listing, 100 * FB_SECOND);
      run_step (&fixture, "+a");
      if (cases[i].outage)
        {
          run_step (&fixture, "!");
          run_step (&fixture, "?");
          run_step (&fixture, "-a");
          g_assert_true (fm_is_missing (fixture.listing, &id));
        }
      fm_set_known_time (fixture.listing, 105 * FB_SECOND);
      if (cases[i].outage)
        run_step (&fixture, "4");
      else
        run_step (&fixture, "-a");
      g_assert_cmpint (previous_at, ==, cases[i].previous_s * FB_SECOND);
      g_assert_cmpuint (fm_count_endpoints (fixture.listing), ==, 0);
      fm_destroy_listing (fixture.listing);
      fb_destroy_clock (fixture.clock);
    }
}

static void
append_visited (const fw_endpoint_t *endpoint, void *user)
{
  g_string_append_printf (user, "%s=%s ", endpoint->member.id.data,
                          fw_describe_state (endpoint->member.state));
}

/* Guards against another node that gets the changes of this listing and keeps an endpoint which
 * is missing here, or does not list one again that is registered again. */
static void
test_shared_changes (void)
{
  static const struct
  {
    const char *steps; /* after "+a" and "+b" in a settled listing */
    const char *changes;
    const char *all; /* only one endpoint, as their order is not defined */
    bool shareable;
  } cases[] = {
    { "-b", "b=dead ", "a=alive ", true },
    { "^ -b", "b=dead ", "a=alive ", true },
    { "^ ( +a )", "b=dead ", "a=alive ", true },
    { "^ ( +a ) 5", "b=dead ", "a=alive ", true },
    { "^ -a +a -b", "a=alive b=dead ", "a=alive ", true },
    { "! -b", "b=dead ", "a=alive ", false },
    { "! ^ -b", "b=dead ", "a=alive ", false },
    { "! ^ ? -b", "b=dead ", "a=alive ", true },
    { "^ ! ? -b", "b=dead ", "a=alive ", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture
          = { .clock = fb_create_manual_clock (100 * FB_SECOND), .changes = g_string_new ("") };
      GString *changes = g_string_new ("");
      GString *all = g_string_new ("");
      char **steps = g_strsplit (cases[i].steps, " ", -1);
      uint64_t sequence;

      fixture.listing = fm_create_listing (fixture.clock, record_change, &fixture);
      add_endpoint (&fixture, "a", FW_ALIVE);
      add_endpoint (&fixture, "b", FW_ALIVE);
      sequence = fm_get_listing_sequence (fixture.listing);
      for (size_t step = 0; steps[step]; step++)
        run_step (&fixture, steps[step]);
      fm_visit_listing_changes (fixture.listing, sequence, append_visited, changes);
      fm_visit_listing_changes (fixture.listing, 0, append_visited, all);
      g_test_message ("%s", cases[i].steps);
      g_assert_cmpstr (changes->str, ==, cases[i].changes);
      g_assert_cmpstr (all->str, ==, cases[i].all);
      g_assert_cmpint (fm_is_listing_shareable (fixture.listing), ==, cases[i].shareable);
      fm_destroy_listing (fixture.listing);
      fb_destroy_clock (fixture.clock);
      g_strfreev (steps);
      g_string_free (changes, TRUE);
      g_string_free (all, TRUE);
      g_string_free (fixture.changes, TRUE);
    }
}

/* Guards against an instance that leaves, or has gone, and gets calls again because a restored
 * source lists it as it was before. */
static void
test_restored (void)
{
  static const struct
  {
    const char *steps;
    const char *changes;
    size_t count; /* of endpoints that other nodes get */
  } cases[] = {
    /* Leaving is final for an incarnation, listed again or not. */
    { "+a1 ~a1 ^ ( +a1 )", "a=alive a=leaving ", 1 },
    { "+a1 ~a1 +a1", "a=alive a=leaving ", 1 },
    { "+a1 ~a1 ^ ( +a2 )", "a=alive a=leaving a=alive ", 1 },
    { "+a1 ~a1 -a ^ +a1", "a=alive a=leaving a=dead a=leaving ", 1 },
    { "+a ~a +a", "a=alive a=leaving a=alive ", 1 },
    /* An instance that had gone is listed again only by a write, or when its entry does not
       expire. */
    { "+a1 -a ^ ( +a1 )", "a=alive a=dead ", 1 },
    { "+a1 -a ^ ( +a1 ) 9", "a=alive a=dead ", 1 },
    { "+a1 -a ^ ( +a1 ) 9 1", "a=alive a=dead a=alive ", 1 },
    { "+a1 -a ^ ( +a1 ) 9 -a 9", "a=alive a=dead ", 0 },
    { "+a1 -a ^ ( +a1 ) +a1", "a=alive a=dead a=alive ", 1 },
    { "+a1 -a ^ ( +a1 ) 2 ~a1", "a=alive a=dead a=leaving ", 1 },
    { "+a1 -a ^ ( +a2 )", "a=alive a=dead a=alive ", 1 },
    { "+a1 -a ^ ( +a1 ) ( +a1 )", "a=alive a=dead ", 1 },
    { "+a1 -a ^ ( +a1 ) ( ) 9 9", "a=alive a=dead ", 0 },
    { "+a1 -a ( +a1 )", "a=alive a=dead a=alive ", 1 },
    { "+a1 -a ^ 9 1 ( +a1 )", "a=alive a=dead a=alive ", 1 },
    { "+a1 ^ -a ( +a1 )", "a=alive ", 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture
          = { .clock = fb_create_manual_clock (100 * FB_SECOND), .changes = g_string_new ("") };
      GString *all = g_string_new ("");
      char **steps = g_strsplit (cases[i].steps, " ", -1);
      size_t count = 0;

      fixture.listing = fm_create_listing (fixture.clock, record_change, &fixture);
      for (size_t step = 0; steps[step]; step++)
        run_step (&fixture, steps[step]);
      fm_visit_listing_changes (fixture.listing, 0, append_visited, all);
      for (const char *next = all->str; (next = strchr (next, '=')); next++)
        count++;
      g_test_message ("%s", cases[i].steps);
      g_assert_cmpstr (fixture.changes->str, ==, cases[i].changes);
      g_assert_cmpuint (count, ==, cases[i].count);
      fm_destroy_listing (fixture.listing);
      fb_destroy_clock (fixture.clock);
      g_strfreev (steps);
      g_string_free (all, TRUE);
      g_string_free (fixture.changes, TRUE);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/listing/outages", test_outages);
  g_test_add_func ("/member/listing/change-age", test_change_age);
  g_test_add_func ("/member/listing/shared-changes", test_shared_changes);
  g_test_add_func ("/member/listing/restored", test_restored);
  return g_test_run ();
}
