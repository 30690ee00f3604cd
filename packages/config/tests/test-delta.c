/* Compression of documents. */
#include "fixture-check.h"
#include <foxtailrun/config/delta.h>
#include <glib.h>
#include <string.h>
#include <zstd.h>

/* Returns SIZE random printable bytes that hardly compress; free with g_free. */
static uint8_t *
make_incompressible (size_t size, guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  uint8_t *data = g_malloc (size);

  for (size_t i = 0; i < size; i++)
    data[i] = (uint8_t)g_rand_int_range (random, ' ', 128);
  g_rand_free (random);
  return data;
}

static void
assert_round_trip (fb_bytes_t base, fb_bytes_t document, size_t max_frame_length)
{
  size_t frame_length;
  size_t length;
  uint8_t *restored;
  uint8_t *frame = fc_encode_delta (base, document, &frame_length);

  g_assert_cmpuint (frame_length, <=, max_frame_length);
  g_assert_cmpint (fc_decode_delta (base, (fb_bytes_t){ frame, frame_length }, FC_DOCUMENT_MAX,
                                    &restored, &length),
                   ==, FB_OK);
  g_assert_cmpmem (restored, length, document.data, document.len);
  g_free (restored);
  g_free (frame);
}

/* Guards against documents not restored exactly, and a frame over 1 KB for a small change
 * to a 1 MB document because the window does not cover the prefix. */
static void
test_round_trips (void)
{
  static const size_t sizes[] = { 0, 1, 1000, FC_DOCUMENT_MAX };
  uint8_t *original = make_incompressible (FC_DOCUMENT_MAX, 1);
  uint8_t *changed = g_memdup2 (original, FC_DOCUMENT_MAX);
  uint8_t *other = make_incompressible (FC_DOCUMENT_MAX, 2);

  memset (changed + 500000, 'x', 100);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (sizes); j++)
      assert_round_trip ((fb_bytes_t){ other, sizes[i] }, (fb_bytes_t){ original, sizes[j] },
                         sizes[j] + 100);
  assert_round_trip ((fb_bytes_t){ original, FC_DOCUMENT_MAX },
                     (fb_bytes_t){ changed, FC_DOCUMENT_MAX }, 1024);
  memmove (changed, changed + 1000, FC_DOCUMENT_MAX - 1000);
  assert_round_trip ((fb_bytes_t){ original, FC_DOCUMENT_MAX },
                     (fb_bytes_t){ changed, FC_DOCUMENT_MAX - 1000 }, 1024);
  g_free (other);
  g_free (changed);
  g_free (original);
}

/* Guards against a corrupted frame decoded to another document. */
static void
test_corruption (void)
{
  fb_bytes_t document = wrap_bytes (fixture_document);
  fb_bytes_t base = { document.data, document.len / 2 };
  size_t frame_length;
  uint8_t *frame = fc_encode_delta (base, document, &frame_length);
  uint8_t *longer = g_malloc0 (frame_length + 1);
  uint8_t *restored;
  size_t length;

  for (size_t i = 0; i < frame_length; i++)
    {
      g_assert_cmpint (
          fc_decode_delta (base, (fb_bytes_t){ frame, i }, FC_DOCUMENT_MAX, &restored, &length),
          ==, FB_INVALID);
      for (int bit = 0; bit < 8; bit++)
        {
          frame[i] ^= (uint8_t)(1 << bit);
          if (fc_decode_delta (base, (fb_bytes_t){ frame, frame_length }, FC_DOCUMENT_MAX,
                               &restored, &length)
              == FB_OK)
            g_assert_cmpmem (restored, length, document.data, document.len);
          else
            g_assert_null (restored);
          g_free (restored);
          frame[i] ^= (uint8_t)(1 << bit);
        }
    }
  memcpy (longer, frame, frame_length);
  g_assert_cmpint (fc_decode_delta (base, (fb_bytes_t){ longer, frame_length + 1 },
                                    FC_DOCUMENT_MAX, &restored, &length),
                   ==, FB_INVALID);
  g_free (longer);
  g_free (frame);
}

/* Guards against decoding with another base than that of the encoding. */
static void
test_wrong_base (void)
{
  fb_bytes_t document = wrap_bytes (fixture_document);
  uint8_t *other = g_memdup2 (document.data, document.len);
  size_t frame_length;
  uint8_t *frame
      = fc_encode_delta ((fb_bytes_t){ other, document.len }, document, &frame_length);
  fb_bytes_t bases[] = { { NULL, 0 }, { other, document.len }, { other, document.len - 1 } };
  uint8_t *restored;
  size_t length;

  g_assert_cmpuint (frame_length, <, 100);
  other[20] ^= 1;
  for (size_t i = 0; i < G_N_ELEMENTS (bases); i++)
    {
      g_assert_cmpint (fc_decode_delta (bases[i], (fb_bytes_t){ frame, frame_length },
                                        FC_DOCUMENT_MAX, &restored, &length),
                       ==, FB_INVALID);
      g_assert_null (restored);
    }
  g_free (frame);
  g_free (other);
}

/* Guards against a small frame whose document exceeds the limit, and one without a size. */
static void
test_oversized (void)
{
  static const struct
  {
    size_t size;
    bool stated;
    fb_status_t status;
  } cases[] = {
    { FC_DOCUMENT_MAX, true, FB_OK },
    { FC_DOCUMENT_MAX + 1, true, FB_TOO_LARGE },
    { 64 * FC_DOCUMENT_MAX, true, FB_TOO_LARGE },
    { 1000, false, FB_INVALID },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint8_t *document = g_malloc0 (cases[i].size);
      size_t bound = ZSTD_compressBound (cases[i].size);
      uint8_t *frame = g_malloc (bound);
      ZSTD_CCtx *context = ZSTD_createCCtx ();
      uint8_t *restored;
      size_t length;

      ZSTD_CCtx_setParameter (context, ZSTD_c_contentSizeFlag, cases[i].stated);
      bound = ZSTD_compress2 (context, frame, bound, document, cases[i].size);
      g_assert_cmpint (fc_decode_delta ((fb_bytes_t){ NULL, 0 }, (fb_bytes_t){ frame, bound },
                                        FC_DOCUMENT_MAX, &restored, &length),
                       ==, cases[i].status);
      g_assert_cmpint (restored != NULL, ==, cases[i].status == FB_OK);
      ZSTD_freeCCtx (context);
      g_free (restored);
      g_free (frame);
      g_free (document);
    }
}

/* Guards against accepting input other than exactly one frame. */
static void
test_malformed_frame (void)
{
  /* Skippable frame of 0 bytes, which zstd ignores after another. */
  static const uint8_t skippable[] = { 0x50, 0x2a, 0x4d, 0x18, 0, 0, 0, 0 };
  static const char *const cases[] = { "", "x", "\x28\xb5\x2f\xfd", "version = 1\n" };
  uint8_t *restored;
  uint8_t *frame;
  size_t length;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_cmpint (fc_decode_delta ((fb_bytes_t){ NULL, 0 }, wrap_bytes (cases[i]),
                                      FC_DOCUMENT_MAX, &restored, &length),
                     ==, FB_INVALID);
  frame = fc_encode_delta ((fb_bytes_t){ NULL, 0 }, wrap_bytes (fixture_document), &length);
  frame = g_realloc (frame, length + sizeof skippable);
  memcpy (frame + length, skippable, sizeof skippable);
  g_assert_cmpint (fc_decode_delta ((fb_bytes_t){ NULL, 0 },
                                    (fb_bytes_t){ frame, length + sizeof skippable },
                                    FC_DOCUMENT_MAX, &restored, &length),
                   ==, FB_INVALID);
  g_free (frame);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/delta/round-trips", test_round_trips);
  g_test_add_func ("/config/delta/corruption", test_corruption);
  g_test_add_func ("/config/delta/wrong-base", test_wrong_base);
  g_test_add_func ("/config/delta/oversized", test_oversized);
  g_test_add_func ("/config/delta/malformed-frame", test_malformed_frame);
  return g_test_run ();
}
