/* foxtailrun trace: prints the log lines of a request and its calls. */
#include "command.h"
#include <argtable2.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define FILES_MAX 1000

typedef struct
{
  const char *id;
  bool json;
  const cmd_io_t *io;
  size_t line_count;
  char *final_line; /* line with the request's outcome, or NULL; owned */
} trace_t;

/* Returns the value of KEY in a logfmt LINE without its quotes, or NULL; free with g_free. */
static char *
parse_field (const char *line, const char *key)
{
  char *name = g_strdup_printf (" %s=", key);
  const char *start = strstr (line, name);
  char *value = NULL;

  if (start)
    {
      start += strlen (name);
      value = *start == '"' ? g_strndup (start + 1, strcspn (start + 1, "\""))
                            : g_strndup (start, strcspn (start, " \n"));
    }
  g_free (name);
  return value;
}

/* Whether ID is the request's id, or that of a call by its run, which extends it after a
 * dot. */
static bool
belongs_to_request (const trace_t *trace, const char *id)
{
  size_t len = strlen (trace->id);

  return strncmp (id, trace->id, len) == 0 && (id[len] == '\0' || id[len] == '.');
}

static void
print_line (trace_t *trace, const char *file, const char *line)
{
  trace->line_count++;
  if (trace->json)
    cmd_print_json (json_pack ("{s:s,s:s}", "file", file, "line", line), trace->io->out);
  else
    fprintf (trace->io->out, "%s: %s\n", file, line);
}

static void
search_file (trace_t *trace, const char *file, FILE *in)
{
  char *line = NULL;
  size_t size = 0;

  while (getline (&line, &size, in) >= 0)
    {
      char *id = parse_field (line, "id");

      if (id && belongs_to_request (trace, id) && g_utf8_validate (line, -1, NULL))
        {
          print_line (trace, file, g_strchomp (line));
          /* Only the entry node logs the status that the caller received. */
          if (strcmp (id, trace->id) == 0 && strstr (line, "service=request"))
            {
              g_free (trace->final_line);
              trace->final_line = g_strdup (line);
            }
        }
      g_free (id);
    }
  free (line);
}

/* Prints the request's outcome and its reason. */
static void
print_cause (const trace_t *trace)
{
  char *outcome = trace->final_line ? parse_field (trace->final_line, "msg") : NULL;
  char *status = trace->final_line ? parse_field (trace->final_line, "status") : NULL;
  char *reason = trace->final_line ? parse_field (trace->final_line, "reason") : NULL;
  char *instance = trace->final_line ? parse_field (trace->final_line, "instance") : NULL;
  char *version = trace->final_line ? parse_field (trace->final_line, "version") : NULL;

  if (trace->json)
    cmd_print_json (json_pack ("{s:s?,s:s?,s:s?,s:s?,s:s?}", "outcome", outcome, "status",
                               status, "reason", reason, "instance", instance, "version",
                               version),
                    trace->io->out);
  else if (trace->final_line)
    fprintf (trace->io->out, "cause: %s with status %s, %s; last instance %s, version %s\n",
             outcome, status, reason && reason[0] ? reason : "no reason given",
             instance && instance[0] ? instance : "none", version);
  else
    fprintf (
        trace->io->out,
        "cause: unknown, no line of the entry: answered in time and not sampled, left out by "
        "the limit on lines, or ended with its node\n");
  g_free (version);
  g_free (instance);
  g_free (reason);
  g_free (status);
  g_free (outcome);
}

static int
search_files (trace_t *trace, const struct arg_file *files)
{
  if (files->count == 0)
    search_file (trace, "-", stdin);
  for (int i = 0; i < files->count; i++)
    {
      FILE *in = fopen (files->filename[i], "r");

      if (!in)
        {
          fprintf (trace->io->err, "foxtailrun trace: %s: %s\n", files->filename[i],
                   g_strerror (errno));
          return CMD_EXIT_PROBLEMS;
        }
      search_file (trace, files->filename[i], in);
      fclose (in);
    }
  print_cause (trace);
  return trace->line_count > 0 ? CMD_EXIT_OK : CMD_EXIT_PROBLEMS;
}

static int
run_trace (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_lit *json
      = arg_lit0 (NULL, "json", "print JSON: one object per log line, then the outcome");
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of the request");
  struct arg_file *files = arg_filen (NULL, NULL, "FILE", 0, FILES_MAX,
                                      "log files of nodes; standard input when none is given");
  void *table[] = { CMD_STANDARD_OPTIONS, json, id, files, arg_end (CMD_ARGUMENT_ERRORS_MAX) };
  int status;

  if (cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    {
      trace_t trace = { .id = id->sval[0], .json = json->count > 0, .io = io };

      status = search_files (&trace, files);
      g_free (trace.final_line);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_trace = { "trace", "show the log lines of a request", run_trace };
