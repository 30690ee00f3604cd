/* Tests the HTTP client against the HTTP server and raw socket responses. */
#include <foxtailrun/http/client.h>
#include <foxtailrun/http/server.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_MAX 65536

typedef struct
{
  fk_kernel_t *kernel;
  fh_server_t *server;
  fh_client_t *client;
  uint16_t port;
  uv_tcp_t raw_listener;          /* listens for connections that get raw_response */
  const char *raw_response;       /* written to a connection before it is closed */
  fh_request_t *deferred_request; /* request left unanswered by the handler */
  bool defer_response;
  size_t cancelled_count;
  size_t response_count;
  fh_result_t result;
  uint32_t status;
  GString *body;
} fixture_t;

static void
fail_on_timeout (void *user)
{
  g_error ("no response within the test's time limit of 20 s");
}

static void
run_until_quit (fixture_t *fixture)
{
  fk_timer_t *timeout
      = fk_create_timeout (fixture->kernel, 20 * FB_SECOND, fail_on_timeout, NULL);

  fk_run (fixture->kernel);
  fk_destroy_timer (timeout);
}

static void
respond_when_cancelled (fh_request_t *request, void *user)
{
  fixture_t *fixture = user;

  fixture->cancelled_count++;
  fh_respond (request, 200, NULL, 0, (fb_bytes_t){ NULL, 0 });
  fk_quit (fixture->kernel);
}

static void
echo_request (fh_request_t *request, void *user)
{
  static const fh_header_t headers[]
      = { { FB_LITERAL ("x-answer"), FB_LITERAL ("yes") },
          { FB_LITERAL ("connection"), FB_LITERAL ("upgrade") } };
  fixture_t *fixture = user;
  fb_bytes_t body = fh_get_body (request);

  if (fixture->defer_response)
    {
      fixture->deferred_request = request;
      fh_set_cancelled_handler (request, respond_when_cancelled, fixture);
      fk_quit (fixture->kernel);
      return;
    }
  fh_respond (request, 200, headers, G_N_ELEMENTS (headers), body);
}

/* Creates a client and, unless raw_response is set, a server on a free port. */
static void
set_up (fixture_t *fixture)
{
  fb_name_t address = fb_make_name ("127.0.0.1");
  struct sockaddr_in bound;
  int length = sizeof bound;
  uv_tcp_t probe;

  fixture->kernel = fk_create_kernel (NULL);
  fixture->body = g_string_new ("");
  uv_ip4_addr ("127.0.0.1", 0, &bound);
  uv_tcp_init (fk_get_loop (fixture->kernel), &probe);
  g_assert_cmpint (uv_tcp_bind (&probe, (struct sockaddr *)&bound, 0), ==, 0);
  uv_tcp_getsockname (&probe, (struct sockaddr *)&bound, &length);
  fixture->port = ntohs (bound.sin_port);
  uv_close ((uv_handle_t *)&probe, NULL);
  uv_run (fk_get_loop (fixture->kernel), UV_RUN_NOWAIT);
  if (!fixture->raw_response)
    {
      fixture->server = fh_create_server (fixture->kernel, &address, fixture->port, BODY_MAX,
                                          echo_request, fixture);
      g_assert_nonnull (fixture->server);
    }
  fixture->client = fh_create_client (fixture->kernel, &address, fixture->port, 4, BODY_MAX,
                                      10 * FB_SECOND);
}

static void
tear_down (fixture_t *fixture)
{
  if (fixture->server)
    fh_stop_accepting (fixture->server);
  fh_destroy_client (fixture->client);
  fk_destroy_kernel (fixture->kernel);
  fh_destroy_server (fixture->server);
  g_string_free (fixture->body, TRUE);
}

static void
store_response (const fh_response_t *response, void *user)
{
  fixture_t *fixture = user;

  fixture->response_count++;
  fixture->result = response->result;
  fixture->status = response->status;
  g_string_truncate (fixture->body, 0);
  g_string_append_len (fixture->body, (const char *)response->body.data,
                       (gssize)response->body.len);
  g_assert_cmpint (
      fh_find_header (response->headers, response->header_count, FB_LITERAL ("upgrade")).len,
      ==, 0);
  fk_quit (fixture->kernel);
}

static fh_exchange_t *
send_body (fixture_t *fixture, const char *body, size_t len, bool new_connection)
{
  fh_client_request_t request = { .method = FB_LITERAL ("POST"),
                                  .path = FB_LITERAL ("/x"),
                                  .body = { (const uint8_t *)body, len },
                                  .new_connection = new_connection };

  return fh_send_request (fixture->client, &request, store_response, fixture);
}

/* Guards against bodies altered, lost, or accepted above the limit. */
static void
test_bodies (void)
{
  static const struct
  {
    size_t len;
    bool new_connection;
    uint32_t status;
  } cases[]
      = { { 0, false, 200 },        { 1, false, 200 },       { 1, true, 200 },
          { BODY_MAX, false, 200 }, { BODY_MAX, true, 200 }, { BODY_MAX + 1, false, 413 } };
  char *body = g_malloc (BODY_MAX + 1);
  fixture_t fixture = { 0 };

  memset (body, 'b', BODY_MAX + 1);
  set_up (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      send_body (&fixture, body, cases[i].len, cases[i].new_connection);
      run_until_quit (&fixture);
      g_assert_cmpint (fixture.result, ==, FH_ANSWERED);
      g_assert_cmpuint (fixture.status, ==, cases[i].status);
      if (cases[i].status == 200)
        g_assert_cmpmem (fixture.body->str, fixture.body->len, body, cases[i].len);
    }
  g_assert_cmpuint (fixture.response_count, ==, G_N_ELEMENTS (cases));
  tear_down (&fixture);
  g_free (body);
}

/* A connection that writes raw_response in fragments separated by "|" and is then closed. */
typedef struct
{
  uv_tcp_t stream;
  fixture_t *fixture;
  const char *remaining;
  fk_timer_t *timer;
} raw_connection_t;

static void
free_write (uv_write_t *write, int status)
{
  g_free (write);
}

static void
write_fragment (void *user)
{
  raw_connection_t *raw = user;
  size_t len = strcspn (raw->remaining, "|");
  uv_buf_t fragment = uv_buf_init ((char *)raw->remaining, (unsigned)len);

  uv_write (g_new0 (uv_write_t, 1), (uv_stream_t *)&raw->stream, &fragment, 1, free_write);
  fk_destroy_timer (raw->timer);
  raw->remaining += len;
  if (*raw->remaining == '\0')
    {
      uv_close ((uv_handle_t *)&raw->stream, (uv_close_cb)g_free);
      return;
    }
  raw->remaining++;
  raw->timer
      = fk_create_timeout (raw->fixture->kernel, 5 * FB_MILLISECOND, write_fragment, raw);
}

static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[4096];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

/* Starts the raw response at a request's first bytes. */
static void
send_raw_response (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  raw_connection_t *raw = (raw_connection_t *)stream;

  uv_read_stop (stream);
  raw->remaining = raw->fixture->raw_response;
  write_fragment (raw);
}

static void
accept_raw_connection (uv_stream_t *listener, int status)
{
  raw_connection_t *raw = g_new0 (raw_connection_t, 1);

  raw->fixture = listener->data;
  uv_tcp_init (listener->loop, &raw->stream);
  uv_accept (listener, (uv_stream_t *)&raw->stream);
  uv_read_start ((uv_stream_t *)&raw->stream, allocate_buffer, send_raw_response);
}

/* Guards against accepting a truncated response as complete. */
static void
test_truncated_responses (void)
{
  static const struct
  {
    const char *response;
    fh_result_t result;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", FH_ANSWERED },
    { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n|a|bc", FH_ANSWERED },
    { "HTTP/1.1 204 No Content\r\n\r\n", FH_ANSWERED },
    { "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabc", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      FH_ANSWERED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n|3\r\nabc\r\n|0\r\n\r\n",
      FH_ANSWERED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n|\r\n",
      FH_ANSWERED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\n|abc|\r\n0|\r\n\r\n",
      FH_ANSWERED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", FH_ANSWERED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n|0\r\n\r\n", FH_ANSWERED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n|3\r\nabc\r\n", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\n|abc\r\n", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n|0", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n|0\r\n", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n|5\r\n", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\n\r\nabc", FH_TRUNCATED },
    { "HTTP/1.1 200 OK\r\ncontent-le", FH_NO_ANSWER },
    { "", FH_NO_ANSWER },
    { "no HTTP at all\r\n\r\n", FH_NO_ANSWER },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture = { .raw_response = cases[i].response };
      struct sockaddr_in address;

      set_up (&fixture);
      uv_tcp_init (fk_get_loop (fixture.kernel), &fixture.raw_listener);
      fixture.raw_listener.data = &fixture;
      uv_ip4_addr ("127.0.0.1", fixture.port, &address);
      g_assert_cmpint (uv_tcp_bind (&fixture.raw_listener, (struct sockaddr *)&address, 0), ==,
                       0);
      g_assert_cmpint (
          uv_listen ((uv_stream_t *)&fixture.raw_listener, 4, accept_raw_connection), ==, 0);
      send_body (&fixture, "q", 1, true);
      run_until_quit (&fixture);
      g_test_message ("case %zu: result %d, expected %d", i, fixture.result, cases[i].result);
      g_assert_cmpint (fixture.result, ==, cases[i].result);
      tear_down (&fixture);
    }
}

/* Guards against reporting a request as sent although nothing listens. */
static void
test_not_sent (void)
{
  fixture_t fixture = { .raw_response = "unused" };

  set_up (&fixture);
  send_body (&fixture, "q", 1, false);
  run_until_quit (&fixture);
  g_assert_cmpint (fixture.result, ==, FH_NOT_SENT);
  tear_down (&fixture);
}

/* Guards against writing a response to a connection closed by the caller. */
static void
test_cancel (void)
{
  fixture_t fixture = { .defer_response = true };
  fh_exchange_t *exchange;

  set_up (&fixture);
  exchange = send_body (&fixture, "q", 1, true);
  run_until_quit (&fixture);
  g_assert_nonnull (fixture.deferred_request);
  g_assert_cmpuint (fh_count_requests (fixture.server), ==, 1);
  g_assert_true (fh_cancel_exchange (exchange));
  run_until_quit (&fixture);
  g_assert_cmpuint (fixture.cancelled_count, ==, 1);
  g_assert_cmpuint (fixture.response_count, ==, 0);
  g_assert_cmpuint (fh_count_requests (fixture.server), ==, 0);
  tear_down (&fixture);
}

/* Guards against handling a request whose caller disconnected before it was read, as after
 * a stall. */
static void
test_closed_before_read (void)
{
  fixture_t fixture = { 0 };
  fb_counter_t *closed_before_read;
  struct sockaddr_in address;
  int descriptor = socket (AF_INET, SOCK_STREAM, 0);
  static const char request[] = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

  set_up (&fixture);
  fixture.defer_response = true;
  closed_before_read
      = fb_find_counter (fk_get_counters (fixture.kernel), "http_callers_gone", "");
  uv_ip4_addr ("127.0.0.1", fixture.port, &address);
  g_assert_cmpint (connect (descriptor, (struct sockaddr *)&address, sizeof address), ==, 0);
  g_assert_cmpint (write (descriptor, request, strlen (request)), ==, strlen (request));
  close (descriptor);
  while (fb_get_counter (closed_before_read) == 0)
    uv_run (fk_get_loop (fixture.kernel), UV_RUN_ONCE);
  g_assert_null (fixture.deferred_request);
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/bodies", test_bodies);
  g_test_add_func ("/http/truncated-responses", test_truncated_responses);
  g_test_add_func ("/http/not-sent", test_not_sent);
  g_test_add_func ("/http/cancel", test_cancel);
  g_test_add_func ("/http/closed-before-read", test_closed_before_read);
  return g_test_run ();
}
