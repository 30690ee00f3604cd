#include <foxtailrun/wire/member.h>
#include <string.h>

bool
fw_set_instance_id (fw_instance_id_t *id, fb_str_t text)
{
  memset (id, 0, sizeof *id);
  if (text.len > FW_INSTANCE_ID_MAX)
    return false;
  if (text.len > 0)
    memcpy (id->data, text.data, text.len);
  id->len = (uint8_t)text.len;
  return true;
}

fb_str_t
fw_get_instance_id (const fb_name_t *name, const fw_instance_id_t *full_id)
{
  return full_id->len > 0 ? (fb_str_t){ full_id->data, full_id->len } : fb_get_name (name);
}

const char *
fw_describe_state (fw_member_state_t state)
{
  switch (state)
    {
    case FW_ALIVE:
      return "alive";
    case FW_SUSPECT:
      return "suspect";
    case FW_LEAVING:
      return "leaving";
    case FW_DEAD:
      return "dead";
    }
  return "unknown";
}

bool
fw_overrides (const fw_member_t *newer, const fw_member_t *older)
{
  if (newer->incarnation != older->incarnation)
    return newer->incarnation > older->incarnation;
  return newer->state > older->state;
}
