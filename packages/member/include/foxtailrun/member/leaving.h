/* Instances that are known to leave whatever their platform lists. */
#ifndef FOXTAILRUN_MEMBER_LEAVING_H
#define FOXTAILRUN_MEMBER_LEAVING_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/wire/member.h>

/* Time for which an instance is remembered after it was last recorded or listed; longer than a
 * shutdown and an outage of the list. */
#define FM_LEAVING_LIFETIME (3600 * FB_SECOND)

typedef struct fm_leaving fm_leaving_t;

/* Creates an empty record; CLOCK is borrowed. */
fm_leaving_t *fm_create_leaving (const fb_clock_t *clock);

/* Frees LEAVING; NULL is allowed. */
void fm_destroy_leaving (fm_leaving_t *leaving);

/* Records that INCARNATION of instance ID leaves; returns whether that is new. Later
 * incarnations are not affected, and the notice of an earlier one than recorded is ignored. */
bool fm_record_leaving (fm_leaving_t *leaving, const fb_name_t *id, uint64_t incarnation);

/* Sets the state of MEMBER, as listed, to FW_LEAVING if it is recorded as leaving and not dead.
 */
void fm_apply_leaving (fm_leaving_t *leaving, fw_member_t *member);

#endif
