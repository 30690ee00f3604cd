/* Fuzz target: decoding of news between nodes, and the round trip of what decodes. */
#include "fuzz-wire.h"
#include <foxtailrun/wire/feed.h>
#include <glib.h>
#include <string.h>

static void
check_same (const fw_feed_message_t *a, const fw_feed_message_t *b)
{
  FUZZ_CHECK (a->kind == b->kind);
  FUZZ_CHECK (a->feed_id == b->feed_id);
  FUZZ_CHECK (a->sequence == b->sequence);
  FUZZ_CHECK (a->position == b->position);
  FUZZ_CHECK (a->document_position == b->document_position);
  FUZZ_CHECK (fb_compare_digests (&a->digest, &b->digest) == 0);
  FUZZ_CHECK (a->delta.len == b->delta.len);
  FUZZ_CHECK (a->delta.len == 0 || memcmp (a->delta.data, b->delta.data, a->delta.len) == 0);
  FUZZ_CHECK (a->age_us == b->age_us);
  FUZZ_CHECK (a->request_wait_us == b->request_wait_us);
  FUZZ_CHECK (a->complete == b->complete);
  FUZZ_CHECK (a->endpoint_count == b->endpoint_count);
  for (size_t i = 0; i < a->endpoint_count; i++)
    {
      fuzz_check_same_member (&a->endpoints[i].member, &b->endpoints[i].member);
      FUZZ_CHECK (a->endpoints[i].slots == b->endpoints[i].slots);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fw_feed_message_t first;
  fw_feed_message_t second;
  uint8_t *encoded;
  uint8_t *again;
  size_t encoded_len;
  size_t again_len;

  if (fw_decode_feed ((fb_bytes_t){ data, size }, &first) != FB_OK)
    return 0;
  FUZZ_CHECK (first.endpoint_count <= FW_ENDPOINTS_MAX);
  FUZZ_CHECK (first.delta.len <= FW_DELTA_MAX);
  encoded = fw_encode_feed (&first, &encoded_len);
  FUZZ_CHECK (fw_decode_feed ((fb_bytes_t){ encoded, encoded_len }, &second) == FB_OK);
  check_same (&first, &second);
  again = fw_encode_feed (&second, &again_len);
  FUZZ_CHECK (again_len == encoded_len && memcmp (again, encoded, again_len) == 0);
  g_free (again);
  g_free (encoded);
  fw_clear_feed (&second);
  fw_clear_feed (&first);
  return 0;
}
