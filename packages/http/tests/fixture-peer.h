/* A server on loopback that answers with raw bytes. */
#ifndef FOXTAILRUN_FIXTURE_PEER_H
#define FOXTAILRUN_FIXTURE_PEER_H

#include <foxtailrun/kernel/kernel.h>
#include <stddef.h>
#include <stdint.h>

typedef struct peer peer_t;
typedef struct peer_connection peer_connection_t;

/* Called for each read from CONNECTION; NUMBER counts those of the connection from 0. Small
 * requests arrive in one piece: TEXT is the whole one, and NUMBER that of the request. */
typedef void (*peer_answer_fn_t) (peer_connection_t *connection, size_t number,
                                  const char *text, void *user);

/* Starts a server on a free port of 127.0.0.1. */
peer_t *peer_start (fk_kernel_t *kernel, peer_answer_fn_t answer, void *user);

/* Waits until all connections are closed, the client's end first, and frees PEER. */
void peer_stop (peer_t *peer);

uint16_t peer_get_port (const peer_t *peer);

/* Returns the number of connections accepted so far. */
size_t peer_count_connections (const peer_t *peer);

void peer_write (peer_connection_t *connection, const char *bytes, size_t len);
void peer_close (peer_connection_t *connection);

/* Closes CONNECTION with a reset. */
void peer_reset (peer_connection_t *connection);

/* Leaves what arrives on CONNECTION from now on unread; peer_close then resets it. */
void peer_stop_reading (peer_connection_t *connection);

/* Ends the stream to the client; CONNECTION is still read. */
void peer_shut_down (peer_connection_t *connection);

/* Accepts no more connections. */
void peer_close_listener (peer_t *peer);

#endif
