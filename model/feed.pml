/* Positions of a feed in the change log of a store that is restored from a copy (decision 0010). A
 * relay and a follower know one entry of the store. README.md in this folder lists the abstractions
 * and the flags.
 *
 * The writer changes the entry WRITES times. The store takes copies and goes back to the last one
 * RESTORES times: it gives revisions out again, in a higher era. Responses of the store and updates
 * of the relay stay on the way for any time. */

#ifndef WRITES
#define WRITES 3
#endif
#ifndef RESTORES
#define RESTORES 2
#endif

#define RELAY    0
#define FOLLOWER 1

/* The store, its last copy, and what the writer has written last. */
byte era = 1;
byte revision = 1;
byte value = 0;
byte value_revision = 1;
byte copied_revision = 1;
byte copied_value = 0;
byte copied_value_revision = 1;
byte written = 0;
byte restores = 0;

/* Nodes: the value they know, and the position up to which they know the store's changes; revision
 * 0 says that nothing is known of the era. */
byte known[2] = 0;
byte known_era[2] = 1;
byte known_revision[2] = 1;

/* The response of the store on the way to each node. */
bool reading[2] = false;
bool lists_all[2];
byte read_era[2];
bool refused[2]; /* the store does not have the changes after the position */
byte response_era[2];
byte response_revision[2];
byte response_value[2];
byte response_value_revision[2];

/* Changes that the relay has seen, and the last of them that the follower got; 0 requests the
 * complete list. */
byte sequence = 1;
byte got_sequence = 1;

/* The request of the follower that waits at the relay, and the update on the way back. */
bool requesting = false;
byte request_era;
byte request_revision;
byte request_sequence;
bool updating = false;
bool complete;
bool has_value;
byte update_era;
byte update_revision;
byte update_value;
byte update_sequence;

#ifdef NO_ERA
#define IS_OTHER_ERA(node) false
#define IS_LATE(node)      false
#define KNOWN_ERA(node)    0
#else
#define IS_OTHER_ERA(node) (response_era[node] != known_era[node] || read_era[node] != known_era[node])
#define IS_LATE(node)      (response_era[node] < known_era[node])
#define KNOWN_ERA(node)    known_era[node]
#endif

#ifdef NO_REQUEST_ERA
#define IS_OF_REQUEST_ERA true
#else
#define IS_OF_REQUEST_ERA (request_era == update_era)
#endif

#ifdef UPDATE_DURING_FULL_READ
#define IS_LISTING(node) false
#else
#define IS_LISTING(node) (reading[node] && lists_all[node])
#endif

#ifdef INCREMENTAL_AFTER_RESTORE
#define FORGET_SEQUENCE(node) skip
#else
#define FORGET_SEQUENCE(node) if :: node == FOLLOWER -> got_sequence = 0 :: else fi
#endif

inline learn (node, new_value)
{
  if
  :: node == RELAY && known[node] != new_value -> sequence++
  :: else
  fi;
  known[node] = new_value
}

inline begin_era (node, new_era)
{
  known_era[node] = new_era;
  known_revision[node] = 0;
  FORGET_SEQUENCE (node)
}

/* The store answers a read of NODE. */
inline answer_read (node)
{
  reading[node] = true;
  lists_all[node] = known_revision[node] == 0;
  read_era[node] = known_era[node];
  refused[node] = !lists_all[node] && known_revision[node] > revision;
  response_era[node] = era;
  response_revision[node] = revision;
  response_value[node] = value;
  response_value_revision[node] = value_revision
}

inline deliver_response (node)
{
  reading[node] = false;
  if
  :: IS_LATE (node)
  :: !IS_LATE (node) && lists_all[node] ->
     if
     :: response_era[node] > known_era[node] -> begin_era (node, response_era[node])
     :: else
     fi;
     known_revision[node] = response_revision[node];
     learn (node, response_value[node])
  :: !IS_LATE (node) && !lists_all[node] && IS_OTHER_ERA (node) ->
     if
     :: response_era[node] > known_era[node] -> begin_era (node, response_era[node])
     :: else
     fi
  :: !IS_LATE (node) && !lists_all[node] && !IS_OTHER_ERA (node) && refused[node] ->
     known_revision[node] = 0
  :: !IS_LATE (node) && !lists_all[node] && !IS_OTHER_ERA (node) && !refused[node] ->
     if
     :: response_value_revision[node] > known_revision[node] -> learn (node, response_value[node])
     :: else
     fi;
     if
     :: response_revision[node] > known_revision[node] ->
        known_revision[node] = response_revision[node]
     :: else
     fi
  fi
}

inline send_request ()
{
  requesting = true;
  request_era = known_era[FOLLOWER];
  request_revision = known_revision[FOLLOWER];
  request_sequence = got_sequence
}

inline answer_request ()
{
  requesting = false;
  updating = true;
  complete = request_sequence == 0;
  has_value = complete || sequence > request_sequence;
  update_era = known_era[RELAY];
  update_revision = known_revision[RELAY];
  update_value = known[RELAY];
  update_sequence = sequence
}

/* The relay holds the request until it knows as much as the follower did. */
#define CAN_ANSWER                                                                             \
  (known_revision[RELAY] > 0 &&                                                                \
   (known_era[RELAY] > request_era ||                                                          \
    (known_era[RELAY] == request_era && known_revision[RELAY] >= request_revision)))

inline deliver_update ()
{
  updating = false;
  if
  :: update_era > known_era[FOLLOWER] -> begin_era (FOLLOWER, update_era)
  :: else
  fi;
  if
  :: !IS_LISTING (FOLLOWER) && (complete || IS_OF_REQUEST_ERA) &&
         update_era >= known_era[FOLLOWER] && update_revision >= known_revision[FOLLOWER] ->
     known_revision[FOLLOWER] = update_revision;
     got_sequence = update_sequence;
     if
     :: has_value -> known[FOLLOWER] = update_value
     :: else
     fi
  :: else
  fi
}

/* Without further writes and restores, a node that has read until it needs no more knows the entry.
 * The writer has written again what a restore had lost. */
inline finish (node)
{
  answer_read (node);
  deliver_response (node);
  answer_read (node);
  deliver_response (node);
  answer_read (node);
  deliver_response (node);
  assert (known[node] == value)
}

init
{
  do
  :: written < WRITES ->
     atomic { written++; revision++; value = written; value_revision = revision }
  :: restores > 0 && value != written ->
     atomic { revision++; value = written; value_revision = revision }
  :: restores < RESTORES && copied_revision != revision ->
     atomic { copied_revision = revision; copied_value = value; copied_value_revision = value_revision }
  :: restores < RESTORES && copied_revision != revision ->
     atomic
     {
       restores++;
       era++;
       revision = copied_revision;
       value = copied_value;
       value_revision = copied_value_revision
     }
  :: !reading[RELAY] -> atomic { answer_read (RELAY) }
  :: !reading[FOLLOWER] -> atomic { answer_read (FOLLOWER) }
  :: reading[RELAY] -> atomic { deliver_response (RELAY) }
  :: reading[FOLLOWER] -> atomic { deliver_response (FOLLOWER) }
  :: !requesting && !updating -> atomic { send_request () }
  :: requesting && CAN_ANSWER -> atomic { answer_request () }
  :: updating -> atomic { deliver_update () }
  :: value == written && !reading[RELAY] && !reading[FOLLOWER] && !updating -> break
  od;
  atomic { finish (RELAY) };
  atomic { finish (FOLLOWER) }
}
