#include "admin-client.h"
#include <foxtailrun/http/client.h>
#include <stdlib.h>
#include <string.h>

/* Requests in flight at once; limits open descriptors with thousands of nodes. */
#define PARALLEL_REQUESTS_MAX 64

#define RESPONSE_BYTES_MAX (4 * 1024 * 1024)

struct fx_admin_client
{
  fk_kernel_t *kernel;
  char *authorization;
  uint32_t timeout_ms;
};

typedef struct
{
  fx_admin_client_t *client;
  fx_socket_address_t address;
  const char *method;
  const char *path;
  fh_client_t *http_client;
  fh_exchange_t *exchange;
  fk_timer_t *timer;
  size_t *open_count; /* of the batch */
  bool is_complete;
  bool is_answered;
  uint32_t status;
  json_t *body;
  const fx_node_status_t *member;  /* for HANDLER */
  fx_member_response_fn_t handler; /* called when the request completes; may be NULL */
  void *user;
} request_t;

fx_admin_client_t *
fx_create_admin_client (fb_str_t key, uint32_t timeout_ms)
{
  fx_admin_client_t *client = g_new0 (fx_admin_client_t, 1);

  client->kernel = fk_create_kernel (NULL);
  client->authorization
      = g_strdup_printf ("Bearer %.*s", (int)key.len, key.data ? key.data : "");
  client->timeout_ms = timeout_ms;
  return client;
}

void
fx_destroy_admin_client (fx_admin_client_t *client)
{
  if (!client)
    return;
  fk_destroy_kernel (client->kernel);
  g_free (client->authorization);
  g_free (client);
}

fb_status_t
fx_parse_socket_address (const char *text, fx_socket_address_t *address)
{
  const char *colon = strrchr (text, ':');
  uint64_t port;

  if (!colon || !fb_parse_u64 (fb_wrap_text (colon + 1), &port) || port == 0
      || port > UINT16_MAX || colon == text
      || !fb_set_name (&address->address, (fb_str_t){ text, (size_t)(colon - text) }))
    return FB_INVALID;
  address->port = (uint16_t)port;
  return FB_OK;
}

static void
complete_request (request_t *request)
{
  request->is_complete = true;
  if (request->handler)
    {
      request->handler (request->member, request->status == 200 ? request->body : NULL,
                        request->user);
      json_decref (request->body);
      request->body = NULL;
    }
  (*request->open_count)--;
  fk_quit (request->client->kernel);
}

static void
receive_response (const fh_response_t *response, void *user)
{
  request_t *request = user;

  request->exchange = NULL;
  if (response->result == FH_ANSWERED)
    {
      request->is_answered = true;
      request->status = response->status;
      request->body
          = json_loadb ((const char *)response->body.data, response->body.len, 0, NULL);
    }
  complete_request (request);
}

static void
expire_request (void *user)
{
  request_t *request = user;

  if (request->is_complete)
    return;
  fh_cancel_exchange (request->exchange);
  request->exchange = NULL;
  complete_request (request);
}

static void
start_request (request_t *request)
{
  fx_admin_client_t *client = request->client;
  fb_time_t timeout = client->timeout_ms * FB_MILLISECOND;
  fh_header_t header = { FB_LITERAL ("authorization"), fb_wrap_text (client->authorization) };
  fh_client_request_t outgoing = { .method = fb_wrap_text (request->method),
                                   .path = fb_wrap_text (request->path),
                                   .header_count = 1,
                                   .headers = &header,
                                   .new_connection = true };

  (*request->open_count)++;
  request->http_client
      = fh_create_client (client->kernel, &request->address.address, request->address.port, 1,
                          RESPONSE_BYTES_MAX, timeout);
  request->timer = fk_create_timeout (client->kernel, timeout, expire_request, request);
  request->exchange
      = fh_send_request (request->http_client, &outgoing, receive_response, request);
}

static void
clear_request (request_t *request)
{
  fk_destroy_timer (request->timer);
  fh_destroy_client (request->http_client);
}

/* Runs COUNT requests, at most PARALLEL_REQUESTS_MAX at a time. */
static void
run_requests (fx_admin_client_t *client, request_t *requests, size_t count)
{
  size_t open_count = 0;
  size_t next = 0;

  while (next < count || open_count > 0)
    {
      while (next < count && open_count < PARALLEL_REQUESTS_MAX)
        {
          requests[next].client = client;
          requests[next].open_count = &open_count;
          start_request (&requests[next++]);
        }
      fk_run (client->kernel);
    }
  for (size_t i = 0; i < count; i++)
    clear_request (&requests[i]);
}

fb_status_t
fx_send_request (fx_admin_client_t *client, const fx_socket_address_t *address,
                 const char *method, const char *path, uint32_t *status, json_t **body)
{
  request_t request = { .address = *address, .method = method, .path = path };

  run_requests (client, &request, 1);
  *status = request.status;
  *body = request.body;
  return request.is_answered ? FB_OK : FB_UNAVAILABLE;
}

static fb_name_t
parse_name (json_t *object, const char *key)
{
  return fb_make_name (json_string_value (json_object_get (object, key)));
}

static void
clear_node_status (void *data)
{
  g_free (((fx_node_status_t *)data)->refused_document);
  g_free (((fx_node_status_t *)data)->evacuated_zones);
}

static int
compare_node_ids (const void *a, const void *b)
{
  return fb_compare_names (&((const fx_node_status_t *)a)->id,
                           &((const fx_node_status_t *)b)->id);
}

/* Returns the texts in LIST, separated by commas; free with g_free. */
static char *
join_texts (const json_t *list)
{
  GString *joined = g_string_new ("");
  const json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
      g_string_append_printf (joined, "%s%s", i > 0 ? "," : "", json_string_value (item));
  return g_string_free (joined, FALSE);
}

static void
parse_version (fx_node_status_t *member, json_t *body)
{
  const char *digest = json_string_value (json_object_get (body, "digest"));

  member->reached = true;
  member->version_number = (uint64_t)json_integer_value (json_object_get (body, "number"));
  g_strlcpy (member->digest, digest ? digest : "", sizeof member->digest);
  member->reader = json_is_true (json_object_get (body, "reader"));
  member->ready = json_is_true (json_object_get (body, "ready"));
  /* A node of an earlier version does not report it. */
  member->warmup
      = json_object_get (body, "warmup") ? parse_name (body, "warmup") : fb_make_name ("none");
  member->warmup_left_ms
      = (uint64_t)json_integer_value (json_object_get (body, "warmup_left_ms"));
  g_free (member->refused_document);
  member->refused_document = g_strdup (json_string_value (json_object_get (body, "refused")));
  g_free (member->evacuated_zones);
  member->evacuated_zones = join_texts (json_object_get (body, "evacuated_zones"));
}

bool
fx_is_serving (const fx_node_status_t *member)
{
  return fb_equal_str (fb_get_name (&member->state), FB_LITERAL ("alive"))
         || fb_equal_str (fb_get_name (&member->state), FB_LITERAL ("suspect"));
}

/* Requests the versions of the serving MEMBERS. */
static void
query_versions (fx_admin_client_t *client, GArray *members)
{
  request_t *requests = g_new0 (request_t, members->len);
  fx_node_status_t **queried = g_new0 (fx_node_status_t *, members->len);
  size_t count = 0;

  for (guint i = 0; i < members->len; i++)
    {
      fx_node_status_t *member = &g_array_index (members, fx_node_status_t, i);
      if (!fx_is_serving (member))
        continue;
      requests[count].address = member->admin_address;
      requests[count].method = "GET";
      requests[count].path = "/version";
      queried[count++] = member;
    }
  run_requests (client, requests, count);
  for (size_t i = 0; i < count; i++)
    {
      if (requests[i].is_answered && requests[i].status == 200 && requests[i].body)
        parse_version (queried[i], requests[i].body);
      json_decref (requests[i].body);
    }
  g_free (queried);
  g_free (requests);
}

void
fx_query_members (fx_admin_client_t *client, const GArray *members, const char *path,
                  fx_member_response_fn_t handler, void *user)
{
  request_t *requests = g_new0 (request_t, members->len);
  size_t count = 0;

  for (guint i = 0; i < members->len; i++)
    {
      const fx_node_status_t *member = &g_array_index (members, fx_node_status_t, i);

      if (!fx_is_serving (member))
        {
          handler (member, NULL, user);
          continue;
        }
      requests[count++] = (request_t){ .address = member->admin_address,
                                       .method = "GET",
                                       .path = path,
                                       .member = member,
                                       .handler = handler,
                                       .user = user };
    }
  run_requests (client, requests, count);
  g_free (requests);
}

GArray *
fx_list_members (fx_admin_client_t *client, const fx_socket_address_t *address)
{
  GArray *members;
  json_t *body;
  json_t *item;
  uint32_t status;
  size_t i;

  if (fx_send_request (client, address, "GET", "/members", &status, &body) != FB_OK || !body)
    return NULL;
  members = g_array_new (FALSE, TRUE, sizeof (fx_node_status_t));
  g_array_set_clear_func (members, clear_node_status);
  json_array_foreach (json_object_get (body, "members"), i, item)
  {
    fx_node_status_t member = { .id = parse_name (item, "id"),
                                .zone = parse_name (item, "zone"),
                                .service = parse_name (item, "service"),
                                .state = parse_name (item, "state") };
    member.admin_address.address = parse_name (item, "address");
    member.admin_address.port
        = (uint16_t)json_integer_value (json_object_get (item, "admin_port"));
    g_array_append_val (members, member);
  }
  json_decref (body);
  g_array_sort (members, compare_node_ids);
  return members;
}

GArray *
fx_query_versions (fx_admin_client_t *client, const fx_socket_address_t *address)
{
  GArray *members = fx_list_members (client, address);

  if (members)
    query_versions (client, members);
  return members;
}
