/* foxtailrun: the operators' command. */
#include "command.h"
#include <foxtailrun/base/string.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>

typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *purpose;
} subcommand_t;

static const subcommand_t subcommands[] = {
  { "apply", fx_run_apply, "check a document, publish it and wait until it is in force" },
  { "status", fx_run_status, "show the version in force on each node" },
  { "nodes", fx_run_nodes, "list the members that a node knows" },
  { "routes", fx_run_routes, "list the routes of a node" },
  { "drain", fx_run_drain, "stop a node gracefully" },
};

static void
print_usage (FILE *stream)
{
  fprintf (stream, "Usage: foxtailrun SUBCOMMAND [--help] ...\n\n");
  for (size_t i = 0; i < G_N_ELEMENTS (subcommands); i++)
    fprintf (stream, "  %-10s %s\n", subcommands[i].name, subcommands[i].purpose);
}

int
main (int argc, char **argv)
{
  fb_str_t name = fb_wrap_text (argc > 1 ? argv[1] : NULL);

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  if (fb_equal_str (name, FB_LITERAL ("--help")) || fb_equal_str (name, FB_LITERAL ("-h")))
    {
      print_usage (stdout);
      return EXIT_SUCCESS;
    }
  if (fb_equal_str (name, FB_LITERAL ("--version")))
    {
      printf ("foxtailrun " FOXTAILRUN_VERSION "\n");
      return EXIT_SUCCESS;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (subcommands); i++)
    {
      if (fb_equal_str (name, fb_wrap_text (subcommands[i].name)))
        return subcommands[i].run (argc - 1, argv + 1);
    }
  print_usage (stderr);
  return FX_EXIT_BAD_INPUT;
}
