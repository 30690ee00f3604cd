/* Service-level burn of the fleet: what the nodes answered, merged by objective. */
#ifndef FOXTAILRUN_COMMAND_REPORT_BURN_H
#define FOXTAILRUN_COMMAND_REPORT_BURN_H

#include <foxtailrun/base/status.h>
#include <foxtailrun/report/burn.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>

/* Zones and nodes that the table and the page name for each objective. */
#define BURN_PARTS_SHOWN 5

/* Calls of the longest window in one zone or on one node. */
typedef struct
{
  fb_name_t name;
  uint64_t calls;
  uint64_t bad;
} burn_part_t;

/* One objective. Where nodes hold different documents, each target and ratio is a row. */
typedef struct
{
  fs_objective_counts_t reading;
  GArray *zones; /* burn_part_t, most bad calls first */
  GArray *nodes; /* burn_part_t, most bad calls first */
} burn_row_t;

typedef struct
{
  fb_name_t id;
  fb_name_t zone;
  fb_name_t state;
  bool answered;
} burn_node_t;

typedef struct
{
  GPtrArray *rows;     /* burn_row_t; alerts first, then the least budget */
  GArray *nodes;       /* burn_node_t in order of id */
  GHashTable *by_text; /* rows by their objective as text */
} burn_report_t;

/* Creates an empty report. */
burn_report_t *burn_create_report (void);

/* Frees REPORT; NULL is allowed. */
void burn_destroy_report (burn_report_t *report);

/* Adds NODE, whose field answered is set here, and the counts in its ANSWER to GET /burn. A
 * NULL or malformed answer adds no counts; returns FB_INVALID for a malformed one. */
fb_status_t burn_add_answer (burn_report_t *report, const burn_node_t *node, json_t *answer);

/* Sorts REPORT after the last answer. */
void burn_sort_report (burn_report_t *report);

/* Returns how many nodes answered. */
size_t burn_count_answers (const burn_report_t *report);

/* Returns REPORT as a new JSON object. */
json_t *burn_pack_report (const burn_report_t *report);

/* Writes REPORT as a table. */
void burn_print_report (const burn_report_t *report, FILE *out);

/* Returns REPORT as one HTML page without outside resources; TAKEN says when it was made. Free
 * with g_free. */
char *burn_format_page (const burn_report_t *report, const char *taken);

/* Returns the budget left over the longest window as text, such as "12.5 %"; free with g_free.
 */
char *burn_format_budget (const fs_objective_counts_t *reading);

/* Returns a burn rate as text; free with g_free. */
char *burn_format_rate (const fs_objective_counts_t *reading, fs_window_t window);

/* Returns how far back the counts go, such as "2m10s to 6h"; free with g_free. */
char *burn_format_reach (const fs_counts_t *counts);

#endif
