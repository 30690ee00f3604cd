#include "fleet.h"
#include <foxtailrun/http/client.h>
#include <stdlib.h>
#include <string.h>

/* Requests in flight at once; bounds descriptors when a survey asks thousands of nodes. */
#define PARALLEL_MAX 64

#define ANSWER_MAX (4 * 1024 * 1024)

struct fx_fleet
{
  fk_kernel_t *kernel;
  char *authorization;
  uint32_t timeout_ms;
};

/* One request of a batch. */
typedef struct
{
  fx_fleet_t *fleet;
  fx_target_t target;
  const char *method;
  const char *path;
  fh_client_t *client;
  fh_exchange_t *exchange;
  fk_timer_t *timer;
  size_t *open;
  bool ended;
  bool answered;
  uint32_t status;
  json_t *answer;
  const fx_report_t *member; /* of fx_ask_members */
  fx_answered_fn_t handle;   /* takes the answer as soon as it is there; may be NULL */
  void *user;
} request_t;

fx_fleet_t *
fx_create_fleet (fb_str_t key, uint32_t timeout_ms)
{
  fx_fleet_t *fleet = g_new0 (fx_fleet_t, 1);

  fleet->kernel = fk_create_kernel (NULL);
  fleet->authorization
      = g_strdup_printf ("Bearer %.*s", (int)key.len, key.data ? key.data : "");
  fleet->timeout_ms = timeout_ms;
  return fleet;
}

void
fx_destroy_fleet (fx_fleet_t *fleet)
{
  if (!fleet)
    return;
  fk_destroy_kernel (fleet->kernel);
  g_free (fleet->authorization);
  g_free (fleet);
}

fb_status_t
fx_parse_target (const char *text, fx_target_t *target)
{
  const char *colon = strrchr (text, ':');
  uint64_t port;

  if (!colon || !fb_parse_u64 (fb_wrap_text (colon + 1), &port) || port == 0
      || port > UINT16_MAX || colon == text
      || !fb_set_name (&target->address, (fb_str_t){ text, (size_t)(colon - text) }))
    return FB_INVALID;
  target->port = (uint16_t)port;
  return FB_OK;
}

static void
end_request (request_t *request)
{
  request->ended = true;
  if (request->handle)
    {
      request->handle (request->member, request->status == 200 ? request->answer : NULL,
                       request->user);
      json_decref (request->answer);
      request->answer = NULL;
    }
  (*request->open)--;
  fk_quit (request->fleet->kernel);
}

static void
receive_answer (const fh_response_t *response, void *user)
{
  request_t *request = user;

  request->exchange = NULL;
  if (response->result == FH_ANSWERED)
    {
      request->answered = true;
      request->status = response->status;
      request->answer
          = json_loadb ((const char *)response->body.data, response->body.len, 0, NULL);
    }
  end_request (request);
}

static void
expire_request (void *user)
{
  request_t *request = user;

  if (request->ended)
    return;
  fh_cancel_exchange (request->exchange);
  request->exchange = NULL;
  end_request (request);
}

static void
start_request (request_t *request)
{
  fx_fleet_t *fleet = request->fleet;
  fb_time_t timeout = fleet->timeout_ms * FB_MILLISECOND;
  fh_header_t header = { FB_LITERAL ("authorization"), fb_wrap_text (fleet->authorization) };
  fh_client_request_t outgoing = { .method = fb_wrap_text (request->method),
                                   .path = fb_wrap_text (request->path),
                                   .header_count = 1,
                                   .headers = &header,
                                   .new_connection = true };

  (*request->open)++;
  request->client = fh_create_client (fleet->kernel, &request->target.address,
                                      request->target.port, 1, ANSWER_MAX, timeout);
  request->timer = fk_create_timeout (fleet->kernel, timeout, expire_request, request);
  request->exchange = fh_send_request (request->client, &outgoing, receive_answer, request);
}

static void
clear_request (request_t *request)
{
  fk_destroy_timer (request->timer);
  fh_destroy_client (request->client);
}

/* Runs COUNT requests, at most PARALLEL_MAX at a time. */
static void
run_requests (fx_fleet_t *fleet, request_t *requests, size_t count)
{
  size_t open = 0;
  size_t next = 0;

  while (next < count || open > 0)
    {
      while (next < count && open < PARALLEL_MAX)
        {
          requests[next].fleet = fleet;
          requests[next].open = &open;
          start_request (&requests[next++]);
        }
      fk_run (fleet->kernel);
    }
  for (size_t i = 0; i < count; i++)
    clear_request (&requests[i]);
}

fb_status_t
fx_request (fx_fleet_t *fleet, const fx_target_t *target, const char *method, const char *path,
            uint32_t *status, json_t **answer)
{
  request_t request = { .target = *target, .method = method, .path = path };

  run_requests (fleet, &request, 1);
  *status = request.status;
  *answer = request.answer;
  return request.answered ? FB_OK : FB_UNAVAILABLE;
}

static fb_name_t
read_name (json_t *object, const char *key)
{
  return fb_make_name (json_string_value (json_object_get (object, key)));
}

static void
clear_report (void *data)
{
  g_free (((fx_report_t *)data)->refused);
}

static int
compare_reports (const void *a, const void *b)
{
  return fb_compare_names (&((const fx_report_t *)a)->id, &((const fx_report_t *)b)->id);
}

static void
read_version (fx_report_t *report, json_t *answer)
{
  const char *digest = json_string_value (json_object_get (answer, "digest"));

  report->reached = true;
  report->number = (uint64_t)json_integer_value (json_object_get (answer, "number"));
  g_strlcpy (report->digest, digest ? digest : "", sizeof report->digest);
  report->reader = json_is_true (json_object_get (answer, "reader"));
  report->ready = json_is_true (json_object_get (answer, "ready"));
  g_free (report->refused);
  report->refused = g_strdup (json_string_value (json_object_get (answer, "refused")));
}

bool
fx_is_serving (const fx_report_t *report)
{
  return fb_equal_str (fb_get_name (&report->state), FB_LITERAL ("alive"))
         || fb_equal_str (fb_get_name (&report->state), FB_LITERAL ("suspect"));
}

/* Asks all serving nodes of REPORTS for their versions. */
static void
ask_versions (fx_fleet_t *fleet, GArray *reports)
{
  request_t *requests = g_new0 (request_t, reports->len);
  fx_report_t **asked = g_new0 (fx_report_t *, reports->len);
  size_t count = 0;

  for (guint i = 0; i < reports->len; i++)
    {
      fx_report_t *report = &g_array_index (reports, fx_report_t, i);
      if (!fx_is_serving (report))
        continue;
      requests[count].target = report->target;
      requests[count].method = "GET";
      requests[count].path = "/version";
      asked[count++] = report;
    }
  run_requests (fleet, requests, count);
  for (size_t i = 0; i < count; i++)
    {
      if (requests[i].answered && requests[i].status == 200 && requests[i].answer)
        read_version (asked[i], requests[i].answer);
      json_decref (requests[i].answer);
    }
  g_free (asked);
  g_free (requests);
}

void
fx_ask_members (fx_fleet_t *fleet, const GArray *members, const char *path,
                fx_answered_fn_t answered, void *user)
{
  request_t *requests = g_new0 (request_t, members->len);
  size_t count = 0;

  for (guint i = 0; i < members->len; i++)
    {
      const fx_report_t *member = &g_array_index (members, fx_report_t, i);

      if (!fx_is_serving (member))
        {
          answered (member, NULL, user);
          continue;
        }
      requests[count++] = (request_t){ .target = member->target,
                                       .method = "GET",
                                       .path = path,
                                       .member = member,
                                       .handle = answered,
                                       .user = user };
    }
  run_requests (fleet, requests, count);
  g_free (requests);
}

GArray *
fx_list_members (fx_fleet_t *fleet, const fx_target_t *target)
{
  GArray *reports;
  json_t *answer;
  json_t *item;
  uint32_t status;
  size_t i;

  if (fx_request (fleet, target, "GET", "/members", &status, &answer) != FB_OK || !answer)
    return NULL;
  reports = g_array_new (FALSE, TRUE, sizeof (fx_report_t));
  g_array_set_clear_func (reports, clear_report);
  json_array_foreach (json_object_get (answer, "members"), i, item)
  {
    fx_report_t report = { .id = read_name (item, "id"),
                           .zone = read_name (item, "zone"),
                           .service = read_name (item, "service"),
                           .state = read_name (item, "state") };
    report.target.address = read_name (item, "address");
    report.target.port = (uint16_t)json_integer_value (json_object_get (item, "admin_port"));
    g_array_append_val (reports, report);
  }
  json_decref (answer);
  g_array_sort (reports, compare_reports);
  return reports;
}

GArray *
fx_survey_fleet (fx_fleet_t *fleet, const fx_target_t *target)
{
  GArray *reports = fx_list_members (fleet, target);

  if (reports)
    ask_versions (fleet, reports);
  return reports;
}
