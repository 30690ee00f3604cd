/* Version order, dissemination, join and application of configuration documents (design page,
 * sections 5 and 6). README.md in this folder lists the abstractions and the flags.
 *
 * Documents are the numbers 1 to 6 in version order; 0 stands for "no document".
 *
 *   document  number  revision  digest  valid
 *      1        1        1        0      yes   in force everywhere at the start
 *      2        2        2        1      yes
 *      3        2        2        2      yes   written after the source was restored
 *      4        2        3        0      yes   later write under the same number
 *      5        3        4        0      no
 *      6        4        5        0      yes
 *
 * They are published in any order. Until faults stop, each document that was published may reach
 * each node at any time, any number of times or never: this covers a stale source and messages
 * that are lost, duplicated, delayed and reordered. */

#ifndef NODES
#define NODES 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef PUBLICATIONS
#define PUBLICATIONS 3
#endif

#define DOCUMENTS 6
#define GARBAGE   7 /* content of a frame that was decoded with the wrong base */

#define IS_VALID(d) ((d) != 5)
#define NUMBER(d)   ((d) < 2 -> (d) : ((d) < 5 -> 2 : (d) - 2))

/* HIGHER (a, b): order of versions as the nodes compute it. */
#if defined(NO_TIE_BREAK)
#define HIGHER(a, b) (NUMBER (a) > NUMBER (b))
#elif defined(NO_REVISION_ORDER)
/* Number, then digest: 1 < 4 < 2 < 3 < 5 < 6. */
#define PLACE(d)     ((d) == 4 -> 2 : ((d) == 2 || (d) == 3 -> (d) + 1 : (d)))
#define HIGHER(a, b) (PLACE (a) > PLACE (b))
#elif defined(NO_DIGEST_ORDER)
#define HIGHER(a, b) ((a) > (b) && !((a) == 3 && (b) == 2))
#else
#define HIGHER(a, b) ((a) > (b))
#endif

/* Guards of the step that applies a document. */
#ifdef NO_COMPARISON
#define MAY_REPLACE(d) ((d) != ver[id])
#else
#define MAY_REPLACE(d) HIGHER (d, ver[id])
#endif
#ifdef NO_VALIDITY_CHECK
#define PASSES_CHECK(d) true
#else
#define PASSES_CHECK(d) IS_VALID (d)
#endif
#ifdef NO_DIGEST_CHECK
#define PASSES_DIGEST(damaged) true
#else
#define PASSES_DIGEST(damaged) (!(damaged))
#endif
#ifdef REFUSAL_RAISES_FLOOR
#define PASSES_FLOOR(d) (NUMBER (d) >= floor[id])
#else
#define PASSES_FLOOR(d) true
#endif
#define ACCEPTS(d) (MAY_REPLACE (d) && PASSES_CHECK (d) && PASSES_FLOOR (d))

/* Guards of readiness. */
#ifdef NO_JOIN_WAIT
#define JOIN_IS_OVER true
#else
#define JOIN_IS_OVER (answering[id] == 0 && answered[id])
#endif
#ifdef NO_JOIN_FETCH
#define HAS_HIGHEST true
#else
#define HAS_HIGHEST (!HIGHER (heard[id], ver[id]))
#endif

#define BIT(k)  (1 << (k))
#define SOURCE  NODES /* bit of the source in the masks of a join */
#define ALL     (BIT (NODES + 1) - 1)
#define PEERS   (ALL - BIT (SOURCE))

/* The source: documents published so far and the register. */
byte published = BIT (1);
byte source = 1;

/* Faults and publications have stopped. */
bool calm = false;
byte restarts = 0;
byte publications = 0;

/* Nodes. The two halves of a snapshot equal the version unless a guard is missing. */
byte ver[NODES] = 1;
byte low[NODES] = 1;
byte high[NODES] = 1;
bool ready[NODES] = true;
#ifdef REFUSAL_RAISES_FLOOR
byte floor[NODES] = 0;
#endif

/* Join: whose answers, chosen by the environment, will arrive within 3 s and have not arrived
 * yet; whether any has; the highest version in the answers; whether the source's answer is
 * stale; whether to ask again. */
byte answering[NODES] = 0;
bool answered[NODES] = false;
byte heard[NODES] = 0;
bool stale[NODES] = false;
bool unheard[NODES] = false;

/* For the properties only: the highest version held by earlier processes of the node, and those
 * that hold it, answer this join and have not lost it since they were asked. */
byte best[NODES] = 0;
byte holders[NODES] = 0;

#define IS_PUBLISHED(d) ((published & BIT (d)) != 0)

inline put_in_force (doc, text)
{
  assert (doc > ver[id]);  /* G1: never back in version order */
  assert (IS_VALID (doc)); /* acceptance: no invalid document in force */
  ver[id] = doc;
  low[id] = text;
#ifndef SWAP_IN_TWO_STEPS
  high[id] = text
#endif
}

/* Applies D when every guard lets it pass. */
inline consider (doc)
{
  if
  :: ACCEPTS (doc) -> put_in_force (doc, doc)
  :: else
  fi
}

/* Asks every peer and the source; the environment chooses whose answers arrive in time. */
inline ask (n)
{
  answering[id] = 0;
  answered[id] = false;
  heard[id] = 0;
  holders[id] = 0;
  stale[id] = false;
  unheard[id] = false;
  n = 0;
  do
  :: n < NODES ->
     if
     :: n != id ->
        answering[id] = answering[id] | BIT (n);
        if
        :: ver[n] >= best[id] -> holders[id] = holders[id] | BIT (n)
        :: else
        fi
     :: unheard[id] = true
     fi;
     n++
  :: else -> break
  od;
  if
  :: answering[id] = answering[id] | BIT (SOURCE);
     if
     :: IS_VALID (source) && source >= best[id] -> holders[id] = holders[id] | BIT (SOURCE)
     :: else
     fi
  :: answering[id] = answering[id] | BIT (SOURCE);
     stale[id] = true;
     unheard[id] = true
  :: unheard[id] = true
  fi;
  n = 0
}

/* Starts a new process at this node: everything is lost. */
inline restart (n)
{
  restarts++;
  best[id] = (ver[id] > best[id] -> ver[id] : best[id]);
  ver[id] = 0;
  low[id] = 0;
  high[id] = 0;
  ready[id] = false;
#ifdef REFUSAL_RAISES_FLOOR
  floor[id] = 0;
#endif
  for (n : 0 .. NODES - 1) {
    holders[n] = holders[n] & (ALL - BIT (id))
  };
  ask (n)
}

inline become_ready ()
{
  /* Not older than before when one that answers this join held that version throughout. */
  assert (holders[id] == 0 || ver[id] >= best[id]);
  ready[id] = true;
  answering[id] = 0;
  answered[id] = false;
  heard[id] = 0;
  stale[id] = false;
  unheard[id] = false;
  holders[id] = 0;
  best[id] = (ver[id] >= best[id] -> 0 : best[id])
}

/* Whether any node still holds at least version D. */
#if NODES == 3
#define IS_HELD(d) (ver[0] >= (d) || ver[1] >= (d) || ver[2] >= (d))
#else
#define IS_HELD(d) (ver[0] >= (d) || ver[1] >= (d) || ver[2] >= (d) || ver[3] >= (d))
#endif

/* A copy of published document DOC arrives: from a stale source or as a late or repeated
 * DOCUMENT, intact or decoded with the wrong base. */
#define ARRIVAL(doc)                                                                           \
  :: d_step { !calm && IS_PUBLISHED (doc) && ACCEPTS (doc) -> put_in_force (doc, doc) }        \
  :: d_step { !calm && IS_PUBLISHED (doc) && ACCEPTS (doc) && PASSES_DIGEST (true) ->          \
              put_in_force (doc, GARBAGE) }

/* A summary of PEER with a higher version, FETCH and DOCUMENT. */
#define EXCHANGE(peer)                                                                         \
  :: d_step { HIGHER (ver[peer], ver[id]) && ACCEPTS (ver[peer]) ->                            \
              put_in_force (ver[peer], ver[peer]) }

/* The answer of PEER to this node's join. */
#define JOIN_ANSWER(peer)                                                                      \
  :: d_step { !ready[id] && (answering[id] & BIT (peer)) != 0 ->                               \
              answering[id] = answering[id] & (ALL - BIT (peer));                              \
              answered[id] = true;                                                             \
              if                                                                               \
              :: HIGHER (ver[peer], heard[id]) -> heard[id] = ver[peer]                        \
              :: else                                                                          \
              fi }

/* The answer of the source to this node's join, with a stale value DOC. */
#define JOIN_STALE_ANSWER(doc)                                                                 \
  :: d_step { !ready[id] && (answering[id] & BIT (SOURCE)) != 0 && stale[id]                   \
                && IS_PUBLISHED (doc) ->                                                       \
              answering[id] = answering[id] & PEERS;                                           \
              answered[id] = true;                                                             \
              consider (doc) }

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
  :: d_step { !calm && IS_PUBLISHED (5) && floor[id] == 0 -> floor[id] = NUMBER (5) }
#endif

  /* A current read of the source by a reader. */
  :: d_step { ACCEPTS (source) -> put_in_force (source, source) }

  EXCHANGE ((id + 1) % NODES)
  EXCHANGE ((id + 2) % NODES)
#if NODES > 3
  EXCHANGE ((id + 3) % NODES)
#endif

#ifdef SWAP_IN_TWO_STEPS
  :: d_step { high[id] != low[id] -> high[id] = low[id] }
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
       !ready[id] && (answering[id] & BIT (SOURCE)) != 0 && !stale[id] ->
       answering[id] = answering[id] & PEERS;
       answered[id] = true;
       consider (source)
     }

  /* No node holds the highest version heard any more, so its announcer has restarted: ask
   * again. */
  :: atomic { !ready[id] && heard[id] != 0 && !IS_HELD (heard[id]) -> ask (n) }

  /* Some did not answer; once faults have stopped each does when asked again. */
  :: d_step {
       calm && !ready[id] && unheard[id] ->
       answering[id] = ALL - BIT (id);
       answered[id] = false;
       heard[id] = 0;
       stale[id] = false;
       unheard[id] = false
     }

  :: d_step { !ready[id] && ver[id] != 0 && JOIN_IS_OVER && HAS_HIGHEST -> become_ready () }

  /* Nodes are named in the order of their first restart; this loses no case, because all start
   * alike. */
  :: atomic { !calm && restarts < RESTARTS && id <= restarts -> restart (n) }
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
    :: !IS_VALID (doc) || doc < best[k] -> holders[k] = holders[k] & PEERS
    :: else
    fi
  };
  k = 0
}

#define PUBLICATION(doc)                                                                       \
  :: d_step { !calm && publications < PUBLICATIONS && !IS_PUBLISHED (doc) -> publish (doc) }

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
  :: d_step { !calm -> calm = true }
  od
}

#define IS_WHOLE(k) (low[k] == ver[k] && high[k] == ver[k])

proctype monitor ()
{
  byte k;

end:
  do
  /* G3: what a call sees is one document, and the one that its version names. */
  :: atomic { !IS_WHOLE (0) -> assert (IS_WHOLE (0)) }
  :: atomic { !IS_WHOLE (1) -> assert (IS_WHOLE (1)) }
  :: atomic { !IS_WHOLE (2) -> assert (IS_WHOLE (2)) }
#if NODES > 3
  :: atomic { !IS_WHOLE (3) -> assert (IS_WHOLE (3)) }
#endif
  /* G9: when nothing can happen any more, every node is ready with the highest valid version
   * that any of them or the source holds. */
  :: atomic {
       timeout ->
       assert (calm);
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
