/* Dialect of the built-in adapter. */
#include "node-services.h"

const fn_dialect_t fn_default_dialect = {
  .request_id = { "foxtailrun-request-id", 21 },
  .timeout_ms = { "foxtailrun-timeout-ms", 21 },
  .outcome = { "foxtailrun-outcome", 18 },
  .customer = { "foxtailrun-customer", 19 },
  .rate_limit = { "foxtailrun-rate-limit", 21 },
  .warmup_ms = { "foxtailrun-warmup-ms", 20 },
  .echoes_request_id = true,
  .resolves_paths = true,
};
