/* Evacuated zones that a feed knows of. The store is their only record: the set is read from it
 * or taken from a relay, and stays in force while neither can be reached. */
#include "feed-state.h"

void
fd_init_evacuations (fd_feed_t *feed)
{
  feed->evacuations = g_array_new (FALSE, FALSE, sizeof (fd_evacuation_t));
  feed->read_evacuations = g_array_new (FALSE, FALSE, sizeof (fd_evacuation_t));
}

void
fd_clear_evacuations (fd_feed_t *feed)
{
  g_array_unref (feed->evacuations);
  g_array_unref (feed->read_evacuations);
}

static fd_evacuation_t *
find_evacuation (const GArray *list, const fb_name_t *zone)
{
  for (guint i = 0; i < list->len; i++)
    {
      fd_evacuation_t *evacuation = &g_array_index (list, fd_evacuation_t, i);

      if (fb_equal_name (&evacuation->zone, zone))
        return evacuation;
    }
  return NULL;
}

/* Adds EVACUATION to LIST, in which the later position of a zone counts. */
static void
record_evacuation (GArray *list, const fd_evacuation_t *evacuation)
{
  fd_evacuation_t *known = find_evacuation (list, &evacuation->zone);

  if (!known)
    g_array_append_vals (list, evacuation, 1);
  else if (fb_compare_positions (evacuation->position, known->position) >= 0)
    *known = *evacuation;
}

static void
drop_withdrawn (GArray *list)
{
  for (guint i = list->len; i > 0; i--)
    if (!g_array_index (list, fd_evacuation_t, i - 1).active)
      g_array_remove_index_fast (list, i - 1);
}

static bool
have_same_zones (const GArray *a, const GArray *b)
{
  if (a->len != b->len)
    return false;
  for (guint i = 0; i < a->len; i++)
    if (!find_evacuation (b, &g_array_index (a, fd_evacuation_t, i).zone))
      return false;
  return true;
}

/* Puts LIST, which is taken over, in force as the set known up to POSITION. */
static void
replace_evacuations (fd_feed_t *feed, GArray *list, fb_position_t position)
{
  bool changed;

  drop_withdrawn (list);
  changed = !have_same_zones (feed->evacuations, list);
  g_array_unref (feed->evacuations);
  feed->evacuations = list;
  feed->evacuations_position = position;
  if (!changed)
    return;
  feed->evacuations_changed_position = position;
  feed->evacuations_changed_at = fb_read_clock (feed->clock);
  feed->hooks.evacuations_changed (feed->hooks.user);
}

void
fd_set_evacuation (fd_feed_t *feed, fb_position_t position, const fb_name_t *zone, bool active)
{
  fd_evacuation_t evacuation = { *zone, position, active };

  if (feed->options.evacuation)
    record_evacuation (feed->read_evacuations, &evacuation);
}

void
fd_begin_evacuation_read (fd_feed_t *feed)
{
  g_array_set_size (feed->read_evacuations, 0);
}

/* Adds the changes that the read has delivered and that are not known yet, such as from an
 * update that has overtaken the read. */
static void
apply_changes (fd_feed_t *feed, fb_position_t position)
{
  GArray *list = g_array_copy (feed->evacuations);

  for (guint i = 0; i < feed->read_evacuations->len; i++)
    {
      const fd_evacuation_t *change
          = &g_array_index (feed->read_evacuations, fd_evacuation_t, i);

      if (fb_compare_positions (change->position, feed->evacuations_position) > 0)
        record_evacuation (list, change);
    }
  replace_evacuations (feed, list,
                       fb_get_later_position (feed->evacuations_position, position));
}

void
fd_finish_evacuation_read (fd_feed_t *feed, fb_position_t position)
{
  if (!feed->options.evacuation)
    return;
  if (feed->read_kind == FD_READ_CHANGES)
    apply_changes (feed, position);
  /* A full read counts whatever was known before: the store may have gone back. */
  else if (feed->read_kind == FD_READ_ALL
           || fb_compare_positions (position, feed->evacuations_position) >= 0)
    replace_evacuations (feed, g_array_copy (feed->read_evacuations), position);
}

fb_position_t
fd_limit_to_evacuations (const fd_feed_t *feed, fb_position_t position)
{
  if (!feed->options.evacuation)
    return position;
  return fb_get_earlier_position (position, feed->evacuations_position);
}

bool
fd_needs_evacuation_read (const fd_feed_t *feed)
{
  return feed->options.evacuation && feed->evacuations_position.era < feed->position.era;
}

bool
fd_accepts_evacuations (const fd_feed_t *feed, const fw_feed_message_t *update)
{
  return !feed->options.evacuation || update->has_evacuations;
}

void
fd_apply_evacuations (fd_feed_t *feed, const fw_feed_message_t *update)
{
  fb_position_t position = update->evacuations_position;
  GArray *list;

  if (!feed->options.evacuation
      || fb_compare_positions (position, feed->evacuations_position) < 0)
    return;
  list = g_array_new (FALSE, FALSE, sizeof (fd_evacuation_t));
  for (size_t i = 0; i < update->evacuation_count; i++)
    record_evacuation (list, &(fd_evacuation_t){ update->evacuated_zones[i], position, true });
  /* The last page of a full read shows requests from after its first page. */
  for (guint i = 0; i < feed->evacuations->len; i++)
    {
      const fd_evacuation_t *known = &g_array_index (feed->evacuations, fd_evacuation_t, i);

      if (known->position.era == position.era
          && fb_compare_positions (known->position, position) > 0)
        record_evacuation (list, known);
    }
  replace_evacuations (feed, list, position);
}

bool
fd_can_send_evacuations (const fd_feed_t *feed)
{
  return feed->evacuations->len <= FW_EVACUATIONS_MAX;
}

void
fd_add_evacuations (const fd_feed_t *feed, fw_feed_message_t *update)
{
  if (!feed->options.evacuation)
    return;
  update->has_evacuations = true;
  update->evacuations_position = feed->evacuations_position;
  update->evacuated_zones = fd_get_evacuations (feed, &update->evacuation_count);
}

/* A request that was sent after the change has the position of a state without it. While
 * document and endpoints are read apart, this node's own position may still be that one; it
 * would then answer the same request again and again. */
bool
fd_misses_evacuation (const fd_feed_t *feed, const fd_pending_request_t *pending)
{
  fb_position_t changed = feed->evacuations_changed_position;

  return feed->evacuations_changed_at > pending->arrived_at
         || (fb_compare_positions (pending->message.position, changed) < 0
             && fb_compare_positions (feed->position, changed) >= 0);
}

bool
fd_is_evacuated (const fd_feed_t *feed, const fb_name_t *zone)
{
  return find_evacuation (feed->evacuations, zone) != NULL;
}

fb_name_t *
fd_get_evacuations (const fd_feed_t *feed, size_t *count)
{
  fb_name_t *zones = g_new0 (fb_name_t, feed->evacuations->len);

  for (guint i = 0; i < feed->evacuations->len; i++)
    zones[i] = g_array_index (feed->evacuations, fd_evacuation_t, i).zone;
  *count = feed->evacuations->len;
  return zones;
}
