/* Division of the calls of a route among services by weight. */
#ifndef FOXTAILRUN_CALL_SPLITTER_H
#define FOXTAILRUN_CALL_SPLITTER_H

#include <foxtailrun/config/snapshot.h>

typedef struct fr_splitter fr_splitter_t;

/* Creates a splitter; SEED starts the random numbers. */
fr_splitter_t *fr_create_splitter (uint32_t seed);

/* Frees the splitter; NULL is allowed. */
void fr_destroy_splitter (fr_splitter_t *splitter);

/* Returns the index of the service that takes the next call of ROUTE. Over any run of calls
 * each part stays within one call of its share, whose start is random so that nodes do not
 * choose alike. */
uint32_t fr_split_call (fr_splitter_t *splitter, const fc_route_t *route);

#endif
