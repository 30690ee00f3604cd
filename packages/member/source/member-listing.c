/* Endpoints listed by a platform. */
#include <foxtailrun/base/digest.h>
#include <foxtailrun/member/listing.h>
#include <glib.h>
#include <string.h>

/* Limit of removal records for fm_visit_listing_changes: about a quarter of a fleet of
 * 1,000 being replaced. */
#define REMOVED_ENDPOINTS_MAX 256

typedef struct
{
  fw_endpoint_t endpoint;
  uint64_t sequence;       /* of its last change */
  bool seen;               /* in the current full read */
  bool missing;            /* removed from the list, not yet reported */
  fb_time_t missing_since; /* MISSING: when it was last known to be listed */
  bool expiring; /* listed by a restored source after its removal; not reported yet, but
                    visited: other nodes go by what they know of it */
} listed_t;

typedef struct
{
  fw_endpoint_t endpoint; /* its state is FW_DEAD */
  uint64_t sequence;
  bool was_leaving;
} removed_t;

struct fm_listing
{
  const fb_clock_t *clock;
  fm_changed_fn_t changed;
  void *user;
  GHashTable *entries;         /* listed_t by id */
  uint64_t sequence;           /* of the last change */
  fb_time_t known_at;          /* all changes up to then are known */
  GQueue removed;              /* removed_t, oldest first */
  uint64_t discarded_sequence; /* of the last discarded removal record */
  bool source_unavailable;
  bool source_restored;        /* since it last became unavailable */
  bool is_unconfirmed;         /* after a short failure: nothing complete was read since */
  uint64_t available_sequence; /* of the last change before the source became unavailable */
  bool in_full_read;
  uint64_t restored_sequence; /* of the last change before the last restore */
  fb_time_t expiry_ends_at;   /* what a restored source still lists then is alive */
  fb_time_t grace_ends_at;    /* missing entries are removed from then on */
};

fm_listing_t *
fm_create_listing (const fb_clock_t *clock, fm_changed_fn_t changed, void *user)
{
  fm_listing_t *listing = g_new0 (fm_listing_t, 1);

  listing->clock = clock;
  listing->changed = changed;
  listing->user = user;
  listing->entries = g_hash_table_new_full (fb_hash_name_key, fb_equal_name_keys, NULL, g_free);
  return listing;
}

void
fm_destroy_listing (fm_listing_t *listing)
{
  if (!listing)
    return;
  g_hash_table_destroy (listing->entries);
  g_queue_clear_full (&listing->removed, g_free);
  g_free (listing);
}

static bool
is_same_endpoint (const fw_endpoint_t *a, const fw_endpoint_t *b)
{
  const fw_member_t *left = &a->member;
  const fw_member_t *right = &b->member;

  return a->slots == b->slots && left->incarnation == right->incarnation
         && left->state == right->state && left->call_port == right->call_port
         && fb_equal_name (&left->address, &right->address)
         && fb_equal_name (&left->zone, &right->zone)
         && fb_equal_name (&left->service, &right->service);
}

/* Returns the last removal of the start of an instance that ENDPOINT describes, or NULL. */
static const removed_t *
find_removal (const fm_listing_t *listing, const fw_endpoint_t *endpoint)
{
  for (const GList *link = listing->removed.tail; link; link = link->prev)
    {
      const removed_t *removed = link->data;

      if (removed->endpoint.member.incarnation == endpoint->member.incarnation
          && fb_equal_name (&removed->endpoint.member.id, &endpoint->member.id))
        return removed;
    }
  return NULL;
}

/* Returns whether the start of an instance that ENDPOINT describes was listed as leaving, as
 * ENTRY or, if that is NULL, before it was removed. */
static bool
was_leaving (const fm_listing_t *listing, const listed_t *entry, const fw_endpoint_t *endpoint)
{
  const removed_t *removed;

  if (endpoint->member.incarnation == 0)
    return false;
  if (entry)
    return entry->endpoint.member.state == FW_LEAVING
           && entry->endpoint.member.incarnation == endpoint->member.incarnation;
  removed = find_removal (listing, endpoint);
  return removed && removed->was_leaving;
}

/* Returns whether ENDPOINT, not listed so far, comes from the copy that the source was restored
 * from: its instance had gone, and has not written since. */
static bool
is_from_copy (const fm_listing_t *listing, const fw_endpoint_t *endpoint)
{
  const removed_t *removed;

  if (!listing->in_full_read || endpoint->member.incarnation == 0
      || fb_read_clock (listing->clock) >= listing->expiry_ends_at)
    return false;
  removed = find_removal (listing, endpoint);
  return removed && removed->sequence <= listing->restored_sequence;
}

static listed_t *
create_entry (fm_listing_t *listing, const fw_endpoint_t *endpoint)
{
  listed_t *entry = g_new0 (listed_t, 1);

  entry->endpoint = *endpoint;
  entry->sequence = ++listing->sequence;
  g_hash_table_insert (listing->entries, &entry->endpoint.member.id, entry);
  return entry;
}

static void
report_change (fm_listing_t *listing, listed_t *entry)
{
  entry->sequence = ++listing->sequence;
  entry->expiring = false;
  listing->changed (&entry->endpoint, listing->known_at, listing->user);
}

/* Returns whether ENDPOINT changes nothing that is reported of ENTRY. */
static bool
is_known (const fm_listing_t *listing, const listed_t *entry, const fw_endpoint_t *endpoint)
{
  return is_same_endpoint (&entry->endpoint, endpoint)
         && (!entry->expiring || listing->in_full_read);
}

static void
update_endpoint (fm_listing_t *listing, listed_t *entry, const fw_endpoint_t *endpoint)
{
  bool is_new = !entry;

  if (is_new)
    {
      entry = create_entry (listing, endpoint);
      entry->expiring = is_from_copy (listing, endpoint);
    }
  /* Visits may have left it out. */
  if (entry->missing)
    entry->sequence = ++listing->sequence;
  entry->seen = true;
  entry->missing = false;
  if (is_new ? entry->expiring : is_known (listing, entry, endpoint))
    return;
  entry->endpoint = *endpoint;
  report_change (listing, entry);
}

void
fm_add_endpoint (fm_listing_t *listing, const fw_endpoint_t *endpoint)
{
  listed_t *entry = g_hash_table_lookup (listing->entries, &endpoint->member.id);
  fw_endpoint_t listed = *endpoint;

  /* A source that was restored lists it as it was before. */
  if (was_leaving (listing, entry, endpoint))
    listed.member.state = FW_LEAVING;
  update_endpoint (listing, entry, &listed);
}

/* Records the removal of ENTRY, and reports it if ENTRY was reported; the caller removes it
 * from the table. */
static void
report_removal (fm_listing_t *listing, const listed_t *entry)
{
  removed_t *removed = g_new0 (removed_t, 1);

  removed->endpoint = entry->endpoint;
  removed->was_leaving = entry->endpoint.member.state == FW_LEAVING;
  removed->endpoint.member.state = FW_DEAD;
  removed->sequence = ++listing->sequence;
  g_queue_push_tail (&listing->removed, removed);
  if (listing->removed.length > REMOVED_ENDPOINTS_MAX)
    {
      removed_t *oldest = g_queue_pop_head (&listing->removed);

      listing->discarded_sequence = oldest->sequence;
      g_free (oldest);
    }
  if (!entry->expiring)
    listing->changed (&removed->endpoint,
                      entry->missing ? entry->missing_since : listing->known_at, listing->user);
}

bool
fm_is_listing_settled (const fm_listing_t *listing)
{
  return !listing->source_unavailable && !listing->is_unconfirmed
         && fb_read_clock (listing->clock) >= listing->grace_ends_at;
}

bool
fm_is_listing_shareable (const fm_listing_t *listing)
{
  return fm_is_listing_settled (listing)
         || (!listing->source_unavailable && listing->source_restored);
}

/* Other nodes, which get the changes of this listing, wait for the removal themselves. */
static void
mark_missing (fm_listing_t *listing, listed_t *entry)
{
  if (entry->missing)
    return;
  entry->sequence = ++listing->sequence;
  entry->missing = true;
  entry->missing_since = listing->known_at;
}

void
fm_remove_endpoint (fm_listing_t *listing, const fb_name_t *id)
{
  listed_t *entry = g_hash_table_lookup (listing->entries, id);

  if (!entry)
    return;
  if (!entry->expiring && !fm_is_listing_settled (listing))
    {
      mark_missing (listing, entry);
      return;
    }
  report_removal (listing, entry);
  g_hash_table_remove (listing->entries, id);
}

void
fm_begin_full_read (fm_listing_t *listing)
{
  GHashTableIter iter;
  gpointer value;

  listing->in_full_read = true;
  g_hash_table_iter_init (&iter, listing->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((listed_t *)value)->seen = false;
}

void
fm_end_full_read (fm_listing_t *listing)
{
  GHashTableIter iter;
  gpointer value;

  listing->in_full_read = false;
  g_hash_table_iter_init (&iter, listing->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      listed_t *entry = value;

      if (!entry->seen && entry->expiring)
        {
          report_removal (listing, entry);
          g_hash_table_iter_remove (&iter);
        }
      else if (!entry->seen)
        mark_missing (listing, entry);
    }
  fm_tick_listing (listing);
}

void
fm_mark_source_unavailable (fm_listing_t *listing)
{
  if (!listing->source_unavailable)
    {
      listing->source_restored = false;
      listing->available_sequence = listing->sequence;
    }
  listing->source_unavailable = true;
}

static void
begin_grace (fm_listing_t *listing)
{
  listing->grace_ends_at = fb_read_clock (listing->clock) + FM_RELIST_GRACE;
}

void
fm_mark_source_available (fm_listing_t *listing, bool after_outage)
{
  if (!listing->source_unavailable)
    return;
  listing->source_unavailable = false;
  listing->is_unconfirmed = !after_outage;
  if (after_outage)
    begin_grace (listing);
}

/* Returns whether more than half of the endpoints have gone missing since the source became
 * unavailable. */
static bool
has_lost_most (const fm_listing_t *listing)
{
  size_t missing = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, listing->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const listed_t *entry = value;

      missing += entry->missing && entry->sequence > listing->available_sequence;
    }
  return 2 * missing > g_hash_table_size (listing->entries);
}

void
fm_set_known_time (fm_listing_t *listing, fb_time_t time)
{
  listing->known_at = time;
  if (listing->is_unconfirmed && !listing->source_unavailable)
    {
      listing->is_unconfirmed = false;
      if (has_lost_most (listing))
        begin_grace (listing);
    }
}

void
fm_mark_source_restored (fm_listing_t *listing)
{
  listing->restored_sequence = listing->sequence;
  listing->expiry_ends_at = fb_read_clock (listing->clock) + FM_EXPIRY_TIME;
  listing->source_restored = true;
  begin_grace (listing);
}

/* An instance whose entry has not expired by now is alive. */
static void
report_unexpired (fm_listing_t *listing)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, listing->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((listed_t *)value)->expiring)
      report_change (listing, value);
}

static void
remove_missing (fm_listing_t *listing)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, listing->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      listed_t *entry = value;

      if (!entry->missing)
        continue;
      report_removal (listing, entry);
      g_hash_table_iter_remove (&iter);
    }
}

void
fm_tick_listing (fm_listing_t *listing)
{
  if (fm_is_listing_settled (listing))
    remove_missing (listing);
  if (!listing->source_unavailable && fb_read_clock (listing->clock) >= listing->expiry_ends_at)
    report_unexpired (listing);
}

bool
fm_is_missing (const fm_listing_t *listing, const fb_name_t *id)
{
  const listed_t *entry = g_hash_table_lookup (listing->entries, id);

  return entry && entry->missing;
}

size_t
fm_count_endpoints (const fm_listing_t *listing)
{
  return g_hash_table_size (listing->entries);
}

uint64_t
fm_get_listing_sequence (const fm_listing_t *listing)
{
  return listing->sequence;
}

bool
fm_visit_listing_changes (const fm_listing_t *listing, uint64_t sequence,
                          fm_endpoint_fn_t visit, void *user)
{
  GHashTableIter iter;
  gpointer value;

  if (sequence > 0 && sequence < listing->discarded_sequence)
    return false;
  /* Removals come first: an id listed again is visited in both loops, and the last visit
   * applies. */
  for (const GList *link = listing->removed.head; link && sequence > 0; link = link->next)
    {
      const removed_t *removed = link->data;

      if (removed->sequence > sequence)
        visit (&removed->endpoint, user);
    }
  g_hash_table_iter_init (&iter, listing->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const listed_t *entry = value;
      fw_endpoint_t removed = entry->endpoint;

      removed.member.state = FW_DEAD;
      if (entry->sequence > sequence && entry->missing && sequence > 0)
        visit (&removed, user);
      else if (entry->sequence > sequence && !entry->missing)
        visit (&entry->endpoint, user);
    }
  return true;
}
