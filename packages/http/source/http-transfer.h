/* Bytes that the system has transferred on a connection. */
#ifndef FOXTAILRUN_HTTP_TRANSFER_H
#define FOXTAILRUN_HTTP_TRANSFER_H

#include <stdint.h>

/* Sets the bytes that the peer of the connection with DESCRIPTOR has acknowledged; leaves them
 * on an error. */
void fh_read_acknowledged (int descriptor, uint64_t *acknowledged);

#endif
