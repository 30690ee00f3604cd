/* Member record: one node as described in messages between nodes. */
#ifndef FOXTAILRUN_WIRE_MEMBER_H
#define FOXTAILRUN_WIRE_MEMBER_H

#include <foxtailrun/base/string.h>

/* Within one incarnation a state overrides those listed before it. */
typedef enum
{
  FW_ALIVE,
  FW_SUSPECT,
  FW_LEAVING,
  FW_DEAD
} fw_member_state_t;

/* One node: its identity, its ports and the service of its backend server. */
typedef struct
{
  fb_name_t id;
  uint64_t incarnation; /* raised only by the node itself; initially its start time in ms */
  fw_member_state_t state;
  fb_name_t address;     /* numeric IP address */
  uint16_t control_port; /* UDP gossip and TCP control */
  uint16_t call_port;    /* TCP calls from other nodes */
  uint16_t admin_port;   /* HTTP administration */
  fb_name_t zone;
  fb_name_t region;
  fb_name_t service; /* empty when no backend server is attached */
} fw_member_t;

/* Longest id of an instance on a platform, in bytes. */
#define FW_INSTANCE_ID_MAX 192

/* An instance's id on the platform, stored by value. */
typedef struct
{
  uint8_t len;
  char data[FW_INSTANCE_ID_MAX];
} fw_instance_id_t;

/* An instance listed by the platform, with its node. */
typedef struct
{
  fw_member_t member;
  uint32_t slots;           /* calls that the backend server runs concurrently */
  fw_instance_id_t full_id; /* that the member's id stands for; empty if they are the same */
} fw_endpoint_t;

/* Stores TEXT in ID; returns false and leaves ID empty when it is longer than
 * FW_INSTANCE_ID_MAX. */
bool fw_set_instance_id (fw_instance_id_t *id, fb_str_t text);

/* Returns the id that the platform and the backend server know: FULL_ID, or NAME when that is
 * empty. Borrowed. */
fb_str_t fw_get_instance_id (const fb_name_t *name, const fw_instance_id_t *full_id);

/* Returns the lower-case name of STATE. */
const char *fw_describe_state (fw_member_state_t state);

/* Returns whether record NEWER overrides OLDER of the same node. */
bool fw_overrides (const fw_member_t *newer, const fw_member_t *older);

#endif
