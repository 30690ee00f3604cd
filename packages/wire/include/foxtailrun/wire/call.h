/* Calls between the entry node and the node beside the chosen backend server. */
#ifndef FOXTAILRUN_WIRE_CALL_H
#define FOXTAILRUN_WIRE_CALL_H

#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>
#include <glib.h>

/* Largest request body and answer body in bytes. */
#define FW_REQUEST_BODY_MAX (1024 * 1024)
#define FW_ANSWER_BODY_MAX (8 * 1024 * 1024)

/* Longest path, host, header name or value, ticket or other free text in bytes: as long as the
 * head of a caller's request can be. */
#define FW_TEXT_MAX (400 * 1024)

/* Largest number of headers in a request or an answer: 64 of the caller, and the name of its
 * service. */
#define FW_HEADERS_MAX 65

/* Pace of an instance that is at par. */
#define FW_PACE_MAX 1000

typedef enum
{
  FW_CALL = 1,
  FW_ANSWER = 2
} fw_call_kind_t;

/* Outcome of an attempt. */
typedef enum
{
  FW_ANSWERED = 1, /* the backend server's complete answer */
  FW_NOT_RUN = 2,  /* refused; provably not run by the backend server */
  FW_UNKNOWN = 3,  /* may have run; no complete answer */
  FW_FAILED = 4    /* reached the backend server, which failed or truncated the answer */
} fw_outcome_t;

typedef struct
{
  fb_str_t name;
  fb_str_t value;
} fw_header_t;

/* One message; strings and body are borrowed from the encoded bytes after decoding. */
typedef struct
{
  fw_call_kind_t kind;
  uint64_t id; /* of the attempt, unique within the entry node's incarnation */
  /* CALL */
  uint64_t remaining_us; /* time left until the caller's deadline */
  fb_str_t service;
  fb_str_t rank;
  fb_str_t customer;
  fb_str_t method;
  fb_str_t host; /* of the caller's request */
  fb_str_t path;
  bool at_most_once;            /* the request is not repeatable */
  uint64_t target_left_us;      /* time left until the target time; 0 when it has passed */
  bool goes_first;              /* queued before others of its rank: a caller's retry after a
                                   refusal, or a nested call */
  bool earlier_attempt_arrived; /* an earlier attempt of the request reached a node */
  fb_str_t ticket;              /* empty unless the route requires one */
  fb_str_t request_id;
  /* ANSWER */
  fw_outcome_t outcome;
  uint32_t status;      /* HTTP status */
  bool close_delimited; /* the body ended with its connection */
  fb_str_t reason;      /* why the outcome is not FW_ANSWERED */
  bool retry_elsewhere; /* not run for a reason specific to this instance */
  bool reached_backend; /* the request reached, or may have reached, the backend server */
  uint32_t load;        /* running and waiting calls per 1,000 slots */
  uint64_t service_us;  /* time at the backend server */
  uint64_t wait_us;     /* expected wait of a further call of the same rank */
  bool leaving;         /* INSTANCE is about to stop */
  /* CALL and ANSWER */
  fb_str_t instance;         /* that the next two, and LEAVING, are about; empty if it neither
                                leaves nor names a limit */
  uint64_t incarnation;      /* of INSTANCE */
  uint64_t rate_limit_milli; /* calls that INSTANCE takes in 1,000 s; 0 if it names no limit */
  uint64_t crash_id;         /* CALL: crash that the last attempt was running in; ANSWER: crash
                                that the call was running in; 0 for none */
  uint64_t quarantine_us;    /* ANSWER: time for which the request is not run; 0 for none */
  /* Optional, sent only where the pace is enabled, as builds that don't know them refuse the
   * message. */
  uint64_t expected_service_us; /* CALL: median time that calls of the rank take at the backend
                                   servers of the service; 0 when unknown */
  uint32_t pace_permille;       /* ANSWER: slots that the instance may use for now, per 1,000 of
                                   all, up to FW_PACE_MAX; 0 when not reported */
  size_t header_count;
  fw_header_t headers[FW_HEADERS_MAX];
  fb_bytes_t body;
} fw_call_t;

/* Encodes MESSAGE without its body into a new buffer that the caller frees with g_free; the
 * body is sent as a second frame. */
uint8_t *fw_encode_call (const fw_call_t *message, size_t *length);

/* Decodes HEADER and BODY, which must outlive MESSAGE; FB_INVALID on anything malformed or over
 * a limit. */
fb_status_t fw_decode_call (fb_bytes_t header, fb_bytes_t body, fw_call_t *message);

/* Packs MESSAGE with its body into one new array: the length of the encoded header (32 bits,
 * native byte order), the header and the body. */
GByteArray *fw_pack_call (const fw_call_t *message);

/* Decodes the result of fw_pack_call; PACKED must outlive MESSAGE. FB_INVALID on anything
 * malformed or over a limit. */
fb_status_t fw_unpack_call (fb_bytes_t packed, fw_call_t *message);

/* Returns the lower-case name of OUTCOME, such as "not-run". */
const char *fw_describe_outcome (fw_outcome_t outcome);

#endif
