/* Compressed transfer of documents, whole or as a difference against an earlier one. */
#ifndef FOXTAILRUN_CONFIG_DELTA_H
#define FOXTAILRUN_CONFIG_DELTA_H

#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>

/* Returns DOCUMENT as a zstd frame that uses BASE, which may be empty, as prefix; free with
 * g_free. The two must not overlap in memory, or nothing of BASE is used. */
uint8_t *fc_encode_delta (fb_bytes_t base, fb_bytes_t document, size_t *length);

/* Restores a document of at most FC_DOCUMENT_MAX bytes from FRAME and the same BASE into
 * *DOCUMENT, which the caller frees with g_free. FB_INVALID when FRAME is malformed,
 * FB_TOO_LARGE over the limit. */
fb_status_t fc_decode_delta (fb_bytes_t base, fb_bytes_t frame, uint8_t **document,
                             size_t *length);

#endif
