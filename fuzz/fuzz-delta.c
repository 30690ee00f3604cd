/* Fuzz target: decoding of compressed documents, and the round trip. The first two bytes are
 * the length of the base, which follows them. The rest is decoded as a frame; if it is not a
 * valid one, it is used as the document. */
#include "fuzz.h"
#include <foxtailrun/config/delta.h>
#include <foxtailrun/config/snapshot.h>
#include <glib.h>
#include <string.h>

static void
check_round_trip (fb_bytes_t base, fb_bytes_t document)
{
  size_t frame_len;
  uint8_t *frame = fc_encode_delta (base, document, &frame_len);
  uint8_t *restored = NULL;
  size_t restored_len = 0;

  FUZZ_CHECK (fc_decode_delta (base, (fb_bytes_t){ frame, frame_len }, FC_DOCUMENT_MAX,
                               &restored, &restored_len)
              == FB_OK);
  FUZZ_CHECK (restored_len == document.len);
  FUZZ_CHECK (document.len == 0 || memcmp (restored, document.data, document.len) == 0);
  g_free (restored);
  g_free (frame);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fb_bytes_t base;
  fb_bytes_t frame;
  uint8_t *document = NULL;
  size_t length = 0;

  fuzz_split_input (data, size, &base, &frame);
  if (fc_decode_delta (base, frame, FC_DOCUMENT_MAX, &document, &length) == FB_OK)
    {
      FUZZ_CHECK (length <= FC_DOCUMENT_MAX);
      check_round_trip (base, (fb_bytes_t){ document, length });
      g_free (document);
    }
  else
    {
      FUZZ_CHECK (document == NULL);
      check_round_trip (base, frame);
    }
  return 0;
}
