/* The route of a request and the instances that it may be sent to. */
#ifndef FOXTAILRUN_NODE_EXPLAIN_H
#define FOXTAILRUN_NODE_EXPLAIN_H

#include "node-services.h"
#include <jansson.h>

/* Describes where a request would be sent. QUERY is "method=M&path=P", percent-encoded, with
 * optional "&host=H". Returns a new object; *STATUS is set to 400 if QUERY is invalid. */
json_t *fn_explain_request (fk_kernel_t *kernel, fb_str_t query, uint32_t *status);

#endif
