/* Backend service: refuses calls while the zone of this node is evacuated. Entry nodes pick no
 * instance of the zone; this holds for those that don't know of the evacuation yet. */
#include "node-backend.h"

bool
fn_is_evacuated (const fn_backend_t *backend)
{
  return fn_is_zone_evacuated (fk_find_service (backend->kernel, FN_DIRECTORY),
                               &fn_get_settings (backend->kernel)->zone);
}

static void
handle_evacuation (const fb_name_t *zone, bool evacuated, void *user)
{
  fn_backend_t *backend = user;

  if (!fb_equal_name (zone, &fn_get_settings (backend->kernel)->zone))
    return;
  fn_suspend_health_checks (backend->kernel, evacuated);
  if (!evacuated)
    {
      FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_BACKEND,
              "taking calls: the evacuation of the zone has ended",
              FB_TEXT ("instance", backend->local.instance.data));
      fn_begin_ramp (backend, FR_PACE_EVACUATION);
      fn_assume_cold_backend (backend->kernel, "evacuation of the zone has ended");
      return;
    }
  FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_BACKEND,
          "refusing calls: the zone is evacuated",
          FB_TEXT ("instance", backend->local.instance.data),
          FB_NUMBER ("started", fr_count_started (backend->admission)),
          FB_NUMBER ("waiting", fr_count_waiting (backend->admission)));
  fn_refuse_waiting_calls (backend);
}

void
fn_watch_own_zone (fn_backend_t *backend)
{
  fn_watch_evacuations (fk_find_service (backend->kernel, FN_DIRECTORY), handle_evacuation,
                        backend);
}
