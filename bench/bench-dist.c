/* Compares dissemination strategies on the same changes; measures the cost of a node at target
 * size. */
#include "dist-state.h"
#include "fleet.h"
#include <foxtailrun/config/delta.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define NODES 12
#define ZONES 1
#define PUBLICATIONS 30

/* Routes of the documents. The manual clock omits the time of their checks. */
#define ROUTES 100

/* 1,400 changes a day. */
#define CHANGE_INTERVAL (62 * FB_SECOND)

/* Longest polling interval that distributes a change within 6 s. */
#define POLL_INTERVAL (5 * FB_SECOND)

/* Longest wait until the last node has a version. */
#define SPREAD_TIME_MAX (60 * FB_SECOND)

#define KILLED_NODES 2

/* Target fleet size, and repetitions of each measurement. */
#define TARGET_NODES 3000
#define REPETITIONS 20

typedef enum
{
  PUSH_AND_PULL,
  PULL_ONLY,
  POLL_SOURCE
} strategy_t;

static const char *const strategy_names[] = { "push+pull", "pull only", "poll" };
static strategy_t strategy;

/* Linker names of the original functions and their replacements, see --wrap. */
void announce_original (fm_table_t *table) __asm__("__real_fm_announce_version");
void announce_by_strategy (fm_table_t *table) __asm__("__wrap_fm_announce_version");
void tick_source_original (fd_node_t *node) __asm__("__real_fd_tick_source");
void tick_source_by_strategy (fd_node_t *node) __asm__("__wrap_fd_tick_source");
void handle_summary_original (fd_node_t *node, const fw_member_t *sender,
                              const fb_version_t *version) __asm__("__real_fd_handle_summary");
void
handle_summary_by_strategy (fd_node_t *node, const fw_member_t *sender,
                            const fb_version_t *version) __asm__("__wrap_fd_handle_summary");

void
announce_by_strategy (fm_table_t *table)
{
  if (strategy == PUSH_AND_PULL)
    announce_original (table);
}

void
tick_source_by_strategy (fd_node_t *node)
{
  fb_time_t now = fb_read_clock (node->clock);
  fd_source_t *source = &node->source;

  if (strategy != POLL_SOURCE)
    {
      tick_source_original (node);
      return;
    }
  if (source->outstanding || now < source->next_at || now - source->started_at < POLL_INTERVAL)
    return;
  source->outstanding = true;
  source->started_at = now;
  source->position = (fb_position_t){ 0 };
  node->hooks.read_source (source->position, node->hooks.user);
}

void
handle_summary_by_strategy (fd_node_t *node, const fw_member_t *sender,
                            const fb_version_t *version)
{
  if (strategy != POLL_SOURCE)
    handle_summary_original (node, sender, version);
}

static int
compare_times (const void *a, const void *b)
{
  const fb_time_t *first = a;
  const fb_time_t *second = b;

  return *first < *second ? -1 : *first > *second;
}

static bool
has_version (const sf_fleet_t *fleet, uint64_t number)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      if (fleet->hosts[i].node != NULL
          && fd_get_version (fleet->hosts[i].node)->number < number)
        return false;
    }
  return true;
}

/* Kills nodes that have applied NUMBER, up to KILLED_NODES in all. */
static void
kill_announcers (sf_fleet_t *fleet, uint64_t number, size_t *killed)
{
  for (size_t i = 0; i < fleet->count && *killed < KILLED_NODES; i++)
    {
      if (fleet->hosts[i].node == NULL
          || fd_get_version (fleet->hosts[i].node)->number < number)
        continue;
      sf_kill_host (fleet, i);
      (*killed)++;
    }
}

/* Publishes NUMBER; returns the time until all running nodes have it. */
static fb_time_t
time_publication (sf_fleet_t *fleet, uint64_t number, bool kill)
{
  fb_time_t elapsed = 0;
  size_t killed = kill ? 0 : KILLED_NODES;

  sf_publish_document (fleet, sf_make_document (number, (uint32_t)number * 7, ROUTES), true);
  while (!has_version (fleet, number) && elapsed < SPREAD_TIME_MAX)
    {
      sf_run_fleet (fleet, SF_STEP);
      elapsed += SF_STEP;
      kill_announcers (fleet, number, &killed);
    }
  return elapsed;
}

static void
measure_strategy (double loss, bool kill)
{
  sf_fleet_t *fleet = sf_create_fleet (11, NODES, ZONES);
  fb_time_t times[PUBLICATIONS];
  uint64_t calls;
  uint64_t sent = 0;
  uint64_t read;
  double seconds;

  sf_publish_document (fleet, sf_make_document (1, 7, ROUTES), true);
  sf_run_fleet (fleet, 30 * FB_SECOND);
  fleet->link.loss = loss;
  calls = fleet->source.calls;
  read = fleet->source.bytes;
  for (size_t i = 0; i < NODES; i++)
    sent -= fleet->hosts[i].sent_bytes;
  for (size_t i = 0; i < PUBLICATIONS; i++)
    {
      times[i] = time_publication (fleet, i + 2, kill);
      if (times[i] < CHANGE_INTERVAL)
        sf_run_fleet (fleet, CHANGE_INTERVAL - times[i]);
      for (size_t j = 0; j < NODES; j++)
        {
          if (fleet->hosts[j].node == NULL)
            sf_start_host (fleet, j);
        }
      sf_run_fleet (fleet, kill ? CHANGE_INTERVAL : 0);
    }
  for (size_t i = 0; i < NODES; i++)
    sent += fleet->hosts[i].sent_bytes;
  seconds = (double)PUBLICATIONS * (kill ? 2 : 1) * CHANGE_INTERVAL / (double)FB_SECOND;
  qsort (times, PUBLICATIONS, sizeof times[0], compare_times);
  printf ("%-10s %5.0f %% %-7s %8d %8d %10.0f %10.0f %10.3f\n", strategy_names[strategy],
          loss * 100, kill ? "killed" : "", (int)(times[PUBLICATIONS / 2] / FB_MILLISECOND),
          (int)(times[PUBLICATIONS - 1] / FB_MILLISECOND), (double)sent / NODES / seconds,
          (double)(fleet->source.bytes - read) / NODES / seconds,
          (double)(fleet->source.calls - calls) / seconds);
  sf_destroy_fleet (fleet);
}

static double
read_cpu_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

/* Returns a document of nearly 1 MB: 4,000 routes with random digits in their paths, to
 * compress no better than a real one. */
static GBytes *
make_large_document (uint64_t number, uint32_t timeout_ms)
{
  GRand *random = g_rand_new_with_seed (5);
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "version = %d\n[[rank]]\nname = \"urgent\"\norder = 0\n"
                          "target_ms = 50\nworth = 10.0\nshare = 0.5\n[[service]]\n"
                          "name = \"counter\"\nslots = 6\nconnections = 120\n",
                          (int)number);
  for (uint32_t i = 0; i < FC_ROUTES_MAX; i++)
    {
      g_string_append_printf (text, "[[route]]\nname = \"route-%u\"\npath = \"/", i);
      for (int j = 0; j < 13; j++)
        g_string_append_printf (text, "%08x", g_rand_int (random));
      g_string_append_printf (text,
                              "\"\nmethods = [\"GET\"]\nservice = \"counter\"\n"
                              "rank = \"urgent\"\ntimeout_ms = %u\nrepeatable = true\n",
                              i == FC_ROUTES_MAX / 2 ? timeout_ms : 1000);
    }
  g_rand_free (random);
  return g_string_free_to_bytes (text);
}

static void
measure_transfer (const char *name, fb_bytes_t base, fb_bytes_t document)
{
  uint8_t *frame = NULL;
  uint8_t *decoded = NULL;
  size_t length = 0;
  size_t decoded_length;
  double start = read_cpu_ms ();
  double encoded;

  for (int i = 0; i < REPETITIONS; i++)
    {
      g_free (frame);
      frame = fc_encode_delta (base, document, &length);
    }
  encoded = read_cpu_ms ();
  for (int i = 0; i < REPETITIONS; i++)
    {
      if (fc_decode_delta (base, (fb_bytes_t){ frame, length }, FC_DOCUMENT_MAX, &decoded,
                           &decoded_length)
          != FB_OK)
        g_error ("the delta frame does not decode");
      g_free (decoded);
    }
  printf ("%-16s %8zu bytes of %zu, encode %.2f ms, decode %.2f ms CPU\n", name, length,
          document.len, (encoded - start) / REPETITIONS,
          (read_cpu_ms () - encoded) / REPETITIONS);
  g_free (frame);
}

static void
measure_checks (fb_bytes_t document)
{
  double start = read_cpu_ms ();
  double digested;

  for (int i = 0; i < REPETITIONS; i++)
    fb_compute_digest (document);
  digested = read_cpu_ms ();
  for (int i = 0; i < REPETITIONS; i++)
    {
      fc_problems_t *problems = fc_create_problems ();
      fc_snapshot_t *snapshot = fc_check_document (document, problems);

      if (snapshot == NULL)
        g_error ("%s", fc_format_problem (fc_get_problem (problems, 0), "document"));
      fc_release_snapshot (snapshot);
      fc_destroy_problems (problems);
    }
  printf ("%-16s digest %.2f ms, check %.2f ms CPU\n", "both", (digested - start) / REPETITIONS,
          (read_cpu_ms () - digested) / REPETITIONS);
}

static void
drop_datagram (const fb_name_t *address, uint16_t port, fb_bytes_t datagram, void *user)
{
}

static void
count_message (const fw_member_t *to, const fw_control_t *message, void *user)
{
  size_t length;

  g_free (fw_encode_control (message, &length));
  *(size_t *)user += length;
}

static void
drop_read (fb_position_t position, void *user)
{
}

static void
drop_snapshot (fc_snapshot_t *snapshot, const fb_version_t *version, void *user)
{
}

static void
drop_ready (bool ready, void *user)
{
}

static void
drop_refusal (const fb_version_t *version, const fc_problems_t *problems, void *user)
{
}

/* Measures a node's ticks among 3,000 members, and its responses to a joining one. */
static void
measure_node (void)
{
  fb_clock_t *clock = fb_create_manual_clock (FB_SECOND);
  fb_counters_t *counters = fb_create_counters ();
  fm_options_t options = fm_get_default_options ();
  fm_hooks_t member_hooks = { .send = drop_datagram };
  size_t bytes = 0;
  fd_hooks_t hooks
      = { count_message, drop_read, drop_snapshot, drop_ready, drop_refusal, &bytes };
  fw_member_t *members = g_new0 (fw_member_t, TARGET_NODES);
  fw_control_t request = { .kind = FW_MEMBERS_REQUEST };
  fm_table_t *table;
  fd_node_t *node;
  double start;

  for (size_t i = 0; i < TARGET_NODES; i++)
    {
      char text[32];

      g_snprintf (text, sizeof text, "host-%04zu.example", i);
      members[i].id = fb_make_name (text);
      g_snprintf (text, sizeof text, "10.0.%zu.%zu", i / 250, i % 250);
      members[i].address = fb_make_name (text);
      g_snprintf (text, sizeof text, "zone-%zu", i % 8);
      members[i].zone = fb_make_name (text);
      members[i].region = fb_make_name ("gh-south");
      members[i].service = fb_make_name ("storefront");
      members[i].incarnation = 1764800000000;
      members[i].control_port = members[i].call_port = members[i].admin_port = 7000;
    }
  table = fm_create_table (&members[0], &options, 3, clock, counters, &member_hooks);
  fm_merge_members (table, members + 1, TARGET_NODES - 1);
  node = fd_create_node (table, 4, clock, counters, NULL, &hooks);
  start = read_cpu_ms ();
  for (int i = 0; i < 600; i++)
    {
      fb_advance_clock (clock, 100 * FB_MILLISECOND);
      fd_tick (node);
    }
  printf ("ticks of a joining node, %d members: %.4f %% of a core\n", TARGET_NODES,
          (read_cpu_ms () - start) / 60e3 * 100);
  request.sender = members[1].id;
  bytes = 0;
  start = read_cpu_ms ();
  for (int i = 0; i < REPETITIONS; i++)
    fd_handle_message (node, &request);
  printf ("page of %d members: %zu bytes, %.2f ms CPU\n", FW_MEMBERS_PER_PAGE_MAX,
          bytes / REPETITIONS, (read_cpu_ms () - start) / REPETITIONS);
  fd_destroy_node (node);
  fm_destroy_table (table);
  fb_destroy_counters (counters);
  fb_destroy_clock (clock);
  g_free (members);
}

int
main (void)
{
  static const double losses[] = { 0, 0.01, 0.1 };
  GBytes *older = make_large_document (1, 1000);
  GBytes *newer = make_large_document (2, 1001);
  fb_bytes_t base;
  fb_bytes_t document;

  printf ("%d nodes, %d zone, %d publications\n", NODES, ZONES, PUBLICATIONS);
  printf ("%-10s %7s %-7s %8s %8s %10s %10s %10s\n", "way", "loss", "", "last50ms", "lastmax",
          "sent B/s", "source B/s", "calls/s");
  for (strategy = PUSH_AND_PULL; strategy <= POLL_SOURCE; strategy++)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (losses); i++)
        {
          measure_strategy (losses[i], false);
          measure_strategy (losses[i], true);
        }
    }
  base.data = g_bytes_get_data (older, &base.len);
  document.data = g_bytes_get_data (newer, &document.len);
  measure_transfer ("delta", base, document);
  measure_transfer ("whole", (fb_bytes_t){ NULL, 0 }, document);
  measure_checks (document);
  measure_node ();
  g_bytes_unref (older);
  g_bytes_unref (newer);
  return 0;
}
