/* The join of a starting or resumed node: it catches up before it takes calls. */
#include "dist-state.h"
#include <string.h>

/* Collects the members that may be asked. */
static bool
add_candidate (const fw_member_t *member, void *user)
{
  if (member->state == FW_ALIVE || member->state == FW_SUSPECT)
    g_ptr_array_add (user, g_memdup2 (member, sizeof *member));
  return true;
}

static GPtrArray *
list_candidates (fd_node_t *node)
{
  const fb_name_t *self = &fm_get_self (node->members)->id;
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);

  fm_visit_members (node->members, add_candidate, list);
  for (guint i = list->len; i > 0; i--)
    {
      const fw_member_t *member = g_ptr_array_index (list, i - 1);

      if (fb_equal_name (&member->id, self))
        g_ptr_array_remove_index_fast (list, i - 1);
    }
  for (guint i = list->len; i > 1; i--)
    {
      guint other = (guint)g_rand_int_range (node->random, 0, (gint32)i);
      gpointer swap = list->pdata[i - 1];

      list->pdata[i - 1] = list->pdata[other];
      list->pdata[other] = swap;
    }
  return list;
}

static bool
is_asked (const fd_join_t *join, const fb_name_t *id)
{
  for (size_t i = 0; i < join->peer_count; i++)
    {
      if (fb_equal_name (&join->peers[i].id, id))
        return true;
    }
  return false;
}

static void
ask_summary (fd_node_t *node, const fw_member_t *member)
{
  fw_control_t message = fd_make_message (node, FW_SUMMARY_REQUEST, fd_next_request (node));
  fd_join_peer_t *peer = &node->join.peers[node->join.peer_count++];

  *peer = (fd_join_peer_t){ .id = member->id, .request = message.request_id };
  node->hooks.send (member, &message, node->hooks.user);
}

/* Returns whether everyone asked is in ZONE. */
static bool
is_only_zone (const fd_node_t *node, const fb_name_t *zone)
{
  for (size_t i = 0; i < node->join.peer_count; i++)
    {
      const fw_member_t *member = fm_find_member (node->members, &node->join.peers[i].id);

      if (member != NULL && !fb_equal_name (&member->zone, zone))
        return false;
    }
  return true;
}

/* Asks members from CANDIDATES until 6 are asked, in at least 2 zones if there are members in 2
 * zones: the last place is kept for another zone while all others are in one. */
static void
ask_summaries (fd_node_t *node, const GPtrArray *candidates)
{
  fd_join_t *join = &node->join;

  for (guint pass = 0; pass < 2; pass++)
    {
      for (guint i = 0; i < candidates->len && join->peer_count < FD_JOIN_PEERS; i++)
        {
          const fw_member_t *member = g_ptr_array_index (candidates, i);
          bool is_last = join->peer_count == FD_JOIN_PEERS - 1;

          if (is_asked (join, &member->id)
              || (pass == 0 && is_last && is_only_zone (node, &member->zone)))
            continue;
          ask_summary (node, member);
        }
    }
}

static void
ask_page (fd_node_t *node, fd_walk_t *walk)
{
  const fw_member_t *member = fm_find_member (node->members, &walk->id);
  fw_control_t message = fd_make_message (node, FW_MEMBERS_REQUEST, fd_next_request (node));

  if (member == NULL)
    {
      *walk = (fd_walk_t){ .active = false };
      return;
    }
  message.page = walk->page;
  walk->request = message.request_id;
  walk->deadline = fb_read_clock (node->clock) + FD_JOIN_ROUND;
  node->hooks.send (member, &message, node->hooks.user);
}

static bool
is_walked (const fd_join_t *join, const fb_name_t *id)
{
  for (size_t i = 0; i < FD_JOIN_WALKS; i++)
    {
      if (fb_equal_name (&join->walks[i].id, id))
        return true;
    }
  return false;
}

/* Gives each walk without an answer another member; an unfinished walk starts over there,
 * because two lists are not paged alike. */
static void
ask_pages (fd_node_t *node, const GPtrArray *candidates)
{
  fd_join_t *join = &node->join;
  fb_time_t now = fb_read_clock (node->clock);

  for (size_t i = 0; i < FD_JOIN_WALKS; i++)
    {
      fd_walk_t *walk = &join->walks[i];

      if (walk->id.len > 0 && (!walk->active || now < walk->deadline))
        continue;
      *walk = (fd_walk_t){ .active = false };
      for (guint j = 0; j < candidates->len; j++)
        {
          const fw_member_t *member = g_ptr_array_index (candidates, j);

          if (is_walked (join, &member->id))
            continue;
          *walk = (fd_walk_t){ .active = true, .id = member->id };
          ask_page (node, walk);
          break;
        }
    }
}

static void
drop_silent_peers (fd_join_t *join)
{
  for (size_t i = join->peer_count; i > 0; i--)
    {
      if (!join->peers[i - 1].answered)
        join->peers[i - 1] = join->peers[--join->peer_count];
    }
}

void
fd_start_join (fd_node_t *node)
{
  fb_time_t now = fb_read_clock (node->clock);
  bool was_ready = node->ready;

  memset (&node->join, 0, sizeof node->join);
  node->join.started_at = now;
  node->join.round_at = now;
  node->source.next_at = now;
  if (!node->standalone)
    node->source.next_at += (fb_time_t)(g_rand_double (node->random) * (double)FD_JOIN_SPREAD);
  node->ready = false;
  fb_add_counter (node->counters.joins, 1);
  fb_set_counter (node->counters.ready, 0);
  if (was_ready)
    node->hooks.set_ready (false, node->hooks.user);
}

void
fd_handle_join_summary (fd_node_t *node, const fw_control_t *message)
{
  for (size_t i = 0; i < node->join.peer_count; i++)
    {
      fd_join_peer_t *peer = &node->join.peers[i];

      if (peer->request != message->request_id || !fb_equal_name (&peer->id, &message->sender))
        continue;
      peer->answered = true;
      peer->ready = message->ready;
      node->join.peer_answered = true;
    }
}

void
fd_handle_divergence (fd_node_t *node, const fw_member_t *peer)
{
  fb_name_t id = peer->id;

  fd_check_pause (node);
  for (size_t i = 0; i < FD_JOIN_WALKS; i++)
    {
      fd_walk_t *walk = &node->join.walks[i];

      if (walk->active && fb_read_clock (node->clock) < walk->deadline)
        continue;
      *walk = (fd_walk_t){ .active = true, .id = id };
      ask_page (node, walk);
      return;
    }
}

void
fd_handle_join_members (fd_node_t *node, const fw_control_t *message)
{
  for (size_t i = 0; i < FD_JOIN_WALKS; i++)
    {
      fd_walk_t *walk = &node->join.walks[i];

      if (!walk->active || walk->request != message->request_id
          || !fb_equal_name (&walk->id, &message->sender))
        continue;
      fm_merge_members (node->members, message->members, message->member_count);
      walk->page++;
      if (walk->page < message->page_count)
        {
          ask_page (node, walk);
          return;
        }
      walk->active = false;
      node->join.listed = true;
      return;
    }
}

/* Questions go out in rounds of 1 s. In each, the places of members that did not answer go to
 * members chosen anew, and members learned meanwhile fill the free places. When nobody answers,
 * the node asks on, reads the source at the pace of its back-off, and stays not ready: a node
 * that is cut off cannot know how old its version is. */
void
fd_tick_join (fd_node_t *node)
{
  fd_join_t *join = &node->join;
  fb_time_t now = fb_read_clock (node->clock);
  GPtrArray *candidates;

  if (node->ready)
    return;
  if (now >= join->round_at)
    {
      drop_silent_peers (join);
      join->round_at = now + FD_JOIN_ROUND;
    }
  else if (join->peer_count == FD_JOIN_PEERS && (join->walks[0].id.len > 0)
           && (join->walks[1].id.len > 0))
    return;
  candidates = list_candidates (node);
  ask_summaries (node, candidates);
  ask_pages (node, candidates);
  g_ptr_array_unref (candidates);
}

/* Each member asked has answered, at least one of them takes calls, and they were chosen from a
 * whole member list. In a restart of the whole fleet no member takes calls yet and their
 * answers say nothing about newer versions, so the node waits. */
static bool
has_all_answers (const fd_node_t *node)
{
  const fd_join_t *join = &node->join;
  bool is_ready = false;

  if (node->standalone)
    return join->source_answered;
  for (size_t i = 0; i < join->peer_count; i++)
    {
      if (!join->peers[i].answered)
        return false;
      is_ready |= join->peers[i].ready;
    }
  return is_ready && join->listed && join->source_answered;
}

void
fd_check_ready (fd_node_t *node)
{
  const fd_join_t *join = &node->join;
  fb_time_t waited = fb_read_clock (node->clock) - join->started_at;

  if (node->ready || !node->begun || node->snapshot == NULL)
    return;
  /* A peer holds a higher version: this node may have held it too before it restarted. Peers
   * that are dead or do not deliver are dropped from the announcers. */
  if (node->announcer_count > 0)
    return;
  if (!has_all_answers (node)
      && !(waited >= FD_JOIN_WAIT && (join->peer_answered || join->source_answered)))
    return;
  node->ready = true;
  fb_set_counter (node->counters.ready, 1);
  node->hooks.set_ready (true, node->hooks.user);
}
