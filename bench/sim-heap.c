/* A binary heap of events. */
#include "sim-heap.h"
#include <glib.h>

static bool
is_before (const sim_event_t *a, const sim_event_t *b)
{
  return a->time != b->time ? a->time < b->time : a->order < b->order;
}

void
sim_push_event (sim_heap_t *heap, fb_time_t time, int kind, void *data)
{
  size_t at = heap->count++;
  sim_event_t event = { time, heap->next_order++, kind, data };

  if (heap->count > heap->capacity)
    {
      heap->capacity = MAX (1024, heap->capacity * 2);
      heap->events = g_renew (sim_event_t, heap->events, heap->capacity);
    }
  while (at > 0 && is_before (&event, &heap->events[(at - 1) / 2]))
    {
      heap->events[at] = heap->events[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  heap->events[at] = event;
}

bool
sim_pop_event (sim_heap_t *heap, sim_event_t *event)
{
  sim_event_t last;
  size_t at = 0;

  if (heap->count == 0)
    return false;
  *event = heap->events[0];
  last = heap->events[--heap->count];
  while (2 * at + 1 < heap->count)
    {
      size_t child = 2 * at + 1;

      if (child + 1 < heap->count && is_before (&heap->events[child + 1], &heap->events[child]))
        child++;
      if (!is_before (&heap->events[child], &last))
        break;
      heap->events[at] = heap->events[child];
      at = child;
    }
  heap->events[at] = last;
  return true;
}

void
sim_clear_heap (sim_heap_t *heap)
{
  g_free (heap->events);
  *heap = (sim_heap_t){ 0 };
}
