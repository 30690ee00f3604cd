/* Fuzz target: decoding of feed messages, and the round trip of valid ones. */
#include "fuzz-wire.h"
#include <foxtailrun/wire/feed.h>
#include <glib.h>
#include <string.h>

static void
check_equal (const fw_feed_message_t *a, const fw_feed_message_t *b)
{
  FUZZ_CHECK (a->kind == b->kind);
  FUZZ_CHECK (a->feed_id == b->feed_id);
  FUZZ_CHECK (a->sequence == b->sequence);
  FUZZ_CHECK (fb_compare_positions (a->position, b->position) == 0);
  FUZZ_CHECK (fb_compare_positions (a->document_position, b->document_position) == 0);
  FUZZ_CHECK (a->document_number == b->document_number);
  FUZZ_CHECK (fb_compare_positions (a->document_known_position, b->document_known_position)
              == 0);
  FUZZ_CHECK (fb_compare_digests (&a->digest, &b->digest) == 0);
  FUZZ_CHECK (a->delta.len == b->delta.len);
  FUZZ_CHECK (a->delta.len == 0 || memcmp (a->delta.data, b->delta.data, a->delta.len) == 0);
  FUZZ_CHECK (a->age_us == b->age_us);
  FUZZ_CHECK (a->request_wait_us == b->request_wait_us);
  FUZZ_CHECK (a->complete == b->complete);
  FUZZ_CHECK (a->endpoint_count == b->endpoint_count);
  for (size_t i = 0; i < a->endpoint_count; i++)
    {
      fuzz_check_equal_member (&a->endpoints[i].member, &b->endpoints[i].member);
      FUZZ_CHECK (a->endpoints[i].slots == b->endpoints[i].slots);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fw_feed_message_t decoded;
  fw_feed_message_t redecoded;
  uint8_t *encoded;
  uint8_t *reencoded;
  size_t encoded_len;
  size_t reencoded_len;

  if (fw_decode_feed ((fb_bytes_t){ data, size }, &decoded) != FB_OK)
    return 0;
  FUZZ_CHECK (decoded.endpoint_count <= FW_ENDPOINTS_MAX);
  FUZZ_CHECK (decoded.delta.len <= FW_DELTA_MAX);
  encoded = fw_encode_feed (&decoded, &encoded_len);
  FUZZ_CHECK (fw_decode_feed ((fb_bytes_t){ encoded, encoded_len }, &redecoded) == FB_OK);
  check_equal (&decoded, &redecoded);
  reencoded = fw_encode_feed (&redecoded, &reencoded_len);
  FUZZ_CHECK (reencoded_len == encoded_len && memcmp (reencoded, encoded, reencoded_len) == 0);
  g_free (reencoded);
  g_free (encoded);
  fw_clear_feed (&redecoded);
  fw_clear_feed (&decoded);
  return 0;
}
