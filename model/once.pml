/* Calls that run at most once (design page, section 8). README.md in this folder lists the
 * abstractions and the flags.
 *
 * Two callers each have a ticket, with serial 0 and serial 1, issued by the first process of
 * serving node 0. Each makes up to two attempts with its ticket, the second through the other
 * entry node, at any time after the start of the first, unless that one got a response. A CALL may
 * reach each serving node, and an ANSWER the entry node of its attempt, at any time, any number of
 * times or never. */

#ifndef RESTARTS
#define RESTARTS 2
#endif

#ifndef CALLERS
#define CALLERS 2
#endif

#define TICKETS  2
#define ATTEMPTS 4 /* attempt 2 * ticket and 2 * ticket + 1 */
#define SERVING  2

#define TICKET_START_ID 0 /* start id in both tickets */

/* Records of a serving process. */
#define NONE     0
#define RECORDED 1 /* not yet sent to the backend server */
#define SENT     2 /* sent to the backend server */
#define ANSWERED 3 /* response cached */
#define RAN      4 /* ran or may have run; no response cached */
#define REFUSED  5 /* reported "not run", so it never runs */

/* Attempts at the entry node. ENDED stands for the outcome "not run", which reported_not_run
 * records, and for "unknown". */
#define IDLE     0
#define PENDING  1
#define RESPONSE 2
#define ENDED    3

/* Contents of an ANSWER, as bits: the response to ticket 0 or 1, "not run", "unknown". */
#define RESPONSE_ANSWER(t) (1 << (t))
#define NOT_RUN_ANSWER     4
#define UNKNOWN_ANSWER     8

#define TICKET(a) ((a) / 2)
#define REC(t)    rec[id * TICKETS + (t)]

byte attempt[ATTEMPTS] = IDLE;
bool sent[ATTEMPTS] = false;     /* the CALL may still arrive */
byte answers[ATTEMPTS] = 0;      /* ANSWERs that may still arrive */
bool reported_not_run[TICKETS] = false;

byte start_id[SERVING];
byte next_start_id = SERVING;
byte restarts = 0;
byte rec[SERVING * TICKETS] = NONE;
byte waiting[SERVING] = 0;        /* attempts waiting for the end of a run, as bits */
byte low_water_mark[SERVING] = 0; /* a ticket with a lower serial counts as run */

byte requests[SERVING * TICKETS] = 0;  /* in transit to the backend server */
bool responses[SERVING * TICKETS] = 0; /* in transit to the process that sent the request */
byte sender[SERVING * TICKETS] = 0;    /* start id of the process that sent it */
byte ran[TICKETS] = 0;

#ifdef NO_START_ID_CHECK
#define IS_OWN_TICKET true
#else
#define IS_OWN_TICKET (start_id[id] == TICKET_START_ID)
#endif
#ifdef NO_LOW_WATER_MARK
#define IS_BELOW_MARK(t) false
#else
#define IS_BELOW_MARK(t) ((t) < low_water_mark[id])
#endif
#ifdef REFUSAL_NOT_RECORDED
#define REFUSAL_RECORD NONE
#else
#define REFUSAL_RECORD REFUSED
#endif

/* Sends an ANSWER for attempt TO. One for an attempt that is not pending is dropped. */
inline answer (to, content)
{
  if
  :: attempt[to] == PENDING -> answers[to] = answers[to] | (content)
  :: else
  fi
}

/* Ends attempt A with OUTCOME and removes its answers and waiting marks. */
inline end_attempt (a, outcome)
{
  attempt[a] = outcome;
  answers[a] = 0;
  waiting[0] = waiting[0] & (15 - (1 << (a)));
  waiting[1] = waiting[1] & (15 - (1 << (a)))
}

/* Answers every attempt with ticket T that is waiting at this node. */
inline answer_waiting (t, content)
{
  if
  :: (waiting[id] & (1 << (2 * t))) != 0 -> answer (2 * t, content)
  :: else
  fi;
  if
  :: (waiting[id] & (1 << (2 * t + 1))) != 0 -> answer (2 * t + 1, content)
  :: else
  fi;
  waiting[id] = waiting[id] & (15 - (3 << (2 * t)))
}

inline send_to_backend (t)
{
  assert (requests[id * TICKETS + t] < 3);
  requests[id * TICKETS + t]++;
  sender[id * TICKETS + t] = start_id[id]
}

#define LACKS_ANSWER(a, content) (attempt[a] == PENDING && (answers[a] & (content)) == 0)
#define IS_WAITING(a)            ((waiting[id] & (1 << (a))) != 0)

/* Whether the CALL of attempt A can arrive at this node with the record of its ticket in STATE. */
#define CAN_ARRIVE(a, state)                                                                   \
  (sent[a] && IS_OWN_TICKET && !IS_BELOW_MARK (TICKET (a)) && REC (TICKET (a)) == (state))

/* The CALL of attempt A arrives at this serving node. Steps without an effect are omitted. */
#define ARRIVAL(a)                                                                             \
  /* A ticket of another process, or one whose record was evicted. */                          \
  :: d_step { sent[a] && (!IS_OWN_TICKET || IS_BELOW_MARK (TICKET (a)))                        \
                && LACKS_ANSWER (a, UNKNOWN_ANSWER) ->                                         \
              answer (a, UNKNOWN_ANSWER) }                                                     \
  /* First use, refused by admission. */                                                       \
  :: d_step { CAN_ARRIVE (a, NONE)                                                             \
                && (REFUSAL_RECORD != NONE || LACKS_ANSWER (a, NOT_RUN_ANSWER)) ->             \
              REC (TICKET (a)) = REFUSAL_RECORD;                                               \
              answer (a, NOT_RUN_ANSWER) }                                                     \
  /* First use, started. */                                                                    \
  :: d_step { CAN_ARRIVE (a, NONE) && CAN_START (a) -> start_run (a) }                         \
  :: d_step { (CAN_ARRIVE (a, RECORDED) || CAN_ARRIVE (a, SENT)) && !IS_WAITING (a)            \
                && attempt[a] == PENDING ->                                                    \
              waiting[id] = waiting[id] | (1 << (a)) }                                         \
  :: d_step { CAN_ARRIVE (a, ANSWERED) && LACKS_ANSWER (a, RESPONSE_ANSWER (TICKET (a))) ->    \
              answer (a, RESPONSE_ANSWER (TICKET (a))) }                                       \
  :: d_step { CAN_ARRIVE (a, RAN) && LACKS_ANSWER (a, UNKNOWN_ANSWER) ->                       \
              answer (a, UNKNOWN_ANSWER) }                                                     \
  :: d_step { CAN_ARRIVE (a, REFUSED) && LACKS_ANSWER (a, NOT_RUN_ANSWER) ->                   \
              answer (a, NOT_RUN_ANSWER) }

inline add_waiting (a)
{
  if
  :: attempt[a] == PENDING -> waiting[id] = waiting[id] | (1 << (a))
  :: else
  fi
}

#ifdef NO_RECORD_BEFORE_RUN
/* The record is added only after the response has arrived. */
#define CAN_START(a) (requests[id * TICKETS + TICKET (a)] < 2)
inline start_run (a)
{
  add_waiting (a);
  send_to_backend (TICKET (a))
}
#else
#define CAN_START(a) true
inline start_run (a)
{
  add_waiting (a);
  REC (TICKET (a)) = RECORDED
}
#endif

/* The run of ticket T at this serving node. */
#define RUN(t)                                                                                 \
  :: d_step { REC (t) == RECORDED -> REC (t) = SENT; send_to_backend (t) }                     \
  /* Certainly not sent: connection refused, or deadline passed in the queue. */               \
  :: d_step { REC (t) == RECORDED ->                                                           \
              REC (t) = REFUSAL_RECORD; answer_waiting (t, NOT_RUN_ANSWER) }                   \
  :: d_step { responses[id * TICKETS + (t)] ->                                                 \
              responses[id * TICKETS + (t)] = false;                                           \
              if                                                                               \
              :: REC (t) == SENT || REC (t) == NONE ->                                         \
                 REC (t) = ANSWERED; answer_waiting (t, RESPONSE_ANSWER (t))                   \
              :: else                                                                          \
              fi }                                                                             \
  /* No complete response from the backend server before the deadline. */                      \
  :: d_step { REC (t) == SENT -> REC (t) = RAN; answer_waiting (t, ANSWER_AFTER_SENDING) }     \
  /* Eviction: first the response, then the record, in the order of serials. */                \
  :: d_step { REC (t) == ANSWERED -> REC (t) = RAN }                                           \
  :: d_step { low_water_mark[id] == (t) && REC (t) != RECORDED && REC (t) != SENT ->           \
              REC (t) = NONE; low_water_mark[id]++ }

#ifdef NOT_RUN_AFTER_SENDING
#define ANSWER_AFTER_SENDING NOT_RUN_ANSWER
#else
#define ANSWER_AFTER_SENDING UNKNOWN_ANSWER
#endif

proctype serving (byte id)
{
end:
  do
  ARRIVAL (0)
  ARRIVAL (1)
  ARRIVAL (2)
  ARRIVAL (3)
  RUN (0)
  RUN (1)
  /* Crash and restart: records, waiting calls and connections are lost; a request that was sent
   * may still reach the backend server. Node 1 has no records, so it does not crash. */
  :: d_step {
       id == 0 && restarts < RESTARTS ->
       restarts++;
       start_id[id] = next_start_id;
       next_start_id++;
       REC (0) = NONE;
       REC (1) = NONE;
       waiting[id] = 0;
       low_water_mark[id] = 0;
       responses[id * TICKETS] = false;
       responses[id * TICKETS + 1] = false
     }
  od
}

/* The backend server runs a request of ticket T from serving node N. */
#define BACKEND(n, t)                                                                          \
  :: d_step { requests[(n) * TICKETS + (t)] > 0 ->                                             \
              requests[(n) * TICKETS + (t)]--;                                                 \
              ran[t]++;                                                                        \
              assert (ran[t] <= 1);     /* G6: at most once */                                 \
              assert (!reported_not_run[t]); /* G5: "not run" remains true */                  \
              if                                                                               \
              :: sender[(n) * TICKETS + (t)] == start_id[n] ->                                 \
                 responses[(n) * TICKETS + (t)] = true                                         \
              :: else                                                                          \
              fi;                                                                              \
              sender[(n) * TICKETS + (t)] = 0 }

proctype backend ()
{
end:
  do
  BACKEND (0, 0)
  BACKEND (0, 1)
  BACKEND (1, 0)
  BACKEND (1, 1)
  od
}

inline report_not_run (a)
{
  end_attempt (a, ENDED);
  reported_not_run[TICKET (a)] = true;
  assert (ran[TICKET (a)] == 0) /* G5 */
}

/* An ANSWER for attempt B ends attempt A. */
#define ENTRY_ANSWER(a, b)                                                                     \
  :: d_step { attempt[a] == PENDING && (answers[b] & RESPONSE_ANSWER (0)) != 0 ->              \
              end_attempt (a, RESPONSE);                                                       \
              assert (TICKET (a) == 0) /* G4: its own response */ }                            \
  :: d_step { attempt[a] == PENDING && (answers[b] & RESPONSE_ANSWER (1)) != 0 ->              \
              end_attempt (a, RESPONSE);                                                       \
              assert (TICKET (a) == 1) }                                                       \
  :: d_step { attempt[a] == PENDING && (answers[b] & NOT_RUN_ANSWER) != 0 ->                   \
              report_not_run (a) }                                                             \
  :: d_step { attempt[a] == PENDING && (answers[b] & UNKNOWN_ANSWER) != 0 ->                   \
              end_attempt (a, ENDED) }

#ifdef NO_DEADLINE
/* The CALL and all its copies are lost. With a deadline this case is covered by a CALL that has
 * not arrived yet. */
#define DEADLINE(a) :: d_step { sent[a] -> sent[a] = false }
#else
#define DEADLINE(a) :: d_step { attempt[a] == PENDING -> end_attempt (a, ENDED) }
#endif

#ifdef RETRY_ELSEWHERE
/* Without an answer, the call is sent to the other serving node without its ticket. */
#define RETRY(a)                                                                               \
  :: d_step { attempt[a] == PENDING && sent[a] && requests[TICKETS + TICKET (a)] < 1           \
                && ran[TICKET (a)] < 2 ->                                                      \
              requests[TICKETS + TICKET (a)]++; sender[TICKETS + TICKET (a)] = start_id[1] }
#else
#define RETRY(a)
#endif

/* Steps of the entry node of attempt A. It may refuse the attempt because of a throttle or a
 * missing connection; it does not know whether another attempt with this ticket ran, so it reports
 * its own refusal as unknown. */
#define ENTRY_STEPS(a)                                                                         \
  DEADLINE (a)                                                                                 \
  RETRY (a)                                                                                    \
  ENTRY_ANSWER (a, a)

/* Attempts 0 and 3 use entry node 0, attempts 1 and 2 entry node 1. */
proctype entry (byte id)
{
end:
  do
  ENTRY_STEPS (0 + id)
  ENTRY_STEPS (3 - id)
#ifdef NO_ATTEMPT_ID
  ENTRY_ANSWER (0 + id, 3 - id)
  ENTRY_ANSWER (3 - id, 0 + id)
#endif
  od
}

/* The caller starts attempt A. */
#define BEGIN(a, condition)                                                                    \
  :: d_step { attempt[a] == IDLE && (condition) -> attempt[a] = PENDING; sent[a] = true }      \
  :: d_step { attempt[a] == IDLE && (condition) -> REFUSE_AT_ENTRY (a) }

#ifdef ENTRY_TELLS_NOT_RUN
#define REFUSE_AT_ENTRY(a) report_not_run (a)
#else
#define REFUSE_AT_ENTRY(a) attempt[a] = ENDED
#endif

proctype caller (byte ticket)
{
end:
  do
  BEGIN (2 * ticket, true)
  BEGIN (2 * ticket + 1, attempt[2 * ticket] != IDLE && attempt[2 * ticket] != RESPONSE)
  od
}

/* Every attempt ends with an outcome. */
proctype monitor ()
{
end:
  atomic {
    timeout ->
    assert (attempt[0] >= RESPONSE);
    assert (attempt[1] >= RESPONSE || attempt[0] == RESPONSE);
    assert (CALLERS < 2 || attempt[2] >= RESPONSE);
    assert (CALLERS < 2 || attempt[3] >= RESPONSE || attempt[2] == RESPONSE)
  }
}

init
{
  atomic {
    start_id[0] = 0;
    start_id[1] = 1;
    run serving (0);
    run serving (1);
    run backend ();
    run entry (0);
    run entry (1);
    run caller (0);
#if CALLERS > 1
    run caller (1);
#endif
    run monitor ()
  }
}
