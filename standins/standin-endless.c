/* Stand-in for a backend server in trouble: sends bytes that are no response, without end,
 * until the caller closes.
 *
 * Usage: standin-endless ADDRESS PORT KIND
 * KIND is "head", "header", "headers", "interim", "length", "chunks", "close" (a body without a
 * length), "others" (responses to another request) or "bytes". Where there is a head it has the
 * request's X-Attempt-Id or Foxtailrun-Request-Id, and a signature. */
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#define BLOCK_SIZE (256 * 1024)
#define REQUEST_MAX 8191

static const struct
{
  const char *kind;
  const char *start; /* "%s" is the line with the request's id */
  const char *unit;  /* sent without end after START */
} kinds[] = {
  { "head", "HTTP/1.1 200 ", "x" },
  { "header", "HTTP/1.1 200 OK\r\n%sx: ", "x" },
  { "headers", "HTTP/1.1 200 OK\r\n%s", "x: y\r\n" },
  { "interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "length", "HTTP/1.1 200 OK\r\n%scontent-length: 9000000000\r\n\r\n", "x" },
  { "chunks", "HTTP/1.1 200 OK\r\n%stransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n" },
  { "close", "HTTP/1.1 200 OK\r\n%s\r\n", "x" },
  { "others", "",
    "HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nfoxtailrun-request-id: other\r\n"
    "content-length: 0\r\n\r\n" },
  { "bytes", "", "\377" },
};

typedef struct
{
  uv_loop_t loop;
  uv_tcp_t listener;
  size_t kind;
  char block[BLOCK_SIZE];
  size_t block_len;
} server_t;

typedef struct
{
  uv_tcp_t stream;
  uv_write_t write;
  server_t *server;
  char request[REQUEST_MAX + 1];
  size_t request_len;
  char start[1024];
  bool sending;
} connection_t;

static void
free_connection (uv_handle_t *handle)
{
  g_free (handle);
}

static void
close_connection (connection_t *connection)
{
  if (!uv_is_closing ((uv_handle_t *)&connection->stream))
    uv_close ((uv_handle_t *)&connection->stream, free_connection);
}

static void
send_block (uv_write_t *write, int status)
{
  connection_t *connection = write->data;
  server_t *server = connection->server;
  uv_buf_t block = uv_buf_init (server->block, (unsigned)server->block_len);

  if (status != 0 || uv_is_closing ((uv_handle_t *)&connection->stream)
      || uv_write (write, (uv_stream_t *)&connection->stream, &block, 1, send_block) != 0)
    close_connection (connection);
}

/* Writes the lines of REQUEST that name it, and a signature, into LINES. */
static void
copy_id (const char *request, char *lines, size_t size)
{
  static const char *const names[] = { "\r\nx-attempt-id:", "\r\nfoxtailrun-request-id:" };
  char *lower = g_ascii_strdown (request, -1);

  g_strlcpy (lines, "x-response-signature: standin\r\n", size);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      const char *line = strstr (lower, names[i]);
      size_t used = strlen (lines);

      if (line)
        g_snprintf (lines + used, size - used, "%.*s\r\n", (int)strcspn (line + 2, "\r"),
                    line + 2);
    }
  g_free (lower);
}

static void
start_response (connection_t *connection)
{
  const char *start = kinds[connection->server->kind].start;
  const char *place = strstr (start, "%s");
  char lines[512];
  uv_buf_t buffer;

  copy_id (connection->request, lines, sizeof lines);
  if (place)
    g_snprintf (connection->start, sizeof connection->start, "%.*s%s%s", (int)(place - start),
                start, lines, place + 2);
  else
    g_strlcpy (connection->start, start, sizeof connection->start);
  connection->sending = true;
  connection->write.data = connection;
  buffer = uv_buf_init (connection->start, (unsigned)strlen (connection->start));
  if (uv_write (&connection->write, (uv_stream_t *)&connection->stream, &buffer, 1, send_block)
      != 0)
    close_connection (connection);
}

static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  connection_t *connection = (connection_t *)handle;

  *buffer = uv_buf_init (connection->request + connection->request_len,
                         (unsigned)(REQUEST_MAX - connection->request_len));
}

static void
receive_bytes (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  connection_t *connection = (connection_t *)stream;

  if (length < 0)
    {
      close_connection (connection);
      return;
    }
  if (connection->sending)
    return;
  connection->request_len += (size_t)length;
  connection->request[connection->request_len] = '\0';
  if (strstr (connection->request, "\r\n\r\n"))
    {
      start_response (connection);
      connection->request_len = 0;
    }
}

static void
accept_connection (uv_stream_t *listener, int status)
{
  connection_t *connection = g_new0 (connection_t, 1);

  connection->server = listener->data;
  uv_tcp_init (listener->loop, &connection->stream);
  if (uv_accept (listener, (uv_stream_t *)&connection->stream) == 0)
    uv_read_start ((uv_stream_t *)&connection->stream, allocate_buffer, receive_bytes);
  else
    close_connection (connection);
}

/* Fills the block with the unit of KIND; returns false if there is no such kind. */
static bool
set_kind (server_t *server, const char *kind)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      size_t unit_len = strlen (kinds[i].unit);

      if (strcmp (kinds[i].kind, kind) != 0)
        continue;
      server->kind = i;
      for (; server->block_len + unit_len <= BLOCK_SIZE; server->block_len += unit_len)
        memcpy (server->block + server->block_len, kinds[i].unit, unit_len);
      return true;
    }
  return false;
}

int
main (int argc, char **argv)
{
  static server_t server;
  struct sockaddr_in address;

  if (argc != 4 || !set_kind (&server, argv[3]))
    {
      fprintf (stderr, "usage: standin-endless ADDRESS PORT KIND\n");
      return 2;
    }
  /* Callers close while bytes are under way. */
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&server.loop);
  uv_tcp_init (&server.loop, &server.listener);
  server.listener.data = &server;
  if (uv_ip4_addr (argv[1], atoi (argv[2]), &address) != 0
      || uv_tcp_bind (&server.listener, (struct sockaddr *)&address, 0) != 0
      || uv_listen ((uv_stream_t *)&server.listener, 128, accept_connection) != 0)
    return 1;
  uv_run (&server.loop, UV_RUN_DEFAULT);
  return 0;
}
