/* Headers of HTTP requests and responses. */
#ifndef FOXTAILRUN_HTTP_MESSAGE_H
#define FOXTAILRUN_HTTP_MESSAGE_H

#include <foxtailrun/base/string.h>

/* Maximum headers of a message; one with more is rejected. */
#define FH_HEADERS_MAX 64

/* One header; the name is in lower case. */
typedef struct
{
  fb_str_t name;
  fb_str_t value;
} fh_header_t;

/* Returns the first header NAME's value, or an empty string with NULL data. */
fb_str_t fh_find_header (const fh_header_t *headers, size_t count, fb_str_t name);

/* Returns whether TEXT is a token (RFC 9110, section 5.6.2), as methods and header names are.
 */
bool fh_is_token (fb_str_t text);

/* Returns whether BYTE may stand in a header value (RFC 9110, section 5.5). */
bool fh_is_value_byte (uint8_t byte);

/* Returns whether header NAME must not be forwarded: hop-by-hop or generated per connection
 * (such as host and content-length). */
bool fh_is_hop_header (fb_str_t name);

#endif
