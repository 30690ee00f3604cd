/* Rules for applying datagrams and lists to one membership table. */
#include "fixture-table.h"

/* Guards against updates about this node that change more than its incarnation, and a
 * refutation that makes a leaving node alive. */
static void
test_refute (void)
{
  static const struct
  {
    bool leaving;
    fw_member_state_t state;
    uint64_t incarnation;
    uint64_t expected;
  } cases[] = {
    { false, FW_ALIVE, 5, 5 },         { false, FW_SUSPECT, 4, 5 },
    { false, FW_SUSPECT, 5, 6 },       { false, FW_DEAD, 9, 10 },
    { false, FW_LEAVING, 5, 5 },       { false, FW_ALIVE, 7, 8 },
    { true, FW_SUSPECT, 5, 5 },        { true, FW_DEAD, 5, 6 },
    { true, FW_SUSPECT, 6, 7 },        { false, FW_DEAD, FM_INCARNATION_MAX, 5 },
    { false, FW_DEAD, UINT64_MAX, 5 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      fixture_open (&fixture, 3);
      if (cases[i].leaving)
        fm_announce_leaving (fixture.table);
      fixture_deliver_update (&fixture, FW_GOSSIP,
                              fixture_make_member (99, cases[i].incarnation, cases[i].state));
      g_assert_cmpuint (fm_get_self (fixture.table)->incarnation, ==, cases[i].expected);
      g_assert_cmpint (fm_get_self (fixture.table)->state, ==,
                       cases[i].leaving ? FW_LEAVING : FW_ALIVE);
      fixture_close (&fixture);
    }
}

/* Guards against old updates that make dead members alive or leaving members available again,
 * deaths that leave no time to refute, and lists that spread the deaths of a partition. */
static void
test_override (void)
{
  static const struct
  {
    fw_member_state_t current;
    uint64_t incarnation;
    fw_member_state_t state;
    bool list;
    fw_member_state_t expected;
  } cases[] = {
    { FW_DEAD, 5, FW_ALIVE, false, FW_DEAD },
    { FW_DEAD, 4, FW_ALIVE, true, FW_DEAD },
    { FW_DEAD, 6, FW_ALIVE, false, FW_ALIVE },
    { FW_LEAVING, 5, FW_ALIVE, false, FW_LEAVING },
    { FW_LEAVING, 5, FW_SUSPECT, false, FW_LEAVING },
    { FW_LEAVING, 6, FW_ALIVE, false, FW_ALIVE },
    { FW_LEAVING, 5, FW_DEAD, false, FW_DEAD },
    { FW_ALIVE, 5, FW_DEAD, false, FW_SUSPECT },
    { FW_ALIVE, 5, FW_DEAD, true, FW_ALIVE },
    { FW_SUSPECT, 5, FW_DEAD, false, FW_DEAD },
    { FW_SUSPECT, 5, FW_ALIVE, false, FW_SUSPECT },
    { FW_SUSPECT, 6, FW_ALIVE, false, FW_ALIVE },
    { FW_SUSPECT, UINT64_MAX, FW_ALIVE, false, FW_SUSPECT },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_member_t update = fixture_make_member (2, cases[i].incarnation, cases[i].state);
      fixture_t fixture;
      fixture_open (&fixture, 2);
      if (cases[i].current == FW_DEAD)
        fixture_deliver_update (&fixture, FW_GOSSIP, fixture_make_member (2, 5, FW_SUSPECT));
      fixture_deliver_update (&fixture, FW_GOSSIP,
                              fixture_make_member (2, 5, cases[i].current));
      if (cases[i].list)
        fm_merge_members (fixture.table, &update, 1);
      else
        fixture_deliver_update (&fixture, FW_GOSSIP, update);
      g_assert_cmpint (fm_find_member (fixture.table, &update.id)->state, ==,
                       cases[i].expected);
      fixture_close (&fixture);
    }
}

/* Guards against a suspect, leaving or outdated sender that gets no overriding entry in the
 * reply, and its datagram changing that entry without a refutation. */
static void
test_overridden_sender (void)
{
  static const struct
  {
    fw_member_state_t state;
    uint64_t incarnation; /* of the sender; that of the entry is 5 */
  } cases[] = { { FW_SUSPECT, 5 }, { FW_LEAVING, 5 }, { FW_LEAVING, 3 }, { FW_ALIVE, 3 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_datagram_t ping = { .kind = FW_PING, .sequence = 7 };
      fw_member_t entry = fixture_make_member (2, 5, cases[i].state);
      fixture_t fixture;
      fixture_open (&fixture, 2);
      fixture_deliver_update (&fixture, FW_GOSSIP, entry);
      fixture_run (&fixture, 10 * 100 * FB_MILLISECOND);
      ping.sender = fixture_make_member (2, cases[i].incarnation, FW_ALIVE);
      g_assert_cmpint (fixture_deliver (&fixture, &ping), ==, FB_OK);
      g_assert_cmpint (fm_find_member (fixture.table, &entry.id)->state, ==, entry.state);
      g_assert_cmpint (fixture_get_last_sent (&fixture)->kind, ==, FW_ACK);
      g_assert_cmpuint (fixture_get_last_sent (&fixture)->sequence, ==, 7);
      g_assert_true (
          fb_equal_name (&fixture_get_last_sent (&fixture)->updates[0].id, &entry.id));
      g_assert_cmpint (fixture_get_last_sent (&fixture)->updates[0].state, ==, entry.state);
      fixture_close (&fixture);
    }
}

/* Guards against outdated updates that cause many replies, and two processes with one id
 * that refute each other endlessly. */
static void
test_reply_limits (void)
{
  fw_datagram_t gossip = { .kind = FW_GOSSIP, .update_count = 12 };
  uint64_t incarnation;
  fixture_t fixture;

  fixture_open (&fixture, 20);
  fixture_run (&fixture, FB_SECOND);
  gossip.sender = fixture_make_member (1, 5, FW_ALIVE);
  for (unsigned i = 0; i < gossip.update_count; i++)
    gossip.updates[i] = fixture_make_member (i + 2, 4, FW_DEAD);
  g_array_set_size (fixture.sent, 0);
  for (unsigned i = 0; i < 10; i++)
    fixture_deliver (&fixture, &gossip);
  g_assert_cmpuint (fixture.sent->len, ==, 1);
  g_assert_cmpuint (fixture_get_last_sent (&fixture)->update_count, >=, 1);
  for (unsigned i = 0; i < 100; i++)
    {
      incarnation = fm_get_self (fixture.table)->incarnation;
      fixture_deliver_update (&fixture, FW_GOSSIP,
                              fixture_make_member (99, incarnation + 1, FW_ALIVE));
    }
  g_assert_cmpuint (fm_get_self (fixture.table)->incarnation, ==, 7);
  fixture_close (&fixture);
}

/* Guards against undetected differing lists, and list exchanges caused by spreading updates
 * or too frequent. */
static void
test_divergence (void)
{
  fw_datagram_t gossip = { .kind = FW_GOSSIP };
  fixture_t fixture;

  fixture_open (&fixture, 3);
  fixture_run (&fixture, 100 * FB_MILLISECOND);
  gossip.sender = fixture_make_member (1, 5, FW_ALIVE);
  for (unsigned second = 0; second < 30; second++)
    {
      gossip.members_digest = second < 4 ? 1 : fm_digest_members (fixture.table);
      fixture_deliver (&fixture, &gossip);
      fb_advance_clock (fixture.clock, FB_SECOND);
    }
  g_assert_cmpuint (fixture.divergences, ==, 0);
  gossip.members_digest = 1;
  for (unsigned second = 0; second < 26; second++)
    {
      fixture_deliver (&fixture, &gossip);
      fb_advance_clock (fixture.clock, FB_SECOND);
    }
  g_assert_cmpuint (fixture.divergences, ==, 3);
  fixture_close (&fixture);
}

/* Guards against invalid sender descriptions, unknown dead members being added, which
 * tables would send to each other forever, and host list entries that become members before
 * answering a ping. */
static void
test_invalid_sender (void)
{
  fw_datagram_t ping = { .kind = FW_PING };
  fw_member_t host = fixture_make_member (9, 0, FW_ALIVE);
  fixture_t fixture;

  fixture_open (&fixture, 2);
  ping.sender = fixture_make_member (3, 5, FW_DEAD);
  g_assert_cmpint (fixture_deliver (&fixture, &ping), ==, FB_INVALID);
  ping.sender = fixture_make_member (3, 5, FW_ALIVE);
  ping.sender.control_port = 0;
  g_assert_cmpint (fixture_deliver (&fixture, &ping), ==, FB_INVALID);
  g_assert_cmpint (fm_handle_datagram (fixture.table, (fb_bytes_t){ (const uint8_t *)"x", 1 }),
                   ==, FB_INVALID);
  g_assert_cmpuint (
      fb_get_counter (fb_find_counter (fixture.counters, "member_malformed_total", "")), ==, 3);
  g_assert_cmpuint (fixture.sent->len, ==, 0);
  fixture_deliver_update (&fixture, FW_GOSSIP, fixture_make_member (9, 5, FW_DEAD));
  g_assert_null (fm_find_member (fixture.table, &host.id));
  fm_merge_members (fixture.table, &host, 1);
  g_assert_null (fm_find_member (fixture.table, &host.id));
  g_assert_cmpint (fixture_get_last_sent (&fixture)->kind, ==, FW_PING);
  g_assert_cmpuint (g_array_index (fixture.ports, uint16_t, fixture.ports->len - 1), ==, 9);
  fixture_close (&fixture);
}

/* Guards against a host that stays alive although the host list requires it to leave, and a
 * refutation of that. */
static void
test_host_list_leaving (void)
{
  fixture_t fixture;
  fw_member_t peer = fixture_make_member (2, 5, FW_LEAVING);
  fw_member_t self = fixture_make_member (99, 5, FW_LEAVING);
  fw_member_t older = fixture_make_member (99, 4, FW_LEAVING);

  fixture_open (&fixture, 4);
  fm_mark_leaving (fixture.table, &peer.id);
  g_assert_cmpint (fm_find_member (fixture.table, &peer.id)->state, ==, FW_LEAVING);
  fixture_run (&fixture, 200 * FB_MILLISECOND);
  g_assert_true (fixture_carries_member (fixture_get_last_sent (&fixture), &peer));
  fixture_deliver_update (&fixture, FW_GOSSIP, older);
  g_assert_cmpuint (fixture.leave_requests, ==, 0);
  fixture_deliver_update (&fixture, FW_GOSSIP, self);
  g_assert_cmpuint (fixture.leave_requests, ==, 1);
  g_assert_cmpuint (fm_get_self (fixture.table)->incarnation, ==, 5);
  fm_mark_leaving (fixture.table, &self.id);
  g_assert_cmpuint (fixture.leave_requests, ==, 2);
  fm_announce_leaving (fixture.table);
  fixture_deliver_update (&fixture, FW_GOSSIP, self);
  g_assert_cmpuint (fixture.leave_requests, ==, 2);
  fixture_close (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/refute", test_refute);
  g_test_add_func ("/member/override", test_override);
  g_test_add_func ("/member/overridden-sender", test_overridden_sender);
  g_test_add_func ("/member/reply-limits", test_reply_limits);
  g_test_add_func ("/member/divergence", test_divergence);
  g_test_add_func ("/member/invalid-sender", test_invalid_sender);
  g_test_add_func ("/member/host-list-leaving", test_host_list_leaving);
  return g_test_run ();
}
