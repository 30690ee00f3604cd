/* Reports of crashes between the nodes beside the instances of a service (decision 0013), for one
 * request. README.md in this folder lists the abstractions and the flags.
 *
 * The request runs in CRASHES crashes and completes RUNS times, at any node and in any order. Node 0
 * starts again up to RESTARTS times and has forgotten everything then; nodes are named so that it is
 * the one. At most three reports are on the way at a time, each for any time; one arrives twice. */

#ifndef CRASHES
#define CRASHES 2
#endif
#ifndef RUNS
#define RUNS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define NODES 3

/* Crashes from which the request is quarantined; 3 in the product. */
#define LIMIT 2

#define PAIR(from, to) ((from) * NODES + (to))

/* Crashes that have happened, completed runs, restarts. */
byte happened = 0;
byte runs = 0;
byte restarts = 0;

/* Of each node: the crashes that it knows, and those that a completed run has cleared; bits. */
byte known[NODES] = 0;
byte cleared[NODES] = 0;
#ifdef NO_IDS
byte counted[NODES] = 0; /* reports of crashes */
#define RESET_COUNT(node) counted[node] = 0
#define RAISE_COUNT(node) if :: counted[node] < LIMIT -> counted[node]++ :: else fi
#else
#define RESET_COUNT(node) skip
#define RAISE_COUNT(node) skip
#endif

bool repeated = false; /* a report has been delivered twice */

/* Of each pair: the sender has news, and a report is on the way. */
bool has_news[9] = false;
bool on_way[9] = false;
byte sent_known[9];
byte sent_cleared[9];

#define COUNT(bits) (((bits) & 1) + (((bits) >> 1) & 1) + (((bits) >> 2) & 1) + (((bits) >> 3) & 1))

#ifdef NO_IDS
#define IS_QUARANTINED(node) (counted[node] >= LIMIT)
#else
#define IS_QUARANTINED(node) (COUNT (known[node] & ~cleared[node]) >= LIMIT)
#endif

inline tell_others (node)
{
  i = 0;
  do
  :: i < NODES -> has_news[PAIR (node, i)] = (i != node); i++
  :: else -> break
  od
}

inline crash (node)
{
  known[node] = known[node] | (1 << happened);
  RAISE_COUNT (node);
  happened++;
  tell_others (node)
}

inline complete (node)
{
  runs++;
#ifdef REMOVE_CLEARED
  known[node] = 0;
#else
  cleared[node] = known[node];
#endif
  RESET_COUNT (node);
  tell_others (node)
}

inline restart (node)
{
  restarts++;
  known[node] = 0;
  cleared[node] = 0;
  RESET_COUNT (node);
  j = 0;
  do
  :: j < NODES ->
       has_news[PAIR (node, j)] = false;
#ifndef NO_HELLO
       has_news[PAIR (j, node)] = (j != node);
#endif
       j++
  :: else -> break
  od
}

inline send (from, to)
{
  has_news[PAIR (from, to)] = false;
  on_way[PAIR (from, to)] = true;
  sent_known[PAIR (from, to)] = known[from];
  sent_cleared[PAIR (from, to)] = cleared[from]
}

/* A node passes on what is news to it: the sender may end before its other reports get through. */
inline deliver (from, to)
{
  j = known[to];
  other_cleared = cleared[to];
#ifdef REMOVE_CLEARED
  if
  :: sent_known[PAIR (from, to)] == 0 -> known[to] = 0
  :: else -> known[to] = known[to] | sent_known[PAIR (from, to)]
  fi;
#else
  known[to] = known[to] | sent_known[PAIR (from, to)];
  cleared[to] = cleared[to] | sent_cleared[PAIR (from, to)];
#endif
  RAISE_COUNT (to);
#ifndef NO_FORWARD
  if
  :: known[to] != j || cleared[to] != other_cleared -> tell_others (to)
  :: else
  fi
#endif
}

#define ON_WAY (on_way[1] + on_way[2] + on_way[3] + on_way[5] + on_way[6] + on_way[7])

#define AT_REST                                                                                    \
  (!has_news[1] && !has_news[2] && !has_news[3] && !has_news[5] && !has_news[6] && !has_news[7]     \
   && !on_way[1] && !on_way[2] && !on_way[3] && !on_way[5] && !on_way[6] && !on_way[7])

init
{
  byte i;
  byte j;
  byte node;
  byte other;
  byte other_cleared;

  do
  :: atomic {
       /* Any node, and another one. */
       if :: node = 0 :: node = 1 :: node = 2 fi;
       if :: other = (node + 1) % NODES :: other = (node + 2) % NODES fi;
       if
       :: happened < CRASHES && !IS_QUARANTINED (node) -> crash (node)
       :: runs < RUNS && known[node] != 0 && !IS_QUARANTINED (node) -> complete (node)
       :: restarts < RESTARTS && node == 0 -> restart (node)
       :: has_news[PAIR (node, other)] && !on_way[PAIR (node, other)] && ON_WAY < 3 ->
            send (node, other)
       :: on_way[PAIR (node, other)] ->
            deliver (node, other);
            if
            :: on_way[PAIR (node, other)] = false;
               sent_known[PAIR (node, other)] = 0;
               sent_cleared[PAIR (node, other)] = 0
            :: !repeated -> repeated = true
            fi
       :: else
       fi;
       assert (!IS_QUARANTINED (node) || happened >= LIMIT);
       assert (!IS_QUARANTINED (other) || happened >= LIMIT);
       i = 0; j = 0; other = 0; other_cleared = 0
     }
  :: atomic { AT_REST ->
       assert (known[0] == known[1] && known[1] == known[2]);
       assert (cleared[0] == cleared[1] && cleared[1] == cleared[2])
     }
  od
}
