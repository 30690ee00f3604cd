/* Responses whose status is no HTTP status, on every way in which a head can arrive. */
#include "fixture-peer.h"
#include <foxtailrun/http/client.h>
#include <glib.h>
#include <string.h>

#define BODY_MAX 1024
#define IO_TIMEOUT (2 * FB_SECOND)

#define FIELDS "request-id: own\r\ncontent-length: 4\r\n\r\nbody"
#define WHOLE "HTTP/1.1 200 OK\r\n" FIELDS

/* How the response to the examined request arrives. */
typedef enum
{
  ARRIVES_AT_ONCE,
  ARRIVES_IN_PIECES,
  ARRIVES_ON_KEPT_CONNECTION,   /* behind a good response to another request */
  ARRIVES_BEFORE_GOOD_RESPONSE, /* as if it were informational */
  ARRIVAL_COUNT
} arrival_t;

typedef struct
{
  fk_kernel_t *kernel;
  arrival_t arrival;
  char *text;
  fh_result_t result;
  uint32_t status;
} fixture_t;

static void
answer (peer_connection_t *connection, size_t number, const char *text, void *user)
{
  const fixture_t *fixture = user;
  const char *response
      = fixture->arrival == ARRIVES_ON_KEPT_CONNECTION && number == 0 ? WHOLE : fixture->text;
  size_t piece_len = fixture->arrival == ARRIVES_IN_PIECES ? 1 : strlen (response);

  for (size_t at = 0; at < strlen (response); at += piece_len)
    peer_write (connection, response + at, piece_len);
}

static void
record_response (const fh_response_t *response, void *user)
{
  fixture_t *fixture = user;

  fixture->result = response->result;
  fixture->status = response->status;
  fk_quit (fixture->kernel);
}

static void
exchange (fixture_t *fixture, fh_client_t *client)
{
  fh_client_request_t request
      = { .method = FB_LITERAL ("GET"),
          .path = FB_LITERAL ("/a"),
          .echoed_header = { FB_LITERAL ("request-id"), FB_LITERAL ("own") },
          .allows_close_delimited = true };

  fh_send_request (client, &request, record_response, fixture);
  fk_run (fixture->kernel);
}

static void
run_case (const char *status_line, arrival_t arrival)
{
  fixture_t fixture = { .arrival = arrival };
  fb_name_t address = fb_make_name ("127.0.0.1");
  peer_t *peer;
  fh_client_t *client;

  fixture.text
      = g_strconcat (status_line, "\r\n",
                     arrival == ARRIVES_BEFORE_GOOD_RESPONSE ? "\r\n" WHOLE : FIELDS, NULL);
  fixture.kernel = fk_create_kernel (NULL);
  peer = peer_start (fixture.kernel, answer, &fixture);
  client = fh_create_client (fixture.kernel, &address, peer_get_port (peer), 4, BODY_MAX,
                             IO_TIMEOUT);
  exchange (&fixture, client);
  if (arrival == ARRIVES_ON_KEPT_CONNECTION)
    {
      g_assert_cmpint (fixture.result, ==, FH_ANSWERED);
      exchange (&fixture, client);
    }
  g_test_message ("\"%s\", arrival %d: result %d, status %u", status_line, arrival,
                  fixture.result, fixture.status);
  g_assert_cmpint (fixture.result, !=, FH_ANSWERED);
  g_assert_cmpuint (fixture.status, ==, 0);
  fh_destroy_client (client);
  peer_stop (peer);
  fk_destroy_kernel (fixture.kernel);
  g_free (fixture.text);
}

/* Guards against a status outside 100 to 599, or one that is no number, that is passed on as a
 * response. */
static void
test_invalid_status (void)
{
  static const char *const status_lines[] = {
    "HTTP/1.1 000 Odd", "HTTP/1.1 00 Odd",   "HTTP/1.1 0 Odd",    "HTTP/1.1 099 Odd",
    "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd",  "HTTP/1.1 1000 Odd", "HTTP/1.1 200x Odd",
    "HTTP/1.1 2 0 Odd", "HTTP/1.1 +200 Odd", "HTTP/1.1 -1 Odd",   "HTTP/1.1 000",
    "HTTP/1.1 Odd",     "HTTP/1.0 000 Odd",  "HTTP/1.1 0200 Odd", "HTTP/1.1  200 Odd",
    "HTTP/1.1 200",     "HTTP 1.1 200 Odd",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (status_lines); i++)
    for (int arrival = 0; arrival < ARRIVAL_COUNT; arrival++)
      run_case (status_lines[i], (arrival_t)arrival);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/status/invalid", test_invalid_status);
  return g_test_run ();
}
