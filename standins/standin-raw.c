/* Stand-in for a backend server in trouble: answers each request with the same bytes, as soon
 * as its head is read.
 *
 * Usage: standin-raw ADDRESS PORT END TEXT
 * "%s" in TEXT stands for two lines: the request's X-Attempt-Id, and a signature. Then the
 * connection ends by END: "reset", "close" (the rest of the request is read) or "keep" (it
 * stays open until the caller closes it). */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX 8192
#define ID_LINE "\r\nx-attempt-id:"

static const char *end;
static const char *text;

/* Reads the head of a request; returns it in lower case, or NULL. Free with g_free. */
static char *
read_head (int descriptor)
{
  char head[HEAD_MAX + 1];
  size_t length = 0;
  ssize_t received;

  do
    {
      received = recv (descriptor, head + length, HEAD_MAX - length, 0);
      if (received <= 0)
        return NULL;
      length += (size_t)received;
      head[length] = '\0';
    }
  while (!strstr (head, "\r\n\r\n"));
  return g_ascii_strdown (head, -1);
}

/* Returns the response to the request with HEAD; free with g_free. */
static char *
format_response (const char *head)
{
  const char *line = strstr (head, ID_LINE);
  const char *place = strstr (text, "%s");
  int id_len = line ? (int)strcspn (line + 2, "\r") : 0;

  if (!place)
    return g_strdup (text);
  return g_strdup_printf ("%.*s%.*s\r\nx-response-signature: standin\r\n%s",
                          (int)(place - text), text, id_len, line ? line + 2 : "",
                          place + strlen ("%s"));
}

static void
send_all (int descriptor, const char *bytes)
{
  size_t length = strlen (bytes);
  ssize_t sent;

  for (; length > 0; length -= (size_t)sent, bytes += sent)
    if ((sent = send (descriptor, bytes, length, MSG_NOSIGNAL)) <= 0)
      return;
}

static void
end_connection (int descriptor)
{
  const struct linger reset = { 1, 0 };
  char bytes[HEAD_MAX];

  if (strcmp (end, "reset") == 0)
    setsockopt (descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  else
    {
      if (strcmp (end, "close") == 0)
        shutdown (descriptor, SHUT_WR);
      while (recv (descriptor, bytes, sizeof bytes, 0) > 0)
        continue;
    }
  close (descriptor);
}

static void *
serve_connection (void *data)
{
  int descriptor = GPOINTER_TO_INT (data);
  char *head = read_head (descriptor);

  if (head)
    {
      char *response = format_response (head);

      send_all (descriptor, response);
      g_free (response);
    }
  end_connection (descriptor);
  g_free (head);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  int descriptor;

  if (argc != 5 || inet_pton (AF_INET, argv[1], &address.sin_addr) != 1)
    {
      fprintf (stderr, "usage: standin-raw ADDRESS PORT END TEXT\n");
      return 2;
    }
  address.sin_port = htons ((uint16_t)atoi (argv[2]));
  end = argv[3];
  text = argv[4];
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (const struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, SOMAXCONN) != 0)
    return 1;
  while ((descriptor = accept (listener, NULL, NULL)) >= 0)
    g_thread_unref (
        g_thread_new ("connection", serve_connection, GINT_TO_POINTER (descriptor)));
  return 0;
}
