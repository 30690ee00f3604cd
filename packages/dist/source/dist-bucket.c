#include "dist-bucket.h"

fd_bucket_t
fd_make_bucket (double rate, double burst, fb_time_t now)
{
  return (fd_bucket_t){ rate, burst, burst, now };
}

bool
fd_has_token (fd_bucket_t *bucket, fb_time_t now)
{
  double earned = (double)(now - bucket->updated_at) / (double)FB_SECOND * bucket->rate;

  bucket->tokens += earned;
  if (bucket->tokens > bucket->burst)
    bucket->tokens = bucket->burst;
  bucket->updated_at = now;
  return bucket->tokens >= 1;
}

bool
fd_consume_token (fd_bucket_t *bucket, fb_time_t now)
{
  if (!fd_has_token (bucket, now))
    return false;
  bucket->tokens -= 1;
  return true;
}
