/* Positions in the change log of a store. */
#include <foxtailrun/base/position.h>

static int
compare_numbers (uint64_t a, uint64_t b)
{
  return a < b ? -1 : a > b;
}

int
fb_compare_positions (fb_position_t a, fb_position_t b)
{
  int order = compare_numbers (a.era, b.era);

  return order != 0 ? order : compare_numbers (a.revision, b.revision);
}

fb_position_t
fb_get_later_position (fb_position_t a, fb_position_t b)
{
  return fb_compare_positions (a, b) > 0 ? a : b;
}

fb_position_t
fb_get_earlier_position (fb_position_t a, fb_position_t b)
{
  return fb_compare_positions (a, b) < 0 ? a : b;
}
