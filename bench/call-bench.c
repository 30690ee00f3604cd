/* Measures the latency that the call path adds, the calls a second and the processor time a
 * call, with real processes on loopback.
 *
 * Usage: call-bench DAEMON PLATFORM BACKEND SECONDS
 * Starts a backend server stand-in that answers at once, its node, and an entry node of another
 * service. Sequential calls go to the backend server directly, through its own node (one hop)
 * and through the entry node (two hops), interleaved so that machine load affects
 * all alike; then many calls at once go through the entry node. */
#include "process.h"
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOP_COUNTS 3
#define PARALLEL_CALLS 64
#define WARM_UP_CALLS 200

typedef struct
{
  fk_kernel_t *kernel;
  char *folder;
  unsigned net;
  GPid pids[8];
  size_t pid_count;
  fh_client_t *clients[HOP_COUNTS];
  GArray *latencies[HOP_COUNTS];
  size_t hops;
  fb_time_t start_time;
  fb_time_t sent_at;
  fb_time_t end_time;
  uint64_t calls;
  uint64_t failed;
  bool parallel;
  uint64_t in_flight;
} bench_t;

static const char *const hop_names[HOP_COUNTS] = { "direct", "one hop", "two hops" };

static GPid
spawn (bench_t *bench, char **argv)
{
  char *path = g_strdup_printf ("%s/log-%zu", bench->folder, bench->pid_count);
  GPid pid = start_process (argv, path);

  bench->pids[bench->pid_count++] = pid;
  g_free (path);
  return pid;
}

static fb_name_t
make_address (const bench_t *bench, unsigned host)
{
  char text[32];

  g_snprintf (text, sizeof text, "127.%u.9.%u", bench->net, host);
  return fb_make_name (text);
}

static GPid
start_node (bench_t *bench, char *daemon, unsigned host, const char *service)
{
  fb_name_t address = make_address (bench, host);
  fb_name_t platform = make_address (bench, 200);
  fb_name_t seed = make_address (bench, 1);
  char *path = g_strdup_printf ("%s/node-%u.toml", bench->folder, host);
  char *text = g_strdup_printf (
      "[node]\nid = \"node-%u\"\nzone = \"zone-a\"\nregion = \"region-1\"\nservice = \"%s\"\n"
      "[listen]\naddress = \"%s\"\ncaller_port = 8000\ncall_port = 7002\ncontrol_port = 7001\n"
      "admin_port = 9000\n[backend]\naddress = \"%s\"\nport = 9100\n"
      "[platform]\naddress = \"%s\"\nport = 8500\n[seeds]\nnodes = [\"%s:7001\"]\n",
      host, service, address.data, address.data, platform.data, seed.data);
  char *argv[] = { daemon, "--settings", path, NULL };
  GPid pid;

  g_file_set_contents (path, text, -1, NULL);
  pid = spawn (bench, argv);
  g_free (text);
  g_free (path);
  return pid;
}

static void send_next (bench_t *bench);

static void
handle_response (const fh_response_t *response, void *user)
{
  bench_t *bench = user;
  fb_time_t now = fb_read_clock (fk_get_clock (bench->kernel));
  fb_time_t latency = now - bench->sent_at;

  bench->calls++;
  bench->in_flight--;
  if (response->result != FH_ANSWERED || response->status != 200)
    bench->failed++;
  else if (!bench->parallel && bench->calls > WARM_UP_CALLS)
    g_array_append_val (bench->latencies[bench->hops], latency);
  if (now < bench->end_time)
    send_next (bench);
  else if (bench->in_flight == 0)
    fk_quit (bench->kernel);
}

static void
send_next (bench_t *bench)
{
  fh_client_request_t outgoing
      = { .method = FB_LITERAL ("GET"), .path = FB_LITERAL ("/x?sleep=0") };

  bench->hops = bench->parallel ? HOP_COUNTS - 1 : bench->calls % HOP_COUNTS;
  bench->in_flight++;
  bench->sent_at = fb_read_clock (fk_get_clock (bench->kernel));
  fh_send_request (bench->clients[bench->hops], &outgoing, handle_response, bench);
}

static int
compare_times (const void *a, const void *b)
{
  fb_time_t left = *(const fb_time_t *)a;
  fb_time_t right = *(const fb_time_t *)b;

  return left < right ? -1 : left > right;
}

static double
read_percentile (GArray *values, double fraction)
{
  return (double)g_array_index (values, fb_time_t, (guint)(fraction * (values->len - 1)))
         / FB_MICROSECOND;
}

static void
run_for (bench_t *bench, int seconds, uint64_t parallel)
{
  bench->calls = 0;
  bench->failed = 0;
  bench->parallel = parallel > 1;
  bench->start_time = fb_read_clock (fk_get_clock (bench->kernel));
  bench->end_time = bench->start_time + seconds * FB_SECOND;
  for (uint64_t i = 0; i < parallel; i++)
    send_next (bench);
  fk_run (bench->kernel);
}

static void
print_latencies (bench_t *bench)
{
  for (size_t hops = 0; hops < HOP_COUNTS; hops++)
    g_array_sort (bench->latencies[hops], compare_times);
  for (size_t hops = 0; hops < HOP_COUNTS; hops++)
    {
      double base50 = read_percentile (bench->latencies[0], 0.5);
      double base99 = read_percentile (bench->latencies[0], 0.99);
      double p50 = read_percentile (bench->latencies[hops], 0.5);
      double p99 = read_percentile (bench->latencies[hops], 0.99);
      printf ("%-9s calls=%u p50_us=%.0f p99_us=%.0f added_p50_us=%.0f added_p99_us=%.0f\n",
              hop_names[hops], bench->latencies[hops]->len, p50, p99, p50 - base50,
              p99 - base99);
    }
}

int
main (int argc, char **argv)
{
  bench_t bench = { .kernel = fk_create_kernel (NULL) };
  char *published;
  fb_name_t addresses[HOP_COUNTS];
  GPid entry;
  GPid owner;
  double cpu[2];
  double seconds;

  if (argc != 5)
    {
      fprintf (stderr, "usage: call-bench DAEMON PLATFORM BACKEND SECONDS\n");
      return 2;
    }
  bench.folder = g_dir_make_tmp ("foxtailrun-bench-XXXXXX", NULL);
  bench.net = 80 + (unsigned)getpid () % 20;
  published = g_build_filename (bench.folder, "config.toml", NULL);
  g_file_set_contents (published,
                       "version = 1\n[[rank]]\nname = \"r\"\norder = 0\ntarget_ms = 1000\n"
                       "[[service]]\nname = \"s\"\nslots = 100\nconnections = 120\n"
                       "[[service]]\nname = \"other\"\nslots = 1\nconnections = 1\n"
                       "[[route]]\nname = \"x\"\npath = \"/x\"\nservice = \"s\"\nrank = \"r\"\n"
                       "timeout_ms = 5000\nrepeatable = true\n",
                       -1, NULL);
  spawn (&bench,
         (char *[]){ argv[2], make_address (&bench, 200).data, "8500", bench.folder, NULL });
  spawn (&bench,
         (char *[]){ argv[3], make_address (&bench, 1).data, "9100", "b", "200", "0", NULL });
  g_usleep (300000);
  owner = start_node (&bench, argv[1], 1, "s");
  entry = start_node (&bench, argv[1], 2, "other");
  sleep (6);
  for (unsigned hops = 0; hops < HOP_COUNTS; hops++)
    {
      addresses[hops] = make_address (&bench, hops == 2 ? 2 : 1);
      bench.clients[hops]
          = fh_create_client (bench.kernel, &addresses[hops], hops == 0 ? 9100 : 8000, 256,
                              1 << 20, 10 * FB_SECOND);
      bench.latencies[hops] = g_array_new (FALSE, FALSE, sizeof (fb_time_t));
    }
  run_for (&bench, atoi (argv[4]), 1);
  printf ("one call at a time, bad=%" G_GUINT64_FORMAT "\n", bench.failed);
  if (bench.latencies[HOP_COUNTS - 1]->len == 0)
    g_error ("no call was answered");
  print_latencies (&bench);
  cpu[0] = read_cpu (entry) + read_cpu (owner);
  run_for (&bench, atoi (argv[4]), PARALLEL_CALLS);
  cpu[1] = read_cpu (entry) + read_cpu (owner);
  seconds
      = (double)(fb_read_clock (fk_get_clock (bench.kernel)) - bench.start_time) / FB_SECOND;
  printf ("%d at once, two hops: calls_s=%.0f bad=%" G_GUINT64_FORMAT
          " cpu_us_call_both_nodes=%.1f calls_s_per_core=%.0f\n",
          PARALLEL_CALLS, (double)bench.calls / seconds, bench.failed,
          (cpu[1] - cpu[0]) * 1e6 / (double)bench.calls,
          (double)bench.calls / (cpu[1] - cpu[0]));
  for (size_t i = 0; i < bench.pid_count; i++)
    kill_process (bench.pids[i]);
  remove_folder (bench.folder);
  return 0;
}
