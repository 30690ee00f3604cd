/* Fuzz target: the check of a configuration document. */
#include "fuzz.h"
#include <foxtailrun/config/snapshot.h>
#include <string.h>

/* Checks that every reference of an accepted document resolves to one of its elements. */
static void
check_references (const fc_snapshot_t *snapshot)
{
  for (size_t i = 0; i < fc_count_services (snapshot); i++)
    {
      const fc_service_t *service = fc_get_service (snapshot, i);

      for (size_t j = 0; j < service->depends_count; j++)
        FUZZ_CHECK (service->depends_on[j] < fc_count_services (snapshot));
    }
  for (size_t i = 0; i < fc_count_routes (snapshot); i++)
    {
      const fc_route_t *route = fc_get_route (snapshot, i);
      fb_str_t method = FB_LITERAL ("GET");

      FUZZ_CHECK (route->service < fc_count_services (snapshot));
      FUZZ_CHECK (route->rank < fc_count_ranks (snapshot));
      FUZZ_CHECK (route->path.len > 0 && route->path.data[0] == '/');
      if (route->methods.len == 0)
        FUZZ_CHECK (fc_find_route (snapshot, route->host, method, route->path) != NULL);
    }
  for (size_t i = 0; i < fc_count_objectives (snapshot); i++)
    {
      const fc_objective_t *objective = fc_get_objective (snapshot, i);

      FUZZ_CHECK (objective->service < fc_count_services (snapshot));
      FUZZ_CHECK (objective->rank < fc_count_ranks (snapshot));
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fc_problems_t *problems = fc_create_problems ();
  fc_snapshot_t *snapshot = fc_check_document ((fb_bytes_t){ data, size }, problems);
  fb_bytes_t document;

  FUZZ_CHECK ((snapshot == NULL) == (fc_count_problems (problems) > 0));
  if (snapshot)
    {
      document = fc_get_document (snapshot);
      FUZZ_CHECK (document.len == size && memcmp (document.data, data, size) == 0);
      FUZZ_CHECK (fc_get_version_number (snapshot) >= 1);
      check_references (snapshot);
    }
  fc_release_snapshot (snapshot);
  fc_destroy_problems (problems);
  return 0;
}
