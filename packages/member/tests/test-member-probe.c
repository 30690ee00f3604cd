/* What one membership table sends: probes, gossip and announcements. */
#include "fixture-bed.h"

/* Guards against a paused node that declares everyone dead when it wakes up; and, so that the
 * first half can fail, against members that never die. */
static void
test_pause (void)
{
  bed_t bed;

  bed_open (&bed, 8);
  bed_run (&bed, 2 * FB_SECOND);
  for (unsigned i = 1; i <= 4; i++)
    bed_deliver_update (&bed, FW_GOSSIP, bed_make_member (i + 1, 5, FW_SUSPECT));
  fb_advance_clock (bed.clock, 30 * FB_SECOND);
  fm_tick (bed.table);
  bed_run (&bed, 3 * FB_SECOND);
  g_assert_cmpuint (fm_count_members (bed.table, FW_DEAD), ==, 0);
  bed_run (&bed, 60 * FB_SECOND);
  g_assert_cmpuint (fm_count_members (bed.table, FW_ALIVE), ==, 1);
  bed_close (&bed);
}

/* Guards against updates that circulate for ever or die out at once (3 + log2 (33) copies are
 * sent), copies that go to one member again and again, and a member whose list differs and who
 * is not told of what has changed lately. */
static void
test_transmissions (void)
{
  fw_member_t joined = bed_make_member (40, 5, FW_ALIVE);
  fw_datagram_t ping = { .kind = FW_PING, .sender = bed_make_member (1, 5, FW_ALIVE) };
  bool seen[PEERS_MAX] = { false };
  guint copies = 0;
  bed_t bed;

  bed_open (&bed, 31);
  bed_run (&bed, 2 * FB_SECOND);
  bed_deliver_update (&bed, FW_GOSSIP, joined);
  g_array_set_size (bed.sent, 0);
  g_array_set_size (bed.ports, 0);
  bed_run_answered (&bed, 3 * FB_SECOND, NULL);
  for (guint i = 0; i < bed.sent->len; i++)
    {
      unsigned port = g_array_index (bed.ports, uint16_t, i);
      if (!bed_is_told (bed_get_sent (&bed, i), &joined))
        continue;
      copies++;
      g_assert_false (bed_get_sent (&bed, i)->kind == FW_GOSSIP && seen[port]);
      seen[port] = seen[port] || bed_get_sent (&bed, i)->kind == FW_GOSSIP;
    }
  g_assert_cmpuint (copies, ==, FM_TRANSMITS_BASE + 6);
  ping.members_digest = fm_digest_members (bed.table);
  bed_deliver (&bed, &ping);
  g_assert_false (bed_is_told (bed_get_last (&bed), &joined));
  ping.members_digest++;
  bed_deliver (&bed, &ping);
  g_assert_true (bed_is_told (bed_get_last (&bed), &joined));
  bed_close (&bed);
}

/* Counts the pings sent to members that are not dead. */
static guint
count_probes (const bed_t *bed)
{
  guint count = 0;

  for (guint i = 0; i < bed->sent->len; i++)
    {
      fw_member_t dead = { .id = bed_get_sent (bed, i)->target, .state = FW_DEAD };
      count += bed_get_sent (bed, i)->kind == FW_PING
               && !bed_is_told (bed_get_sent (bed, i), &dead);
    }
  return count;
}

/* Guards against members that are probed more often than others, timeouts that ignore local
 * health or grow without a limit, and a list's hint that does not lead to a probe. */
static void
test_schedule (void)
{
  static const unsigned gaps[] = { 1, 2, 3, 4, 4 };
  unsigned pings[PEERS_MAX] = { 0 };
  bed_t bed;

  bed_open (&bed, 8);
  bed_run_answered (&bed, 17 * FB_SECOND, NULL);
  for (guint i = 0, probes = 0; probes < 16; i++)
    if (bed_get_sent (&bed, i)->kind == FW_PING)
      {
        probes++;
        pings[g_array_index (bed.ports, uint16_t, i)]++;
      }
  for (unsigned i = 1; i <= 8; i++)
    g_assert_cmpuint (pings[i], ==, 2);
  for (unsigned i = 1; i <= 8; i++)
    {
      fw_member_t hint = bed_make_member (i, 5, FW_DEAD);
      fm_merge_members (bed.table, &hint, 1);
      g_array_set_size (bed.sent, 0);
      bed_run_answered (&bed, FB_SECOND, NULL);
      g_assert_cmpuint (count_probes (&bed), ==, 1);
      for (guint j = 0; j < bed.sent->len; j++)
        g_assert_true (bed_get_sent (&bed, j)->kind != FW_PING
                       || fb_equal_name (&bed_get_sent (&bed, j)->target, &hint.id));
    }
  g_array_set_size (bed.sent, 0);
  while (bed_count_sent (&bed, FW_PING) == 0)
    bed_run (&bed, 100 * FB_MILLISECOND);
  for (size_t i = 0; i < G_N_ELEMENTS (gaps); i++)
    {
      bed_run (&bed, gaps[i] * FB_SECOND - 100 * FB_MILLISECOND);
      g_assert_cmpuint (count_probes (&bed), ==, i + 1);
      bed_run (&bed, 100 * FB_MILLISECOND);
      g_assert_cmpuint (count_probes (&bed), ==, i + 2);
    }
  bed_close (&bed);
}

/* Guards against sides of a healed partition that never call each other, accused members that
 * are pinged without a word of it, and a leaving member that is taken for dead while it still
 * speaks, or that never dies once it is silent.
 */
static void
test_silent_member (void)
{
  fw_datagram_t gossip = { .kind = FW_GOSSIP };
  fw_member_t member = bed_make_member (2, 5, FW_LEAVING);
  guint told[FW_DEAD + 1] = { 0 };
  bed_t bed;

  bed_open (&bed, 3);
  bed_deliver_update (&bed, FW_GOSSIP, member);
  gossip.sender = member;
  for (unsigned second = 0; second < 30; second++)
    {
      gossip.members_digest = fm_digest_members (bed.table);
      bed_deliver (&bed, &gossip);
      bed_run_answered (&bed, FB_SECOND, member.id.data);
      g_assert_cmpint (fm_find_member (bed.table, &member.id)->state, ==, FW_LEAVING);
    }
  bed_run_answered (&bed, 20 * FB_SECOND, member.id.data);
  g_assert_cmpint (fm_find_member (bed.table, &member.id)->state, ==, FW_DEAD);
  bed_deliver_update (&bed, FW_GOSSIP, bed_make_member (2, 6, FW_ALIVE));
  bed_run_answered (&bed, 20 * FB_SECOND, member.id.data);
  member = *fm_find_member (bed.table, &member.id);
  g_assert_cmpint (member.state, ==, FW_DEAD);
  g_array_set_size (bed.sent, 0);
  bed_run_answered (&bed, 10 * FB_SECOND, member.id.data);
  bed_deliver_update (&bed, FW_GOSSIP, bed_make_member (2, 7, FW_SUSPECT));
  bed_run_answered (&bed, 3900 * FB_MILLISECOND, member.id.data);
  for (guint i = 0; i < bed.sent->len; i++)
    if (bed_get_sent (&bed, i)->kind == FW_PING
        && fb_equal_name (&bed_get_sent (&bed, i)->target, &member.id))
      {
        g_assert_cmpuint (bed_get_sent (&bed, i)->update_count, >=, 1);
        told[bed_get_sent (&bed, i)->updates[0].state]++;
      }
  g_assert_cmpuint (told[FW_DEAD], >=, 3);
  g_assert_cmpuint (told[FW_SUSPECT], >=, 1);
  bed_close (&bed);
}

/* Guards against a helper that does not forward the ack, or does so for another member's ack.
 */
static void
test_relay (void)
{
  fw_datagram_t request = { .kind = FW_PING_REQ, .sequence = 9 };
  fw_datagram_t ack = { .kind = FW_ACK };
  bed_t bed;

  bed_open (&bed, 3);
  request.sender = bed_make_member (1, 5, FW_ALIVE);
  request.target = bed_make_member (2, 5, FW_ALIVE).id;
  bed_deliver (&bed, &request);
  g_assert_cmpint (bed_get_last (&bed)->kind, ==, FW_PING);
  ack.sequence = bed_get_last (&bed)->sequence;
  ack.members_digest = fm_digest_members (bed.table);
  ack.sender = bed_make_member (3, 5, FW_ALIVE);
  bed_deliver (&bed, &ack);
  g_assert_cmpuint (bed.sent->len, ==, 1);
  ack.sender = bed_make_member (2, 5, FW_ALIVE);
  bed_deliver (&bed, &ack);
  bed_deliver (&bed, &ack);
  g_assert_cmpuint (bed.sent->len, ==, 2);
  g_assert_cmpint (bed_get_last (&bed)->kind, ==, FW_ACK);
  g_assert_cmpuint (bed_get_last (&bed)->sequence, ==, 9);
  g_assert_true (fb_equal_name (&bed_get_last (&bed)->target, &request.target));
  g_assert_cmpuint (g_array_index (bed.ports, uint16_t, 1), ==, 1);
  bed_close (&bed);
}

/* Guards against a probe that ends on the word of another process at the target's address, that
 * never asks helpers or ignores them, and that blames a restarted member for its predecessor.
 */
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
      bed_t bed;
      bed_open (&bed, 5);
      while (bed_count_sent (&bed, FW_PING) == 0)
        bed_run (&bed, 100 * FB_MILLISECOND);
      for (guint j = 0; j < bed.sent->len; j++)
        if (bed_get_sent (&bed, j)->kind == FW_PING)
          {
            target = bed_get_sent (&bed, j)->target;
            ack.sequence = bed_get_sent (&bed, j)->sequence;
          }
      bed_run (&bed, 500 * FB_MILLISECOND);
      g_assert_cmpuint (bed_count_sent (&bed, FW_PING_REQ), ==, 3);
      ack.sender = *fm_find_member (bed.table, &target);
      if (cases[i].wrong_id || !cases[i].direct)
        ack.sender = bed_make_member (50, 5, FW_ALIVE);
      if (!cases[i].direct)
        ack.target = target;
      if (cases[i].restarted)
        {
          fw_member_t restarted = *fm_find_member (bed.table, &target);
          restarted.incarnation++;
          bed_deliver_update (&bed, FW_GOSSIP, restarted);
        }
      bed_deliver (&bed, &ack);
      bed_run (&bed, 600 * FB_MILLISECOND);
      g_assert_cmpint (fm_find_member (bed.table, &target)->state, ==, cases[i].expected);
      bed_close (&bed);
    }
}

/* Guards against announcements that stay in one zone or go to one member twice. */
static void
test_announce (void)
{
  fb_version_t version = { .number = 3 };
  bed_t bed;

  bed_open (&bed, 30);
  fm_set_version (bed.table, &version);
  for (unsigned round = 0; round < 20; round++)
    {
      bool seen[PEERS_MAX] = { false };
      unsigned placed[3] = { 0 };
      g_array_set_size (bed.sent, 0);
      g_array_set_size (bed.ports, 0);
      fm_announce_version (bed.table);
      g_assert_cmpuint (bed.sent->len, ==, 4);
      for (guint i = 0; i < 4; i++)
        {
          unsigned port = g_array_index (bed.ports, uint16_t, i);
          g_assert_cmpuint (bed_get_sent (&bed, i)->version.number, ==, 3);
          g_assert_false (seen[port]);
          seen[port] = true;
          placed[port % 3]++;
        }
      g_assert_cmpuint (placed[0], ==, 2);
      g_assert_cmpuint (placed[1], ==, 1);
      g_assert_cmpuint (placed[2], ==, 1);
    }
  bed_close (&bed);
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
