/* Differences between two configuration documents. */
#ifndef FOXTAILRUN_DIFF_H
#define FOXTAILRUN_DIFF_H

#include <foxtailrun/config/snapshot.h>
#include <glib.h>

/* Texts are owned unless static. */
typedef struct
{
  const char *kind; /* static, such as "route" */
  char *name;       /* of the element, "" for the document */
  const char *key;  /* static; NULL for an added or removed element */
  char *before;     /* NULL for an added element */
  char *after;      /* NULL for a removed element */
  const char *risk; /* static; consequence to check for, or NULL */
} diff_change_t;

/* Returns the changes from BEFORE to AFTER, diff_change_t pointers; free with
 * g_ptr_array_unref. */
GPtrArray *diff_documents (const fc_snapshot_t *before, const fc_snapshot_t *after);

/* One compared value of an element, formatted as text. */
typedef struct
{
  const char *key;
  void (*format) (const fc_snapshot_t *snapshot, size_t index, GString *text);
  /* Static risk of the change from element FROM to TO, or NULL; the function may be NULL. */
  const char *(*assess_risk) (const fc_snapshot_t *before, size_t from,
                              const fc_snapshot_t *after, size_t to);
  /* Value omitted for an added or removed element; NULL for none. */
  const char *default_text;
} diff_field_t;

/* Elements of two documents are matched by name. */
typedef struct
{
  const char *kind;
  size_t (*count) (const fc_snapshot_t *snapshot);
  void (*format_name) (const fc_snapshot_t *snapshot, size_t index, GString *text);
  const diff_field_t *fields;
  size_t field_count;
  /* Static risk of removing element INDEX of BEFORE, or NULL; the function may be NULL. */
  const char *(*assess_removal_risk) (const fc_snapshot_t *before, size_t index);
} diff_kind_t;

/* The kinds in order of output. */
extern const diff_kind_t diff_kinds[];
extern const size_t diff_kind_count;

#endif
