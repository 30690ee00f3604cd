/* Service-level burn of the fleet: counts of the nodes, merged by objective. */
#ifndef FOXTAILRUN_COMMAND_REPORT_BURN_H
#define FOXTAILRUN_COMMAND_REPORT_BURN_H

#include <foxtailrun/base/status.h>
#include <foxtailrun/report/burn.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>

/* Zones and nodes listed for each objective. */
#define BURN_GROUPS_SHOWN_MAX 5

/* Calls of a zone or node in the longest window. */
typedef struct
{
  fb_name_t name;
  uint64_t calls;
  uint64_t bad;
} burn_group_t;

/* Objectives that differ in target or ratio, as nodes have different documents in force, are
 * separate rows. */
typedef struct
{
  fs_objective_counts_t objective_counts;
  GArray *zones; /* burn_group_t, most bad calls first */
  GArray *nodes; /* burn_group_t, most bad calls first */
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
  GPtrArray *rows; /* burn_row_t; by severity of the alert, then lowest budget first */
  GArray *nodes;   /* burn_node_t by id */
  GHashTable *rows_by_objective; /* key: service, rank, target and ratio as text */
} burn_report_t;

/* Creates an empty report. */
burn_report_t *burn_create_report (void);

/* Frees REPORT; NULL is allowed. */
void burn_destroy_report (burn_report_t *report);

/* Adds NODE and the counts of its RESPONSE to GET /burn; sets answered in the copy. A NULL or
 * malformed response adds no counts; FB_INVALID for a malformed one. */
fb_status_t burn_add_response (burn_report_t *report, const burn_node_t *node,
                               json_t *response);

/* Sorts REPORT; call after the last response, before output. */
void burn_sort_report (burn_report_t *report);

/* Returns the number of nodes that answered. */
size_t burn_count_responses (const burn_report_t *report);

/* Returns REPORT as a new JSON object. */
json_t *burn_pack_report (const burn_report_t *report);

/* Writes REPORT as a table. */
void burn_print_report (const burn_report_t *report, FILE *out);

/* Returns REPORT as an HTML page without external resources; CREATED is the displayed time of
 * creation. Free with g_free. */
char *burn_format_page (const burn_report_t *report, const char *created);

/* Returns the error budget left in the longest window, such as "12.5 %"; free with g_free. */
char *burn_format_budget (const fs_objective_counts_t *objective_counts);

/* Returns the burn rate in WINDOW as text, "-" without calls; free with g_free. */
char *burn_format_rate (const fs_objective_counts_t *objective_counts, fs_window_t window);

/* Returns how far back the counts go, such as "2m10s to 6h0m0s"; free with g_free. */
char *burn_format_reach (const fs_counts_t *counts);

#endif
