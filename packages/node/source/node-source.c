/* Built-in source: configuration and host list by Consul's HTTP API. */
#include "node-services.h"
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>

/* Paths of Consul's KV and health API. */
#define DOCUMENT_PATH "/v1/kv/foxtailrun/config?raw=true"
#define HOST_LIST_PATH "/v1/health/service/foxtailrun?passing=false"

/* Limit of each wait for data from the source: the duration of a watch and 1 s, for the
 * sixteenth that Consul may add and the response. */
#define IO_TIMEOUT (FD_WATCH_WAIT_MAX + 1 * FB_SECOND)

/* Interval at which a reader starts a host list watch if none is open. */
#define HOSTS_POLL_INTERVAL (500 * FB_MILLISECOND)

/* Bounds of the random delay before a starting node reads the host list, unless seeds have led
 * to another member. With the document reads in the first 2 s, a restart of 3,000 nodes
 * without seeds stays below 2,000 requests/s. */
#define HOSTS_START_DELAY_MIN_MS 2000
#define HOSTS_START_DELAY_MAX_MS 6000

/* Upper bound of the random delay before a failed host list read is repeated. */
#define HOSTS_RETRY_DELAY_MAX_MS 5000

/* Holds a list of 3,000 hosts at about 500 bytes each, with a margin. */
#define HOST_LIST_BYTES_MAX (4 * 1024 * 1024)

typedef struct
{
  fn_source_t base;
  fk_kernel_t *kernel;
  fh_client_t *client;
  fh_exchange_t *document_read;
  fh_exchange_t *hosts_read;
  uint64_t hosts_index;
  fb_time_t hosts_retry_at; /* earliest time of the next read, after a failure */
  fk_timer_t *hosts_start_timer;
  fk_timer_t *hosts_poll_timer;
  fb_counter_t *requests;
} consul_source_t;

static uint64_t
parse_index (const fh_response_t *response)
{
  uint64_t index = 0;

  fb_parse_u64 (
      fh_find_header (response->headers, response->header_count, FB_LITERAL ("x-consul-index")),
      &index);
  return index;
}

static void
end_document_read (const fh_response_t *response, void *user)
{
  consul_source_t *source = user;
  fb_position_t position = { 0 };
  fb_status_t status = FB_UNAVAILABLE;

  source->document_read = NULL;
  if (response->result == FH_ANSWERED && response->status == 200)
    status = FB_OK;
  else if (response->result == FH_ANSWERED && response->status == 404)
    status = FB_NOT_FOUND;
  if (status == FB_OK)
    position.revision = parse_index (response);
  fn_finish_source_read (source->kernel, status, position, response->body);
}

static const char *
get_text (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text ? text : "";
}

static bool
is_leaving (json_t *service)
{
  return g_str_equal (get_text (json_object_get (service, "Meta"), "state"), "leaving");
}

/* Probes hosts of LIST that are not members or count as dead; marks members listed as
 * leaving. */
static void
probe_hosts (consul_source_t *source, json_t *list)
{
  fm_table_t *members = fn_get_members (fk_find_service (source->kernel, FN_MEMBERSHIP));
  size_t i;
  json_t *item;

  json_array_foreach (list, i, item)
  {
    json_t *service = json_object_get (item, "Service");
    fb_name_t id = fb_make_name (get_text (service, "ID"));
    fb_name_t address = fb_make_name (get_text (service, "Address"));
    json_int_t port = json_integer_value (json_object_get (service, "Port"));
    const fw_member_t *member = fm_find_member (members, &id);

    if (address.len == 0 || port <= 0 || port > UINT16_MAX)
      continue;
    if (!member || member->state == FW_DEAD)
      fm_probe_address (members, &address, (uint16_t)port);
    else if (is_leaving (service))
      fm_mark_leaving (members, &id);
  }
}

static void
end_hosts_read (const fh_response_t *response, void *user)
{
  consul_source_t *source = user;
  json_t *list = NULL;

  source->hosts_read = NULL;
  if (response->result == FH_ANSWERED && response->status == 200)
    list = json_loadb ((const char *)response->body.data, response->body.len, 0, NULL);
  source->hosts_index = json_is_array (list) ? parse_index (response) : 0;
  if (json_is_array (list))
    probe_hosts (source, list);
  else
    {
      source->hosts_retry_at
          = fb_read_clock (fk_get_clock (source->kernel))
            + g_random_int_range (1000, HOSTS_RETRY_DELAY_MAX_MS) * FB_MILLISECOND;
      FB_LOG (fk_get_log (source->kernel), FB_LOG_WARNING, FN_SOURCE,
              "host list could not be read", FB_NUMBER ("status", response->status));
    }
  json_decref (list);
}

static fh_exchange_t *
send_get (consul_source_t *source, const char *path, fh_done_fn_t done)
{
  fh_client_request_t outgoing = { .method = FB_LITERAL ("GET"), .path = fb_wrap_text (path) };

  fb_add_counter (source->requests, 1);
  return fh_send_request (source->client, &outgoing, done, source);
}

static void
read_hosts (void *user)
{
  consul_source_t *source = user;
  char path[128];

  if (source->hosts_read
      || fb_read_clock (fk_get_clock (source->kernel)) < source->hosts_retry_at)
    return;
  if (source->hosts_index == 0)
    g_strlcpy (path, HOST_LIST_PATH, sizeof path);
  else
    snprintf (path, sizeof path, HOST_LIST_PATH "&index=%" G_GUINT64_FORMAT "&wait=%ds",
              source->hosts_index, (int)(FD_WATCH_WAIT_MAX / FB_SECOND));
  source->hosts_read = send_get (source, path, end_hosts_read);
}

static void
read_hosts_without_peers (void *user)
{
  consul_source_t *source = user;

  if (fm_count_members (fn_get_members (fk_find_service (source->kernel, FN_MEMBERSHIP)),
                        FW_ALIVE)
      <= 1)
    read_hosts (source);
}

static void
poll_hosts_as_reader (void *user)
{
  consul_source_t *source = user;

  if (fn_is_reader (fk_find_service (source->kernel, FN_DISTRIBUTION)))
    read_hosts (source);
  else
    source->hosts_index = 0;
}

static fb_status_t
start_source (fk_kernel_t *kernel, void *data)
{
  consul_source_t *source = data;
  const fc_settings_t *settings = fn_get_settings (kernel);

  if (settings->platform.port == 0)
    return FB_OK;
  source->client
      = fh_create_client (kernel, &settings->platform.address, settings->platform.port, 2,
                          HOST_LIST_BYTES_MAX, IO_TIMEOUT);
  source->hosts_start_timer = fk_create_timeout (
      kernel,
      g_random_int_range (HOSTS_START_DELAY_MIN_MS, HOSTS_START_DELAY_MAX_MS) * FB_MILLISECOND,
      read_hosts_without_peers, source);
  source->hosts_poll_timer
      = fk_create_timer (kernel, HOSTS_POLL_INTERVAL, poll_hosts_as_reader, source);
  return FB_OK;
}

static void
stop_source (void *data)
{
  consul_source_t *source = data;

  if (!source->client)
    return;
  if (source->document_read)
    fh_cancel_exchange (source->document_read);
  if (source->hosts_read)
    fh_cancel_exchange (source->hosts_read);
  fk_destroy_timer (source->hosts_start_timer);
  fk_destroy_timer (source->hosts_poll_timer);
  fh_destroy_client (source->client);
}

static void
read_document (fn_source_t *base, fb_position_t position)
{
  consul_source_t *source = (consul_source_t *)base;
  char path[128];

  if (!source->client || source->document_read)
    return;
  if (position.revision == 0)
    g_strlcpy (path, DOCUMENT_PATH, sizeof path);
  else
    snprintf (path, sizeof path, DOCUMENT_PATH "&index=%" G_GUINT64_FORMAT "&wait=%ds",
              position.revision, (int)(FD_WATCH_WAIT_MAX / FB_SECOND));
  source->document_read = send_get (source, path, end_document_read);
}

void
fn_register_source (fk_kernel_t *kernel, void *user)
{
  static const fk_service_t vtable = { start_source, stop_source, g_free };
  consul_source_t *source = g_new0 (consul_source_t, 1);

  source->base.read = read_document;
  source->kernel = kernel;
  source->requests = fb_find_counter (fk_get_counters (kernel), "source_calls", "");
  fk_register_service (kernel, FN_SOURCE, &vtable, source);
}
