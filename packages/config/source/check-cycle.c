/* Search for cycles in the dependencies between services. */
#include "checker.h"

/* Services named in one problem; a cycle can have 1,000. */
#define SERVICES_NAMED_MAX 8

typedef enum
{
  UNVISITED,
  ON_PATH,
  VISITED
} visit_state_t;

/* One service on the current path. */
typedef struct
{
  uint32_t service;
  size_t next; /* index of the next dependency to follow */
} path_entry_t;

/* Reports the cycle from path[START] to the path's end and back. */
static void
report_cycle (const fc_checker_t *checker, const path_entry_t *path, size_t start,
              size_t length, const uint32_t *lines)
{
  const fc_service_t *services = checker->snapshot->services;
  uint32_t last = path[length - 1].service;
  char *key = g_strdup_printf ("service[%u].depends_on", last);
  GString *found = g_string_new ("the cycle ");

  for (size_t i = start; i < length && i - start < SERVICES_NAMED_MAX; i++)
    g_string_append_printf (found, "%s -> ", services[path[i].service].name.data);
  if (length - start > SERVICES_NAMED_MAX)
    g_string_append_printf (found, "(%zu more) -> ", length - start - SERVICES_NAMED_MAX);
  g_string_append (found, services[path[start].service].name.data);
  fc_add_problem (checker->problems, lines[last], key, found->str,
                  "dependencies without a cycle");
  g_string_free (found, TRUE);
  g_free (key);
}

/* Searches depth first from START, without recursion: a chain can have 1,000 services. */
static void
search_from (const fc_checker_t *checker, uint32_t start, uint8_t *states, path_entry_t *path,
             const uint32_t *lines)
{
  const fc_service_t *services = checker->snapshot->services;
  size_t length = 1;

  path[0] = (path_entry_t){ .service = start };
  states[start] = ON_PATH;
  while (length > 0)
    {
      path_entry_t *top = &path[length - 1];
      uint32_t child;

      if (top->next == services[top->service].depends_count)
        {
          states[top->service] = VISITED;
          length--;
          continue;
        }
      child = services[top->service].depends_on[top->next++];
      if (states[child] == UNVISITED)
        {
          states[child] = ON_PATH;
          path[length++] = (path_entry_t){ .service = child };
        }
      else if (states[child] == ON_PATH)
        {
          size_t first = length - 1;

          while (path[first].service != child)
            first--;
          report_cycle (checker, path, first, length, lines);
        }
    }
}

void
fc_check_cycles (const fc_checker_t *checker, const uint32_t *lines)
{
  size_t count = checker->snapshot->service_count;
  uint8_t *states = g_new0 (uint8_t, count);
  path_entry_t *path = g_new0 (path_entry_t, count);

  for (uint32_t i = 0; i < count; i++)
    if (states[i] == UNVISITED)
      search_from (checker, i, states, path, lines);
  g_free (path);
  g_free (states);
}
