/* Account of the memory that a process holds for its peers: clients, instances, other nodes.
 * Decides who is no longer read, who is refused and who is closed when its budget is short.
 * No input or output; the owners of the holders carry the decisions out. Times are in ns. */
#ifndef FOXTAILRUN_BASE_ACCOUNT_H
#define FOXTAILRUN_BASE_ACCOUNT_H

#include "clock.h"
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  FB_HELD_HEAD,     /* request heads and bytes that are not parsed yet */
  FB_HELD_BODY,     /* request bodies, until the request is answered */
  FB_HELD_RESPONSE, /* responses that wait for their client */
  FB_HELD_CALL,     /* requests to other servers, until they are answered */
  FB_HELD_ANSWER,   /* responses being received from other servers */
  FB_HELD_HTTP2,    /* streams of HTTP/2 connections */
  FB_HELD_ADMIN     /* the administration's connections */
} fb_held_kind_t;

#define FB_HELD_KINDS (FB_HELD_ADMIN + 1)

/* A holder of at most this many bytes, such as an ordinary small request, is read as long as
 * the budget lasts, and is never closed for the memory that it holds. */
#define FB_HELD_SMALL ((size_t)16 * 1024)

/* Bytes that count as progress; fewer are ignored until they add up. A client could otherwise
 * hold a large body at a byte a second. */
#define FB_PROGRESS_MIN ((size_t)1024)

typedef struct fb_account fb_account_t;
typedef struct fb_holder fb_holder_t;
typedef struct fb_account_client fb_account_client_t;

/* How the owner of a holder carries out decisions; called by fb_settle_account only. */
typedef struct
{
  /* Stops or starts to read the peer; NULL if it cannot be paused. */
  void (*set_paused) (fb_holder_t *holder, bool paused);
  /* Returns whether a paused peer has sent bytes that wait to be read. */
  bool (*has_input) (const fb_holder_t *holder);
  /* Closes the connection, which removes the holder, now or later. */
  void (*close) (fb_holder_t *holder);
} fb_holder_class_t;

/* One connection's share; embedded in its owner. Written by this module only. */
struct fb_holder
{
  fb_account_t *account; /* NULL when not added */
  const fb_holder_class_t *class;
  GList link;
  size_t bytes[FB_HELD_KINDS];
  size_t total;
  fb_account_client_t *client; /* that it belongs to; NULL for none */
  fb_time_t moved_at;          /* last progress */
  size_t moved;                /* since */
  bool waits_for_peer;
  bool paused;
  bool favoured; /* read although the account is short */
  bool closing;  /* fb_settle_account has closed it */
};

/* Called when the account gets short; the owner then calls fb_settle_account soon. */
typedef void (*fb_account_short_fn_t) (void *user);

/* Creates an account of BUDGET bytes. SHORT_CALLBACK may be NULL. */
fb_account_t *fb_create_account (size_t budget, fb_account_short_fn_t short_callback,
                                 void *user);

/* Removes the holders, whose owners may outlive the account, and frees it; NULL is allowed. */
void fb_destroy_account (fb_account_t *account);

/* Sets the budget in bytes. A quarter of it is the reserve for control traffic, small requests
 * and bodies that complete although the account is short. */
void fb_set_account_budget (fb_account_t *account, size_t budget);

/* Adds HOLDER, zeroed, of a connection of CLIENT, a number that is equal for the connections of
 * one address; 0 exempts it from the share of a client. */
void fb_add_holder (fb_account_t *account, fb_holder_t *holder, const fb_holder_class_t *class,
                    uint64_t client, fb_time_t now);

/* Removes HOLDER with its bytes; not added is allowed. */
void fb_remove_holder (fb_holder_t *holder);

/* Sets the bytes that HOLDER holds of KIND. */
void fb_hold (fb_holder_t *holder, fb_held_kind_t kind, size_t bytes);

/* Counts BYTES received from or taken by the peer. */
void fb_count_progress (fb_holder_t *holder, size_t bytes, fb_time_t now);

/* Sets whether the peer's bytes are awaited: it sends a request or receives a response. A
 * holder whose request is being handled is not closed. */
void fb_set_peer_turn (fb_holder_t *holder, bool waits_for_peer, fb_time_t now);

/* Pauses HOLDER at once if the account demands it. To be called after each read, so that no
 * more is read before the account is settled. Its class must be able to pause. */
void fb_check_pause (fb_holder_t *holder);

/* Returns whether a request of BYTES, none of which was passed on, must be refused: it is large
 * and the reserve is in use. */
bool fb_must_refuse (const fb_account_t *account, size_t bytes);

/* Returns how many bytes may be read at once: less when the account is short. */
size_t fb_get_read_size (const fb_account_t *account);

/* Carries out the decisions: pauses and resumes peers, and closes those with the least progress
 * for the bytes that they hold, not the newest ones. Returns whether the account is short: call
 * again within FB_SETTLE_INTERVAL. */
bool fb_settle_account (fb_account_t *account, fb_time_t now);

#define FB_SETTLE_INTERVAL (100 * FB_MILLISECOND)

size_t fb_get_held (const fb_account_t *account, fb_held_kind_t kind);
size_t fb_get_held_total (const fb_account_t *account);
size_t fb_get_account_budget (const fb_account_t *account);

/* Return how many times a peer was paused or closed. */
uint64_t fb_get_paused_count (const fb_account_t *account);
uint64_t fb_get_closed_count (const fb_account_t *account);

/* Returns the name of KIND, such as "body". */
const char *fb_describe_held_kind (fb_held_kind_t kind);

#endif
