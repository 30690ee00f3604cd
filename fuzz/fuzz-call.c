/* Fuzz target: decoding of call messages, and the round trip of what decodes. The first two
 * bytes are the length of the header frame, the rest is the body frame. */
#include "fuzz.h"
#include <foxtailrun/wire/call.h>
#include <glib.h>
#include <string.h>

static void
check_same (const fw_call_t *a, const fw_call_t *b)
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
  static fw_call_t first;
  static fw_call_t second;
  fb_bytes_t header;
  fb_bytes_t body;
  uint8_t *encoded;
  uint8_t *again;
  size_t encoded_len;
  size_t again_len;

  fuzz_split_input (data, size, &header, &body);
  if (fw_decode_call (header, body, &first) != FB_OK)
    return 0;
  FUZZ_CHECK (first.header_count <= FW_HEADERS_MAX);
  FUZZ_CHECK (first.body.len == body.len);
  encoded = fw_encode_call (&first, &encoded_len);
  FUZZ_CHECK (fw_decode_call ((fb_bytes_t){ encoded, encoded_len }, body, &second) == FB_OK);
  check_same (&first, &second);
  again = fw_encode_call (&second, &again_len);
  FUZZ_CHECK (again_len == encoded_len && memcmp (again, encoded, again_len) == 0);
  g_free (again);
  g_free (encoded);
  return 0;
}
