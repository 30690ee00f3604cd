/* State shared by the files of the stand-in fleet. */
#ifndef FOXTAILRUN_STANDINS_FLEET_STATE_H
#define FOXTAILRUN_STANDINS_FLEET_STATE_H

#include "fleet.h"

#define SF_BASE_PORT 7000

/* Limit of one wait at the source. */
#define SF_WATCH_LIMIT FD_WATCH_WAIT

typedef enum
{
  SF_DATAGRAM,
  SF_CONTROL,
  SF_CALL, /* a read arrives at the source */
  SF_VALUE /* its answer arrives at the node */
} sf_event_kind_t;

typedef struct
{
  fb_time_t at;
  uint64_t serial;
  sf_event_kind_t kind;
  size_t host;
  uint64_t starts; /* process that it belongs to */
  GBytes *bytes;   /* or NULL */
  fb_status_t status;
  uint64_t index;
} sf_event_t;

/* Frees an event. */
void sf_free_event (gpointer data);

/* Schedules an event of KIND at HOST after the delay of a link; owned by the fleet. */
sf_event_t *sf_schedule_event (sf_host_t *host, sf_event_kind_t kind, fb_bytes_t bytes);

/* Sends BYTES from HOST to the host that listens on PORT. */
void sf_transmit (sf_host_t *host, uint16_t port, sf_event_kind_t kind, fb_bytes_t bytes);

/* Hands an event to the process of HOST. */
void sf_deliver_event (sf_host_t *host, const sf_event_t *event);

/* Delivers all events that are due. */
void sf_deliver_due (sf_fleet_t *fleet);

/* The source receives a read of HOST, or ends it with STATUS. */
void sf_receive_call (sf_host_t *host, uint64_t index);
void sf_answer_call (sf_host_t *host, fb_status_t status);

/* Ticks the process of HOST when due and checks its invariants. */
void sf_run_host (sf_host_t *host, uint64_t step);

/* Returns DIGEST as new hexadecimal text. */
char *sf_describe_digest (const fb_digest_t *digest);

#endif
