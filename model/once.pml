/* Calls that run at most once (design page, section 8). README.md in this folder lists the
 * abstractions and the flags.
 *
 * Two callers each hold a ticket that the first process of serving node 0 issued: serial 0 and
 * serial 1. Each makes up to two attempts with its ticket, the second through the other entry
 * node, at any time after the first one, unless that one was answered. A CALL that was sent may
 * reach each serving node at any time, any number of times or never; so may an ANSWER reach the
 * entry node of its attempt. */

#ifndef RESTARTS
#define RESTARTS 2
#endif

#ifndef CALLERS
#define CALLERS 2
#endif

#define TICKETS  2
#define ATTEMPTS 4 /* attempt 2 * ticket and 2 * ticket + 1 */
#define SERVING  2

#define TICKET_START 0 /* start id in both tickets */

/* Records of a serving process. */
#define NONE     0
#define RECORDED 1 /* will be sent to the backend server */
#define SENT     2 /* sent to the backend server */
#define ANSWERED 3 /* response kept */
#define RAN      4 /* ran or may have run; no response kept */
#define REFUSED  5 /* told "not run", so it never runs */

/* Attempts at the entry node. ENDED stands for "not run", which told_not_run keeps, and for
 * "unknown". */
#define IDLE     0
#define PENDING  1
#define RESPONSE 2
#define ENDED    3

/* Contents of an ANSWER, as bits: the response of ticket 0 or 1, "not run", "unknown". */
#define OF_TICKET(t) (1 << (t))
#define SAYS_NOT_RUN 4
#define SAYS_UNKNOWN 8

#define TICKET(a) ((a) / 2)
#define REC(t)    rec[id * TICKETS + (t)]

byte attempt[ATTEMPTS] = IDLE;
bool sent[ATTEMPTS] = false;     /* the CALL may still arrive */
byte answers[ATTEMPTS] = 0;      /* ANSWERs that may still arrive */
bool told_not_run[TICKETS] = false;

byte start[SERVING];
byte next_start = SERVING;
byte restarts = 0;
byte rec[SERVING * TICKETS] = NONE;
byte waiting[SERVING] = 0;       /* attempts that wait for the end of a run, as bits */
byte low_water[SERVING] = 0;     /* serials below it count as run */

byte requests[SERVING * TICKETS] = 0;  /* on the way to the backend server */
bool responses[SERVING * TICKETS] = 0; /* on the way back to the process that sent it */
byte sender[SERVING * TICKETS] = 0;    /* start id of the process that sent the request */
byte ran[TICKETS] = 0;

#ifdef NO_START_ID_CHECK
#define IS_OWN true
#else
#define IS_OWN (start[id] == TICKET_START)
#endif
#ifdef NO_LOW_WATER_MARK
#define IS_BELOW(t) false
#else
#define IS_BELOW(t) ((t) < low_water[id])
#endif
#ifdef REFUSAL_NOT_RECORDED
#define REFUSAL_RECORD NONE
#else
#define REFUSAL_RECORD REFUSED
#endif

/* An answer to an attempt that has ended is dropped, so that only pending ones matter. */
inline answer (to, content)
{
  if
  :: attempt[to] == PENDING -> answers[to] = answers[to] | (content)
  :: else
  fi
}

/* Tells the caller the outcome of attempt A; nothing waits for it any more. */
inline end_attempt (a, outcome)
{
  attempt[a] = outcome;
  answers[a] = 0;
  waiting[0] = waiting[0] & (15 - (1 << (a)));
  waiting[1] = waiting[1] & (15 - (1 << (a)))
}

/* Answers every attempt with ticket T that waits at this node. */
inline answer_waiting (t, text)
{
  if
  :: (waiting[id] & (1 << (2 * t))) != 0 -> answer (2 * t, text)
  :: else
  fi;
  if
  :: (waiting[id] & (1 << (2 * t + 1))) != 0 -> answer (2 * t + 1, text)
  :: else
  fi;
  waiting[id] = waiting[id] & (15 - (3 << (2 * t)))
}

inline send_to_backend (t)
{
  assert (requests[id * TICKETS + t] < 3);
  requests[id * TICKETS + t]++;
  sender[id * TICKETS + t] = start[id]
}

#define LACKS(a, content) (attempt[a] == PENDING && (answers[a] & (content)) == 0)
#define IS_WAITING(a)     ((waiting[id] & (1 << (a))) != 0)
#define FINDS(a, state)   (sent[a] && IS_OWN && !IS_BELOW (TICKET (a)) && REC (TICKET (a)) == (state))

/* The CALL of attempt A arrives at this serving node. Steps that change nothing are left out. */
#define ARRIVAL(a)                                                                             \
  /* Not this process's ticket, or a serial whose record is gone. */                           \
  :: d_step { sent[a] && (!IS_OWN || IS_BELOW (TICKET (a))) && LACKS (a, SAYS_UNKNOWN) ->      \
              answer (a, SAYS_UNKNOWN) }                                                       \
  /* First use: admission refuses it. */                                                       \
  :: d_step { FINDS (a, NONE) && (REFUSAL_RECORD != NONE || LACKS (a, SAYS_NOT_RUN)) ->        \
              REC (TICKET (a)) = REFUSAL_RECORD;                                               \
              answer (a, SAYS_NOT_RUN) }                                                       \
  /* First use: it starts. */                                                                  \
  :: d_step { FINDS (a, NONE) && MAY_START (a) -> start_run (a) }                              \
  :: d_step { (FINDS (a, RECORDED) || FINDS (a, SENT)) && !IS_WAITING (a)                      \
                && attempt[a] == PENDING ->                                                    \
              waiting[id] = waiting[id] | (1 << (a)) }                                         \
  :: d_step { FINDS (a, ANSWERED) && LACKS (a, OF_TICKET (TICKET (a))) ->                      \
              answer (a, OF_TICKET (TICKET (a))) }                                             \
  :: d_step { FINDS (a, RAN) && LACKS (a, SAYS_UNKNOWN) -> answer (a, SAYS_UNKNOWN) }          \
  :: d_step { FINDS (a, REFUSED) && LACKS (a, SAYS_NOT_RUN) -> answer (a, SAYS_NOT_RUN) }

inline wait_for_end (a)
{
  if
  :: attempt[a] == PENDING -> waiting[id] = waiting[id] | (1 << (a))
  :: else
  fi
}

#ifdef NO_RECORD_BEFORE_RUN
/* The record is made only when the response has come. */
#define MAY_START(a) (requests[id * TICKETS + TICKET (a)] < 2)
inline start_run (a)
{
  wait_for_end (a);
  send_to_backend (TICKET (a))
}
#else
#define MAY_START(a) true
inline start_run (a)
{
  wait_for_end (a);
  REC (TICKET (a)) = RECORDED
}
#endif

/* The run of ticket T at this serving node. */
#define RUN(t)                                                                                 \
  :: d_step { REC (t) == RECORDED -> REC (t) = SENT; send_to_backend (t) }                     \
  /* Provably not sent, such as a refused connection or a deadline that passed in the queue. */ \
  :: d_step { REC (t) == RECORDED ->                                                           \
              REC (t) = REFUSAL_RECORD; answer_waiting (t, SAYS_NOT_RUN) }                     \
  :: d_step { responses[id * TICKETS + (t)] ->                                                 \
              responses[id * TICKETS + (t)] = false;                                           \
              if                                                                               \
              :: REC (t) == SENT || REC (t) == NONE ->                                         \
                 REC (t) = ANSWERED; answer_waiting (t, OF_TICKET (t))                         \
              :: else                                                                          \
              fi }                                                                             \
  /* No complete response from the backend server in time. */                                  \
  :: d_step { REC (t) == SENT -> REC (t) = RAN; answer_waiting (t, AFTER_SENDING) }            \
  /* Eviction: first the response, then the record, in the order of serials. */                \
  :: d_step { REC (t) == ANSWERED -> REC (t) = RAN }                                           \
  :: d_step { low_water[id] == (t) && REC (t) != RECORDED && REC (t) != SENT ->                \
              REC (t) = NONE; low_water[id]++ }

#ifdef NOT_RUN_AFTER_SENDING
#define AFTER_SENDING SAYS_NOT_RUN
#else
#define AFTER_SENDING SAYS_UNKNOWN
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
   * may still reach the backend server. Node 1 has nothing to lose. */
  :: d_step {
       id == 0 && restarts < RESTARTS ->
       restarts++;
       start[id] = next_start;
       next_start++;
       REC (0) = NONE;
       REC (1) = NONE;
       waiting[id] = 0;
       low_water[id] = 0;
       responses[id * TICKETS] = false;
       responses[id * TICKETS + 1] = false
     }
  od
}

/* Request of ticket T from serving node N. */
#define BACKEND(n, t)                                                                          \
  :: d_step { requests[(n) * TICKETS + (t)] > 0 ->                                             \
              requests[(n) * TICKETS + (t)]--;                                                 \
              ran[t]++;                                                                        \
              assert (ran[t] <= 1);     /* G6: at most once */                                 \
              assert (!told_not_run[t]); /* G5: "not run" stays true */                        \
              if                                                                               \
              :: sender[(n) * TICKETS + (t)] == start[n] ->                                    \
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

inline tell_not_run (a)
{
  end_attempt (a, ENDED);
  told_not_run[TICKET (a)] = true;
  assert (ran[TICKET (a)] == 0) /* G5 */
}

/* An ANSWER addressed to attempt B ends attempt A. */
#define ENTRY_ANSWER(a, b)                                                                     \
  :: d_step { attempt[a] == PENDING && (answers[b] & OF_TICKET (0)) != 0 ->                    \
              end_attempt (a, RESPONSE);                                                       \
              assert (TICKET (a) == 0) /* G4: its own response */ }                            \
  :: d_step { attempt[a] == PENDING && (answers[b] & OF_TICKET (1)) != 0 ->                    \
              end_attempt (a, RESPONSE);                                                       \
              assert (TICKET (a) == 1) }                                                       \
  :: d_step { attempt[a] == PENDING && (answers[b] & SAYS_NOT_RUN) != 0 -> tell_not_run (a) }  \
  :: d_step { attempt[a] == PENDING && (answers[b] & SAYS_UNKNOWN) != 0 ->                     \
              end_attempt (a, ENDED) }

#ifdef NO_DEADLINE
/* The CALL is lost and no copy is left. With a deadline this adds nothing to a CALL that has not
 * arrived yet. */
#define DEADLINE(a) :: d_step { sent[a] -> sent[a] = false }
#else
#define DEADLINE(a) :: d_step { attempt[a] == PENDING -> end_attempt (a, ENDED) }
#endif

#ifdef RETRY_ELSEWHERE
/* No answer yet: the call goes to the other serving node as one without a ticket. */
#define RETRY(a)                                                                               \
  :: d_step { attempt[a] == PENDING && sent[a] && requests[TICKETS + TICKET (a)] < 1           \
                && ran[TICKET (a)] < 2 ->                                                      \
              requests[TICKETS + TICKET (a)]++; sender[TICKETS + TICKET (a)] = start[1] }
#else
#define RETRY(a)
#endif

/* The entry node of attempt A forwards it, or refuses it because of a throttle or a missing
 * connection. It cannot know whether another attempt with this ticket ran, so that its own
 * refusal is told as unknown. */
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

/* The caller begins attempt A. */
#define BEGIN(a, condition)                                                                    \
  :: d_step { attempt[a] == IDLE && (condition) -> attempt[a] = PENDING; sent[a] = true }      \
  :: d_step { attempt[a] == IDLE && (condition) -> REFUSE_AT_ENTRY (a) }

#ifdef ENTRY_TELLS_NOT_RUN
#define REFUSE_AT_ENTRY(a) tell_not_run (a)
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
    start[0] = 0;
    start[1] = 1;
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
