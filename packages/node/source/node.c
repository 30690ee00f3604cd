/* Settings service, and registration of all services of a node. */
#include "node-services.h"
#include <foxtailrun/node/node.h>
#include <glib.h>
#include <sodium.h>

typedef struct
{
  fc_settings_t settings;
  fn_adapter_t adapter;
  uint64_t start_id;
} settings_service_t;

const fc_settings_t *
fn_get_settings (fk_kernel_t *kernel)
{
  return &((settings_service_t *)fk_find_service (kernel, FN_SETTINGS))->settings;
}

uint64_t
fn_get_start_id (fk_kernel_t *kernel)
{
  return ((settings_service_t *)fk_find_service (kernel, FN_SETTINGS))->start_id;
}

const fn_adapter_t *
fn_get_adapter (fk_kernel_t *kernel)
{
  return &((settings_service_t *)fk_find_service (kernel, FN_SETTINGS))->adapter;
}

void
fn_register_settings (fk_kernel_t *kernel, const fc_settings_t *settings,
                      const fn_adapter_t *adapter)
{
  static const fk_service_t vtable = { .destroy = g_free };
  settings_service_t *service = g_new0 (settings_service_t, 1);

  service->settings = *settings;
  service->adapter = *adapter;
  randombytes_buf (&service->start_id, sizeof service->start_id);
  fb_set_account_budget (fk_get_account (kernel), settings->memory_budget);
  fk_register_service (kernel, FN_SETTINGS, &vtable, service);
}

void
fn_register_node (fk_kernel_t *kernel, const fc_settings_t *settings,
                  const fn_adapter_t *adapter)
{
  static const fn_adapter_t default_adapter
      = { .dialect = &fn_default_dialect, .register_source = fn_register_source };

  if (!adapter)
    adapter = &default_adapter;
  fn_register_settings (kernel, settings, adapter);
  fn_register_membership (kernel);
  fn_register_directory (kernel);
  adapter->register_source (kernel, adapter->user);
  fn_register_distribution (kernel);
  fn_register_quarantine (kernel);
  fn_register_backend (kernel);
  fn_register_calls (kernel);
  fn_register_burn (kernel);
  fn_register_entry (kernel);
  fn_register_admin (kernel);
  fn_register_ready (kernel);
  fn_register_drain (kernel);
}
