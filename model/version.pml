/* Version order, dissemination, join and application of configuration documents (design page,
 * sections 5 and 6). README.md in this folder lists the abstractions and the flags.
 *
 * Documents are the numbers 1 to 6 in version order; 0 stands for "no document".
 *
 *   document  number  revision  digest  valid
 *      1        1        1        0      yes   in force at all nodes at the start
 *      2        2        2        1      yes
 *      3        2        2        2      yes   written after the source was restored
 *      4        2        3        0      yes   later write under the same number
 *      5        3        4        0      no
 *      6        4        5        0      yes
 *
 * They are published in any order. Until faults stop, each published document may reach each node
 * at any time, any number of times or never. This covers a stale source and messages that are
 * lost, duplicated, delayed and reordered. */

#ifndef NODES
#define NODES 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef PUBLICATIONS
#define PUBLICATIONS 3
#endif

#define DOCUMENTS       6
#define CORRUPT_CONTENT 7 /* content of a frame that was decoded with the wrong base */

#define IS_VALID(d) ((d) != 5)
#define NUMBER(d)   ((d) < 2 -> (d) : ((d) < 5 -> 2 : (d) - 2))

/* HIGHER (a, b): whether the nodes order version A after B. */
#if defined(NO_TIE_BREAK)
#define HIGHER(a, b) (NUMBER (a) > NUMBER (b))
#elif defined(NO_REVISION_ORDER)
/* Number, then digest: 1 < 4 < 2 < 3 < 5 < 6. */
#define DIGEST_ORDER(d) ((d) == 4 -> 2 : ((d) == 2 || (d) == 3 -> (d) + 1 : (d)))
#define HIGHER(a, b)    (DIGEST_ORDER (a) > DIGEST_ORDER (b))
#elif defined(NO_DIGEST_ORDER)
#define HIGHER(a, b) ((a) > (b) && !((a) == 3 && (b) == 2))
#else
#define HIGHER(a, b) ((a) > (b))
#endif

/* Guards of the step that applies a document. */
#ifdef NO_COMPARISON
#define PASSES_COMPARISON(d) ((d) != ver[id])
#else
#define PASSES_COMPARISON(d) HIGHER (d, ver[id])
#endif
#ifdef NO_VALIDITY_CHECK
#define PASSES_CHECK(d) true
#else
#define PASSES_CHECK(d) IS_VALID (d)
#endif
#ifdef NO_DIGEST_CHECK
#define PASSES_DIGEST(corrupt) true
#else
#define PASSES_DIGEST(corrupt) (!(corrupt))
#endif
#ifdef REFUSAL_RAISES_FLOOR
#define PASSES_MIN_NUMBER(d) (NUMBER (d) >= min_number[id])
#else
#define PASSES_MIN_NUMBER(d) true
#endif
#define ACCEPTS(d) (PASSES_COMPARISON (d) && PASSES_CHECK (d) && PASSES_MIN_NUMBER (d))

/* Guards of readiness. */
#ifdef NO_JOIN_WAIT
#define HAS_ALL_ANSWERS true
#else
#define HAS_ALL_ANSWERS (pending_answers[id] == 0 && has_answer[id])
#endif
#ifdef NO_JOIN_FETCH
#define HAS_HIGHEST_ANSWER true
#else
#define HAS_HIGHEST_ANSWER (!HIGHER (highest_answer[id], ver[id]))
#endif

#define BIT(k)  (1 << (k))
#define SOURCE  NODES /* bit of the source in the masks of a join */
#define ALL     (BIT (NODES + 1) - 1)
#define PEERS   (ALL - BIT (SOURCE))

/* The source: the documents published so far, as bits, and the register. */
byte published = BIT (1);
byte source = 1;

/* Faults and publications have stopped. */
bool faults_stopped = false;
byte restarts = 0;
byte publications = 0;

/* Nodes. Both halves of a snapshot equal its version unless a guard is missing. */
byte ver[NODES] = 1;
byte first_half[NODES] = 1;
byte second_half[NODES] = 1;
bool ready[NODES] = true;
#ifdef REFUSAL_RAISES_FLOOR
byte min_number[NODES] = 0;
#endif

/* Join: the answers that will arrive within 3 s, as the environment chose, and have not arrived
 * yet; whether any has arrived; the highest version in the answers of peers; whether the answer of
 * the source is stale; whether a current answer is missing, so that the join is repeated. */
byte pending_answers[NODES] = 0;
bool has_answer[NODES] = false;
byte highest_answer[NODES] = 0;
bool stale[NODES] = false;
bool unanswered[NODES] = false;

/* For the properties only: the highest version of earlier processes of the node, and the peers and
 * the source, as bits, that answer this join and have had that version since its start. */
byte previous_ver[NODES] = 0;
byte holders[NODES] = 0;

#define IS_PUBLISHED(d) ((published & BIT (d)) != 0)

inline put_in_force (doc, content)
{
  assert (doc > ver[id]);  /* G1: versions never decrease */
  assert (IS_VALID (doc)); /* no invalid document in force */
  ver[id] = doc;
  first_half[id] = content;
#ifndef SWAP_IN_TWO_STEPS
  second_half[id] = content
#endif
}

/* Applies DOC if it passes every guard. */
inline apply_if_accepted (doc)
{
  if
  :: ACCEPTS (doc) -> put_in_force (doc, doc)
  :: else
  fi
}

/* Asks every peer and the source; the environment chooses which answers arrive in time. */
inline start_join (n)
{
  pending_answers[id] = 0;
  has_answer[id] = false;
  highest_answer[id] = 0;
  holders[id] = 0;
  stale[id] = false;
  unanswered[id] = false;
  n = 0;
  do
  :: n < NODES ->
     if
     :: n != id ->
        pending_answers[id] = pending_answers[id] | BIT (n);
        if
        :: ver[n] >= previous_ver[id] -> holders[id] = holders[id] | BIT (n)
        :: else
        fi
     :: unanswered[id] = true
     fi;
     n++
  :: else -> break
  od;
  if
  :: pending_answers[id] = pending_answers[id] | BIT (SOURCE);
     if
     :: IS_VALID (source) && source >= previous_ver[id] -> holders[id] = holders[id] | BIT (SOURCE)
     :: else
     fi
  :: pending_answers[id] = pending_answers[id] | BIT (SOURCE);
     stale[id] = true;
     unanswered[id] = true
  :: unanswered[id] = true
  fi;
  n = 0
}

/* Starts a new process at this node, which loses all state. */
inline restart (n)
{
  restarts++;
  previous_ver[id] = (ver[id] > previous_ver[id] -> ver[id] : previous_ver[id]);
  ver[id] = 0;
  first_half[id] = 0;
  second_half[id] = 0;
  ready[id] = false;
#ifdef REFUSAL_RAISES_FLOOR
  min_number[id] = 0;
#endif
  for (n : 0 .. NODES - 1) {
    holders[n] = holders[n] & (ALL - BIT (id))
  };
  start_join (n)
}

inline become_ready ()
{
  /* Not older than before if a holder of that version answered this join and kept it. */
  assert (holders[id] == 0 || ver[id] >= previous_ver[id]);
  ready[id] = true;
  pending_answers[id] = 0;
  has_answer[id] = false;
  highest_answer[id] = 0;
  stale[id] = false;
  unanswered[id] = false;
  holders[id] = 0;
  previous_ver[id] = (ver[id] >= previous_ver[id] -> 0 : previous_ver[id])
}

/* Whether any node has version D or a higher one. */
#if NODES == 3
#define IS_PRESENT(d) (ver[0] >= (d) || ver[1] >= (d) || ver[2] >= (d))
#else
#define IS_PRESENT(d) (ver[0] >= (d) || ver[1] >= (d) || ver[2] >= (d) || ver[3] >= (d))
#endif

/* A copy of published document DOC arrives, from a stale source or in a late or repeated
 * DOCUMENT, intact or decoded with the wrong base. */
#define ARRIVAL(doc)                                                                           \
  :: d_step { !faults_stopped && IS_PUBLISHED (doc) && ACCEPTS (doc) ->                        \
              put_in_force (doc, doc) }                                                        \
  :: d_step { !faults_stopped && IS_PUBLISHED (doc) && ACCEPTS (doc)                           \
                && PASSES_DIGEST (true) ->                                                     \
              put_in_force (doc, CORRUPT_CONTENT) }

/* PEER announces a higher version in a SUMMARY; FETCH and DOCUMENT follow. */
#define EXCHANGE(peer)                                                                         \
  :: d_step { HIGHER (ver[peer], ver[id]) && ACCEPTS (ver[peer]) ->                            \
              put_in_force (ver[peer], ver[peer]) }

/* The answer of PEER to this node's join. */
#define JOIN_ANSWER(peer)                                                                      \
  :: d_step { !ready[id] && (pending_answers[id] & BIT (peer)) != 0 ->                         \
              pending_answers[id] = pending_answers[id] & (ALL - BIT (peer));                  \
              has_answer[id] = true;                                                           \
              if                                                                               \
              :: HIGHER (ver[peer], highest_answer[id]) -> highest_answer[id] = ver[peer]      \
              :: else                                                                          \
              fi }

/* The answer of the source to this node's join, with a stale value DOC. */
#define JOIN_STALE_ANSWER(doc)                                                                 \
  :: d_step { !ready[id] && (pending_answers[id] & BIT (SOURCE)) != 0 && stale[id]             \
                && IS_PUBLISHED (doc) ->                                                       \
              pending_answers[id] = pending_answers[id] & PEERS;                               \
              has_answer[id] = true;                                                           \
              apply_if_accepted (doc) }

proctype node (byte id)
{
  byte n = 0;

end:
  do
  ARRIVAL (1)
  ARRIVAL (2)
  ARRIVAL (3)
  ARRIVAL (4)
  ARRIVAL (5)
  ARRIVAL (6)
#ifdef REFUSAL_RAISES_FLOOR
  :: d_step {
       !faults_stopped && IS_PUBLISHED (5) && min_number[id] == 0 -> min_number[id] = NUMBER (5)
     }
#endif

  /* A current read of the source by a reader. */
  :: d_step { ACCEPTS (source) -> put_in_force (source, source) }

  EXCHANGE ((id + 1) % NODES)
  EXCHANGE ((id + 2) % NODES)
#if NODES > 3
  EXCHANGE ((id + 3) % NODES)
#endif

#ifdef SWAP_IN_TWO_STEPS
  :: d_step { second_half[id] != first_half[id] -> second_half[id] = first_half[id] }
#endif

  JOIN_ANSWER ((id + 1) % NODES)
  JOIN_ANSWER ((id + 2) % NODES)
#if NODES > 3
  JOIN_ANSWER ((id + 3) % NODES)
#endif
  JOIN_STALE_ANSWER (1)
  JOIN_STALE_ANSWER (2)
  JOIN_STALE_ANSWER (3)
  JOIN_STALE_ANSWER (4)
  JOIN_STALE_ANSWER (5)
  JOIN_STALE_ANSWER (6)
  :: d_step {
       !ready[id] && (pending_answers[id] & BIT (SOURCE)) != 0 && !stale[id] ->
       pending_answers[id] = pending_answers[id] & PEERS;
       has_answer[id] = true;
       apply_if_accepted (source)
     }

  /* No node has the highest version of the answers any more, so the node that announced it has
   * restarted: repeat the join. */
  :: atomic {
       !ready[id] && highest_answer[id] != 0 && !IS_PRESENT (highest_answer[id]) -> start_join (n)
     }

  /* Some answers are missing. Faults have stopped, so that all arrive when the join is
   * repeated. */
  :: d_step {
       faults_stopped && !ready[id] && unanswered[id] ->
       pending_answers[id] = ALL - BIT (id);
       has_answer[id] = false;
       highest_answer[id] = 0;
       stale[id] = false;
       unanswered[id] = false
     }

  :: d_step {
       !ready[id] && ver[id] != 0 && HAS_ALL_ANSWERS && HAS_HIGHEST_ANSWER -> become_ready ()
     }

  /* Nodes are numbered in the order of their first restart. All start in the same state, so no
   * case is lost. */
  :: atomic { !faults_stopped && restarts < RESTARTS && id <= restarts -> restart (n) }
  od
}

/* Publications in any order, and the end of all faults. */
inline publish (doc)
{
  publications++;
  published = published | BIT (doc);
  source = doc;
  for (k : 0 .. NODES - 1) {
    if
    :: !IS_VALID (doc) || doc < previous_ver[k] -> holders[k] = holders[k] & PEERS
    :: else
    fi
  };
  k = 0
}

#define PUBLICATION(doc)                                                                       \
  :: d_step { !faults_stopped && publications < PUBLICATIONS && !IS_PUBLISHED (doc) ->         \
              publish (doc) }

proctype environment ()
{
  byte k = 0;

end:
  do
  PUBLICATION (2)
  PUBLICATION (3)
  PUBLICATION (4)
  PUBLICATION (5)
  PUBLICATION (6)
  :: d_step { !faults_stopped -> faults_stopped = true }
  od
}

#define IS_CONSISTENT(k) (first_half[k] == ver[k] && second_half[k] == ver[k])

proctype monitor ()
{
  byte k;

end:
  do
  /* G3: a call sees one document, the one that its version names. */
  :: atomic { !IS_CONSISTENT (0) -> assert (IS_CONSISTENT (0)) }
  :: atomic { !IS_CONSISTENT (1) -> assert (IS_CONSISTENT (1)) }
  :: atomic { !IS_CONSISTENT (2) -> assert (IS_CONSISTENT (2)) }
#if NODES > 3
  :: atomic { !IS_CONSISTENT (3) -> assert (IS_CONSISTENT (3)) }
#endif
  /* G9: when no step is possible any more, all nodes are ready with the highest valid version of
   * the nodes and the source. */
  :: atomic {
       timeout ->
       assert (faults_stopped);
       for (k : 0 .. NODES - 1) {
         assert (ver[k] == ver[0]);
         assert (ready[k] || ver[k] == 0);
         assert (!IS_VALID (source) || ver[k] >= source)
       };
       break
     }
  od
}

init
{
  byte k;

  atomic {
    for (k : 0 .. NODES - 1) {
      run node (k)
    };
    run environment ();
    run monitor ()
  }
}
