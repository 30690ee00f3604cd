/* Requests that a caller sends before the responses to earlier ones. */
#include "http-pipeline.h"
#include <fcntl.h>
#include <foxtailrun/http/server.h>
#include <foxtailrun/kernel/kernel.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_MAX 65536
#define REQUESTS_MAX 64
#define TIME_LIMIT_S 20

/* Time without a byte after which a connection counts as silent, in ms. */
#define SILENCE_MS 30

typedef struct
{
  fk_kernel_t *kernel;
  fh_server_t *server;
  int caller;                           /* descriptor of the caller's connection */
  fh_request_t *requests[REQUESTS_MAX]; /* in the order in which they were handled */
  size_t request_count;
  size_t cancelled_count;
  bool echo; /* answer each request at once with its path */
  GString *received;
  bool closed; /* by the server */
} fixture_t;

static void
count_cancelled (fh_request_t *request, void *user)
{
  fixture_t *fixture = user;

  fixture->cancelled_count++;
  fh_respond (request, 499, NULL, 0, (fb_bytes_t){ NULL, 0 });
}

static void
store_request (fh_request_t *request, void *user)
{
  fixture_t *fixture = user;
  fb_str_t path = fh_get_path (request);

  g_assert_cmpuint (fixture->request_count, <, REQUESTS_MAX);
  fixture->requests[fixture->request_count++] = request;
  if (fixture->echo)
    fh_respond (request, 200, NULL, 0, (fb_bytes_t){ (const uint8_t *)path.data, path.len });
  else
    fh_set_cancelled_handler (request, count_cancelled, fixture);
}

/* GET stands for a repeatable route. */
static bool
is_get (const fh_request_t *request, void *user)
{
  return fb_equal_str (fh_get_method (request), FB_LITERAL ("GET"));
}

static void
connect_caller (fixture_t *fixture)
{
  struct sockaddr_in bound = { 0 };
  fb_name_t address = fb_make_name ("127.0.0.1");
  socklen_t length = sizeof bound;
  int probe = socket (AF_INET, SOCK_STREAM, 0);

  bound.sin_family = AF_INET;
  bound.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (probe, (struct sockaddr *)&bound, sizeof bound), ==, 0);
  getsockname (probe, (struct sockaddr *)&bound, &length);
  close (probe);
  fixture->server = fh_create_server (fixture->kernel, &address, ntohs (bound.sin_port),
                                      BODY_MAX, store_request, fixture);
  g_assert_nonnull (fixture->server);
  fh_set_pipeline (fixture->server, 8, 16 * 1024, is_get);
  fixture->caller = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (connect (fixture->caller, (struct sockaddr *)&bound, sizeof bound), ==, 0);
  fcntl (fixture->caller, F_SETFL, O_NONBLOCK);
  /* Otherwise single bytes wait for the acknowledgement of earlier ones. */
  setsockopt (fixture->caller, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
}

static void
set_up (fixture_t *fixture)
{
  *fixture = (fixture_t){ .kernel = fk_create_kernel (NULL), .received = g_string_new (NULL) };
  connect_caller (fixture);
}

static void
tear_down (fixture_t *fixture)
{
  if (fixture->caller >= 0)
    close (fixture->caller);
  fh_stop_accepting (fixture->server);
  fk_destroy_kernel (fixture->kernel);
  fh_destroy_server (fixture->server);
  g_string_free (fixture->received, TRUE);
}

static void
receive (fixture_t *fixture)
{
  char bytes[4096];
  ssize_t length;

  while (fixture->caller >= 0 && (length = read (fixture->caller, bytes, sizeof bytes)) >= 0)
    {
      if (length == 0)
        {
          fixture->closed = true;
          return;
        }
      g_string_append_len (fixture->received, bytes, length);
    }
}

/* Runs the loop until nothing happens for SILENCE_MS. */
static void
settle (fixture_t *fixture)
{
  gint64 limit = g_get_monotonic_time () + TIME_LIMIT_S * G_USEC_PER_SEC;
  gint64 silent_since = g_get_monotonic_time ();

  while (g_get_monotonic_time () - silent_since < SILENCE_MS * 1000)
    {
      size_t received = fixture->received->len;
      size_t handled = fixture->request_count + fixture->cancelled_count;

      g_assert_cmpint (g_get_monotonic_time (), <, limit);
      uv_run (fk_get_loop (fixture->kernel), UV_RUN_NOWAIT);
      receive (fixture);
      if (fixture->received->len != received
          || fixture->request_count + fixture->cancelled_count != handled)
        silent_since = g_get_monotonic_time ();
      g_usleep (200);
    }
}

static void
send_bytes (fixture_t *fixture, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fixture->caller, bytes, len, MSG_NOSIGNAL);

      if (sent > 0)
        {
          bytes += sent;
          len -= (size_t)sent;
        }
      else if (errno != EAGAIN)
        return;
      uv_run (fk_get_loop (fixture->kernel), UV_RUN_NOWAIT);
    }
}

static void
send_text (fixture_t *fixture, const char *text)
{
  send_bytes (fixture, text, strlen (text));
  settle (fixture);
}

static void
answer (fixture_t *fixture, size_t index)
{
  fb_str_t path = fh_get_path (fixture->requests[index]);

  fh_respond (fixture->requests[index], 200, NULL, 0,
              (fb_bytes_t){ (const uint8_t *)path.data, path.len });
}

/* Returns the statuses and bodies received, such as "200 /a 400 ", and whether the connection
 * was closed ("close"); free with g_free. */
static char *
summarize (const fixture_t *fixture)
{
  GString *summary = g_string_new (NULL);
  const char *position = fixture->received->str;

  while ((position = strstr (position, "HTTP/1.1 ")))
    {
      const char *body = strstr (position, "\r\n\r\n");
      const char *length = strstr (position, "content-length: ");
      size_t body_len = 0;

      g_assert_nonnull (body);
      if (length && length < body)
        body_len = strtoul (length + strlen ("content-length: "), NULL, 10);
      g_string_append_len (summary, position + strlen ("HTTP/1.1 "), 3);
      g_string_append_c (summary, ' ');
      if (body_len > 0)
        {
          g_string_append_len (summary, body + 4, (gssize)body_len);
          g_string_append_c (summary, ' ');
        }
      position = body + 4 + body_len;
    }
  if (fixture->closed)
    g_string_append (summary, "close");
  return g_string_free (summary, FALSE);
}

static void
assert_summary (const fixture_t *fixture, const char *expected)
{
  char *summary = summarize (fixture);

  g_assert_cmpstr (summary, ==, expected);
  g_free (summary);
}

#define GET(path) "GET " path " HTTP/1.1\r\nhost: a\r\n\r\n"
#define POST(path) "POST " path " HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx"

/* Guards against head-of-line blocking: requests handled only after earlier responses, or
 * responses that leave in the order of completion. */
static void
test_permutations (void)
{
  static const size_t orders[][3]
      = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 }, { 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (orders); i++)
    {
      fixture_t fixture;

      set_up (&fixture);
      send_text (&fixture, GET ("/a") GET ("/b") GET ("/c"));
      g_assert_cmpuint (fixture.request_count, ==, 3);
      for (size_t j = 0; j < 3; j++)
        answer (&fixture, orders[i][j]);
      settle (&fixture);
      assert_summary (&fixture, "200 /a 200 /b 200 /c ");
      tear_down (&fixture);
    }
}

/* Guards against a request that may run once only and overtakes an earlier one, or is
 * overtaken. */
static void
test_exclusive (void)
{
  fixture_t fixture;

  set_up (&fixture);
  send_text (&fixture, GET ("/a") GET ("/b") POST ("/c") GET ("/d") GET ("/e"));
  g_assert_cmpuint (fixture.request_count, ==, 2);
  answer (&fixture, 1);
  settle (&fixture);
  g_assert_cmpuint (fixture.request_count, ==, 2);
  answer (&fixture, 0);
  settle (&fixture);
  g_assert_cmpuint (fixture.request_count, ==, 3);
  answer (&fixture, 2);
  settle (&fixture);
  g_assert_cmpuint (fixture.request_count, ==, 5);
  answer (&fixture, 4);
  answer (&fixture, 3);
  settle (&fixture);
  assert_summary (&fixture, "200 /a 200 /b 200 /c 200 /d 200 /e ");
  tear_down (&fixture);
}

/* Guards against requests passed on behind a response that closes the connection: the caller
 * sends them again. */
static void
test_closing (void)
{
  static const struct
  {
    const char *name;
    const char *text;
    size_t handled;
    const char *summary;
  } cases[] = {
    { "caller's close", GET ("/a") "GET /b HTTP/1.1\r\nconnection: close\r\n\r\n" GET ("/c"), 2,
      "200 /a 200 /b close" },
    { "HTTP/1.0", GET ("/a") "GET /b HTTP/1.0\r\n\r\n" GET ("/c"), 2, "200 /a 200 /b close" },
    { "malformed head", GET ("/a") GET ("/b") "GET /c\r\nx\r\n\r\n" GET ("/d"), 2,
      "200 /a 200 /b 400 close" },
    { "malformed head behind one that runs once", POST ("/a") POST ("/b") "?\r\n\r\n", 2,
      "200 /a 200 /b 501 close" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;

      set_up (&fixture);
      send_text (&fixture, cases[i].text);
      g_assert_cmpuint (fixture.received->len, ==, 0);
      for (size_t j = 0; j < cases[i].handled; j++)
        {
          g_assert_cmpuint (j, <, fixture.request_count);
          answer (&fixture, j);
          settle (&fixture);
        }
      g_test_message ("%s", cases[i].name);
      g_assert_cmpuint (fixture.request_count, ==, cases[i].handled);
      assert_summary (&fixture, cases[i].summary);
      tear_down (&fixture);
    }
}

/* Guards against a shutdown that cuts requests in flight, hands over further ones, or keeps the
 * connection open. */
static void
test_drain (void)
{
  fixture_t fixture;

  set_up (&fixture);
  send_text (&fixture, GET ("/a") GET ("/b") POST ("/c"));
  fh_disable_keep_alive (fixture.server);
  send_text (&fixture, GET ("/d"));
  g_assert_cmpuint (fixture.request_count, ==, 2);
  answer (&fixture, 0);
  settle (&fixture);
  assert_summary (&fixture, "200 /a ");
  answer (&fixture, 1);
  settle (&fixture);
  assert_summary (&fixture, "200 /a 200 /b close");
  g_assert_cmpuint (fixture.request_count, ==, 2);
  g_assert_cmpuint (fh_count_requests (fixture.server), ==, 0);
  tear_down (&fixture);
}

/* Guards against requests that run on after their caller has left. */
static void
test_caller_leaves (void)
{
  fixture_t fixture;

  set_up (&fixture);
  send_text (&fixture, GET ("/a") GET ("/b") GET ("/c") POST ("/d"));
  g_assert_cmpuint (fixture.request_count, ==, 3);
  answer (&fixture, 2);
  close (fixture.caller);
  fixture.caller = -1;
  settle (&fixture);
  g_assert_cmpuint (fixture.cancelled_count, ==, 2);
  g_assert_cmpuint (fixture.request_count, ==, 3);
  g_assert_cmpuint (fh_count_requests (fixture.server), ==, 0);
  tear_down (&fixture);
}

/* Guards against a body of unknown length that runs into the next response. */
static void
test_close_delimited (void)
{
  fixture_t fixture;

  set_up (&fixture);
  send_text (&fixture, GET ("/a") GET ("/b"));
  fh_respond_close_delimited (fixture.requests[0], 200, NULL, 0,
                              (fb_bytes_t){ (const uint8_t *)"body", 4 });
  settle (&fixture);
  g_assert_cmpuint (fixture.cancelled_count, ==, 1);
  g_assert_true (fixture.closed);
  g_assert_true (g_str_has_suffix (fixture.received->str, "\r\n\r\nbody"));
  tear_down (&fixture);
}

/* Guards against memory without bound for a caller that sends faster than it is served. */
static void
test_back_pressure (void)
{
  fixture_t fixture;
  char *body = g_strnfill (6000, 'b');
  char *request = g_strdup_printf ("GET /x HTTP/1.1\r\ncontent-length: 6000\r\n\r\n%s", body);
  fb_counter_t *paused;
  size_t sent = 0;

  set_up (&fixture);
  paused = fb_find_counter (fk_get_counters (fixture.kernel), "http_paused_connections", "");
  for (int i = 0; i < 20; i++)
    send_bytes (&fixture, GET ("/a"), strlen (GET ("/a")));
  settle (&fixture);
  g_assert_cmpuint (fixture.request_count, ==, 8); /* the limit of requests */
  while (fixture.request_count < 20)
    {
      answer (&fixture, sent++);
      settle (&fixture);
    }
  while (sent < 20)
    answer (&fixture, sent++);
  settle (&fixture);
  g_assert_cmpuint (fb_get_counter (paused), ==, 0);
  for (int i = 0; i < 8; i++)
    send_bytes (&fixture, request, strlen (request));
  settle (&fixture);
  g_assert_cmpuint (fixture.request_count, ==, 20 + 3); /* the limit of bytes */
  g_assert_cmpuint (fb_get_counter (paused), >=, 1);
  while (sent < 28)
    {
      g_assert_cmpuint (sent, <, fixture.request_count);
      answer (&fixture, sent++);
      settle (&fixture);
    }
  g_assert_cmpuint (fixture.request_count, ==, 28);
  tear_down (&fixture);
  g_free (request);
  g_free (body);
}

/* Guards against an interim response that a caller takes for the one to an earlier request. */
static void
test_continue (void)
{
  fixture_t fixture;

  set_up (&fixture);
  send_text (&fixture, GET ("/a") "POST /b HTTP/1.1\r\nexpect: 100-continue\r\n"
                                  "content-length: 2\r\n\r\n");
  g_assert_cmpuint (fixture.received->len, ==, 0);
  answer (&fixture, 0);
  settle (&fixture);
  assert_summary (&fixture, "200 /a 100 ");
  send_text (&fixture, "xy");
  g_assert_cmpuint (fixture.request_count, ==, 2);
  answer (&fixture, 1);
  settle (&fixture);
  assert_summary (&fixture, "200 /a 100 200 /b ");
  tear_down (&fixture);
}

#define NEXT GET ("/next")
typedef struct
{
  const char *name;
  const char *text;
  const char *summary;
} framing_case_t;

static const framing_case_t framing_cases[] = {
  { "two lengths", "POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx" NEXT,
    "400 close" },
  { "list of lengths", "POST / HTTP/1.1\r\ncontent-length: 1, 1\r\n\r\nx" NEXT, "400 close" },
  { "signed length", "POST / HTTP/1.1\r\ncontent-length: +1\r\n\r\nx" NEXT, "400 close" },
  { "length above 64 bits",
    "POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\nx" NEXT, "400 close" },
  { "length and chunks",
    "POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n"
    "0\r\n\r\n" NEXT,
    "400 close" },
  { "chunks and length",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n"
    "0\r\n\r\n" NEXT,
    "400 close" },
  { "other coding", "POST / HTTP/1.1\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n" NEXT,
    "400 close" },
  { "coding before chunks",
    "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n" NEXT, "400 close" },
  { "identity", "POST / HTTP/1.1\r\ntransfer-encoding: identity\r\n\r\n" NEXT, "400 close" },
  { "two codings",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ntransfer-encoding: x\r\n\r\n"
    "0\r\n\r\n" NEXT,
    "400 close" },
  { "chunks in HTTP/1.0", "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n" NEXT,
    "400 close" },
  { "blank before the colon", "POST / HTTP/1.1\r\ncontent-length : 1\r\n\r\nx" NEXT,
    "400 close" },
  { "bare LF after a header", "POST / HTTP/1.1\r\nx: y\ncontent-length: 1\r\n\r\nx" NEXT,
    "400 close" },
  { "bare LF after the request line", "GET / HTTP/1.1\nx: y\r\n\r\n" NEXT, "400 close" },
  { "bare LF at the end", "GET / HTTP/1.1\r\nx: y\r\n\n" NEXT, "400 close" },
  { "bare CR", "GET / HTTP/1.1\r\nx: y\rcontent-length: 1\r\n\r\n" NEXT, "400 close" },
  { "folded line", "GET / HTTP/1.1\r\nx: y\r\n content-length: 1\r\n\r\n" NEXT, "400 close" },
  { "folded first line", "GET / HTTP/1.1\r\n x: y\r\n\r\n" NEXT, "400 close" },
  { "two hosts", "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n" NEXT, "400 close" },
  { "control byte in a value", "GET / HTTP/1.1\r\nx: a\001b\r\n\r\n" NEXT, "400 close" },
  { "control byte in the path", "GET /\001 HTTP/1.1\r\n\r\n" NEXT, "400 close" },
  { "blank in the path", "GET /a b HTTP/1.1\r\n\r\n" NEXT, "400 close" },
  { "chunk size ended by CR alone",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\rxhello\r\n0\r\n\r\n" NEXT,
    "400 close" },
  { "chunk size ended by LF alone",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n" NEXT,
    "400 close" },
  { "chunk without its end",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhelloxx0\r\n\r\n" NEXT,
    "400 close" },
  { "trailer ended by LF alone",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: b\n\r\n" NEXT, "400 close" },
  { "folded trailer behind one named transfer-encoding",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\ntransfer-encoding:\r\n\t\r\n\r\n" NEXT,
    "400 close" },
  { "chunk size above 64 bits",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n" NEXT,
    "400 close" },
  { "version", "GET / HTTP/2.1\r\n\r\n" NEXT, "505 close" },
  { "no version", "GET /\r\n\r\n" NEXT, "400 close" },
  { "tunnel", "CONNECT a:1 HTTP/1.1\r\n\r\n" NEXT, "501 close" },
  { "expectation", "POST / HTTP/1.1\r\nexpect: x\r\ncontent-length: 1\r\n\r\nx" NEXT,
    "417 close" },
  { "body over the limit", "POST / HTTP/1.1\r\ncontent-length: 65537\r\n\r\n" NEXT,
    "413 close" },
  { "chunk over the limit",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n20000\r\n" NEXT, "" },
  { "empty lines before a request", "\r\n\r\n" GET ("/a") NEXT, "200 /a 200 /next " },
  { "chunks",
    "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n2;x=y\r\n\r\n\r\n0\r\na: b\r\n\r\n" NEXT,
    "200 /a 200 /next " },
  { "blanks around a value", "GET /a HTTP/1.1\r\nx:  y \r\ncontent-length: 0 \r\n\r\n" NEXT,
    "200 /a 200 /next " },
  { "URL", "GET http://a:1/b?c HTTP/1.1\r\nhost: x\r\n\r\n" NEXT, "200 /b?c 200 /next " },
  { "upgrade to another protocol",
    "GET /a HTTP/1.1\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n" NEXT, "200 /a 200 /next " },
};

/* Guards against heads and bodies that this server and a proxy in front of it would split
 * differently: nothing behind them may be read. */
static void
test_smuggling (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (framing_cases); i++)
    for (size_t split = 0; split < 2; split++)
      {
        fixture_t fixture;
        size_t len = strlen (framing_cases[i].text);

        set_up (&fixture);
        fixture.echo = true;
        g_test_message ("%s%s", framing_cases[i].name, split ? ", byte by byte" : "");
        for (size_t j = 0; split && j < len; j++)
          send_bytes (&fixture, framing_cases[i].text + j, 1);
        if (!split)
          send_bytes (&fixture, framing_cases[i].text, len);
        settle (&fixture);
        assert_summary (&fixture, framing_cases[i].summary);
        tear_down (&fixture);
      }
}

/* Guards against HTTP/2 callers that no longer get an answer. */
static void
test_http2 (void)
{
  static const struct
  {
    const char *text;
    size_t len;
    const char *start; /* of the response */
    size_t start_len;
  } cases[] = {
    { "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33, "\0\0", 2 },
    { "GET /a HTTP/1.1\r\nhost: a\r\nconnection: upgrade, http2-settings\r\nupgrade: h2c\r\n"
      "http2-settings: AAMAAABkAAQAAP__\r\n\r\n",
      113, "HTTP/1.1 101 ", 13 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;

      set_up (&fixture);
      fixture.echo = true;
      send_bytes (&fixture, cases[i].text, cases[i].len);
      settle (&fixture);
      g_assert_cmpuint (fixture.received->len, >, cases[i].start_len);
      g_assert_cmpmem (fixture.received->str, cases[i].start_len, cases[i].start,
                       cases[i].start_len);
      tear_down (&fixture);
    }
}

/* Guards against random splits of the byte stream and random order of completion that change
 * which request gets which response, or let one that runs once overlap. */
static void
run_random (uint32_t seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  GString *text = g_string_new (NULL);
  GString *expected = g_string_new (NULL);
  bool is_exclusive[REQUESTS_MAX];
  bool answered[REQUESTS_MAX] = { false };
  size_t count = (size_t)g_rand_int_range (random, 2, 12);
  size_t open_count = 0;
  size_t seen = 0;
  size_t answered_count = 0;
  size_t sent = 0;
  fixture_t fixture;

  set_up (&fixture);
  for (size_t i = 0; i < count; i++)
    {
      is_exclusive[i] = g_rand_int_range (random, 0, 3) == 0;
      g_string_append_printf (text,
                              g_rand_boolean (random)
                                  ? "%s /%zu HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc"
                                  : "%s /%zu HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                                    "3\r\nabc\r\n0\r\n\r\n",
                              is_exclusive[i] ? "POST" : "GET", i);
      g_string_append_printf (expected, "200 /%zu ", i);
    }
  while (answered_count < count)
    {
      size_t chosen = (size_t)g_rand_int_range (random, 0, (gint32)count);
      size_t part = (size_t)g_rand_int_range (random, 1, 60);

      part = MIN (part, text->len - sent);
      send_bytes (&fixture, text->str + sent, part);
      sent += part;
      for (int i = 0; i < 5; i++)
        uv_run (fk_get_loop (fixture.kernel), UV_RUN_NOWAIT);
      receive (&fixture);
      for (; seen < fixture.request_count; seen++)
        {
          open_count++;
          g_assert_true (!is_exclusive[seen] || open_count == 1);
        }
      if (chosen >= fixture.request_count || answered[chosen])
        continue;
      answered[chosen] = true;
      answered_count++;
      open_count--;
      answer (&fixture, chosen);
    }
  settle (&fixture);
  g_test_message ("seed %u", seed);
  assert_summary (&fixture, expected->str);
  tear_down (&fixture);
  g_string_free (text, TRUE);
  g_string_free (expected, TRUE);
  g_rand_free (random);
}

static void
test_random (void)
{
  const char *seeds = g_getenv ("SEEDS");
  unsigned long count = seeds ? strtoul (seeds, NULL, 10) : 50;

  for (unsigned long seed = 1; seed <= count; seed++)
    run_random ((uint32_t)seed);
}

#define SLOTS 5

typedef struct
{
  fh_pipeline_t pipeline;
  fh_slot_t slots[SLOTS];
  unsigned exclusive; /* bit mask of slots */
  size_t taken;
} order_t;

static bool
is_slot_shared (const fh_slot_t *slot, void *user)
{
  const order_t *order = user;

  return !(order->exclusive >> (slot - order->slots) & 1);
}

/* Fills ORDER, then finishes open slots, each time the one that the next digit of CHOICES to
 * the base of SLOTS names. */
static void
run_order (order_t *order, unsigned exclusive, unsigned choices)
{
  *order = (order_t){ .exclusive = exclusive };
  fh_init_pipeline (&order->pipeline, is_slot_shared, order);
  for (size_t i = 0; i < SLOTS; i++)
    fh_add_slot (&order->pipeline, &order->slots[i], 1, &order->slots[i]);
  while (!fh_is_pipeline_empty (&order->pipeline))
    {
      fh_slot_t *open[SLOTS];
      size_t open_count = 0;
      fh_slot_t *slot;

      while (fh_open_slot (&order->pipeline))
        ;
      for (size_t i = 0; i < SLOTS; i++)
        if (i >= order->taken && order->slots[i].state == FH_SLOT_OPEN)
          open[open_count++] = &order->slots[i];
      g_assert_cmpuint (open_count, >, 0);
      for (size_t i = 0; i < open_count; i++)
        g_assert_true (open_count == 1 || is_slot_shared (open[i], order));
      fh_finish_slot (&order->pipeline, open[choices % open_count], 1, false);
      choices /= SLOTS;
      while ((slot = fh_take_done_slot (&order->pipeline)))
        g_assert_true (slot == &order->slots[order->taken++]);
    }
  g_assert_cmpuint (order->taken, ==, SLOTS);
  g_assert_cmpuint (order->pipeline.bytes, ==, 0);
}

/* Guards against a pipeline that stalls, overlaps an exclusive request or reorders responses,
 * for each set of exclusive requests and each order of completion. */
static void
test_orders (void)
{
  for (unsigned exclusive = 0; exclusive < 1u << SLOTS; exclusive++)
    for (unsigned choices = 0; choices < 3125; choices++)
      {
        order_t order;

        run_order (&order, exclusive, choices);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/pipeline/orders", test_orders);
  g_test_add_func ("/http/pipeline/permutations", test_permutations);
  g_test_add_func ("/http/pipeline/exclusive", test_exclusive);
  g_test_add_func ("/http/pipeline/closing", test_closing);
  g_test_add_func ("/http/pipeline/drain", test_drain);
  g_test_add_func ("/http/pipeline/caller-leaves", test_caller_leaves);
  g_test_add_func ("/http/pipeline/close-delimited", test_close_delimited);
  g_test_add_func ("/http/pipeline/back-pressure", test_back_pressure);
  g_test_add_func ("/http/pipeline/continue", test_continue);
  g_test_add_func ("/http/pipeline/smuggling", test_smuggling);
  g_test_add_func ("/http/pipeline/http2", test_http2);
  g_test_add_func ("/http/pipeline/random", test_random);
  return g_test_run ();
}
