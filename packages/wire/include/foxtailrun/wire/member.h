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

/* An instance listed by the platform, with its node. */
typedef struct
{
  fw_member_t member;
  uint32_t slots; /* calls that the backend server runs concurrently */
} fw_endpoint_t;

/* Returns the lower-case name of STATE. */
const char *fw_describe_state (fw_member_state_t state);

/* Returns whether record NEWER overrides OLDER of the same node. */
bool fw_overrides (const fw_member_t *newer, const fw_member_t *older);

#endif
