/* One node with recorded hooks, among members that do not run. */
#ifndef FOXTAILRUN_TESTS_FIXTURE_NODE_H
#define FOXTAILRUN_TESTS_FIXTURE_NODE_H

#include "fleet.h"

#define SENT_MAX 4096

/* A node with OTHERS members, and the calls of its hooks. */
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
    uint64_t request_id;
    bool ready;
    size_t length; /* of the payload */
    bool has_base;
  } sent[SENT_MAX];
  size_t sent_count;
  size_t reads;
  uint64_t read_index;
  bool read_outstanding;
  size_t applied;
  size_t refused;
  bool ready;
} node_fixture_t;

/* Creates a node in "zone-0", with the first half of OTHERS members in "zone-0" and the second
 * in "zone-1". */
node_fixture_t *create_fixture (size_t others);
void destroy_fixture (node_fixture_t *fixture);

/* Ticks the node every 100 ms. */
void advance_time (node_fixture_t *fixture, fb_time_t duration);

size_t count_sent (const node_fixture_t *fixture, fw_control_kind_t kind);
uint64_t get_count (node_fixture_t *fixture, const char *name);

fb_version_t describe_version (GBytes *document, uint64_t number, uint64_t revision);

/* End the outstanding read of the source. */
void deliver_source_value (node_fixture_t *fixture, uint64_t index, GBytes *document);
void fail_read (node_fixture_t *fixture, fb_status_t status);

/* Delivers DOCUMENT from member INDEX as a full document that claims VERSION. */
void deliver_document (node_fixture_t *fixture, size_t index, GBytes *document,
                       const fb_version_t *version);

/* Responds to every SUMMARY_REQUEST sent so far as a member with VERSION, and with
 * WITH_MEMBER_LISTS to every MEMBERS_REQUEST. */
void respond_to_requests (node_fixture_t *fixture, const fb_version_t *version, bool ready,
                          bool with_member_lists);

#endif
