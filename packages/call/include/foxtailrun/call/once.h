/* Records of calls that run at most once, at the node named in their ticket. */
#ifndef FOXTAILRUN_CALL_ONCE_H
#define FOXTAILRUN_CALL_ONCE_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>

/* Size of a buffer for a ticket as text. */
#define FR_TICKET_SIZE 128

typedef struct
{
  fb_name_t node;
  uint64_t start_id; /* random number of the process, drawn at its start */
  uint64_t serial;
  uint64_t nonce;
} fr_ticket_t;

typedef enum
{
  FR_ONCE_RUN,           /* first use: run and end it by fr_end_once or fr_abandon_once */
  FR_ONCE_RUNNING,       /* the first use is running; its answer serves this one too */
  FR_ONCE_ANSWERED,      /* ran; the recorded answer is returned */
  FR_ONCE_UNKNOWN,       /* ran or may have run; no answer is recorded */
  FR_ONCE_REFUSED,       /* refused earlier as not run: never ran and never will */
  FR_ONCE_MISMATCH,      /* the ticket was used for a different request */
  FR_ONCE_OTHER_PROCESS, /* names another process, where it may have run */
  FR_ONCE_INVALID        /* not a valid ticket: wrong nonce or serial never issued; never ran */
} fr_once_state_t;

typedef struct fr_once fr_once_t;

/* Creates records for tickets of NODE and START_ID, limited to MAX_RECORDS records and
 * MAX_BYTES of answers. The key of the nonces is derived from SECRET. */
fr_once_t *fr_create_once (const fb_name_t *node, uint64_t start_id, const uint8_t secret[32],
                           size_t max_records, size_t max_bytes);

/* Frees the records; NULL is allowed. */
void fr_destroy_once (fr_once_t *once);

/* Parses a ticket "ftr1-<node>-<start id>-<serial>-<nonce>", the last three in hexadecimal; the
 * node's name may contain dashes. Returns FB_INVALID for any other TEXT. */
fb_status_t fr_parse_ticket (fb_str_t text, fr_ticket_t *ticket);

/* Writes a new ticket of this process. */
void fr_issue_ticket (fr_once_t *once, char text[FR_TICKET_SIZE]);

/* Begins the first use of TICKET or returns the state of an earlier one. With FR_ONCE_ANSWERED,
 * *ANSWER borrows the recorded bytes until the next call. */
fr_once_state_t fr_begin_once (fr_once_t *once, const fr_ticket_t *ticket,
                               uint64_t request_digest, fb_bytes_t *answer);

/* Ends a use begun with FR_ONCE_RUN and records ANSWER; empty when the outcome is unknown. */
void fr_end_once (fr_once_t *once, const fr_ticket_t *ticket, fb_bytes_t answer);

/* Ends a use begun with FR_ONCE_RUN that provably never reached the backend server. The
 * ticket then counts as refused, so that a delayed copy cannot run after "not run" was
 * reported. */
void fr_abandon_once (fr_once_t *once, const fr_ticket_t *ticket);

/* Refuses TICKET for good. Returns FR_ONCE_REFUSED when it has not run, which may be reported
 * to the caller; otherwise the state of an earlier use as fr_begin_once does, but never
 * FR_ONCE_RUN. */
fr_once_state_t fr_refuse_once (fr_once_t *once, const fr_ticket_t *ticket,
                                uint64_t request_digest, fb_bytes_t *answer);

/* Return the number of records and the bytes of recorded answers. */
size_t fr_count_once_records (const fr_once_t *once);
size_t fr_get_once_bytes (const fr_once_t *once);

#endif
