#include "fixture-crowd.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time to send; also bounds a server that takes bytes for ever. */
#define SEND_TIMEOUT_MS 10000

/* The server takes no more bytes when none were taken for this long. */
#define STILL_MS 1000
#define POLL_INTERVAL_MS 10

typedef struct
{
  int descriptor; /* -1 when closed */
  size_t sent;
} client_t;

struct crowd
{
  crowd_plan_t plan;
  struct sockaddr_in server;
  client_t *clients;
  uint64_t sent;
};

static void
open_client (crowd_t *crowd, size_t number)
{
  client_t *client = &crowd->clients[number];
  struct sockaddr_in source = { .sin_family = AF_INET };
  int size = crowd->plan.receive_buffer;

  client->descriptor = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  g_assert_cmpint (client->descriptor, >=, 0);
  if (size > 0)
    setsockopt (client->descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  source.sin_addr.s_addr = htonl (0x7f320000 + 1 + (uint32_t)(number % CROWD_SOURCES));
  g_assert_cmpint (bind (client->descriptor, (const struct sockaddr *)&source, sizeof source),
                   ==, 0);
  if (connect (client->descriptor, (const struct sockaddr *)&crowd->server,
               sizeof crowd->server)
          != 0
      && errno != EINPROGRESS)
    {
      close (client->descriptor);
      client->descriptor = -1;
    }
}

/* Returns the bytes that follow the first SENT ones; empty after the last. */
static fb_bytes_t
get_rest (const crowd_plan_t *plan, size_t sent)
{
  size_t offset;

  if (sent < plan->first.len)
    return (fb_bytes_t){ plan->first.data + sent, plan->first.len - sent };
  sent -= plan->first.len;
  if (plan->repeated.len == 0 || sent >= plan->repeated.len * plan->repeats)
    return (fb_bytes_t){ NULL, 0 };
  offset = sent % plan->repeated.len;
  return (fb_bytes_t){ plan->repeated.data + offset, plan->repeated.len - offset };
}

/* Sends what the system takes; returns the number of bytes. */
static size_t
send_some (crowd_t *crowd, client_t *client)
{
  size_t before = client->sent;

  while (client->descriptor >= 0)
    {
      fb_bytes_t rest = get_rest (&crowd->plan, client->sent);
      ssize_t length;

      if (rest.len == 0)
        break;
      length = send (client->descriptor, rest.data, rest.len, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (length > 0)
        client->sent += (size_t)length;
      else if (errno == EAGAIN || errno == ENOTCONN)
        break;
      else
        {
          close (client->descriptor);
          client->descriptor = -1;
        }
    }
  return client->sent - before;
}

crowd_t *
crowd_start (const crowd_plan_t *plan, const fb_name_t *address, uint16_t port)
{
  crowd_t *crowd = g_new0 (crowd_t, 1);
  unsigned still_ms = 0;

  crowd->plan = *plan;
  crowd->clients = g_new0 (client_t, plan->clients);
  crowd->server = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons (port) };
  g_assert_cmpint (inet_pton (AF_INET, address->data, &crowd->server.sin_addr), ==, 1);
  for (size_t i = 0; i < plan->clients; i++)
    open_client (crowd, i);
  for (unsigned ms = 0; ms < SEND_TIMEOUT_MS && still_ms < STILL_MS; ms += POLL_INTERVAL_MS)
    {
      uint64_t before = crowd->sent;

      for (size_t i = 0; i < plan->clients; i++)
        crowd->sent += send_some (crowd, &crowd->clients[i]);
      still_ms = crowd->sent > before ? 0 : still_ms + POLL_INTERVAL_MS;
      g_usleep (POLL_INTERVAL_MS * 1000);
    }
  return crowd;
}

uint64_t
crowd_count_sent (const crowd_t *crowd)
{
  return crowd->sent;
}

void
crowd_stop (crowd_t *crowd)
{
  for (size_t i = 0; i < crowd->plan.clients; i++)
    if (crowd->clients[i].descriptor >= 0)
      close (crowd->clients[i].descriptor);
  g_free (crowd->clients);
  g_free (crowd);
}

uint64_t
crowd_read_peak_kb (GPid pid)
{
  char *path = g_strdup_printf ("/proc/%d/status", pid);
  char *text = NULL;
  const char *line;
  uint64_t peak;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  line = strstr (text, "VmHWM:");
  g_assert_nonnull (line);
  peak = g_ascii_strtoull (line + strlen ("VmHWM:"), NULL, 10);
  g_free (text);
  g_free (path);
  return peak;
}

size_t
crowd_count_descriptors (GPid pid)
{
  char *path = g_strdup_printf ("/proc/%d/fd", pid);
  GDir *folder = g_dir_open (path, 0, NULL);
  size_t count = 0;

  g_assert_nonnull (folder);
  while (g_dir_read_name (folder))
    count++;
  g_dir_close (folder);
  g_free (path);
  return count;
}
