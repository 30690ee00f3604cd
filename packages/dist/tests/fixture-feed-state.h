/* State of the small fleet of feeds, shared by the files of its fixture. */
#ifndef FOXTAILRUN_FIXTURE_FEED_STATE_H
#define FOXTAILRUN_FIXTURE_FEED_STATE_H

#include "fixture-feed.h"

/* A kept connection to the store or a relay. */
typedef struct
{
  bool open;
  bool silent; /* what is sent on it is lost */
  size_t relay;
  fb_time_t used_at;
} connection_t;

typedef struct
{
  fleet_t *fleet;
  size_t number;
  feed_fault_t fault;
  fd_feed_t *feed;
  fb_time_t run_at;
  fw_member_state_t known_states[FEED_NODES_MAX];
  bool evacuated[FEED_ZONES]; /* as of the last change that the feed has told of */
  bool read_outstanding;
  fd_read_t read;
  fb_time_t read_end_at;
  bool read_lost; /* it gets no response */
  fb_time_t read_started_at;
  connection_t store_connection;
  connection_t relay_connection;
  size_t relay; /* FEED_NODES_MAX before the first request */
  bool request_outstanding;
  fb_time_t request_sent_at;
  fb_time_t response_at;
  uint8_t *response;
  size_t response_len;
} node_t;

typedef struct
{
  fw_member_state_t state;
  uint64_t incarnation;
  uint64_t revision; /* of the last write */
} listed_endpoint_t;

typedef struct
{
  bool active;
  uint64_t revision; /* of the last write */
} listed_evacuation_t;

/* Contents of the store. */
typedef struct
{
  listed_endpoint_t endpoints[FEED_NODES_MAX];
  uint64_t revision;
  uint64_t compacted_revision; /* changes before this revision are compacted */
  char *text;
  uint64_t text_revision;
  uint64_t text_number;
  listed_evacuation_t evacuations[FEED_ZONES];
} store_t;

struct fleet
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  size_t count;
  node_t nodes[FEED_NODES_MAX];
  store_t store;
  store_t copy;
  uint64_t era;
  bool evacuation; /* the feeds read evacuations */
  bool store_available;
  bool store_silent;
  bool updates_stopped;
  uint64_t steps;
  size_t reads;
  size_t document_reads;
  size_t full_reads;
  size_t evacuation_reads;
  uint64_t published;                    /* documents */
  uint64_t incarnations[FEED_NODES_MAX]; /* of the instances' current starts */
  bool has_left[FEED_NODES_MAX];         /* the current start was listed as leaving */
};

#endif
