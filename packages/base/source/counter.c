#include <foxtailrun/base/counter.h>
#include <glib.h>

struct fb_counter
{
  char *name;
  char *labels;
  uint64_t value;
};

struct fb_counters
{
  GTree *by_key;
};

static int
compare_counters (const void *a, const void *b, void *user)
{
  const fb_counter_t *left = a;
  const fb_counter_t *right = b;
  int order = g_strcmp0 (left->name, right->name);

  return order != 0 ? order : g_strcmp0 (left->labels, right->labels);
}

static void
destroy_counter (void *data)
{
  fb_counter_t *counter = data;

  g_free (counter->name);
  g_free (counter->labels);
  g_free (counter);
}

fb_counters_t *
fb_create_counters (void)
{
  fb_counters_t *counters = g_new0 (fb_counters_t, 1);

  counters->by_key = g_tree_new_full (compare_counters, NULL, NULL, destroy_counter);
  return counters;
}

void
fb_destroy_counters (fb_counters_t *counters)
{
  if (!counters)
    return;
  g_tree_destroy (counters->by_key);
  g_free (counters);
}

fb_counter_t *
fb_find_counter (fb_counters_t *counters, const char *name, const char *labels)
{
  fb_counter_t key = { .name = (char *)name, .labels = (char *)labels };
  fb_counter_t *counter = g_tree_lookup (counters->by_key, &key);

  if (counter)
    return counter;
  counter = g_new0 (fb_counter_t, 1);
  counter->name = g_strdup (name);
  counter->labels = g_strdup (labels);
  g_tree_insert (counters->by_key, counter, counter);
  return counter;
}

void
fb_add_counter (fb_counter_t *counter, uint64_t amount)
{
  counter->value += amount;
}

void
fb_set_counter (fb_counter_t *counter, uint64_t value)
{
  counter->value = value;
}

uint64_t
fb_get_counter (const fb_counter_t *counter)
{
  return counter->value;
}

void
fb_visit_counters (fb_counters_t *counters, fb_visit_counter_fn_t visit, void *user)
{
  for (GTreeNode *node = g_tree_node_first (counters->by_key); node;
       node = g_tree_node_next (node))
    {
      fb_counter_t *counter = g_tree_node_value (node);
      visit (counter->name, counter->labels, counter->value, user);
    }
}
