/* Functions of the document check; each adds to the checker's problems. */
#ifndef FOXTAILRUN_CONFIG_CHECK_PARTS_H
#define FOXTAILRUN_CONFIG_CHECK_PARTS_H

#include "check-row.h"
#include "section.h"
#include "snapshot-internal.h"

typedef struct
{
  const fc_toml_t *root;
  fc_snapshot_t *snapshot; /* being built */
  fc_problems_t *problems;
  const fc_limits_t *limits;
} fc_checker_t;

/* Returns the number of tables in [[SECTION]]. */
size_t fc_count_rows (const fc_checker_t *checker, const char *section);

/* Iterates over the tables of [[SECTION]], checking each into ROW; false after the last.
 * *TABLE is NULL before the first call, *INDEX the table's index. */
bool fc_next_row (const fc_checker_t *checker, const char *section, const fc_toml_t **table,
                  size_t *index, fc_row_t *row);

/* Reports that element EARLIER of SECTION has the same value at KEY as ROW. */
void fc_report_duplicate (const fc_checker_t *checker, const fc_row_t *row, const char *key,
                          const char *section, size_t earlier);

/* Returns the index in NAMES of the reference at KEY of ROW; 0 with a problem when unknown. */
uint32_t fc_resolve_name (const fc_checker_t *checker, const fc_row_t *row, const char *key,
                          GHashTable *names);

void fc_check_ranks (fc_checker_t *checker);
void fc_check_services (fc_checker_t *checker);
void fc_check_routes (fc_checker_t *checker);
void fc_check_customers (fc_checker_t *checker);
void fc_check_objectives (fc_checker_t *checker);

/* Reports each dependency that closes a cycle; LINES holds the line of each service's
 * depends_on. */
void fc_check_cycles (const fc_checker_t *checker, const uint32_t *lines);

/* Checks the complete tree at the checker's root into its snapshot. */
void fc_check_root (fc_checker_t *checker);

/* Stores a reference to SECTIONS, with the element of each, in the checker's snapshot; the
 * check must have found no problems. With COMPARE, only if the lines of the tree's tables
 * are those of the sections. */
void fc_record_sections (fc_checker_t *checker, GArray *sections, bool compare);

/* Checks DOCUMENT, made of SECTIONS, reusing the elements of BASE for equal sections.
 * Returns NULL when a full check is necessary: BASE or SECTIONS is NULL or has no sections,
 * too much has changed, or there is any problem. */
fc_snapshot_t *fc_check_changed_sections (const fc_snapshot_t *base, fb_bytes_t document,
                                          const fc_limits_t *limits, GArray *sections);

#endif
