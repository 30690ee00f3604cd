/* Fuzz target: decoding of crash reports, and the round trip of valid ones. */
#include "fuzz.h"
#include <foxtailrun/wire/crash.h>
#include <glib.h>
#include <string.h>

static void
check_equal (const fw_crash_report_t *a, const fw_crash_report_t *b)
{
  FUZZ_CHECK (fb_equal_name (&a->sender, &b->sender));
  FUZZ_CHECK (a->start_id == b->start_id);
  FUZZ_CHECK (a->suspect_count == b->suspect_count);
  for (size_t i = 0; i < a->suspect_count; i++)
    {
      const fw_suspect_t *left = &a->suspects[i];
      const fw_suspect_t *right = &b->suspects[i];

      FUZZ_CHECK (fb_compare_digests (&left->key, &right->key) == 0);
      FUZZ_CHECK (left->failed_trials == right->failed_trials);
      FUZZ_CHECK (left->age_us == right->age_us);
      FUZZ_CHECK (left->crash_count == right->crash_count);
      FUZZ_CHECK (memcmp (left->crashes, right->crashes, sizeof left->crashes) == 0);
      FUZZ_CHECK (memcmp (left->cleared, right->cleared, sizeof left->cleared) == 0);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fw_crash_report_t decoded;
  fw_crash_report_t redecoded;
  uint8_t *encoded;
  size_t length;

  if (fw_decode_crash_report ((fb_bytes_t){ data, size }, &decoded) != FB_OK)
    return 0;
  FUZZ_CHECK (decoded.suspect_count <= FW_SUSPECTS_MAX);
  encoded = fw_encode_crash_report (&decoded, &length);
  FUZZ_CHECK (fw_decode_crash_report ((fb_bytes_t){ encoded, length }, &redecoded) == FB_OK);
  check_equal (&decoded, &redecoded);
  g_free (encoded);
  fw_clear_crash_report (&redecoded);
  fw_clear_crash_report (&decoded);
  return 0;
}
