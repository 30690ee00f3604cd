/* zstd compression of documents, complete or as a delta against an earlier version. */
#ifndef FOXTAILRUN_CONFIG_DELTA_H
#define FOXTAILRUN_CONFIG_DELTA_H

#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>

/* Returns DOCUMENT as a zstd frame with BASE, which may be empty, as prefix; free with
 * g_free. BASE and DOCUMENT must not overlap: zstd ignores an overlapping prefix. */
uint8_t *fc_encode_delta (fb_bytes_t base, fb_bytes_t document, size_t *length);

/* Restores the document of FRAME, encoded with the same BASE, into *DOCUMENT; free with
 * g_free. FB_INVALID when FRAME is malformed or was encoded with another base, FB_TOO_LARGE
 * when the document exceeds MAX bytes. */
fb_status_t fc_decode_delta (fb_bytes_t base, fb_bytes_t frame, size_t max, uint8_t **document,
                             size_t *length);

#endif
