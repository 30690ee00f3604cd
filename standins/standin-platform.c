/* Stand-in for the platform: a configuration service, read and watched only (Consul's KV
 * protocol with blocking queries), and a host list (Consul's health protocol) from a folder.
 *
 * Usage: standin-platform ADDRESS PORT FOLDER
 * FOLDER/config.toml is the published document, FOLDER/hosts.json the host list; both may be
 * missing. GET /standin/calls returns the number of calls so far. While a file FOLDER/down
 * exists, every call fails. */
#include <foxtailrun/http/server.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_INTERVAL (20 * FB_MILLISECOND)

/* Longest wait of a watch in s, the same as Consul's. */
#define WATCH_WAIT_MAX_S 600

/* A value read from a file; can be watched. */
typedef struct
{
  const char *file;
  const char *missing_text; /* text if the file is missing; NULL for 404 */
  char *text;
  gsize len;
  uint64_t revision;
} value_t;

typedef struct
{
  fh_request_t *request;
  const value_t *value;
  uint64_t index;
  fb_time_t expires;
} watch_t;

typedef struct
{
  fk_kernel_t *kernel;
  const char *folder;
  value_t document;
  value_t hosts;
  uint64_t calls;
  bool down;
  GPtrArray *watches;
} platform_t;

static void
respond_value (const value_t *value, fh_request_t *request)
{
  char index[24];
  fh_header_t header = { FB_LITERAL ("x-consul-index"), { index, 0 } };
  const char *text = value->text ? value->text : value->missing_text;
  size_t len = value->text           ? value->len
               : value->missing_text ? strlen (value->missing_text)
                                     : 0;

  header.value.len
      = (size_t)snprintf (index, sizeof index, "%" G_GUINT64_FORMAT, value->revision);
  fh_respond (request, text ? 200 : 404, &header, 1,
              (fb_bytes_t){ (const uint8_t *)text, len });
}

static void
respond_text (fh_request_t *request, uint32_t status, const char *text)
{
  fh_respond (request, status, NULL, 0, (fb_bytes_t){ (const uint8_t *)text, strlen (text) });
}

/* Returns the number that follows KEY in PATH, or 0. */
static uint64_t
read_query (fb_str_t path, const char *key)
{
  char *text = fb_copy_text (path);
  const char *match = strstr (text, key);
  uint64_t value = match ? g_ascii_strtoull (match + strlen (key), NULL, 10) : 0;

  g_free (text);
  return value;
}

static void
cancel_watch (fh_request_t *request, void *user)
{
  platform_t *platform = user;

  for (guint i = 0; i < platform->watches->len; i++)
    {
      watch_t *watch = g_ptr_array_index (platform->watches, i);
      if (watch->request != request)
        continue;
      g_ptr_array_remove_index_fast (platform->watches, i);
      g_free (watch);
      break;
    }
  respond_text (request, 500, "gone");
}

static void
handle_read (platform_t *platform, const value_t *value, fh_request_t *request, fb_str_t path)
{
  uint64_t index = read_query (path, "index=");
  uint64_t wait = read_query (path, "wait=");
  watch_t *watch;

  if (index == 0 || index < value->revision)
    {
      respond_value (value, request);
      return;
    }
  watch = g_new0 (watch_t, 1);
  watch->request = request;
  watch->value = value;
  watch->index = index;
  watch->expires = fb_read_clock (fk_get_clock (platform->kernel))
                   + (fb_time_t)MIN (wait, WATCH_WAIT_MAX_S) * FB_SECOND;
  g_ptr_array_add (platform->watches, watch);
  fh_set_cancelled_handler (request, cancel_watch, platform);
}

static void
handle_request (fh_request_t *request, void *user)
{
  platform_t *platform = user;
  fb_str_t path = fh_get_path (request);
  char text[32];

  if (fb_has_prefix (path, FB_LITERAL ("/standin/calls")))
    {
      snprintf (text, sizeof text, "%" G_GUINT64_FORMAT "\n", platform->calls);
      respond_text (request, 200, text);
      return;
    }
  platform->calls++;
  if (platform->down)
    respond_text (request, 500, "down\n");
  else if (!fb_equal_str (fh_get_method (request), FB_LITERAL ("GET")))
    respond_text (request, 405, "read only\n");
  else if (fb_has_prefix (path, FB_LITERAL ("/v1/kv/foxtailrun/config")))
    handle_read (platform, &platform->document, request, path);
  else if (fb_has_prefix (path, FB_LITERAL ("/v1/health/service/foxtailrun")))
    handle_read (platform, &platform->hosts, request, path);
  else
    respond_text (request, 404, "unknown path\n");
}

static void
complete_watches (platform_t *platform)
{
  fb_time_t now = fb_read_clock (fk_get_clock (platform->kernel));

  for (guint i = platform->watches->len; i-- > 0;)
    {
      watch_t *watch = g_ptr_array_index (platform->watches, i);
      if (!platform->down && watch->index >= watch->value->revision && now < watch->expires)
        continue;
      g_ptr_array_remove_index_fast (platform->watches, i);
      fh_set_cancelled_handler (watch->request, NULL, NULL);
      if (platform->down)
        respond_text (watch->request, 500, "down\n");
      else
        respond_value (watch->value, watch->request);
      g_free (watch);
    }
}

/* Reloads VALUE's file if changed, and increments the revision. */
static void
poll_value (platform_t *platform, value_t *value)
{
  char *path = g_build_filename (platform->folder, value->file, NULL);
  char *text = NULL;
  gsize len = 0;

  if (g_file_get_contents (path, &text, &len, NULL)
      && (!value->text || len != value->len || memcmp (text, value->text, len) != 0))
    {
      g_free (value->text);
      value->text = g_steal_pointer (&text);
      value->len = len;
      value->revision++;
    }
  g_free (text);
  g_free (path);
}

static void
poll_folder (void *user)
{
  platform_t *platform = user;
  char *down = g_build_filename (platform->folder, "down", NULL);

  platform->down = g_file_test (down, G_FILE_TEST_EXISTS);
  g_free (down);
  poll_value (platform, &platform->document);
  poll_value (platform, &platform->hosts);
  complete_watches (platform);
}

static void
quit (void *user)
{
  fk_quit (user);
}

int
main (int argc, char **argv)
{
  platform_t platform
      = { .document = { .file = "config.toml", .revision = 1 },
          .hosts = { .file = "hosts.json", .missing_text = "[]", .revision = 1 } };
  fb_name_t address;
  fh_server_t *server;

  if (argc != 4)
    {
      fprintf (stderr, "usage: standin-platform ADDRESS PORT FOLDER\n");
      return 2;
    }
  address = fb_make_name (argv[1]);
  platform.kernel = fk_create_kernel (NULL);
  platform.folder = argv[3];
  platform.watches = g_ptr_array_new ();
  server = fh_create_server (platform.kernel, &address, (uint16_t)atoi (argv[2]), 1024,
                             handle_request, &platform);
  if (!server)
    return 1;
  poll_folder (&platform);
  fk_create_timer (platform.kernel, POLL_INTERVAL, poll_folder, &platform);
  fk_watch_signals (platform.kernel, quit, platform.kernel);
  fk_run (platform.kernel);
  return 0;
}
