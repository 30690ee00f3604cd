/* Endpoints listed by a platform. Removals wait while the list cannot be read and for a
 * grace period after an outage and after a restore of the source, since endpoints that expired
 * or were lost meanwhile are registered again. */
#ifndef FOXTAILRUN_MEMBER_LISTING_H
#define FOXTAILRUN_MEMBER_LISTING_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/wire/member.h>

/* Time for which removals are delayed after the source is available again or was restored. */
#define FM_RELIST_GRACE (2 * FB_SECOND)

/* Time after a restore of the source in which the entry of an instance that has gone expires:
 * three heartbeats, and a margin. */
#define FM_EXPIRY_TIME (5 * FB_SECOND)

/* An endpoint was listed or changed; FW_DEAD when no longer listed. What was known of it before
 * held at PREVIOUS_AT, so that the change is not older. */
typedef void (*fm_changed_fn_t) (const fw_endpoint_t *endpoint, fb_time_t previous_at,
                                 void *user);

typedef void (*fm_endpoint_fn_t) (const fw_endpoint_t *endpoint, void *user);

typedef struct fm_listing fm_listing_t;

/* Creates an empty listing; CLOCK is borrowed. */
fm_listing_t *fm_create_listing (const fb_clock_t *clock, fm_changed_fn_t changed, void *user);

/* Frees the listing; NULL is allowed. */
void fm_destroy_listing (fm_listing_t *listing);

/* Records that all changes up to TIME are known. */
void fm_set_known_time (fm_listing_t *listing, fb_time_t time);

/* Adds or updates one endpoint; ENDPOINT is copied. Leaving is final for an incarnation but 0:
 * an endpoint that was listed as leaving stays so, and is listed so again after a removal. */
void fm_add_endpoint (fm_listing_t *listing, const fw_endpoint_t *endpoint);

/* Removes the endpoint ID, whose description was deleted or no longer describes an
 * endpoint; only marks it missing until the listing is settled. */
void fm_remove_endpoint (fm_listing_t *listing, const fb_name_t *id);

/* Begin and end a full read: endpoints not added in between are removed. */
void fm_begin_full_read (fm_listing_t *listing);
void fm_end_full_read (fm_listing_t *listing);

/* Records that the source cannot be read. */
void fm_mark_source_unavailable (fm_listing_t *listing);

/* Records that the source can be read again, AFTER_OUTAGE or after a failure too short for
 * endpoints to expire, as when a connection to it is lost. The latter begins no grace period,
 * unless more than half of the endpoints turn out to be missing at the next known time: then
 * the source has lost them. */
void fm_mark_source_available (fm_listing_t *listing, bool after_outage);

/* Records that the source was restored from a copy: endpoints registered since the copy are
 * missing until they are registered again, and removed ones that it lists are left out until
 * they are written again or have not expired in time. */
void fm_mark_source_restored (fm_listing_t *listing);

/* Removes missing endpoints once the listing is settled; call about every 100 ms. */
void fm_tick_listing (fm_listing_t *listing);

/* Returns whether the removal of endpoint ID is withheld. */
bool fm_is_missing (const fm_listing_t *listing, const fb_name_t *id);

/* Returns the number of endpoints, including missing ones not yet removed. */
size_t fm_count_endpoints (const fm_listing_t *listing);

/* Returns whether the source is available and the grace period is over. */
bool fm_is_listing_settled (const fm_listing_t *listing);

/* Returns whether other nodes can use the listing: it is settled, or its source was restored
 * and they wait for the removal of missing endpoints, too. */
bool fm_is_listing_shareable (const fm_listing_t *listing);

/* Returns the last change's sequence number, from 1; 0 for none. An endpoint that goes missing
 * or is listed again has changed. */
uint64_t fm_get_listing_sequence (const fm_listing_t *listing);

/* Calls VISIT for each endpoint that changed after SEQUENCE, removed and missing ones as
 * FW_DEAD; SEQUENCE 0 visits all listed ones that are not missing. Returns false, without a
 * visit, when the record of a later removal has been discarded. */
bool fm_visit_listing_changes (const fm_listing_t *listing, uint64_t sequence,
                               fm_endpoint_fn_t visit, void *user);

#endif
