/* Comparison of decoded values, for the targets that decode messages. Comparing encodings does
 * not suffice: an encoder that writes one field in place of another does so both times. */
#ifndef FOXTAILRUN_FUZZ_FUZZ_WIRE_H
#define FOXTAILRUN_FUZZ_FUZZ_WIRE_H

#include "fuzz.h"
#include <foxtailrun/base/version.h>
#include <foxtailrun/wire/member.h>

/* Aborts unless A and B are equal in every field. */
static inline void
fuzz_check_equal_member (const fw_member_t *a, const fw_member_t *b)
{
  FUZZ_CHECK (fb_equal_name (&a->id, &b->id));
  FUZZ_CHECK (a->incarnation == b->incarnation);
  FUZZ_CHECK (a->state == b->state);
  FUZZ_CHECK (fb_equal_name (&a->address, &b->address));
  FUZZ_CHECK (a->control_port == b->control_port);
  FUZZ_CHECK (a->call_port == b->call_port);
  FUZZ_CHECK (a->admin_port == b->admin_port);
  FUZZ_CHECK (fb_equal_name (&a->zone, &b->zone));
  FUZZ_CHECK (fb_equal_name (&a->region, &b->region));
  FUZZ_CHECK (fb_equal_name (&a->service, &b->service));
}

/* Aborts unless A and B are equal. */
static inline void
fuzz_check_equal_version (const fb_version_t *a, const fb_version_t *b)
{
  FUZZ_CHECK (fb_compare_versions (a, b) == 0);
}

#endif
