/* Bytes that the system has transferred on a connection. */
#ifndef FOXTAILRUN_HTTP_TRANSFER_H
#define FOXTAILRUN_HTTP_TRANSFER_H

#include <stdbool.h>
#include <stdint.h>

/* Sets the bytes that the peer of the connection with DESCRIPTOR has acknowledged; leaves them
 * on an error. */
void fh_read_acknowledged (int descriptor, uint64_t *acknowledged);

/* Returns whether the peer of the connection with DESCRIPTOR has ended its stream with FIN, of
 * which RECEIVED bytes were read. False if there is more to read, or on an error. */
bool fh_has_received_fin (int descriptor, uint64_t received);

#endif
