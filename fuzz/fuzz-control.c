/* Fuzz target: decoding of control messages, and the round trip of valid ones. */
#include "fuzz-wire.h"
#include <foxtailrun/wire/control.h>
#include <glib.h>
#include <string.h>

static void
check_equal (const fw_control_t *a, const fw_control_t *b)
{
  FUZZ_CHECK (a->kind == b->kind);
  FUZZ_CHECK (a->request_id == b->request_id);
  FUZZ_CHECK (fb_equal_name (&a->sender, &b->sender));
  fuzz_check_equal_version (&a->version, &b->version);
  FUZZ_CHECK (a->ready == b->ready);
  FUZZ_CHECK (fb_compare_digests (&a->base_digest, &b->base_digest) == 0);
  FUZZ_CHECK (a->page == b->page);
  FUZZ_CHECK (a->page_count == b->page_count);
  FUZZ_CHECK (a->payload.len == b->payload.len);
  FUZZ_CHECK (a->payload.len == 0
              || memcmp (a->payload.data, b->payload.data, a->payload.len) == 0);
  FUZZ_CHECK (a->member_count == b->member_count);
  for (size_t i = 0; i < a->member_count; i++)
    fuzz_check_equal_member (&a->members[i], &b->members[i]);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fw_control_t decoded;
  fw_control_t redecoded;
  uint8_t *encoded;
  uint8_t *reencoded;
  size_t encoded_len;
  size_t reencoded_len;

  if (fw_decode_control ((fb_bytes_t){ data, size }, &decoded) != FB_OK)
    return 0;
  FUZZ_CHECK (decoded.member_count <= FW_MEMBERS_PER_PAGE_MAX);
  FUZZ_CHECK (decoded.payload.len <= size);
  encoded = fw_encode_control (&decoded, &encoded_len);
  FUZZ_CHECK (fw_decode_control ((fb_bytes_t){ encoded, encoded_len }, &redecoded) == FB_OK);
  check_equal (&decoded, &redecoded);
  reencoded = fw_encode_control (&redecoded, &reencoded_len);
  FUZZ_CHECK (reencoded_len == encoded_len && memcmp (reencoded, encoded, reencoded_len) == 0);
  g_free (reencoded);
  g_free (encoded);
  fw_clear_control (&redecoded);
  fw_clear_control (&decoded);
  return 0;
}
