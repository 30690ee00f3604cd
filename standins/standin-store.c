/* Stand-in for the users' store: items by key under one store-wide revision, read by key, by
 * prefix and by watch. Failures can be switched on.
 *
 * Usage: standin-store ADDRESS PORT
 * PUT /standin/item?KEY with a body writes an item, DELETE removes it. PUT /standin/mode with a
 * body sets how read calls are answered: "good" normally, "busy" with 503, "many" with 429,
 * "silent" not at all, "lost" only every second one, "slow" after 300 ms. PUT /standin/forget
 * drops the history, so that watches from an earlier revision get 410. PUT /standin/silence has
 * the watches that wait now get no response, as if their connections had gone silent. PUT
 * /standin/copy takes a copy of items and revision, PUT /standin/restore goes back to the last
 * copy, or to the start: revisions are given out again, and the header "store-era" of all
 * responses rises by one. GET /standin/calls returns the number of read calls. */
#include <foxtailrun/http/server.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX (4 * 1024 * 1024)
#define POLL_INTERVAL (10 * FB_MILLISECOND)
#define SLOW_DELAY (300 * FB_MILLISECOND)
#define PAGE_ITEMS_MAX 3 /* small, so that lists have several pages */
#define PAGE_BYTES_MAX                                                                         \
  ((size_t)1024 * 1024) /* of values; a page ends with the one beyond it                       \
                         */

typedef struct
{
  char *key;
  char *value; /* base64; NULL once removed */
  uint64_t revision;
  uint64_t created;
} item_t;

typedef struct
{
  fh_request_t *request;
  char *prefix;
  uint64_t after;
  fb_time_t expires;
} watch_t;

typedef struct
{
  fk_kernel_t *kernel;
  GTree *items;      /* item_t by key, including removed items */
  GTree *copy;       /* ITEMS as of the last copy */
  char era_text[24]; /* ERA as a header value */
  uint64_t era;
  GPtrArray *watches;
  GPtrArray *unanswered; /* requests that get no response */
  char mode[16];
  uint64_t revision;
  uint64_t copied_revision;
  uint64_t oldest_revision; /* a watch from an earlier revision gets 410 */
  uint64_t calls;
} store_t;

typedef struct
{
  store_t *store;
  fh_request_t *request;
  fk_timer_t *timer;
} delayed_request_t;

static void
respond (const store_t *store, fh_request_t *request, uint32_t status, fb_bytes_t body)
{
  fh_header_t headers[] = { { FB_LITERAL ("content-type"), FB_LITERAL ("application/json") },
                            { FB_LITERAL ("store-era"), fb_wrap_text (store->era_text) } };

  fh_respond (request, status, headers, G_N_ELEMENTS (headers), body);
}

static void
respond_json (const store_t *store, fh_request_t *request, uint32_t status, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);

  respond (store, request, status, (fb_bytes_t){ (const uint8_t *)text, strlen (text) });
  free (text);
  json_decref (object);
}

static void
respond_status (const store_t *store, fh_request_t *request, uint32_t status)
{
  respond (store, request, status, (fb_bytes_t){ NULL, 0 });
}

/* Returns the decoded value of PARAMETER in the query of PATH, or NULL; free with g_free. */
static char *
read_parameter (const char *path, const char *parameter)
{
  const char *query = strchr (path, '?');
  char **pairs = g_strsplit (query ? query + 1 : "", "&", -1);
  char *name = g_strconcat (parameter, "=", NULL);
  char *found = NULL;

  for (size_t i = 0; pairs[i] && !found; i++)
    if (g_str_has_prefix (pairs[i], name))
      found = g_uri_unescape_string (pairs[i] + strlen (name), NULL);
  g_free (name);
  g_strfreev (pairs);
  return found;
}

static json_t *
encode_item (const item_t *item)
{
  if (!item->value)
    return json_pack ("{s:s,s:I,s:b}", "Key", item->key, "Revision", (json_int_t)item->revision,
                      "Compacted", 1);
  return json_pack ("{s:s,s:s,s:I,s:I,s:i}", "Key", item->key, "Value", item->value, "Revision",
                    (json_int_t)item->revision, "CreatedRevision", (json_int_t)item->created,
                    "LeaseId", 0);
}

typedef struct
{
  json_t *list;
  const char *prefix;
  const char *after;       /* list: only keys after it */
  uint64_t after_revision; /* watch: only later revisions */
  bool include_removed;    /* watch: removed items as well */
  bool has_more;
  size_t limit;
  size_t bytes; /* of the values selected */
  size_t bytes_limit;
} selection_t;

static gboolean
select_item (gpointer key, gpointer value, gpointer user)
{
  selection_t *selection = user;
  const item_t *item = value;

  if (!g_str_has_prefix (item->key, selection->prefix)
      || item->revision <= selection->after_revision
      || (!item->value && !selection->include_removed)
      || (selection->after && strcmp (item->key, selection->after) <= 0))
    return FALSE;
  if (json_array_size (selection->list) == selection->limit
      || selection->bytes > selection->bytes_limit)
    {
      selection->has_more = true;
      return TRUE;
    }
  selection->bytes += item->value ? strlen (item->value) : 0;
  json_array_append_new (selection->list, encode_item (item));
  return FALSE;
}

static void
respond_key (store_t *store, fh_request_t *request, const char *path)
{
  char *key = read_parameter (path, "Key");
  const item_t *item = key ? g_tree_lookup (store->items, key) : NULL;
  json_t *answer;

  if (item && item->value)
    {
      answer = encode_item (item);
      json_object_set_new (answer, "At", json_integer ((json_int_t)store->revision));
      respond_json (store, request, 200, answer);
    }
  else
    respond_status (store, request, 404);
  g_free (key);
}

static void
respond_range (store_t *store, fh_request_t *request, const char *path)
{
  char *prefix = read_parameter (path, "PathPrefix");
  char *after = read_parameter (path, "after");
  selection_t selection = { .list = json_array (),
                            .prefix = prefix ? prefix : "",
                            .after = after,
                            .limit = PAGE_ITEMS_MAX,
                            .bytes_limit = PAGE_BYTES_MAX };

  g_tree_foreach (store->items, select_item, &selection);
  respond_json (store, request, 200,
                json_pack ("{s:o,s:b,s:I}", "items", selection.list, "HasMore",
                           selection.has_more, "At", (json_int_t)store->revision));
  g_free (prefix);
  g_free (after);
}

/* Answers WATCH on a change or expiry; returns whether it did. */
static bool
complete_watch (store_t *store, watch_t *watch)
{
  selection_t selection = { .list = json_array (),
                            .prefix = watch->prefix,
                            .after_revision = watch->after,
                            .include_removed = true,
                            .limit = SIZE_MAX,
                            .bytes_limit = SIZE_MAX };

  g_tree_foreach (store->items, select_item, &selection);
  if (json_array_size (selection.list) == 0
      && fb_read_clock (fk_get_clock (store->kernel)) < watch->expires)
    {
      json_decref (selection.list);
      return false;
    }
  respond_json (
      store, watch->request, 200,
      json_pack ("{s:o,s:I}", "events", selection.list, "At", (json_int_t)store->revision));
  return true;
}

static void
free_watch (void *data)
{
  watch_t *watch = data;

  g_free (watch->prefix);
  g_free (watch);
}

static void
poll_watches (void *user)
{
  store_t *store = user;

  /* In an outage open watches get no response either. */
  if (strcmp (store->mode, "busy") == 0 || strcmp (store->mode, "many") == 0
      || strcmp (store->mode, "silent") == 0)
    return;
  for (guint i = store->watches->len; i > 0; i--)
    {
      watch_t *watch = store->watches->pdata[i - 1];

      if (watch->after > store->revision)
        respond_status (store, watch->request, 410);
      else if (!complete_watch (store, watch))
        continue;
      g_ptr_array_remove_index_fast (store->watches, i - 1);
    }
}

/* The watches that wait get no response; their requests last until the connections close. */
static void
silence_watches (store_t *store)
{
  g_ptr_array_set_size (store->watches, 0);
}

static void
cancel_watch (fh_request_t *request, void *user)
{
  store_t *store = user;

  for (guint i = store->watches->len; i > 0; i--)
    if (((watch_t *)store->watches->pdata[i - 1])->request == request)
      g_ptr_array_remove_index_fast (store->watches, i - 1);
  respond_status (store, request, 499);
}

/* Returns whether the store has the changes after REVISION. */
static bool
is_known_revision (const store_t *store, uint64_t revision)
{
  return revision >= store->oldest_revision && revision <= store->revision;
}

static void
respond_watch (store_t *store, fh_request_t *request, const char *path)
{
  char *after = read_parameter (path, "after");
  char *wait = read_parameter (path, "WaitMs");
  watch_t *watch = g_new0 (watch_t, 1);

  watch->request = request;
  watch->prefix = read_parameter (path, "PathPrefix");
  watch->after = after ? g_ascii_strtoull (after, NULL, 10) : 0;
  watch->expires = fb_read_clock (fk_get_clock (store->kernel))
                   + (fb_time_t)(wait ? g_ascii_strtoull (wait, NULL, 10) : 0) * FB_MILLISECOND;
  g_free (after);
  g_free (wait);
  if (!is_known_revision (store, watch->after))
    {
      respond_status (store, request, 410);
      free_watch (watch);
      return;
    }
  if (complete_watch (store, watch))
    {
      free_watch (watch);
      return;
    }
  fh_set_cancelled_handler (request, cancel_watch, store);
  g_ptr_array_add (store->watches, watch);
}

static void
respond_read (store_t *store, fh_request_t *request)
{
  char *path = fb_copy_text (fh_get_path (request));

  if (g_str_has_prefix (path, "/foxtailrun/kv-key?"))
    respond_key (store, request, path);
  else if (g_str_has_prefix (path, "/foxtailrun/kv-range?"))
    respond_range (store, request, path);
  else if (g_str_has_prefix (path, "/foxtailrun/kv-watch?"))
    respond_watch (store, request, path);
  else
    respond_status (store, request, 404);
  g_free (path);
}

static void
finish_delay (void *user)
{
  delayed_request_t *delayed = user;

  respond_read (delayed->store, delayed->request);
  fk_destroy_timer (delayed->timer);
  g_free (delayed);
}

static void
handle_read (store_t *store, fh_request_t *request)
{
  store->calls++;
  if (strcmp (store->mode, "busy") == 0)
    respond_status (store, request, 503);
  else if (strcmp (store->mode, "many") == 0)
    respond_status (store, request, 429);
  else if (strcmp (store->mode, "silent") == 0
           || (strcmp (store->mode, "lost") == 0 && store->calls % 2 == 0))
    g_ptr_array_add (store->unanswered, request);
  else if (strcmp (store->mode, "slow") == 0)
    {
      delayed_request_t *delayed = g_new0 (delayed_request_t, 1);

      delayed->store = store;
      delayed->request = request;
      delayed->timer = fk_create_timeout (store->kernel, SLOW_DELAY, finish_delay, delayed);
    }
  else
    respond_read (store, request);
}

static void
free_item (void *data)
{
  item_t *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer user)
{
  return strcmp (a, b);
}

static GTree *
create_items (void)
{
  return g_tree_new_full (compare_keys, NULL, NULL, free_item);
}

static gboolean
copy_item (gpointer key, gpointer value, gpointer user)
{
  const item_t *item = value;
  item_t *copy = g_new (item_t, 1);

  *copy = *item;
  copy->key = g_strdup (item->key);
  copy->value = g_strdup (item->value);
  g_tree_insert (user, copy->key, copy);
  return FALSE;
}

/* Returns a copy of ITEMS. */
static GTree *
copy_items (GTree *items)
{
  GTree *copy = create_items ();

  g_tree_foreach (items, copy_item, copy);
  return copy;
}

static void
set_era (store_t *store, uint64_t era)
{
  store->era = era;
  g_snprintf (store->era_text, sizeof store->era_text, "%" G_GUINT64_FORMAT, era);
}

static void
take_copy (store_t *store)
{
  g_tree_unref (store->copy);
  store->copy = copy_items (store->items);
  store->copied_revision = store->revision;
}

static void
restore_copy (store_t *store)
{
  g_tree_unref (store->items);
  store->items = copy_items (store->copy);
  store->revision = store->copied_revision;
  store->oldest_revision = 0;
  set_era (store, store->era + 1);
}

static void
write_item (store_t *store, const char *key, const fb_bytes_t *value)
{
  item_t *item = g_tree_lookup (store->items, key);

  store->revision++;
  if (!item)
    {
      item = g_new0 (item_t, 1);
      item->key = g_strdup (key);
      item->created = store->revision;
      g_tree_insert (store->items, item->key, item);
    }
  g_free (item->value);
  item->value = value ? g_base64_encode (value->data, value->len) : NULL;
  item->revision = store->revision;
}

static void
handle_control (store_t *store, fh_request_t *request, const char *path)
{
  fb_bytes_t body = fh_get_body (request);
  const char *key = strchr (path, '?');
  bool put = fb_equal_str (fh_get_method (request), FB_LITERAL ("PUT"));
  char text[32];
  int len;

  if (key && g_str_has_prefix (path, "/standin/item?"))
    write_item (store, key + 1, put ? &body : NULL);
  else if (strcmp (path, "/standin/mode") == 0)
    g_snprintf (store->mode, sizeof store->mode, "%.*s", (int)body.len,
                (const char *)body.data);
  else if (strcmp (path, "/standin/forget") == 0)
    store->oldest_revision = store->revision + 1;
  else if (strcmp (path, "/standin/silence") == 0)
    silence_watches (store);
  else if (strcmp (path, "/standin/copy") == 0)
    take_copy (store);
  else if (strcmp (path, "/standin/restore") == 0)
    restore_copy (store);
  len = g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT "\n", store->calls);
  fh_respond (request, 200, NULL, 0, (fb_bytes_t){ (const uint8_t *)text, (size_t)len });
}

static void
handle_request (fh_request_t *request, void *user)
{
  store_t *store = user;
  char *path = fb_copy_text (fh_get_path (request));

  if (g_str_has_prefix (path, "/standin/"))
    handle_control (store, request, path);
  else
    handle_read (store, request);
  g_free (path);
}

static void
quit (void *user)
{
  fk_quit (user);
}

int
main (int argc, char **argv)
{
  store_t store = { .mode = "good", .revision = 1 };
  fb_name_t address;

  if (argc != 3)
    {
      fprintf (stderr, "usage: standin-store ADDRESS PORT\n");
      return 2;
    }
  address = fb_make_name (argv[1]);
  store.kernel = fk_create_kernel (NULL);
  store.items = create_items ();
  store.copy = create_items ();
  store.copied_revision = store.revision;
  set_era (&store, 1);
  store.watches = g_ptr_array_new_with_free_func (free_watch);
  store.unanswered = g_ptr_array_new ();
  if (!fh_create_server (store.kernel, &address, (uint16_t)atoi (argv[2]), BODY_MAX,
                         handle_request, &store))
    return 1;
  fk_create_timer (store.kernel, POLL_INTERVAL, poll_watches, &store);
  fk_watch_signals (store.kernel, quit, store.kernel);
  fk_run (store.kernel);
  return 0;
}
