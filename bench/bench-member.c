/* Measures processor time, traffic and memory of one membership table in fleets of several
 * sizes.
 *
 * The table is real. The other members are simulated by the traffic that they send to one node:
 * a ping a second, an ack for each ping of the table, and the gossip about each change, with as
 * many copies as the protocol sends and at most three datagrams in each gossip round. The
 * system calls of the UDP socket are not included. */
#include <foxtailrun/member/table.h>
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define ROUND_INTERVAL (100 * FB_MILLISECOND)

/* Time from a change to its first copy at the table: some gossip rounds. */
#define SPREAD_DELAY (300 * FB_MILLISECOND)

/* More updates than fit into one datagram. */
#define ROUND_UPDATES_MAX 16

/* Restarts and failures a day, and most simultaneous restarts, from the design page. */
#define RESTARTS_PER_DAY 580
#define FAILURES_PER_DAY 9
#define MASS_RESTARTS 580
#define MASS_RESTART_MEMBERS 3000
#define DAY (86400 * FB_SECOND)

/* A change of the state of one member at time AT. */
typedef struct
{
  fb_time_t at;
  guint member;
  fw_member_state_t state;
  bool up; /* whether it answers pings from then on */
  bool gossiped;
} change_t;

/* An update still sent by other members. */
typedef struct
{
  fb_time_t visible_at;
  fw_member_t member;
  guint copies_left;
} pending_update_t;

typedef struct
{
  uint8_t bytes[FW_DATAGRAM_MAX];
  size_t length;
} packet_t;

typedef struct
{
  guint count;
  fb_clock_t *clock;
  fb_counters_t *counters;
  fb_counters_t *mirror_counters;
  fm_table_t *table;
  fm_table_t *mirror; /* current members, for the digests sent by others */
  fw_member_t *members;
  bool *up;
  guint down_count;
  GRand *random;
  GArray *pending;
  GArray *sent; /* packet_t, sent by the table since the last round */
  double processor_time;
  uint64_t updates;
  uint64_t divergences;
} fleet_t;

static double
read_processor_time (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static fw_member_t
make_member (guint number)
{
  static const char *const zones[]
      = { "gh-south-1a", "gh-south-1b", "gh-south-1c", "mu-west-1a",
          "mu-west-1b",  "mu-west-1c",  "gh-north-1a", "mu-east-1a" };
  static const char *const regions[] = { "gh-south", "gh-south", "gh-south", "mu-west",
                                         "mu-west",  "mu-west",  "gh-north", "mu-east" };
  fw_member_t member = { .incarnation = UINT64_C (1790000000000) + number };
  char text[FB_NAME_MAX + 1];

  g_snprintf (text, sizeof text, "i-%08x%04u", number * 2654435761U, number);
  member.id = fb_make_name (text);
  g_snprintf (text, sizeof text, "10.%u.%u.%u", 100 + number % 8, number / 200, number % 200);
  member.address = fb_make_name (text);
  member.control_port = 7400;
  member.call_port = 7401;
  member.admin_port = 7402;
  member.zone = fb_make_name (zones[number % G_N_ELEMENTS (zones)]);
  member.region = fb_make_name (regions[number % G_N_ELEMENTS (zones)]);
  g_snprintf (text, sizeof text, "service-%03u", number % 130);
  member.service = fb_make_name (text);
  return member;
}

static void
record_send (const fb_name_t *address, uint16_t port, fb_bytes_t bytes, void *user)
{
  fleet_t *fleet = user;
  packet_t packet;

  memcpy (packet.bytes, bytes.data, bytes.len);
  packet.length = bytes.len;
  g_array_append_val (fleet->sent, packet);
}

static void
ignore_send (const fb_name_t *address, uint16_t port, fb_bytes_t bytes, void *user)
{
}

static void
count_divergence (const fw_member_t *peer, void *user)
{
  ((fleet_t *)user)->divergences++;
}

/* Adds pending updates to DATAGRAM, the least recently sent first. */
static void
add_pending_updates (fleet_t *fleet, fw_datagram_t *datagram)
{
  fb_time_t now = fb_read_clock (fleet->clock);

  for (guint i = 0; i < fleet->pending->len && datagram->update_count < ROUND_UPDATES_MAX; i++)
    {
      const pending_update_t *update = &g_array_index (fleet->pending, pending_update_t, i);
      if (update->visible_at <= now)
        datagram->updates[datagram->update_count++] = update->member;
    }
}

/* Counts the first FITTED pending updates as sent and moves them to the end. */
static void
count_sent_updates (fleet_t *fleet, size_t fitted)
{
  fb_time_t now = fb_read_clock (fleet->clock);
  guint i = 0;

  while (fitted > 0)
    {
      pending_update_t update = g_array_index (fleet->pending, pending_update_t, i);
      if (update.visible_at > now)
        {
          i++;
          continue;
        }
      g_array_remove_index (fleet->pending, i);
      update.copies_left--;
      if (update.copies_left > 0)
        g_array_append_val (fleet->pending, update);
      fitted--;
    }
}

/* Delivers a datagram of member FROM and adds its processor time. */
static void
deliver (fleet_t *fleet, fw_datagram_kind_t kind, guint from, uint64_t sequence,
         const fb_name_t *target)
{
  fw_datagram_t datagram = { .kind = kind, .sequence = sequence };
  uint8_t buffer[FW_DATAGRAM_MAX];
  size_t length;
  size_t fitted;
  double start;

  datagram.sender = fleet->members[from];
  datagram.version.number = 1400;
  datagram.version.revision = 123456;
  memset (&datagram.version.digest, 0xa5, sizeof datagram.version.digest);
  datagram.members_digest = fm_digest_members (fleet->mirror);
  if (target)
    datagram.target = *target;
  add_pending_updates (fleet, &datagram);
  if (fw_encode_datagram (&datagram, buffer, &length, &fitted) != FB_OK)
    return;
  count_sent_updates (fleet, fitted);
  start = read_processor_time ();
  fm_handle_datagram (fleet->table, (fb_bytes_t){ buffer, length });
  fleet->processor_time += read_processor_time () - start;
}

static guint
pick_member (fleet_t *fleet)
{
  guint member;

  do
    member = (guint)g_rand_int_range (fleet->random, 1, (gint32)fleet->count);
  while (!fleet->up[member]);
  return member;
}

/* Applies CHANGE to the fleet now; the table receives it after SPREAD_DELAY. */
static void
apply_change (fleet_t *fleet, const change_t *change)
{
  fw_member_t *member = &fleet->members[change->member];
  fw_datagram_t gossip = { .kind = FW_GOSSIP, .update_count = 1 };
  pending_update_t update = { .visible_at = fb_read_clock (fleet->clock) + SPREAD_DELAY };
  uint8_t buffer[FW_DATAGRAM_MAX];
  size_t length;
  size_t fitted;

  if (change->up != fleet->up[change->member])
    fleet->down_count += change->up ? -1U : 1U;
  fleet->up[change->member] = change->up;
  if (!change->gossiped)
    return;
  if (change->state == FW_ALIVE)
    member->incarnation += 1000000;
  member->state = change->state;
  gossip.sender = fleet->members[change->member == 1 ? 2 : 1];
  gossip.sender.state = FW_ALIVE;
  gossip.updates[0] = *member;
  if (fw_encode_datagram (&gossip, buffer, &length, &fitted) == FB_OK)
    fm_handle_datagram (fleet->mirror, (fb_bytes_t){ buffer, length });
  update.member = *member;
  update.copies_left = 3 + (guint)ceil (log2 (fleet->count));
  g_array_append_val (fleet->pending, update);
  fleet->updates++;
}

/* Acknowledges the table's pings since the last round. */
static void
answer_pings (fleet_t *fleet)
{
  GArray *sent = fleet->sent;

  fleet->sent = g_array_new (FALSE, FALSE, sizeof (packet_t));
  for (guint i = 0; i < sent->len; i++)
    {
      const packet_t *packet = &g_array_index (sent, packet_t, i);
      fw_datagram_t datagram;
      if (fw_decode_datagram ((fb_bytes_t){ packet->bytes, packet->length }, &datagram) != FB_OK
          || datagram.kind != FW_PING)
        continue;
      for (guint j = 1; j < fleet->count; j++)
        if (fleet->up[j] && fb_equal_name (&fleet->members[j].id, &datagram.target))
          deliver (fleet, FW_ACK, j, datagram.sequence, NULL);
    }
  g_array_free (sent, TRUE);
}

static void
run_round (fleet_t *fleet, guint round)
{
  double start;

  fb_advance_clock (fleet->clock, ROUND_INTERVAL);
  start = read_processor_time ();
  fm_tick (fleet->table);
  fleet->processor_time += read_processor_time () - start;
  answer_pings (fleet);
  if (round % 10 == 5)
    deliver (fleet, FW_PING, pick_member (fleet), round, NULL);
  /* A member that is down fails a probe a second, which sends three PING_REQs. */
  if (g_rand_double (fleet->random) * 10 * fleet->count < 3.0 * fleet->down_count)
    deliver (fleet, FW_PING_REQ, pick_member (fleet), round,
             &fleet->members[pick_member (fleet)].id);
  for (guint i = 0; i < fm_get_default_options ().gossip_fanout; i++)
    if (fleet->pending->len > 0
        && g_array_index (fleet->pending, pending_update_t, 0).visible_at
               <= fb_read_clock (fleet->clock))
      deliver (fleet, FW_GOSSIP, pick_member (fleet), 0, NULL);
}

static fm_table_t *
create_table (fleet_t *fleet, fb_counters_t *counters,
              void (*send) (const fb_name_t *, uint16_t, fb_bytes_t, void *))
{
  fm_hooks_t hooks = { .send = send, .user = fleet };
  fm_table_t *table;

  if (send == record_send)
    hooks.diverged = count_divergence;
  table = fm_create_table (&fleet->members[0], NULL, 1, fleet->clock, counters, &hooks);
  fm_merge_members (table, fleet->members + 1, fleet->count - 1);
  return table;
}

static void
create_fleet (fleet_t *fleet, guint count, size_t *memory)
{
  struct mallinfo2 before;
  struct mallinfo2 after;

  memset (fleet, 0, sizeof *fleet);
  fleet->count = count;
  fleet->clock = fb_create_manual_clock (FB_SECOND);
  fleet->counters = fb_create_counters ();
  fleet->mirror_counters = fb_create_counters ();
  fleet->random = g_rand_new_with_seed (7);
  fleet->pending = g_array_new (FALSE, FALSE, sizeof (pending_update_t));
  fleet->sent = g_array_new (FALSE, FALSE, sizeof (packet_t));
  fleet->members = g_new0 (fw_member_t, count);
  fleet->up = g_new0 (bool, count);
  for (guint i = 0; i < count; i++)
    {
      fleet->members[i] = make_member (i);
      fleet->up[i] = true;
    }
  before = mallinfo2 ();
  fleet->table = create_table (fleet, fleet->counters, record_send);
  after = mallinfo2 ();
  *memory = after.uordblks + after.hblkhd - before.uordblks - before.hblkhd;
  fleet->mirror = create_table (fleet, fleet->mirror_counters, ignore_send);
}

static void
destroy_fleet (fleet_t *fleet)
{
  fm_destroy_table (fleet->table);
  fm_destroy_table (fleet->mirror);
  fb_destroy_counters (fleet->counters);
  fb_destroy_counters (fleet->mirror_counters);
  fb_destroy_clock (fleet->clock);
  g_rand_free (fleet->random);
  g_array_free (fleet->pending, TRUE);
  g_array_free (fleet->sent, TRUE);
  g_free (fleet->members);
  g_free (fleet->up);
}

static int
compare_changes (const void *a, const void *b)
{
  const change_t *left = a;
  const change_t *right = b;

  return left->at < right->at ? -1 : left->at > right->at;
}

static void
add_changes (GArray *changes, guint member, fb_time_t at, bool failure, bool graceful)
{
  change_t change = { .member = member, .gossiped = true };

  /* Graceful stop: leaving for 3 s, then 2 s to restart. Crash: suspected after 1.5 s; a
   * process restarts after 3 s, a failed host is declared dead 4 s after the suspicion and
   * replaced. */
  change.at = at;
  change.state = FW_LEAVING;
  change.up = graceful;
  change.gossiped = graceful;
  g_array_append_val (changes, change);
  change.up = false;
  change.gossiped = !graceful;
  change.state = FW_SUSPECT;
  change.at = at + (graceful ? 3000 : 1500) * FB_MILLISECOND;
  g_array_append_val (changes, change);
  change.gossiped = true;
  if (failure)
    {
      change.state = FW_DEAD;
      change.at += 4 * FB_SECOND;
      g_array_append_val (changes, change);
    }
  change.state = FW_ALIVE;
  change.up = true;
  change.at = at + (failure ? 60 : graceful ? 5 : 3) * FB_SECOND;
  g_array_append_val (changes, change);
}

/* Returns RESTARTS and FAILURES of different members at random times within DURATION. */
static GArray *
schedule_changes (fleet_t *fleet, guint restarts, guint failures, fb_time_t duration,
                  bool graceful)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (change_t));
  fb_time_t start = fb_read_clock (fleet->clock);
  guint step = MAX (1, (fleet->count - 1) / MAX (1, restarts + failures));

  for (guint i = 0; i < restarts + failures; i++)
    add_changes (changes, 1 + i * step % (fleet->count - 1),
                 start + (fb_time_t)(g_rand_double (fleet->random) * (double)duration),
                 i < failures, graceful && i >= failures);
  g_array_sort (changes, compare_changes);
  return changes;
}

/* Runs for DURATION with CHANGES, which it frees, and prints one line. */
static void
measure (fleet_t *fleet, const char *load, fb_time_t duration, GArray *changes, size_t memory)
{
  static const char *const names[]
      = { "member_received_bytes_total", "member_sent_bytes_total",
          "member_datagrams_received_total", "member_datagrams_sent_total" };
  double seconds = (double)duration / (double)FB_SECOND;
  uint64_t before[G_N_ELEMENTS (names)];
  uint64_t peak = 0;
  uint64_t last = 0;
  double rates[G_N_ELEMENTS (names)];
  guint next = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    before[i] = fb_get_counter (fb_find_counter (fleet->counters, names[i], ""));
  last = before[1];
  fleet->processor_time = 0;
  fleet->updates = 0;
  fleet->divergences = 0;
  for (guint round = 0; round < duration / ROUND_INTERVAL; round++)
    {
      while (next < changes->len
             && g_array_index (changes, change_t, next).at <= fb_read_clock (fleet->clock))
        apply_change (fleet, &g_array_index (changes, change_t, next++));
      run_round (fleet, round);
      if (round % 10 == 9)
        {
          uint64_t sent = fb_get_counter (fb_find_counter (fleet->counters, names[1], ""));
          peak = MAX (peak, sent - last);
          last = sent;
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    rates[i]
        = (double)(fb_get_counter (fb_find_counter (fleet->counters, names[i], "")) - before[i])
          / seconds;
  printf ("%7u  %-6s %6.0f %7" G_GUINT64_FORMAT " %9.1f %8.4f %9.0f %9.0f %9" G_GUINT64_FORMAT
          " %7.1f %7.1f %5" G_GUINT64_FORMAT " %5zu %8.2f\n",
          fleet->count, load, seconds, fleet->updates, fleet->processor_time / seconds * 1e6,
          fleet->processor_time / seconds * 100, rates[0], rates[1], peak, rates[2], rates[3],
          fleet->divergences, fm_count_members (fleet->table, FW_DEAD),
          (double)memory / 1048576);
  g_array_free (changes, TRUE);
}

int
main (void)
{
  static const guint sizes[] = { 100, 1000, 3000 };

  printf ("members  load        s updates      us/s   core %%  recv B/s  sent B/s    peak/s  "
          "recv/s  sent/s  div.  dead   MB\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      const fb_time_t churn = DAY / 6;
      guint mass_restarts = MASS_RESTARTS * sizes[i] / MASS_RESTART_MEMBERS;
      size_t memory;
      fleet_t fleet;

      create_fleet (&fleet, sizes[i], &memory);
      measure (&fleet, "idle", 600 * FB_SECOND,
               schedule_changes (&fleet, 0, 0, FB_SECOND, true), memory);
      measure (
          &fleet, "churn", churn + 90 * FB_SECOND,
          schedule_changes (&fleet, RESTARTS_PER_DAY / 6, FAILURES_PER_DAY / 6, churn, true),
          memory);
      measure (&fleet, "herd", 30 * FB_SECOND,
               schedule_changes (&fleet, mass_restarts, 0, 10 * FB_SECOND, false), memory);
      measure (&fleet, "after", 300 * FB_SECOND,
               schedule_changes (&fleet, 0, 0, FB_SECOND, true), memory);
      destroy_fleet (&fleet);
    }
  return 0;
}
