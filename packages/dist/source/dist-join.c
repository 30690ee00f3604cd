/* Join of a starting or resumed node, which catches up before it accepts calls. */
#include "dist-state.h"
#include <string.h>

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
has_peer (const fd_join_t *join, const fb_name_t *id)
{
  for (size_t i = 0; i < join->peer_count; i++)
    {
      if (fb_equal_name (&join->peers[i].id, id))
        return true;
    }
  return false;
}

static void
request_summary (fd_node_t *node, const fw_member_t *member)
{
  fw_control_t message = fd_make_message (node, FW_SUMMARY_REQUEST, fd_next_request_id (node));
  fd_join_peer_t *peer = &node->join.peers[node->join.peer_count++];

  *peer = (fd_join_peer_t){ .id = member->id, .request_id = message.request_id };
  node->hooks.send (member, &message, node->hooks.user);
}

static bool
are_peers_in_zone (const fd_node_t *node, const fb_name_t *zone)
{
  for (size_t i = 0; i < node->join.peer_count; i++)
    {
      const fw_member_t *member = fm_find_member (node->members, &node->join.peers[i].id);

      if (member != NULL && !fb_equal_name (&member->zone, zone))
        return false;
    }
  return true;
}

/* Makes CANDIDATES peers, up to FD_JOIN_PEERS, and requests their summaries. While all are
 * in one zone, the last place goes to another zone, if possible. */
static void
request_summaries (fd_node_t *node, const GPtrArray *candidates)
{
  fd_join_t *join = &node->join;

  /* The second pass fills the reserved place when there is no other zone. */
  for (guint pass = 0; pass < 2; pass++)
    {
      for (guint i = 0; i < candidates->len && join->peer_count < FD_JOIN_PEERS; i++)
        {
          const fw_member_t *member = g_ptr_array_index (candidates, i);
          bool is_last = join->peer_count == FD_JOIN_PEERS - 1;

          if (has_peer (join, &member->id)
              || (pass == 0 && is_last && are_peers_in_zone (node, &member->zone)))
            continue;
          request_summary (node, member);
        }
    }
}

static void
request_page (fd_node_t *node, fd_list_fetch_t *fetch)
{
  const fw_member_t *member = fm_find_member (node->members, &fetch->peer_id);
  fw_control_t message = fd_make_message (node, FW_MEMBERS_REQUEST, fd_next_request_id (node));

  if (member == NULL)
    {
      *fetch = (fd_list_fetch_t){ .active = false };
      return;
    }
  message.page = fetch->page;
  fetch->request_id = message.request_id;
  fetch->deadline = fb_read_clock (node->clock) + FD_JOIN_ROUND_PERIOD;
  node->hooks.send (member, &message, node->hooks.user);
}

static bool
is_fetching_from (const fd_join_t *join, const fb_name_t *id)
{
  for (size_t i = 0; i < FD_JOIN_LIST_FETCHES; i++)
    {
      if (fb_equal_name (&join->list_fetches[i].peer_id, id))
        return true;
    }
  return false;
}

/* Starts the list fetches. After a timeout it starts over at the first page, from any
 * member: pages of two lists do not correspond. */
static void
start_list_fetches (fd_node_t *node, const GPtrArray *candidates)
{
  fd_join_t *join = &node->join;
  fb_time_t now = fb_read_clock (node->clock);

  for (size_t i = 0; i < FD_JOIN_LIST_FETCHES; i++)
    {
      fd_list_fetch_t *fetch = &join->list_fetches[i];

      if (fetch->peer_id.len > 0 && (!fetch->active || now < fetch->deadline))
        continue;
      *fetch = (fd_list_fetch_t){ .active = false };
      for (guint j = 0; j < candidates->len; j++)
        {
          const fw_member_t *member = g_ptr_array_index (candidates, j);

          if (is_fetching_from (join, &member->id))
            continue;
          *fetch = (fd_list_fetch_t){ .active = true, .peer_id = member->id };
          request_page (node, fetch);
          break;
        }
    }
}

static void
remove_unresponsive_peers (fd_join_t *join)
{
  for (size_t i = join->peer_count; i > 0; i--)
    {
      if (!join->peers[i - 1].responded)
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
  node->join.next_round_at = now;
  node->source.next_at = now;
  if (!node->standalone)
    node->source.next_at
        += (fb_time_t)(g_rand_double (node->random) * (double)FD_JOIN_SOURCE_DELAY_MAX);
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

      if (peer->request_id != message->request_id
          || !fb_equal_name (&peer->id, &message->sender))
        continue;
      peer->responded = true;
      peer->ready = message->ready;
      node->join.peer_responded = true;
    }
}

void
fd_handle_divergence (fd_node_t *node, const fw_member_t *peer)
{
  fb_name_t id = peer->id;

  fd_check_pause (node);
  for (size_t i = 0; i < FD_JOIN_LIST_FETCHES; i++)
    {
      fd_list_fetch_t *fetch = &node->join.list_fetches[i];

      if (fetch->active && fb_read_clock (node->clock) < fetch->deadline)
        continue;
      *fetch = (fd_list_fetch_t){ .active = true, .peer_id = id };
      request_page (node, fetch);
      return;
    }
}

void
fd_handle_join_members (fd_node_t *node, const fw_control_t *message)
{
  for (size_t i = 0; i < FD_JOIN_LIST_FETCHES; i++)
    {
      fd_list_fetch_t *fetch = &node->join.list_fetches[i];

      if (!fetch->active || fetch->request_id != message->request_id
          || !fb_equal_name (&fetch->peer_id, &message->sender))
        continue;
      fm_merge_members (node->members, message->members, message->member_count);
      fetch->page++;
      if (fetch->page < message->page_count)
        {
          request_page (node, fetch);
          return;
        }
      fetch->active = false;
      node->join.member_list_received = true;
      return;
    }
}

/* Each round replaces silent peers and adds new candidates. Rounds go on without any
 * response: a node that is cut off cannot know how old its version is and must not become
 * ready. */
void
fd_tick_join (fd_node_t *node)
{
  fd_join_t *join = &node->join;
  fb_time_t now = fb_read_clock (node->clock);
  GPtrArray *candidates;

  if (node->ready)
    return;
  if (now >= join->next_round_at)
    {
      remove_unresponsive_peers (join);
      join->next_round_at = now + FD_JOIN_ROUND_PERIOD;
    }
  else if (join->peer_count == FD_JOIN_PEERS && (join->list_fetches[0].peer_id.len > 0)
           && (join->list_fetches[1].peer_id.len > 0))
    return;
  candidates = list_candidates (node);
  request_summaries (node, candidates);
  start_list_fetches (node, candidates);
  g_ptr_array_unref (candidates);
}

/* Returns whether all peers and the source have responded, at least one peer is ready, and
 * a complete member list was received, which makes further members candidates. In a restart of
 * the whole fleet no peer is ready and responses tell nothing of newer versions, so the node
 * waits. */
static bool
has_caught_up (const fd_node_t *node)
{
  const fd_join_t *join = &node->join;
  bool any_peer_ready = false;

  if (node->standalone)
    return join->source_responded;
  for (size_t i = 0; i < join->peer_count; i++)
    {
      if (!join->peers[i].responded)
        return false;
      any_peer_ready |= join->peers[i].ready;
    }
  return any_peer_ready && join->member_list_received && join->source_responded;
}

void
fd_update_ready (fd_node_t *node)
{
  const fd_join_t *join = &node->join;
  fb_time_t waited = fb_read_clock (node->clock) - join->started_at;

  if (node->ready || !node->started || node->snapshot == NULL)
    return;
  /* A peer has a higher version in force, which this node may have applied before it
   * restarted. Dead or failing peers are removed from the announcers. */
  if (node->announcer_count > 0)
    return;
  if (!has_caught_up (node)
      && !(waited >= FD_JOIN_TIMEOUT && (join->peer_responded || join->source_responded)))
    return;
  node->ready = true;
  fb_set_counter (node->counters.ready, 1);
  node->hooks.set_ready (true, node->hooks.user);
}
