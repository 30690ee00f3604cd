/* Smooth weighted round robin over the parts of each route. */
#include <foxtailrun/call/splitter.h>
#include <glib.h>
#include <string.h>

/* Beyond it all route states are reset, which costs one call of accuracy per route. */
#define ROUTES_MAX 10000

/* Upper bound of the random number of picks skipped for a new state. */
#define START_OFFSET_MAX 100

typedef struct
{
  fc_part_t *parts; /* copy of the route's parts */
  int64_t *credits; /* by part: calls due, in units of weight */
  size_t count;
} split_state_t;

struct fr_splitter
{
  GHashTable *states; /* route name -> split_state_t */
  GRand *random;
};

static void
free_state (void *data)
{
  split_state_t *state = data;

  g_free (state->parts);
  g_free (state->credits);
  g_free (state);
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
matches_route (const split_state_t *state, const fc_route_t *route)
{
  return state->count == route->part_count
         && memcmp (state->parts, route->parts, state->count * sizeof *state->parts) == 0;
}

static size_t
pick_next_part (split_state_t *state)
{
  int64_t total = 0;
  size_t best = 0;

  for (size_t i = 0; i < state->count; i++)
    {
      state->credits[i] += state->parts[i].weight;
      total += state->parts[i].weight;
      if (state->credits[i] > state->credits[best])
        best = i;
    }
  state->credits[best] -= total;
  return best;
}

static split_state_t *
create_state (fr_splitter_t *splitter, const fc_route_t *route)
{
  split_state_t *state = g_new0 (split_state_t, 1);

  state->count = route->part_count;
  state->parts = g_memdup2 (route->parts, state->count * sizeof *state->parts);
  state->credits = g_new0 (int64_t, state->count);
  for (int skip = g_rand_int_range (splitter->random, 0, START_OFFSET_MAX); skip > 0; skip--)
    pick_next_part (state);
  if (g_hash_table_size (splitter->states) >= ROUTES_MAX)
    g_hash_table_remove_all (splitter->states);
  g_hash_table_replace (splitter->states, g_strdup (route->name.data), state);
  return state;
}

uint32_t
fr_split_call (fr_splitter_t *splitter, const fc_route_t *route)
{
  split_state_t *state;

  if (route->part_count == 0)
    return route->service;
  state = g_hash_table_lookup (splitter->states, route->name.data);
  if (state == NULL || !matches_route (state, route))
    state = create_state (splitter, route);
  return state->parts[pick_next_part (state)].service;
}
