/* Differences between two configuration documents. */
#ifndef FOXTAILRUN_DIFF_H
#define FOXTAILRUN_DIFF_H

#include <foxtailrun/config/snapshot.h>
#include <glib.h>

/* One difference; every text is owned. */
typedef struct
{
  const char *kind; /* static, such as "route" */
  char *name;       /* of the element, "" for the document */
  const char *key;  /* static; NULL for an element that is added or removed */
  char *before;     /* NULL for an element that is added */
  char *after;      /* NULL for an element that is removed */
  const char *risk; /* static; what may go wrong, NULL when nothing is known */
} diff_change_t;

/* Compares two documents and returns diff_change_t pointers; free with g_ptr_array_unref. */
GPtrArray *diff_documents (const fc_snapshot_t *before, const fc_snapshot_t *after);

/* One value of an element, written as text. */
typedef struct
{
  const char *key;
  void (*format) (const fc_snapshot_t *snapshot, size_t index, GString *text);
  /* Returns the risk of a change, or NULL; may be NULL. */
  const char *(*judge) (const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after,
                        size_t to);
  /* Value that is left out of an element that is added or removed; NULL when none is. */
  const char *usual;
} diff_field_t;

/* One kind of element, matched between documents by name. */
typedef struct
{
  const char *kind;
  size_t (*count) (const fc_snapshot_t *snapshot);
  void (*name) (const fc_snapshot_t *snapshot, size_t index, GString *text);
  const diff_field_t *fields;
  size_t field_count;
  /* Returns the risk when element INDEX of BEFORE is removed, or NULL; may be NULL. */
  const char *(*judge_removal) (const fc_snapshot_t *before, size_t index);
} diff_kind_t;

/* The kinds in order of output. */
extern const diff_kind_t diff_kinds[];
extern const size_t diff_kind_count;

#endif
