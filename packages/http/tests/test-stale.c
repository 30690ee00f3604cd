/* Responses on a connection that belong to an earlier request, or end early. */
#include "fixture-peer.h"
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <string.h>

#define BODY_MAX 1024
#define IO_TIMEOUT (300 * FB_MILLISECOND)
#define ID_HEADER FB_LITERAL ("request-id")

/* Time for bytes that follow a response to arrive. */
#define QUIET_MS 5

typedef struct
{
  fk_kernel_t *kernel;
  peer_t *peer;
  fh_client_t *client;
  const char *answer; /* of the truncated answers */
  size_t answer_len;
  bool echoes_id;
  bool refuses_first; /* the first request of each connection */
  char earlier[256];  /* last answer of the connection */
  fh_result_t result;
  uint32_t status;
  bool close_delimited;
  char body[64];
} fixture_t;

static void
set_up (fixture_t *fixture, peer_answer_fn_t answer)
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
  fixture->status = response->status;
  fixture->close_delimited = response->close_delimited;
  g_snprintf (fixture->body, sizeof fixture->body, "%.*s", (int)response->body.len,
              (const char *)response->body.data);
  fk_quit (fixture->kernel);
}

/* Sends request ID, waits for its response and for bytes after it. */
static void
exchange (fixture_t *fixture, const char *id)
{
  fh_header_t header = { ID_HEADER, fb_wrap_text (id) };
  fh_client_request_t request = { .method = FB_LITERAL ("GET"),
                                  .path = FB_LITERAL ("/a"),
                                  .headers = &header,
                                  .header_count = 1,
                                  .echoed_header = header,
                                  .allows_close_delimited = true };
  fk_timer_t *timer;

  fh_send_request (fixture->client, &request, record_response, fixture);
  fk_run (fixture->kernel);
  timer = fk_create_timeout (fixture->kernel, QUIET_MS * FB_MILLISECOND,
                             (fk_callback_fn_t)fk_quit, fixture->kernel);
  fk_run (fixture->kernel);
  fk_destroy_timer (timer);
}

/* Writes the connection's earlier answer once more, and then the one to TEXT: its id as body.
 */
static void
repeat_earlier_answer (peer_connection_t *connection, size_t number, const char *text,
                       void *user)
{
  fixture_t *fixture = user;
  const char *id = strstr (text, "request-id: ") + strlen ("request-id: ");
  int id_len = (int)(strchr (id, '\r') - id);
  char answer[256];

  if (number > 0)
    peer_write (connection, fixture->earlier, strlen (fixture->earlier));
  g_snprintf (answer, sizeof answer, "HTTP/1.1 %s\r\n%s%.*s\r\ncontent-length: %d\r\n\r\n%.*s",
              number == 0 && fixture->refuses_first ? "503 Busy" : "200 OK",
              fixture->echoes_id ? "request-id: " : "x-other: ", id_len, id, id_len, id_len,
              id);
  peer_write (connection, answer, strlen (answer));
  g_strlcpy (fixture->earlier, answer, sizeof fixture->earlier);
}

/* Guards against an earlier answer, written once more on a kept connection, that is taken for
 * the answer to the next request. */
static void
test_earlier_answer (void)
{
  static const struct
  {
    bool echoes_id;
    bool refuses_first;
    size_t connections; /* for four requests */
  } cases[] = {
    { true, false, 2 },
    { true, true, 2 },
    { false, false, 4 },
    { false, true, 4 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture
          = { .echoes_id = cases[i].echoes_id, .refuses_first = cases[i].refuses_first };

      set_up (&fixture, repeat_earlier_answer);
      for (int request = 0; request < 4; request++)
        {
          char id[16];

          g_snprintf (id, sizeof id, "id-%d", request);
          exchange (&fixture, id);
          g_test_message ("case %zu, request %d", i, request);
          g_assert_cmpint (fixture.result, ==, FH_ANSWERED);
          g_assert_cmpstr (fixture.body, ==, id);
        }
      g_assert_cmpuint (peer_count_connections (fixture.peer), ==, cases[i].connections);
      tear_down (&fixture);
    }
}

static void
write_part_and_close (peer_connection_t *connection, size_t number, const char *text,
                      void *user)
{
  const fixture_t *fixture = user;

  peer_write (connection, fixture->answer, fixture->answer_len);
  peer_close (connection);
}

/* Guards against an answer that ends early, at any byte, and is taken for a whole one. */
static void
test_truncated_answer (void)
{
  static const struct
  {
    const char *answer;
    bool has_length; /* the end of its body can be told */
  } cases[] = {
    { "HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 4\r\nx-last: 1\r\n\r\nbody", true },
    { "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nrequest-id: a\r\n\r\nbody", true },
    { "HTTP/1.1 200 OK\r\nconnection: close\r\nrequest-id: a\r\ncontent-length: 4\r\n\r\nbody",
      true },
    { "HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      true },
    { "HTTP/1.1 200 OK\r\nrequest-id: a\r\nconnection: close\r\n\r\nbody", false },
    { "HTTP/1.0 200 OK\r\nrequest-id: a\r\n\r\nbody", false },
    { "HTTP/1.1 204 No Content\r\nrequest-id: a\r\n\r\n", true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      size_t len = strlen (cases[i].answer);
      size_t head_len = (size_t)(strstr (cases[i].answer, "\r\n\r\n") - cases[i].answer) + 4;

      for (size_t sent = 0; sent < len; sent++)
        {
          fixture_t fixture = { .answer = cases[i].answer, .answer_len = sent };
          bool may_be_whole = sent >= head_len && !cases[i].has_length;

          set_up (&fixture, write_part_and_close);
          exchange (&fixture, "a");
          g_test_message ("case %zu, %zu of %zu bytes: result %d", i, sent, len,
                          fixture.result);
          g_assert_cmpint (fixture.result == FH_ANSWERED, ==, may_be_whole);
          g_assert_cmpint (fixture.close_delimited, ==, may_be_whole);
          tear_down (&fixture);
        }
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/stale/earlier-answer", test_earlier_answer);
  g_test_add_func ("/http/stale/truncated-answer", test_truncated_answer);
  return g_test_run ();
}
