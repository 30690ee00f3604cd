/* Stand-in for callers: sends requests to entry nodes and checks that each response is
 * complete and belongs to its request.
 *
 * Usage: standin-caller [OPTION=VALUE...] ADDRESS:PORT...
 *
 * path=/ method=GET body=TEXT customer=NAME: the request; each has a unique query "n=NUMBER".
 *
 * count=100 concurrency=4: number of calls, and how many are in flight at once.
 *
 * rate=0: if above 0, starts this many calls a second, however many are in flight.
 *
 * duration=S: sends for S seconds instead of a number of calls.
 *
 * ticket=1: on 428, repeats the request with the response's ticket.
 *
 * Requests are spread over the addresses in turn. Prints one line: counts by outcome, wrong
 * responses, transport errors (connection refused, or closed without a response) and latencies
 * in microseconds. Exits with 1 if a response was wrong. */
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGETS_MAX 64
#define IO_TIMEOUT (30 * FB_SECOND)
#define RESPONSE_MAX (8 * 1024 * 1024)

typedef struct
{
  fk_kernel_t *kernel;
  fh_client_t *targets[TARGETS_MAX];
  size_t target_count;
  const char *path;
  const char *method;
  const char *body;
  const char *customer;
  uint64_t count;
  uint64_t concurrency;
  uint64_t rate;
  uint64_t duration;
  bool ticket;
  uint64_t started;
  uint64_t ended;
  uint64_t seed;
  uint64_t answered;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t failed;
  uint64_t errors;
  uint64_t wrong;
  uint64_t ticket_repeats;
  fb_time_t start_time;
  GArray *latencies;
  fk_timer_t *timer;
} caller_t;

typedef struct
{
  caller_t *caller;
  uint64_t number;
  size_t target;
  char *path;
  fb_time_t start_time;
  bool sent_with_ticket;
} exchange_t;

static void start_calls (caller_t *caller);
static void send_call (exchange_t *exchange, fb_str_t ticket);

static bool
is_finished (const caller_t *caller)
{
  if (caller->duration > 0)
    return fb_read_clock (fk_get_clock (caller->kernel)) - caller->start_time
           >= (fb_time_t)caller->duration * FB_SECOND;
  return caller->started >= caller->count;
}

/* Whether RESPONSE echoes the request of EXCHANGE completely. */
static bool
is_matching_response (const exchange_t *exchange, const fh_response_t *response)
{
  char *expected = g_strdup_printf ("path=%s body=%s runs=", exchange->path,
                                    exchange->caller->body ? exchange->caller->body : "");
  bool matches
      = g_strstr_len ((const char *)response->body.data, (gssize)response->body.len, expected)
            != NULL
        && response->body.len > 0 && response->body.data[response->body.len - 1] == '\n';

  g_free (expected);
  return matches;
}

static void
count_outcome (exchange_t *exchange, const fh_response_t *response)
{
  caller_t *caller = exchange->caller;
  fb_str_t outcome = fh_find_header (response->headers, response->header_count,
                                     FB_LITERAL ("foxtailrun-outcome"));
  fb_time_t latency = fb_read_clock (fk_get_clock (caller->kernel)) - exchange->start_time;

  if (response->result != FH_ANSWERED)
    caller->errors++;
  else if (fb_equal_str (outcome, FB_LITERAL ("not-run")))
    caller->not_run++;
  else if (fb_equal_str (outcome, FB_LITERAL ("unknown")))
    caller->unknown++;
  else if (response->status != 200)
    caller->failed++;
  else
    {
      caller->answered++;
      caller->wrong += is_matching_response (exchange, response) ? 0 : 1;
      g_array_append_val (caller->latencies, latency);
    }
}

static int
compare_times (const void *a, const void *b)
{
  fb_time_t left = *(const fb_time_t *)a;
  fb_time_t right = *(const fb_time_t *)b;

  return left < right ? -1 : left > right;
}

static long
read_percentile (caller_t *caller, double fraction)
{
  guint index;

  if (caller->latencies->len == 0)
    return 0;
  index = (guint)(fraction * (caller->latencies->len - 1));
  return (long)(g_array_index (caller->latencies, fb_time_t, index) / FB_MICROSECOND);
}

static void
print_summary (caller_t *caller)
{
  double seconds = (double)(fb_read_clock (fk_get_clock (caller->kernel)) - caller->start_time)
                   / FB_SECOND;

  g_array_sort (caller->latencies, compare_times);
  printf ("sent=%" G_GUINT64_FORMAT " answered=%" G_GUINT64_FORMAT " not_run=%" G_GUINT64_FORMAT
          " unknown=%" G_GUINT64_FORMAT " failed=%" G_GUINT64_FORMAT
          " errors=%" G_GUINT64_FORMAT " wrong=%" G_GUINT64_FORMAT
          " ticket_repeats=%" G_GUINT64_FORMAT " p50_us=%ld p99_us=%ld max_us=%ld rate=%.0f\n",
          caller->started, caller->answered, caller->not_run, caller->unknown, caller->failed,
          caller->errors, caller->wrong, caller->ticket_repeats, read_percentile (caller, 0.5),
          read_percentile (caller, 0.99), read_percentile (caller, 1.0),
          (double)caller->ended / seconds);
}

static void
handle_response (const fh_response_t *response, void *user)
{
  exchange_t *exchange = user;
  caller_t *caller = exchange->caller;
  fb_str_t ticket = fh_find_header (response->headers, response->header_count,
                                    FB_LITERAL ("foxtailrun-ticket"));

  if (caller->ticket && !exchange->sent_with_ticket && response->status == 428
      && ticket.len > 0)
    {
      exchange->sent_with_ticket = true;
      caller->ticket_repeats++;
      send_call (exchange, ticket);
      return;
    }
  count_outcome (exchange, response);
  caller->ended++;
  g_free (exchange->path);
  g_free (exchange);
  if (caller->rate == 0)
    start_calls (caller);
  if (is_finished (caller) && caller->ended == caller->started)
    fk_quit (caller->kernel);
}

static void
send_call (exchange_t *exchange, fb_str_t ticket)
{
  caller_t *caller = exchange->caller;
  fh_header_t headers[2];
  fh_client_request_t outgoing
      = { .method = fb_wrap_text (caller->method),
          .path = fb_wrap_text (exchange->path),
          .headers = headers,
          .body = { (const uint8_t *)caller->body, caller->body ? strlen (caller->body) : 0 } };

  if (caller->customer)
    headers[outgoing.header_count++]
        = (fh_header_t){ FB_LITERAL ("foxtailrun-customer"), fb_wrap_text (caller->customer) };
  if (ticket.len > 0)
    headers[outgoing.header_count++]
        = (fh_header_t){ FB_LITERAL ("foxtailrun-ticket"), ticket };
  fh_send_request (caller->targets[exchange->target], &outgoing, handle_response, exchange);
}

static void
start_call (caller_t *caller)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);

  exchange->caller = caller;
  exchange->number = caller->started++;
  exchange->target = exchange->number % caller->target_count;
  exchange->path = g_strdup_printf ("%s%cn=%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                                    caller->path, strchr (caller->path, '?') ? '&' : '?',
                                    caller->seed, exchange->number);
  exchange->start_time = fb_read_clock (fk_get_clock (caller->kernel));
  send_call (exchange, (fb_str_t){ NULL, 0 });
}

static void
start_calls (caller_t *caller)
{
  while (!is_finished (caller) && caller->started - caller->ended < caller->concurrency)
    start_call (caller);
}

/* Starts the calls that are due at the given rate. */
static void
start_due_calls (void *user)
{
  caller_t *caller = user;
  fb_time_t elapsed = fb_read_clock (fk_get_clock (caller->kernel)) - caller->start_time;
  uint64_t due = (uint64_t)((double)elapsed / FB_SECOND * (double)caller->rate);

  while (!is_finished (caller) && caller->started < due)
    start_call (caller);
  if (is_finished (caller) && caller->ended == caller->started)
    fk_quit (caller->kernel);
}

static bool
add_target (caller_t *caller, const char *text)
{
  const char *colon = strrchr (text, ':');
  fb_name_t address;

  if (!colon || caller->target_count == TARGETS_MAX
      || !fb_set_name (&address, (fb_str_t){ text, (size_t)(colon - text) }))
    return false;
  caller->targets[caller->target_count++] = fh_create_client (
      caller->kernel, &address, (uint16_t)atoi (colon + 1), 256, RESPONSE_MAX, IO_TIMEOUT);
  return true;
}

/* Parses an OPTION=VALUE argument; returns false if TEXT is not a known option. */
static bool
read_option (caller_t *caller, const char *text)
{
  const struct
  {
    const char *name;
    const char **text;
    uint64_t *number;
  } options[] = {
    { "path=", &caller->path, NULL },   { "method=", &caller->method, NULL },
    { "body=", &caller->body, NULL },   { "customer=", &caller->customer, NULL },
    { "count=", NULL, &caller->count }, { "concurrency=", NULL, &caller->concurrency },
    { "rate=", NULL, &caller->rate },   { "duration=", NULL, &caller->duration },
  };

  if (strcmp (text, "ticket=1") == 0)
    {
      caller->ticket = true;
      return true;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (options); i++)
    {
      size_t len = strlen (options[i].name);
      if (strncmp (text, options[i].name, len) != 0)
        continue;
      if (options[i].text)
        *options[i].text = text + len;
      else
        *options[i].number = g_ascii_strtoull (text + len, NULL, 10);
      return true;
    }
  return false;
}

int
main (int argc, char **argv)
{
  caller_t caller = { .path = "/", .method = "GET", .count = 100, .concurrency = 4 };

  caller.kernel = fk_create_kernel (NULL);
  caller.latencies = g_array_new (FALSE, FALSE, sizeof (fb_time_t));
  caller.seed = (uint64_t)g_get_real_time ();
  for (int i = 1; i < argc; i++)
    {
      if (!read_option (&caller, argv[i]) && !add_target (&caller, argv[i]))
        {
          fprintf (stderr,
                   "standin-caller: argument \"%s\" is neither OPTION=VALUE nor ADDRESS:PORT\n",
                   argv[i]);
          return 2;
        }
    }
  if (caller.target_count == 0)
    {
      fprintf (stderr, "usage: standin-caller [OPTION=VALUE...] ADDRESS:PORT...\n");
      return 2;
    }
  caller.start_time = fb_read_clock (fk_get_clock (caller.kernel));
  if (caller.rate > 0)
    caller.timer = fk_create_timer (caller.kernel, FB_MILLISECOND, start_due_calls, &caller);
  else
    start_calls (&caller);
  fk_run (caller.kernel);
  print_summary (&caller);
  return caller.wrong > 0 ? 1 : 0;
}
