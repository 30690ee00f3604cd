/* Monotonic clocks. The daemon uses the event loop's time, tests use a manual clock. */
#ifndef FOXTAILRUN_BASE_CLOCK_H
#define FOXTAILRUN_BASE_CLOCK_H

#include <stdint.h>

/* A point in time or a duration, in nanoseconds. */
typedef int64_t fb_time_t;

#define FB_MICROSECOND ((fb_time_t)1000)
#define FB_MILLISECOND ((fb_time_t)1000000)
#define FB_SECOND ((fb_time_t)1000000000)

typedef struct fb_clock fb_clock_t;

/* Returns the current time in nanoseconds; must not decrease between calls. */
typedef fb_time_t (*fb_read_clock_fn_t) (void *user);

/* Creates a clock that calls READ with USER; destroy with fb_destroy_clock. */
fb_clock_t *fb_create_clock (fb_read_clock_fn_t read, void *user);

/* Creates a clock that reads the operating system's monotonic time. */
fb_clock_t *fb_create_system_clock (void);

/* Creates a clock that stays at START ns until fb_advance_clock is called. */
fb_clock_t *fb_create_manual_clock (fb_time_t start);

/* Advances a manual clock by DURATION ns, which must not be negative. */
void fb_advance_clock (fb_clock_t *clock, fb_time_t duration);

/* Returns the current time in nanoseconds. */
fb_time_t fb_read_clock (const fb_clock_t *clock);

/* Frees CLOCK; NULL is allowed. */
void fb_destroy_clock (fb_clock_t *clock);

#endif
