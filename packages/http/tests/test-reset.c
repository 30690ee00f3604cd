/* Responses that end before they are complete, at every byte, or whose connection ends with a
 * reset. */
#include "fixture-peer.h"
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <string.h>

#define BODY_MAX 1024
#define IO_TIMEOUT (5 * FB_SECOND)

/* More than the socket buffers of both ends hold: part of it waits to be written when the
 * connection ends. */
#define LONG_UPLOAD ((size_t)5 * 1024 * 1024)
#define SHORT_UPLOAD ((size_t)1000)

/* Time between the last byte of the response and the end of the connection. */
#define LATER_MS 5

#define BUDGET ((size_t)64 * 1024 * 1024)

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define OWN_ID "request-id: own\r\n"
#define WHOLE OK_LINE OWN_ID "content-length: 4\r\n\r\nbody"

typedef enum
{
  ENDS_BY_RESET,
  ENDS_BY_SHUTDOWN, /* the peer goes on reading */
  ENDS_BY_SHUTDOWN_THEN_RESET,
  ENDS_BY_CLOSE, /* without a reset only if the peer has read the whole request */
  END_COUNT
} end_t;

typedef enum
{
  ENDS_AT_ONCE, /* the client finds the response and the end of the connection together */
  ENDS_LATER,
  ENDS_UNREAD, /* the client reads nothing of the response until the connection has ended */
  ENDS_WHILE_PAUSED, /* the client stops to read behind the first bytes of the response */
  MOMENT_COUNT
} moment_t;

typedef struct
{
  const char *method;
  const char *response;
  bool close_delimited; /* otherwise the last byte completes it */
} framing_t;

static const framing_t framings[] = {
  { "GET", OK_LINE OWN_ID "\r\nbody", true },
  { "POST", OK_LINE OWN_ID "\r\nbody", true },
  { "POST", "HTTP/1.0 200 OK\r\n" OWN_ID "\r\nbody", true },
  { "POST", "HTTP/1.1 500 Error\r\n" OWN_ID "\r\nbody", true },
  { "POST", "HTTP/1.1 100 Continue\r\n\r\n" OK_LINE OWN_ID "\r\nbody", true },
  { "POST", WHOLE, false },
  { "POST", OK_LINE OWN_ID "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false },
  { "POST",
    OK_LINE OWN_ID "transfer-encoding: chunked\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\nx: y\r\n\r\n",
    false },
  { "HEAD", OK_LINE OWN_ID "\r\n", false },
  { "POST", "HTTP/1.1 204 No Content\r\n" OWN_ID "\r\n", false },
  { "GET", "HTTP/1.1 304 Not Modified\r\n" OWN_ID "\r\n", false },
};

typedef struct
{
  const framing_t *framing;
  size_t cut; /* bytes of the response that are sent */
  size_t upload;
  end_t end;
  moment_t moment;
  bool is_kept;                /* a response came before on the same connection */
  bool allows_close_delimited; /* as for instances, unlike the store, other nodes and probes */
} case_t;

typedef struct
{
  const case_t *current;
  fk_kernel_t *kernel;
  peer_t *peer;
  fh_client_t *client;
  peer_connection_t *connection; /* NULL once it has ended */
  fk_timer_t *timer;
  uint8_t *upload;
  fh_result_t result;
  char body[16];
} fixture_t;

/* Has the client pause and resume its connections, by the budget of its account. */
static void
settle_account (fixture_t *fixture)
{
  fb_settle_account (fk_get_account (fixture->kernel),
                     fb_read_clock (fk_get_clock (fixture->kernel)));
}

static void
resume (void *user)
{
  fixture_t *fixture = user;

  fb_set_account_budget (fk_get_account (fixture->kernel), BUDGET);
  settle_account (fixture);
}

static void
replace_timer (fixture_t *fixture, fk_callback_fn_t callback)
{
  fk_destroy_timer (fixture->timer);
  fixture->timer
      = fk_create_timeout (fixture->kernel, LATER_MS * FB_MILLISECOND, callback, fixture);
}

static void
end_connection (void *user)
{
  fixture_t *fixture = user;
  end_t end = fixture->current->end;

  if (end == ENDS_BY_SHUTDOWN || end == ENDS_BY_SHUTDOWN_THEN_RESET)
    peer_shut_down (fixture->connection);
  if (end == ENDS_BY_RESET || end == ENDS_BY_SHUTDOWN_THEN_RESET)
    peer_reset (fixture->connection);
  if (end == ENDS_BY_CLOSE)
    peer_close (fixture->connection);
  fixture->connection = NULL;
  if (fixture->current->moment == ENDS_UNREAD || fixture->current->moment == ENDS_WHILE_PAUSED)
    replace_timer (fixture, resume);
}

static void
answer (peer_connection_t *connection, size_t number, const char *text, void *user)
{
  fixture_t *fixture = user;
  size_t examined = fixture->current->is_kept ? 1 : 0;

  if (number < examined)
    peer_write (connection, WHOLE, strlen (WHOLE));
  if (number != examined)
    return;
  peer_write (connection, fixture->current->framing->response, fixture->current->cut);
  fixture->connection = connection;
  if (fixture->current->end == ENDS_BY_CLOSE)
    peer_stop_reading (connection);
  if (fixture->current->moment == ENDS_LATER)
    replace_timer (fixture, end_connection);
  else
    end_connection (fixture);
}

static void
record_response (const fh_response_t *response, void *user)
{
  fixture_t *fixture = user;

  fixture->result = response->result;
  g_snprintf (fixture->body, sizeof fixture->body, "%.*s", (int)response->body.len,
              response->body.data ? (const char *)response->body.data : "");
  fk_quit (fixture->kernel);
}

static void
send_request (fixture_t *fixture, const char *method, size_t upload)
{
  fh_client_request_t request
      = { .method = fb_wrap_text (method),
          .path = FB_LITERAL ("/a"),
          .body = { fixture->upload, upload },
          .echoed_header = { FB_LITERAL ("request-id"), FB_LITERAL ("own") },
          .allows_close_delimited = fixture->current->allows_close_delimited };

  fh_send_request (fixture->client, &request, record_response, fixture);
}

static void
set_up (fixture_t *fixture)
{
  fb_name_t address = fb_make_name ("127.0.0.1");

  fixture->kernel = fk_create_kernel (NULL);
  fixture->peer = peer_start (fixture->kernel, answer, fixture);
  fixture->client = fh_create_client (fixture->kernel, &address, peer_get_port (fixture->peer),
                                      1, BODY_MAX, IO_TIMEOUT);
  fixture->upload = g_malloc0 (LONG_UPLOAD);
  resume (fixture);
}

static void
tear_down (fixture_t *fixture)
{
  fk_destroy_timer (fixture->timer);
  fh_destroy_client (fixture->client);
  peer_stop (fixture->peer);
  fk_destroy_kernel (fixture->kernel);
  g_free (fixture->upload);
}

/* Returns whether the bytes that are sent are a whole response. */
static bool
is_whole (const case_t *current)
{
  const char *response = current->framing->response;
  const char *last_head = strstr (response, OWN_ID "\r\n");
  bool has_end = current->allows_close_delimited && current->end != ENDS_BY_RESET
                 && (current->end != ENDS_BY_CLOSE || current->upload < LONG_UPLOAD);

  if (!current->framing->close_delimited)
    return current->cut == strlen (response);
  return has_end && response + current->cut >= last_head + strlen (OWN_ID "\r\n");
}

static void
run_case (fixture_t *fixture, const case_t *current)
{
  fixture->current = current;
  if (current->is_kept)
    {
      send_request (fixture, "GET", 0);
      fk_run (fixture->kernel);
      g_assert_cmpint (fixture->result, ==, FH_ANSWERED);
    }
  send_request (fixture, current->framing->method, current->upload);
  if (current->moment == ENDS_UNREAD || current->moment == ENDS_WHILE_PAUSED)
    fb_set_account_budget (fk_get_account (fixture->kernel), 0);
  if (current->moment == ENDS_UNREAD)
    settle_account (fixture);
  fk_run (fixture->kernel);
  fh_close_idle (fixture->client);
  /* A complete response ends the exchange before the connection. */
  fk_destroy_timer (g_steal_pointer (&fixture->timer));
  if (current->end == ENDS_BY_CLOSE && fixture->connection)
    end_connection (fixture);
  resume (fixture);
  if ((fixture->result == FH_ANSWERED) != is_whole (current))
    g_error ("response %zu, %zu bytes of it, upload of %zu bytes, end %d, moment %d, kept %d: "
             "result %d, body \"%s\"",
             current->framing - framings, current->cut, current->upload, current->end,
             current->moment, current->is_kept, fixture->result, fixture->body);
}

static void
run_cut_points (fixture_t *fixture, case_t *current)
{
  size_t length = strlen (current->framing->response);
  /* Each case of the other moments takes LATER_MS, one on a kept connection two exchanges. */
  size_t step = current->moment == ENDS_AT_ONCE && !current->is_kept ? 1 : 7;

  for (size_t i = 0; i <= length; i += step)
    {
      current->cut = length - i;
      run_case (fixture, current);
    }
}

/* Guards against a part of a response that is taken for a whole one, and against a whole one
 * that is refused, in each framing, at each end of the connection. */
static void
test_cut_response (const void *user)
{
  case_t current = *(const case_t *)user;
  fixture_t fixture = { 0 };

  set_up (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (framings); i++)
    for (int end = 0; end < END_COUNT; end++)
      for (int moment = 0; moment < MOMENT_COUNT; moment++)
        for (int is_kept = 0; is_kept < 2; is_kept++)
          {
            /* A paused connection that holds a long upload is closed for its memory. */
            if (moment == ENDS_WHILE_PAUSED && current.upload == LONG_UPLOAD)
              continue;
            current.framing = &framings[i];
            current.end = (end_t)end;
            current.moment = (moment_t)moment;
            current.is_kept = is_kept;
            run_cut_points (&fixture, &current);
          }
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    case_t first; /* the other fields are set by the test */
  } tests[] = {
    { "/http/reset/no-upload", { .upload = 0, .allows_close_delimited = true } },
    { "/http/reset/short-upload", { .upload = SHORT_UPLOAD, .allows_close_delimited = true } },
    { "/http/reset/long-upload", { .upload = LONG_UPLOAD, .allows_close_delimited = true } },
    { "/http/reset/length-required", { .upload = SHORT_UPLOAD } },
  };

  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    g_test_add_data_func (tests[i].name, &tests[i].first, test_cut_response);
  return g_test_run ();
}
