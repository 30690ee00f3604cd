/* Checks whether a server listens. */
#include "fixture-peer.h"
#include <foxtailrun/http/probe.h>
#include <glib.h>

#define PROBE_TIMEOUT (500 * FB_MILLISECOND)

typedef struct
{
  fk_kernel_t *kernel;
  bool probed;
  fh_listening_t listening;
} fixture_t;

static void
ignore_request (peer_connection_t *connection, size_t number, const char *text, void *user)
{
}

static void
record_result (fh_listening_t listening, void *user)
{
  fixture_t *fixture = user;

  fixture->probed = true;
  fixture->listening = listening;
}

static void
run_for (fk_kernel_t *kernel, fb_time_t time)
{
  fk_timer_t *timer = fk_create_timeout (kernel, time, (fk_callback_fn_t)fk_quit, kernel);

  fk_run (kernel);
  fk_destroy_timer (timer);
}

/* Guards against a server that has ended and is taken for one whose connection broke, the
 * reverse, and a result that comes after the probe was cancelled. */
static void
test_results (void)
{
  static const struct
  {
    bool listens;
    bool cancelled;
    fh_listening_t listening;
  } cases[] = {
    { true, false, FH_LISTENING },
    { false, false, FH_NOT_LISTENING },
    { true, true, FH_LISTENING },
    { false, true, FH_LISTENING },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture = { .kernel = fk_create_kernel (NULL) };
      peer_t *peer = peer_start (fixture.kernel, ignore_request, NULL);
      fb_name_t address = fb_make_name ("127.0.0.1");
      fh_probe_t *probe;

      if (!cases[i].listens)
        {
          peer_close_listener (peer);
          run_for (fixture.kernel, 10 * FB_MILLISECOND);
        }
      probe = fh_start_probe (fixture.kernel, &address, peer_get_port (peer), PROBE_TIMEOUT,
                              record_result, &fixture);
      g_assert_false (fixture.probed);
      if (cases[i].cancelled)
        fh_cancel_probe (probe);
      run_for (fixture.kernel, PROBE_TIMEOUT);
      g_assert_true (fixture.probed != cases[i].cancelled);
      g_assert_cmpint (fixture.listening, ==, cases[i].listening);
      peer_stop (peer);
      fk_destroy_kernel (fixture.kernel);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/probe/results", test_results);
  return g_test_run ();
}
