/* Check and input helpers of the fuzz targets. */
#ifndef FOXTAILRUN_FUZZ_FUZZ_H
#define FOXTAILRUN_FUZZ_FUZZ_H

#include <foxtailrun/base/string.h>
#include <stdio.h>
#include <stdlib.h>

/* Aborts if CONDITION, which must hold for every input, does not hold. */
#define FUZZ_CHECK(condition)                                                                  \
  do                                                                                           \
    {                                                                                          \
      if (!(condition))                                                                        \
        {                                                                                      \
          (void)fprintf (stderr, "%s:%d: property does not hold: %s\n", __FILE__, __LINE__,    \
                         #condition);                                                          \
          abort ();                                                                            \
        }                                                                                      \
    }                                                                                          \
  while (0)

/* Runs one input; returns 0. Called by libFuzzer or by replay.c. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Splits an input in two: a length of two bytes, most significant first, and that many bytes
 * (or fewer, if the input is shorter) go to HEAD, the rest to TAIL. Both borrow DATA. */
static inline void
fuzz_split_input (const uint8_t *data, size_t size, fb_bytes_t *head, fb_bytes_t *tail)
{
  size_t start = size < 2 ? size : 2;
  size_t length = size < 2 ? 0 : ((size_t)data[0] << 8) + data[1];

  if (length > size - start)
    length = size - start;
  *head = (fb_bytes_t){ data + start, length };
  *tail = (fb_bytes_t){ data + start + length, size - start - length };
}

#endif
