/* Decisions of the account of memory: who is read, refused and closed. */
#include <foxtailrun/base/account.h>
#include <glib.h>

#define KB ((size_t)1024)
#define MB (1024 * KB)
#define BUDGET (16 * MB)
#define PEERS_MAX 64

/* A peer whose holder records the decisions. */
typedef struct
{
  fb_holder_t holder;
  bool paused;
  bool has_input;
  bool closed;
} peer_t;

typedef struct
{
  fb_account_t *account;
  fb_time_t now;
  unsigned shortages;
  peer_t peers[PEERS_MAX];
} fixture_t;

static peer_t *
get_peer (const fb_holder_t *holder)
{
  return (peer_t *)holder;
}

static void
set_paused (fb_holder_t *holder, bool paused)
{
  get_peer (holder)->paused = paused;
}

static bool
has_input (const fb_holder_t *holder)
{
  return get_peer (holder)->has_input;
}

static void
close_peer (fb_holder_t *holder)
{
  get_peer (holder)->closed = true;
  fb_remove_holder (holder);
}

static void
count_shortage (void *user)
{
  ((fixture_t *)user)->shortages++;
}

static void
set_up (fixture_t *fixture)
{
  *fixture = (fixture_t){ .now = FB_SECOND };
  fixture->account = fb_create_account (BUDGET, count_shortage, fixture);
}

static void
tear_down (fixture_t *fixture)
{
  for (size_t i = 0; i < PEERS_MAX; i++)
    fb_remove_holder (&fixture->peers[i].holder);
  for (int kind = 0; kind < FB_HELD_KINDS; kind++)
    g_assert_cmpuint (fb_get_held (fixture->account, (fb_held_kind_t)kind), ==, 0);
  g_assert_cmpuint (fb_get_held_total (fixture->account), ==, 0);
  fb_destroy_account (fixture->account);
}

/* Adds peer NUMBER of CLIENT, which sends a body and holds BYTES of it. */
static peer_t *
add_peer (fixture_t *fixture, size_t number, uint64_t client, size_t bytes)
{
  static const fb_holder_class_t class = { set_paused, has_input, close_peer };
  peer_t *peer = &fixture->peers[number];

  fb_add_holder (fixture->account, &peer->holder, &class, client, fixture->now);
  fb_set_peer_turn (&peer->holder, true, fixture->now);
  fb_hold (&peer->holder, FB_HELD_BODY, bytes);
  return peer;
}

static void
pass (fixture_t *fixture, fb_time_t time)
{
  fixture->now += time;
  fb_settle_account (fixture->account, fixture->now);
}

/* Guards against clients that are paused, refused or closed in calm. */
static void
test_calm (void)
{
  fixture_t fixture;

  set_up (&fixture);
  for (size_t i = 0; i < 11; i++)
    add_peer (&fixture, i, i + 1, MB);
  pass (&fixture, 60 * FB_SECOND);
  g_assert_cmpuint (fixture.shortages, ==, 0);
  g_assert_false (fb_must_refuse (fixture.account, MB));
  for (size_t i = 0; i < 11; i++)
    {
      g_assert_false (fixture.peers[i].paused);
      g_assert_false (fixture.peers[i].closed);
    }
  tear_down (&fixture);
}

/* Guards against a process that reads on beyond its budget. */
static void
test_pause (void)
{
  static const struct
  {
    size_t held;  /* by others */
    size_t bytes; /* of the peer */
    bool paused;
  } cases[] = {
    { 11 * MB, MB / 2, false },  /* calm */
    { 12 * MB, MB / 2, true },   /* short: large ones wait */
    { 12 * MB, 16 * KB, false }, /* small ones go on */
    { 15 * MB, 16 * KB, false }, /* into the reserve */
    { 16 * MB, 1 * KB, true },   /* which has an end */
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      peer_t *peer;

      set_up (&fixture);
      add_peer (&fixture, 0, 0, cases[i].held);
      peer = add_peer (&fixture, 1, 0, cases[i].bytes);
      fb_check_pause (&peer->holder);
      g_test_message ("case %zu", i);
      g_assert_cmpint (peer->paused, ==, cases[i].paused);
      tear_down (&fixture);
    }
}

/* Guards against refusals of small requests, and of large ones while there is memory. */
static void
test_refuse (void)
{
  static const struct
  {
    size_t held;
    size_t bytes;
    bool refused;
  } cases[] = { { 13 * MB, MB, false },
                { 14 * MB, MB, true },
                { 14 * MB, 16 * KB, false },
                { 14 * MB, 17 * KB, true } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;

      set_up (&fixture);
      add_peer (&fixture, 0, 0, cases[i].held);
      g_assert_cmpint (fb_must_refuse (fixture.account, cases[i].bytes), ==, cases[i].refused);
      tear_down (&fixture);
    }
}

/* Guards against closing the newest, those that make progress, and small ones. */
static void
test_close_order (void)
{
  fixture_t fixture;
  peer_t *stalled;
  peer_t *large;
  peer_t *moving;
  peer_t *dripping;
  peer_t *small;
  peer_t *newest;

  set_up (&fixture);
  stalled = add_peer (&fixture, 0, 0, 2 * MB);
  large = add_peer (&fixture, 1, 0, 5 * MB);
  moving = add_peer (&fixture, 2, 0, 3 * MB);
  dripping = add_peer (&fixture, 3, 0, 2 * MB + 1);
  small = add_peer (&fixture, 4, 0, 16 * KB);
  fixture.now += 2 * FB_SECOND;
  fb_count_progress (&moving->holder, 64 * KB, fixture.now);
  fb_count_progress (&dripping->holder, 1, fixture.now);
  newest = add_peer (&fixture, 5, 0, 4 * MB);
  g_assert_cmpuint (fixture.shortages, ==, 1);
  /* Over the budget: the one that holds most for its time without progress. */
  pass (&fixture, 0);
  g_assert_true (large->closed);
  g_assert_false (dripping->closed);
  /* Within it, but short: those without progress until the reserve is free, of which a byte is
   * none. */
  fb_hold (&newest->holder, FB_HELD_BODY, 6 * MB);
  pass (&fixture, 0);
  g_assert_true (dripping->closed);
  g_assert_false (stalled->closed);
  g_assert_false (moving->closed);
  g_assert_false (newest->closed);
  g_assert_false (small->closed);
  tear_down (&fixture);
}

/* Guards against closing a peer whose request is being handled: its response is due. */
static void
test_handled (void)
{
  fixture_t fixture;
  peer_t *handled;
  peer_t *other;

  set_up (&fixture);
  handled = add_peer (&fixture, 0, 0, 12 * MB);
  fb_set_peer_turn (&handled->holder, false, fixture.now);
  other = add_peer (&fixture, 1, 0, 5 * MB);
  pass (&fixture, 0);
  g_assert_false (handled->closed);
  g_assert_true (other->closed);
  tear_down (&fixture);
}

/* Guards against bodies that all wait for each other, and against blaming a paused client whose
 * bytes wait to be read. */
static void
test_no_deadlock (void)
{
  fixture_t fixture;
  size_t completed = 0;

  set_up (&fixture);
  for (size_t i = 0; i < 30; i++)
    add_peer (&fixture, i, 0, 450 * KB)->has_input = true;
  for (unsigned round = 0; round < 1000 && completed < 30; round++)
    {
      pass (&fixture, FB_SETTLE_INTERVAL);
      for (size_t i = 0; i < 30; i++)
        {
          peer_t *peer = &fixture.peers[i];

          g_assert_false (peer->closed);
          if (!peer->holder.account || peer->paused)
            continue;
          fb_count_progress (&peer->holder, 50 * KB, fixture.now);
          fb_hold (&peer->holder, FB_HELD_BODY, peer->holder.total + 50 * KB);
          if (peer->holder.total >= MB)
            {
              fb_remove_holder (&peer->holder);
              completed++;
            }
          else
            fb_check_pause (&peer->holder);
        }
    }
  g_assert_cmpuint (completed, ==, 30);
  tear_down (&fixture);
}

/* Guards against stalled clients that keep the account short for ever. */
static void
test_end_of_pressure (void)
{
  fixture_t fixture;
  peer_t *waiting;

  set_up (&fixture);
  for (size_t i = 0; i < 14; i++)
    add_peer (&fixture, i, 0, 900 * KB);
  waiting = add_peer (&fixture, 20, 0, 100 * KB);
  waiting->has_input = true;
  fb_check_pause (&waiting->holder);
  pass (&fixture, 0);
  for (unsigned round = 0; round < 30; round++)
    {
      fb_count_progress (&waiting->holder, 4 * KB, fixture.now);
      pass (&fixture, FB_SETTLE_INTERVAL);
    }
  g_assert_cmpuint (fb_get_held_total (fixture.account), <, 12 * MB);
  g_assert_false (waiting->closed);
  g_assert_false (waiting->paused);
  tear_down (&fixture);
}

/* Guards against one address that takes the memory of all, and against a share for the host's
 * own connections. */
static void
test_shares (void)
{
  static const struct
  {
    uint64_t client; /* of the peers that hold most */
    bool closed;
  } cases[] = { { 7, true }, { 0, false } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      peer_t *single;
      size_t closed = 0;

      set_up (&fixture);
      single = add_peer (&fixture, 0, 1, 3 * MB);
      pass (&fixture, FB_SECOND);
      for (size_t j = 1; j <= 14; j++)
        add_peer (&fixture, j, cases[i].client, MB);
      pass (&fixture, 0);
      for (size_t j = 1; j <= 14; j++)
        closed += fixture.peers[j].closed;
      g_assert_cmpint (closed > 0, ==, cases[i].closed);
      g_assert_cmpint (single->closed, ==, !cases[i].closed);
      tear_down (&fixture);
    }
}

/* Guards against bytes that stay in the account, or are counted twice, after any sequence. */
static void
test_random (void)
{
  fixture_t fixture;

  set_up (&fixture);
  for (unsigned step = 0; step < 20000; step++)
    {
      size_t number = (size_t)g_test_rand_int_range (0, PEERS_MAX);
      peer_t *peer = &fixture.peers[number];
      fb_holder_t *holder = &peer->holder;
      size_t sum = 0;

      if (!holder->account)
        add_peer (&fixture, number, (uint64_t)g_test_rand_int_range (0, 4), 0);
      else
        switch (g_test_rand_int_range (0, 6))
          {
          case 0:
            fb_remove_holder (holder);
            break;
          case 1:
            fb_set_peer_turn (holder, g_test_rand_int_range (0, 2), fixture.now);
            break;
          case 2:
            fb_count_progress (holder, (size_t)g_test_rand_int_range (0, 4096), fixture.now);
            break;
          case 3:
            pass (&fixture, FB_SETTLE_INTERVAL);
            g_assert_cmpuint (fb_get_held_total (fixture.account), <=, BUDGET + 64 * MB);
            break;
          default:
            fb_hold (holder, (fb_held_kind_t)g_test_rand_int_range (0, FB_HELD_KINDS),
                     (size_t)g_test_rand_int_range (0, (int)(2 * MB)));
          }
      for (size_t i = 0; i < PEERS_MAX; i++)
        sum += fixture.peers[i].holder.account ? fixture.peers[i].holder.total : 0;
      g_assert_cmpuint (sum, ==, fb_get_held_total (fixture.account));
    }
  tear_down (&fixture);
}

/* Guards against a peer that is paused for its client's share, before the account is short, and
 * is never read again: nobody settles the account. */
static void
test_paused_share (void)
{
  fixture_t fixture;
  peer_t *peer;

  set_up (&fixture);
  peer = add_peer (&fixture, 0, 7, 5 * MB);
  add_peer (&fixture, 1, 8, 9 * MB / 2);
  g_assert_cmpuint (fixture.shortages, ==, 0);
  fb_check_pause (&peer->holder);
  g_assert_true (peer->paused);
  g_assert_cmpuint (fixture.shortages, ==, 1);
  fb_remove_holder (&fixture.peers[1].holder);
  pass (&fixture, 0);
  g_assert_false (peer->paused);
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/account/calm", test_calm);
  g_test_add_func ("/account/pause", test_pause);
  g_test_add_func ("/account/refuse", test_refuse);
  g_test_add_func ("/account/close-order", test_close_order);
  g_test_add_func ("/account/handled", test_handled);
  g_test_add_func ("/account/no-deadlock", test_no_deadlock);
  g_test_add_func ("/account/end-of-pressure", test_end_of_pressure);
  g_test_add_func ("/account/shares", test_shares);
  g_test_add_func ("/account/paused-share", test_paused_share);
  g_test_add_func ("/account/random", test_random);
  return g_test_run ();
}
