/* Compression of documents with zstd. */
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/config/delta.h>
#include <glib.h>
#include <zstd.h>

/* Level 3 is zstd's default; a window of 2^21 bytes covers a prefix and a document of 1 MB. */
#define LEVEL 3
#define WINDOW_LOG 21

uint8_t *
fc_encode_delta (fb_bytes_t base, fb_bytes_t document, size_t *length)
{
  ZSTD_CCtx *context = ZSTD_createCCtx ();
  size_t bound = ZSTD_compressBound (document.len);
  uint8_t *frame = g_malloc (bound);
  size_t result;

  FB_INVARIANT (context != NULL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, LEVEL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_windowLog, WINDOW_LOG);
  ZSTD_CCtx_setParameter (context, ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_setParameter (context, ZSTD_c_checksumFlag, 1);
  if (base.len > 0)
    ZSTD_CCtx_refPrefix (context, base.data, base.len);
  result = ZSTD_compress2 (context, frame, bound, document.data, document.len);
  ZSTD_freeCCtx (context);
  /* The buffer fits the worst case: only invalid parameters can fail. */
  FB_INVARIANT (!ZSTD_isError (result));
  *length = result;
  return frame;
}

fb_status_t
fc_decode_delta (fb_bytes_t base, fb_bytes_t frame, size_t max, uint8_t **document,
                 size_t *length)
{
  unsigned long long size;
  ZSTD_DCtx *context;
  uint8_t *buffer;
  size_t result;

  *document = NULL;
  *length = 0;
  if (frame.len == 0 || ZSTD_findFrameCompressedSize (frame.data, frame.len) != frame.len)
    return FB_INVALID;
  size = ZSTD_getFrameContentSize (frame.data, frame.len);
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    return FB_INVALID;
  if (size > max)
    return FB_TOO_LARGE;
  context = ZSTD_createDCtx ();
  FB_INVARIANT (context != NULL);
  ZSTD_DCtx_setParameter (context, ZSTD_d_windowLogMax, WINDOW_LOG);
  if (base.len > 0)
    ZSTD_DCtx_refPrefix (context, base.data, base.len);
  /* At least one byte, as g_malloc returns NULL for 0. */
  buffer = g_malloc ((size_t)size + 1);
  result = ZSTD_decompressDCtx (context, buffer, (size_t)size, frame.data, frame.len);
  ZSTD_freeDCtx (context);
  if (ZSTD_isError (result) || result != size)
    {
      g_free (buffer);
      return FB_INVALID;
    }
  *document = buffer;
  *length = result;
  return FB_OK;
}
