/* Life cycle, time and state of the fleet. */
#include "fleet-state.h"
#include <stdio.h>
#include <string.h>

void
sf_run_fleet (sf_fleet_t *fleet, fb_time_t duration)
{
  for (fb_time_t elapsed = 0; elapsed < duration; elapsed += SF_STEP)
    {
      uint64_t step;

      fb_advance_clock (fleet->clock, SF_STEP);
      step = (uint64_t)(fb_read_clock (fleet->clock) / SF_STEP);
      sf_deliver_due_events (fleet);
      for (size_t i = 0; i < fleet->count; i++)
        {
          if (fleet->hosts[i].table != NULL)
            sf_run_host (&fleet->hosts[i], step);
        }
    }
}

fb_version_t
sf_get_highest (const sf_fleet_t *fleet)
{
  fb_version_t highest = { 0 };

  for (size_t i = 0; i < fleet->count; i++)
    {
      const sf_host_t *host = &fleet->hosts[i];

      if (host->node != NULL && fb_compare_versions (fd_get_version (host->node), &highest) > 0)
        highest = *fd_get_version (host->node);
    }
  if (fleet->source.document != NULL)
    {
      fc_problems_t *problems = fc_create_problems ();
      fb_version_t version = { .revision = fleet->source.index };
      fc_snapshot_t *snapshot;
      fb_bytes_t bytes;

      bytes.data = g_bytes_get_data (fleet->source.document, &bytes.len);
      snapshot = fc_check_document (bytes, problems);
      if (snapshot != NULL)
        {
          version.number = fc_get_version_number (snapshot);
          version.digest = fb_compute_digest (bytes);
          if (fb_compare_versions (&version, &highest) > 0)
            highest = version;
        }
      fc_release_snapshot (snapshot);
      fc_destroy_problems (problems);
    }
  return highest;
}

bool
sf_has_converged (const sf_fleet_t *fleet, const fb_version_t *version)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      const sf_host_t *host = &fleet->hosts[i];

      if (host->node != NULL
          && (!host->ready || fb_compare_versions (fd_get_version (host->node), version) != 0))
        return false;
    }
  return true;
}

void
sf_print_fleet (const sf_fleet_t *fleet)
{
  fb_version_t highest = sf_get_highest (fleet);
  char highest_text[FB_VERSION_TEXT_MAX];

  fb_format_version (&highest, highest_text, sizeof highest_text);
  fprintf (stderr, "at %d ms: highest %s, source index %d, visible %d, down %d\n",
           (int)(fb_read_clock (fleet->clock) / FB_MILLISECOND), highest_text,
           (int)fleet->source.index, (int)fleet->source.visible_index, fleet->source.down);
  for (size_t i = 0; i < fleet->count; i++)
    {
      const sf_host_t *host = &fleet->hosts[i];
      char text[FB_VERSION_TEXT_MAX];

      if (host->node == NULL)
        {
          fprintf (stderr, "%s: no process\n", host->self.id.data);
          continue;
        }
      fb_format_version (fd_get_version (host->node), text, sizeof text);
      fprintf (
          stderr,
          "%s %s: %s ready %d reader %d alive %zu partition %u reads %d, watching %d after %d\n",
          host->self.id.data, host->self.zone.data, text, host->ready,
          fd_is_reader (host->node), fm_count_members (host->table, FW_ALIVE), host->partition,
          (int)host->source_calls, host->watch.waiting, (int)host->watch.index);
    }
}

sf_fleet_t *
sf_create_fleet (uint32_t seed, size_t count, size_t zones)
{
  sf_fleet_t *fleet = g_new0 (sf_fleet_t, 1);

  fleet->clock = fb_create_manual_clock (FB_SECOND);
  fleet->random = g_rand_new_with_seed (seed);
  fleet->events = g_sequence_new (sf_free_event);
  fleet->totals = fb_create_counters ();
  fleet->link = (sf_link_t){ .delay_min = FB_MILLISECOND, .delay_max = 5 * FB_MILLISECOND };
  fleet->valid = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->source.values = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  fleet->source.indexes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  fleet->count = count;
  fleet->zones = zones;
  for (size_t i = 0; i < count; i++)
    {
      sf_host_t *host = &fleet->hosts[i];
      char text[32];

      host->fleet = fleet;
      host->index = i;
      g_queue_init (&host->inbox);
      g_snprintf (text, sizeof text, "node-%02zu", i);
      host->self.id = fb_make_name (text);
      g_snprintf (text, sizeof text, "zone-%zu", i % zones);
      host->self.zone = fb_make_name (text);
      g_snprintf (text, sizeof text, "region-%zu", i % zones / 2);
      host->self.region = fb_make_name (text);
      host->self.service = fb_make_name ("counter");
      host->self.address = fb_make_name ("127.0.0.1");
      host->self.control_port = (uint16_t)(SF_BASE_PORT + i);
      sf_start_host (fleet, i);
    }
  return fleet;
}

void
sf_destroy_fleet (sf_fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    sf_kill_host (fleet, i);
  g_sequence_free (fleet->events);
  g_ptr_array_unref (fleet->source.values);
  g_array_unref (fleet->source.indexes);
  g_hash_table_unref (fleet->valid);
  g_hash_table_unref (fleet->refused);
  fb_destroy_counters (fleet->totals);
  g_rand_free (fleet->random);
  fb_destroy_clock (fleet->clock);
  g_free (fleet);
}
