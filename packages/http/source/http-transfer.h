/* Bytes that the system has transferred on a connection. */
#ifndef FOXTAILRUN_HTTP_TRANSFER_H
#define FOXTAILRUN_HTTP_TRANSFER_H

#include <stdbool.h>
#include <stdint.h>

/* Sets the bytes that the peer of the connection with DESCRIPTOR has acknowledged; leaves them
 * on an error. */
void fh_read_acknowledged (int descriptor, uint64_t *acknowledged);

/* Returns whether the peer of the connection with DESCRIPTOR has ended its stream with FIN,
 * behind RECEIVED bytes, all of which were read. False on an error. */
bool fh_is_stream_complete (int descriptor, uint64_t received);

#endif
