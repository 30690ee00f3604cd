/* Index from path prefixes and methods to routes. */
#ifndef FOXTAILRUN_CONFIG_ROUTE_INDEX_H
#define FOXTAILRUN_CONFIG_ROUTE_INDEX_H

#include <foxtailrun/config/snapshot.h>

/* A set of HTTP methods, one bit each. */
typedef uint32_t fc_methods_t;

/* Every method, including those without a bit. */
#define FC_METHODS_ALL UINT32_MAX

/* Returns METHOD's bit, or 0 when a route cannot list it. */
fc_methods_t fc_get_method_bit (fb_str_t method);

typedef struct fc_route_index fc_route_index_t;

/* Creates an empty index. */
fc_route_index_t *fc_create_route_index (void);

/* Frees the index; NULL is allowed. */
void fc_destroy_route_index (fc_route_index_t *index);

/* Adds ROUTE with index NUMBER for METHODS. Returns false, with its index in *EARLIER, when
 * an earlier route has the same host, prefix, "below" and one of METHODS. ROUTE's texts
 * must outlive the index. */
bool fc_add_route (fc_route_index_t *index, const fc_route_t *route, fc_methods_t methods,
                   uint32_t number, uint32_t *earlier);

/* Stores in *ROUTE the index of the route that fc_find_route returns; false when none. */
bool fc_find_indexed_route (const fc_route_index_t *index, fb_str_t host, fb_str_t method,
                            fb_str_t path, uint32_t *route);

#endif
