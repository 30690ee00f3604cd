#include <foxtailrun/base/invariant.h>
#include <stdio.h>
#include <stdlib.h>

void
fb_fail_invariant (const char *expression, const char *file, int line)
{
  fprintf (stderr, "level=error msg=\"broken invariant\" expression=\"%s\" at=%s:%d\n",
           expression, file, line);
  abort ();
}
