/* Parts shared by HTTP requests and responses. */
#ifndef FOXTAILRUN_HTTP_MESSAGE_H
#define FOXTAILRUN_HTTP_MESSAGE_H

#include <foxtailrun/base/string.h>

/* Most headers in a message; further ones make it invalid. */
#define FH_HEADERS_MAX 64

/* One header; names are in lower case. */
typedef struct
{
  fb_str_t name;
  fb_str_t value;
} fh_header_t;

/* Returns the value of header NAME in HEADERS, or an empty string with data NULL. */
fb_str_t fh_find_header (const fh_header_t *headers, size_t count, fb_str_t name);

/* Returns whether header NAME concerns one connection only and must not be forwarded. */
bool fh_is_hop_header (fb_str_t name);

#endif
