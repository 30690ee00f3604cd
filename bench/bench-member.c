/* Cost of one membership table in fleets of several sizes: processor time, bytes and memory.
 *
 * The table is real. The fleet around it is a model that sends what such a fleet sends to one
 * node: a ping a second, an ack for each ping of the table, and the gossip about each change,
 * as many copies as the protocol's limit and at most three datagrams in each gossip round. The
 * system calls of the UDP socket are not part of the figures. */
#include <foxtailrun/member/table.h>
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define ROUND (100 * FB_MILLISECOND)

/* From a change to its first copy at the table: a few gossip rounds. */
#define SPREAD_TIME (300 * FB_MILLISECOND)

/* Larger than what fits into one datagram. */
#define ROUND_UPDATES 16

/* The design page's churn a day and its largest herd. */
#define RESTARTS_PER_DAY 580
#define FAILURES_PER_DAY 9
#define HERD 580
#define HERD_FLEET 3000
#define DAY (86400 * FB_SECOND)

/* A change of one member at a time; the model's clock starts at 0. */
typedef struct
{
  fb_time_t at;
  guint member;
  fw_member_state_t state;
  bool up; /* the member answers pings from then on */
  bool gossiped;
} change_t;

/* An update that other members still send. */
typedef struct
{
  fb_time_t since;
  fw_member_t member;
  guint copies;
} rumour_t;

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
  fm_table_t *mirror; /* the fleet's list, for the digests that others send */
  fw_member_t *members;
  bool *up;
  guint down_count;
  GRand *random;
  GArray *rumours;
  GArray *sent; /* packet_t, by the table since the last round */
  double processor_time;
  uint64_t updates;
  uint64_t divergences;
} world_t;

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
  world_t *world = user;
  packet_t packet;

  memcpy (packet.bytes, bytes.data, bytes.len);
  packet.length = bytes.len;
  g_array_append_val (world->sent, packet);
}

static void
ignore_send (const fb_name_t *address, uint16_t port, fb_bytes_t bytes, void *user)
{
}

static void
count_divergence (const fw_member_t *peer, void *user)
{
  ((world_t *)user)->divergences++;
}

/* Adds the rumours that have waited longest for a copy. */
static void
add_rumours (world_t *world, fw_datagram_t *datagram)
{
  fb_time_t now = fb_read_clock (world->clock);

  for (guint i = 0; i < world->rumours->len && datagram->update_count < ROUND_UPDATES; i++)
    {
      const rumour_t *rumour = &g_array_index (world->rumours, rumour_t, i);
      if (rumour->since <= now)
        datagram->updates[datagram->update_count++] = rumour->member;
    }
}

/* Counts the first FITTED rumours as sent and moves them behind the others. */
static void
count_rumours (world_t *world, size_t fitted)
{
  fb_time_t now = fb_read_clock (world->clock);
  guint i = 0;

  while (fitted > 0)
    {
      rumour_t rumour = g_array_index (world->rumours, rumour_t, i);
      if (rumour.since > now)
        {
          i++;
          continue;
        }
      g_array_remove_index (world->rumours, i);
      rumour.copies--;
      if (rumour.copies > 0)
        g_array_append_val (world->rumours, rumour);
      fitted--;
    }
}

/* Delivers one datagram of member FROM and adds the processor time it costs. */
static void
deliver (world_t *world, fw_datagram_kind_t kind, guint from, uint64_t sequence,
         const fb_name_t *target)
{
  fw_datagram_t datagram = { .kind = kind, .sequence = sequence };
  uint8_t buffer[FW_DATAGRAM_MAX];
  size_t length;
  size_t fitted;
  double start;

  datagram.sender = world->members[from];
  datagram.version.number = 1400;
  datagram.version.revision = 123456;
  memset (&datagram.version.digest, 0xa5, sizeof datagram.version.digest);
  datagram.members_digest = fm_digest_members (world->mirror);
  if (target)
    datagram.target = *target;
  add_rumours (world, &datagram);
  if (fw_encode_datagram (&datagram, buffer, &length, &fitted) != FB_OK)
    return;
  count_rumours (world, fitted);
  start = read_processor_time ();
  fm_handle_datagram (world->table, (fb_bytes_t){ buffer, length });
  world->processor_time += read_processor_time () - start;
}

static guint
pick_member (world_t *world)
{
  guint member;

  do
    member = (guint)g_rand_int_range (world->random, 1, (gint32)world->count);
  while (!world->up[member]);
  return member;
}

/* Puts one change into effect: the fleet's list has it now, the table hears of it later. */
static void
apply_change (world_t *world, const change_t *change)
{
  fw_member_t *member = &world->members[change->member];
  fw_datagram_t news = { .kind = FW_GOSSIP, .update_count = 1 };
  rumour_t rumour = { .since = fb_read_clock (world->clock) + SPREAD_TIME };
  uint8_t buffer[FW_DATAGRAM_MAX];
  size_t length;
  size_t fitted;

  if (change->up != world->up[change->member])
    world->down_count += change->up ? -1U : 1U;
  world->up[change->member] = change->up;
  if (!change->gossiped)
    return;
  if (change->state == FW_ALIVE)
    member->incarnation += 1000000;
  member->state = change->state;
  news.sender = world->members[change->member == 1 ? 2 : 1];
  news.sender.state = FW_ALIVE;
  news.updates[0] = *member;
  if (fw_encode_datagram (&news, buffer, &length, &fitted) == FB_OK)
    fm_handle_datagram (world->mirror, (fb_bytes_t){ buffer, length });
  rumour.member = *member;
  rumour.copies = 3 + (guint)ceil (log2 (world->count));
  g_array_append_val (world->rumours, rumour);
  world->updates++;
}

/* Answers the pings that the table sent since the last round. */
static void
answer_pings (world_t *world)
{
  GArray *sent = world->sent;

  world->sent = g_array_new (FALSE, FALSE, sizeof (packet_t));
  for (guint i = 0; i < sent->len; i++)
    {
      const packet_t *packet = &g_array_index (sent, packet_t, i);
      fw_datagram_t datagram;
      if (fw_decode_datagram ((fb_bytes_t){ packet->bytes, packet->length }, &datagram) != FB_OK
          || datagram.kind != FW_PING)
        continue;
      for (guint j = 1; j < world->count; j++)
        if (world->up[j] && fb_equal_name (&world->members[j].id, &datagram.target))
          deliver (world, FW_ACK, j, datagram.sequence, NULL);
    }
  g_array_free (sent, TRUE);
}

static void
run_round (world_t *world, guint round)
{
  double start;

  fb_advance_clock (world->clock, ROUND);
  start = read_processor_time ();
  fm_tick (world->table);
  world->processor_time += read_processor_time () - start;
  answer_pings (world);
  if (round % 10 == 5)
    deliver (world, FW_PING, pick_member (world), round, NULL);
  /* Each member that is down fails one probe a second, for which three helpers are asked. */
  if (g_rand_double (world->random) * 10 * world->count < 3.0 * world->down_count)
    deliver (world, FW_PING_REQ, pick_member (world), round,
             &world->members[pick_member (world)].id);
  for (guint i = 0; i < fm_get_default_options ().gossip_fanout; i++)
    if (world->rumours->len > 0
        && g_array_index (world->rumours, rumour_t, 0).since <= fb_read_clock (world->clock))
      deliver (world, FW_GOSSIP, pick_member (world), 0, NULL);
}

static fm_table_t *
open_table (world_t *world, fb_counters_t *counters,
            void (*send) (const fb_name_t *, uint16_t, fb_bytes_t, void *))
{
  fm_hooks_t hooks = { .send = send, .user = world };
  fm_table_t *table;

  if (send == record_send)
    hooks.diverged = count_divergence;
  table = fm_create_table (&world->members[0], NULL, 1, world->clock, counters, &hooks);
  fm_merge_members (table, world->members + 1, world->count - 1);
  return table;
}

static void
open_world (world_t *world, guint count, size_t *memory)
{
  struct mallinfo2 before;
  struct mallinfo2 after;

  memset (world, 0, sizeof *world);
  world->count = count;
  world->clock = fb_create_manual_clock (FB_SECOND);
  world->counters = fb_create_counters ();
  world->mirror_counters = fb_create_counters ();
  world->random = g_rand_new_with_seed (7);
  world->rumours = g_array_new (FALSE, FALSE, sizeof (rumour_t));
  world->sent = g_array_new (FALSE, FALSE, sizeof (packet_t));
  world->members = g_new0 (fw_member_t, count);
  world->up = g_new0 (bool, count);
  for (guint i = 0; i < count; i++)
    {
      world->members[i] = make_member (i);
      world->up[i] = true;
    }
  before = mallinfo2 ();
  world->table = open_table (world, world->counters, record_send);
  after = mallinfo2 ();
  *memory = after.uordblks + after.hblkhd - before.uordblks - before.hblkhd;
  world->mirror = open_table (world, world->mirror_counters, ignore_send);
}

static void
close_world (world_t *world)
{
  fm_destroy_table (world->table);
  fm_destroy_table (world->mirror);
  fb_destroy_counters (world->counters);
  fb_destroy_counters (world->mirror_counters);
  fb_destroy_clock (world->clock);
  g_rand_free (world->random);
  g_array_free (world->rumours, TRUE);
  g_array_free (world->sent, TRUE);
  g_free (world->members);
  g_free (world->up);
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

  /* A stop with notice: leaving for 3 s, then 2 s to restart. A crash: suspected after 1.5 s;
   * in a herd the process is back after 3 s, a failed host is dead after 4 s more and replaced.
   */
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

/* Plans RESTARTS and FAILURES of different members within DURATION. */
static GArray *
plan_changes (world_t *world, guint restarts, guint failures, fb_time_t duration, bool graceful)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (change_t));
  fb_time_t start = fb_read_clock (world->clock);
  guint step = MAX (1, (world->count - 1) / MAX (1, restarts + failures));

  for (guint i = 0; i < restarts + failures; i++)
    add_changes (changes, 1 + i * step % (world->count - 1),
                 start + (fb_time_t)(g_rand_double (world->random) * (double)duration),
                 i < failures, graceful && i >= failures);
  g_array_sort (changes, compare_changes);
  return changes;
}

/* Runs DURATION with CHANGES, which it frees, and prints one line. */
static void
measure (world_t *world, const char *load, fb_time_t duration, GArray *changes, size_t memory)
{
  static const char *const names[]
      = { "member_received_bytes_total", "member_sent_bytes_total",
          "member_datagrams_received_total", "member_datagrams_sent_total" };
  double seconds = (double)duration / (double)FB_SECOND;
  uint64_t before[G_N_ELEMENTS (names)];
  uint64_t peak = 0;
  uint64_t last = 0;
  double figures[G_N_ELEMENTS (names)];
  guint next = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    before[i] = fb_get_counter (fb_find_counter (world->counters, names[i], ""));
  last = before[1];
  world->processor_time = 0;
  world->updates = 0;
  world->divergences = 0;
  for (guint round = 0; round < duration / ROUND; round++)
    {
      while (next < changes->len
             && g_array_index (changes, change_t, next).at <= fb_read_clock (world->clock))
        apply_change (world, &g_array_index (changes, change_t, next++));
      run_round (world, round);
      if (round % 10 == 9)
        {
          uint64_t sent = fb_get_counter (fb_find_counter (world->counters, names[1], ""));
          peak = MAX (peak, sent - last);
          last = sent;
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    figures[i]
        = (double)(fb_get_counter (fb_find_counter (world->counters, names[i], "")) - before[i])
          / seconds;
  printf ("%7u  %-6s %6.0f %7" G_GUINT64_FORMAT " %9.1f %8.4f %9.0f %9.0f %9" G_GUINT64_FORMAT
          " %7.1f %7.1f %5" G_GUINT64_FORMAT " %5zu %8.2f\n",
          world->count, load, seconds, world->updates, world->processor_time / seconds * 1e6,
          world->processor_time / seconds * 100, figures[0], figures[1], peak, figures[2],
          figures[3], world->divergences, fm_count_members (world->table, FW_DEAD),
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
      guint herd = HERD * sizes[i] / HERD_FLEET;
      size_t memory;
      world_t world;

      open_world (&world, sizes[i], &memory);
      measure (&world, "idle", 600 * FB_SECOND, plan_changes (&world, 0, 0, FB_SECOND, true),
               memory);
      measure (&world, "churn", churn + 90 * FB_SECOND,
               plan_changes (&world, RESTARTS_PER_DAY / 6, FAILURES_PER_DAY / 6, churn, true),
               memory);
      measure (&world, "herd", 30 * FB_SECOND,
               plan_changes (&world, herd, 0, 10 * FB_SECOND, false), memory);
      measure (&world, "after", 300 * FB_SECOND, plan_changes (&world, 0, 0, FB_SECOND, true),
               memory);
      close_world (&world);
    }
  return 0;
}
