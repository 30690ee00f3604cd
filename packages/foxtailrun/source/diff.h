/* Differences between two configuration documents. */
#ifndef FOXTAILRUN_DIFF_H
#define FOXTAILRUN_DIFF_H

#include <foxtailrun/config/snapshot.h>
#include <glib.h>

/* One difference; texts are owned unless they are static. */
typedef struct
{
  const char *kind; /* static, such as "route" */
  char *name;       /* of the element, "" for the document */
  const char *key;  /* static; NULL for an element that is added or removed */
  char *before;     /* NULL for an element that is added */
  char *after;      /* NULL for an element that is removed */
  const char *risk; /* static; consequence to check for, or NULL */
} diff_change_t;

/* Returns the changes from BEFORE to AFTER as pointers to diff_change_t; free with
 * g_ptr_array_unref. */
GPtrArray *diff_documents (const fc_snapshot_t *before, const fc_snapshot_t *after);

/* One compared value of an element, formatted as text. */
typedef struct
{
  const char *key;
  void (*format) (const fc_snapshot_t *snapshot, size_t index, GString *text);
  /* Returns the static risk of the change from element FROM to element TO, or NULL. The
   * function itself may be NULL. */
  const char *(*assess_risk) (const fc_snapshot_t *before, size_t from,
                              const fc_snapshot_t *after, size_t to);
  /* Value that the text of an added or removed element omits; NULL for none. */
  const char *default_text;
} diff_field_t;

/* One kind of element; elements of two documents are matched by name. */
typedef struct
{
  const char *kind;
  size_t (*count) (const fc_snapshot_t *snapshot);
  void (*format_name) (const fc_snapshot_t *snapshot, size_t index, GString *text);
  const diff_field_t *fields;
  size_t field_count;
  /* Returns the static risk of removing element INDEX of BEFORE, or NULL. The function itself
   * may be NULL. */
  const char *(*assess_removal_risk) (const fc_snapshot_t *before, size_t index);
} diff_kind_t;

/* The kinds in order of output. */
extern const diff_kind_t diff_kinds[];
extern const size_t diff_kind_count;

#endif
