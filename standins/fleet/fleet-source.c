/* The simulated configuration source: one register with an index. */
#include "fleet-state.h"

void
sf_answer_read (sf_host_t *host, fb_status_t status)
{
  sf_source_t *source = &host->fleet->source;
  fb_bytes_t bytes = { NULL, 0 };
  uint64_t index = source->visible_index;
  sf_event_t *event;

  if (status == FB_OK && source->visible_document == NULL)
    status = FB_NOT_FOUND;
  if (status == FB_OK)
    {
      bytes.data = g_bytes_get_data (source->visible_document, &bytes.len);
      if (host->watch.index == 0 && g_rand_double (host->fleet->random) < source->stale)
        {
          guint older
              = (guint)g_rand_int_range (host->fleet->random, 0, (gint32)source->values->len);

          bytes.data = g_bytes_get_data (source->values->pdata[older], &bytes.len);
          index = g_array_index (source->indexes, uint64_t, older);
        }
    }
  source->bytes += bytes.len;
  event = sf_schedule_event (host, SF_SOURCE_VALUE, bytes);
  event->status = status;
  event->index = index;
  host->watch.waiting = false;
}

void
sf_receive_read (sf_host_t *host, uint64_t index)
{
  sf_source_t *source = &host->fleet->source;

  host->watch.index = index;
  if (source->down)
    sf_answer_read (host, FB_UNAVAILABLE);
  else if (index == 0 || source->visible_index > index)
    sf_answer_read (host, FB_OK);
  else
    {
      host->watch.waiting = true;
      host->watch.deadline = fb_read_clock (host->fleet->clock) + SF_WATCH_WAIT_MAX;
    }
}

static void
wake_watches (sf_fleet_t *fleet, bool all)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      sf_host_t *host = &fleet->hosts[i];

      if (host->table != NULL && host->watch.waiting
          && (all || fleet->source.visible_index > host->watch.index))
        sf_answer_read (host, fleet->source.down ? FB_UNAVAILABLE : FB_OK);
    }
}

GBytes *
sf_make_document (uint64_t number, uint32_t salt, uint32_t padding)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "version = %" G_GUINT64_FORMAT "\n", number);
  g_string_append (text, "[[rank]]\nname = \"urgent\"\norder = 0\ntarget_ms = 50\n"
                         "worth = 10.0\nshare = 0.5\n"
                         "[[service]]\nname = \"counter\"\nslots = 6\nconnections = 120\n"
                         "depends_on = []\n");
  for (uint32_t i = 0; i <= padding; i++)
    g_string_append_printf (text,
                            "[[route]]\nname = \"route-%u\"\npath = \"/r%u\"\n"
                            "methods = [\"GET\"]\nservice = \"counter\"\nrank = \"urgent\"\n"
                            "timeout_ms = %u\nrepeatable = true\nretries = 1\n",
                            i, i, i == salt % (padding + 1) ? 100 + salt % 900 : 1000);
  return g_string_free_to_bytes (text);
}

void
sf_publish_document (sf_fleet_t *fleet, GBytes *document, bool valid)
{
  sf_source_t *source = &fleet->source;
  fb_bytes_t bytes;
  fb_digest_t digest;

  bytes.data = g_bytes_get_data (document, &bytes.len);
  digest = fb_compute_digest (bytes);
  if (valid)
    g_hash_table_add (fleet->valid, sf_format_digest (&digest));
  g_ptr_array_add (source->values, document);
  source->index++;
  g_array_append_val (source->indexes, source->index);
  source->document = document;
  source->valid = valid;
  if (source->frozen)
    return;
  source->visible_index = source->index;
  source->visible_document = source->document;
  wake_watches (fleet, false);
}

void
sf_freeze_source (sf_fleet_t *fleet)
{
  fleet->source.frozen = true;
}

void
sf_restore_source (sf_fleet_t *fleet)
{
  fleet->source.down = false;
  fleet->source.frozen = false;
  fleet->source.stale = 0;
  fleet->source.visible_index = fleet->source.index;
  fleet->source.visible_document = fleet->source.document;
  wake_watches (fleet, false);
}

void
sf_reset_index (sf_fleet_t *fleet)
{
  sf_source_t *source = &fleet->source;

  source->index = 1 + source->index / 4;
  if (source->document != NULL)
    {
      g_ptr_array_remove_range (source->values, 0, source->values->len - 1);
      g_array_set_size (source->indexes, 0);
      g_array_append_val (source->indexes, source->index);
    }
  source->frozen = false;
  source->visible_document = source->document;
  source->visible_index = source->index;
  wake_watches (fleet, true);
}
