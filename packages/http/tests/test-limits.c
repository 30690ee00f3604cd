/* Time limits of transfers, and the limit of connections of the HTTP server. */
#include <arpa/inet.h>
#include <errno.h>
#include <foxtailrun/http/server.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_MAX (1024 * 1024)
#define RESPONSE_BYTES (4 * 1024 * 1024)
#define STEP_MS 20

/* Steps after which a fault is assumed; on a slow host a step takes longer. */
#define STEPS_MAX 500

typedef struct
{
  fk_kernel_t *kernel;
  fh_server_t *server;
  uint16_t port;
  char *response; /* RESPONSE_BYTES */
} fixture_t;

typedef struct
{
  int descriptor;
  GString *received;
  bool closed;
} caller_t;

static void
respond (fh_request_t *request, void *user)
{
  const fixture_t *fixture = user;
  bool is_long = fb_equal_str (fh_get_path (request), FB_LITERAL ("/long"));

  fh_respond (request, 200, NULL, 0,
              (fb_bytes_t){ (const uint8_t *)fixture->response, is_long ? RESPONSE_BYTES : 2 });
}

static uint16_t
find_free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int probe = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (probe, (struct sockaddr *)&address, sizeof address), ==, 0);
  g_assert_cmpint (getsockname (probe, (struct sockaddr *)&address, &length), ==, 0);
  close (probe);
  return ntohs (address.sin_port);
}

static void
set_up (fixture_t *fixture)
{
  static const fh_timeouts_t timeouts
      = { 300 * FB_MILLISECOND, 300 * FB_MILLISECOND, 1000 * FB_MILLISECOND, 1024 };
  fb_name_t address = fb_make_name ("127.0.0.1");

  fixture->kernel = fk_create_kernel (NULL);
  fixture->response = g_strnfill (RESPONSE_BYTES, 'r');
  fixture->port = find_free_port ();
  fixture->server
      = fh_create_server (fixture->kernel, &address, fixture->port, BODY_MAX, respond, fixture);
  g_assert_nonnull (fixture->server);
  fh_set_timeouts (fixture->server, &timeouts);
  /* Shorter than the transfers below: it must not end them. */
  fh_set_idle_timeout (fixture->server, 400 * FB_MILLISECOND);
}

static void
run (const fixture_t *fixture)
{
  fk_timer_t *timer = fk_create_timeout (fixture->kernel, STEP_MS * FB_MILLISECOND,
                                         (fk_callback_fn_t)fk_quit, fixture->kernel);

  fk_run (fixture->kernel);
  fk_destroy_timer (timer);
}

static void
tear_down (fixture_t *fixture)
{
  const fb_account_t *account = fk_get_account (fixture->kernel);

  for (unsigned step = 0; step < STEPS_MAX && fb_get_held_total (account) > 0; step++)
    run (fixture);
  g_assert_cmpuint (fb_get_held_total (account), ==, 0);
  fk_destroy_kernel (fixture->kernel);
  fh_destroy_server (fixture->server);
  g_free (fixture->response);
}

static void
connect_caller (const fixture_t *fixture, caller_t *caller, int receive_buffer)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (fixture->port) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  caller->descriptor = socket (AF_INET, SOCK_STREAM, 0);
  caller->received = g_string_new (NULL);
  caller->closed = false;
  if (receive_buffer > 0)
    setsockopt (caller->descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
  g_assert_cmpint (
      connect (caller->descriptor, (const struct sockaddr *)&address, sizeof address), ==, 0);
}

static void
send_text (caller_t *caller, const char *text, size_t length)
{
  /* Fails when the server has closed the connection. */
  ssize_t sent = send (caller->descriptor, text, length, MSG_NOSIGNAL | MSG_DONTWAIT);

  g_assert_true (sent == (ssize_t)length || caller->closed || errno == EPIPE
                 || errno == ECONNRESET);
}

/* Reads at most MAX bytes. */
static void
receive_some (caller_t *caller, size_t max)
{
  char *bytes = g_malloc (max);
  ssize_t length = recv (caller->descriptor, bytes, max, MSG_DONTWAIT);

  if (length > 0)
    g_string_append_len (caller->received, bytes, length);
  else if (length == 0 || errno != EAGAIN)
    caller->closed = true;
  g_free (bytes);
}

static void
close_caller (caller_t *caller)
{
  close (caller->descriptor);
  g_string_free (caller->received, TRUE);
}

typedef struct
{
  const char *name;
  const char *first;
  size_t step_bytes; /* of a body, sent in each step */
  const char *status;
} upload_t;

#define HEAD "POST / HTTP/1.1\r\nhost: a\r\n"

/* Guards against requests that hold a connection for ever, at a byte from time to time as well,
 * and against ending one that makes progress for longer than the idle timeout. */
static void
test_uploads (void)
{
  static const upload_t cases[]
      = { { "no head", "GET / HTTP/1.1\r\nhost", 0, "HTTP/1.1 408 " },
          { "dripping head", HEAD "x: ", 1, "HTTP/1.1 408 " },
          { "no body", HEAD "content-length: 100000\r\n\r\n", 0, "HTTP/1.1 408 " },
          { "dripping body", HEAD "content-length: 100000\r\n\r\n", 1, "HTTP/1.1 408 " },
          { "steady body", HEAD "content-length: 100000\r\n\r\n", 2000, "HTTP/1.1 200 " } };
  char *filler = g_strnfill (2000, 'x');

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      caller_t caller;

      g_test_message ("%s", cases[i].name);
      set_up (&fixture);
      connect_caller (&fixture, &caller, 0);
      send_text (&caller, cases[i].first, strlen (cases[i].first));
      for (unsigned step = 0; step < STEPS_MAX && caller.received->len == 0; step++)
        {
          if (cases[i].step_bytes > 0 && step < 50)
            send_text (&caller, filler, cases[i].step_bytes);
          run (&fixture);
          receive_some (&caller, 4096);
        }
      g_assert_true (g_str_has_prefix (caller.received->str, cases[i].status));
      close_caller (&caller);
      tear_down (&fixture);
    }
  g_free (filler);
}

static bool
has_long_response (const caller_t *caller)
{
  const char *end = strstr (caller->received->str, "\r\n\r\n");

  return end
         && caller->received->len == (size_t)(end + 4 - caller->received->str) + RESPONSE_BYTES;
}

#define GET_LONG "GET /long HTTP/1.1\r\nhost: a\r\n"

/* Guards against responses that are held for ever for a caller that does not read, and against
 * cutting one for a caller that reads slowly but steadily. */
static void
test_downloads (void)
{
  static const struct
  {
    const char *request;
    size_t step_bytes;
    bool whole;
  } cases[] = { { GET_LONG "\r\n", 0, false },
                { GET_LONG "\r\n", 64 * 1024, true },
                { GET_LONG "connection: close\r\n\r\n", 64 * 1024, true } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      caller_t caller;
      const fb_counter_t *closed;

      set_up (&fixture);
      closed = fb_find_counter (fk_get_counters (fixture.kernel), "http_closed",
                                "cause=\"response\"");
      connect_caller (&fixture, &caller, 32 * 1024);
      send_text (&caller, cases[i].request, strlen (cases[i].request));
      for (unsigned step = 0; step < STEPS_MAX && !caller.closed && !has_long_response (&caller)
                              && fb_get_counter (closed) == 0;
           step++)
        {
          run (&fixture);
          if (cases[i].step_bytes > 0)
            receive_some (&caller, cases[i].step_bytes);
        }
      g_assert_cmpuint (fb_get_counter (closed), ==, cases[i].whole ? 0 : 1);
      if (cases[i].whole)
        g_assert_true (has_long_response (&caller));
      close_caller (&caller);
      tear_down (&fixture);
    }
}

/* Guards against idle connections that keep others out. */
static void
test_connections_max (void)
{
  fixture_t fixture;
  caller_t callers[4];

  set_up (&fixture);
  fh_set_connections_max (fixture.server, 2);
  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      connect_caller (&fixture, &callers[i], 0);
      send_text (&callers[i], "GET / HTTP/1.1\r\nhost: a\r\n\r\n", 27);
      for (unsigned step = 0; step < STEPS_MAX && callers[i].received->len == 0; step++)
        {
          run (&fixture);
          receive_some (&callers[i], 4096);
        }
      g_assert_true (g_str_has_prefix (callers[i].received->str, "HTTP/1.1 200 "));
    }
  receive_some (&callers[0], 1);
  g_assert_true (callers[0].closed);
  receive_some (&callers[3], 1);
  g_assert_false (callers[3].closed);
  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    close_caller (&callers[i]);
  tear_down (&fixture);
}

/* Guards against unfinished requests that keep others out until their time limit. */
static void
test_slow_heads (void)
{
  static const fh_timeouts_t timeouts
      = { 60 * FB_SECOND, 60 * FB_SECOND, 60 * FB_SECOND, 1024 };
  fixture_t fixture;
  caller_t slow[2];
  caller_t caller;

  set_up (&fixture);
  fh_set_timeouts (fixture.server, &timeouts);
  fh_set_connections_max (fixture.server, 2);
  for (size_t i = 0; i < G_N_ELEMENTS (slow); i++)
    {
      connect_caller (&fixture, &slow[i], 0);
      send_text (&slow[i], "GET / HTTP/1.1\r\n", 16);
      run (&fixture);
    }
  connect_caller (&fixture, &caller, 0);
  send_text (&caller, "GET / HTTP/1.1\r\nhost: a\r\n\r\n", 27);
  for (unsigned step = 0; step < STEPS_MAX && caller.received->len == 0; step++)
    {
      run (&fixture);
      receive_some (&caller, 4096);
    }
  g_assert_true (g_str_has_prefix (caller.received->str, "HTTP/1.1 200 "));
  for (size_t i = 0; i < G_N_ELEMENTS (slow); i++)
    close_caller (&slow[i]);
  close_caller (&caller);
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/limits/uploads", test_uploads);
  g_test_add_func ("/http/limits/downloads", test_downloads);
  g_test_add_func ("/http/limits/connections-max", test_connections_max);
  g_test_add_func ("/http/limits/slow-heads", test_slow_heads);
  return g_test_run ();
}
