/* List of problems, sorted by line. */
#include <foxtailrun/config/problem.h>
#include <glib.h>
#include <string.h>

/* Bounds the memory of a hostile document: 1 MB can have 250,000 unknown keys. */
#define PROBLEMS_MAX 1000

struct fc_problems
{
  GPtrArray *items;
};

static void
free_problem (gpointer data)
{
  fc_problem_t *problem = data;

  g_free ((char *)problem->key);
  g_free ((char *)problem->found);
  g_free ((char *)problem->allowed);
  g_free (problem);
}

static int
compare_problems (const fc_problem_t *a, const fc_problem_t *b)
{
  int order = a->line < b->line ? -1 : a->line > b->line;

  if (order == 0)
    order = strcmp (a->key, b->key);
  if (order == 0)
    order = strcmp (a->found, b->found);
  return order;
}

/* Inserts PROBLEM sorted, from the end, as problems come nearly sorted. */
static void
insert_problem (fc_problems_t *problems, fc_problem_t *problem)
{
  guint at = problems->items->len;

  while (at > 0 && compare_problems (problems->items->pdata[at - 1], problem) > 0)
    at--;
  g_ptr_array_insert (problems->items, (gint)at, problem);
}

fc_problems_t *
fc_create_problems (void)
{
  fc_problems_t *problems = g_new0 (fc_problems_t, 1);

  problems->items = g_ptr_array_new_with_free_func (free_problem);
  return problems;
}

void
fc_destroy_problems (fc_problems_t *problems)
{
  if (!problems)
    return;
  g_ptr_array_unref (problems->items);
  g_free (problems);
}

/* Copies TEXT as one line of valid UTF-8, so that a file cannot control the terminal or
 * make the JSON output invalid. */
static char *
copy_printable (const char *text)
{
  char *copy = g_utf8_make_valid (text, -1);

  for (char *c = copy; *c; c++)
    if (g_ascii_iscntrl (*c))
      *c = '?';
  return copy;
}

void
fc_add_problem (fc_problems_t *problems, uint32_t line, const char *key, const char *found,
                const char *allowed)
{
  fc_problem_t *problem;

  if (problems->items->len > PROBLEMS_MAX)
    return;
  problem = g_new0 (fc_problem_t, 1);
  if (problems->items->len == PROBLEMS_MAX)
    {
      line = 0;
      key = "file";
      found = "more than 1000 problems";
      allowed = "no problems; only the first 1000 found are listed";
    }
  problem->line = line;
  problem->key = copy_printable (key);
  problem->found = copy_printable (found);
  problem->allowed = copy_printable (allowed);
  insert_problem (problems, problem);
}

size_t
fc_count_problems (const fc_problems_t *problems)
{
  return problems->items->len;
}

const fc_problem_t *
fc_get_problem (const fc_problems_t *problems, size_t index)
{
  return index < problems->items->len ? problems->items->pdata[index] : NULL;
}

char *
fc_format_problem (const fc_problem_t *problem, const char *file)
{
  if (problem->line == 0)
    return g_strdup_printf ("%s: %s: found %s, allowed: %s", file, problem->key, problem->found,
                            problem->allowed);
  return g_strdup_printf ("%s:%u: %s: found %s, allowed: %s", file, problem->line, problem->key,
                          problem->found, problem->allowed);
}
