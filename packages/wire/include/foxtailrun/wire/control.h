/* Control messages between nodes over ZeroMQ: documents, summaries and member lists. */
#ifndef FOXTAILRUN_WIRE_CONTROL_H
#define FOXTAILRUN_WIRE_CONTROL_H

#include "member.h"
#include <foxtailrun/base/status.h>
#include <foxtailrun/base/version.h>

/* Largest document in bytes, the platform's limit on a value. */
#define FW_DOCUMENT_MAX (1024 * 1024)

/* Largest number of members in one page of a member list. */
#define FW_MEMBERS_PER_PAGE_MAX 256

typedef enum
{
  FW_SUMMARY_REQUEST = 1, /* no further fields */
  FW_SUMMARY = 2,         /* version, ready */
  FW_FETCH = 3,           /* base_digest: the requester's document, zero for none */
  FW_DOCUMENT = 4,        /* version, base_digest, payload: zstd frame */
  FW_MEMBERS_REQUEST = 5, /* page */
  FW_MEMBERS = 6          /* page, page_count, members */
} fw_control_kind_t;

typedef struct
{
  fw_control_kind_t kind;
  uint64_t request_id; /* chosen by the requester, repeated in the response */
  fb_name_t sender;
  fb_version_t version;
  bool ready;              /* SUMMARY: the sender accepts calls */
  fb_digest_t base_digest; /* FETCH, DOCUMENT: the document that the delta applies to */
  uint32_t page;
  uint32_t page_count;
  fb_bytes_t payload; /* DOCUMENT: borrowed from the encoded bytes after decoding */
  size_t member_count;
  fw_member_t *members; /* MEMBERS: owned after decoding, see fw_clear_control */
} fw_control_t;

/* Encodes MESSAGE into a new buffer that the caller frees with g_free. */
uint8_t *fw_encode_control (const fw_control_t *message, size_t *length);

/* Decodes BYTES, which must outlive MESSAGE; FB_INVALID on anything malformed. */
fb_status_t fw_decode_control (fb_bytes_t bytes, fw_control_t *message);

/* Frees what decoding allocated in MESSAGE. */
void fw_clear_control (fw_control_t *message);

#endif
