/* Stand-in for a backend server: answers after a service time and counts the requests run.
 *
 * Usage: standin-backend ADDRESS PORT NAME SLOTS SERVICE_MS [COLD_MS COLD_RATE]
 * The answer echoes the request: "name=NAME path=PATH body=BODY runs=N", N counting the runs of
 * the same path. Query parameters: sleep=MS replaces the service time, shed=1 answers 503,
 * crash=MS ends the process after that time in service, size=BYTES appends as many to the
 * answer. NAME=MS is the service time at the stand-in of that name only; with "fail" after it
 * the answer is 500. With SLOTS requests in service, a further one gets 503 and counts as an
 * overrun. GET /standin/runs returns one line "PATH COUNT" for each path run, GET
 * /standin/cancelled the same for the runs whose caller left, GET /standin/overruns the number
 * of overruns. GET /standin/header?NAME=VALUE adds a header to all further responses to
 * requests with X-Attempt-Id; without a value it removes the header. GET /standin/spoil?KIND&N
 * spoils one in N of the further responses to requests that were run, by KIND: "no-id",
 * "other-id", "two-ids", "no-signature", "bare" (neither), "coding" (a content coding is named)
 * or "refusal" (status 503 without X-Not-Executed). With "+close" after KIND such a response
 * has no length and ends with its connection; "whole" spoils nothing else. N 0 ends it.
 *
 * With COLD_RATE it is cold for COLD_MS after its start, and for MS from a request to GET
 * /standin/cold?MS on. While cold, it runs requests in twice the time, and its process ends
 * when it gets more than twice COLD_RATE in a second. GET /standin/health says how much longer
 * it is cold; it counts as a request. GET /standin/peak returns the most requests that it got
 * in a second while cold.
 *
 * A request with X-Attempt-Id is answered like the users' instances do: the response
 * repeats the id, carries a signature and returns the caller's service in X-Seen-Caller. The
 * response to a request that was not run has X-Not-Executed; its status is 421 if the request
 * expected an instance other than NAME. */
#include <foxtailrun/http/server.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

typedef struct
{
  fk_kernel_t *kernel;
  const char *name;
  uint32_t slots;
  uint32_t in_use;
  uint64_t overruns;
  fb_time_t service_time;
  GHashTable *runs;           /* path to run count */
  GHashTable *cancelled_runs; /* path to count */
  GHashTable *headers;        /* added to responses: value by name */
  char *spoil_kind;
  unsigned spoil_interval; /* 0: no response is spoilt */
  unsigned spoil_count;    /* responses since the last one that was spoilt */
  fb_time_t cold_until;
  unsigned cold_rate;     /* requests a second tolerated while cold; 0: any number */
  GQueue received;        /* when requests of the last second came while cold: fb_time_t */
  unsigned received_peak; /* most in a second while cold */
} backend_t;

typedef struct
{
  backend_t *backend;
  fh_request_t *request; /* NULL once answered or cancelled */
  char *path;
  char *body;
  uint64_t run_count;
  fk_timer_t *timer;
} job_t;

static fb_str_t
find_header (fh_request_t *request, fb_str_t name)
{
  const fh_header_t *headers;
  size_t count = fh_get_headers (request, &headers);

  return fh_find_header (headers, count, name);
}

/* Headers of a response: its own and those added by /standin/header. */
#define HEADERS_MAX 16

/* Responds to a request with X-Attempt-Id; COUNT HEADERS have room for HEADERS_MAX. */
static void
respond_as_instance (backend_t *backend, fh_request_t *request, uint32_t status,
                     fh_header_t *headers, size_t count, const char *text)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, backend->headers);
  while (count < HEADERS_MAX && g_hash_table_iter_next (&iter, &name, &value))
    headers[count++] = (fh_header_t){ fb_wrap_text (name), fb_wrap_text (value) };
  fh_respond (request, status, headers, count,
              (fb_bytes_t){ (const uint8_t *)text, strlen (text) });
}

static void
respond_text (backend_t *backend, fh_request_t *request, uint32_t status, const char *text)
{
  fb_str_t request_id = find_header (request, FB_LITERAL ("x-attempt-id"));
  fb_str_t own_request_id = find_header (request, FB_LITERAL ("foxtailrun-request-id"));
  fb_str_t caller = find_header (request, FB_LITERAL ("x-caller-service"));
  fh_header_t headers[HEADERS_MAX] = {
    { FB_LITERAL ("content-type"), FB_LITERAL ("text/plain") },
    { FB_LITERAL ("x-attempt-id"), request_id },
    { FB_LITERAL ("x-seen-caller"), caller.data ? caller : FB_LITERAL ("none") },
    { FB_LITERAL ("x-response-signature"), FB_LITERAL ("standin") },
  };

  if (request_id.data)
    respond_as_instance (backend, request, status, headers, 4, text);
  else
    {
      headers[1] = (fh_header_t){ FB_LITERAL ("foxtailrun-request-id"), own_request_id };
      fh_respond (request, status, headers, own_request_id.data ? 2 : 1,
                  (fb_bytes_t){ (const uint8_t *)text, strlen (text) });
    }
}

#define CLOSE_SUFFIX "+close"

/* Answers a request that was run with a response that is not one of the protocol, except for
 * kind "whole", whose body is TEXT. */
static void
respond_spoilt (backend_t *backend, fh_request_t *request, const char *text)
{
  const char *kind = backend->spoil_kind;
  const char *body_text = g_str_has_prefix (kind, "whole") ? text : "spoilt\n";
  bool is_own = !find_header (request, FB_LITERAL ("x-attempt-id")).data;
  fb_str_t id_name
      = is_own ? FB_LITERAL ("foxtailrun-request-id") : FB_LITERAL ("x-attempt-id");
  bool bare = g_str_has_prefix (kind, "bare");
  bool other_id = g_str_has_prefix (kind, "other-id");
  uint32_t status = g_str_has_prefix (kind, "refusal") ? 503 : 200;
  fb_bytes_t body = { (const uint8_t *)body_text, strlen (body_text) };
  fh_header_t headers[HEADERS_MAX];
  size_t count = 0;

  if (!bare && !other_id && !g_str_has_prefix (kind, "no-id"))
    headers[count++] = (fh_header_t){ id_name, find_header (request, id_name) };
  if (other_id || g_str_has_prefix (kind, "two-ids"))
    headers[count++] = (fh_header_t){ id_name, FB_LITERAL ("0123456789abcdef") };
  if (!bare && !is_own && !g_str_has_prefix (kind, "no-signature"))
    headers[count++]
        = (fh_header_t){ FB_LITERAL ("x-response-signature"), FB_LITERAL ("standin") };
  if (g_str_has_prefix (kind, "coding"))
    headers[count++] = (fh_header_t){ FB_LITERAL ("content-encoding"), FB_LITERAL ("gzip") };
  if (g_str_has_suffix (kind, CLOSE_SUFFIX))
    fh_respond_close_delimited (request, status, headers, count, body);
  else
    fh_respond (request, status, headers, count, body);
}

/* Returns whether the next response is to be spoilt. */
static bool
is_spoilt (backend_t *backend)
{
  if (backend->spoil_interval == 0 || ++backend->spoil_count < backend->spoil_interval)
    return false;
  backend->spoil_count = 0;
  return true;
}

/* Sets which responses are spoilt by TEXT, "KIND&N". */
static void
set_spoiling (backend_t *backend, const char *text)
{
  const char *interval = strchr (text, '&');

  if (!interval)
    return;
  g_free (backend->spoil_kind);
  backend->spoil_kind = g_strndup (text, (gsize)(interval - text));
  backend->spoil_interval = (unsigned)strtoul (interval + 1, NULL, 10);
  backend->spoil_count = 0;
}

/* Answers a request without running it. */
static void
refuse_request (backend_t *backend, fh_request_t *request, uint32_t status, const char *text)
{
  fb_str_t request_id = find_header (request, FB_LITERAL ("x-attempt-id"));
  fh_header_t headers[HEADERS_MAX] = {
    { FB_LITERAL ("x-attempt-id"), request_id },
    { FB_LITERAL ("x-not-executed"), FB_LITERAL ("1") },
  };

  if (request_id.data)
    respond_as_instance (backend, request, status, headers, 2, text);
  else
    respond_text (backend, request, status, text);
}

/* Adds or removes a header by TEXT, "NAME=VALUE". */
static void
set_header (backend_t *backend, const char *text)
{
  const char *equals = strchr (text, '=');

  if (!equals)
    return;
  if (equals[1] == '\0')
    {
      char *name = g_strndup (text, (gsize)(equals - text));

      g_hash_table_remove (backend->headers, name);
      g_free (name);
    }
  else
    g_hash_table_insert (backend->headers, g_strndup (text, (gsize)(equals - text)),
                         g_strdup (equals + 1));
}

static bool
is_misdirected (const backend_t *backend, fh_request_t *request)
{
  fb_str_t expected = find_header (request, FB_LITERAL ("x-expected-instance"));

  return expected.data && !fb_equal_str (expected, fb_wrap_text (backend->name));
}

/* Returns the answer to JOB; free with g_free. */
static char *
format_answer (const job_t *job)
{
  const char *size = strstr (job->path, "size=");
  char *filler
      = g_strnfill (size ? g_ascii_strtoull (size + strlen ("size="), NULL, 10) : 0, 'x');
  char *text
      = g_strdup_printf ("name=%s path=%s body=%s runs=%" G_GUINT64_FORMAT "\n%s",
                         job->backend->name, job->path, job->body, job->run_count, filler);

  g_free (filler);
  return text;
}

/* Returns the text after "NAME=" of this stand-in in PATH, or NULL. */
static const char *
find_own_parameter (const backend_t *backend, const char *path)
{
  char *key = g_strconcat (backend->name, "=", NULL);
  const char *at = strstr (path, key);

  at = at ? at + strlen (key) : NULL;
  g_free (key);
  return at;
}

static bool
is_failing (const backend_t *backend, const char *path)
{
  const char *own = find_own_parameter (backend, path);

  return own && g_str_has_prefix (own + strspn (own, "0123456789"), "fail");
}

static void
finish_job (void *user)
{
  job_t *job = user;
  char *text;

  job->backend->in_use--;
  if (job->request)
    {
      text = format_answer (job);
      if (is_spoilt (job->backend))
        respond_spoilt (job->backend, job->request, text);
      else
        respond_text (job->backend, job->request,
                      is_failing (job->backend, job->path) ? 500 : 200, text);
      g_free (text);
    }
  fk_destroy_timer (job->timer);
  g_free (job->path);
  g_free (job->body);
  g_free (job);
}

/* Counts PATH in COUNTS; returns its count. */
static uint64_t
count_path (GHashTable *counts, const char *path)
{
  uint64_t count = GPOINTER_TO_SIZE (g_hash_table_lookup (counts, path)) + 1;

  g_hash_table_insert (counts, g_strdup (path), GSIZE_TO_POINTER (count));
  return count;
}

/* Detaches a cancelled request from its job, which keeps its slot until it ends. */
static void
detach_request (fh_request_t *request, void *user)
{
  job_t *job = user;

  count_path (job->backend->cancelled_runs, job->path);
  job->request = NULL;
  respond_text (job->backend, request, 500, "cancelled\n");
}

static void
report_counts (backend_t *backend, GHashTable *counts, fh_request_t *request)
{
  GString *text = g_string_new ("");
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_string_append_printf (text, "%s %zu\n", (const char *)key, GPOINTER_TO_SIZE (value));
  respond_text (backend, request, 200, text->str);
  g_string_free (text, TRUE);
}

static fb_time_t
get_cold_time (const backend_t *backend)
{
  return MAX (backend->cold_until - fb_read_clock (fk_get_clock (backend->kernel)), 0);
}

/* Ends the process when it gets too many requests while cold. */
static void
count_received (backend_t *backend)
{
  fb_time_t now = fb_read_clock (fk_get_clock (backend->kernel));

  if (get_cold_time (backend) == 0)
    {
      g_queue_clear_full (&backend->received, g_free);
      return;
    }
  g_queue_push_tail (&backend->received, g_memdup2 (&now, sizeof now));
  while (*(fb_time_t *)g_queue_peek_head (&backend->received) + FB_SECOND <= now)
    g_free (g_queue_pop_head (&backend->received));
  backend->received_peak = MAX (backend->received_peak, backend->received.length);
  if (backend->received.length > 2 * backend->cold_rate)
    _exit (1);
}

static void
respond_health (backend_t *backend, fh_request_t *request)
{
  char left[24];
  fh_header_t headers[] = { { FB_LITERAL ("x-instance-id"), fb_wrap_text (backend->name) },
                            { FB_LITERAL ("x-warmup-ms"), { left, 0 } } };

  g_snprintf (left, sizeof left, "%" G_GINT64_FORMAT,
              (gint64)(get_cold_time (backend) / FB_MILLISECOND));
  headers[1].value = fb_wrap_text (left);
  fh_respond (request, 200, headers, G_N_ELEMENTS (headers), (fb_bytes_t){ NULL, 0 });
}

static fb_time_t
read_service_time (backend_t *backend, const char *path)
{
  const char *own = find_own_parameter (backend, path);
  const char *at = strstr (path, "sleep=");
  fb_time_t time
      = at ? (fb_time_t)g_ascii_strtoull (at + strlen ("sleep="), NULL, 10) * FB_MILLISECOND
           : backend->service_time;

  if (own)
    time = (fb_time_t)g_ascii_strtoull (own, NULL, 10) * FB_MILLISECOND;
  return get_cold_time (backend) > 0 ? 2 * time : time;
}

static void
crash (void *user)
{
  _exit (1);
}

/* Ends the process in the service of a request for PATH, if it says so. */
static void
schedule_crash (backend_t *backend, const char *path)
{
  const char *at = strstr (path, "crash=");

  if (at)
    fk_create_timeout (backend->kernel,
                       (fb_time_t)g_ascii_strtoull (at + strlen ("crash="), NULL, 10)
                           * FB_MILLISECOND,
                       crash, backend);
}

static void
start_job (backend_t *backend, fh_request_t *request, char *path)
{
  job_t *job = g_new0 (job_t, 1);
  fb_bytes_t body = fh_get_body (request);

  backend->in_use++;
  job->backend = backend;
  job->request = request;
  job->path = path;
  job->body = g_strndup ((const char *)body.data, body.len);
  job->run_count = count_path (backend->runs, path);
  fh_set_cancelled_handler (request, detach_request, job);
  schedule_crash (backend, path);
  job->timer
      = fk_create_timeout (backend->kernel, read_service_time (backend, path), finish_job, job);
}

#define HEADER_PATH "/standin/header?"
#define SPOIL_PATH "/standin/spoil?"
#define COLD_PATH "/standin/cold?"
#define HEALTH_PATH "/standin/health"

/* Returns whether a request to PATH counts among those that a cold instance tolerates. */
static bool
is_counted (const backend_t *backend, fh_request_t *request, const char *path)
{
  return backend->cold_rate > 0 && !is_misdirected (backend, request)
         && (!g_str_has_prefix (path, "/standin/") || strcmp (path, HEALTH_PATH) == 0);
}

static void
handle_request (fh_request_t *request, void *user)
{
  backend_t *backend = user;
  char *path = fb_copy_text (fh_get_path (request));
  char text[32];

  if (is_counted (backend, request, path))
    count_received (backend);
  if (strcmp (path, "/standin/runs") == 0)
    report_counts (backend, backend->runs, request);
  else if (strcmp (path, "/standin/cancelled") == 0)
    report_counts (backend, backend->cancelled_runs, request);
  else if (strcmp (path, HEALTH_PATH) == 0 && !is_misdirected (backend, request))
    respond_health (backend, request);
  else if (strcmp (path, "/standin/peak") == 0)
    {
      snprintf (text, sizeof text, "%u\n", backend->received_peak);
      respond_text (backend, request, 200, text);
    }
  else if (g_str_has_prefix (path, COLD_PATH))
    {
      backend->cold_until = fb_read_clock (fk_get_clock (backend->kernel))
                            + (fb_time_t)g_ascii_strtoull (path + strlen (COLD_PATH), NULL, 10)
                                  * FB_MILLISECOND;
      respond_text (backend, request, 200, "");
    }
  else if (strcmp (path, "/standin/overruns") == 0)
    {
      snprintf (text, sizeof text, "%" G_GUINT64_FORMAT "\n", backend->overruns);
      respond_text (backend, request, 200, text);
    }
  else if (g_str_has_prefix (path, HEADER_PATH))
    {
      set_header (backend, path + strlen (HEADER_PATH));
      respond_text (backend, request, 200, "");
    }
  else if (g_str_has_prefix (path, SPOIL_PATH))
    {
      set_spoiling (backend, path + strlen (SPOIL_PATH));
      respond_text (backend, request, 200, "");
    }
  else if (is_misdirected (backend, request))
    refuse_request (backend, request, 421, "another instance\n");
  else if (strstr (path, "shed=1"))
    refuse_request (backend, request, 503, "shed\n");
  else if (backend->in_use >= backend->slots)
    {
      backend->overruns++;
      refuse_request (backend, request, 503, "no slot\n");
    }
  else
    {
      start_job (backend, request, g_steal_pointer (&path));
    }
  g_free (path);
}

static void
quit (void *user)
{
  fk_quit (user);
}

int
main (int argc, char **argv)
{
  backend_t backend = { 0 };
  fb_name_t address;

  if (argc != 6 && argc != 8)
    {
      fprintf (stderr, "usage: standin-backend ADDRESS PORT NAME SLOTS SERVICE_MS"
                       " [COLD_MS COLD_RATE]\n");
      return 2;
    }
  address = fb_make_name (argv[1]);
  backend.kernel = fk_create_kernel (NULL);
  backend.name = argv[3];
  backend.slots = (uint32_t)atoi (argv[4]);
  backend.service_time = atoi (argv[5]) * FB_MILLISECOND;
  if (argc == 8)
    {
      backend.cold_until = fb_read_clock (fk_get_clock (backend.kernel))
                           + (fb_time_t)atoi (argv[6]) * FB_MILLISECOND;
      backend.cold_rate = (unsigned)atoi (argv[7]);
    }
  backend.cancelled_runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  backend.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  backend.headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (!fh_create_server (backend.kernel, &address, (uint16_t)atoi (argv[2]), 1024 * 1024,
                         handle_request, &backend))
    return 1;
  fk_watch_signals (backend.kernel, quit, backend.kernel);
  fk_run (backend.kernel);
  return 0;
}
