/* Backend service: how the configuration sets up admission. */
#include "node-backend.h"
#include <foxtailrun/call/nested.h>

/* What the routes of one rank to the local service have in common. */
typedef struct
{
  bool accepts_late; /* a route has time for late answers */
  bool needs_prompt; /* a route has less time than that; routes whose timeout does not exceed
                        their target are ignored */
} rank_routes_t;

static bool
leads_to_service (const fc_route_t *route, uint32_t service)
{
  if (route->part_count == 0)
    return route->service == service;
  for (size_t i = 0; i < route->part_count; i++)
    if (route->parts[i].service == service)
      return true;
  return false;
}

static void
find_rank_routes (const fc_snapshot_t *snapshot, uint32_t service,
                  rank_routes_t rank_routes[FC_RANKS_MAX])
{
  for (size_t i = 0; i < fc_count_routes (snapshot); i++)
    {
      const fc_route_t *route = fc_get_route (snapshot, i);
      uint32_t target_ms = route->target_ms > 0
                               ? route->target_ms
                               : fc_get_rank (snapshot, route->rank)->target_ms;

      if (!leads_to_service (route, service))
        continue;
      if (fr_accepts_late_answers (route->timeout_ms, target_ms))
        rank_routes[route->rank].accepts_late = true;
      else if (route->timeout_ms > target_ms)
        rank_routes[route->rank].needs_prompt = true;
    }
}

void
fn_configure_backend_admission (fn_backend_t *backend, fc_snapshot_t *snapshot)
{
  fr_rank_options_t rank_options[FC_RANKS_MAX];
  rank_routes_t rank_routes[FC_RANKS_MAX] = { 0 };
  const fc_settings_t *settings = fn_get_settings (backend->kernel);
  uint32_t service_index;
  const fc_service_t *service
      = fc_find_service (snapshot, fb_get_name (&settings->service), &service_index);
  size_t count = fc_count_ranks (snapshot);

  if (!service || backend->admission_snapshot == snapshot)
    return;
  fc_release_snapshot (backend->admission_snapshot);
  backend->admission_snapshot = fc_retain_snapshot (snapshot);
  find_rank_routes (snapshot, service_index, rank_routes);
  for (size_t i = 0; i < count; i++)
    {
      const fc_rank_t *rank = fc_get_rank (snapshot, i);
      bool accepts_late = rank_routes[i].accepts_late && !rank_routes[i].needs_prompt;

      rank_options[i] = (fr_rank_options_t){
        .share = rank->share,
        .latency_target = rank->target_ms * FB_MILLISECOND,
        .can_wait = accepts_late,
        .plans_for_spread = accepts_late,
      };
    }
  fr_configure_admission (backend->admission,
                          backend->local.slots > 0 ? backend->local.slots : service->slots,
                          rank_options, count);
}
