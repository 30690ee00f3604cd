/* Probes, gossip and announcements sent by one membership table. */
#include "fixture-table.h"

/* Guards against a node that declares all members dead after a pause, and silent members
 * never declared dead, when the first check could not fail. */
static void
test_pause (void)
{
  fixture_t fixture;

  fixture_open (&fixture, 8);
  fixture_run (&fixture, 2 * FB_SECOND);
  for (unsigned i = 1; i <= 4; i++)
    fixture_deliver_update (&fixture, FW_GOSSIP, fixture_make_member (i + 1, 5, FW_SUSPECT));
  fb_advance_clock (fixture.clock, 30 * FB_SECOND);
  fm_tick (fixture.table);
  fixture_run (&fixture, 3 * FB_SECOND);
  g_assert_cmpuint (fm_count_members (fixture.table, FW_DEAD), ==, 0);
  fixture_run (&fixture, 60 * FB_SECOND);
  g_assert_cmpuint (fm_count_members (fixture.table, FW_ALIVE), ==, 1);
  fixture_close (&fixture);
}

/* Guards against updates that circulate forever or are sent too rarely (3 + log2 (33)
 * copies are expected), repeated copies to one member, and recent changes not sent to a member
 * whose list differs. */
static void
test_transmissions (void)
{
  fw_member_t joined = fixture_make_member (40, 5, FW_ALIVE);
  fw_datagram_t ping = { .kind = FW_PING, .sender = fixture_make_member (1, 5, FW_ALIVE) };
  bool seen[PEERS_MAX] = { false };
  guint copies = 0;
  fixture_t fixture;

  fixture_open (&fixture, 31);
  fixture_run (&fixture, 2 * FB_SECOND);
  fixture_deliver_update (&fixture, FW_GOSSIP, joined);
  g_array_set_size (fixture.sent, 0);
  g_array_set_size (fixture.ports, 0);
  fixture_run_answering (&fixture, 3 * FB_SECOND, NULL);
  for (guint i = 0; i < fixture.sent->len; i++)
    {
      unsigned port = g_array_index (fixture.ports, uint16_t, i);
      if (!fixture_carries_member (fixture_get_sent (&fixture, i), &joined))
        continue;
      copies++;
      g_assert_false (fixture_get_sent (&fixture, i)->kind == FW_GOSSIP && seen[port]);
      seen[port] = seen[port] || fixture_get_sent (&fixture, i)->kind == FW_GOSSIP;
    }
  g_assert_cmpuint (copies, ==, FM_BASE_TRANSMISSIONS + 6);
  ping.members_digest = fm_digest_members (fixture.table);
  fixture_deliver (&fixture, &ping);
  g_assert_false (fixture_carries_member (fixture_get_last_sent (&fixture), &joined));
  ping.members_digest++;
  fixture_deliver (&fixture, &ping);
  g_assert_true (fixture_carries_member (fixture_get_last_sent (&fixture), &joined));
  fixture_close (&fixture);
}

/* Counts the pings sent to members that are not dead. */
static guint
count_probes (const fixture_t *fixture)
{
  guint count = 0;

  for (guint i = 0; i < fixture->sent->len; i++)
    {
      fw_member_t dead = { .id = fixture_get_sent (fixture, i)->target, .state = FW_DEAD };
      count += fixture_get_sent (fixture, i)->kind == FW_PING
               && !fixture_carries_member (fixture_get_sent (fixture, i), &dead);
    }
  return count;
}

/* Guards against members probed more often than others, timeouts that ignore local health
 * or grow without limit, and deaths in a peer's list without a probe. */
static void
test_schedule (void)
{
  static const unsigned gaps[] = { 1, 2, 3, 4, 4 };
  unsigned pings[PEERS_MAX] = { 0 };
  fixture_t fixture;

  fixture_open (&fixture, 8);
  fixture_run_answering (&fixture, 17 * FB_SECOND, NULL);
  for (guint i = 0, probes = 0; probes < 16; i++)
    if (fixture_get_sent (&fixture, i)->kind == FW_PING)
      {
        probes++;
        pings[g_array_index (fixture.ports, uint16_t, i)]++;
      }
  for (unsigned i = 1; i <= 8; i++)
    g_assert_cmpuint (pings[i], ==, 2);
  for (unsigned i = 1; i <= 8; i++)
    {
      fw_member_t hint = fixture_make_member (i, 5, FW_DEAD);
      fm_merge_members (fixture.table, &hint, 1);
      g_array_set_size (fixture.sent, 0);
      fixture_run_answering (&fixture, FB_SECOND, NULL);
      g_assert_cmpuint (count_probes (&fixture), ==, 1);
      for (guint j = 0; j < fixture.sent->len; j++)
        g_assert_true (fixture_get_sent (&fixture, j)->kind != FW_PING
                       || fb_equal_name (&fixture_get_sent (&fixture, j)->target, &hint.id));
    }
  g_array_set_size (fixture.sent, 0);
  while (fixture_count_sent (&fixture, FW_PING) == 0)
    fixture_run (&fixture, 100 * FB_MILLISECOND);
  for (size_t i = 0; i < G_N_ELEMENTS (gaps); i++)
    {
      fixture_run (&fixture, gaps[i] * FB_SECOND - 100 * FB_MILLISECOND);
      g_assert_cmpuint (count_probes (&fixture), ==, i + 1);
      fixture_run (&fixture, 100 * FB_MILLISECOND);
      g_assert_cmpuint (count_probes (&fixture), ==, i + 2);
    }
  fixture_close (&fixture);
}

/* Guards against sides of a healed partition that never ping each other, pings to suspect
 * or dead members without that state, and leaving members declared dead while they still send,
 * or never once silent. */
static void
test_silent_member (void)
{
  fw_datagram_t gossip = { .kind = FW_GOSSIP };
  fw_member_t member = fixture_make_member (2, 5, FW_LEAVING);
  guint state_updates[FW_DEAD + 1] = { 0 };
  fixture_t fixture;

  fixture_open (&fixture, 3);
  fixture_deliver_update (&fixture, FW_GOSSIP, member);
  gossip.sender = member;
  for (unsigned second = 0; second < 30; second++)
    {
      gossip.members_digest = fm_digest_members (fixture.table);
      fixture_deliver (&fixture, &gossip);
      fixture_run_answering (&fixture, FB_SECOND, member.id.data);
      g_assert_cmpint (fm_find_member (fixture.table, &member.id)->state, ==, FW_LEAVING);
    }
  fixture_run_answering (&fixture, 20 * FB_SECOND, member.id.data);
  g_assert_cmpint (fm_find_member (fixture.table, &member.id)->state, ==, FW_DEAD);
  fixture_deliver_update (&fixture, FW_GOSSIP, fixture_make_member (2, 6, FW_ALIVE));
  fixture_run_answering (&fixture, 20 * FB_SECOND, member.id.data);
  member = *fm_find_member (fixture.table, &member.id);
  g_assert_cmpint (member.state, ==, FW_DEAD);
  g_array_set_size (fixture.sent, 0);
  fixture_run_answering (&fixture, 10 * FB_SECOND, member.id.data);
  fixture_deliver_update (&fixture, FW_GOSSIP, fixture_make_member (2, 7, FW_SUSPECT));
  fixture_run_answering (&fixture, 3900 * FB_MILLISECOND, member.id.data);
  for (guint i = 0; i < fixture.sent->len; i++)
    if (fixture_get_sent (&fixture, i)->kind == FW_PING
        && fb_equal_name (&fixture_get_sent (&fixture, i)->target, &member.id))
      {
        g_assert_cmpuint (fixture_get_sent (&fixture, i)->update_count, >=, 1);
        state_updates[fixture_get_sent (&fixture, i)->updates[0].state]++;
      }
  g_assert_cmpuint (state_updates[FW_DEAD], >=, 3);
  g_assert_cmpuint (state_updates[FW_SUSPECT], >=, 1);
  fixture_close (&fixture);
}

/* Guards against a requested node that does not forward the target's ack, or forwards
 * another member's. */
static void
test_relay (void)
{
  fw_datagram_t request = { .kind = FW_PING_REQ, .sequence = 9 };
  fw_datagram_t ack = { .kind = FW_ACK };
  fixture_t fixture;

  fixture_open (&fixture, 3);
  request.sender = fixture_make_member (1, 5, FW_ALIVE);
  request.target = fixture_make_member (2, 5, FW_ALIVE).id;
  fixture_deliver (&fixture, &request);
  g_assert_cmpint (fixture_get_last_sent (&fixture)->kind, ==, FW_PING);
  ack.sequence = fixture_get_last_sent (&fixture)->sequence;
  ack.members_digest = fm_digest_members (fixture.table);
  ack.sender = fixture_make_member (3, 5, FW_ALIVE);
  fixture_deliver (&fixture, &ack);
  g_assert_cmpuint (fixture.sent->len, ==, 1);
  ack.sender = fixture_make_member (2, 5, FW_ALIVE);
  fixture_deliver (&fixture, &ack);
  fixture_deliver (&fixture, &ack);
  g_assert_cmpuint (fixture.sent->len, ==, 2);
  g_assert_cmpint (fixture_get_last_sent (&fixture)->kind, ==, FW_ACK);
  g_assert_cmpuint (fixture_get_last_sent (&fixture)->sequence, ==, 9);
  g_assert_true (fb_equal_name (&fixture_get_last_sent (&fixture)->target, &request.target));
  g_assert_cmpuint (g_array_index (fixture.ports, uint16_t, 1), ==, 1);
  fixture_close (&fixture);
}

/* Guards against probes that accept the ack of another process at the target's address, that
 * send no indirect pings or ignore forwarded acks, and that suspect a restarted member for a
 * ping to its earlier incarnation. */
static void
test_probe (void)
{
  static const struct
  {
    bool direct;
    bool wrong_id;
    bool restarted;
    fw_member_state_t expected;
  } cases[] = { { true, false, false, FW_ALIVE },
                { true, true, false, FW_SUSPECT },
                { false, false, false, FW_ALIVE },
                { true, true, true, FW_ALIVE } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_datagram_t ack = { .kind = FW_ACK };
      fb_name_t target = { 0 };
      fixture_t fixture;
      fixture_open (&fixture, 5);
      while (fixture_count_sent (&fixture, FW_PING) == 0)
        fixture_run (&fixture, 100 * FB_MILLISECOND);
      for (guint j = 0; j < fixture.sent->len; j++)
        if (fixture_get_sent (&fixture, j)->kind == FW_PING)
          {
            target = fixture_get_sent (&fixture, j)->target;
            ack.sequence = fixture_get_sent (&fixture, j)->sequence;
          }
      fixture_run (&fixture, 500 * FB_MILLISECOND);
      g_assert_cmpuint (fixture_count_sent (&fixture, FW_PING_REQ), ==, 3);
      ack.sender = *fm_find_member (fixture.table, &target);
      if (cases[i].wrong_id || !cases[i].direct)
        ack.sender = fixture_make_member (50, 5, FW_ALIVE);
      if (!cases[i].direct)
        ack.target = target;
      if (cases[i].restarted)
        {
          fw_member_t restarted = *fm_find_member (fixture.table, &target);
          restarted.incarnation++;
          fixture_deliver_update (&fixture, FW_GOSSIP, restarted);
        }
      fixture_deliver (&fixture, &ack);
      fixture_run (&fixture, 600 * FB_MILLISECOND);
      g_assert_cmpint (fm_find_member (fixture.table, &target)->state, ==, cases[i].expected);
      fixture_close (&fixture);
    }
}

/* Guards against announcements that stay in one zone or go twice to one member. */
static void
test_announce (void)
{
  fb_version_t version = { .number = 3 };
  fixture_t fixture;

  fixture_open (&fixture, 30);
  fm_set_version (fixture.table, &version);
  for (unsigned round = 0; round < 20; round++)
    {
      bool seen[PEERS_MAX] = { false };
      unsigned placed[3] = { 0 };
      g_array_set_size (fixture.sent, 0);
      g_array_set_size (fixture.ports, 0);
      fm_announce_version (fixture.table);
      g_assert_cmpuint (fixture.sent->len, ==, 4);
      for (guint i = 0; i < 4; i++)
        {
          unsigned port = g_array_index (fixture.ports, uint16_t, i);
          g_assert_cmpuint (fixture_get_sent (&fixture, i)->version.number, ==, 3);
          g_assert_false (seen[port]);
          seen[port] = true;
          placed[port % 3]++;
        }
      g_assert_cmpuint (placed[0], ==, 2);
      g_assert_cmpuint (placed[1], ==, 1);
      g_assert_cmpuint (placed[2], ==, 1);
    }
  fixture_close (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/pause", test_pause);
  g_test_add_func ("/member/transmissions", test_transmissions);
  g_test_add_func ("/member/schedule", test_schedule);
  g_test_add_func ("/member/silent-member", test_silent_member);
  g_test_add_func ("/member/relay", test_relay);
  g_test_add_func ("/member/probe", test_probe);
  g_test_add_func ("/member/announce", test_announce);
  return g_test_run ();
}
