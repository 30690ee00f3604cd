#include <foxtailrun/wire/member.h>

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
