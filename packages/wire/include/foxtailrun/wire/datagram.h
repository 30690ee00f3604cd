/* Membership messages, one per UDP datagram. */
#ifndef FOXTAILRUN_WIRE_DATAGRAM_H
#define FOXTAILRUN_WIRE_DATAGRAM_H

#include "member.h"
#include <foxtailrun/base/status.h>
#include <foxtailrun/base/version.h>

/* Largest datagram in bytes; fits the usual MTU together with tunnel headers. */
#define FW_DATAGRAM_MAX 1200

/* Largest number of member updates in one datagram. */
#define FW_UPDATES_MAX 32

typedef enum
{
  FW_PING = 1,
  FW_ACK = 2,
  FW_PING_REQ = 3,
  FW_GOSSIP = 4
} fw_datagram_kind_t;

typedef struct
{
  fw_datagram_kind_t kind;
  uint64_t sequence; /* of the ping that an ack answers */
  fw_member_t sender;
  fb_version_t version;    /* in effect at the sender; number 0 without one */
  uint64_t members_digest; /* of the sender's member list, to detect divergence */
  fb_name_t target;        /* PING_REQ and forwarded ACK: the member probed */
  size_t update_count;
  fw_member_t updates[FW_UPDATES_MAX];
} fw_datagram_t;

/* Encodes DATAGRAM into BUFFER and stores its length. Updates that do not fit are omitted from
 * the end; PACKED_COUNT receives the number encoded. FB_TOO_LARGE when the header alone does
 * not fit. */
fb_status_t fw_encode_datagram (const fw_datagram_t *datagram, uint8_t buffer[FW_DATAGRAM_MAX],
                                size_t *length, size_t *packed_count);

/* Decodes BYTES into DATAGRAM; FB_INVALID on anything malformed, with DATAGRAM unspecified. */
fb_status_t fw_decode_datagram (fb_bytes_t bytes, fw_datagram_t *datagram);

#endif
