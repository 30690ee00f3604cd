/* Token bucket: a mean rate with a bounded burst. */
#ifndef FOXTAILRUN_DIST_BUCKET_H
#define FOXTAILRUN_DIST_BUCKET_H

#include <foxtailrun/base/clock.h>
#include <stdbool.h>

typedef struct
{
  double rate;  /* tokens a second */
  double burst; /* most tokens held */
  double tokens;
  fb_time_t filled_at;
} fd_bucket_t;

/* Returns a full bucket. */
fd_bucket_t fd_make_bucket (double rate, double burst, fb_time_t now);

/* Returns whether a token is there at NOW, without taking it. */
bool fd_has_token (fd_bucket_t *bucket, fb_time_t now);

/* Takes one token; returns false when there is none. */
bool fd_take_token (fd_bucket_t *bucket, fb_time_t now);

#endif
