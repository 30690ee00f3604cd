/* Reads of the configuration source: who reads, when, and what an answer means. */
#include "dist-state.h"

typedef struct
{
  const fw_member_t *self;
  uint64_t weight; /* of this node */
  size_t above;    /* members of the zone that come before this node */
} ranking_t;

static bool
rank_member (const fw_member_t *member, void *user)
{
  ranking_t *ranking = user;
  uint64_t weight;

  if (member->state != FW_ALIVE || !fb_equal_name (&member->zone, &ranking->self->zone)
      || fb_equal_name (&member->id, &ranking->self->id))
    return true;
  weight = fb_get_rendezvous_weight (fb_get_name (&member->zone), fb_get_name (&member->id));
  if (weight > ranking->weight
      || (weight == ranking->weight && fb_compare_names (&member->id, &ranking->self->id) > 0))
    ranking->above++;
  return ranking->above < FD_ZONE_READERS;
}

/* Suspect members do not count as live, so that the next reader starts within about 1.3 s of a
 * failure instead of 5.3 s; a wrong suspicion only adds a reader for a while. */
static bool
rank_self (const fd_node_t *node)
{
  ranking_t ranking = { .self = fm_get_self (node->members) };

  if (node->standalone)
    return true;
  if (ranking.self->state == FW_LEAVING || ranking.self->state == FW_DEAD)
    return false;
  ranking.weight = fb_get_rendezvous_weight (fb_get_name (&ranking.self->zone),
                                             fb_get_name (&ranking.self->id));
  fm_visit_members (node->members, rank_member, &ranking);
  return ranking.above < FD_ZONE_READERS;
}

/* A starting node knows no members and would take itself for a reader; in a restart of the
 * whole fleet each node would then hold a call at the source. It waits until it has joined, or
 * for the join's waiting time when nobody answers. */
static bool
knows_members (const fd_node_t *node)
{
  return node->standalone || node->ready
         || fb_read_clock (node->clock) - node->join.started_at >= FD_JOIN_WAIT;
}

void
fd_update_reader (fd_node_t *node)
{
  fb_time_t now = fb_read_clock (node->clock);
  bool was_reader = node->source.reader;

  if (now - node->source.reader_at < FD_READER_PERIOD)
    return;
  node->source.reader_at = now;
  node->source.reader = knows_members (node) && rank_self (node);
  /* The index may have been reset while this node did not watch; with the old one the first
   * read could wait its full time without seeing a new document. */
  if (node->source.reader && !was_reader)
    node->source.index = 0;
}

/* Returns whether a joining node still lacks an answer of the source. */
static bool
needs_source (const fd_node_t *node)
{
  return !node->ready && !node->join.source_answered;
}

void
fd_tick_source (fd_node_t *node)
{
  fb_time_t now = fb_read_clock (node->clock);
  fd_source_t *source = &node->source;

  fd_update_reader (node);
  if (source->outstanding || now < source->next_at || (!source->reader && !needs_source (node)))
    return;
  if (!node->standalone && !fd_take_token (&source->calls, now))
    return;
  if (needs_source (node))
    source->index = 0;
  source->outstanding = true;
  source->started_at = now;
  fb_add_counter (node->counters.source_reads, 1);
  node->hooks.read_source (source->index, node->hooks.user);
}

/* Full jitter: a uniform delay below a bound that doubles with each failure, so that readers
 * that failed together do not return together. */
static void
back_off (fd_node_t *node)
{
  fd_source_t *source = &node->source;
  fb_time_t bound = FD_BACKOFF_MAX;

  if (source->failures < 6)
    bound = MIN (bound, FD_BACKOFF_MIN << source->failures);
  source->failures++;
  source->next_at
      = fb_read_clock (node->clock) + (fb_time_t)(g_rand_double (node->random) * (double)bound);
}

static void
take_value (fd_node_t *node, uint64_t index, fb_bytes_t document)
{
  fb_version_t version = { .revision = index };
  fd_verdict_t verdict = fd_judge_document (node, &version, document);

  if (verdict == FD_OLD)
    fb_add_counter (node->counters.source_stale, 1);
}

/* Takes the answer of the source; returns false when it is a failure. */
static bool
take_answer (fd_node_t *node, fb_status_t status, uint64_t index, fb_bytes_t document)
{
  fd_source_t *source = &node->source;

  switch (status)
    {
    case FB_OK:
      take_value (node, index, document);
      source->index = index;
      return true;
    case FB_NOT_FOUND:
      /* Nothing published empties nothing: the version in force stays. */
      source->index = index;
      return true;
    case FB_TIMEOUT:
      /* A read without a wait does not time out by the absence of a change. */
      if (source->index == 0)
        return false;
      if (index != 0 && index < source->index)
        source->index = 0;
      return true;
    default:
      return false;
    }
}

void
fd_handle_source_value (fd_node_t *node, fb_status_t status, uint64_t index,
                        fb_bytes_t document)
{
  fd_source_t *source = &node->source;

  fd_check_pause (node);
  if (!source->outstanding)
    {
      fb_add_counter (node->counters.bad_messages, 1);
      return;
    }
  source->outstanding = false;
  if (take_answer (node, status, index, document))
    {
      source->failures = 0;
      source->next_at = fb_read_clock (node->clock);
      /* An answer to a read from before a pause may be as old as the pause. */
      if (source->started_at >= node->join.started_at)
        node->join.source_answered = true;
      /* An index of 0 cannot be waited for. */
      if (source->index == 0)
        back_off (node);
    }
  else
    {
      /* A source that was down may come back with a lower index; waiting for the old one would
       * miss its next changes. */
      source->index = 0;
      fb_add_counter (node->counters.source_failures, 1);
      back_off (node);
    }
  fd_check_ready (node);
}
