/* Smooth weighted round robin over the parts of each route. */
#include <foxtailrun/call/splitter.h>
#include <glib.h>
#include <string.h>

/* Routes whose state is held; beyond this all start anew, which costs one call of precision. */
#define ROUTES_MAX 10000

/* Bound on the random number of turns that a node skips at the start. */
#define START_OFFSET_MAX 100

typedef struct
{
  fc_part_t *parts; /* as they were when the credits started */
  int64_t *credits; /* by part: calls owed, in units of weight */
  size_t count;
} split_state_t;

struct fr_splitter
{
  GHashTable *states; /* split_state_t by name of the route */
  GRand *random;
};

static void
free_state (void *data)
{
  split_state_t *turn = data;

  g_free (turn->parts);
  g_free (turn->credits);
  g_free (turn);
}

fr_splitter_t *
fr_create_splitter (uint32_t seed)
{
  fr_splitter_t *splitter = g_new0 (fr_splitter_t, 1);

  splitter->states = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_state);
  splitter->random = g_rand_new_with_seed (seed);
  return splitter;
}

void
fr_destroy_splitter (fr_splitter_t *splitter)
{
  if (splitter == NULL)
    return;
  g_hash_table_destroy (splitter->states);
  g_rand_free (splitter->random);
  g_free (splitter);
}

static bool
matches_route (const split_state_t *turn, const fc_route_t *route)
{
  return turn->count == route->part_count
         && memcmp (turn->parts, route->parts, turn->count * sizeof *turn->parts) == 0;
}

/* Returns the part that takes the next call. */
static size_t
take_turn (split_state_t *turn)
{
  int64_t total = 0;
  size_t best = 0;

  for (size_t i = 0; i < turn->count; i++)
    {
      turn->credits[i] += turn->parts[i].weight;
      total += turn->parts[i].weight;
      if (turn->credits[i] > turn->credits[best])
        best = i;
    }
  turn->credits[best] -= total;
  return best;
}

static split_state_t *
create_state (fr_splitter_t *splitter, const fc_route_t *route)
{
  split_state_t *turn = g_new0 (split_state_t, 1);

  turn->count = route->part_count;
  turn->parts = g_memdup2 (route->parts, turn->count * sizeof *turn->parts);
  turn->credits = g_new0 (int64_t, turn->count);
  for (int skip = g_rand_int_range (splitter->random, 0, START_OFFSET_MAX); skip > 0; skip--)
    take_turn (turn);
  if (g_hash_table_size (splitter->states) >= ROUTES_MAX)
    g_hash_table_remove_all (splitter->states);
  g_hash_table_replace (splitter->states, g_strdup (route->name.data), turn);
  return turn;
}

uint32_t
fr_split_call (fr_splitter_t *splitter, const fc_route_t *route)
{
  split_state_t *turn;

  if (route->part_count == 0)
    return route->service;
  turn = g_hash_table_lookup (splitter->states, route->name.data);
  if (turn == NULL || !matches_route (turn, route))
    turn = create_state (splitter, route);
  return turn->parts[take_turn (turn)].service;
}
