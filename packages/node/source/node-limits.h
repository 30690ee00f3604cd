/* Limits of the process's memory and descriptors. */
#ifndef FOXTAILRUN_NODE_LIMITS_H
#define FOXTAILRUN_NODE_LIMITS_H

#include <foxtailrun/http/server.h>

/* Whose connections a server accepts. */
typedef enum
{
  FN_SHARE_CALLERS,
  FN_SHARE_NODES,
  FN_SHARE_ADMIN,
  FN_SHARE_READY
} fn_share_t;

/* Sets the limits of SERVER's connections from the settings. */
void fn_limit_server (fk_kernel_t *kernel, fh_server_t *server, fn_share_t share);

/* Sets the metrics of the account of memory. */
void fn_update_memory_metrics (fk_kernel_t *kernel);

#endif
