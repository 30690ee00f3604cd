/* Parts of the document check; each adds what it finds to the checker's problems. */
#ifndef FOXTAILRUN_CONFIG_CHECK_PARTS_H
#define FOXTAILRUN_CONFIG_CHECK_PARTS_H

#include "check-row.h"
#include "section.h"
#include "snapshot-parts.h"

typedef struct
{
  const fc_toml_t *root;
  fc_snapshot_t *snapshot; /* being built */
  fc_problems_t *problems;
} fc_checker_t;

/* Returns the number of tables in [[SECTION]]. */
size_t fc_count_rows (const fc_checker_t *checker, const char *section);

/* Steps through the tables of [[SECTION]]: *TABLE starts as NULL and *INDEX is counted from 0;
 * returns false after the last one. ROW holds the checked table. */
bool fc_next_row (const fc_checker_t *checker, const char *section, const fc_toml_t **table,
                  size_t *index, fc_row_t *row);

/* Reports that the name at KEY of ROW repeats that of element EARLIER of SECTION. */
void fc_report_duplicate (const fc_checker_t *checker, const fc_row_t *row, const char *key,
                          const char *section, size_t earlier);

/* Resolves the reference at KEY of ROW by NAMES; a missing name is reported and gives 0. */
uint32_t fc_resolve_name (const fc_checker_t *checker, const fc_row_t *row, const char *key,
                          GHashTable *names);

void fc_check_ranks (fc_checker_t *checker);
void fc_check_services (fc_checker_t *checker);
void fc_check_routes (fc_checker_t *checker);
void fc_check_customers (fc_checker_t *checker);
void fc_check_objectives (fc_checker_t *checker);

/* Reports each dependency that closes a cycle between services; LINES holds the line of each
 * service's dependencies. */
void fc_check_cycles (const fc_checker_t *checker, const uint32_t *lines);

/* Checks the whole tree at the checker's root into its snapshot. */
void fc_check_root (fc_checker_t *checker);

/* Stores a reference to SECTIONS, with the element of each, in the checker's snapshot, which
 * must be free of problems. With COMPARE, does nothing unless the tables of the checker's tree
 * stand on the lines of the sections' headers. */
void fc_record_sections (fc_checker_t *checker, GArray *sections, bool compare);

/* Checks DOCUMENT, which is divided into SECTIONS, with the elements of BASE for the sections
 * that are the same there. Returns NULL when a full check has to decide: when BASE or SECTIONS
 * is NULL or has no sections, too much has changed, or anything is wrong. */
fc_snapshot_t *fc_try_change (const fc_snapshot_t *base, fb_bytes_t document, GArray *sections);

#endif
