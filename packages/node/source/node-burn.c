/* Counts callers' calls against the objectives of the configuration in force. */
#include "node-services.h"
#include <foxtailrun/report/burn.h>
#include <glib.h>

struct fn_burn
{
  fk_kernel_t *kernel;
  fs_burn_t *burn_counts;
  fc_snapshot_t *snapshot; /* source of the objectives; holds a reference */
};

/* Updates the objectives when another snapshot has come into force. */
static void
update_objectives (fn_burn_t *burn)
{
  fc_snapshot_t *snapshot = fn_get_snapshot (fk_find_service (burn->kernel, FN_DISTRIBUTION));

  if (snapshot == burn->snapshot)
    return;
  fs_set_objectives (burn->burn_counts, snapshot);
  fc_release_snapshot (burn->snapshot);
  burn->snapshot = snapshot ? fc_retain_snapshot (snapshot) : NULL;
}

/* Returns the cause under which ANSWER is counted. Status 500 or more is a failure even from
 * the backend server, since the caller was not served. */
static fs_cause_t
get_burn_cause (const fw_call_t *answer)
{
  switch (answer->outcome)
    {
    case FW_ANSWERED:
      return answer->status >= 500 ? FS_FAILED : FS_GOOD;
    case FW_NOT_RUN:
      return FS_REFUSED;
    case FW_FAILED:
      return FS_FAILED;
    case FW_UNKNOWN:
      break;
    }
  return FS_UNKNOWN;
}

/* Returns whether ANSWER is not counted, as independent of the service: 428 issues a ticket, a
 * step of every call that runs at most once; 422 rejects an invalid ticket; 499 follows a
 * caller's cancel. */
static bool
is_ignored (const fw_call_t *answer)
{
  return answer->outcome != FW_ANSWERED
         && (answer->status == 428 || answer->status == 422 || answer->status == 499);
}

void
fn_count_objective_call (fn_burn_t *burn, const fc_snapshot_t *snapshot,
                         const fc_route_t *route, const fw_call_t *answer, fb_time_t arrived_at)
{
  if (is_ignored (answer))
    return;
  update_objectives (burn);
  fs_count_call (
      burn->burn_counts, fb_get_name (&fc_get_service (snapshot, route->service)->name),
      fb_get_name (&fc_get_rank (snapshot, route->rank)->name), get_burn_cause (answer),
      fb_read_clock (fk_get_clock (burn->kernel)) - arrived_at);
}

void
fn_count_objective_refusal (fn_burn_t *burn, const fc_snapshot_t *snapshot,
                            const fc_route_t *route)
{
  fw_call_t refusal = { .outcome = FW_NOT_RUN };

  if (snapshot && route)
    fn_count_objective_call (burn, snapshot, route, &refusal,
                             fb_read_clock (fk_get_clock (burn->kernel)));
}

static json_t *
pack_window (const fs_objective_counts_t *objective_counts, fs_window_t window)
{
  const fs_counts_t *window_counts = &objective_counts->windows[window];
  json_t *object
      = json_pack ("{s:s,s:I,s:f}", "window", fs_describe_window (window), "reach_ms",
                   (json_int_t)(window_counts->reach_min / FB_MILLISECOND), "rate",
                   fs_compute_burn_rate (window_counts, objective_counts->objective.ratio));

  for (int cause = 0; cause < FS_CAUSE_COUNT; cause++)
    json_object_set_new (object, fs_describe_cause ((fs_cause_t)cause),
                         json_integer ((json_int_t)window_counts->calls[cause]));
  return object;
}

static json_t *
pack_objective (const fs_objective_counts_t *objective_counts)
{
  const fs_objective_t *objective = &objective_counts->objective;
  json_t *windows = json_array ();

  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    json_array_append_new (windows, pack_window (objective_counts, (fs_window_t)window));
  return json_pack ("{s:s,s:s,s:I,s:f,s:s,s:f,s:o}", "service", objective->service.data, "rank",
                    objective->rank.data, "target_ms", (json_int_t)objective->target_ms,
                    "ratio", objective->ratio, "alert",
                    fs_describe_alert (fs_evaluate_alert (objective_counts)), "budget",
                    fs_compute_budget_left (objective_counts), "windows", windows);
}

json_t *
fn_describe_burn (fn_burn_t *burn)
{
  const fc_settings_t *settings = fn_get_settings (burn->kernel);
  json_t *list = json_array ();
  fs_objective_counts_t objective_counts;

  update_objectives (burn);
  for (size_t i = 0; fs_get_objective_counts (burn->burn_counts, i, &objective_counts); i++)
    json_array_append_new (list, pack_objective (&objective_counts));
  return json_pack ("{s:s,s:s,s:o}", "id", settings->id.data, "zone", settings->zone.data,
                    "objectives", list);
}

static void
destroy_burn (void *data)
{
  fn_burn_t *burn = data;

  fs_destroy_burn (burn->burn_counts);
  fc_release_snapshot (burn->snapshot);
  g_free (burn);
}

void
fn_register_burn (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { .destroy = destroy_burn };
  fn_burn_t *burn = g_new0 (fn_burn_t, 1);

  burn->kernel = kernel;
  burn->burn_counts = fs_create_burn (fk_get_clock (kernel));
  fk_register_service (kernel, FN_BURN, &vtable, burn);
}
