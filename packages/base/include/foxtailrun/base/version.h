/* Versions of published configuration documents. */
#ifndef FOXTAILRUN_BASE_VERSION_H
#define FOXTAILRUN_BASE_VERSION_H

#include "digest.h"

/* Identity of one published document. NUMBER 0 means "no document". */
typedef struct
{
  uint64_t number;    /* chosen by the publisher, from 1 */
  uint64_t revision;  /* write index of the configuration service */
  fb_digest_t digest; /* of the document */
} fb_version_t;

/* Orders versions by number, then revision, then digest: below, at or above 0. */
int fb_compare_versions (const fb_version_t *a, const fb_version_t *b);

/* Formats VERSION as "NUMBER@REVISION-DIGEST12" into TEXT of SIZE bytes. */
void fb_format_version (const fb_version_t *version, char *text, size_t size);

/* Buffer size that fb_format_version needs, in bytes. */
#define FB_VERSION_TEXT_MAX 64

#endif
