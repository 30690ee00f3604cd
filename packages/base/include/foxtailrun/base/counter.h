/* Named counters and gauges of one process. */
#ifndef FOXTAILRUN_BASE_COUNTER_H
#define FOXTAILRUN_BASE_COUNTER_H

#include "string.h"

typedef struct fb_counters fb_counters_t;
typedef struct fb_counter fb_counter_t;

/* Creates an empty table. */
fb_counters_t *fb_create_counters (void);

/* Frees the table and all its counters; NULL is allowed. */
void fb_destroy_counters (fb_counters_t *counters);

/* Returns the counter NAME with LABELS (Prometheus label text without braces, or ""), created
 * with value 0 when missing; owned by the table and valid until the table is destroyed. */
fb_counter_t *fb_find_counter (fb_counters_t *counters, const char *name, const char *labels);

void fb_add_counter (fb_counter_t *counter, uint64_t amount);

/* Sets a gauge to VALUE. */
void fb_set_counter (fb_counter_t *counter, uint64_t value);

uint64_t fb_get_counter (const fb_counter_t *counter);

/* Receives one counter from fb_visit_counters; strings are borrowed. */
typedef void (*fb_visit_counter_fn_t) (const char *name, const char *labels, uint64_t value,
                                       void *user);

/* Calls VISIT for all counters in the order of name, then labels. */
void fb_visit_counters (fb_counters_t *counters, fb_visit_counter_fn_t visit, void *user);

#endif
