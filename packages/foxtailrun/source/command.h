/* The subcommands of foxtailrun and their shared functions. */
#ifndef FOXTAILRUN_COMMAND_H
#define FOXTAILRUN_COMMAND_H

#include <foxtailrun/config/problem.h>
#include <foxtailrun/config/snapshot.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#define CMD_EXIT_OK 0
#define CMD_EXIT_USAGE 1            /* wrong arguments */
#define CMD_EXIT_PROBLEMS 2         /* a file has problems or cannot be read */
#define CMD_EXIT_WRITE_FAILED 3     /* result or document could not be written */
#define CMD_EXIT_REQUEST_FAILED 4   /* a node does not answer or refuses the request */
#define CMD_EXIT_DOCUMENT_REFUSED 5 /* a node refused the document */
#define CMD_EXIT_TIMEOUT 6          /* not in force on all nodes before the timeout */

/* Output streams of a command; borrowed. */
typedef struct
{
  FILE *out; /* results */
  FILE *err; /* errors */
} cmd_io_t;

typedef struct cmd_command cmd_command_t;

/* One subcommand: a constant in a file cmd-*.c, listed in commands.c. */
struct cmd_command
{
  const char *name;
  const char *summary; /* one phrase */
  /* Runs the command; ARGV[0] is its name. Returns the exit status. */
  int (*run) (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io);
};

extern const cmd_command_t cmd_apply;
extern const cmd_command_t cmd_check;
extern const cmd_command_t cmd_diff;
extern const cmd_command_t cmd_drain;
extern const cmd_command_t cmd_explain;
extern const cmd_command_t cmd_load;
extern const cmd_command_t cmd_nodes;
extern const cmd_command_t cmd_report;
extern const cmd_command_t cmd_routes;
extern const cmd_command_t cmd_schema;
extern const cmd_command_t cmd_status;
extern const cmd_command_t cmd_trace;

/* All subcommands, sorted by name and terminated by NULL. */
extern const cmd_command_t *const cmd_commands[];

/* Runs foxtailrun with the arguments of main and returns the exit status. */
int cmd_run (int argc, char **argv, const cmd_io_t *io);

/* Parses ARGV by argtable's TABLE of COUNT entries, from CMD_STANDARD_OPTIONS to an arg_end.
 * True when the command must run; otherwise help, version or errors are written to IO and
 * *STATUS is the exit status. */
bool cmd_parse_arguments (const cmd_command_t *command, int argc, char **argv, void **table,
                          size_t count, const cmd_io_t *io, int *status);

/* The first two entries of every argument table. */
#define CMD_STANDARD_OPTIONS                                                                   \
  arg_lit0 (NULL, "help", "print this help and exit"),                                         \
      arg_lit0 (NULL, "version", "print the version and exit")

/* Reported errors in the arguments of one run. */
#define CMD_ARGUMENT_ERRORS_MAX 10

/* Writes PROBLEMS of FILE, one per line, and their number. */
void cmd_print_problems (const fc_problems_t *problems, const char *file, FILE *out);

/* Returns PROBLEMS as a new array of objects, owned by the caller. */
json_t *cmd_pack_problems (const fc_problems_t *problems);

/* Writes VALUE with a final newline and drops the reference. */
void cmd_print_json (json_t *value, FILE *out);

/* Reads and checks the document in FILE. Returns a snapshot owned by the caller, or NULL after
 * writing the problems to IO. */
fc_snapshot_t *cmd_load_document (const char *file, const cmd_io_t *io);

#endif
