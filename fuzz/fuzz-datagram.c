/* Fuzz target: decoding of membership datagrams, and the round trip of what decodes. */
#include "fuzz-wire.h"
#include <foxtailrun/wire/datagram.h>
#include <string.h>

static void
check_same (const fw_datagram_t *a, const fw_datagram_t *b, size_t updates)
{
  FUZZ_CHECK (a->kind == b->kind);
  FUZZ_CHECK (a->sequence == b->sequence);
  fuzz_check_same_member (&a->sender, &b->sender);
  fuzz_check_same_version (&a->version, &b->version);
  FUZZ_CHECK (a->members_digest == b->members_digest);
  FUZZ_CHECK (fb_equal_name (&a->target, &b->target));
  FUZZ_CHECK (b->update_count == updates);
  for (size_t i = 0; i < updates; i++)
    fuzz_check_same_member (&a->updates[i], &b->updates[i]);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static fw_datagram_t first;
  static fw_datagram_t second;
  uint8_t encoded[FW_DATAGRAM_MAX];
  uint8_t again[FW_DATAGRAM_MAX];
  size_t encoded_len;
  size_t again_len;
  size_t fitted;

  if (fw_decode_datagram ((fb_bytes_t){ data, size }, &first) != FB_OK)
    return 0;
  FUZZ_CHECK (first.update_count <= FW_UPDATES_MAX);
  FUZZ_CHECK (first.kind >= FW_PING && first.kind <= FW_GOSSIP);
  FUZZ_CHECK (fw_encode_datagram (&first, encoded, &encoded_len, &fitted) == FB_OK);
  /* The encoder keeps room for its longest array header, so that a full datagram may lose an
   * update. */
  FUZZ_CHECK (fitted <= first.update_count && encoded_len <= FW_DATAGRAM_MAX);
  FUZZ_CHECK (fw_decode_datagram ((fb_bytes_t){ encoded, encoded_len }, &second) == FB_OK);
  check_same (&first, &second, fitted);
  FUZZ_CHECK (fw_encode_datagram (&second, again, &again_len, &fitted) == FB_OK);
  FUZZ_CHECK (again_len == encoded_len && memcmp (again, encoded, again_len) == 0);
  return 0;
}
