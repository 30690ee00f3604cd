/* Notices of leaving instances against what a platform lists later. */
#include <foxtailrun/member/leaving.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *name;
  const char *guards; /* the failure that the case guards against */
  const char *script;
  const char *states;
} case_t;

/* Steps: "!I" records that incarnation I leaves, "+I" lists it as alive, "-I" as dead, "hN"
 * advances the clock by N half hours, "?I" records incarnation I of another instance. */
static const case_t cases[] = {
  { "listed-alive", "a list that is behind brings a leaving instance back", "+1 !1 +1",
    "alive new leaving " },
  { "notice-first", "a notice before the list names the instance is lost", "!1 +1",
    "new leaving " },
  { "repeated", "each response counts as a new notice", "!1 !1", "new old " },
  { "next-start", "an instance that has started again under its id gets no calls", "!1 +2",
    "new alive " },
  { "late-notice", "a notice of an earlier start holds for the present one", "!2 !1 +1 +2",
    "new old alive leaving " },
  { "relisted", "an entry that expired and is listed again gets calls", "!1 -1 +1",
    "new dead leaving " },
  { "long-stay", "an instance that stays listed for long gets calls again", "!1 h1 +1 h2 +1",
    "new leaving leaving " },
  { "outdated", "notices are kept without end", "!1 h3 ?2 +1", "new new alive " },
};

static void
run_step (fm_leaving_t *leaving, fb_clock_t *clock, const char *step, GString *states)
{
  uint64_t number = strtoull (step + 1, NULL, 10);
  fw_member_t member = { .id = fb_make_name ("a"), .incarnation = number };
  fb_name_t other = fb_make_name ("b");

  switch (step[0])
    {
    case '!':
      g_string_append (states,
                       fm_record_leaving (leaving, &member.id, number) ? "new " : "old ");
      break;
    case '?':
      g_string_append (states, fm_record_leaving (leaving, &other, number) ? "new " : "old ");
      break;
    case 'h':
      fb_advance_clock (clock, (fb_time_t)number * 1800 * FB_SECOND);
      break;
    default:
      member.state = step[0] == '-' ? FW_DEAD : FW_ALIVE;
      fm_apply_leaving (leaving, &member);
      g_string_append_printf (states, "%s ", fw_describe_state (member.state));
    }
}

static void
run_case (gconstpointer data)
{
  const case_t *test = data;
  fb_clock_t *clock = fb_create_manual_clock (FB_SECOND);
  fm_leaving_t *leaving = fm_create_leaving (clock);
  GString *states = g_string_new ("");
  char **steps = g_strsplit (test->script, " ", -1);

  for (size_t i = 0; steps[i] != NULL; i++)
    run_step (leaving, clock, steps[i], states);
  g_assert_cmpstr (states->str, ==, test->states);
  g_strfreev (steps);
  g_string_free (states, TRUE);
  fm_destroy_leaving (leaving);
  fb_destroy_clock (clock);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/member/leaving/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], run_case);
      g_free (path);
    }
  return g_test_run ();
}
