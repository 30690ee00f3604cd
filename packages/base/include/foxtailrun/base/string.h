/* Length-counted strings and byte ranges. */
#ifndef FOXTAILRUN_BASE_STRING_H
#define FOXTAILRUN_BASE_STRING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A borrowed string; DATA need not end in a NUL byte. */
typedef struct
{
  const char *data;
  size_t len;
} fb_str_t;

/* A borrowed range of bytes. */
typedef struct
{
  const uint8_t *data;
  size_t len;
} fb_bytes_t;

/* Longest name of a node, zone, region, service, rank, route or customer, in bytes. */
#define FB_NAME_MAX 47

/* A short name stored by value; DATA always ends in a NUL byte after LEN bytes. */
typedef struct
{
  uint8_t len;
  char data[FB_NAME_MAX + 1];
} fb_name_t;

/* A string literal as fb_str_t. */
#define FB_LITERAL(s) ((fb_str_t){ (s), sizeof (s) - 1 })

/* Wraps the NUL-terminated TEXT, which may be NULL; the result borrows it. */
fb_str_t fb_wrap_text (const char *text);

/* Returns whether A and B contain the same bytes. */
bool fb_equal_str (fb_str_t a, fb_str_t b);

bool fb_has_prefix (fb_str_t str, fb_str_t prefix);

/* Copies STR into a new NUL-terminated string that the caller frees with g_free. */
char *fb_copy_text (fb_str_t str);

/* Stores STR in NAME; returns false and leaves NAME empty when STR is longer than FB_NAME_MAX.
 */
bool fb_set_name (fb_name_t *name, fb_str_t str);

/* Returns the NUL-terminated TEXT as a name, truncated to FB_NAME_MAX bytes. */
fb_name_t fb_make_name (const char *text);

/* Returns the bytes of NAME, borrowed. */
fb_str_t fb_get_name (const fb_name_t *name);

bool fb_equal_name (const fb_name_t *a, const fb_name_t *b);

/* Orders two names bytewise: below, at or above 0. */
int fb_compare_names (const fb_name_t *a, const fb_name_t *b);

/* Parses STR as a decimal number; returns false on any other character or on overflow. */
bool fb_parse_u64 (fb_str_t str, uint64_t *value);

#endif
