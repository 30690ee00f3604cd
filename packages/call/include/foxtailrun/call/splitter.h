/* Weighted split of the calls of a route among services. */
#ifndef FOXTAILRUN_CALL_SPLITTER_H
#define FOXTAILRUN_CALL_SPLITTER_H

#include <foxtailrun/config/snapshot.h>

typedef struct fr_splitter fr_splitter_t;

/* Creates a splitter; SEED starts the random numbers. */
fr_splitter_t *fr_create_splitter (uint32_t seed);

/* Frees the splitter; NULL is allowed. */
void fr_destroy_splitter (fr_splitter_t *splitter);

/* Returns the index of the service for the next call of ROUTE. Over any sequence each
 * part's count stays within one call of its share. It starts at a random position, so that
 * nodes choose differently. */
uint32_t fr_split_call (fr_splitter_t *splitter, const fc_route_t *route);

#endif
