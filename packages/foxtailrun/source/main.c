/* The operators' command. */
#include "command.h"

int
main (int argc, char **argv)
{
  const cmd_io_t io = { stdout, stderr };
  int status = cmd_run (argc, argv, &io);

  /* A truncated result, as on a full disk, must not count as success. */
  if (fflush (stdout) != 0 && status == CMD_EXIT_OK)
    status = CMD_EXIT_WRITE_FAILED;
  return status;
}
