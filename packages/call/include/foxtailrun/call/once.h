/* Records of calls that run at most once, at the node named in their ticket. */
#ifndef FOXTAILRUN_CALL_ONCE_H
#define FOXTAILRUN_CALL_ONCE_H

#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>

/* Enough bytes for a ticket as text. */
#define FR_TICKET_MAX 128

typedef struct
{
  fb_name_t node;
  uint64_t start_id; /* random, drawn when the process started */
  uint64_t serial;
  uint64_t nonce;
} fr_ticket_t;

typedef enum
{
  FR_ONCE_RUN,           /* first use: run it, then fr_end_once */
  FR_ONCE_RUNNING,       /* a first use is running; its answer will serve this one too */
  FR_ONCE_ANSWERED,      /* the recorded answer is returned */
  FR_ONCE_UNKNOWN,       /* it ran or may have run, and no answer is recorded */
  FR_ONCE_REFUSED,       /* refused as not run before: it never ran and never will */
  FR_ONCE_MISMATCH,      /* the ticket was used for another request */
  FR_ONCE_OTHER_PROCESS, /* not issued by this process; it may have run elsewhere */
  FR_ONCE_INVALID /* not a ticket of this process: wrong nonce or serial never issued; it never
                     ran */
} fr_once_state_t;

typedef struct fr_once fr_once_t;

/* Creates records for tickets of NODE and START_ID, at most MAX_RECORDS and MAX_BYTES of
 * answers; SECRET keys the nonces. */
fr_once_t *fr_create_once (const fb_name_t *node, uint64_t start_id, const uint8_t secret[32],
                           size_t max_records, size_t max_bytes);

/* Frees the records; NULL is allowed. */
void fr_destroy_once (fr_once_t *once);

/* Parses a ticket "ftr1-<node>-<start id>-<serial>-<nonce>" (the last three in hexadecimal; the
 * node's name may hold dashes); FB_INVALID otherwise. */
fb_status_t fr_parse_ticket (fb_str_t text, fr_ticket_t *ticket);

/* Writes a new ticket of this process. */
void fr_issue_ticket (fr_once_t *once, char text[FR_TICKET_MAX]);

/* Begins or finds the use of TICKET. With FR_ONCE_ANSWERED, *ANSWER borrows the recorded bytes
 * until the next call. */
fr_once_state_t fr_begin_once (fr_once_t *once, const fr_ticket_t *ticket,
                               uint64_t request_digest, fb_bytes_t *answer);

/* Records the end of a use that FR_ONCE_RUN began: an empty ANSWER records that the outcome is
 * unknown. */
void fr_end_once (fr_once_t *once, const fr_ticket_t *ticket, fb_bytes_t answer);

/* Ends a use that FR_ONCE_RUN began and that provably never reached the backend server. The
 * ticket counts as refused from then on: a late copy of the request must not make "not run"
 * untrue. */
void fr_abandon_once (fr_once_t *once, const fr_ticket_t *ticket);

/* Refuses the use of TICKET. Returns FR_ONCE_REFUSED when the caller may be told that it was
 * not run, which the records then keep true; otherwise what is known of an earlier use, as
 * fr_begin_once. Never FR_ONCE_RUN. */
fr_once_state_t fr_refuse_once (fr_once_t *once, const fr_ticket_t *ticket,
                                uint64_t request_digest, fb_bytes_t *answer);

/* Returns records held and bytes of answers held. */
size_t fr_count_once_records (const fr_once_t *once);
size_t fr_get_once_bytes (const fr_once_t *once);

#endif
