/* Fuzz target: decoding of membership datagrams, and the round trip of valid ones. */
#include "fuzz-wire.h"
#include <foxtailrun/wire/datagram.h>
#include <string.h>

static void
check_equal (const fw_datagram_t *a, const fw_datagram_t *b, size_t updates)
{
  FUZZ_CHECK (a->kind == b->kind);
  FUZZ_CHECK (a->sequence == b->sequence);
  fuzz_check_equal_member (&a->sender, &b->sender);
  fuzz_check_equal_version (&a->version, &b->version);
  FUZZ_CHECK (a->members_digest == b->members_digest);
  FUZZ_CHECK (fb_equal_name (&a->target, &b->target));
  FUZZ_CHECK (b->update_count == updates);
  for (size_t i = 0; i < updates; i++)
    fuzz_check_equal_member (&a->updates[i], &b->updates[i]);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static fw_datagram_t decoded;
  static fw_datagram_t redecoded;
  uint8_t encoded[FW_DATAGRAM_MAX];
  uint8_t reencoded[FW_DATAGRAM_MAX];
  size_t encoded_len;
  size_t reencoded_len;
  size_t fitted;

  if (fw_decode_datagram ((fb_bytes_t){ data, size }, &decoded) != FB_OK)
    return 0;
  FUZZ_CHECK (decoded.update_count <= FW_UPDATES_MAX);
  FUZZ_CHECK (decoded.kind >= FW_PING && decoded.kind <= FW_GOSSIP);
  FUZZ_CHECK (fw_encode_datagram (&decoded, encoded, &encoded_len, &fitted) == FB_OK);
  /* The encoder reserves space for the longest array header, so that an update of a full
   * datagram may not fit any more. */
  FUZZ_CHECK (fitted <= decoded.update_count && encoded_len <= FW_DATAGRAM_MAX);
  FUZZ_CHECK (fw_decode_datagram ((fb_bytes_t){ encoded, encoded_len }, &redecoded) == FB_OK);
  check_equal (&decoded, &redecoded, fitted);
  FUZZ_CHECK (fw_encode_datagram (&redecoded, reencoded, &reencoded_len, &fitted) == FB_OK);
  FUZZ_CHECK (reencoded_len == encoded_len && memcmp (reencoded, encoded, reencoded_len) == 0);
  return 0;
}
