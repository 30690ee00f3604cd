#include "fixture-fleet.h"
#include <stdio.h>
#include <stdlib.h>

/* Time between two reads of the host list. */
#define HOST_LIST_INTERVAL (30 * FB_SECOND)

/* Time between the pings of a node that knows no other member. */
#define SEED_PING_INTERVAL FB_SECOND

/* Requests a node's member list; the response is an array of members. */
#define LIST_REQUEST ((fb_bytes_t){ (const uint8_t *)"?", 1 })

void
fleet_fail (fleet_t *fleet, const char *format, ...)
{
  char message[512];
  va_list arguments;

  va_start (arguments, format);
  g_vsnprintf (message, sizeof message, format, arguments);
  va_end (arguments);
  fprintf (stderr, "seed %u at %.3f s: %s\n", fleet->seed,
           (double)fb_read_clock (fx_get_clock (fleet->network)) / (double)FB_SECOND - 1000,
           message);
  abort ();
}

static fb_name_t
make_id (size_t node)
{
  char text[16];

  g_snprintf (text, sizeof text, "node-%02zu", node);
  return fb_make_name (text);
}

static fb_name_t
make_address (const fleet_node_t *node)
{
  char text[32];

  g_snprintf (text, sizeof text, "10.0.%u.%zu", node->generation, node->index);
  return fb_make_name (text);
}

static size_t
parse_id (const fb_name_t *id)
{
  return strtoul (id->data + sizeof "node-" - 1, NULL, 10);
}

static void
handle_send (const fb_name_t *address, uint16_t port, fb_bytes_t datagram, void *user)
{
  fleet_node_t *node = user;
  unsigned generation = 0;
  unsigned to = 0;

  g_assert_cmpuint (datagram.len, <=, FW_DATAGRAM_MAX);
  g_assert_cmpint (sscanf (address->data, "10.0.%u.%u", &generation, &to), ==, 2);
  if (generation == node->fleet->nodes[to].generation)
    fx_send (node->fleet->network, node->index, to, FX_DATAGRAM, datagram);
}

static void
handle_changed (const fw_member_t *member, const fw_member_t *previous, void *user)
{
  fleet_node_t *node = user;
  const fleet_node_t *subject = &node->fleet->nodes[parse_id (&member->id)];

  if (node->fleet->forbid_false_deaths && member->state == FW_DEAD && subject->state == FLEET_UP
      && member->incarnation >= subject->first_incarnation)
    fleet_fail (node->fleet, "node-%02zu declares node-%02zu dead, which is running",
                node->index, subject->index);
}

static void
handle_diverged (const fw_member_t *peer, void *user)
{
  fleet_node_t *node = user;

  fx_send (node->fleet->network, node->index, parse_id (&peer->id), FX_STREAM, LIST_REQUEST);
}

static bool
collect_member (const fw_member_t *member, void *user)
{
  g_array_append_vals (user, member, 1);
  return true;
}

static void
handle_list (fleet_node_t *node, size_t from, fb_bytes_t bytes)
{
  GArray *members = g_array_new (FALSE, FALSE, sizeof (fw_member_t));

  if (bytes.len == LIST_REQUEST.len)
    {
      fm_visit_members (node->table, collect_member, members);
      fx_send (
          node->fleet->network, node->index, from, FX_STREAM,
          (fb_bytes_t){ (const uint8_t *)members->data, members->len * sizeof (fw_member_t) });
    }
  else
    {
      g_array_append_vals (members, bytes.data, (guint)(bytes.len / sizeof (fw_member_t)));
      fm_merge_members (node->table, (const fw_member_t *)(const void *)members->data,
                        members->len);
    }
  g_array_free (members, TRUE);
}

static void
handle_receive (size_t node, size_t from, fx_channel_t channel, fb_bytes_t bytes, void *user)
{
  fleet_node_t *receiver = &((fleet_t *)user)->nodes[node];

  if (channel == FX_STREAM)
    handle_list (receiver, from, bytes);
  else
    g_assert_cmpint (fm_handle_datagram (receiver->table, bytes), ==, FB_OK);
}

static void
handle_tick (size_t index, void *user)
{
  fleet_t *fleet = user;
  fleet_node_t *node = &fleet->nodes[index];
  fb_time_t now = fb_read_clock (fx_get_clock (fleet->network));

  fm_tick (node->table);
  if (now >= node->next_host_list_at)
    {
      node->next_host_list_at = now + HOST_LIST_INTERVAL;
      for (size_t i = 0; i < fleet->count; i++)
        {
          fb_name_t id = make_id (i);
          fb_name_t address = make_address (&fleet->nodes[i]);
          const fw_member_t *member = fm_find_member (node->table, &id);
          if (!member || member->state == FW_DEAD)
            fm_probe_address (node->table, &address, 7000);
        }
    }
  if (now >= node->next_seed_ping_at && fm_count_members (node->table, FW_ALIVE) <= 1)
    {
      fb_name_t address = make_address (
          &fleet->nodes[g_rand_int_range (fleet->random, 0, (gint32)fleet->count)]);
      node->next_seed_ping_at = now + SEED_PING_INTERVAL;
      fm_probe_address (node->table, &address, 7000);
    }
}

typedef struct
{
  fleet_node_t *node;
  size_t counts[FW_DEAD + 1];
  size_t offered; /* alive or suspect members not yet found in a service */
  bool present[FX_NODES_MAX];
} scan_t;

static bool
scan_member (const fw_member_t *member, void *user)
{
  scan_t *scan = user;
  size_t index = parse_id (&member->id);
  observation_t *observed = &scan->node->observations[index];
  fb_time_t now = fb_read_clock (fx_get_clock (scan->node->fleet->network));

  scan->present[index] = true;
  scan->counts[member->state]++;
  if (member->state <= FW_SUSPECT)
    scan->offered++;
  if (observed->known
      && (member->incarnation < observed->incarnation
          || (member->incarnation == observed->incarnation && member->state < observed->state)))
    fleet_fail (scan->node->fleet, "node-%02zu reverts node-%02zu from %s@%lu to %s@%lu",
                scan->node->index, index, fw_describe_state (observed->state),
                observed->incarnation, fw_describe_state (member->state), member->incarnation);
  if (member->state == FW_DEAD && !(observed->known && observed->state == FW_DEAD))
    observed->dead_since = now;
  observed->known = true;
  observed->incarnation = member->incarnation;
  observed->state = member->state;
  return true;
}

static bool
scan_offer (const fw_member_t *member, void *user)
{
  scan_t *scan = user;
  size_t index = parse_id (&member->id);
  const fleet_node_t *subject = &scan->node->fleet->nodes[index];
  const observation_t *observed = &scan->node->observations[index];

  scan->offered--;
  if (observed->state > FW_SUSPECT)
    fleet_fail (scan->node->fleet, "node-%02zu offers node-%02zu, which is %s",
                scan->node->index, index, fw_describe_state (observed->state));
  if (subject == scan->node && subject->leaving)
    fleet_fail (scan->node->fleet, "node-%02zu offers itself while it leaves", index);
  return true;
}

static void
handle_check (size_t index, void *user)
{
  static const char *const services[] = { "ledger", "counter", "storefront" };
  fleet_t *fleet = user;
  scan_t scan = { .node = &fleet->nodes[index] };
  fb_time_t now = fb_read_clock (fx_get_clock (fleet->network));

  fm_visit_members (scan.node->table, scan_member, &scan);
  for (size_t i = 0; i < fleet->count; i++)
    {
      observation_t *observed = &scan.node->observations[i];
      if (!observed->known || scan.present[i])
        continue;
      if (observed->state != FW_DEAD
          || now - observed->dead_since < fm_get_default_options ().dead_retention)
        fleet_fail (fleet, "node-%02zu removes node-%02zu before the end of its retention",
                    index, i);
      observed->known = false;
    }
  for (size_t i = 0; i <= FW_DEAD; i++)
    if (scan.counts[i] != fm_count_members (scan.node->table, (fw_member_state_t)i))
      fleet_fail (fleet, "node-%02zu reports a wrong count of %s members", index,
                  fw_describe_state ((fw_member_state_t)i));
  for (size_t i = 0; i < G_N_ELEMENTS (services); i++)
    fm_visit_service (scan.node->table, fb_wrap_text (services[i]), scan_offer, &scan);
  if (scan.offered != 0)
    fleet_fail (fleet, "node-%02zu does not offer exactly its alive and suspect members",
                index);
}

fleet_t *
fleet_create (size_t count, uint32_t seed)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  fx_hooks_t hooks = { handle_receive, handle_tick, handle_check, fleet };

  fleet->network = fx_create_network (count, seed, &hooks);
  fleet->random = g_rand_new_with_seed (seed + 1);
  fleet->seed = seed;
  fleet->count = count;
  for (size_t i = 0; i < count; i++)
    {
      fleet->nodes[i].fleet = fleet;
      fleet->nodes[i].index = i;
    }
  return fleet;
}

void
fleet_destroy (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->nodes[i].state != FLEET_DOWN)
      fleet_kill (fleet, i);
  fx_destroy_network (fleet->network);
  g_rand_free (fleet->random);
  g_free (fleet);
}

void
fleet_start (fleet_t *fleet, size_t index, bool moved)
{
  static const char *const services[] = { "ledger", "counter", "storefront" };
  static const char *const zones[] = { "zone-a", "zone-b", "zone-c" };
  fleet_node_t *node = &fleet->nodes[index];
  fb_clock_t *clock = fx_get_clock (fleet->network);
  fm_options_t options = fm_get_default_options ();
  fm_hooks_t hooks = { handle_send, handle_changed, NULL, handle_diverged, NULL, node };
  fw_member_t self = { .control_port = 7000, .call_port = 7001, .admin_port = 7002 };

  if (moved)
    node->generation++;
  self.id = make_id (index);
  self.incarnation = (uint64_t)(fb_read_clock (clock) / FB_MILLISECOND);
  self.address = make_address (node);
  self.zone = fb_make_name (zones[index % G_N_ELEMENTS (zones)]);
  self.region = fb_make_name (index % G_N_ELEMENTS (zones) == 2 ? "east" : "west");
  self.service = fb_make_name (services[index / 2 % G_N_ELEMENTS (services)]);
  node->state = FLEET_UP;
  node->leaving = false;
  node->first_incarnation = self.incarnation;
  node->next_host_list_at = 0;
  node->next_seed_ping_at = 0;
  node->counters = fb_create_counters ();
  node->table = fm_create_table (&self, &options, g_rand_int (fleet->random), clock,
                                 node->counters, &hooks);
  memset (node->observations, 0, sizeof node->observations);
  fx_start_node (fleet->network, index);
}

void
fleet_kill (fleet_t *fleet, size_t index)
{
  fleet_node_t *node = &fleet->nodes[index];

  fx_stop_node (fleet->network, index);
  node->state = FLEET_DOWN;
  fm_destroy_table (node->table);
  fb_destroy_counters (node->counters);
  node->table = NULL;
}

void
fleet_pause (fleet_t *fleet, size_t node)
{
  fleet->nodes[node].state = FLEET_PAUSED;
  fx_pause_node (fleet->network, node);
}

void
fleet_resume (fleet_t *fleet, size_t node)
{
  fleet->nodes[node].state = FLEET_UP;
  fx_resume_node (fleet->network, node);
}

void
fleet_leave (fleet_t *fleet, size_t node)
{
  fleet->nodes[node].leaving = true;
  fm_announce_leaving (fleet->nodes[node].table);
  handle_check (node, fleet);
}

static bool
is_view_correct (const fleet_node_t *viewer, const fleet_node_t *subject)
{
  fb_name_t id = make_id (subject->index);
  const fw_member_t *member = fm_find_member (viewer->table, &id);

  if (subject->state == FLEET_DOWN)
    return !member || member->state == FW_DEAD;
  return member && member->state == (subject->leaving ? FW_LEAVING : FW_ALIVE)
         && member->incarnation == fm_get_self (subject->table)->incarnation
         && fb_equal_name (&member->address, &fm_get_self (subject->table)->address);
}

bool
fleet_is_converged (fleet_t *fleet, char *reason, size_t size)
{
  const fleet_node_t *first = NULL;

  for (size_t i = 0; i < fleet->count; i++)
    {
      const fleet_node_t *viewer = &fleet->nodes[i];
      if (viewer->state == FLEET_DOWN)
        continue;
      for (size_t j = 0; j < fleet->count; j++)
        if (!is_view_correct (viewer, &fleet->nodes[j]))
          {
            g_snprintf (reason, size, "node-%02zu has a wrong entry for node-%02zu", i, j);
            return false;
          }
      first = first ? first : viewer;
      if (fm_digest_members (viewer->table) != fm_digest_members (first->table))
        {
          g_snprintf (reason, size, "the digest of node-%02zu differs", i);
          return false;
        }
    }
  return true;
}

int
fleet_find_stale_viewer (fleet_t *fleet, size_t node, fw_member_state_t state)
{
  fb_name_t id = make_id (node);

  for (size_t i = 0; i < fleet->count; i++)
    {
      const fleet_node_t *viewer = &fleet->nodes[i];
      const fw_member_t *member
          = viewer->state == FLEET_UP ? fm_find_member (viewer->table, &id) : NULL;
      if (viewer->state == FLEET_UP && member && member->state < state)
        return (int)i;
    }
  return -1;
}
