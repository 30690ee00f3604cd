/* Fuzz target: decoding of call messages, and the round trip of valid ones. The first two bytes
 * are the length of the header frame, which follows them; the rest is the body frame. */
#include "fuzz.h"
#include <foxtailrun/wire/call.h>
#include <glib.h>
#include <string.h>

static void
check_equal (const fw_call_t *a, const fw_call_t *b)
{
  FUZZ_CHECK (a->kind == b->kind);
  FUZZ_CHECK (a->id == b->id);
  FUZZ_CHECK (a->remaining_us == b->remaining_us);
  FUZZ_CHECK (fb_equal_str (a->service, b->service));
  FUZZ_CHECK (fb_equal_str (a->rank, b->rank));
  FUZZ_CHECK (fb_equal_str (a->customer, b->customer));
  FUZZ_CHECK (fb_equal_str (a->method, b->method));
  FUZZ_CHECK (fb_equal_str (a->path, b->path));
  FUZZ_CHECK (fb_equal_str (a->ticket, b->ticket));
  FUZZ_CHECK (fb_equal_str (a->request_id, b->request_id));
  FUZZ_CHECK (a->outcome == b->outcome);
  FUZZ_CHECK (a->status == b->status);
  FUZZ_CHECK (fb_equal_str (a->reason, b->reason));
  FUZZ_CHECK (a->earlier_attempt_arrived == b->earlier_attempt_arrived);
  FUZZ_CHECK (a->reached_backend == b->reached_backend);
  FUZZ_CHECK (a->load == b->load);
  FUZZ_CHECK (a->service_us == b->service_us);
  FUZZ_CHECK (a->leaving == b->leaving);
  FUZZ_CHECK (fb_equal_str (a->instance, b->instance));
  FUZZ_CHECK (a->incarnation == b->incarnation);
  FUZZ_CHECK (a->rate_limit_milli == b->rate_limit_milli);
  FUZZ_CHECK (a->crash_id == b->crash_id);
  FUZZ_CHECK (a->quarantine_us == b->quarantine_us);
  FUZZ_CHECK (a->header_count == b->header_count);
  for (size_t i = 0; i < a->header_count; i++)
    {
      FUZZ_CHECK (fb_equal_str (a->headers[i].name, b->headers[i].name));
      FUZZ_CHECK (fb_equal_str (a->headers[i].value, b->headers[i].value));
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static fw_call_t decoded;
  static fw_call_t redecoded;
  fb_bytes_t header;
  fb_bytes_t body;
  uint8_t *encoded;
  uint8_t *reencoded;
  size_t encoded_len;
  size_t reencoded_len;

  fuzz_split_input (data, size, &header, &body);
  if (fw_decode_call (header, body, &decoded) != FB_OK)
    return 0;
  FUZZ_CHECK (decoded.header_count <= FW_HEADERS_MAX);
  FUZZ_CHECK (decoded.body.len == body.len);
  encoded = fw_encode_call (&decoded, &encoded_len);
  FUZZ_CHECK (fw_decode_call ((fb_bytes_t){ encoded, encoded_len }, body, &redecoded) == FB_OK);
  check_equal (&decoded, &redecoded);
  reencoded = fw_encode_call (&redecoded, &reencoded_len);
  FUZZ_CHECK (reencoded_len == encoded_len && memcmp (reencoded, encoded, reencoded_len) == 0);
  g_free (reencoded);
  g_free (encoded);
  return 0;
}
