/* Responses that do not name their request, or are none of HTTP/1, in each framing. */
#include "fixture-peer.h"
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <string.h>

#define BODY_MAX 1024
#define ID_HEADER FB_LITERAL ("request-id")

/* Longer than any exchange here takes: one that waits for it fails the test. */
#define IO_TIMEOUT (2 * FB_SECOND)

#define OWN_ID "request-id: own\r\n"
#define LENGTH "content-length: 4\r\n\r\nbody"
#define CHUNKS "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define WHOLE OK_LINE OWN_ID LENGTH

typedef struct
{
  fk_kernel_t *kernel;
  peer_t *peer;
  fh_client_t *client;
  const char
      *first; /* response to the first request of a connection; the later ones get LATER */
  const char *later;
  bool close_behind; /* LATER, or FIRST without LATER */
  fh_result_t result;
  char body[16];
} fixture_t;

static void
answer (peer_connection_t *connection, size_t number, const char *text, void *user)
{
  const fixture_t *fixture = user;
  bool is_last = number > 0 || !fixture->later;
  const char *response = number > 0 ? fixture->later : fixture->first;

  peer_write (connection, response, strlen (response));
  if (is_last && fixture->close_behind)
    peer_close (connection);
}

static void
set_up (fixture_t *fixture)
{
  fb_name_t address = fb_make_name ("127.0.0.1");

  fixture->kernel = fk_create_kernel (NULL);
  fixture->peer = peer_start (fixture->kernel, answer, fixture);
  fixture->client = fh_create_client (fixture->kernel, &address, peer_get_port (fixture->peer),
                                      4, BODY_MAX, IO_TIMEOUT);
}

static void
tear_down (fixture_t *fixture)
{
  fh_destroy_client (fixture->client);
  peer_stop (fixture->peer);
  fk_destroy_kernel (fixture->kernel);
}

static void
record_response (const fh_response_t *response, void *user)
{
  fixture_t *fixture = user;

  fixture->result = response->result;
  g_snprintf (fixture->body, sizeof fixture->body, "%.*s", (int)response->body.len,
              (const char *)response->body.data);
  fk_quit (fixture->kernel);
}

/* Returns the time in ns that the exchange took. */
static fb_time_t
exchange (fixture_t *fixture, bool new_connection, bool requires_echo)
{
  fh_client_request_t request = { .method = FB_LITERAL ("GET"),
                                  .path = FB_LITERAL ("/a"),
                                  .echoed_header = { ID_HEADER, FB_LITERAL ("own") },
                                  .requires_echo = requires_echo,
                                  .new_connection = new_connection,
                                  .allows_close_delimited = true };
  gint64 started = g_get_monotonic_time ();

  fh_send_request (fixture->client, &request, record_response, fixture);
  fk_run (fixture->kernel);
  return (g_get_monotonic_time () - started) * FB_MICROSECOND;
}

/* Guards against bytes that do not name the request, or are no response, and are taken for the
 * response to it or waited on until the deadline; on a new and a kept connection, that stays
 * open or ends. */
static void
test_unidentified (void)
{
  static const char *const responses[] = {
    OK_LINE LENGTH,
    OK_LINE CHUNKS,
    "HTTP/1.1 500 Error\r\n" LENGTH,
    "HTTP/1.1 503 Busy\r\n" LENGTH,
    "HTTP/1.1 204 No Content\r\n\r\n",
    OK_LINE "request-id: \r\n" LENGTH,
    OK_LINE OWN_ID "request-id: other\r\n" LENGTH,
    OK_LINE "request-id: other\r\n" OWN_ID CHUNKS,
    OK_LINE OWN_ID "transfer-encoding: gzip\r\n\r\nbody",
    OK_LINE OWN_ID "transfer-encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    OK_LINE OWN_ID "content-length: 4\r\n" CHUNKS,
    OK_LINE OWN_ID "content-length: 3\r\n" LENGTH,
    "HTTP/1.1 099 Odd\r\n" OWN_ID LENGTH,
    "HTTP/1.1 600 Odd\r\n" OWN_ID LENGTH,
    "HTTP/3.1 200 OK\r\n" OWN_ID LENGTH,
    "HTTP/1.1 101 Switching\r\n" OWN_ID "\r\n",
    "\1\2\3\4\5\6\7\10",
    "body",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (responses); i++)
    for (int is_kept = 0; is_kept < 2; is_kept++)
      for (int closes = 0; closes < 2; closes++)
        {
          fixture_t fixture = { .first = is_kept ? WHOLE : responses[i],
                                .later = is_kept ? responses[i] : NULL,
                                .close_behind = closes };
          fb_time_t took;

          set_up (&fixture);
          if (is_kept)
            exchange (&fixture, false, true);
          took = exchange (&fixture, false, true);
          g_test_message ("response %zu, kept %d, closes %d: result %d", i, is_kept, closes,
                          fixture.result);
          g_assert_true (fixture.result == FH_NO_ANSWER || fixture.result == FH_TRUNCATED);
          g_assert_cmpint (took, <, IO_TIMEOUT / 2);
          g_assert_cmpuint (peer_count_connections (fixture.peer), ==, 1);
          tear_down (&fixture);
        }
}

/* Guards against a response without a length that does not name the request, or names another
 * one.
 */
static void
test_close_delimited (void)
{
  static const struct
  {
    const char *response;
    bool is_whole;
  } cases[] = {
    { OK_LINE OWN_ID "\r\nbody", true },
    { "HTTP/1.0 200 OK\r\n" OWN_ID "\r\nbody", true },
    { OK_LINE "request-id: other\r\n\r\nbody", false },
    { "HTTP/1.0 200 OK\r\nrequest-id: other\r\n\r\nbody", false },
    { "HTTP/1.1 500 Error\r\nrequest-id: other\r\n\r\nbody", false },
    { OK_LINE "request-id: other\r\n" LENGTH OK_LINE "request-id: other\r\n\r\nbody", false },
    { OK_LINE "request-id: other\r\n" LENGTH OK_LINE OWN_ID "\r\nbody", true },
    { OK_LINE "request-id: other\r\n" LENGTH, false },
    { OK_LINE "\r\nbody", false },
    { OK_LINE "x: y\r\n\r\nbody", false },
    { OK_LINE "request-id:\r\n\r\nbody", false },
    { OK_LINE OWN_ID "request-id: other\r\n\r\nbody", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int is_kept = 0; is_kept < 2; is_kept++)
      {
        fixture_t fixture = { .first = is_kept ? WHOLE : cases[i].response,
                              .later = is_kept ? cases[i].response : NULL,
                              .close_behind = true };

        set_up (&fixture);
        if (is_kept)
          exchange (&fixture, false, true);
        exchange (&fixture, false, true);
        g_test_message ("case %zu, kept %d: result %d", i, is_kept, fixture.result);
        g_assert_cmpint (fixture.result, ==, cases[i].is_whole ? FH_ANSWERED : FH_NO_ANSWER);
        tear_down (&fixture);
      }
}

/* Guards against whole responses that are refused. */
static void
test_whole (void)
{
  static const char *const responses[] = {
    WHOLE,
    OK_LINE OWN_ID CHUNKS,
    OK_LINE OWN_ID "Transfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    OK_LINE OWN_ID "Transfer-Encoding: chunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    OK_LINE "Request-Id: own  \r\n" LENGTH,
    OK_LINE OWN_ID OWN_ID LENGTH,
    "HTTP/1.1 100 Continue\r\n\r\n" WHOLE,
    "HTTP/1.0 200 OK\r\nREQUEST-ID: own\r\n" LENGTH,
    "HTTP/1.1 599 Odd\r\n" OWN_ID LENGTH,
    "HTTP/1.1 404 Not Found\r\n" OWN_ID LENGTH,
  };

  for (size_t i = 0; i < G_N_ELEMENTS (responses); i++)
    for (int is_kept = 0; is_kept < 2; is_kept++)
      {
        fixture_t fixture = { .first = is_kept ? WHOLE : responses[i], .later = responses[i] };

        set_up (&fixture);
        if (is_kept)
          exchange (&fixture, false, true);
        exchange (&fixture, false, true);
        g_test_message ("response %zu, kept %d", i, is_kept);
        g_assert_cmpint (fixture.result, ==, FH_ANSWERED);
        g_assert_cmpstr (fixture.body, ==, "body");
        tear_down (&fixture);
      }
}

/* Guards against bytes in place of a response where the server need not repeat the header: they
 * are taken for a response only until it has been seen to repeat it, and again when it does so
 * no more, as another version may not. */
static void
test_optional_echo (void)
{
  static const struct
  {
    const char *response; /* to each request, on a connection of its own */
    bool is_answered;
  } steps[] = {
    { OK_LINE LENGTH, true },  { WHOLE, true },           { OK_LINE LENGTH, false },
    { OK_LINE LENGTH, false }, { WHOLE, true },           { OK_LINE LENGTH, false },
    { OK_LINE LENGTH, false }, { OK_LINE LENGTH, false }, { OK_LINE LENGTH, false },
    { OK_LINE LENGTH, false }, { OK_LINE LENGTH, false }, { OK_LINE LENGTH, false },
    { OK_LINE LENGTH, true },  { OK_LINE LENGTH, true },  { WHOLE, true },
    { OK_LINE LENGTH, false },
  };
  fixture_t fixture = { 0 };

  set_up (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      fixture.first = steps[i].response;
      exchange (&fixture, true, false);
      g_test_message ("step %zu", i);
      g_assert_cmpint (fixture.result == FH_ANSWERED, ==, steps[i].is_answered);
    }
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/unidentified/response", test_unidentified);
  g_test_add_func ("/http/unidentified/close-delimited", test_close_delimited);
  g_test_add_func ("/http/unidentified/whole", test_whole);
  g_test_add_func ("/http/unidentified/optional-echo", test_optional_echo);
  return g_test_run ();
}
