/* Token bucket: a mean rate with a bounded burst. */
#ifndef FOXTAILRUN_DIST_BUCKET_H
#define FOXTAILRUN_DIST_BUCKET_H

#include <foxtailrun/base/clock.h>
#include <stdbool.h>

typedef struct
{
  double rate; /* tokens a second */
  double burst;
  double tokens;
  fb_time_t updated_at;
} fd_bucket_t;

/* Returns a full bucket. */
fd_bucket_t fd_make_bucket (double rate, double burst, fb_time_t now);

/* Returns whether a token is available at NOW, without consuming it. */
bool fd_has_token (fd_bucket_t *bucket, fb_time_t now);

/* Consumes one token; returns false when none is available. */
bool fd_consume_token (fd_bucket_t *bucket, fb_time_t now);

#endif
