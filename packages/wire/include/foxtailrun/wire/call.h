/* Calls between the entry node and the node beside the chosen backend server. */
#ifndef FOXTAILRUN_WIRE_CALL_H
#define FOXTAILRUN_WIRE_CALL_H

#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>
#include <glib.h>

/* Largest request body and answer body in bytes. */
#define FW_REQUEST_BODY_MAX (1024 * 1024)
#define FW_ANSWER_BODY_MAX (8 * 1024 * 1024)

/* Most headers in a request or an answer. */
#define FW_HEADERS_MAX 64

typedef enum
{
  FW_CALL = 1,
  FW_ANSWER = 2
} fw_call_kind_t;

/* What happened to an attempt. */
typedef enum
{
  FW_ANSWERED = 1, /* the backend server's whole answer */
  FW_NOT_RUN = 2,  /* refused; provably never reached the backend server */
  FW_UNKNOWN = 3,  /* may have run; no whole answer */
  FW_FAILED = 4    /* reached the backend server, which failed or cut the answer short */
} fw_outcome_t;

typedef struct
{
  fb_str_t name;
  fb_str_t value;
} fw_header_t;

/* One message; strings and body borrow from the encoded bytes after decoding. */
typedef struct
{
  fw_call_kind_t kind;
  uint64_t id; /* of the attempt, unique to the entry node's incarnation */
  /* CALL */
  uint64_t remaining_us; /* time left until the caller's deadline */
  fb_str_t service;
  fb_str_t rank;
  fb_str_t customer;
  fb_str_t method;
  fb_str_t host; /* that the caller asked for */
  fb_str_t path;
  bool at_most_once;            /* may run at most once */
  uint64_t target_left_us;      /* time left until the latency target; 0 when it has passed */
  bool is_caller_retry;         /* the caller was refused before and has come back */
  bool earlier_attempt_arrived; /* an earlier attempt of the same request has arrived */
  fb_str_t ticket;              /* empty unless the route needs one */
  fb_str_t request_id;
  /* ANSWER */
  fw_outcome_t outcome;
  uint32_t status;      /* HTTP status */
  bool close_delimited; /* only the end of its connection ended the body */
  fb_str_t reason;      /* why a call was not run or is unknown */
  bool retry_elsewhere; /* not run for a reason that other instances need not share */
  bool reached_backend; /* the request has, or may have, reached the backend server */
  uint32_t load;        /* slots in use plus waiting, per 1,000 slots */
  uint64_t service_us;  /* time at the backend server */
  uint64_t wait_us;     /* that a further call of the same rank may expect */
  /* CALL and ANSWER */
  size_t header_count;
  fw_header_t headers[FW_HEADERS_MAX];
  fb_bytes_t body;
} fw_call_t;

/* Encodes the header part of MESSAGE, all but BODY, into a new buffer that the caller frees
 * with g_free; the body travels as a second frame. */
uint8_t *fw_encode_call (const fw_call_t *message, size_t *length);

/* Decodes HEADER and BODY, which must outlive MESSAGE; FB_INVALID on anything malformed or over
 * a limit. */
fb_status_t fw_decode_call (fb_bytes_t header, fb_bytes_t body, fw_call_t *message);

/* Packs MESSAGE with its body into one new array: the length of the encoded header, it, and the
 * body. */
GByteArray *fw_pack_call (const fw_call_t *message);

/* Reads what fw_pack_call has made; PACKED must outlive MESSAGE. FB_INVALID as above. */
fb_status_t fw_unpack_call (fb_bytes_t packed, fw_call_t *message);

/* Returns the lower-case name of OUTCOME, such as "not-run". */
const char *fw_describe_outcome (fw_outcome_t outcome);

#endif
