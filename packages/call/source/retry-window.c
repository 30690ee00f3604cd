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
  if (window->sum.offered == 0)
    window->apart = false;
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

void
fr_subtract_window (fr_window_t *whole, const fr_window_t *part)
{
  for (size_t i = 0; i < FR_WINDOW_PARTS; i++)
    {
      whole->parts[i].offered -= part->parts[i].offered;
      whole->parts[i].taken -= part->parts[i].taken;
    }
  whole->sum.offered -= part->sum.offered;
  whole->sum.taken -= part->sum.taken;
}

void
fr_init_windows (fr_windows_t *windows)
{
  windows->table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  windows->last_sweep = 0;
}

void
fr_clear_windows (fr_windows_t *windows)
{
  g_hash_table_destroy (windows->table);
}

static gboolean
is_window_empty (void *key, void *value, void *user)
{
  return fr_move_window (value, *(const fb_time_t *)user)->offered == 0
         && ((fr_window_t *)value)->sum.taken == 0;
}

fr_window_t *
fr_find_window (fr_windows_t *windows, const char *key, fb_time_t now)
{
  fr_window_t *window;

  if (now - windows->last_sweep >= FR_WINDOW)
    {
      windows->last_sweep = now;
      g_hash_table_foreach_remove (windows->table, is_window_empty, &now);
    }
  window = g_hash_table_lookup (windows->table, key);
  if (window == NULL)
    {
      window = g_new0 (fr_window_t, 1);
      g_hash_table_insert (windows->table, g_strdup (key), window);
    }
  return window;
}

size_t
fr_count_windows (const fr_windows_t *windows)
{
  return g_hash_table_size (windows->table);
}
