#include <foxtailrun/base/status.h>

const char *
fb_describe_status (fb_status_t status)
{
  switch (status)
    {
    case FB_OK:
      return "ok";
    case FB_INVALID:
      return "invalid";
    case FB_NOT_FOUND:
      return "not-found";
    case FB_CONFLICT:
      return "conflict";
    case FB_TOO_LARGE:
      return "too-large";
    case FB_UNAVAILABLE:
      return "unavailable";
    case FB_TIMEOUT:
      return "timeout";
    case FB_IO:
      return "io";
    }
  return "unknown";
}
