/* Measures convergence, control traffic, processor time and memory of real nodes on loopback.
 *
 * Usage: fleet-bench DAEMON PLATFORM NODES DOCUMENT_KB CHANGES
 * Starts the platform stand-in and NODES nodes without backend servers over 8 zones in 4
 * regions, waits until all are ready, measures an idle window and a window with one change a
 * second, then single changes under faults. Convergence is read from the nodes' logs,
 * all timed by the host's monotonic clock. */
#include "process.h"
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES_MAX 240
#define ZONES 8
#define SERVICES 130
#define ROUTES_MAX 3900

/* Bytes of a route without padding. Large documents pad paths to stay within the limit of
 * routes. */
#define ROUTE_BYTES 110
#define WINDOW_S 20
#define READY_TIMEOUT_S 120
#define SETTLE_TIME_S 8

typedef struct
{
  fk_kernel_t *kernel;
  const char *daemon;
  const char *platform_path;
  char *folder;
  char *published;
  size_t count;
  size_t document_bytes;
  uint64_t version;
  GPid platform;
  GPid nodes[NODES_MAX];
  bool alive[NODES_MAX];
  bool started[NODES_MAX];
  unsigned loopback_net;
} bench_t;

/* Totals of all running nodes at one time. */
typedef struct
{
  double cpu_s;
  double rss_mb;
  double rss_max_mb;
  uint64_t bytes;
  uint64_t source_calls;
  gint64 at_us;
} usage_t;

static fb_name_t
make_address (const bench_t *bench, size_t host)
{
  char text[32];

  g_snprintf (text, sizeof text, "127.%u.%zu.%zu", bench->loopback_net, 1 + host / 200,
              1 + host % 200);
  return fb_make_name (text);
}

static GPid
spawn (bench_t *bench, char **argv, const char *log)
{
  char *path = g_build_filename (bench->folder, log, NULL);
  GPid pid = start_process (argv, path);

  g_free (path);
  return pid;
}

static void
start_node (bench_t *bench, size_t index)
{
  fb_name_t address = make_address (bench, index);
  fb_name_t platform = make_address (bench, 399);
  char *path = g_strdup_printf ("%s/node-%zu.toml", bench->folder, index);
  char *log = g_strdup_printf ("node-%zu.log", index);
  char *argv[] = { (char *)bench->daemon, "--settings", path, NULL };
  GString *seeds = g_string_new ("");
  char *text;

  for (size_t seed = 0; seed < MIN (bench->count, 4); seed++)
    g_string_append_printf (seeds, "%s\"%s:7001\"", seed ? ", " : "",
                            make_address (bench, seed).data);
  text = g_strdup_printf (
      "[node]\nid = \"node-%zu\"\nzone = \"zone-%zu\"\nregion = \"region-%zu\"\n"
      "[listen]\naddress = \"%s\"\ncaller_port = 8000\ncall_port = 7002\ncontrol_port = 7001\n"
      "admin_port = 9000\n[platform]\naddress = \"%s\"\nport = 8500\n[seeds]\nnodes = [%s]\n",
      index, index % ZONES, index % ZONES / 2, address.data, platform.data, seeds->str);
  g_file_set_contents (path, text, -1, NULL);
  bench->nodes[index] = spawn (bench, argv, log);
  bench->alive[index] = true;
  bench->started[index] = true;
  g_string_free (seeds, TRUE);
  g_free (text);
  g_free (log);
  g_free (path);
}

/* Publishes the next version, with one route changed; returns the time in us. */
static gint64
publish (bench_t *bench)
{
  GString *text = g_string_new ("");
  char *path = g_build_filename (bench->published, "config.toml", NULL);
  gint64 at;
  int path_padding
      = (int)MAX (bench->document_bytes / ROUTES_MAX, ROUTE_BYTES + 1) - ROUTE_BYTES;

  bench->version++;
  g_string_append_printf (text, "version = %" G_GUINT64_FORMAT "\n", bench->version);
  g_string_append (text, "[[rank]]\nname = \"urgent\"\norder = 0\ntarget_ms = 50\n");
  for (size_t i = 0; i < SERVICES; i++)
    g_string_append_printf (
        text, "[[service]]\nname = \"service-%zu\"\nslots = 9\nconnections = 120\n", i);
  for (size_t i = 0; text->len < bench->document_bytes && i < ROUTES_MAX; i++)
    g_string_append_printf (text,
                            "[[route]]\nname = \"route-%zu\"\npath = \"/route-%zu/%0*d\"\n"
                            "service = \"service-%zu\"\nrank = \"urgent\"\ntimeout_ms = %zu\n",
                            i, i, path_padding, 0, i % SERVICES,
                            1000 + (i == bench->version % 100 ? (size_t)bench->version : 0));
  at = g_get_monotonic_time ();
  g_file_set_contents (path, text->str, (gssize)text->len, NULL);
  g_string_free (text, TRUE);
  g_free (path);
  return at;
}

typedef struct
{
  bench_t *bench;
  bool done;
  char *body;
  uint32_t status;
} fetch_t;

static void
handle_response (const fh_response_t *response, void *user)
{
  fetch_t *fetch = user;

  fetch->done = true;
  fetch->status = response->status;
  fetch->body
      = fb_copy_text ((fb_str_t){ (const char *)response->body.data, response->body.len });
  fk_quit (fetch->bench->kernel);
}

static char *
fetch_text (bench_t *bench, size_t host, uint16_t port, const char *path, uint32_t *status)
{
  fb_name_t address = make_address (bench, host);
  fh_client_t *client
      = fh_create_client (bench->kernel, &address, port, 1, 1 << 20, 2 * FB_SECOND);
  fh_client_request_t outgoing
      = { .method = FB_LITERAL ("GET"), .path = fb_wrap_text (path), .new_connection = true };
  fetch_t fetch = { .bench = bench };

  fh_send_request (client, &outgoing, handle_response, &fetch);
  while (!fetch.done)
    fk_run (bench->kernel);
  fh_destroy_client (client);
  if (status)
    *status = fetch.status;
  return fetch.body;
}

static void
wait_ready (bench_t *bench)
{
  gint64 limit = g_get_monotonic_time () + (gint64)READY_TIMEOUT_S * G_USEC_PER_SEC;

  for (size_t i = 0; i < bench->count;)
    {
      uint32_t status = 0;

      if (!bench->started[i])
        {
          i++;
          continue;
        }
      g_free (fetch_text (bench, i, 9000, "/ready", &status));
      if (status == 200)
        {
          i++;
          continue;
        }
      if (g_get_monotonic_time () > limit)
        g_error ("node-%zu is not ready after %d s", i, READY_TIMEOUT_S);
      g_usleep (50000);
    }
}

static double
read_rss_mb (GPid pid)
{
  char path[64];
  char *text = NULL;
  const char *at;
  double kilobytes = 0;

  g_snprintf (path, sizeof path, "/proc/%d/status", pid);
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  at = strstr (text, "VmRSS:");
  if (at)
    kilobytes = strtod (at + strlen ("VmRSS:"), NULL);
  g_free (text);
  return kilobytes / 1024;
}

/* Sums the metrics in TEXT whose line starts with PREFIX. */
static uint64_t
sum_metric (const char *text, const char *prefix)
{
  uint64_t sum = 0;

  for (const char *at = text; at; at = strchr (at, '\n'))
    {
      at += *at == '\n' ? 1 : 0;
      if (g_str_has_prefix (at, prefix))
        sum += g_ascii_strtoull (strchr (at, ' '), NULL, 10);
      if (*at == '\0')
        break;
    }
  return sum;
}

static usage_t
read_usage (bench_t *bench)
{
  usage_t usage = { 0 };
  size_t alive_count = 0;
  char *text;

  for (size_t i = 0; i < bench->count; i++)
    {
      double rss;

      if (!bench->alive[i])
        continue;
      text = fetch_text (bench, i, 9000, "/metrics", NULL);
      usage.bytes += sum_metric (text, "foxtailrun_gossip_sent_bytes")
                     + sum_metric (text, "foxtailrun_gossip_received_bytes")
                     + sum_metric (text, "foxtailrun_bus_sent_bytes{bus=\"control\"}")
                     + sum_metric (text, "foxtailrun_bus_received_bytes{bus=\"control\"}");
      g_free (text);
      usage.cpu_s += read_cpu (bench->nodes[i]);
      rss = read_rss_mb (bench->nodes[i]);
      usage.rss_mb += rss;
      usage.rss_max_mb = MAX (usage.rss_max_mb, rss);
      alive_count++;
    }
  usage.rss_mb /= (double)alive_count;
  text = fetch_text (bench, 399, 8500, "/standin/calls", NULL);
  usage.source_calls = g_ascii_strtoull (text, NULL, 10);
  g_free (text);
  usage.at_us = g_get_monotonic_time ();
  return usage;
}

static void
print_usage (const bench_t *bench, const char *name, const usage_t *from, const usage_t *to)
{
  double seconds = (double)(to->at_us - from->at_us) / G_USEC_PER_SEC;
  double nodes = (double)bench->count;

  printf ("%-22s nodes=%-3zu doc_kb=%-4zu control_bytes_s_node=%-6.0f cpu_pct_node=%-5.2f "
          "rss_mb=%.1f rss_max_mb=%.1f source_calls_s=%.2f\n",
          name, bench->count, bench->document_bytes / 1024,
          (double)(to->bytes - from->bytes) / seconds / nodes,
          100 * (to->cpu_s - from->cpu_s) / seconds / nodes, to->rss_mb, to->rss_max_mb,
          (double)(to->source_calls - from->source_calls) / seconds);
  fflush (stdout);
}

/* Returns the time in ms at which node INDEX applied VERSION, or -1. */
static double
read_applied (bench_t *bench, size_t index, uint64_t version)
{
  char *path = g_strdup_printf ("%s/node-%zu.log", bench->folder, index);
  char *version_field = g_strdup_printf ("version=%" G_GUINT64_FORMAT "@", version);
  char *text = NULL;
  double at = -1;

  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      char **lines = g_strsplit (text, "\n", -1);
      for (char **line = lines; *line && at < 0; line++)
        {
          if (strstr (*line, "configuration in force") && strstr (*line, version_field))
            at = strtod (*line + strlen ("ms="), NULL);
        }
      g_strfreev (lines);
    }
  g_free (text);
  g_free (version_field);
  g_free (path);
  return at;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

/* Adds the delays of running nodes since VERSION was published at AT_US; returns how many have
 * not applied it. */
static size_t
add_delays (bench_t *bench, uint64_t version, gint64 at_us, GArray *delays)
{
  size_t missing = 0;

  for (size_t i = 0; i < bench->count; i++)
    {
      double applied;
      double delay;

      if (!bench->alive[i])
        continue;
      applied = read_applied (bench, i, version);
      delay = applied - (double)at_us / 1000;
      if (applied < 0)
        missing++;
      else
        g_array_append_val (delays, delay);
    }
  return missing;
}

static void
print_delays (const bench_t *bench, const char *name, GArray *delays, size_t missing)
{
  g_array_sort (delays, compare_doubles);
  if (delays->len == 0)
    printf ("%-22s nodes=%-3zu nothing applied\n", name, bench->count);
  else
    printf (
        "%-22s nodes=%-3zu doc_kb=%-4zu median_ms=%.0f p99_ms=%.0f last_ms=%.0f missing=%zu\n",
        name, bench->count, bench->document_bytes / 1024,
        g_array_index (delays, double, delays->len / 2),
        g_array_index (delays, double, (guint)(0.99 * (delays->len - 1))),
        g_array_index (delays, double, delays->len - 1), missing);
  fflush (stdout);
}

static void
measure_changes (bench_t *bench, size_t changes)
{
  GArray *delays = g_array_new (FALSE, FALSE, sizeof (double));
  gint64 *published = g_new0 (gint64, changes);
  uint64_t first = bench->version + 1;
  usage_t from = read_usage (bench);
  usage_t to;
  size_t missing = 0;

  for (size_t i = 0; i < changes; i++)
    {
      published[i] = publish (bench);
      g_usleep (G_USEC_PER_SEC);
    }
  to = read_usage (bench);
  print_usage (bench, "one change a second", &from, &to);
  sleep (SETTLE_TIME_S);
  for (size_t i = 0; i < changes; i++)
    missing += add_delays (bench, first + i, published[i], delays);
  print_delays (bench, "one change a second", delays, missing);
  g_array_free (delays, TRUE);
  g_free (published);
}

static void
kill_node (bench_t *bench, size_t index)
{
  if (!bench->alive[index])
    return;
  kill_process (bench->nodes[index]);
  bench->alive[index] = false;
}

/* Publishes a change, kills the selected nodes at once and prints the others' delays. */
static void
measure_fault (bench_t *bench, const char *name,
               bool (*is_selected) (bench_t *bench, size_t index))
{
  GArray *delays = g_array_new (FALSE, FALSE, sizeof (double));
  gint64 at = publish (bench);
  size_t missing;

  for (size_t i = 0; i < bench->count; i++)
    {
      if (is_selected (bench, i))
        kill_node (bench, i);
    }
  sleep (SETTLE_TIME_S + 4);
  missing = add_delays (bench, bench->version, at, delays);
  print_delays (bench, name, delays, missing);
  g_array_free (delays, TRUE);
  for (size_t i = 0; i < bench->count; i++)
    {
      if (!bench->alive[i])
        start_node (bench, i);
    }
  wait_ready (bench);
}

static bool
select_none (bench_t *bench, size_t index)
{
  return false;
}

static bool
select_zone (bench_t *bench, size_t index)
{
  return index % ZONES == 3;
}

static bool
select_readers (bench_t *bench, size_t index)
{
  char *text = fetch_text (bench, index, 9000, "/version", NULL);
  bool reader = strstr (text, "\"reader\":true") != NULL;

  g_free (text);
  return reader;
}

static bool
select_fifth (bench_t *bench, size_t index)
{
  return index % 5 == 2;
}

static void
stop_all (bench_t *bench)
{
  for (size_t i = 0; i < bench->count; i++)
    kill_node (bench, i);
  kill_process (bench->platform);
  remove_folder (bench->folder);
}

static void
start_all (bench_t *bench)
{
  fb_name_t address = make_address (bench, 399);
  char *argv[] = { (char *)bench->platform_path, address.data, "8500", bench->published, NULL };
  gint64 start_time;

  publish (bench);
  bench->platform = spawn (bench, argv, "platform.log");
  g_usleep (200000);
  start_time = g_get_monotonic_time ();
  for (size_t i = 0; i < bench->count; i++)
    start_node (bench, i);
  wait_ready (bench);
  printf ("%-22s nodes=%-3zu all_ready_s=%.1f\n", "cold start of all", bench->count,
          (double)(g_get_monotonic_time () - start_time) / G_USEC_PER_SEC);
}

int
main (int argc, char **argv)
{
  bench_t bench = { 0 };
  usage_t from;
  usage_t to;

  if (argc != 6 || (bench.count = (size_t)atoi (argv[3])) == 0 || bench.count > NODES_MAX)
    {
      fprintf (stderr, "usage: fleet-bench DAEMON PLATFORM NODES(1..%d) DOCUMENT_KB CHANGES\n",
               NODES_MAX);
      return 2;
    }
  bench.kernel = fk_create_kernel (NULL);
  bench.daemon = argv[1];
  bench.platform_path = argv[2];
  bench.document_bytes = (size_t)atoi (argv[4]) * 1024;
  bench.folder = g_dir_make_tmp ("foxtailrun-bench-XXXXXX", NULL);
  bench.published = g_build_filename (bench.folder, "published", NULL);
  g_mkdir (bench.published, 0700);
  bench.loopback_net = 20 + (unsigned)getpid () % 60;
  start_all (&bench);
  sleep (SETTLE_TIME_S);
  from = read_usage (&bench);
  sleep (WINDOW_S);
  to = read_usage (&bench);
  print_usage (&bench, "idle", &from, &to);
  measure_changes (&bench, (size_t)atoi (argv[5]));
  measure_fault (&bench, "one change", select_none);
  measure_fault (&bench, "readers killed", select_readers);
  measure_fault (&bench, "a zone killed", select_zone);
  measure_fault (&bench, "a fifth killed", select_fifth);
  stop_all (&bench);
  return 0;
}
