/* What the subcommands share: exit codes, arguments, loading of documents. */
#ifndef FOXTAILRUN_COMMAND_COMMAND_H
#define FOXTAILRUN_COMMAND_COMMAND_H

#include <argtable2.h>
#include <foxtailrun/config/snapshot.h>
#include <stdlib.h>

/* Exit codes besides EXIT_SUCCESS and EXIT_FAILURE. */
#define FX_EXIT_BAD_INPUT 2 /* the arguments or the file are wrong; nothing was changed */
#define FX_EXIT_REFUSED 3   /* a node refused the document */
#define FX_EXIT_SPREADING 4 /* the document was not in force everywhere in time */

/* Largest document that is read, one byte over the limit so that the checker sees the excess.
 */
#define FX_FILE_MAX (FC_DOCUMENT_MAX + 1)

/* Parses the arguments of subcommand NAME. The first entry of TABLE is --help. Returns false
 * when the command ends here, with its exit code in *CODE and help or errors printed. */
bool fx_parse_arguments (int argc, char **argv, void **table, size_t count, struct arg_end *end,
                         const char *name, int *code);

/* Reads and checks a document; prints every problem and returns NULL when it has any. */
fc_snapshot_t *fx_load_document (const char *path);

/* The subcommands: each gets its own name as argv[0] and returns the exit code. */
int fx_run_apply (int argc, char **argv);
int fx_run_status (int argc, char **argv);
int fx_run_nodes (int argc, char **argv);
int fx_run_routes (int argc, char **argv);
int fx_run_drain (int argc, char **argv);

#endif
