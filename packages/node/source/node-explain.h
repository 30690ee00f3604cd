/* Explanation of where a request would go. */
#ifndef FOXTAILRUN_NODE_EXPLAIN_H
#define FOXTAILRUN_NODE_EXPLAIN_H

#include "node-services.h"
#include <jansson.h>

/* Explains the request that QUERY, "method=M&path=P" with escapes, describes. Returns a new
 * object; *STATUS becomes 400 when QUERY does not describe a request. */
json_t *fn_explain_request (fk_kernel_t *kernel, fb_str_t query, uint32_t *status);

#endif
