#include "rig.h"
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define NODE_PROGRAM "target/packages/foxtailrund/foxtailrund"
#define INBOUND_PORT 8146
#define OUTBOUND_PORT 8147
#define READY_PORT 8141
#define INSTANCE_PORT 8145
#define STORE_PORT 8142
#define STORE_HOST 200
#define READY_TIMEOUT_MS 15000
#define TOTAL_TIMEOUT_S 115
#define HEAD_BYTES 65536

static rig_options_t options;
static char folder[] = "/tmp/foxtailrun-review-XXXXXX";
static unsigned network[2];
static pid_t pids[RIG_NODES_MAX + 1];
static bool ended[RIG_NODES_MAX + 1];
static int statuses[RIG_NODES_MAX + 1];
static FILE *record;
static double started_at;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t child_lock = PTHREAD_MUTEX_INITIALIZER;

bool
rig_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return !text || strcmp (text, "0") != 0;
}

double
rig_now_ms (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

void
rig_sleep_ms (double ms)
{
  struct timespec time
      = { (time_t)(ms / 1e3), (long)((ms - 1e3 * (double)(long)(ms / 1e3)) * 1e6) };

  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

void
rig_record (const char *format, ...)
{
  va_list list;

  pthread_mutex_lock (&record_lock);
  if (record)
    {
      fprintf (record, "%9.1f ", rig_now_ms () - started_at);
      va_start (list, format);
      vfprintf (record, format, list);
      va_end (list);
      fputc ('\n', record);
      fflush (record);
    }
  pthread_mutex_unlock (&record_lock);
}

static void
end_children (void)
{
  for (int i = 1; i <= RIG_NODES_MAX; i++)
    if (pids[i] > 0 && !ended[i])
      {
        kill (pids[i], SIGKILL);
        waitpid (pids[i], NULL, 0);
      }
}

static void
remove_folder (void)
{
  char path[128];

  for (int i = 1; i <= RIG_NODES_MAX; i++)
    {
      snprintf (path, sizeof path, "%s/node-%d.yaml", folder, i);
      unlink (path);
      snprintf (path, sizeof path, "%s/node-%d.log", folder, i);
      if (!getenv ("KEEP"))
        unlink (path);
    }
  rmdir (folder);
}

static void
leave (int status)
{
  pthread_mutex_lock (&child_lock);
  end_children ();
  remove_folder ();
  fflush (NULL);
  _exit (status);
}

void
rig_finish (bool broken)
{
  rig_record ("result: %s", broken ? "the rule was broken" : "the rule held");
  printf ("%s\n", broken ? "broken" : "held");
  leave (broken ? 1 : 0);
  abort ();
}

void
rig_give_up (const char *reason)
{
  rig_record ("the case could not run: %s", reason);
  printf ("could not run: %s\n", reason);
  leave (2);
  abort ();
}

static void
handle_alarm (int number)
{
  static const char text[] = "could not run: out of time\n";

  (void)!write (1, text, sizeof text - 1);
  for (int i = 1; i <= RIG_NODES_MAX; i++)
    if (pids[i] > 0 && !ended[i])
      kill (pids[i], SIGKILL);
  _exit (2);
}

/* Sockets. */

static struct sockaddr_in
make_address (int host, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  address.sin_addr.s_addr
      = htonl (0x7f000000U | network[0] << 16 | network[1] << 8 | (unsigned)host);
  return address;
}

static int
listen_at (int host, int port)
{
  struct sockaddr_in address = make_address (host, port);
  int one = 1;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 1024) != 0)
    rig_give_up ("an address is in use");
  return listener;
}

static int
connect_to (int host, int port, int receive_buffer, int segment)
{
  struct sockaddr_in address = make_address (host, port);
  int one = 1;
  int descriptor = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (receive_buffer > 0)
    setsockopt (descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (segment > 0)
    setsockopt (descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (descriptor, (struct sockaddr *)&address, sizeof address) == 0)
    return descriptor;
  close (descriptor);
  return -1;
}

int
rig_connect (int node, int receive_buffer, int segment)
{
  return connect_to (node, OUTBOUND_PORT, receive_buffer, segment);
}

bool
rig_send (int descriptor, const void *bytes, size_t length)
{
  const char *at = bytes;

  while (length > 0)
    {
      ssize_t sent = send (descriptor, at, length, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      at += sent;
      length -= (size_t)sent;
    }
  return true;
}

ssize_t
rig_receive (int descriptor, void *bytes, size_t length, double timeout_ms)
{
  struct pollfd poller = { .fd = descriptor, .events = POLLIN };
  double until = rig_now_ms () + timeout_ms;

  for (;;)
    {
      double left = until - rig_now_ms ();
      int result = poll (&poller, 1, left > 0 ? (int)(left + 1) : 0);
      ssize_t count;

      if (result == 0)
        return -2;
      if (result < 0)
        continue;
      count = recv (descriptor, bytes, length, MSG_DONTWAIT);
      if (count < 0 && (errno == EINTR || errno == EAGAIN))
        continue;
      return count < 0 ? -1 : count;
    }
}

/* Messages. */

/* Returns the value of header NAME, in lower case, of HEAD in VALUE. */
static bool
find_header (const char *head, const char *name, char *value, size_t size)
{
  size_t name_len = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line; line = strstr (line + 2, "\r\n"))
    {
      const char *at = line + 2;
      size_t len;

      if (strncasecmp (at, name, name_len) != 0 || at[name_len] != ':')
        continue;
      at += name_len + 1;
      at += strspn (at, " \t");
      len = strcspn (at, "\r\n");
      if (len >= size)
        len = size - 1;
      memcpy (value, at, len);
      value[len] = '\0';
      return true;
    }
  value[0] = '\0';
  return false;
}

/* Bytes of a connection that are read ahead. */
typedef struct
{
  int socket;
  char bytes[65536];
  size_t start;
  size_t end;
} reader_t;

static ssize_t
fill_reader (reader_t *reader, double timeout_ms)
{
  ssize_t count;

  if (reader->start > 0)
    {
      memmove (reader->bytes, reader->bytes + reader->start, reader->end - reader->start);
      reader->end -= reader->start;
      reader->start = 0;
    }
  if (reader->end == sizeof reader->bytes)
    return -1;
  count = rig_receive (reader->socket, reader->bytes + reader->end,
                       sizeof reader->bytes - reader->end, timeout_ms);
  if (count > 0)
    reader->end += (size_t)count;
  return count;
}

/* Reads a head into HEAD; returns false at the end of the connection. */
static bool
read_head (reader_t *reader, char *head, size_t size, double timeout_ms)
{
  for (;;)
    {
      char *start = reader->bytes + reader->start;
      size_t length = reader->end - reader->start;
      char *end = memmem (start, length, "\r\n\r\n", 4);

      if (end && (size_t)(end - start) + 4 < size)
        {
          size_t head_len = (size_t)(end - start) + 4;

          memcpy (head, start, head_len);
          head[head_len] = '\0';
          reader->start += head_len;
          return true;
        }
      if (end || fill_reader (reader, timeout_ms) <= 0)
        return false;
    }
}

static bool
skip_body (reader_t *reader, size_t length)
{
  while (length > 0)
    {
      size_t have = reader->end - reader->start;
      size_t taken = have < length ? have : length;

      reader->start += taken;
      length -= taken;
      if (length > 0 && fill_reader (reader, 60000) <= 0)
        return false;
    }
  return true;
}

/* Reads a head byte by byte, so that the rest stays unread. */
static bool
read_only_head (int descriptor, char *head, size_t size, double timeout_ms)
{
  size_t at = 0;
  bool ended = false;

  while (!ended && at < size - 1 && rig_receive (descriptor, head + at, 1, timeout_ms) == 1)
    {
      at++;
      ended = at >= 4 && memcmp (head + at - 4, "\r\n\r\n", 4) == 0;
    }
  head[at] = '\0';
  return ended;
}

static void
parse_head (const char *head, rig_answer_t *answer)
{
  char text[64];

  sscanf (head, "HTTP/1.%*d %d", &answer->status);
  find_header (head, "x-attempt-id", answer->id, sizeof answer->id);
  answer->has_signature = find_header (head, "x-response-signature", text, sizeof text);
  answer->has_length = find_header (head, "content-length", text, sizeof text);
  answer->length = answer->has_length ? strtoul (text, NULL, 10) : 0;
  find_header (head, "connection", text, sizeof text);
  answer->closes = strcasecmp (text, "close") == 0;
}

/* Takes the bytes of READER that belong to the body; returns whether it is whole. */
static bool
take_body (reader_t *reader, rig_answer_t *answer)
{
  size_t have = reader->end - reader->start;
  size_t left = answer->length - answer->body_bytes;
  size_t taken = answer->has_length && have > left ? left : have;

  answer->body_bytes += taken;
  reader->start += taken;
  answer->whole = answer->has_length && answer->body_bytes == answer->length;
  return answer->whole;
}

/* Reads more into READER, with RATE a fiftieth of a second's bytes. */
static ssize_t
read_more (reader_t *reader, double rate, double timeout_ms)
{
  size_t step = (size_t)(rate / 50);
  ssize_t count;

  if (rate <= 0)
    return fill_reader (reader, timeout_ms);
  if (step > sizeof reader->bytes)
    step = sizeof reader->bytes;
  reader->start = 0;
  count = rig_receive (reader->socket, reader->bytes, step, timeout_ms);
  reader->end = count > 0 ? (size_t)count : 0;
  return count;
}

static void
read_body (reader_t *reader, double rate, double timeout_ms, rig_answer_t *answer)
{
  double start = rig_now_ms ();

  while (!take_body (reader, answer) && rig_now_ms () - start <= timeout_ms)
    {
      double due = rate > 0 ? start + (double)answer->body_bytes / rate * 1e3 : start;
      ssize_t count;

      if (due > rig_now_ms ())
        rig_sleep_ms (due - rig_now_ms ());
      count = read_more (reader, rate, timeout_ms);
      if (count > 0)
        continue;
      answer->ended = count != -2;
      answer->reset = count == -1;
      answer->whole = !answer->has_length && count == 0;
      return;
    }
}

void
rig_read_answer (int descriptor, double rate, double timeout_ms, rig_answer_t *answer)
{
  reader_t *reader = calloc (1, sizeof *reader);
  char *head = malloc (HEAD_BYTES);

  *answer = (rig_answer_t){ 0 };
  reader->socket = descriptor;
  if (rate > 0 ? read_only_head (descriptor, head, HEAD_BYTES, timeout_ms)
               : read_head (reader, head, HEAD_BYTES, timeout_ms))
    {
      parse_head (head, answer);
      read_body (reader, rate, timeout_ms, answer);
    }
  else
    {
      ssize_t count = rig_receive (descriptor, head, 1, 0);

      answer->ended = count == 0 || count == -1;
      answer->reset = count == -1;
    }
  answer->at_ms = rig_now_ms ();
  free (head);
  free (reader);
}

/* The store: reads by key, by prefix and by watch. */

typedef struct
{
  char key[64];
  char *value; /* base64 */
  uint64_t revision;
} item_t;

static item_t items[64];
static size_t item_count;
static uint64_t store_revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static char *
encode_base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (text);
  char *result = calloc (1, length * 4 / 3 + 8);
  char *at = result;

  for (size_t i = 0; i < length; i += 3)
    {
      unsigned bits = (unsigned)(unsigned char)text[i] << 16;

      if (i + 1 < length)
        bits |= (unsigned)(unsigned char)text[i + 1] << 8;
      if (i + 2 < length)
        bits |= (unsigned)(unsigned char)text[i + 2];
      *at++ = digits[bits >> 18];
      *at++ = digits[bits >> 12 & 63];
      *at++ = i + 1 < length ? digits[bits >> 6 & 63] : '=';
      *at++ = i + 2 < length ? digits[bits & 63] : '=';
    }
  return result;
}

static void
put_item (const char *key, const char *value)
{
  item_t *item = NULL;

  pthread_mutex_lock (&store_lock);
  for (size_t i = 0; i < item_count; i++)
    if (strcmp (items[i].key, key) == 0)
      item = &items[i];
  if (!item)
    item = &items[item_count++];
  snprintf (item->key, sizeof item->key, "%s", key);
  free (item->value);
  item->value = encode_base64 (value);
  item->revision = ++store_revision;
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
}

static void
append_items (FILE *text, const char *prefix, uint64_t after, size_t *count)
{
  for (size_t i = 0; i < item_count; i++)
    if (strncmp (items[i].key, prefix, strlen (prefix)) == 0 && items[i].revision > after)
      fprintf (text,
               "%s{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":%llu,\"CreatedRevision\":%llu,"
               "\"LeaseId\":0}",
               (*count)++ > 0 ? "," : "", items[i].key, items[i].value,
               (unsigned long long)items[i].revision, (unsigned long long)items[i].revision);
}

static void
get_query (const char *path, const char *name, char *value, size_t size)
{
  char pattern[32];
  const char *at;
  size_t len;

  snprintf (pattern, sizeof pattern, "%s=", name);
  at = strstr (path, pattern);
  value[0] = '\0';
  if (!at)
    return;
  at += strlen (pattern);
  len = strcspn (at, "& ");
  if (len >= size)
    len = size - 1;
  memcpy (value, at, len);
  value[len] = '\0';
}

static char *
answer_store (const char *path, int *status)
{
  char prefix[128];
  char key[128];
  char number[32];
  char *text = NULL;
  size_t size;
  size_t count = 0;
  FILE *out = open_memstream (&text, &size);

  *status = 200;
  get_query (path, "PathPrefix", prefix, sizeof prefix);
  pthread_mutex_lock (&store_lock);
  if (strncmp (path, "/foxtailrun/kv-range", 20) == 0)
    {
      fprintf (out, "{\"items\":[");
      append_items (out, prefix, 0, &count);
      fprintf (out, "],\"HasMore\":false,\"At\":%llu}", (unsigned long long)store_revision);
    }
  else if (strncmp (path, "/foxtailrun/kv-watch", 20) == 0)
    {
      struct timespec until;
      uint64_t after;
      long wait_ms;

      get_query (path, "after", number, sizeof number);
      after = strtoull (number, NULL, 10);
      get_query (path, "WaitMs", number, sizeof number);
      wait_ms = strtol (number, NULL, 10);
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_nsec += wait_ms % 1000 * 1000000;
      until.tv_sec += wait_ms / 1000 + until.tv_nsec / 1000000000;
      until.tv_nsec %= 1000000000;
      while (store_revision <= after
             && pthread_cond_timedwait (&store_changed, &store_lock, &until) == 0)
        ;
      fprintf (out, "{\"events\":[");
      append_items (out, prefix, after, &count);
      fprintf (out, "],\"At\":%llu}", (unsigned long long)store_revision);
    }
  else
    {
      get_query (path, "Key", key, sizeof key);
      *status = 404;
      for (size_t i = 0; i < item_count; i++)
        if (strcmp (items[i].key, key) == 0)
          {
            *status = 200;
            fprintf (
                out,
                "{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":%llu,\"CreatedRevision\":%llu,"
                "\"LeaseId\":0,\"At\":%llu}",
                key, items[i].value, (unsigned long long)items[i].revision,
                (unsigned long long)items[i].revision, (unsigned long long)store_revision);
          }
      if (*status == 404)
        fprintf (out, "{\"At\":%llu}", (unsigned long long)store_revision);
    }
  pthread_mutex_unlock (&store_lock);
  fclose (out);
  return text;
}

typedef struct
{
  int socket;
  int node; /* 0: the store */
} connection_t;

static void
serve_store (reader_t *reader)
{
  char head[8192];

  while (read_head (reader, head, sizeof head, 60000))
    {
      char path[512] = "";
      int status;
      char *body;
      char line[256];

      sscanf (head, "%*s %511s", path);
      body = answer_store (path, &status);
      snprintf (
          line, sizeof line,
          "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
          status, strlen (body));
      if (!rig_send (reader->socket, line, strlen (line))
          || !rig_send (reader->socket, body, strlen (body)))
        {
          free (body);
          return;
        }
      free (body);
    }
}

static void
make_instance_id (int node, char id[32])
{
  snprintf (id, 32, "i-%04x%04x", network[0] * 256 + network[1], node);
}

/* Rejects requests that expect another instance, as the pages say. */
static bool
reject_misdirected (const rig_request_t *request, const char *head)
{
  char expected[64];
  char own[32];
  char text[256];

  make_instance_id (request->node, own);
  if (!find_header (head, "x-expected-instance", expected, sizeof expected)
      || strcmp (expected, own) == 0)
    return false;
  snprintf (text, sizeof text,
            "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\n"
            "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            own, request->id);
  rig_send (request->socket, text, strlen (text));
  return true;
}

static void
serve_instance (reader_t *reader, int node)
{
  static __thread char head[65536];

  while (read_head (reader, head, sizeof head, 60000))
    {
      rig_request_t request = { .socket = reader->socket, .node = node };
      char number[32];

      sscanf (head, "%15s %255s", request.method, request.path);
      find_header (head, "x-attempt-id", request.id, sizeof request.id);
      find_header (head, "x-caller-service", request.caller, sizeof request.caller);
      request.deadline_ms = find_header (head, "x-deadline-ms", number, sizeof number)
                                ? strtol (number, NULL, 10)
                                : -1;
      find_header (head, "content-length", number, sizeof number);
      request.body_bytes = strtoul (number, NULL, 10);
      if (!skip_body (reader, request.body_bytes))
        return;
      if (!reject_misdirected (&request, head) && !options.serve (&request))
        return;
    }
}

static void *
run_connection (void *data)
{
  connection_t connection = *(connection_t *)data;
  reader_t *reader = calloc (1, sizeof *reader);
  int one = 1;

  free (data);
  setsockopt (connection.socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  reader->socket = connection.socket;
  if (connection.node == 0)
    serve_store (reader);
  else
    serve_instance (reader, connection.node);
  close (connection.socket);
  free (reader);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  if (pthread_create (&thread, &attributes, run, data) != 0)
    rig_give_up ("no thread");
  pthread_attr_destroy (&attributes);
}

static void *
run_listener (void *data)
{
  connection_t listener = *(connection_t *)data;

  free (data);
  for (;;)
    {
      int accepted = accept4 (listener.socket, NULL, NULL, SOCK_CLOEXEC);
      connection_t *connection;

      if (accepted < 0)
        continue;
      connection = malloc (sizeof *connection);
      *connection = (connection_t){ accepted, listener.node };
      start_thread (run_connection, connection);
    }
  return NULL;
}

static void
start_listener (int host, int port, int node)
{
  connection_t *listener = malloc (sizeof *listener);

  *listener = (connection_t){ listen_at (host, port), node };
  start_thread (run_listener, listener);
}

/* Nodes. */

static void
write_settings (int node)
{
  char path[128];
  FILE *file;
  char prefix[32];

  snprintf (path, sizeof path, "%s/node-%d.yaml", folder, node);
  snprintf (prefix, sizeof prefix, "127.%u.%u.", network[0], network[1]);
  file = fopen (path, "w");
  if (!file)
    rig_give_up ("no settings file");
  fprintf (
      file,
      "NodeName: \"sidecar-gh-south-a-%d\"\nRole: \"node\"\nMachineClass: \"sidecar\"\n"
      "Serves:\n  - \"sidecar\"\nIp: \"%s%d\"\nZone: \"gh-south-a\"\nRegion: \"gh-south\"\n"
      "Zones:\n  gh-south-a: \"gh-south\"\nListenAddrs:\n  Inbound: \"%s%d:%d\"\n"
      "  Outbound: \"%s%d:%d\"\n  Readiness: \"%s%d:%d\"\nInternalPorts:\n  - 7380\n  - 7395\n"
      "SeedNodes: []\nBootstrap: true\nFaultCounted: false\nLimits:\n  CpuQuota: 0.1\n"
      "  CpuCores: 1\n  MemoryMb: %d\n  MaxFds: 4100\n  BandwidthMbps: 1000.0\n  DiskMb: 0\n",
      node, prefix, node, prefix, node, INBOUND_PORT, prefix, node, OUTBOUND_PORT, prefix, node,
      READY_PORT, options.memory_mb);
  fprintf (file,
           "DataDir: null\nDiscovery: \"platform\"\nEntryType: \"static\"\nHeartbeatMs: 1500\n"
           "Bounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  StabilityMs: 3000\n  AckMs: 4000\n"
           "  CatchUpS: 4\n  DrainMs: %d\n  GraceS: %d\n  SlackMs: 200\n  ConfigApplyMs: %d\n"
           "  RollbackSlackMs: 250\n  MaxSkewMs: 5000\n  RetryBudgetRatio: 0.2\n"
           "  RetryWindowS: 10\n  BudgetSlack: 60\n  RecoveryS: 15\nAppAddr: \"%s%d:%d\"\n"
           "Service: \"%s\"\nPlatform:\n  Address: \"%s%d:%d\"\n  form: \"read\"\n"
           "  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  MaxValueBytes: 1048576\n"
           "  MinTtlMs: 1000\n",
           options.drain_ms, options.grace_s, options.drain_ms, prefix, node, INSTANCE_PORT,
           options.services[node], prefix, STORE_HOST, STORE_PORT);
  fclose (file);
}

void
rig_start_node (int node)
{
  char setting[160];
  char log[128];
  pid_t pid;
  pid_t parent = getpid ();

  snprintf (setting, sizeof setting, "FOXTAILRUN_BOOT=%s/node-%d.yaml", folder, node);
  snprintf (log, sizeof log, "%s/node-%d.log", folder, node);
  pthread_mutex_lock (&child_lock);
  pid = fork ();
  if (pid == 0)
    {
      char *arguments[] = { (char *)NODE_PROGRAM, NULL };
      char *environment[]
          = { setting, (char *)"PATH=/usr/bin:/bin", (char *)"HOME=/tmp", NULL };
      int output = open (log, O_CREAT | O_WRONLY | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (127);
      dup2 (output, 1);
      dup2 (output, 2);
      execve (NODE_PROGRAM, arguments, environment);
      _exit (127);
    }
  pids[node] = pid;
  ended[node] = false;
  pthread_mutex_unlock (&child_lock);
  rig_record ("node %d started", node);
}

void
rig_signal (int node, int number)
{
  pthread_mutex_lock (&child_lock);
  if (pids[node] > 0 && !ended[node])
    kill (pids[node], number);
  pthread_mutex_unlock (&child_lock);
}

pid_t
rig_pid (int node)
{
  return pids[node];
}

bool
rig_has_ended (int node, int *status)
{
  bool result;

  pthread_mutex_lock (&child_lock);
  if (!ended[node] && waitpid (pids[node], &statuses[node], WNOHANG) == pids[node])
    ended[node] = true;
  result = ended[node];
  *status = statuses[node];
  pthread_mutex_unlock (&child_lock);
  return result;
}

bool
rig_is_ready (int node)
{
  static const char request[] = "GET /foxtailrun/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
  int descriptor = connect_to (node, READY_PORT, 0, 0);
  rig_answer_t answer = { 0 };

  if (descriptor < 0)
    return false;
  if (rig_send (descriptor, request, strlen (request)))
    rig_read_answer (descriptor, 0, 1000, &answer);
  close (descriptor);
  return answer.status == 200;
}

static void
publish (void)
{
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);

  fprintf (
      out,
      "{\"Version\":\"r7\",\"Routes\":{%s},\"Services\":{%s},\"Limits\":{\"MaxHeaderBytes\":"
      "16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
      "\"BaseVersion\":\"r5\"}",
      options.routes, options.service_list);
  fclose (out);
  put_item ("op/config", text);
  free (text);
  for (int i = 1; i <= options.nodes; i++)
    {
      char key[64];
      char id[32];
      char value[512];

      make_instance_id (i, id);
      snprintf (key, sizeof key, "servers/%s", id);
      snprintf (
          value, sizeof value,
          "{\"Service\":\"%s\",\"Address\":\"127.%u.%u.%d:%d\",\"Zone\":\"gh-south-a\","
          "\"Version\":\"v1\",\"MaxConcurrency\":%d,\"State\":\"ready\",\"WarmupLeftMs\":0,"
          "\"Sequence\":4,\"born\":1700000000000}",
          options.services[i], network[0], network[1], i, INSTANCE_PORT, options.slots);
      put_item (key, value);
    }
}

void
rig_start (const rig_options_t *wanted)
{
  struct timespec time;
  double until;
  const char *path = getenv ("RECORD");

  options = *wanted;
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, handle_alarm);
  alarm (TOTAL_TIMEOUT_S);
  started_at = rig_now_ms ();
  record = fopen (path ? path : "record.txt", "w");
  clock_gettime (CLOCK_REALTIME, &time);
  srand ((unsigned)time.tv_nsec ^ (unsigned)getpid ());
  network[0] = 64 + (unsigned)rand () % 128;
  network[1] = 1 + (unsigned)rand () % 250;
  if (!record || !mkdtemp (folder))
    rig_give_up ("no folder");
  publish ();
  start_listener (STORE_HOST, STORE_PORT, 0);
  for (int i = 1; i <= options.nodes; i++)
    {
      start_listener (i, INSTANCE_PORT, i);
      write_settings (i);
    }
  for (int i = 1; i <= options.nodes; i++)
    rig_start_node (i);
  until = rig_now_ms () + READY_TIMEOUT_MS;
  for (int i = 1; i <= options.nodes; i++)
    while (!rig_is_ready (i))
      {
        if (rig_now_ms () > until)
          rig_give_up ("a node is not ready");
        rig_sleep_ms (50);
      }
  rig_record ("all nodes are ready");
}
