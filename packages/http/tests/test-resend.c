/* Requests that the client sends again on a new connection. */
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <string.h>

#define BODY_MAX 1024
#define TIME_LIMIT (20 * FB_SECOND)

static const char answer[] = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

typedef struct
{
  fk_kernel_t *kernel;
  uv_tcp_t listener;
  fh_client_t *client;
  uint16_t port;
  bool stops; /* the server stops when it reads the second request */
  size_t requests;
  size_t open_connections;
  fh_result_t result;
} fixture_t;

static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[4096];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
free_stream (uv_handle_t *handle)
{
  fixture_t *fixture = handle->data;

  fixture->open_connections--;
  g_free (handle);
}

/* Answers the first request and closes the connection of the second, unanswered. */
static void
receive_request (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  fixture_t *fixture = stream->data;
  uv_buf_t bytes = uv_buf_init ((char *)answer, sizeof answer - 1);

  if (length <= 0)
    {
      if (!uv_is_closing ((uv_handle_t *)stream))
        uv_close ((uv_handle_t *)stream, free_stream);
      return;
    }
  if (++fixture->requests != 2)
    {
      uv_try_write (stream, &bytes, 1);
      return;
    }
  if (fixture->stops)
    uv_close ((uv_handle_t *)&fixture->listener, NULL);
  uv_close ((uv_handle_t *)stream, free_stream);
}

static void
accept_connection (uv_stream_t *listener, int status)
{
  uv_tcp_t *stream = g_new0 (uv_tcp_t, 1);

  uv_tcp_init (listener->loop, stream);
  stream->data = listener->data;
  ((fixture_t *)listener->data)->open_connections++;
  g_assert_cmpint (uv_accept (listener, (uv_stream_t *)stream), ==, 0);
  uv_read_start ((uv_stream_t *)stream, allocate_buffer, receive_request);
}

static void
set_up (fixture_t *fixture)
{
  fb_name_t address = fb_make_name ("127.0.0.1");
  struct sockaddr_in bound;
  int length = sizeof bound;

  fixture->kernel = fk_create_kernel (NULL);
  uv_ip4_addr ("127.0.0.1", 0, &bound);
  uv_tcp_init (fk_get_loop (fixture->kernel), &fixture->listener);
  fixture->listener.data = fixture;
  uv_tcp_bind (&fixture->listener, (struct sockaddr *)&bound, 0);
  uv_listen ((uv_stream_t *)&fixture->listener, 8, accept_connection);
  uv_tcp_getsockname (&fixture->listener, (struct sockaddr *)&bound, &length);
  fixture->port = g_ntohs (bound.sin_port);
  fixture->client
      = fh_create_client (fixture->kernel, &address, fixture->port, 4, BODY_MAX, FB_SECOND);
}

static void
tear_down (fixture_t *fixture)
{
  fh_destroy_client (fixture->client);
  if (!uv_is_closing ((uv_handle_t *)&fixture->listener))
    uv_close ((uv_handle_t *)&fixture->listener, NULL);
  /* The client's end closes the connections. */
  while (fixture->open_connections > 0)
    uv_run (fk_get_loop (fixture->kernel), UV_RUN_ONCE);
  fk_destroy_kernel (fixture->kernel);
}

static void
record_result (const fh_response_t *response, void *user)
{
  fixture_t *fixture = user;

  fixture->result = response->result;
  fk_quit (fixture->kernel);
}

static void
fail_on_timeout (void *user)
{
  g_error ("no result within the test's time limit");
}

static fh_result_t
send_request (fixture_t *fixture, bool repeatable)
{
  fh_client_request_t request
      = { .method = FB_LITERAL ("GET"), .path = FB_LITERAL ("/a"), .repeatable = repeatable };
  fk_timer_t *timeout = fk_create_timeout (fixture->kernel, TIME_LIMIT, fail_on_timeout, NULL);

  fh_send_request (fixture->client, &request, record_result, fixture);
  fk_run (fixture->kernel);
  fk_destroy_timer (timeout);
  return fixture->result;
}

/* Guards against a request that the server has read and that is reported as not sent, because
 * no connection could be made to send it again. */
static void
test_second_request (void)
{
  static const struct
  {
    bool repeatable;
    bool stops;
    fh_result_t result;
  } cases[] = {
    { true, false, FH_ANSWERED },
    { true, true, FH_NO_ANSWER },
    { false, false, FH_NO_ANSWER },
    { false, true, FH_NO_ANSWER },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture = { .stops = cases[i].stops };

      set_up (&fixture);
      g_assert_cmpint (send_request (&fixture, true), ==, FH_ANSWERED);
      g_assert_cmpint (send_request (&fixture, cases[i].repeatable), ==, cases[i].result);
      tear_down (&fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/resend/second-request", test_second_request);
  return g_test_run ();
}
