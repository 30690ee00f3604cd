/* Rules of one membership table, fed with hand-made datagrams on a manual clock. */
#include "member-table.h"

#define PEERS_MAX 64

typedef struct
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  fm_table_t *table;
  GArray *sent; /* fw_datagram_t */
  GArray *ports;
  unsigned diverged;
} bed_t;

static void
record_send (const fb_name_t *address, uint16_t port, fb_bytes_t bytes, void *user)
{
  bed_t *bed = user;
  fw_datagram_t datagram;

  g_assert_cmpint (fw_decode_datagram (bytes, &datagram), ==, FB_OK);
  g_array_append_val (bed->sent, datagram);
  g_array_append_val (bed->ports, port);
}

static void
record_diverged (const fw_member_t *peer, void *user)
{
  ((bed_t *)user)->diverged++;
}

/* Describes peer NUMBER, which listens on port NUMBER. */
static fw_member_t
make_member (unsigned number, uint64_t incarnation, fw_member_state_t state)
{
  fw_member_t member = { .incarnation = incarnation, .state = state };
  char text[16];

  g_snprintf (text, sizeof text, "peer-%02u", number);
  member.id = fb_make_name (text);
  member.address = fb_make_name ("10.0.0.1");
  member.control_port = (uint16_t)number;
  member.region = fb_make_name (number % 3 == 2 ? "east" : "west");
  member.zone = fb_make_name (number % 3 == 0 ? "zone-a" : "zone-b");
  member.service = fb_make_name ("ledger");
  return member;
}

/* Opens a table of peer 99 (zone-a, west) that knows PEERS peers, all alive@5. */
static void
open_bed (bed_t *bed, unsigned peers)
{
  fw_member_t self = make_member (99, 5, FW_ALIVE);
  fm_hooks_t hooks = { record_send, NULL, NULL, record_diverged, bed };

  memset (bed, 0, sizeof *bed);
  bed->clock = fb_create_manual_clock (FB_SECOND);
  bed->counters = fb_create_counters ();
  bed->sent = g_array_new (FALSE, FALSE, sizeof (fw_datagram_t));
  bed->ports = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  bed->table = fm_create_table (&self, NULL, 1, bed->clock, bed->counters, &hooks);
  for (unsigned i = 1; i <= peers; i++)
    {
      fw_member_t peer = make_member (i, 5, FW_ALIVE);
      fm_merge_members (bed->table, &peer, 1);
    }
}

static void
close_bed (bed_t *bed)
{
  fm_destroy_table (bed->table);
  fb_destroy_counters (bed->counters);
  fb_destroy_clock (bed->clock);
  g_array_free (bed->sent, TRUE);
  g_array_free (bed->ports, TRUE);
}

static void
run_bed (bed_t *bed, fb_time_t duration)
{
  for (fb_time_t end = fb_read_clock (bed->clock) + duration; fb_read_clock (bed->clock) < end;)
    {
      fb_advance_clock (bed->clock, 100 * FB_MILLISECOND);
      fm_tick (bed->table);
    }
}

static fb_status_t
deliver (bed_t *bed, const fw_datagram_t *datagram)
{
  uint8_t buffer[FW_DATAGRAM_MAX];
  size_t length;
  size_t fitted;

  g_assert_cmpint (fw_encode_datagram (datagram, buffer, &length, &fitted), ==, FB_OK);
  return fm_handle_datagram (bed->table, (fb_bytes_t){ buffer, length });
}

/* Delivers UPDATE in a datagram from peer 1. */
static void
deliver_update (bed_t *bed, fw_datagram_kind_t kind, fw_member_t update)
{
  fw_datagram_t datagram = { .kind = kind,
                             .sender = make_member (1, 5, FW_ALIVE),
                             .members_digest = fm_digest_members (bed->table),
                             .update_count = 1 };

  datagram.updates[0] = update;
  g_assert_cmpint (deliver (bed, &datagram), ==, FB_OK);
}

static const fw_datagram_t *
get_last (const bed_t *bed)
{
  g_assert_cmpuint (bed->sent->len, >, 0);
  return &g_array_index (bed->sent, fw_datagram_t, bed->sent->len - 1);
}

static const fw_datagram_t *
get_sent (const bed_t *bed, guint index)
{
  return &g_array_index (bed->sent, fw_datagram_t, index);
}

/* Lets time pass while every member but the one called SILENT, which may be NULL, answers
 * pings. */
static void
run_answered (bed_t *bed, fb_time_t duration, const char *silent)
{
  guint seen = bed->sent->len;

  for (; duration > 0; duration -= 100 * FB_MILLISECOND)
    {
      run_bed (bed, 100 * FB_MILLISECOND);
      for (; seen < bed->sent->len; seen++)
        {
          fw_datagram_t ack = { .kind = FW_ACK, .sequence = get_sent (bed, seen)->sequence };
          fb_name_t target = get_sent (bed, seen)->target;
          if (get_sent (bed, seen)->kind != FW_PING || g_strcmp0 (target.data, silent) == 0)
            continue;
          g_assert_nonnull (fm_find_member (bed->table, &target));
          ack.sender = *fm_find_member (bed->table, &target);
          ack.sender.state = FW_ALIVE;
          ack.members_digest = fm_digest_members (bed->table);
          deliver (bed, &ack);
        }
    }
}

static bool
is_told (const fw_datagram_t *datagram, const fw_member_t *member)
{
  for (size_t i = 0; i < datagram->update_count; i++)
    if (fb_equal_name (&datagram->updates[i].id, &member->id)
        && datagram->updates[i].state == member->state)
      return true;
  return false;
}

static guint
count_sent (const bed_t *bed, fw_datagram_kind_t kind)
{
  guint count = 0;

  for (guint i = 0; i < bed->sent->len; i++)
    count += get_sent (bed, i)->kind == kind;
  return count;
}

/* Guards against updates about this node that change it in any way but a higher incarnation,
 * and against a leaving node that becomes alive again by refuting. */
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
    { false, FW_LEAVING, 5, 6 },       { false, FW_ALIVE, 7, 8 },
    { true, FW_SUSPECT, 5, 5 },        { true, FW_DEAD, 5, 6 },
    { true, FW_SUSPECT, 6, 7 },        { false, FW_DEAD, FM_INCARNATION_MAX, 5 },
    { false, FW_DEAD, UINT64_MAX, 5 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      bed_t bed;
      open_bed (&bed, 3);
      if (cases[i].leaving)
        fm_announce_leaving (bed.table);
      deliver_update (&bed, FW_GOSSIP, make_member (99, cases[i].incarnation, cases[i].state));
      g_assert_cmpuint (fm_get_self (bed.table)->incarnation, ==, cases[i].expected);
      g_assert_cmpint (fm_get_self (bed.table)->state, ==,
                       cases[i].leaving ? FW_LEAVING : FW_ALIVE);
      close_bed (&bed);
    }
}

/* Guards against old updates that resurrect, leaving members that return, deaths that leave no
 * time to refute, and lists that carry a partition's deaths over. */
static void
test_override (void)
{
  static const struct
  {
    fw_member_state_t held;
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
      fw_member_t update = make_member (2, cases[i].incarnation, cases[i].state);
      bed_t bed;
      open_bed (&bed, 2);
      if (cases[i].held == FW_DEAD)
        deliver_update (&bed, FW_GOSSIP, make_member (2, 5, FW_SUSPECT));
      deliver_update (&bed, FW_GOSSIP, make_member (2, 5, cases[i].held));
      if (cases[i].list)
        fm_merge_members (bed.table, &update, 1);
      else
        deliver_update (&bed, FW_GOSSIP, update);
      g_assert_cmpint (fm_find_member (bed.table, &update.id)->state, ==, cases[i].expected);
      close_bed (&bed);
    }
}

/* Guards against a paused node that declares everyone dead when it wakes up; and, so that the
 * first half can fail, against members that never die. */
static void
test_pause (void)
{
  bed_t bed;

  open_bed (&bed, 8);
  run_bed (&bed, 2 * FB_SECOND);
  for (unsigned i = 1; i <= 4; i++)
    deliver_update (&bed, FW_GOSSIP, make_member (i + 1, 5, FW_SUSPECT));
  fb_advance_clock (bed.clock, 30 * FB_SECOND);
  fm_tick (bed.table);
  run_bed (&bed, 3 * FB_SECOND);
  g_assert_cmpuint (fm_count_members (bed.table, FW_DEAD), ==, 0);
  run_bed (&bed, 60 * FB_SECOND);
  g_assert_cmpuint (fm_count_members (bed.table, FW_ALIVE), ==, 1);
  close_bed (&bed);
}

/* Guards against a member that is never told of what is held against it, and against its
 * datagram clearing it without a refutation. */
static void
test_accused_sender (void)
{
  static const struct
  {
    fw_member_state_t state;
    uint64_t incarnation; /* of the sender; the accusation is at 5 */
  } cases[] = { { FW_SUSPECT, 5 }, { FW_LEAVING, 5 }, { FW_LEAVING, 3 }, { FW_ALIVE, 3 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fw_datagram_t ping = { .kind = FW_PING, .sequence = 7 };
      fw_member_t held = make_member (2, 5, cases[i].state);
      bed_t bed;
      open_bed (&bed, 2);
      deliver_update (&bed, FW_GOSSIP, held);
      run_bed (&bed, 10 * 100 * FB_MILLISECOND);
      ping.sender = make_member (2, cases[i].incarnation, FW_ALIVE);
      g_assert_cmpint (deliver (&bed, &ping), ==, FB_OK);
      g_assert_cmpint (fm_find_member (bed.table, &held.id)->state, ==, held.state);
      g_assert_cmpint (get_last (&bed)->kind, ==, FW_ACK);
      g_assert_cmpuint (get_last (&bed)->sequence, ==, 7);
      g_assert_true (fb_equal_name (&get_last (&bed)->updates[0].id, &held.id));
      g_assert_cmpint (get_last (&bed)->updates[0].state, ==, held.state);
      close_bed (&bed);
    }
}

/* Guards against updates that circulate for ever or die out at once (3 + log2 (33) copies are
 * sent), copies that go to one member again and again, and a member whose list differs and who
 * is not told of what has changed lately. */
static void
test_transmissions (void)
{
  fw_member_t joined = make_member (40, 5, FW_ALIVE);
  fw_datagram_t ping = { .kind = FW_PING, .sender = make_member (1, 5, FW_ALIVE) };
  bool seen[PEERS_MAX] = { false };
  guint copies = 0;
  bed_t bed;

  open_bed (&bed, 31);
  run_bed (&bed, 2 * FB_SECOND);
  deliver_update (&bed, FW_GOSSIP, joined);
  g_array_set_size (bed.sent, 0);
  g_array_set_size (bed.ports, 0);
  run_answered (&bed, 3 * FB_SECOND, NULL);
  for (guint i = 0; i < bed.sent->len; i++)
    {
      unsigned port = g_array_index (bed.ports, uint16_t, i);
      if (!is_told (get_sent (&bed, i), &joined))
        continue;
      copies++;
      g_assert_false (get_sent (&bed, i)->kind == FW_GOSSIP && seen[port]);
      seen[port] = seen[port] || get_sent (&bed, i)->kind == FW_GOSSIP;
    }
  g_assert_cmpuint (copies, ==, FM_TRANSMITS_BASE + 6);
  ping.members_digest = fm_digest_members (bed.table);
  deliver (&bed, &ping);
  g_assert_false (is_told (get_last (&bed), &joined));
  ping.members_digest++;
  deliver (&bed, &ping);
  g_assert_true (is_told (get_last (&bed), &joined));
  close_bed (&bed);
}

/* Counts the pings sent to members that are not dead. */
static guint
count_probes (const bed_t *bed)
{
  guint count = 0;

  for (guint i = 0; i < bed->sent->len; i++)
    {
      fw_member_t dead = { .id = get_sent (bed, i)->target, .state = FW_DEAD };
      count += get_sent (bed, i)->kind == FW_PING && !is_told (get_sent (bed, i), &dead);
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

  open_bed (&bed, 8);
  run_answered (&bed, 17 * FB_SECOND, NULL);
  for (guint i = 0, probes = 0; probes < 16; i++)
    if (get_sent (&bed, i)->kind == FW_PING)
      {
        probes++;
        pings[g_array_index (bed.ports, uint16_t, i)]++;
      }
  for (unsigned i = 1; i <= 8; i++)
    g_assert_cmpuint (pings[i], ==, 2);
  for (unsigned i = 1; i <= 8; i++)
    {
      fw_member_t hint = make_member (i, 5, FW_DEAD);
      fm_merge_members (bed.table, &hint, 1);
      g_array_set_size (bed.sent, 0);
      run_answered (&bed, FB_SECOND, NULL);
      g_assert_cmpuint (count_probes (&bed), ==, 1);
      for (guint j = 0; j < bed.sent->len; j++)
        g_assert_true (get_sent (&bed, j)->kind != FW_PING
                       || fb_equal_name (&get_sent (&bed, j)->target, &hint.id));
    }
  g_array_set_size (bed.sent, 0);
  while (count_sent (&bed, FW_PING) == 0)
    run_bed (&bed, 100 * FB_MILLISECOND);
  for (size_t i = 0; i < G_N_ELEMENTS (gaps); i++)
    {
      run_bed (&bed, gaps[i] * FB_SECOND - 100 * FB_MILLISECOND);
      g_assert_cmpuint (count_probes (&bed), ==, i + 1);
      run_bed (&bed, 100 * FB_MILLISECOND);
      g_assert_cmpuint (count_probes (&bed), ==, i + 2);
    }
  close_bed (&bed);
}

/* Guards against sides of a healed partition that never call each other, accused members that
 * are pinged without a word of it, and a leaving member that is taken for dead while it still
 * speaks.
 */
static void
test_silent_member (void)
{
  fw_datagram_t gossip = { .kind = FW_GOSSIP };
  fw_member_t member = make_member (2, 5, FW_LEAVING);
  guint told[FW_DEAD + 1] = { 0 };
  bed_t bed;

  open_bed (&bed, 3);
  deliver_update (&bed, FW_GOSSIP, member);
  gossip.sender = member;
  for (unsigned second = 0; second < 30; second++)
    {
      gossip.members_digest = fm_digest_members (bed.table);
      deliver (&bed, &gossip);
      run_answered (&bed, FB_SECOND, member.id.data);
      g_assert_cmpint (fm_find_member (bed.table, &member.id)->state, ==, FW_LEAVING);
    }
  deliver_update (&bed, FW_GOSSIP, make_member (2, 6, FW_ALIVE));
  run_answered (&bed, 20 * FB_SECOND, member.id.data);
  member = *fm_find_member (bed.table, &member.id);
  g_assert_cmpint (member.state, ==, FW_DEAD);
  g_array_set_size (bed.sent, 0);
  run_answered (&bed, 10 * FB_SECOND, member.id.data);
  deliver_update (&bed, FW_GOSSIP, make_member (2, 7, FW_SUSPECT));
  run_answered (&bed, 3900 * FB_MILLISECOND, member.id.data);
  for (guint i = 0; i < bed.sent->len; i++)
    if (get_sent (&bed, i)->kind == FW_PING
        && fb_equal_name (&get_sent (&bed, i)->target, &member.id))
      {
        g_assert_cmpuint (get_sent (&bed, i)->update_count, >=, 1);
        told[get_sent (&bed, i)->updates[0].state]++;
      }
  g_assert_cmpuint (told[FW_DEAD], >=, 3);
  g_assert_cmpuint (told[FW_SUSPECT], >=, 1);
  close_bed (&bed);
}

/* Guards against a helper that does not forward the ack, or does so for another member's ack.
 */
static void
test_relay (void)
{
  fw_datagram_t request = { .kind = FW_PING_REQ, .sequence = 9 };
  fw_datagram_t ack = { .kind = FW_ACK };
  bed_t bed;

  open_bed (&bed, 3);
  request.sender = make_member (1, 5, FW_ALIVE);
  request.target = make_member (2, 5, FW_ALIVE).id;
  deliver (&bed, &request);
  g_assert_cmpint (get_last (&bed)->kind, ==, FW_PING);
  ack.sequence = get_last (&bed)->sequence;
  ack.members_digest = fm_digest_members (bed.table);
  ack.sender = make_member (3, 5, FW_ALIVE);
  deliver (&bed, &ack);
  g_assert_cmpuint (bed.sent->len, ==, 1);
  ack.sender = make_member (2, 5, FW_ALIVE);
  deliver (&bed, &ack);
  deliver (&bed, &ack);
  g_assert_cmpuint (bed.sent->len, ==, 2);
  g_assert_cmpint (get_last (&bed)->kind, ==, FW_ACK);
  g_assert_cmpuint (get_last (&bed)->sequence, ==, 9);
  g_assert_true (fb_equal_name (&get_last (&bed)->target, &request.target));
  g_assert_cmpuint (g_array_index (bed.ports, uint16_t, 1), ==, 1);
  close_bed (&bed);
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
      open_bed (&bed, 5);
      while (count_sent (&bed, FW_PING) == 0)
        run_bed (&bed, 100 * FB_MILLISECOND);
      for (guint j = 0; j < bed.sent->len; j++)
        if (get_sent (&bed, j)->kind == FW_PING)
          {
            target = get_sent (&bed, j)->target;
            ack.sequence = get_sent (&bed, j)->sequence;
          }
      run_bed (&bed, 500 * FB_MILLISECOND);
      g_assert_cmpuint (count_sent (&bed, FW_PING_REQ), ==, 3);
      ack.sender = *fm_find_member (bed.table, &target);
      if (cases[i].wrong_id || !cases[i].direct)
        ack.sender = make_member (50, 5, FW_ALIVE);
      if (!cases[i].direct)
        ack.target = target;
      if (cases[i].restarted)
        {
          fw_member_t restarted = *fm_find_member (bed.table, &target);
          restarted.incarnation++;
          deliver_update (&bed, FW_GOSSIP, restarted);
        }
      deliver (&bed, &ack);
      run_bed (&bed, 600 * FB_MILLISECOND);
      g_assert_cmpint (fm_find_member (bed.table, &target)->state, ==, cases[i].expected);
      close_bed (&bed);
    }
}

/* Guards against one datagram that draws many replies, and against two processes under one id
 * that raise their incarnations against each other without end. */
static void
test_cost (void)
{
  fw_datagram_t gossip = { .kind = FW_GOSSIP, .update_count = 12 };
  uint64_t incarnation;
  bed_t bed;

  open_bed (&bed, 20);
  run_bed (&bed, FB_SECOND);
  gossip.sender = make_member (1, 5, FW_ALIVE);
  for (unsigned i = 0; i < gossip.update_count; i++)
    gossip.updates[i] = make_member (i + 2, 4, FW_DEAD);
  g_array_set_size (bed.sent, 0);
  for (unsigned i = 0; i < 10; i++)
    deliver (&bed, &gossip);
  g_assert_cmpuint (bed.sent->len, ==, 1);
  g_assert_cmpuint (get_last (&bed)->update_count, >=, 1);
  for (unsigned i = 0; i < 100; i++)
    {
      incarnation = fm_get_self (bed.table)->incarnation;
      deliver_update (&bed, FW_GOSSIP, make_member (99, incarnation + 1, FW_ALIVE));
    }
  g_assert_cmpuint (fm_get_self (bed.table)->incarnation, ==, 7);
  close_bed (&bed);
}

/* Guards against announcements that stay in one zone or go to one member twice. */
static void
test_announce (void)
{
  fb_version_t version = { .number = 3 };
  bed_t bed;

  open_bed (&bed, 30);
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
          g_assert_cmpuint (get_sent (&bed, i)->version.number, ==, 3);
          g_assert_false (seen[port]);
          seen[port] = true;
          placed[port % 3]++;
        }
      g_assert_cmpuint (placed[0], ==, 2);
      g_assert_cmpuint (placed[1], ==, 1);
      g_assert_cmpuint (placed[2], ==, 1);
    }
  close_bed (&bed);
}

/* Guards against a difference between member lists that nobody notices, and against list
 * exchanges for updates that are under way or without a pause between them. */
static void
test_divergence (void)
{
  fw_datagram_t gossip = { .kind = FW_GOSSIP };
  bed_t bed;

  open_bed (&bed, 3);
  run_bed (&bed, 100 * FB_MILLISECOND);
  gossip.sender = make_member (1, 5, FW_ALIVE);
  for (unsigned second = 0; second < 30; second++)
    {
      gossip.members_digest = second < 4 ? 1 : fm_digest_members (bed.table);
      deliver (&bed, &gossip);
      fb_advance_clock (bed.clock, FB_SECOND);
    }
  g_assert_cmpuint (bed.diverged, ==, 0);
  gossip.members_digest = 1;
  for (unsigned second = 0; second < 26; second++)
    {
      deliver (&bed, &gossip);
      fb_advance_clock (bed.clock, FB_SECOND);
    }
  g_assert_cmpuint (bed.diverged, ==, 3);
  close_bed (&bed);
}

/* Guards against senders that describe themselves in a way no node does, deaths of unknown
 * members that tables remind each other of for ever, and host list entries that become members
 * before they answered. */
static void
test_bad_sender (void)
{
  fw_datagram_t ping = { .kind = FW_PING };
  fw_member_t host = make_member (9, 0, FW_ALIVE);
  bed_t bed;

  open_bed (&bed, 2);
  ping.sender = make_member (3, 5, FW_DEAD);
  g_assert_cmpint (deliver (&bed, &ping), ==, FB_INVALID);
  ping.sender = make_member (3, 5, FW_ALIVE);
  ping.sender.control_port = 0;
  g_assert_cmpint (deliver (&bed, &ping), ==, FB_INVALID);
  g_assert_cmpint (fm_handle_datagram (bed.table, (fb_bytes_t){ (const uint8_t *)"x", 1 }), ==,
                   FB_INVALID);
  g_assert_cmpuint (
      fb_get_counter (fb_find_counter (bed.counters, "member_malformed_total", "")), ==, 3);
  g_assert_cmpuint (bed.sent->len, ==, 0);
  deliver_update (&bed, FW_GOSSIP, make_member (9, 5, FW_DEAD));
  g_assert_null (fm_find_member (bed.table, &host.id));
  fm_merge_members (bed.table, &host, 1);
  g_assert_null (fm_find_member (bed.table, &host.id));
  g_assert_cmpint (get_last (&bed)->kind, ==, FW_PING);
  g_assert_cmpuint (g_array_index (bed.ports, uint16_t, bed.ports->len - 1), ==, 9);
  close_bed (&bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/refute", test_refute);
  g_test_add_func ("/member/override", test_override);
  g_test_add_func ("/member/pause", test_pause);
  g_test_add_func ("/member/accused-sender", test_accused_sender);
  g_test_add_func ("/member/transmissions", test_transmissions);
  g_test_add_func ("/member/schedule", test_schedule);
  g_test_add_func ("/member/silent-member", test_silent_member);
  g_test_add_func ("/member/relay", test_relay);
  g_test_add_func ("/member/probe", test_probe);
  g_test_add_func ("/member/cost", test_cost);
  g_test_add_func ("/member/announce", test_announce);
  g_test_add_func ("/member/divergence", test_divergence);
  g_test_add_func ("/member/bad-sender", test_bad_sender);
  return g_test_run ();
}
