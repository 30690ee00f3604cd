/* Feed messages: changes of the source that a relay forwards to nodes which do not read it. */
#ifndef FOXTAILRUN_WIRE_FEED_H
#define FOXTAILRUN_WIRE_FEED_H

#include "member.h"
#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/position.h>
#include <foxtailrun/base/status.h>

/* Largest number of endpoints in one message: the target fleet size with headroom. */
#define FW_ENDPOINTS_MAX 8192

/* Largest compressed delta between two documents, in bytes. */
#define FW_DELTA_MAX (64 * 1024)

/* Largest number of evacuated zones in one message. */
#define FW_EVACUATIONS_MAX 64

typedef enum
{
  FW_FEED_REQUEST = 1, /* the requester's state; answered with the changes since */
  FW_FEED_UPDATE = 2,
  FW_FEED_UNAVAILABLE = 3 /* the relay's data is not known to be complete and current */
} fw_feed_message_kind_t;

typedef struct
{
  fw_feed_message_kind_t kind;
  uint64_t feed_id; /* of the relay's change list that SEQUENCE refers to; random per process */
  uint64_t sequence;      /* REQUEST: last change received; UPDATE: last change included */
  fb_position_t position; /* of the source, up to which its changes are known */
  fb_position_t document_position; /* position of the newest document known; 0 without one */
  uint64_t document_number; /* version that it carries; sent only with eras, 0 otherwise */
  /* UPDATE: position of the source up to which no newer document exists. Below POSITION when
   * the relay reads document and endpoints separately. 0 is not encoded; a message without it
   * decodes to DOCUMENT_POSITION. */
  fb_position_t document_known_position;
  fb_digest_t digest; /* UPDATE: of that document */
  fb_bytes_t delta;   /* UPDATE: zstd frame against the requester's document; may be empty;
                         borrowed from the encoded bytes after decoding */
  uint64_t age_us;    /* UPDATE: since the relay's data was last known to be current */
  uint64_t request_wait_us; /* UPDATE: time that the request waited at the relay */
  bool complete;            /* UPDATE: ENDPOINTS is the full list, not only the changes */
  size_t endpoint_count;
  fw_endpoint_t *endpoints; /* UPDATE: owned after decoding, see fw_clear_feed */
  /* UPDATE: the complete set of evacuated zones, and the position of the source up to which it
   * is known. A message without the set is encoded without the fields; builds that don't know
   * them refuse a message with the set. */
  bool has_evacuations;
  fb_position_t evacuations_position;
  size_t evacuation_count;
  fb_name_t *evacuated_zones; /* owned after decoding */
} fw_feed_message_t;

/* Encodes MESSAGE into a new buffer that the caller frees with g_free. */
uint8_t *fw_encode_feed (const fw_feed_message_t *message, size_t *length);

/* Decodes BYTES, which must outlive MESSAGE; FB_INVALID on anything malformed. */
fb_status_t fw_decode_feed (fb_bytes_t bytes, fw_feed_message_t *message);

/* Frees what decoding allocated in MESSAGE. */
void fw_clear_feed (fw_feed_message_t *message);

#endif
