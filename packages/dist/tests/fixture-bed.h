/* One node against recorded hooks, among members that do not exist. */
#ifndef FOXTAILRUN_TESTS_FIXTURE_BED_H
#define FOXTAILRUN_TESTS_FIXTURE_BED_H

#include "fleet.h"

#define SENT_MAX 4096

/* A node with OTHERS members and what its hooks were called with. */
typedef struct
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  fm_table_t *table;
  fd_node_t *node;
  fw_member_t others[SF_HOSTS_MAX];
  size_t other_count;
  struct
  {
    fw_control_kind_t kind;
    fb_name_t to;
    uint64_t request;
    bool ready;
    size_t length; /* of the payload */
    bool based;    /* a base is stated */
  } sent[SENT_MAX];
  size_t sent_count;
  size_t reads;
  uint64_t read_index;
  bool reading;
  size_t applied;
  size_t refused;
  bool ready;
} bed_t;

/* Opens a bed whose node is in "zone-0", as is the first half of OTHERS members; the others are
 * in "zone-1". */
bed_t *open_bed (size_t others);
void close_bed (bed_t *bed);

/* Ticks the node every 100 ms. */
void pass_time (bed_t *bed, fb_time_t duration);

size_t count_sent (const bed_t *bed, fw_control_kind_t kind);
uint64_t get_count (bed_t *bed, const char *name);

/* Returns the version of DOCUMENT under NUMBER and REVISION. */
fb_version_t describe_version (GBytes *document, uint64_t number, uint64_t revision);

/* End the outstanding read of the source. */
void give_source_value (bed_t *bed, uint64_t index, GBytes *document);
void fail_read (bed_t *bed, fb_status_t status);

/* Delivers DOCUMENT from member INDEX as a whole frame that claims VERSION. */
void give_document (bed_t *bed, size_t index, GBytes *document, const fb_version_t *version);

/* Answers every SUMMARY_ASK sent so far, as a member that holds VERSION, and with LISTS every
 * MEMBERS_ASK. */
void answer_summaries (bed_t *bed, const fb_version_t *version, bool ready, bool lists);

#endif
