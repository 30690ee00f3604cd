/* Checks of invariants; a violation aborts the process. */
#ifndef FOXTAILRUN_BASE_INVARIANT_H
#define FOXTAILRUN_BASE_INVARIANT_H

#include <stdbool.h>

/* Reports the violated invariant on standard error and aborts. */
void fb_fail_invariant (const char *expression, const char *file, int line)
    __attribute__ ((noreturn));

/* Aborts the process when CONDITION is false; for programming errors only, not for invalid
 * input. */
#define FB_INVARIANT(condition)                                                                \
  do                                                                                           \
    {                                                                                          \
      if (!(condition))                                                                        \
        fb_fail_invariant (#condition, __FILE__, __LINE__);                                    \
    }                                                                                          \
  while (false)

#endif
