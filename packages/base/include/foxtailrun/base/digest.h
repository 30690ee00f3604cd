/* Content digests and non-cryptographic hashes. */
#ifndef FOXTAILRUN_BASE_DIGEST_H
#define FOXTAILRUN_BASE_DIGEST_H

#include "string.h"

#define FB_DIGEST_LEN 32
#define FB_DIGEST_HEX_LEN (2 * FB_DIGEST_LEN)

/* A BLAKE2b-256 digest; all bytes zero mean "none". */
typedef struct
{
  uint8_t bytes[FB_DIGEST_LEN];
} fb_digest_t;

/* Returns the BLAKE2b-256 digest of BYTES. */
fb_digest_t fb_compute_digest (fb_bytes_t bytes);

/* Orders two digests bytewise: below, at or above 0. */
int fb_compare_digests (const fb_digest_t *a, const fb_digest_t *b);

/* Writes DIGEST as lower-case hexadecimal text with a final NUL byte. */
void fb_format_digest (const fb_digest_t *digest, char text[FB_DIGEST_HEX_LEN + 1]);

/* Returns the xxHash64 of STR with SEED; the same in all processes and on all hosts. */
uint64_t fb_hash_str (fb_str_t str, uint64_t seed);

/* Returns the rendezvous weight of NAME for KEY; the name with the highest weight owns KEY. */
uint64_t fb_get_rendezvous_weight (fb_str_t key, fb_str_t name);

/* Hash and equality of fb_name_t pointers, for GLib's hash tables. */
unsigned int fb_hash_name_key (const void *name);
int fb_equal_name_keys (const void *a, const void *b);

#endif
