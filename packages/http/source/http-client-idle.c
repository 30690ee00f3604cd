/* How long the client keeps an idle connection. */
#include "http-client-state.h"
#include <string.h>

/* Shorter than the idle timeout of common servers, so that the client closes first. */
#define IDLE_TIMEOUT_MS 4000

/* Fraction of the server's announced idle timeout after which the client closes; the margin
 * keeps requests off a connection that the server is closing. */
#define KEEP_ALIVE_FRACTION 0.8

uint64_t
fh_parse_idle_timeout (const fh_response_t *response)
{
  fb_str_t value
      = fh_find_header (response->headers, response->header_count, FB_LITERAL ("keep-alive"));
  char *text = g_ascii_strdown (value.data ? value.data : "", (gssize)value.len);
  const char *parameter = strstr (text, "timeout=");
  uint64_t timeout_ms = IDLE_TIMEOUT_MS;

  if (parameter)
    timeout_ms = MIN (timeout_ms, (uint64_t)((double)g_ascii_strtoull (parameter + 8, NULL, 10)
                                             * 1000 * KEEP_ALIVE_FRACTION));
  g_free (text);
  return timeout_ms;
}
