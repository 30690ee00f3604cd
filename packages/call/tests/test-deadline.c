/* When a call is given up. */
#include <foxtailrun/call/deadline.h>
#include <glib.h>

/* One way between a caller and its node, at most, and the caller's time to read a response. */
#define CALLER_DISTANCE (8 * FB_MILLISECOND)
#define CALLER_WORK (5 * FB_MILLISECOND)

/* Guards against a response that reaches the caller after it has closed the connection, and a
 * call alone on its connection that loses time. */
static void
test_give_up_time (void)
{
  static const struct
  {
    fb_time_t deadline;
    bool has_request_behind;
  } cases[] = { { 200 * FB_MILLISECOND, true },
                { 3 * FB_SECOND, true },
                { 200 * FB_MILLISECOND, false } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_time_t time = fr_get_give_up_time (cases[i].deadline, cases[i].has_request_behind);

      /* The node's deadline starts when the request arrives, the caller's when it is sent. */
      if (cases[i].has_request_behind)
        g_assert_cmpint (time + 2 * CALLER_DISTANCE + CALLER_WORK, <=, cases[i].deadline);
      else
        g_assert_cmpint (time, ==, cases[i].deadline);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/call/deadline/give-up-time", test_give_up_time);
  return g_test_run ();
}
