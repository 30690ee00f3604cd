/* Outcomes of operations, as values. */
#ifndef FOXTAILRUN_BASE_STATUS_H
#define FOXTAILRUN_BASE_STATUS_H

/* Outcome of an operation; every function that can fail returns one. */
typedef enum
{
  FB_OK,          /* done */
  FB_INVALID,     /* the input is malformed or out of range */
  FB_NOT_FOUND,   /* the named object does not exist */
  FB_CONFLICT,    /* contradicts existing data */
  FB_TOO_LARGE,   /* over a documented limit */
  FB_UNAVAILABLE, /* not possible now; may succeed later */
  FB_TIMEOUT,     /* not done before the deadline */
  FB_IO           /* the operating system or a library reported an error */
} fb_status_t;

/* Returns the static, lower-case name of STATUS, such as "not-found". */
const char *fb_describe_status (fb_status_t status);

#endif
