/* Creation, reference counting and lookups of snapshots. */
#include "snapshot-internal.h"
#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/invariant.h>
#include <string.h>

#define CUSTOMER_WEIGHT_DEFAULT 1.0

GHashTable *
fc_create_name_table (void)
{
  return g_hash_table_new (fb_hash_name_key, fb_equal_name_keys);
}

bool
fc_add_name (GHashTable *names, const fb_name_t *name, size_t index, size_t *earlier)
{
  gpointer found;

  if (g_hash_table_lookup_extended (names, name, NULL, &found))
    {
      *earlier = GPOINTER_TO_SIZE (found);
      return false;
    }
  g_hash_table_insert (names, (gpointer)name, GSIZE_TO_POINTER (index));
  return true;
}

bool
fc_find_name (GHashTable *names, fb_str_t text, size_t *index)
{
  fb_name_t name;
  gpointer found;

  if (!fb_set_name (&name, text) || !g_hash_table_lookup_extended (names, &name, NULL, &found))
    return false;
  *index = GPOINTER_TO_SIZE (found);
  return true;
}

fc_snapshot_t *
fc_create_snapshot (fb_bytes_t document)
{
  fc_snapshot_t *snapshot = g_new0 (fc_snapshot_t, 1);

  snapshot->references = 1;
  snapshot->document = g_memdup2 (document.data, document.len);
  snapshot->document_length = document.len;
  snapshot->rank_names = fc_create_name_table ();
  snapshot->service_names = fc_create_name_table ();
  snapshot->customer_names = fc_create_name_table ();
  snapshot->texts = g_string_chunk_new (4096);
  snapshot->arrays = g_ptr_array_new_with_free_func (g_free);
  snapshot->route_index = fc_create_route_index ();
  return snapshot;
}

static void
destroy_snapshot (fc_snapshot_t *snapshot)
{
  if (snapshot->sections)
    g_array_unref (snapshot->sections);
  fc_destroy_route_index (snapshot->route_index);
  g_ptr_array_unref (snapshot->arrays);
  g_string_chunk_free (snapshot->texts);
  g_hash_table_unref (snapshot->customer_names);
  g_hash_table_unref (snapshot->service_names);
  g_hash_table_unref (snapshot->rank_names);
  g_free (snapshot->objectives);
  g_free (snapshot->customers);
  g_free (snapshot->routes);
  g_free (snapshot->services);
  g_free (snapshot->ranks);
  g_free (snapshot->document);
  g_free (snapshot);
}

fc_snapshot_t *
fc_retain_snapshot (fc_snapshot_t *snapshot)
{
  gint before = g_atomic_int_add (&snapshot->references, 1);

  FB_INVARIANT (before > 0);
  return snapshot;
}

void
fc_release_snapshot (fc_snapshot_t *snapshot)
{
  gint before;

  if (!snapshot)
    return;
  before = g_atomic_int_add (&snapshot->references, -1);
  FB_INVARIANT (before > 0);
  if (before == 1)
    destroy_snapshot (snapshot);
}

uint64_t
fc_get_version_number (const fc_snapshot_t *snapshot)
{
  return snapshot->version_number;
}

uint32_t
fc_get_idle_timeout_ms (const fc_snapshot_t *snapshot)
{
  return snapshot->idle_timeout_ms;
}

fb_bytes_t
fc_get_document (const fc_snapshot_t *snapshot)
{
  return (fb_bytes_t){ snapshot->document, snapshot->document_length };
}

size_t
fc_count_ranks (const fc_snapshot_t *snapshot)
{
  return snapshot->rank_count;
}

size_t
fc_count_services (const fc_snapshot_t *snapshot)
{
  return snapshot->service_count;
}

size_t
fc_count_routes (const fc_snapshot_t *snapshot)
{
  return snapshot->route_count;
}

size_t
fc_count_customers (const fc_snapshot_t *snapshot)
{
  return snapshot->customer_count;
}

size_t
fc_count_objectives (const fc_snapshot_t *snapshot)
{
  return snapshot->objective_count;
}

const fc_rank_t *
fc_get_rank (const fc_snapshot_t *snapshot, size_t index)
{
  return index < snapshot->rank_count ? &snapshot->ranks[index] : NULL;
}

const fc_service_t *
fc_get_service (const fc_snapshot_t *snapshot, size_t index)
{
  return index < snapshot->service_count ? &snapshot->services[index] : NULL;
}

const fc_route_t *
fc_get_route (const fc_snapshot_t *snapshot, size_t index)
{
  return index < snapshot->route_count ? &snapshot->routes[index] : NULL;
}

const fc_customer_t *
fc_get_customer (const fc_snapshot_t *snapshot, size_t index)
{
  return index < snapshot->customer_count ? &snapshot->customers[index] : NULL;
}

const fc_objective_t *
fc_get_objective (const fc_snapshot_t *snapshot, size_t index)
{
  return index < snapshot->objective_count ? &snapshot->objectives[index] : NULL;
}

const fc_rank_t *
fc_find_rank (const fc_snapshot_t *snapshot, fb_str_t name, uint32_t *index)
{
  size_t found;

  if (!fc_find_name (snapshot->rank_names, name, &found))
    return NULL;
  if (index)
    *index = (uint32_t)found;
  return &snapshot->ranks[found];
}

const fc_service_t *
fc_find_service (const fc_snapshot_t *snapshot, fb_str_t name, uint32_t *index)
{
  size_t found;

  if (!fc_find_name (snapshot->service_names, name, &found))
    return NULL;
  if (index)
    *index = (uint32_t)found;
  return &snapshot->services[found];
}

const fc_route_t *
fc_find_route (const fc_snapshot_t *snapshot, fb_str_t host, fb_str_t method, fb_str_t path)
{
  uint32_t found;

  if (!fc_find_indexed_route (snapshot->route_index, host, method, path, &found))
    return NULL;
  return &snapshot->routes[found];
}

double
fc_get_customer_weight (const fc_snapshot_t *snapshot, fb_str_t name)
{
  size_t found;

  if (!fc_find_name (snapshot->customer_names, name, &found))
    return CUSTOMER_WEIGHT_DEFAULT;
  return snapshot->customers[found].weight;
}
