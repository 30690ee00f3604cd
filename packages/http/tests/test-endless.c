/* Servers in trouble that send bytes without end, which are no answer. */
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <malloc.h>
#include <string.h>

#define BODY_MAX (256 * 1024)
#define EXCHANGES 8

/* Memory for all exchanges: two largest bodies, twice for the growth of a buffer, and heads of
 * at most 64 KB each. */
#define MEMORY_MAX (4 * BODY_MAX + EXCHANGES * 2 * 64 * 1024)

/* Deadline of a caller that cancels. */
#define DEADLINE (300 * FB_MILLISECOND)

#define WRITE_SIZE (64 * 1024)

typedef struct
{
  fk_kernel_t *kernel;
  uv_tcp_t listener;
  fh_client_t *client;
  uint16_t port;
  const char *start;
  const char *unit;       /* sent without end after START */
  bool byte_by_byte;      /* one byte in each millisecond, else as fast as possible */
  char block[WRITE_SIZE]; /* UNIT, repeated */
  size_t block_len;
  size_t open_connections;
  size_t finished;
  size_t answered;
  size_t memory_before;
  size_t memory_peak;
} fixture_t;

typedef struct
{
  uv_tcp_t stream;
  uv_write_t write;
  fixture_t *fixture;
  fk_timer_t *timer;
  size_t sent; /* byte by byte */
} sender_t;

static void
close_sender (uv_handle_t *handle)
{
  sender_t *sender = (sender_t *)handle;

  sender->fixture->open_connections--;
  fk_destroy_timer (sender->timer);
  g_free (sender);
}

static void
end_sender (sender_t *sender)
{
  if (!uv_is_closing ((uv_handle_t *)&sender->stream))
    uv_close ((uv_handle_t *)&sender->stream, close_sender);
}

static void send_block (sender_t *sender);

static void
continue_sending (uv_write_t *write, int status)
{
  sender_t *sender = write->data;

  if (status != 0)
    end_sender (sender);
  else if (!uv_is_closing ((uv_handle_t *)&sender->stream))
    send_block (sender);
}

static void
send_block (sender_t *sender)
{
  fixture_t *fixture = sender->fixture;
  uv_buf_t block = uv_buf_init (fixture->block, (unsigned)fixture->block_len);

  fixture->memory_peak = MAX (fixture->memory_peak, mallinfo2 ().uordblks);
  sender->write.data = sender;
  uv_write (&sender->write, (uv_stream_t *)&sender->stream, &block, 1, continue_sending);
}

static void
send_byte (void *user)
{
  sender_t *sender = user;
  fixture_t *fixture = sender->fixture;
  size_t start_len = strlen (fixture->start);
  size_t index = sender->sent++;
  char byte = index < start_len ? fixture->start[index]
                                : fixture->block[(index - start_len) % fixture->block_len];
  uv_buf_t buffer = uv_buf_init (&byte, 1);

  fixture->memory_peak = MAX (fixture->memory_peak, mallinfo2 ().uordblks);
  uv_try_write ((uv_stream_t *)&sender->stream, &buffer, 1);
}

static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[4096];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
receive_request (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  sender_t *sender = (sender_t *)stream;
  fixture_t *fixture = sender->fixture;
  uv_buf_t start = uv_buf_init ((char *)fixture->start, (unsigned)strlen (fixture->start));

  if (length < 0)
    end_sender (sender);
  else if (fixture->byte_by_byte && !sender->timer)
    sender->timer = fk_create_timer (fixture->kernel, FB_MILLISECOND, send_byte, sender);
  else if (!fixture->byte_by_byte)
    {
      uv_try_write (stream, &start, 1);
      send_block (sender);
    }
}

static void
accept_connection (uv_stream_t *listener, int status)
{
  sender_t *sender = g_new0 (sender_t, 1);

  sender->fixture = listener->data;
  sender->fixture->open_connections++;
  uv_tcp_init (listener->loop, &sender->stream);
  uv_accept (listener, (uv_stream_t *)&sender->stream);
  uv_read_start ((uv_stream_t *)&sender->stream, allocate_buffer, receive_request);
}

static void
set_up (fixture_t *fixture)
{
  fb_name_t address = fb_make_name ("127.0.0.1");
  struct sockaddr_in bound;
  int length = sizeof bound;
  size_t unit_len = strlen (fixture->unit);

  for (; fixture->block_len + unit_len <= WRITE_SIZE; fixture->block_len += unit_len)
    memcpy (fixture->block + fixture->block_len, fixture->unit, unit_len);
  fixture->kernel = fk_create_kernel (NULL);
  uv_ip4_addr ("127.0.0.1", 0, &bound);
  uv_tcp_init (fk_get_loop (fixture->kernel), &fixture->listener);
  fixture->listener.data = fixture;
  uv_tcp_bind (&fixture->listener, (struct sockaddr *)&bound, 0);
  uv_listen ((uv_stream_t *)&fixture->listener, EXCHANGES, accept_connection);
  uv_tcp_getsockname (&fixture->listener, (struct sockaddr *)&bound, &length);
  fixture->client = fh_create_client (fixture->kernel, &address, ntohs (bound.sin_port), 4,
                                      BODY_MAX, 10 * FB_SECOND);
}

static void
count_end (const fh_response_t *response, void *user)
{
  fixture_t *fixture = user;

  fixture->finished++;
  fixture->answered += response->result == FH_ANSWERED;
}

static void
stop_waiting (void *user)
{
  *(bool *)user = true;
}

/* Runs EXCHANGES at once; cancels at DEADLINE those that have not failed. */
static void
run_exchanges (fixture_t *fixture)
{
  fh_client_request_t request = { .method = FB_LITERAL ("GET"),
                                  .path = FB_LITERAL ("/"),
                                  .echoed_header = { FB_LITERAL ("id"), FB_LITERAL ("own") } };
  bool deadline_passed = false;
  fk_timer_t *timer
      = fk_create_timeout (fixture->kernel, DEADLINE, stop_waiting, &deadline_passed);

  fixture->memory_before = mallinfo2 ().uordblks;
  for (int i = 0; i < EXCHANGES; i++)
    fh_send_request (fixture->client, &request, count_end, fixture);
  while (!deadline_passed && fixture->finished < EXCHANGES)
    uv_run (fk_get_loop (fixture->kernel), UV_RUN_ONCE);
  fk_destroy_timer (timer);
  fh_destroy_client (fixture->client);
  fixture->client = NULL;
  for (int i = 0; i < 1000 && fixture->open_connections > 0; i++)
    {
      uv_run (fk_get_loop (fixture->kernel), UV_RUN_NOWAIT);
      g_usleep (1000);
    }
}

#define CHUNKED "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

/* Guards against memory without bound, an answer that is none, a connection left open and a
 * call that outlives its deadline. */
static void
test_endless (void)
{
  static const struct
  {
    const char *name;
    const char *start;
    const char *unit;
  } cases[] = {
    { "head", "HTTP/1.1 200 ", "x" },
    { "header name", "HTTP/1.1 200 OK\r\n", "x" },
    { "header value", "HTTP/1.1 200 OK\r\nx: ", "x" },
    { "blanks in a header", "HTTP/1.1 200 OK\r\nx:", " " },
    { "header lines", "HTTP/1.1 200 OK\r\n", "x: y\r\n" },
    { "empty lines", "", "\r\n" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "interim responses with headers", "", "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n" },
    { "body with a length", "HTTP/1.1 200 OK\r\ncontent-length: 9000000000\r\n\r\n", "x" },
    { "body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x" },
    { "chunks", CHUNKED, "1\r\nx\r\n" },
    { "one chunk", CHUNKED "fffffff\r\n", "x" },
    { "chunk size", CHUNKED, "0" },
    { "chunk extension", CHUNKED "1;", "x" },
    { "trailers", CHUNKED "0\r\n", "x: y\r\n" },
    { "no HTTP", "", "\377" },
    { "responses to other requests", "",
      "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 0\r\n\r\n" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int byte_by_byte = 0; byte_by_byte < 2; byte_by_byte++)
      {
        fixture_t *fixture = g_new0 (fixture_t, 1);

        fixture->start = cases[i].start;
        fixture->unit = cases[i].unit;
        fixture->byte_by_byte = byte_by_byte;
        set_up (fixture);
        run_exchanges (fixture);
        g_test_message (
            "%s%s: %zu KB, %zu ended", cases[i].name, byte_by_byte ? ", byte by byte" : "",
            (MAX (fixture->memory_peak, fixture->memory_before) - fixture->memory_before)
                / 1024,
            fixture->finished);
        g_assert_cmpuint (fixture->answered, ==, 0);
        g_assert_cmpuint (fixture->memory_peak, <, fixture->memory_before + MEMORY_MAX);
        g_assert_cmpuint (fixture->open_connections, ==, 0);
        if (!byte_by_byte)
          g_assert_cmpuint (fixture->finished, ==, EXCHANGES);
        fk_destroy_kernel (fixture->kernel);
        g_free (fixture);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/endless", test_endless);
  return g_test_run ();
}
