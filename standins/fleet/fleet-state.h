/* State shared by the files of the stand-in fleet. */
#ifndef FOXTAILRUN_STANDINS_FLEET_STATE_H
#define FOXTAILRUN_STANDINS_FLEET_STATE_H

#include "fleet.h"

#define SF_BASE_PORT 7000

/* Longest wait of one read at the source. */
#define SF_WATCH_WAIT_MAX FD_WATCH_WAIT_MAX

typedef enum
{
  SF_DATAGRAM,
  SF_CONTROL,
  SF_SOURCE_READ, /* a read request arrives at the source */
  SF_SOURCE_VALUE /* the response arrives at the node */
} sf_event_kind_t;

typedef struct
{
  fb_time_t due_at;
  uint64_t serial;
  sf_event_kind_t kind;
  size_t host;
  uint64_t start_count; /* of HOST when scheduled; another process ignores the event */
  GBytes *bytes;        /* or NULL */
  fb_status_t status;
  uint64_t index;
} sf_event_t;

void sf_free_event (gpointer data);

/* Schedules an event of KIND at HOST after the delay of a link; owned by the fleet. */
sf_event_t *sf_schedule_event (sf_host_t *host, sf_event_kind_t kind, fb_bytes_t bytes);

/* Sends BYTES from HOST to the host at PORT. */
void sf_transmit (sf_host_t *host, uint16_t port, sf_event_kind_t kind, fb_bytes_t bytes);

/* Passes EVENT to the process of HOST, or to the source. */
void sf_deliver_event (sf_host_t *host, const sf_event_t *event);

/* Delivers all events that are due. */
void sf_deliver_due_events (sf_fleet_t *fleet);

/* The source receives a read of HOST that waits for a value after INDEX, or ends it with
 * STATUS. */
void sf_receive_read (sf_host_t *host, uint64_t index);
void sf_answer_read (sf_host_t *host, fb_status_t status);

/* Ticks the process of HOST if it is due in STEP, and checks its invariants. */
void sf_run_host (sf_host_t *host, uint64_t step);

/* Returns DIGEST in hexadecimal; free with g_free. */
char *sf_format_digest (const fb_digest_t *digest);

#endif
