#include <foxtailrun/base/histogram.h>
#include <glib.h>

/* Upper bounds of the buckets in us, in steps of 1, 2 and 5; the last bucket has none. */
static const uint64_t bounds[] = { 1000,   2000,   5000,   10000,   20000,   50000,
                                   100000, 200000, 500000, 1000000, 2000000, 5000000 };

struct fb_histogram
{
  fb_counter_t *buckets[G_N_ELEMENTS (bounds) + 1]; /* cumulative */
  fb_counter_t *sum;
  fb_counter_t *count;
};

static fb_counter_t *
find_bucket (fb_counters_t *counters, const char *name, const char *labels, const char *bound)
{
  char *full_name = g_strconcat (name, "_bucket", NULL);
  char *bucket_labels = g_strdup_printf ("%s%sle=\"%s\"", labels, labels[0] ? "," : "", bound);
  fb_counter_t *counter = fb_find_counter (counters, full_name, bucket_labels);

  g_free (bucket_labels);
  g_free (full_name);
  return counter;
}

static fb_counter_t *
find_total (fb_counters_t *counters, const char *name, const char *suffix, const char *labels)
{
  char *full_name = g_strconcat (name, suffix, NULL);
  fb_counter_t *counter = fb_find_counter (counters, full_name, labels);

  g_free (full_name);
  return counter;
}

fb_histogram_t *
fb_create_histogram (fb_counters_t *counters, const char *name, const char *labels)
{
  fb_histogram_t *histogram = g_new0 (fb_histogram_t, 1);

  for (size_t i = 0; i < G_N_ELEMENTS (bounds); i++)
    {
      char bound[24];

      g_snprintf (bound, sizeof bound, "%" G_GUINT64_FORMAT, bounds[i]);
      histogram->buckets[i] = find_bucket (counters, name, labels, bound);
    }
  histogram->buckets[G_N_ELEMENTS (bounds)] = find_bucket (counters, name, labels, "+Inf");
  histogram->sum = find_total (counters, name, "_sum", labels);
  histogram->count = find_total (counters, name, "_count", labels);
  return histogram;
}

void
fb_destroy_histogram (fb_histogram_t *histogram)
{
  g_free (histogram);
}

void
fb_observe_time (fb_histogram_t *histogram, fb_time_t duration)
{
  uint64_t us = (uint64_t)(MAX (duration, 0) / FB_MICROSECOND);

  for (size_t i = 0; i <= G_N_ELEMENTS (bounds); i++)
    if (i == G_N_ELEMENTS (bounds) || us <= bounds[i])
      fb_add_counter (histogram->buckets[i], 1);
  fb_add_counter (histogram->sum, us);
  fb_add_counter (histogram->count, 1);
}
