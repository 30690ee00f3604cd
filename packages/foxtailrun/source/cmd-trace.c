/* foxtailrun trace: the lines of one request, with the calls that it made, out of nodes' logs.
 */
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
  size_t found;
  char *last; /* line that ended the request itself; owned */
} trace_t;

/* Returns the value of KEY in a logfmt LINE without its quotes, or NULL; free with g_free. */
static char *
read_field (const char *line, const char *key)
{
  char *name = g_strdup_printf (" %s=", key);
  const char *at = strstr (line, name);
  char *value = NULL;

  if (at)
    {
      at += strlen (name);
      value = *at == '"' ? g_strndup (at + 1, strcspn (at + 1, "\""))
                         : g_strndup (at, strcspn (at, " \n"));
    }
  g_free (name);
  return value;
}

/* Returns whether ID belongs to the request: its own, or that of a call which its run made,
 * whose id follows the request's after a dot. */
static bool
is_part (const trace_t *trace, const char *id)
{
  size_t len = strlen (trace->id);

  return strncmp (id, trace->id, len) == 0 && (id[len] == '\0' || id[len] == '.');
}

static void
print_line (trace_t *trace, const char *file, const char *line)
{
  trace->found++;
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
      char *id = read_field (line, "id");

      if (id && is_part (trace, id) && g_utf8_validate (line, -1, NULL))
        {
          print_line (trace, file, g_strchomp (line));
          /* Only the entry's lines carry the status that the caller got. */
          if (strcmp (id, trace->id) == 0 && strstr (line, "service=request"))
            {
              g_free (trace->last);
              trace->last = g_strdup (line);
            }
        }
      g_free (id);
    }
  free (line);
}

/* Says how the request ended and why. */
static void
print_cause (const trace_t *trace)
{
  char *outcome = trace->last ? read_field (trace->last, "msg") : NULL;
  char *status = trace->last ? read_field (trace->last, "status") : NULL;
  char *reason = trace->last ? read_field (trace->last, "reason") : NULL;
  char *instance = trace->last ? read_field (trace->last, "instance") : NULL;
  char *version = trace->last ? read_field (trace->last, "version") : NULL;

  if (trace->json)
    cmd_print_json (json_pack ("{s:s?,s:s?,s:s?,s:s?,s:s?}", "outcome", outcome, "status",
                               status, "reason", reason, "instance", instance, "version",
                               version),
                    trace->io->out);
  else if (trace->last)
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
  return trace->found > 0 ? CMD_EXIT_OK : CMD_EXIT_PROBLEMS;
}

static int
run_trace (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_lit *json = arg_lit0 (NULL, "json", "print one object a line");
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of the request");
  struct arg_file *files
      = arg_filen (NULL, NULL, "FILE", 0, FILES_MAX, "logs of nodes; standard input without");
  void *table[] = { CMD_STANDARD_OPTIONS, json, id, files, arg_end (CMD_ERRORS_MAX) };
  int status;

  if (cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    {
      trace_t trace = { .id = id->sval[0], .json = json->count > 0, .io = io };

      status = search_files (&trace, files);
      g_free (trace.last);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_trace = { "trace", "show a request's way from logs", run_trace };
