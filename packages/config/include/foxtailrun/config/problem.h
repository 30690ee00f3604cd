/* Problems of a configuration document or settings file. */
#ifndef FOXTAILRUN_CONFIG_PROBLEM_H
#define FOXTAILRUN_CONFIG_PROBLEM_H

#include <stddef.h>
#include <stdint.h>

/* One problem; strings are owned by the list. */
typedef struct
{
  uint32_t line;       /* from 1; 0 when the problem has no line */
  const char *key;     /* such as "route[2].service" */
  const char *found;   /* value or element found at KEY */
  const char *allowed; /* description of the allowed values */
} fc_problem_t;

typedef struct fc_problems fc_problems_t;

/* Creates an empty list; destroy with fc_destroy_problems. */
fc_problems_t *fc_create_problems (void);

/* Frees the list; NULL is allowed. */
void fc_destroy_problems (fc_problems_t *problems);

/* Adds a problem; strings are copied, with "?" for control characters. After 1,000 problems
 * one more states that the list is truncated; others are discarded. */
void fc_add_problem (fc_problems_t *problems, uint32_t line, const char *key, const char *found,
                     const char *allowed);

/* Returns the number of problems. */
size_t fc_count_problems (const fc_problems_t *problems);

/* Returns problem INDEX in order of line, owned by the list; NULL when out of range. */
const fc_problem_t *fc_get_problem (const fc_problems_t *problems, size_t index);

/* Returns "FILE:LINE: KEY: found FOUND, allowed: ALLOWED", without LINE if 0; free with
 * g_free. */
char *fc_format_problem (const fc_problem_t *problem, const char *file);

#endif
