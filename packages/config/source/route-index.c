/* A tree of path segments per host, in one hash table from (parent, segment) to node: a
 * lookup costs one probe per segment of the path. */
#include "route-index.h"
#include <foxtailrun/base/digest.h>
#include <glib.h>
#include <string.h>

#define NONE UINT32_MAX
#define ROOT 0

/* The table doubles when half of it is used. */
#define SLOTS_INITIAL 64

typedef struct
{
  uint32_t parent;
  uint32_t entry; /* first of the node's routes; NONE for none */
  uint64_t hash;
  fb_str_t segment;
} node_t;

typedef struct
{
  fc_methods_t methods;
  uint32_t route;
  uint32_t next;
  bool below; /* matches only paths that continue after the prefix */
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

/* Stores the segment after the "/" at *OFFSET of PATH and advances *OFFSET; false at the
 * end. It may be empty: "/a/" has "a" and "". */
static bool
next_segment (fb_str_t path, size_t *offset, fb_str_t *segment)
{
  const char *end;
  size_t start = *offset + 1;

  if (start > path.len)
    return false;
  end = memchr (path.data + start, '/', path.len - start);
  *offset = end ? (size_t)(end - path.data) : path.len;
  *segment = (fb_str_t){ path.data + start, *offset - start };
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
  resize_slots (index, SLOTS_INITIAL);
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
  uint32_t node_number = add_node (index, ROOT, route->host);
  fb_str_t segment;
  size_t offset = 0;

  /* "/" is a prefix of every path; continued by a "/", it is "//". */
  while ((route->below || route->path.len > 1) && next_segment (route->path, &offset, &segment))
    node_number = add_node (index, node_number, segment);
  for (uint32_t i = NODE (index, node_number).entry; i != NONE; i = ENTRY (index, i).next)
    if (ENTRY (index, i).below == entry.below && (ENTRY (index, i).methods & methods))
      {
        *earlier = ENTRY (index, i).route;
        return false;
      }
  entry.next = NODE (index, node_number).entry;
  NODE (index, node_number).entry = index->entries->len;
  g_array_append_val (index->entries, entry);
  return true;
}

/* Returns the matching route at node NUMBER, or NONE. If the path continues, BELOW has
 * precedence: its prefix is longer by the "/". */
static uint32_t
match_node (const fc_route_index_t *index, uint32_t number, fc_methods_t method_bit,
            bool continues)
{
  uint32_t best = NONE;

  for (uint32_t i = NODE (index, number).entry; i != NONE; i = ENTRY (index, i).next)
    {
      const entry_t *entry = &ENTRY (index, i);

      if (!(entry->methods & method_bit) && entry->methods != FC_METHODS_ALL)
        continue;
      if (entry->below && continues)
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

/* Returns the route of node HOST with the longest prefix of PATH, or NONE. */
static uint32_t
find_longest_prefix (const fc_route_index_t *index, uint32_t host, fc_methods_t method_bit,
                     fb_str_t path)
{
  uint32_t number = host;
  uint32_t best = match_node (index, host, method_bit, true);
  fb_str_t segment;
  size_t offset = 0;

  while (next_segment (path, &offset, &segment))
    {
      uint32_t match;

      number = find_child (index, number, segment);
      if (number == NONE)
        break;
      match = match_node (index, number, method_bit, offset < path.len);
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
  fc_methods_t method_bit = fc_get_method_bit (method);
  uint32_t number = find_child (index, ROOT, host);

  if (query)
    path.len = (size_t)(query - path.data);
  if (path.len == 0 || path.data[0] != '/')
    return false;
  *route = number == NONE ? NONE : find_longest_prefix (index, number, method_bit, path);
  if (*route == NONE && host.len > 0
      && (number = find_child (index, ROOT, FB_LITERAL (""))) != NONE)
    *route = find_longest_prefix (index, number, method_bit, path);
  return *route != NONE;
}
