/* Documents and helpers shared by the tests of this package. */
#ifndef FIXTURE_CHECK_H
#define FIXTURE_CHECK_H

#include <foxtailrun/config/settings.h>
#include <foxtailrun/config/snapshot.h>

/* Three, four and five lines of correct elements. */
#define RANK "[[rank]]\nname = \"fast\"\norder = 0\n"
#define SERVICE "[[service]]\nname = \"shop\"\nslots = 9\nconnections = 120\n"
#define ROUTE                                                                                  \
  "[[route]]\nname = \"buy\"\npath = \"/buy\"\nservice = \"shop\"\nrank = \"fast\"\n"

/* A correct document with every element. */
extern const char fixture_document[];

/* Wraps a NUL-terminated text as bytes. */
fb_bytes_t wrap_bytes (const char *text);

/* Checks TEXT; on problems returns NULL and stores one line for each in *MESSAGES, which the
 * caller frees with g_free. */
fc_snapshot_t *check_text (const char *text, char **messages);

/* Checks TEXT, which must be correct. */
fc_snapshot_t *check_good (const char *text);

/* Joins the formatted problems, one a line; free with g_free. */
char *join_problems (const fc_problems_t *problems);

/* Aborts unless every reference in SNAPSHOT is to an element that it holds. */
void assert_closed (const fc_snapshot_t *snapshot);

#endif
