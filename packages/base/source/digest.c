#include <foxtailrun/base/digest.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

fb_digest_t
fb_compute_digest (fb_bytes_t bytes)
{
  fb_digest_t digest;

  crypto_generichash (digest.bytes, sizeof digest.bytes, bytes.data, bytes.len, NULL, 0);
  return digest;
}

int
fb_compare_digests (const fb_digest_t *a, const fb_digest_t *b)
{
  return memcmp (a->bytes, b->bytes, FB_DIGEST_LEN);
}

void
fb_format_digest (const fb_digest_t *digest, char text[FB_DIGEST_HEX_LEN + 1])
{
  sodium_bin2hex (text, FB_DIGEST_HEX_LEN + 1, digest->bytes, FB_DIGEST_LEN);
}

uint64_t
fb_hash_str (fb_str_t str, uint64_t seed)
{
  return XXH64 (str.data, str.len, seed);
}

uint64_t
fb_get_rendezvous_weight (fb_str_t key, fb_str_t name)
{
  return XXH64 (name.data, name.len, XXH64 (key.data, key.len, 0));
}

unsigned int
fb_hash_name_key (const void *name)
{
  return (unsigned int)fb_hash_str (fb_get_name (name), 0);
}

int
fb_equal_name_keys (const void *a, const void *b)
{
  return fb_equal_name (a, b);
}
