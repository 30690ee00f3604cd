/* Reads of the configuration source: which nodes read, when, and how results are handled. */
#include "dist-state.h"

/* Reads the source without a wait. */
static const fb_position_t no_position;

typedef struct
{
  const fw_member_t *self;
  uint64_t weight;     /* of this node */
  size_t higher_count; /* members of the zone with a higher weight */
} weight_comparison_t;

static bool
compare_weight (const fw_member_t *member, void *user)
{
  weight_comparison_t *comparison = user;
  uint64_t weight;

  if (member->state != FW_ALIVE || !fb_equal_name (&member->zone, &comparison->self->zone)
      || fb_equal_name (&member->id, &comparison->self->id))
    return true;
  weight = fb_get_rendezvous_weight (fb_get_name (&member->zone), fb_get_name (&member->id));
  if (weight > comparison->weight
      || (weight == comparison->weight
          && fb_compare_names (&member->id, &comparison->self->id) > 0))
    comparison->higher_count++;
  return comparison->higher_count < FD_ZONE_READERS;
}

/* Returns whether this node is one of the readers of its zone. Suspect members do not count as
 * alive, so that the next reader starts within about 1.3 s of a failure instead of 5.3 s; a
 * wrong suspicion only adds a reader for a while. */
static bool
is_zone_reader (const fd_node_t *node)
{
  weight_comparison_t comparison = { .self = fm_get_self (node->members) };

  if (node->standalone)
    return true;
  if (comparison.self->state == FW_LEAVING || comparison.self->state == FW_DEAD)
    return false;
  comparison.weight = fb_get_rendezvous_weight (fb_get_name (&comparison.self->zone),
                                                fb_get_name (&comparison.self->id));
  fm_visit_members (node->members, compare_weight, &comparison);
  return comparison.higher_count < FD_ZONE_READERS;
}

/* Returns whether the zone is known well enough to choose readers. A starting node knows no
 * members and would choose itself; in a restart of the whole fleet all would then have a call
 * open at the source. It waits until it has joined, or for FD_JOIN_TIMEOUT when nobody
 * responds. */
static bool
knows_members (const fd_node_t *node)
{
  return node->standalone || node->ready
         || fb_read_clock (node->clock) - node->join.started_at >= FD_JOIN_TIMEOUT;
}

void
fd_update_reader (fd_node_t *node)
{
  fb_time_t now = fb_read_clock (node->clock);
  bool was_reader = node->source.is_reader;

  if (now - node->source.reader_checked_at < FD_READER_CHECK_PERIOD)
    return;
  node->source.reader_checked_at = now;
  node->source.is_reader = knows_members (node) && is_zone_reader (node);
  /* The index may have been reset meanwhile; with the old one the first read could wait its
   * full time and miss a new document. */
  if (node->source.is_reader && !was_reader)
    node->source.position = no_position;
}

/* Returns whether a joining node still needs a response of the source. */
static bool
needs_source_response (const fd_node_t *node)
{
  return !node->ready && !node->join.source_responded;
}

void
fd_tick_source (fd_node_t *node)
{
  fb_time_t now = fb_read_clock (node->clock);
  fd_source_t *source = &node->source;

  fd_update_reader (node);
  if (source->outstanding || now < source->next_at
      || (!source->is_reader && !needs_source_response (node)))
    return;
  if (!node->standalone && !fd_consume_token (&source->call_bucket, now))
    return;
  if (needs_source_response (node))
    source->position = no_position;
  source->outstanding = true;
  source->started_at = now;
  fb_add_counter (node->counters.source_reads, 1);
  node->hooks.read_source (source->position, node->hooks.user);
}

/* Full jitter: a uniform delay below a bound that doubles with each failure, so that readers
 * that failed together do not retry together. */
static void
schedule_retry (fd_node_t *node)
{
  fd_source_t *source = &node->source;
  fb_time_t bound = FD_SOURCE_BACKOFF_MAX;

  if (source->failures < 6)
    bound = MIN (bound, FD_SOURCE_BACKOFF_MIN << source->failures);
  source->failures++;
  source->next_at
      = fb_read_clock (node->clock) + (fb_time_t)(g_rand_double (node->random) * (double)bound);
}

/* Returns false if the document is refused. */
static bool
apply_value (fd_node_t *node, fb_position_t position, fb_bytes_t document)
{
  fb_version_t version = { .revision = position.revision };
  fd_document_outcome_t outcome = fd_apply_document (node, &version, document);

  if (outcome == FD_DOCUMENT_STALE)
    fb_add_counter (node->counters.source_stale, 1);
  return outcome != FD_DOCUMENT_REFUSED;
}

/* Handles the result of a read; returns false when the read failed. */
static bool
handle_result (fd_node_t *node, fb_status_t status, fb_position_t position)
{
  fd_source_t *source = &node->source;

  switch (status)
    {
    /* When nothing is published, the version in force stays. */
    case FB_OK:
    case FB_NOT_FOUND:
      source->position = position;
      return true;
    case FB_TIMEOUT:
      /* A read without a wait cannot time out for lack of a change. */
      if (source->position.revision == 0)
        return false;
      if (position.revision != 0 && position.revision < source->position.revision)
        source->position = no_position;
      return true;
    default:
      return false;
    }
}

bool
fd_handle_source_result (fd_node_t *node, fb_status_t status, fb_position_t position,
                         fb_bytes_t document)
{
  fd_source_t *source = &node->source;
  bool accepted = true;

  fd_check_pause (node);
  if (!source->outstanding)
    {
      fb_add_counter (node->counters.invalid_messages, 1);
      return true;
    }
  source->outstanding = false;
  if (status == FB_OK)
    accepted = apply_value (node, position, document);
  if (handle_result (node, status, position))
    {
      source->failures = 0;
      source->next_at = fb_read_clock (node->clock);
      /* A response to a read that started before a pause may be as old as the pause. */
      if (source->started_at >= node->join.started_at)
        node->join.source_responded = true;
      /* The source cannot wait for a change after index 0. */
      if (source->position.revision == 0)
        schedule_retry (node);
    }
  else
    {
      /* A source that was down may come back with a lower index, and a wait for the old one
       * would miss its next changes. */
      source->position = no_position;
      fb_add_counter (node->counters.source_failures, 1);
      schedule_retry (node);
    }
  fd_update_ready (node);
  return accepted;
}
