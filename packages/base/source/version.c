#include <foxtailrun/base/version.h>
#include <inttypes.h>
#include <stdio.h>

static int
compare_numbers (uint64_t a, uint64_t b)
{
  return a < b ? -1 : a > b;
}

int
fb_compare_versions (const fb_version_t *a, const fb_version_t *b)
{
  int order = compare_numbers (a->number, b->number);

  if (order == 0)
    order = compare_numbers (a->revision, b->revision);
  if (order == 0)
    order = fb_compare_digests (&a->digest, &b->digest);
  return order;
}

void
fb_format_version (const fb_version_t *version, char *text, size_t size)
{
  char digest[FB_DIGEST_HEX_LEN + 1];

  fb_format_digest (&version->digest, digest);
  snprintf (text, size, "%" PRIu64 "@%" PRIu64 "-%.12s", version->number, version->revision,
            digest);
}
