#include "rig.h"
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#ifndef PROGRAM
#define PROGRAM "target/packages/foxtailrund/foxtailrund" /* of the deploy file */
#endif
#define STORE_HOST 200

const char *rig_host = "shop.example";
int rig_grace_s = 6;
int rig_memory_mb = 260;

static FILE *record_file;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static int64_t started_at;
static char folder[64];
static unsigned network[2];
static int node_count;
static int inbound_port, outbound_port, ready_port, app_port, internal_port, store_port;
static pid_t node_pids[RIG_NODES_MAX];
static rig_instance_t instances[RIG_NODES_MAX];
static int sequence;

/* Time and record. */

int64_t
rig_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep (int64_t ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

void
rig_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_mutex);
  fprintf (record_file, "%7lld ms  ", (long long)(rig_now () - started_at));
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_mutex);
}

bool
rig_has_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return !value || strcmp (value, "0") != 0;
}

static void
remove_folder (void)
{
  for (int i = 0; i < node_count; i++)
    {
      char path[128];

      snprintf (path, sizeof path, "%s/node-%d.yaml", folder, i);
      unlink (path);
      snprintf (path, sizeof path, "%s/node-%d.log", folder, i);
      unlink (path);
    }
  rmdir (folder);
}

_Noreturn void
rig_finish (int status)
{
  for (int i = 0; i < node_count; i++)
    if (node_pids[i] > 0)
      {
        kill (node_pids[i], SIGCONT);
        kill (node_pids[i], SIGKILL);
        waitpid (node_pids[i], NULL, 0);
      }
  rig_record ("result: %s", status == 0   ? "the rule held"
                            : status == 1 ? "the rule was broken"
                                          : "could not run");
  if (!getenv ("RIG_KEEP"))
    remove_folder ();
  _exit (status);
}

static _Noreturn void
give_up (const char *what)
{
  rig_record ("cannot run: %s: %s", what, strerror (errno));
  rig_finish (2);
}

/* Addresses. */

static void
format_ip (char text[32], int host)
{
  snprintf (text, 32, "127.%u.%u.%d", network[0], network[1], host);
}

static struct sockaddr_in
make_address (int host, int port)
{
  char text[32];
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  format_ip (text, host);
  inet_pton (AF_INET, text, &address.sin_addr);
  return address;
}

static int
listen_at (int host, int port)
{
  struct sockaddr_in address = make_address (host, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, 1024) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Returns a port that is free at all addresses of the case. */
static int
choose_port (void)
{
  for (int attempt = 0; attempt < 200; attempt++)
    {
      int port = 20000 + rand () % 10000;
      bool is_free = true;

      for (int host = 1; host <= node_count && is_free; host++)
        {
          int fd = listen_at (host, port);

          is_free = fd >= 0;
          if (is_free)
            close (fd);
        }
      if (is_free)
        return port;
    }
  give_up ("no free port");
}

void
rig_open (const char *record, int nodes)
{
  unsigned seed = 0;

  started_at = rig_now ();
  record_file = fopen (record, "w");
  if (!record_file)
    exit (2);
  signal (SIGPIPE, SIG_IGN);
  if (getrandom (&seed, sizeof seed, 0) != sizeof seed)
    seed = (unsigned)time (NULL);
  srand (seed);
  network[0] = 1 + (unsigned)rand () % 250;
  network[1] = 1 + (unsigned)rand () % 250;
  node_count = nodes;
  strcpy (folder, "/tmp/review-2-XXXXXX");
  if (!mkdtemp (folder))
    give_up ("temporary folder");
  if (access (PROGRAM, X_OK) != 0)
    give_up (PROGRAM);
  inbound_port = choose_port ();
  outbound_port = choose_port ();
  ready_port = choose_port ();
  app_port = choose_port ();
  store_port = choose_port ();
  internal_port = choose_port ();
  rig_record ("network 127.%u.%u.0, outbound port %d, trouble %s", network[0], network[1],
              outbound_port, rig_has_trouble () ? "on" : "off");
}

/* HTTP. */

bool
rig_send (int fd, const void *bytes, size_t length)
{
  const char *next = bytes;

  while (length > 0)
    {
      ssize_t sent = send (fd, next, length, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      next += sent;
      length -= (size_t)sent;
    }
  return true;
}

/* Returns the value of header NAME (lower case, with ": ") in HEAD. */
static bool
find_header (const char *head, const char *name, char value[RIG_TEXT])
{
  size_t length = strlen (name);

  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line; line = strstr (line + 2, "\r\n"))
    {
      const char *text = line + 2;
      size_t end;

      if (strncasecmp (text, name, length) != 0 || text[length] != ':')
        continue;
      text += length + 1;
      text += strspn (text, " \t");
      end = strcspn (text, "\r\n");
      if (end >= RIG_TEXT)
        end = RIG_TEXT - 1;
      memcpy (value, text, end);
      value[end] = '\0';
      return true;
    }
  return false;
}

typedef struct
{
  int fd;
  char buffer[64 * 1024];
  size_t begin, end;
} reader_t;

/* Reads more bytes; returns their number, 0 at the end, -1 on an error. */
static ssize_t
fill (reader_t *reader)
{
  ssize_t got;

  if (reader->begin > 0)
    {
      memmove (reader->buffer, reader->buffer + reader->begin, reader->end - reader->begin);
      reader->end -= reader->begin;
      reader->begin = 0;
    }
  if (reader->end == sizeof reader->buffer)
    return -1;
  do
    got = recv (reader->fd, reader->buffer + reader->end, sizeof reader->buffer - reader->end,
                0);
  while (got < 0 && errno == EINTR);
  if (got > 0)
    reader->end += (size_t)got;
  return got;
}

/* Reads a head; the caller frees it. NULL at the end. */
static char *
read_head (reader_t *reader)
{
  for (;;)
    {
      char *end
          = memmem (reader->buffer + reader->begin, reader->end - reader->begin, "\r\n\r\n", 4);

      if (end)
        {
          size_t length = (size_t)(end - (reader->buffer + reader->begin)) + 4;
          char *head = strndup (reader->buffer + reader->begin, length);

          reader->begin += length;
          return head;
        }
      if (fill (reader) <= 0)
        return NULL;
    }
}

static bool
read_body (reader_t *reader, uint8_t *body, size_t length)
{
  size_t got = 0;

  while (got < length)
    {
      size_t ready = reader->end - reader->begin;

      if (ready > 0)
        {
          if (ready > length - got)
            ready = length - got;
          memcpy (body + got, reader->buffer + reader->begin, ready);
          reader->begin += ready;
          got += ready;
        }
      else if (fill (reader) <= 0)
        return false;
    }
  return true;
}

/* The store. */

typedef struct
{
  char key[256];
  char *value; /* NULL once removed */
  uint64_t revision, created;
} item_t;

static item_t items[2048];
static int item_count;
static uint64_t revision = 10;
static pthread_mutex_t store_mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static int
compare_items (const void *a, const void *b)
{
  return strcmp (((const item_t *)a)->key, ((const item_t *)b)->key);
}

static int64_t
write_item (const char *key, const char *value)
{
  item_t *item = NULL;

  pthread_mutex_lock (&store_mutex);
  for (int i = 0; i < item_count && !item; i++)
    if (strcmp (items[i].key, key) == 0)
      item = &items[i];
  if (!item)
    {
      item = &items[item_count++];
      snprintf (item->key, sizeof item->key, "%s", key);
    }
  revision++;
  if (!item->value)
    item->created = revision;
  free (item->value);
  item->value = value ? strdup (value) : NULL;
  item->revision = revision;
  qsort (items, (size_t)item_count, sizeof items[0], compare_items);
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_mutex);
  rig_record ("store: %s %s, %zu bytes", value ? "acknowledged" : "removed", key,
              value ? strlen (value) : 0);
  return rig_now ();
}

int64_t
rig_put (const char *key, const char *value)
{
  return write_item (key, value);
}

int64_t
rig_delete (const char *key)
{
  return write_item (key, NULL);
}

typedef struct
{
  char *text;
  size_t length, size;
} text_t;

static void
append (text_t *text, const char *bytes, size_t length)
{
  if (text->length + length + 1 > text->size)
    {
      text->size = 2 * (text->size + length + 256);
      text->text = realloc (text->text, text->size);
    }
  memcpy (text->text + text->length, bytes, length);
  text->length += length;
  text->text[text->length] = '\0';
}

static void append_format (text_t *text, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
append_format (text_t *text, const char *format, ...)
{
  char line[1024];
  va_list arguments;
  int length;

  va_start (arguments, format);
  length = vsnprintf (line, sizeof line, format, arguments);
  va_end (arguments);
  append (text, line, (size_t)length);
}

static void
append_base64 (text_t *text, const char *value)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (value);

  for (size_t i = 0; i < length; i += 3)
    {
      uint32_t bits = (uint32_t)(uint8_t)value[i] << 16;
      char out[4];

      if (i + 1 < length)
        bits |= (uint32_t)(uint8_t)value[i + 1] << 8;
      if (i + 2 < length)
        bits |= (uint8_t)value[i + 2];
      out[0] = digits[bits >> 18];
      out[1] = digits[bits >> 12 & 63];
      out[2] = i + 1 < length ? digits[bits >> 6 & 63] : '=';
      out[3] = i + 2 < length ? digits[bits & 63] : '=';
      append (text, out, 4);
    }
}

static void
append_item (text_t *text, const item_t *item)
{
  if (!item->value)
    {
      append_format (text, "{\"Key\":\"%s\",\"Revision\":%llu,\"Compacted\":true}", item->key,
                     (unsigned long long)item->revision);
      return;
    }
  append_format (text, "{\"Key\":\"%s\",\"Value\":\"", item->key);
  append_base64 (text, item->value);
  append_format (text, "\",\"Revision\":%llu,\"CreatedRevision\":%llu,\"LeaseId\":0",
                 (unsigned long long)item->revision, (unsigned long long)item->created);
  append (text, "}", 1);
}

/* Copies the decoded value of query parameter NAME. */
static bool
read_parameter (const char *target, const char *name, char value[RIG_TEXT])
{
  const char *at = strchr (target, '?');
  size_t length = strlen (name);

  value[0] = '\0';
  while (at)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          size_t used = 0;

          for (at += length + 1; *at && *at != '&' && used < RIG_TEXT - 1; at++)
            if (*at == '%' && isxdigit (at[1]) && isxdigit (at[2]))
              {
                char hex[3] = { at[1], at[2], 0 };

                value[used++] = (char)strtol (hex, NULL, 16);
                at += 2;
              }
            else
              value[used++] = *at;
          value[used] = '\0';
          return true;
        }
      at = strchr (at, '&');
    }
  return false;
}

static bool
send_store_answer (int fd, int status, const text_t *body)
{
  char head[256];
  size_t length = body ? body->length : 0;

  snprintf (head, sizeof head,
            "HTTP/1.1 %d %s\r\ncontent-type: application/json\r\ncontent-length: %zu\r\n\r\n",
            status, status == 200 ? "OK" : "Not Found", length);
  return rig_send (fd, head, strlen (head))
         && (length == 0 || rig_send (fd, body->text, length));
}

static bool
serve_key (int fd, const char *target)
{
  char key[RIG_TEXT];
  text_t body = { 0 };
  bool sent;

  read_parameter (target, "Key", key);
  pthread_mutex_lock (&store_mutex);
  for (int i = 0; i < item_count; i++)
    if (strcmp (items[i].key, key) == 0 && items[i].value)
      {
        append_item (&body, &items[i]);
        body.length--; /* the closing brace */
        append_format (&body, ",\"At\":%llu}", (unsigned long long)revision);
      }
  pthread_mutex_unlock (&store_mutex);
  sent = send_store_answer (fd, body.length > 0 ? 200 : 404, &body);
  free (body.text);
  return sent;
}

static bool
serve_range (int fd, const char *target)
{
  char prefix[RIG_TEXT], after[RIG_TEXT];
  text_t body = { 0 };
  size_t page = 0;
  bool more = false, sent, first = true;

  read_parameter (target, "PathPrefix", prefix);
  read_parameter (target, "after", after);
  append (&body, "{\"items\":[", 10);
  pthread_mutex_lock (&store_mutex);
  for (int i = 0; i < item_count && !more; i++)
    {
      if (!items[i].value || strncmp (items[i].key, prefix, strlen (prefix)) != 0
          || strcmp (items[i].key, after) <= 0)
        continue;
      if (page == 500 || (page > 0 && body.length > 1000000))
        {
          more = true;
          break;
        }
      if (!first)
        append (&body, ",", 1);
      first = false;
      append_item (&body, &items[i]);
      page++;
    }
  append_format (&body, "],\"HasMore\":%s,\"At\":%llu}", more ? "true" : "false",
                 (unsigned long long)revision);
  pthread_mutex_unlock (&store_mutex);
  sent = send_store_answer (fd, 200, &body);
  free (body.text);
  return sent;
}

static bool
serve_watch (int fd, const char *target)
{
  char prefix[RIG_TEXT], text[RIG_TEXT];
  uint64_t after;
  int64_t wait_ms;
  struct timespec until;
  text_t body = { 0 };
  bool found = false, sent;

  read_parameter (target, "PathPrefix", prefix);
  read_parameter (target, "after", text);
  after = strtoull (text, NULL, 10);
  read_parameter (target, "WaitMs", text);
  wait_ms = strtoll (text, NULL, 10);
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  append (&body, "{\"events\":[", 11);
  pthread_mutex_lock (&store_mutex);
  for (;;)
    {
      /* Events in the order of their revisions; each item shows its last change. */
      for (uint64_t from = after;;)
        {
          const item_t *next = NULL;

          for (int i = 0; i < item_count; i++)
            if (items[i].revision > from && strncmp (items[i].key, prefix, strlen (prefix)) == 0
                && (!next || items[i].revision < next->revision))
              next = &items[i];
          if (!next)
            break;
          if (found)
            append (&body, ",", 1);
          append_item (&body, next);
          from = next->revision;
          found = true;
        }
      if (found || pthread_cond_timedwait (&store_changed, &store_mutex, &until) != 0)
        break;
    }
  append_format (&body, "],\"At\":%llu}", (unsigned long long)revision);
  pthread_mutex_unlock (&store_mutex);
  sent = send_store_answer (fd, 200, &body);
  free (body.text);
  return sent;
}

static void *
serve_store_connection (void *data)
{
  reader_t *reader = data;
  char *head;
  bool open = true;

  while (open && (head = read_head (reader)))
    {
      char method[16], target[RIG_TEXT];

      if (sscanf (head, "%15s %511s", method, target) != 2)
        open = false;
      else
        {
          rig_sleep (4);
          if (strncmp (target, "/foxtailrun/kv-key", 18) == 0)
            open = serve_key (reader->fd, target);
          else if (strncmp (target, "/foxtailrun/kv-range", 20) == 0)
            open = serve_range (reader->fd, target);
          else if (strncmp (target, "/foxtailrun/kv-watch", 20) == 0)
            open = serve_watch (reader->fd, target);
          else
            open = false;
        }
      free (head);
    }
  close (reader->fd);
  free (reader);
  return NULL;
}

typedef struct
{
  int fd;
  rig_instance_t *instance;
} listener_t;

typedef struct
{
  reader_t reader;
  rig_instance_t *instance;
} instance_connection_t;

static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  if (pthread_create (&thread, &attributes, run, data) != 0)
    give_up ("thread");
  pthread_attr_destroy (&attributes);
}

static void *
accept_store (void *data)
{
  int listener = (int)(intptr_t)data;

  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      reader_t *reader;
      int on = 1;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      reader = calloc (1, sizeof *reader);
      reader->fd = fd;
      start_thread (serve_store_connection, reader);
    }
  return NULL;
}

void
rig_start_store (void)
{
  int fd = listen_at (STORE_HOST, store_port);

  if (fd < 0)
    give_up ("store");
  start_thread (accept_store, (void *)(intptr_t)fd);
}

void
rig_config_begin (rig_config_t *config, int version)
{
  memset (config, 0, sizeof *config);
  config->size = 256;
  config->text = malloc (config->size);
  config->length = (size_t)sprintf (config->text, "{\"Version\":\"r%d\",\"Routes\":{", version);
}

static void
extend_config (rig_config_t *config, const char *text)
{
  size_t length = strlen (text);

  if (config->length + length + 1 > config->size)
    {
      config->size = 2 * (config->size + length);
      config->text = realloc (config->text, config->size);
    }
  memcpy (config->text + config->length, text, length + 1);
  config->length += length;
}

void
rig_config_route (rig_config_t *config, const char *name, const char *prefix,
                  const char *service, bool idempotent, int timeout_ms, int target_ms,
                  int attempts)
{
  char text[1024];

  snprintf (
      text, sizeof text,
      "%s\"%s\":{\"Host\":\"%s\",\"PathPrefix\":\"%s\",\"RouteType\":\"%s\",\"TimeoutMs\":%d,\"TargetLatencyMs\":%d,"
      "\"Priority\":1,\"Service\":\"%s\",\"MaxAttempts\":%d}",
      config->routes++ > 0 ? "," : "", name, rig_host, prefix,
      idempotent ? "idempotent" : "non_idempotent", timeout_ms, target_ms, service, attempts);
  extend_config (config, text);
}

char *
rig_config_end (rig_config_t *config, const char *const *services, int count)
{
  extend_config (config, "},\"Services\":{");
  for (int i = 0; i < count; i++)
    {
      char text[256];

      snprintf (
          text, sizeof text,
          "%s\"%s\":{\"HealthPath\":\"/healthz\",\"MaxConnections\":120,\"Protocol\":\"h1\",\"Tls\":false}",
          i > 0 ? "," : "", services[i]);
      extend_config (config, text);
    }
  extend_config (
      config,
      "},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
      "\"IdleTimeoutMs\":15000}}");
  return config->text;
}

/* Instances. */

static pthread_mutex_t slot_mutex[RIG_NODES_MAX];
static int slots_used[RIG_NODES_MAX];

void
rig_sign (const rig_request_t *request, const rig_instance_t *instance, char text[RIG_TEXT])
{
  snprintf (text, RIG_TEXT, "%s.%.64s", instance->id, request->id);
}

bool
rig_answer (int fd, int status, const rig_instance_t *instance, const rig_request_t *request,
            const void *body, size_t body_len, bool with_length)
{
  char head[4 * RIG_TEXT], signature[RIG_TEXT], length[64] = "connection: close\r\n";

  rig_sign (request, instance, signature);
  if (with_length)
    snprintf (length, sizeof length, "content-length: %zu\r\n", body_len);
  snprintf (head, sizeof head,
            "HTTP/1.1 %d %s\r\nx-attempt-id: %s\r\nx-response-signature: %s\r\n%s\r\n", status,
            status < 300 ? "OK" : "Failed", request->id, signature, length);
  if (!rig_send (fd, head, strlen (head)) || !rig_send (fd, body, body_len))
    return false;
  return with_length;
}

static bool
serve_request (rig_instance_t *instance, int fd, const rig_request_t *request)
{
  int node = instance->node;
  char head[4 * RIG_TEXT];
  bool keep;

  if (strcmp (request->path, "/healthz") == 0)
    {
      snprintf (head, sizeof head,
                "HTTP/1.1 200 OK\r\nx-instance-id: %s\r\ncontent-length: 0\r\n\r\n",
                instance->id);
      return rig_send (fd, head, strlen (head));
    }
  if (request->expected[0] && strcmp (request->expected, instance->id) != 0)
    {
      snprintf (
          head, sizeof head,
          "HTTP/1.1 421 Misdirected Request\r\nx-instance-id: %s\r\nx-attempt-id: %s\r\nx-not-executed: 1\r\n"
          "content-length: 0\r\n\r\n",
          instance->id, request->id);
      return rig_send (fd, head, strlen (head));
    }
  if (!request->id[0])
    {
      snprintf (head, sizeof head,
                "HTTP/1.1 400 Bad Request\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n");
      return rig_send (fd, head, strlen (head));
    }
  pthread_mutex_lock (&slot_mutex[node]);
  if (slots_used[node] >= instance->slots)
    {
      pthread_mutex_unlock (&slot_mutex[node]);
      rig_record ("instance %s: full, rejects %s %s id %s", instance->id, request->method,
                  request->path, request->id);
      snprintf (
          head, sizeof head,
          "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: %s\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
          request->id);
      return rig_send (fd, head, strlen (head));
    }
  slots_used[node]++;
  pthread_mutex_unlock (&slot_mutex[node]);
  rig_record ("instance %s: runs %s %s id %s body %zu deadline %ld", instance->id,
              request->method, request->path, request->id, request->body_len,
              request->deadline_ms);
  keep = instance->work (instance, fd, request);
  pthread_mutex_lock (&slot_mutex[node]);
  slots_used[node]--;
  pthread_mutex_unlock (&slot_mutex[node]);
  return keep;
}

static void *
serve_instance_connection (void *data)
{
  instance_connection_t *connection = data;
  reader_t *reader = &connection->reader;
  bool open = true;
  char *head;

  while (open && (head = read_head (reader)))
    {
      rig_request_t request = { .deadline_ms = -1 };
      char value[RIG_TEXT];

      open = sscanf (head, "%15s %511s", request.method, request.path) == 2;
      find_header (head, "x-attempt-id", request.id);
      find_header (head, "x-expected-instance", request.expected);
      find_header (head, "x-caller-service", request.caller);
      if (find_header (head, "x-deadline-ms", value))
        request.deadline_ms = strtol (value, NULL, 10);
      if (find_header (head, "content-length", value))
        request.body_len = strtoul (value, NULL, 10);
      free (head);
      request.body = malloc (request.body_len + 1);
      open = open && read_body (reader, request.body, request.body_len)
             && serve_request (connection->instance, reader->fd, &request);
      free (request.body);
    }
  shutdown (reader->fd, SHUT_WR);
  close (reader->fd);
  free (connection);
  return NULL;
}

static void *
accept_instance (void *data)
{
  listener_t *listener = data;

  for (;;)
    {
      int fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC);
      instance_connection_t *connection;
      int on = 1;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      connection = calloc (1, sizeof *connection);
      connection->reader.fd = fd;
      connection->instance = listener->instance;
      start_thread (serve_instance_connection, connection);
    }
  return NULL;
}

void
rig_list_instance (int node, const char *state)
{
  rig_instance_t *instance = &instances[node];
  char key[128], value[1024], ip[32];

  format_ip (ip, node + 1);
  snprintf (key, sizeof key, "servers/%s", instance->id);
  snprintf (
      value, sizeof value,
      "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"MaxConcurrency\":%d,"
      "\"State\":\"%s\",\"WarmupLeftMs\":0,\"Sequence\":%d,\"born\":1790000000000}",
      instance->service, ip, app_port, instance->slots, state, ++sequence);
  rig_put (key, value);
}

void
rig_start_instance (int node, const char *id, const char *service, int slots, rig_work_fn work)
{
  listener_t *listener = calloc (1, sizeof *listener);
  rig_instance_t *instance = &instances[node];

  instance->node = node;
  snprintf (instance->id, sizeof instance->id, "%s", id);
  snprintf (instance->service, sizeof instance->service, "%s", service);
  instance->slots = slots;
  instance->work = work;
  pthread_mutex_init (&slot_mutex[node], NULL);
  listener->fd = listen_at (node + 1, app_port);
  listener->instance = instance;
  if (listener->fd < 0)
    give_up ("instance");
  start_thread (accept_instance, listener);
  rig_list_instance (node, "ready");
}

/* Nodes. */

static void
write_settings (int node, const char *path)
{
  FILE *file = fopen (path, "w");
  char ip[32], store[32];

  if (!file)
    give_up (path);
  format_ip (ip, node + 1);
  format_ip (store, STORE_HOST);
  fprintf (
      file,
      "NodeName: \"sidecar-zone-a-%d\"\nRole: \"node\"\nMachineClass: \"sidecar\"\nServes:\n  - \"sidecar\"\n"
      "Ip: \"%s\"\nZone: \"zone-a\"\nRegion: \"region\"\nZones:\n  zone-a: \"region\"\n"
      "ListenAddrs:\n  Inbound: \"%s:%d\"\n  Outbound: \"%s:%d\"\n  Readiness: \"%s:%d\"\n"
      "InternalPorts:\n  - %d\n  - %d\nSeedNodes: []\nBootstrap: true\nFaultCounted: false\n"
      "Limits:\n  CpuQuota: 0.2\n  CpuCores: 1\n  MemoryMb: %d\n  MaxFds: 4100\n  BandwidthMbps: 1000.0\n  DiskMb: 0\n"
      "DataDir: null\nDiscovery: \"platform\"\nEntryType: \"static\"\nHeartbeatMs: 1500\n"
      "Contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"platform\"\n"
      "FaultTolerance:\n  Machines: 2\n  Zones: 0\n  Regions: 0\n"
      "Bounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  StabilityMs: 3000\n  AckMs: 4000\n  CatchUpS: 4\n  DrainMs: 2000\n"
      "  GraceS: %d\n  SlackMs: 200\n  ConfigApplyMs: 2000\n  RollbackSlackMs: 250\n  MaxSkewMs: 5000\n"
      "  RetryBudgetRatio: 0.2\n  RetryWindowS: 10\n  BudgetSlack: 60\n  RecoveryS: 15\n"
      "AppAddr: \"%s:%d\"\nService: \"%s\"\n"
      "Platform:\n  Address: \"%s:%d\"\n  form: \"read\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n"
      "  MaxValueBytes: 1048576\n  MinTtlMs: 1000\n",
      node + 1, ip, ip, inbound_port, ip, outbound_port, ip, ready_port, internal_port,
      internal_port + 1, rig_memory_mb, rig_grace_s, ip, app_port, instances[node].service,
      store, store_port);
  fclose (file);
}

void
rig_start_node (int node)
{
  char settings[128], log[128];
  pid_t parent = getpid ();

  snprintf (settings, sizeof settings, "%s/node-%d.yaml", folder, node);
  snprintf (log, sizeof log, "%s/node-%d.log", folder, node);
  write_settings (node, settings);
  node_pids[node] = fork ();
  if (node_pids[node] < 0)
    give_up ("fork");
  if (node_pids[node] == 0)
    {
      int output = open (log, O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (2);
      signal (SIGPIPE, SIG_DFL);
      dup2 (output, 1);
      dup2 (output, 2);
      setenv ("FOXTAILRUN_BOOT", settings, 1);
      execl (PROGRAM, PROGRAM, (char *)NULL);
      _exit (2);
    }
  rig_record ("node %d: started", node + 1);
}

void
rig_signal_node (int node, int number)
{
  rig_record ("node %d: %s", node + 1, strsignal (number));
  kill (node_pids[node], number);
}

bool
rig_is_running (int node)
{
  int status;

  if (node_pids[node] <= 0)
    return false;
  if (waitpid (node_pids[node], &status, WNOHANG) != node_pids[node])
    return true;
  node_pids[node] = 0;
  rig_record ("node %d: ended, %s %d", node + 1, WIFSIGNALED (status) ? "signal" : "exit code",
              WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
  return false;
}

bool
rig_wait_exit (int node, int64_t limit_ms, int *status)
{
  int64_t until = rig_now () + limit_ms;

  do
    {
      if (waitpid (node_pids[node], status, WNOHANG) == node_pids[node])
        {
          node_pids[node] = 0;
          rig_record ("node %d: ended, %s %d", node + 1,
                      WIFSIGNALED (*status) ? "signal" : "exit code",
                      WIFSIGNALED (*status) ? WTERMSIG (*status) : WEXITSTATUS (*status));
          return true;
        }
      rig_sleep (5);
    }
  while (rig_now () < until);
  return false;
}

long
rig_get_rss_kb (int node)
{
  char path[64], line[256];
  long kb = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)node_pids[node]);
  file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    if (sscanf (line, "VmRSS: %ld", &kb) == 1)
      break;
  if (file)
    fclose (file);
  return kb;
}

static int
connect_to (int node, int port, int receive_buffer, int segment)
{
  struct sockaddr_in address = make_address (node + 1, port);
  struct timeval timeout = { 1, 0 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (segment > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout,
              sizeof timeout); /* clients allow 1 s for a connection */
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  timeout.tv_sec = 0;
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  return fd;
}

int
rig_connect (int node, int receive_buffer, int segment)
{
  return connect_to (node, outbound_port, receive_buffer, segment);
}

bool
rig_wait_ready (int node, int64_t limit_ms)
{
  int64_t until = rig_now () + limit_ms;

  do
    {
      int fd = connect_to (node, ready_port, 0, 0);
      rig_answer_t answer = { 0 };

      if (fd >= 0)
        {
          static const char text[] = "GET /foxtailrun/readyz HTTP/1.1\r\nhost: node\r\n\r\n";

          rig_send (fd, text, strlen (text));
          rig_read_answer (fd, &answer, 500, 0);
          free (answer.body);
          close (fd);
          if (answer.status == 200)
            {
              rig_record ("node %d: ready", node + 1);
              return true;
            }
        }
      rig_sleep (50);
    }
  while (rig_now () < until);
  return false;
}

/* Clients. */

void
rig_make_id (char id[32])
{
  uint64_t number;

  if (getrandom (&number, sizeof number, 0) != sizeof number)
    number = (uint64_t)rand ();
  snprintf (id, 32, "%016llx", (unsigned long long)number);
}

bool
rig_send_request (int fd, const char *method, const char *path, const char *id, int deadline_ms,
                  const void *body, size_t body_len)
{
  char head[2048], length[64] = "";

  if (body_len > 0)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n", body_len);
  else if (strcmp (method, "GET") != 0)
    snprintf (length, sizeof length, "Content-Length: 0\r\n");
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n",
            method, path, rig_host, id, deadline_ms, length);
  return rig_send (fd, head, strlen (head)) && (body_len == 0 || rig_send (fd, body, body_len));
}

/* Waits until FD can be read; returns false after UNTIL. */
static bool
wait_readable (int fd, int64_t until)
{
  struct pollfd entry = { fd, POLLIN, 0 };
  int64_t left = until - rig_now ();

  return left > 0 && poll (&entry, 1, (int)left) > 0;
}

ssize_t
rig_read_some (int fd, void *bytes, size_t size, int64_t limit_ms)
{
  ssize_t got;

  if (!wait_readable (fd, rig_now () + limit_ms))
    return -1;
  do
    got = recv (fd, bytes, size, 0);
  while (got < 0 && errno == EINTR);
  return got;
}

/* Reads the head of the final answer into ANSWER; sets its error and returns false if it does
 * not come. */
static bool
read_answer_head (reader_t *reader, rig_answer_t *answer, int64_t until)
{
  char value[RIG_TEXT];

  while (wait_readable (reader->fd, until))
    {
      ssize_t got = fill (reader);
      char *end = memmem (reader->buffer, reader->end, "\r\n\r\n", 4);
      char *head;

      if (got <= 0)
        {
          answer->error = got < 0 ? errno : 0;
          return false;
        }
      if (!end)
        continue;
      reader->begin = (size_t)(end - reader->buffer) + 4;
      head = strndup (reader->buffer, reader->begin);
      if (sscanf (head, "HTTP/1.1 %d", &answer->status) == 1 && answer->status < 200)
        {
          free (head);
          continue;
        }
      find_header (head, "x-attempt-id", answer->id);
      find_header (head, "x-response-signature", answer->signature);
      if (find_header (head, "content-length", value))
        answer->content_length = strtol (value, NULL, 10);
      if (answer->status == 204 || answer->status == 304)
        answer->content_length = 0;
      answer->closes
          = find_header (head, "connection", value) && strcasecmp (value, "close") == 0;
      free (head);
      return true;
    }
  answer->error = ETIMEDOUT;
  return false;
}

/* Waits until a reader of RATE bytes a second, which began at BEGUN, reads beyond LENGTH bytes.
 */
static void
keep_rate (int64_t begun, size_t length, size_t rate)
{
  int64_t due = rate > 0 ? begun + (int64_t)(length * 1000 / rate) : 0;

  if (due > rig_now ())
    rig_sleep (due - rig_now ());
}

/* Reads the body; nodes answer with a length, or end the connection. */
static void
read_answer_body (reader_t *reader, rig_answer_t *answer, int64_t until, size_t rate)
{
  size_t step = sizeof reader->buffer;
  size_t size = step;

  if (rate > 0 && rate / 20 < step)
    step = rate / 20;
  answer->body = malloc (size);
  for (;;)
    {
      size_t ready = reader->end - reader->begin;
      ssize_t got;

      if (answer->body_len + ready > size)
        {
          size = 2 * (answer->body_len + ready);
          answer->body = realloc (answer->body, size);
        }
      memcpy (answer->body + answer->body_len, reader->buffer + reader->begin, ready);
      answer->body_len += ready;
      reader->begin = reader->end = 0;
      if (answer->content_length >= 0 && answer->body_len >= (size_t)answer->content_length)
        {
          answer->complete = answer->body_len == (size_t)answer->content_length;
          return;
        }
      keep_rate (answer->sent_at, answer->body_len, rate);
      if (!wait_readable (reader->fd, until))
        {
          answer->error = ETIMEDOUT;
          return;
        }
      got = recv (reader->fd, reader->buffer, step, 0);
      if (got <= 0)
        {
          answer->error = got < 0 ? errno : 0;
          answer->complete = got == 0 && answer->content_length < 0;
          return;
        }
      reader->end = (size_t)got;
    }
}

void
rig_read_answer (int fd, rig_answer_t *answer, int64_t limit_ms, size_t rate)
{
  reader_t *reader = calloc (1, sizeof *reader);
  int64_t until = rig_now () + limit_ms;

  memset (answer, 0, sizeof *answer);
  answer->sent_at = rig_now ();
  answer->content_length = -1;
  reader->fd = fd;
  if (read_answer_head (reader, answer, until))
    read_answer_body (reader, answer, until, rate);
  answer->ended_at = rig_now ();
  free (reader);
}

void
rig_call (int node, const char *method, const char *path, const char *id, int deadline_ms,
          const void *body, size_t body_len, int64_t limit_ms, rig_answer_t *answer)
{
  int64_t begun = rig_now ();
  int fd = rig_connect (node, 0, 0);

  memset (answer, 0, sizeof *answer);
  if (fd >= 0 && rig_send_request (fd, method, path, id, deadline_ms, body, body_len))
    rig_read_answer (fd, answer, limit_ms, 0);
  else
    answer->error = errno ? errno : ECONNRESET;
  answer->sent_at = begun;
  answer->ended_at = rig_now ();
  if (fd >= 0)
    close (fd);
}
