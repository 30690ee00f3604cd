/* Simulated network: delays, loses, duplicates messages; events by time. */
#include "fleet-state.h"

void
sf_free_event (gpointer data)
{
  sf_event_t *event = data;

  if (event->bytes != NULL)
    g_bytes_unref (event->bytes);
  g_free (event);
}

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer user)
{
  const sf_event_t *first = a;
  const sf_event_t *second = b;

  if (first->due_at != second->due_at)
    return first->due_at < second->due_at ? -1 : 1;
  return first->serial < second->serial ? -1 : 1;
}

static fb_time_t
draw_delay (sf_fleet_t *fleet)
{
  double span = (double)(fleet->link.delay_max - fleet->link.delay_min);

  return fleet->link.delay_min + (fb_time_t)(g_rand_double (fleet->random) * span);
}

sf_event_t *
sf_schedule_event (sf_host_t *host, sf_event_kind_t kind, fb_bytes_t bytes)
{
  sf_fleet_t *fleet = host->fleet;
  sf_event_t *event = g_new0 (sf_event_t, 1);

  event->due_at = fb_read_clock (fleet->clock) + draw_delay (fleet);
  event->serial = fleet->next_serial++;
  event->kind = kind;
  event->host = host->index;
  event->start_count = host->start_count;
  event->bytes = bytes.data == NULL ? NULL : g_bytes_new (bytes.data, bytes.len);
  g_sequence_insert_sorted (fleet->events, event, compare_events, NULL);
  return event;
}

void
sf_transmit (sf_host_t *host, uint16_t port, sf_event_kind_t kind, fb_bytes_t bytes)
{
  sf_fleet_t *fleet = host->fleet;
  size_t index = (size_t)port - SF_BASE_PORT;

  host->sent_bytes += bytes.len;
  if (index >= fleet->count || fleet->hosts[index].partition != host->partition
      || g_rand_double (fleet->random) < fleet->link.loss)
    return;
  sf_schedule_event (&fleet->hosts[index], kind, bytes);
  if (g_rand_double (fleet->random) < fleet->link.duplication)
    sf_schedule_event (&fleet->hosts[index], kind, bytes);
}

void
sf_deliver_event (sf_host_t *host, const sf_event_t *event)
{
  fb_bytes_t bytes = { NULL, 0 };
  fw_control_t message;

  if (event->bytes != NULL)
    bytes.data = g_bytes_get_data (event->bytes, &bytes.len);
  switch (event->kind)
    {
    case SF_DATAGRAM:
      fm_handle_datagram (host->table, bytes);
      break;
    case SF_CONTROL:
      if (fw_decode_control (bytes, &message) != FB_OK)
        break;
      host->summaries_received += message.kind == FW_SUMMARY;
      fd_handle_message (host->node, &message);
      fw_clear_control (&message);
      break;
    case SF_SOURCE_READ:
      sf_receive_read (host, event->index);
      break;
    case SF_SOURCE_VALUE:
      if (host->watch.requested_at >= host->join_started_at
          && (event->status == FB_OK || event->status == FB_NOT_FOUND))
        host->source_values++;
      fd_handle_source_result (host->node, event->status,
                               (fb_position_t){ .revision = event->index }, bytes);
      break;
    }
}

void
sf_deliver_due_events (sf_fleet_t *fleet)
{
  while (!g_sequence_is_empty (fleet->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (fleet->events);
      sf_event_t *event = g_sequence_get (first);
      sf_host_t *host = &fleet->hosts[event->host];

      if (event->due_at > fb_read_clock (fleet->clock))
        return;
      event = g_memdup2 (event, sizeof *event);
      if (event->bytes != NULL)
        g_bytes_ref (event->bytes);
      g_sequence_remove (first);
      if (host->table != NULL && event->start_count == host->start_count)
        {
          if (host->paused && event->kind != SF_SOURCE_READ)
            {
              g_queue_push_tail (&host->inbox, event);
              continue;
            }
          sf_deliver_event (host, event);
        }
      sf_free_event (event);
    }
}
