/* Event queue of a simulation, ordered by time. */
#ifndef FOXTAILRUN_BENCH_SIM_HEAP_H
#define FOXTAILRUN_BENCH_SIM_HEAP_H

#include <foxtailrun/base/clock.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  fb_time_t time;
  uint64_t order; /* set by sim_push_event; breaks ties in the order of insertion */
  int kind;
  void *data;
} sim_event_t;

typedef struct
{
  sim_event_t *events;
  size_t count;
  size_t capacity;
  uint64_t next_order;
} sim_heap_t;

/* Adds an event; DATA is borrowed. */
void sim_push_event (sim_heap_t *heap, fb_time_t time, int kind, void *data);

/* Removes the earliest event; returns false if the heap is empty. */
bool sim_pop_event (sim_heap_t *heap, sim_event_t *event);

/* Frees the events. */
void sim_clear_heap (sim_heap_t *heap);

#endif
