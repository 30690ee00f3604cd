/* Sliding windows with two counts. */
#include "retry-window.h"

const fr_window_count_t *
fr_advance_window (fr_window_t *window, fb_time_t now)
{
  int64_t bucket_number = now / (FR_WINDOW_LENGTH / FR_WINDOW_BUCKETS);

  if (bucket_number - window->bucket_number >= FR_WINDOW_BUCKETS)
    window->bucket_number = bucket_number - FR_WINDOW_BUCKETS;
  while (window->bucket_number < bucket_number)
    {
      fr_window_count_t *oldest = &window->buckets[++window->bucket_number % FR_WINDOW_BUCKETS];

      window->sum.calls -= oldest->calls;
      window->sum.granted -= oldest->granted;
      *oldest = (fr_window_count_t){ 0, 0 };
    }
  if (window->sum.calls == 0)
    window->counted_separately = false;
  return &window->sum;
}

void
fr_add_to_window (fr_window_t *window, fb_time_t now, uint64_t calls, uint64_t granted)
{
  fr_window_count_t *bucket;

  fr_advance_window (window, now);
  bucket = &window->buckets[window->bucket_number % FR_WINDOW_BUCKETS];
  bucket->calls += calls;
  bucket->granted += granted;
  window->sum.calls += calls;
  window->sum.granted += granted;
}

void
fr_subtract_window (fr_window_t *total, const fr_window_t *window)
{
  for (size_t i = 0; i < FR_WINDOW_BUCKETS; i++)
    {
      total->buckets[i].calls -= window->buckets[i].calls;
      total->buckets[i].granted -= window->buckets[i].granted;
    }
  total->sum.calls -= window->sum.calls;
  total->sum.granted -= window->sum.granted;
}

void
fr_init_windows (fr_windows_t *windows)
{
  windows->table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  windows->last_sweep_at = 0;
}

void
fr_clear_windows (fr_windows_t *windows)
{
  g_hash_table_destroy (windows->table);
}

static gboolean
is_window_empty (void *key, void *value, void *user)
{
  return fr_advance_window (value, *(const fb_time_t *)user)->calls == 0
         && ((fr_window_t *)value)->sum.granted == 0;
}

fr_window_t *
fr_find_or_add_window (fr_windows_t *windows, const char *key, fb_time_t now)
{
  fr_window_t *window;

  if (now - windows->last_sweep_at >= FR_WINDOW_LENGTH)
    {
      windows->last_sweep_at = now;
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
