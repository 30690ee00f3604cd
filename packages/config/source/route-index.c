/* A tree of path segments below each host, held as one hash table from (parent, segment) to
 * node, so that a lookup costs one probe for each segment of the request's path. */
#include "route-index.h"
#include <foxtailrun/base/digest.h>
#include <glib.h>
#include <string.h>

#define NONE UINT32_MAX
#define ROOT 0

/* The table doubles at 1/2 full. */
#define SLOTS_FIRST 64

typedef struct
{
  uint32_t parent;
  uint32_t entry; /* first of the node's routes, NONE without */
  uint64_t hash;
  fb_str_t segment;
} node_t;

typedef struct
{
  fc_methods_t methods;
  uint32_t route;
  uint32_t next;
  bool below; /* matches only paths that go on */
} entry_t;

struct fc_route_index
{
  GArray *nodes;   /* node_t; ROOT first */
  GArray *entries; /* entry_t */
  uint32_t *slots; /* node numbers, NONE when free */
  size_t slot_count;
};

#define NODE(index, number) (g_array_index ((index)->nodes, node_t, (number)))
#define ENTRY(index, number) (g_array_index ((index)->entries, entry_t, (number)))

fc_methods_t
fc_get_method_bit (fb_str_t method)
{
  static const char *const names[]
      = { "GET", "POST", "PUT", "DELETE", "HEAD", "PATCH", "OPTIONS" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (fb_equal_str (method, fb_wrap_text (names[i])))
      return (fc_methods_t)1 << i;
  return 0;
}

/* Stores the next segment of PATH from *AT, which stands on a "/"; returns false at the end. */
static bool
take_segment (fb_str_t path, size_t *at, fb_str_t *segment)
{
  const char *end;
  size_t start = *at + 1;

  if (start >= path.len)
    return false;
  end = memchr (path.data + start, '/', path.len - start);
  *at = end ? (size_t)(end - path.data) : path.len;
  *segment = (fb_str_t){ path.data + start, *at - start };
  return true;
}

static size_t
find_slot (const fc_route_index_t *index, uint32_t parent, uint64_t hash, fb_str_t segment)
{
  size_t slot = hash & (index->slot_count - 1);

  while (index->slots[slot] != NONE)
    {
      const node_t *node = &NODE (index, index->slots[slot]);

      if (node->hash == hash && node->parent == parent && fb_equal_str (node->segment, segment))
        break;
      slot = (slot + 1) & (index->slot_count - 1);
    }
  return slot;
}

static void
resize_slots (fc_route_index_t *index, size_t slot_count)
{
  g_free (index->slots);
  index->slots = g_new (uint32_t, slot_count);
  index->slot_count = slot_count;
  memset (index->slots, 0xFF, slot_count * sizeof *index->slots);
  for (uint32_t i = ROOT + 1; i < index->nodes->len; i++)
    {
      const node_t *node = &NODE (index, i);

      index->slots[find_slot (index, node->parent, node->hash, node->segment)] = i;
    }
}

fc_route_index_t *
fc_create_route_index (void)
{
  fc_route_index_t *index = g_new0 (fc_route_index_t, 1);
  node_t root = { .parent = NONE, .entry = NONE };

  index->nodes = g_array_new (FALSE, FALSE, sizeof (node_t));
  index->entries = g_array_new (FALSE, FALSE, sizeof (entry_t));
  g_array_append_val (index->nodes, root);
  resize_slots (index, SLOTS_FIRST);
  return index;
}

void
fc_destroy_route_index (fc_route_index_t *index)
{
  if (!index)
    return;
  g_array_unref (index->nodes);
  g_array_unref (index->entries);
  g_free (index->slots);
  g_free (index);
}

static uint32_t
add_node (fc_route_index_t *index, uint32_t parent, fb_str_t segment)
{
  node_t node = { .parent = parent, .entry = NONE, .segment = segment };
  size_t slot;

  node.hash = fb_hash_str (segment, parent);
  slot = find_slot (index, parent, node.hash, segment);
  if (index->slots[slot] != NONE)
    return index->slots[slot];
  index->slots[slot] = index->nodes->len;
  g_array_append_val (index->nodes, node);
  if (2 * (size_t)index->nodes->len > index->slot_count)
    resize_slots (index, 2 * index->slot_count);
  return index->nodes->len - 1;
}

bool
fc_add_route (fc_route_index_t *index, const fc_route_t *route, fc_methods_t methods,
              uint32_t number, uint32_t *earlier)
{
  entry_t entry = { .methods = methods, .route = number, .below = route->below };
  uint32_t at_node = add_node (index, ROOT, route->host);
  fb_str_t segment;
  size_t at = 0;

  while (take_segment (route->path, &at, &segment))
    at_node = add_node (index, at_node, segment);
  for (uint32_t i = NODE (index, at_node).entry; i != NONE; i = ENTRY (index, i).next)
    if (ENTRY (index, i).below == entry.below && (ENTRY (index, i).methods & methods))
      {
        *earlier = ENTRY (index, i).route;
        return false;
      }
  entry.next = NODE (index, at_node).entry;
  NODE (index, at_node).entry = index->entries->len;
  g_array_append_val (index->entries, entry);
  return true;
}

/* Returns the best route at node NUMBER, or NONE: one that matches only paths that go on has
 * the longer prefix. */
static uint32_t
match_method (const fc_route_index_t *index, uint32_t number, fc_methods_t bit, bool goes_on)
{
  uint32_t best = NONE;

  for (uint32_t i = NODE (index, number).entry; i != NONE; i = ENTRY (index, i).next)
    {
      const entry_t *entry = &ENTRY (index, i);

      if (!(entry->methods & bit) && entry->methods != FC_METHODS_ALL)
        continue;
      if (entry->below && goes_on)
        return entry->route;
      if (!entry->below)
        best = entry->route;
    }
  return best;
}

static uint32_t
find_child (const fc_route_index_t *index, uint32_t parent, fb_str_t segment)
{
  return index->slots[find_slot (index, parent, fb_hash_str (segment, parent), segment)];
}

/* Finds the longest prefix below HOST, which is a node. */
static uint32_t
find_below (const fc_route_index_t *index, uint32_t host, fc_methods_t bit, fb_str_t path)
{
  uint32_t number = host;
  uint32_t best = match_method (index, host, bit, true);
  fb_str_t segment;
  size_t at = 0;

  while (take_segment (path, &at, &segment))
    {
      uint32_t match;

      number = find_child (index, number, segment);
      if (number == NONE)
        break;
      match = match_method (index, number, bit, at < path.len);
      if (match != NONE)
        best = match;
    }
  return best;
}

bool
fc_find_indexed_route (const fc_route_index_t *index, fb_str_t host, fb_str_t method,
                       fb_str_t path, uint32_t *route)
{
  const char *query = path.len ? memchr (path.data, '?', path.len) : NULL;
  fc_methods_t bit = fc_get_method_bit (method);
  uint32_t number = find_child (index, ROOT, host);

  if (query)
    path.len = (size_t)(query - path.data);
  if (path.len == 0 || path.data[0] != '/')
    return false;
  *route = number == NONE ? NONE : find_below (index, number, bit, path);
  if (*route == NONE && host.len > 0
      && (number = find_child (index, ROOT, FB_LITERAL (""))) != NONE)
    *route = find_below (index, number, bit, path);
  return *route != NONE;
}
