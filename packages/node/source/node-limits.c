/* Limits of the process's memory and descriptors: from the settings to the servers. */
#include "node-limits.h"
#include "node-services.h"
#include <sys/resource.h>

/* Parts of the descriptors for the connections of each kind, in 32nds. The rest is for files,
 * the store, the control protocol, and connections to other nodes and to the backend server. */
static const size_t shares[] = {
  [FN_SHARE_CALLERS] = 12,
  [FN_SHARE_NODES] = 8,
  [FN_SHARE_ADMIN] = 1,
  [FN_SHARE_READY] = 1,
};

/* Returns how many descriptors connections may use. */
static size_t
count_descriptors (const fc_settings_t *settings)
{
  struct rlimit limit;

  if (settings->descriptors > 0)
    return settings->descriptors;
  return getrlimit (RLIMIT_NOFILE, &limit) == 0 ? (size_t)limit.rlim_cur : 1024;
}

void
fn_limit_server (fk_kernel_t *kernel, fh_server_t *server, fn_share_t share)
{
  const fc_settings_t *settings = fn_get_settings (kernel);
  fh_timeouts_t timeouts = { settings->header_timeout, settings->body_window,
                             settings->response_window, settings->progress_bytes };

  fh_set_connections_max (server, MAX (count_descriptors (settings) / 32 * shares[share], 2));
  fh_set_timeouts (server, &timeouts);
  if (share == FN_SHARE_ADMIN || share == FN_SHARE_READY)
    fh_set_admin (server);
}

void
fn_update_memory_metrics (fk_kernel_t *kernel)
{
  fb_account_t *account = fk_get_account (kernel);
  fb_counters_t *counters = fk_get_counters (kernel);

  for (int kind = 0; kind < FB_HELD_KINDS; kind++)
    {
      const char *name = fb_describe_held_kind ((fb_held_kind_t)kind);
      char *labels = g_strdup_printf ("kind=\"%s\"", name);

      fb_set_counter (fb_find_counter (counters, "memory_held_bytes", labels),
                      fb_get_held (account, (fb_held_kind_t)kind));
      g_free (labels);
    }
  fb_set_counter (fb_find_counter (counters, "memory_budget_bytes", ""),
                  fb_get_account_budget (account));
  fb_set_counter (fb_find_counter (counters, "memory_paused", ""),
                  fb_get_paused_count (account));
  fb_set_counter (fb_find_counter (counters, "memory_closed", ""),
                  fb_get_closed_count (account));
}
