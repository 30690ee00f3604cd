/* Documents and helpers shared by the tests of this package. */
#ifndef FIXTURE_CHECK_H
#define FIXTURE_CHECK_H

#include <foxtailrun/config/settings.h>
#include <foxtailrun/config/snapshot.h>

/* Valid elements of three, four and five lines. */
#define RANK "[[rank]]\nname = \"fast\"\norder = 0\n"
#define SERVICE "[[service]]\nname = \"shop\"\nslots = 9\nconnections = 120\n"
#define ROUTE                                                                                  \
  "[[route]]\nname = \"buy\"\npath = \"/buy\"\nservice = \"shop\"\nrank = \"fast\"\n"

/* A valid document with every kind of element. */
extern const char fixture_document[];

/* Returns TEXT without its NUL as bytes, borrowed. */
fb_bytes_t wrap_bytes (const char *text);

/* Checks TEXT and stores the problems as lines in *MESSAGES; free with g_free. Returns NULL
 * when there are problems. */
fc_snapshot_t *check_text (const char *text, char **messages);

/* Returns the snapshot of TEXT, which must be valid. */
fc_snapshot_t *check_valid (const char *text);

/* Returns the formatted problems, one per line; free with g_free. */
char *join_problems (const fc_problems_t *problems);

/* Asserts that every index in SNAPSHOT is that of an element. */
void assert_valid_references (const fc_snapshot_t *snapshot);

#endif
