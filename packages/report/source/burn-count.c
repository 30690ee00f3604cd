/* Counts of calls by objective in ring buffers of time buckets. */
#include <foxtailrun/report/burn.h>
#include <glib.h>
#include <string.h>

/* Complete buckets and the current one. */
#define RING_BUCKETS (FS_WINDOW_BUCKETS + 1)

/* Buckets of one window; each spans 1/30 of its length. */
typedef struct
{
  int64_t head; /* index of the current bucket, counted from time 0 */
  uint32_t buckets[RING_BUCKETS][FS_CAUSE_COUNT];
} ring_t;

typedef struct
{
  fs_objective_t objective;
  fb_time_t start_time; /* of counting */
  ring_t rings[FS_WINDOW_COUNT];
} entry_t;

struct fs_burn
{
  const fb_clock_t *clock;
  GPtrArray *entries;              /* entry_t, in the order of the document; owned */
  GHashTable *by_service_and_rank; /* entry_t by its objective */
};

static guint
hash_service_and_rank (gconstpointer key)
{
  const fs_objective_t *objective = key;

  return g_str_hash (objective->service.data) * 31 + g_str_hash (objective->rank.data);
}

static gboolean
equal_service_and_rank (gconstpointer a, gconstpointer b)
{
  const fs_objective_t *left = a;
  const fs_objective_t *right = b;

  return fb_equal_name (&left->service, &right->service)
         && fb_equal_name (&left->rank, &right->rank);
}

fs_burn_t *
fs_create_burn (const fb_clock_t *clock)
{
  fs_burn_t *burn = g_new0 (fs_burn_t, 1);

  burn->clock = clock;
  burn->entries = g_ptr_array_new_with_free_func (g_free);
  burn->by_service_and_rank = g_hash_table_new (hash_service_and_rank, equal_service_and_rank);
  return burn;
}

void
fs_destroy_burn (fs_burn_t *burn)
{
  if (!burn)
    return;
  g_hash_table_destroy (burn->by_service_and_rank);
  g_ptr_array_unref (burn->entries);
  g_free (burn);
}

static fb_time_t
get_bucket_width (fs_window_t window)
{
  return fs_get_window_length (window) / FS_WINDOW_BUCKETS;
}

/* Clears the buckets that began after RING was last advanced. */
static void
advance_ring (ring_t *ring, fs_window_t window, fb_time_t now)
{
  int64_t head = now / get_bucket_width (window);

  if (head - ring->head >= RING_BUCKETS)
    memset (ring->buckets, 0, sizeof ring->buckets);
  else
    for (int64_t i = ring->head + 1; i <= head; i++)
      memset (ring->buckets[i % RING_BUCKETS], 0, sizeof ring->buckets[0]);
  ring->head = head;
}

static entry_t *
create_entry (const fs_objective_t *objective, fb_time_t now)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->objective = *objective;
  entry->start_time = now;
  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    entry->rings[window].head = now / get_bucket_width ((fs_window_t)window);
  return entry;
}

/* Removes the entry of OBJECTIVE from the table and returns it, or returns a new one when there
 * is none with the same target. */
static entry_t *
acquire_entry (fs_burn_t *burn, const fs_objective_t *objective)
{
  entry_t *entry = g_hash_table_lookup (burn->by_service_and_rank, objective);

  if (!entry || entry->objective.target_ms != objective->target_ms)
    return create_entry (objective, fb_read_clock (burn->clock));
  g_hash_table_remove (burn->by_service_and_rank, objective);
  entry->objective.ratio = objective->ratio;
  return entry;
}

void
fs_set_objectives (fs_burn_t *burn, const fc_snapshot_t *snapshot)
{
  size_t count = snapshot ? fc_count_objectives (snapshot) : 0;
  GPtrArray *entries = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer entry;

  for (size_t i = 0; i < count; i++)
    {
      const fc_objective_t *source = fc_get_objective (snapshot, i);
      fs_objective_t objective
          = { fc_get_service (snapshot, source->service)->name,
              fc_get_rank (snapshot, source->rank)->name, source->target_ms, source->ratio };

      g_ptr_array_add (entries, acquire_entry (burn, &objective));
    }
  /* Entries still in the table were not reused; the others are now owned by ENTRIES. */
  g_ptr_array_set_free_func (burn->entries, NULL);
  g_ptr_array_unref (burn->entries);
  g_hash_table_iter_init (&iter, burn->by_service_and_rank);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    g_free (entry);
  g_hash_table_remove_all (burn->by_service_and_rank);
  burn->entries = entries;
  for (guint i = 0; i < entries->len; i++)
    g_hash_table_insert (burn->by_service_and_rank, entries->pdata[i], entries->pdata[i]);
}

void
fs_count_call (fs_burn_t *burn, fb_str_t service, fb_str_t rank, fs_cause_t cause,
               fb_time_t duration)
{
  fs_objective_t key = { 0 };
  entry_t *entry;

  if (!fb_set_name (&key.service, service) || !fb_set_name (&key.rank, rank))
    return;
  entry = g_hash_table_lookup (burn->by_service_and_rank, &key);
  if (!entry)
    return;
  if (cause == FS_GOOD && duration > entry->objective.target_ms * FB_MILLISECOND)
    cause = FS_LATE;
  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    {
      ring_t *ring = &entry->rings[window];
      uint32_t *count;

      advance_ring (ring, (fs_window_t)window, fb_read_clock (burn->clock));
      count = &ring->buckets[ring->head % RING_BUCKETS][cause];
      if (*count < UINT32_MAX)
        (*count)++;
    }
}

size_t
fs_count_objectives (const fs_burn_t *burn)
{
  return burn->entries->len;
}

static void
read_window (entry_t *entry, fs_window_t window, fb_time_t now, fs_counts_t *counts)
{
  ring_t *ring = &entry->rings[window];
  fb_time_t oldest_start;

  advance_ring (ring, window, now);
  for (int bucket = 0; bucket < RING_BUCKETS; bucket++)
    for (int cause = 0; cause < FS_CAUSE_COUNT; cause++)
      counts->calls[cause] += ring->buckets[bucket][cause];
  oldest_start = (ring->head - FS_WINDOW_BUCKETS) * get_bucket_width (window);
  counts->reach_min = now - MAX (entry->start_time, oldest_start);
  counts->reach_max = counts->reach_min;
}

bool
fs_get_objective_counts (fs_burn_t *burn, size_t index, fs_objective_counts_t *counts)
{
  fb_time_t now = fb_read_clock (burn->clock);
  entry_t *entry;

  if (index >= burn->entries->len)
    return false;
  entry = burn->entries->pdata[index];
  *counts = (fs_objective_counts_t){ .objective = entry->objective };
  for (int window = 0; window < FS_WINDOW_COUNT; window++)
    read_window (entry, (fs_window_t)window, now, &counts->windows[window]);
  return true;
}
