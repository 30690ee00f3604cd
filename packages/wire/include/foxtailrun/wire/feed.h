/* News of the source, which a node that reads it passes on to the nodes that follow it. */
#ifndef FOXTAILRUN_WIRE_FEED_H
#define FOXTAILRUN_WIRE_FEED_H

#include "member.h"
#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/status.h>

/* Endpoints in one message: a fleet of the target size with room. */
#define FW_ENDPOINTS_MAX 8192

/* Largest difference between two documents that is passed on, in bytes. */
#define FW_DELTA_MAX (64 * 1024)

typedef enum
{
  FW_FEED_REQUEST = 1, /* what is new? */
  FW_FEED_UPDATE = 2,
  FW_FEED_UNAVAILABLE = 3 /* the sender cannot vouch for what it knows */
} fw_feed_message_kind_t;

typedef struct
{
  fw_feed_message_kind_t kind;
  uint64_t feed_id;  /* whose list of changes SEQUENCE counts; random for each process */
  uint64_t sequence; /* ASK: last change held; NEWS: last change told */
  uint64_t position; /* of the source, up to which endpoints are known */
  uint64_t document_position; /* position of the newest document held; 0 without one */
  fb_digest_t digest;         /* NEWS: of that document */
  fb_bytes_t delta; /* NEWS: zstd frame that makes it of the asker's document; may be empty;
                       borrowed from the encoded bytes after decoding */
  uint64_t age_us;  /* NEWS: since the sender's knowledge was whole */
  uint64_t request_wait_us; /* NEWS: how long the ask waited at the sender */
  bool complete;            /* NEWS: ENDPOINTS are all that are listed */
  size_t endpoint_count;
  fw_endpoint_t *endpoints; /* NEWS: owned after decoding, see fw_clear_feed */
} fw_feed_message_t;

/* Encodes NEWS into a new buffer that the caller frees with g_free. */
uint8_t *fw_encode_feed (const fw_feed_message_t *news, size_t *length);

/* Decodes BYTES, which must outlive NEWS; FB_INVALID on anything malformed. */
fb_status_t fw_decode_feed (fb_bytes_t bytes, fw_feed_message_t *news);

/* Frees what decoding allocated in NEWS. */
void fw_clear_feed (fw_feed_message_t *news);

#endif
