/* The node: all services of the daemon on one kernel. */
#ifndef FOXTAILRUN_NODE_NODE_H
#define FOXTAILRUN_NODE_NODE_H

#include <foxtailrun/config/settings.h>
#include <foxtailrun/kernel/kernel.h>
#include <foxtailrun/node/adapter.h>

/* Registers all services of a node on KERNEL; start them with fk_start_services. SETTINGS and
 * ADAPTER are copied; ADAPTER NULL: the built-in one, for Consul. */
void fn_register_node (fk_kernel_t *kernel, const fc_settings_t *settings,
                       const fn_adapter_t *adapter);

/* Starts a graceful shutdown that ends with fk_quit; later calls have no effect. */
void fn_begin_drain (fk_kernel_t *kernel);

#endif
