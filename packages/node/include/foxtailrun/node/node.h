/* The node: all services of the daemon on one kernel. */
#ifndef FOXTAILRUN_NODE_NODE_H
#define FOXTAILRUN_NODE_NODE_H

#include <foxtailrun/config/settings.h>
#include <foxtailrun/kernel/kernel.h>
#include <foxtailrun/node/adapter.h>

/* Registers all services of a node on KERNEL; SETTINGS and ADAPTER are copied, NULL stands for
 * the product's own interface. Start them by fk_start_services. */
void fn_register_node (fk_kernel_t *kernel, const fc_settings_t *settings,
                       const fn_adapter_t *adapter);

/* Starts a graceful shutdown that ends by fk_quit; further calls do nothing. */
void fn_begin_drain (fk_kernel_t *kernel);

#endif
