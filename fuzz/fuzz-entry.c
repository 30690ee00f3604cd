/* Fuzz target: entries of instances in the platform's store, which others may write too. */
#include "fuzz.h"
#include "platform-internal.h"
#include <foxtailrun/config/snapshot.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fp_entry_t entry;

  if (fp_parse_entry ((fb_bytes_t){ data, size }, &entry) != FB_OK)
    return 0;
  FUZZ_CHECK (entry.service.len > 0 && entry.zone.len > 0 && entry.address.address.len > 0);
  FUZZ_CHECK (entry.slots >= 1 && entry.slots <= FC_SLOTS_MAX);
  FUZZ_CHECK (entry.started_at_ms <= INT64_MAX);
  return 0;
}
