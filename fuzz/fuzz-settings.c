/* Fuzz target: the check of a settings file. */
#include "fuzz.h"
#include <foxtailrun/config/settings.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static fc_settings_t settings;
  fc_problems_t *problems = fc_create_problems ();
  fb_status_t status = fc_check_settings ((fb_bytes_t){ data, size }, &settings, problems);

  FUZZ_CHECK ((status == FB_OK) == (fc_count_problems (problems) == 0));
  if (status == FB_OK)
    {
      FUZZ_CHECK (settings.seed_count <= FC_SEEDS_MAX);
      FUZZ_CHECK (settings.id.len > 0);
    }
  fc_destroy_problems (problems);
  return 0;
}
