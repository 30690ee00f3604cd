/* Directory service: the endpoints that calls can be sent to, by id, and the evacuated zones.
 */
#include "node-services.h"
#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/invariant.h>
#include <foxtailrun/member/leaving.h>
#include <glib.h>
#include <string.h>

#define WATCHERS_MAX 4

typedef struct
{
  fn_member_changed_fn_t changed;
  void *user;
} watcher_t;

typedef struct
{
  fn_evacuation_changed_fn_t changed;
  void *user;
} evacuation_watcher_t;

struct fn_directory
{
  fk_kernel_t *kernel;
  GHashTable *endpoints; /* fw_member_t by id */
  fm_leaving_t *leaving; /* endpoints that leave although they may be listed as alive */
  watcher_t watchers[WATCHERS_MAX];
  size_t watcher_count;
  GHashTable *evacuated_zones; /* set of fb_name_t */
  evacuation_watcher_t evacuation_watchers[WATCHERS_MAX];
  size_t evacuation_watcher_count;
  fb_counter_t *evacuated_gauge;
};

static void
destroy_directory (void *data)
{
  fn_directory_t *directory = data;

  g_hash_table_destroy (directory->endpoints);
  fm_destroy_leaving (directory->leaving);
  g_hash_table_destroy (directory->evacuated_zones);
  g_free (directory);
}

static void
update_from_member (const fw_member_t *member, void *user)
{
  fn_update_endpoint (user, member);
}

void
fn_register_directory (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { .destroy = destroy_directory };
  fn_directory_t *directory = g_new0 (fn_directory_t, 1);

  directory->kernel = kernel;
  directory->endpoints
      = g_hash_table_new_full (fb_hash_name_key, fb_equal_name_keys, NULL, g_free);
  directory->leaving = fm_create_leaving (fk_get_clock (kernel));
  directory->evacuated_zones
      = g_hash_table_new_full (fb_hash_name_key, fb_equal_name_keys, g_free, NULL);
  directory->evacuated_gauge
      = fb_find_counter (fk_get_counters (kernel), "evacuated_zones", "");
  fk_register_service (kernel, FN_DIRECTORY, &vtable, directory);
  if (!fn_get_adapter (kernel)->source_lists_endpoints)
    fn_watch_members (fk_find_service (kernel, FN_MEMBERSHIP), update_from_member, kernel);
}

void
fn_update_endpoint (fk_kernel_t *kernel, const fw_member_t *endpoint)
{
  fn_directory_t *directory = fk_find_service (kernel, FN_DIRECTORY);
  fw_member_t *stored = g_hash_table_lookup (directory->endpoints, &endpoint->id);
  fw_member_t current = *endpoint;

  if (!stored && endpoint->state == FW_DEAD)
    return;
  fm_apply_leaving (directory->leaving, &current);
  if (!stored)
    {
      stored = g_new0 (fw_member_t, 1);
      *stored = current;
      g_hash_table_insert (directory->endpoints, &stored->id, stored);
    }
  *stored = current;
  for (size_t i = 0; i < directory->watcher_count; i++)
    directory->watchers[i].changed (&current, directory->watchers[i].user);
  if (current.state == FW_DEAD)
    g_hash_table_remove (directory->endpoints, &current.id);
}

void
fn_record_leaving (fn_directory_t *directory, const fb_name_t *id, uint64_t incarnation)
{
  const fw_member_t *stored = g_hash_table_lookup (directory->endpoints, id);
  bool is_news = fm_record_leaving (directory->leaving, id, incarnation);
  fw_member_t endpoint;

  if (!is_news || !stored || stored->incarnation != incarnation || stored->state == FW_LEAVING)
    return;
  FB_LOG (fk_get_log (directory->kernel), FB_LOG_INFO, FN_DIRECTORY,
          "no more calls to an endpoint that leaves", FB_TEXT ("instance", id->data),
          FB_TEXT ("listed", fw_describe_state (stored->state)),
          FB_NUMBER ("incarnation", incarnation));
  endpoint = *stored;
  fn_update_endpoint (directory->kernel, &endpoint);
}

const fw_member_t *
fn_find_endpoint (fn_directory_t *directory, const fb_name_t *id)
{
  return g_hash_table_lookup (directory->endpoints, id);
}

size_t
fn_count_endpoints (const fn_directory_t *directory)
{
  return g_hash_table_size (directory->endpoints);
}

void
fn_visit_endpoints (const fn_directory_t *directory, fn_member_changed_fn_t visit, void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, directory->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (value, user);
}

void
fn_watch_endpoints (fn_directory_t *directory, fn_member_changed_fn_t changed, void *user)
{
  FB_INVARIANT (directory->watcher_count < WATCHERS_MAX);
  directory->watchers[directory->watcher_count++] = (watcher_t){ changed, user };
}

static void
announce_evacuation (fn_directory_t *directory, const fb_name_t *zone, bool evacuated,
                     fb_time_t age)
{
  FB_LOG (fk_get_log (directory->kernel), FB_LOG_WARNING, FN_DIRECTORY,
          evacuated ? "zone is evacuated: its instances get no calls"
                    : "evacuation of a zone has ended",
          FB_TEXT ("zone", zone->data), FB_NUMBER ("age_ms", age / FB_MILLISECOND));
  for (size_t i = 0; i < directory->evacuation_watcher_count; i++)
    directory->evacuation_watchers[i].changed (zone, evacuated,
                                               directory->evacuation_watchers[i].user);
}

static bool
contains_zone (const fb_name_t *zones, size_t count, const fb_name_t *zone)
{
  for (size_t i = 0; i < count; i++)
    if (fb_equal_name (&zones[i], zone))
      return true;
  return false;
}

void
fn_set_evacuated_zones (fn_directory_t *directory, const fb_name_t *zones, size_t count,
                        fb_time_t age)
{
  GHashTableIter iter;
  gpointer key;

  for (size_t i = 0; i < count; i++)
    if (g_hash_table_add (directory->evacuated_zones, g_memdup2 (&zones[i], sizeof zones[i])))
      announce_evacuation (directory, &zones[i], true, age);
  g_hash_table_iter_init (&iter, directory->evacuated_zones);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      fb_name_t zone = *(const fb_name_t *)key;

      if (contains_zone (zones, count, &zone))
        continue;
      g_hash_table_iter_remove (&iter);
      announce_evacuation (directory, &zone, false, age);
    }
  fb_set_counter (directory->evacuated_gauge, g_hash_table_size (directory->evacuated_zones));
}

bool
fn_is_zone_evacuated (const fn_directory_t *directory, const fb_name_t *zone)
{
  return g_hash_table_contains (directory->evacuated_zones, zone);
}

json_t *
fn_describe_evacuated_zones (const fn_directory_t *directory)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, directory->evacuated_zones);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    json_array_append_new (list, json_string (((const fb_name_t *)key)->data));
  return list;
}

void
fn_watch_evacuations (fn_directory_t *directory, fn_evacuation_changed_fn_t changed, void *user)
{
  FB_INVARIANT (directory->evacuation_watcher_count < WATCHERS_MAX);
  directory->evacuation_watchers[directory->evacuation_watcher_count++]
      = (evacuation_watcher_t){ changed, user };
}
