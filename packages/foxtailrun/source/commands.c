/* The table of subcommands and their dispatch. */
#include "command.h"
#include <string.h>

const cmd_command_t *const cmd_commands[]
    = { &cmd_apply,  &cmd_check,  &cmd_diff,   &cmd_drain,  &cmd_explain, &cmd_load, &cmd_nodes,
        &cmd_report, &cmd_routes, &cmd_schema, &cmd_status, &cmd_trace,   NULL };

static const cmd_command_t *
find_command (const char *name)
{
  for (size_t i = 0; cmd_commands[i]; i++)
    if (strcmp (cmd_commands[i]->name, name) == 0)
      return cmd_commands[i];
  return NULL;
}

static void
print_help (FILE *out)
{
  fprintf (out, "Usage: foxtailrun COMMAND [ARGUMENTS]\n"
                "       foxtailrun --help | --version\n\nCommands:\n");
  for (size_t i = 0; cmd_commands[i]; i++)
    fprintf (out, "  %-10s %s\n", cmd_commands[i]->name, cmd_commands[i]->summary);
  fprintf (
      out,
      "\n\"foxtailrun COMMAND --help\" describes the arguments of a command.\n"
      "Exit status: 0 on success, 1 on wrong arguments, 2 when a file has problems, 3 when the\n"
      "result cannot be written, 4 when a node does not answer or refuses the request, 5 when a\n"
      "node refused the document, 6 when the document was not in force on all nodes before the\n"
      "timeout.\n");
}

int
cmd_run (int argc, char **argv, const cmd_io_t *io)
{
  const cmd_command_t *command;

  if (argc < 2)
    {
      print_help (io->err);
      return CMD_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      print_help (io->out);
      return CMD_EXIT_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      fprintf (io->out, "foxtailrun %s\n", FOXTAILRUN_VERSION);
      return CMD_EXIT_OK;
    }
  command = find_command (argv[1]);
  if (!command)
    {
      fprintf (io->err, "foxtailrun: unknown command \"%s\"; see foxtailrun --help\n", argv[1]);
      return CMD_EXIT_USAGE;
    }
  return command->run (command, argc - 1, argv + 1, io);
}
