/* Endpoints that a platform lists: kept while the list cannot be read, and for a while after it
 * can again, since entries that lapsed meanwhile are written anew. */
#ifndef FOXTAILRUN_MEMBER_LISTING_H
#define FOXTAILRUN_MEMBER_LISTING_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/wire/member.h>

/* Time after the return of the source within which a missing entry may come back. */
#define FM_RELIST_GRACE (2 * FB_SECOND)

/* An endpoint was listed or has changed; its state is FW_DEAD when it is no longer listed. */
typedef void (*fm_endpoint_fn_t) (const fw_endpoint_t *endpoint, void *user);

typedef struct fm_listing fm_listing_t;

/* Creates an empty listing; CLOCK is borrowed. */
fm_listing_t *fm_create_listing (const fb_clock_t *clock, fm_endpoint_fn_t changed, void *user);

/* Frees the listing; NULL is allowed. */
void fm_destroy_listing (fm_listing_t *listing);

/* Takes the entry of one endpoint. */
void fm_add_endpoint (fm_listing_t *listing, const fw_endpoint_t *endpoint);

/* Takes that the entry of ID was removed, or describes no endpoint any more. */
void fm_remove_endpoint (fm_listing_t *listing, const fb_name_t *id);

/* Surround a read of the whole list: what was not listed in between is taken as removed. */
void fm_begin_full_read (fm_listing_t *listing);
void fm_end_full_read (fm_listing_t *listing);

/* The source can no longer be read, or can again. */
void fm_mark_source_unavailable (fm_listing_t *listing);
void fm_mark_source_available (fm_listing_t *listing);

/* Forgets endpoints whose time to come back is over; call it every 100 ms or so. */
void fm_tick_listing (fm_listing_t *listing);

/* Returns the number of endpoints, those that may come back included. */
size_t fm_count_endpoints (const fm_listing_t *listing);

/* Returns whether the list is read and no removed entry may still come back. */
bool fm_is_settled (const fm_listing_t *listing);

/* Returns the number of the last change that was told; they count from 1. */
uint64_t fm_get_sequence (const fm_listing_t *listing);

/* Calls VISIT for each endpoint that changed after the change numbered SEQUENCE, removed ones
 * as FW_DEAD; 0 stands for all that are listed. Returns false, without a visit, when so old a
 * change is no longer known. */
bool fm_visit_changes (const fm_listing_t *listing, uint64_t sequence, fm_endpoint_fn_t visit,
                       void *user);

#endif
