/* Crowds of untrusted clients at the caller port and at the call port of a node. Each case
 * guards against a process that ends, or whose memory or descriptors grow with the crowd, or
 * that serves no one else. */
#include "fixture-crowd.h"
#include "fixture-fleet.h"
#include <foxtailrun/wire/call.h>
#include <string.h>

/* Node 1 serves storefront, node 2 inventory; requests for storefront at node 2 cross both. */
#define NODES 2
#define SERVING 1
#define ENTRY 2

/* Bounds of each node's process. Without a limit the crowds below hold 60 MB and more, or 400
 * descriptors. */
#define PEAK_MAX_KB (48 * 1024)
#define DESCRIPTORS_MAX 256

/* Limits of the nodes under test. */
#define SETTINGS "[memory]\nbudget_bytes = 16777216\ndescriptors = 256\n"

/* The address sanitizer keeps freed memory in a quarantine of up to 256 MB, so that the peak of
 * its builds tells nothing. */
#ifdef __SANITIZE_ADDRESS__
static const bool peak_is_bounded = false;
#else
static const bool peak_is_bounded = true;
#endif

#define CHUNK_BYTES 65536
#define RESPONSE_BYTES "4000000"

typedef enum
{
  PORT_CALLER,
  PORT_CALL
} port_t;

typedef struct
{
  const char *name;
  size_t clients;
  /* Sets the bytes that a client sends. */
  void (*plan) (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port);
} kind_t;

typedef struct
{
  const kind_t *kind;
  port_t port;
} case_t;

static void
append_text (GByteArray *bytes, const char *text)
{
  g_byte_array_append (bytes, (const guint8 *)text, (guint)strlen (text));
}

static void
append_filler (GByteArray *bytes, size_t count)
{
  char *filler = g_strnfill (count, 'x');

  g_byte_array_append (bytes, (const guint8 *)filler, (guint)count);
  g_free (filler);
}

static void
append_request (GByteArray *bytes, port_t port, const char *header)
{
  append_text (bytes, port == PORT_CALL ? "POST /call" : "POST /prices");
  append_text (bytes, " HTTP/1.1\r\nhost: crowd\r\n");
  append_text (bytes, header);
  append_text (bytes, "\r\n");
}

static void
plan_large_chunks (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
  append_request (first, port, "transfer-encoding: chunked\r\n");
  append_text (repeated, "10000\r\n");
  append_filler (repeated, CHUNK_BYTES);
  append_text (repeated, "\r\n");
  plan->repeats = 15;
}

static void
plan_tiny_chunks (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
  append_request (first, port, "transfer-encoding: chunked\r\n");
  for (unsigned i = 0; i < 1000; i++)
    append_text (repeated, "1\r\nx\r\n");
  plan->repeats = 100;
}

static void
plan_short_of_the_end (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
  append_request (first, port, "content-length: 1000000\r\n");
  append_filler (repeated, 999999);
  plan->repeats = 1;
}

static void
plan_over_announced (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
  append_request (first, port, "content-length: 50000000\r\n");
  append_filler (repeated, CHUNK_BYTES);
  plan->repeats = 30;
}

static void
plan_over_sent (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
  plan_large_chunks (plan, first, repeated, port);
  plan->repeats = 30;
}

static void
append_call (GByteArray *bytes, const char *path)
{
  fw_call_t call = { .kind = FW_CALL,
                     .id = 1,
                     .remaining_us = 4000000,
                     .target_left_us = 4000000,
                     .service = FB_LITERAL ("storefront"),
                     .rank = FB_LITERAL ("urgent"),
                     .method = FB_LITERAL ("GET"),
                     .path = fb_wrap_text (path),
                     .request_id = FB_LITERAL ("crowd") };
  GByteArray *packed = fw_pack_call (&call);
  char *header = g_strdup_printf ("content-length: %u\r\n", packed->len);

  append_request (bytes, PORT_CALL, header);
  g_byte_array_append (bytes, packed->data, packed->len);
  g_free (header);
  g_byte_array_unref (packed);
}

static void
append_long_request (GByteArray *bytes, port_t port)
{
  if (port == PORT_CALL)
    append_call (bytes, "/prices?size=" RESPONSE_BYTES);
  else
    append_text (bytes, "GET /prices?size=" RESPONSE_BYTES " HTTP/1.1\r\nhost: crowd\r\n\r\n");
}

static void
plan_slow_readers (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
  append_long_request (first, port);
  plan->receive_buffer = 4096;
}

static void
plan_idle (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
}

static void
plan_endless_head (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
  append_text (first, port == PORT_CALL ? "POST /call" : "POST /prices");
  append_text (first, " HTTP/1.1\r\nhost: crowd\r\n");
  append_text (repeated, "x-filler: ");
  append_filler (repeated, 6 * 1024);
  append_text (repeated, "\r\n");
  plan->repeats = 60;
}

static void
plan_pipeline (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
  append_long_request (repeated, port);
  plan->repeats = 8;
  plan->receive_buffer = 4096;
}

static void
append_frame (GByteArray *bytes, guint8 type, guint8 flags, uint32_t stream, fb_bytes_t payload)
{
  guint8 head[9] = { (guint8)(payload.len >> 16),
                     (guint8)(payload.len >> 8),
                     (guint8)payload.len,
                     type,
                     flags,
                     (guint8)(stream >> 24),
                     (guint8)(stream >> 16),
                     (guint8)(stream >> 8),
                     (guint8)stream };

  g_byte_array_append (bytes, head, sizeof head);
  if (payload.len > 0)
    g_byte_array_append (bytes, payload.data, (guint)payload.len);
}

/* Streams with 60,000 bytes each, within the initial window, that do not end. */
static void
plan_http2_streams (crowd_plan_t *plan, GByteArray *first, GByteArray *repeated, port_t port)
{
  /* HPACK: POST, http, and literals of path and authority. */
  static const char path[] = "\x83\x86\x04\x07/prices\x01\x05"
                             "crowd";
  static const char call_path[] = "\x83\x86\x04\x05/call\x01\x05"
                                  "crowd";
  fb_bytes_t block = port == PORT_CALL
                         ? (fb_bytes_t){ (const uint8_t *)call_path, sizeof call_path - 1 }
                         : (fb_bytes_t){ (const uint8_t *)path, sizeof path - 1 };
  char *filler = g_strnfill (15000, 'x');

  append_text (first, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
  append_frame (first, 4, 0, 0, (fb_bytes_t){ NULL, 0 });
  for (uint32_t stream = 1; stream <= 31; stream += 2)
    {
      append_frame (first, 1, 4, stream, block);
      for (unsigned i = 0; i < 4; i++)
        append_frame (first, 0, 0, stream, (fb_bytes_t){ (const uint8_t *)filler, 15000 });
    }
  g_free (filler);
}

static const kind_t kinds[] = {
  { "large-chunks", 96, plan_large_chunks },
  { "tiny-chunks", 96, plan_tiny_chunks },
  { "short-of-the-end", 96, plan_short_of_the_end },
  { "over-announced", 96, plan_over_announced },
  { "over-sent", 96, plan_over_sent },
  { "slow-readers", 24, plan_slow_readers },
  { "idle", 400, plan_idle },
  { "endless-heads", 192, plan_endless_head },
  { "pipelines", 16, plan_pipeline },
  { "http2-streams", 96, plan_http2_streams },
};

static void
check_bounds (fleet_t *fleet)
{
  for (size_t number = 1; number <= NODES; number++)
    {
      GPid pid = fleet_get_pid (fleet, number);
      uint64_t peak_kb = crowd_read_peak_kb (pid);
      size_t descriptors = crowd_count_descriptors (pid);

      g_test_message ("node %zu: peak %" G_GUINT64_FORMAT " kB, %zu descriptors", number,
                      peak_kb, descriptors);
      if (peak_is_bounded)
        g_assert_cmpuint (peak_kb, <=, PEAK_MAX_KB);
      g_assert_cmpuint (descriptors, <=, DESCRIPTORS_MAX);
    }
}

static void
check_request (fleet_t *fleet)
{
  fleet_response_t response = fleet_call (fleet, ENTRY, "GET", "/prices?a", NULL);

  g_test_message ("request: result %d, status %u, %s", response.result, response.status,
                  response.body);
  g_assert_cmpint (response.result, ==, FH_ANSWERED);
  g_assert_cmpuint (response.status, ==, 200);
  fleet_clear_response (&response);
}

static void
check_crowd (const void *data)
{
  const case_t *test = data;
  fleet_t *fleet = fleet_start_with_settings (NODES, SETTINGS);
  GByteArray *first = g_byte_array_new ();
  GByteArray *repeated = g_byte_array_new ();
  crowd_plan_t plan = { .clients = test->kind->clients };
  fb_name_t address = fleet_get_address (fleet, test->port == PORT_CALL ? SERVING : ENTRY);
  crowd_t *crowd;

  test->kind->plan (&plan, first, repeated, test->port);
  plan.first = (fb_bytes_t){ first->data, first->len };
  plan.repeated = (fb_bytes_t){ repeated->data, repeated->len };
  check_request (fleet);
  crowd = crowd_start (&plan, &address,
                       test->port == PORT_CALL ? FLEET_CALL_PORT : FLEET_CALLER_PORT);
  g_test_message ("sent %" G_GUINT64_FORMAT " bytes", crowd_count_sent (crowd));
  /* Responses of the slowest kinds arrive until their timeout of 4 s. */
  fleet_run_loop (fleet, 1000);
  check_bounds (fleet);
  crowd_stop (crowd);
  fleet_run_loop (fleet, 1000);
  check_request (fleet);
  check_bounds (fleet);
  g_byte_array_unref (first);
  g_byte_array_unref (repeated);
  fleet_stop (fleet);
}

int
main (int argc, char **argv)
{
  static const char *const ports[] = { "caller", "call" };
  case_t cases[G_N_ELEMENTS (ports) * G_N_ELEMENTS (kinds)];
  size_t count = 0;

  g_test_init (&argc, &argv, NULL);
  for (size_t port = 0; port < G_N_ELEMENTS (ports); port++)
    for (size_t kind = 0; kind < G_N_ELEMENTS (kinds); kind++)
      {
        char *name = g_strdup_printf ("/process/crowd/%s/%s", ports[port], kinds[kind].name);

        cases[count] = (case_t){ &kinds[kind], (port_t)port };
        g_test_add_data_func (name, &cases[count++], check_crowd);
        g_free (name);
      }
  return g_test_run ();
}
