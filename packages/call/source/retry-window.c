/* Two counts over a sliding window. */
#include "retry-window.h"

const fr_window_count_t *
fr_move_window (fr_window_t *window, fb_time_t now)
{
  int64_t part = now / (FR_WINDOW / FR_WINDOW_PARTS);

  if (part - window->part >= FR_WINDOW_PARTS)
    window->part = part - FR_WINDOW_PARTS;
  while (window->part < part)
    {
      fr_window_count_t *oldest = &window->parts[++window->part % FR_WINDOW_PARTS];

      window->sum.offered -= oldest->offered;
      window->sum.taken -= oldest->taken;
      *oldest = (fr_window_count_t){ 0, 0 };
    }
  return &window->sum;
}

void
fr_add_window (fr_window_t *window, fb_time_t now, uint64_t offered, uint64_t taken)
{
  fr_window_count_t *part;

  fr_move_window (window, now);
  part = &window->parts[window->part % FR_WINDOW_PARTS];
  part->offered += offered;
  part->taken += taken;
  window->sum.offered += offered;
  window->sum.taken += taken;
}

fr_window_t *
fr_find_window (GHashTable *windows, const char *key)
{
  fr_window_t *window = g_hash_table_lookup (windows, key);

  if (window == NULL)
    {
      window = g_new0 (fr_window_t, 1);
      g_hash_table_insert (windows, g_strdup (key), window);
    }
  return window;
}
