/* Unpacking of received bytes with memory use bounded by their length. */
#ifndef FOXTAILRUN_WIRE_UNPACK_H
#define FOXTAILRUN_WIRE_UNPACK_H

#include <foxtailrun/base/string.h>
#include <msgpack.h>

/* Unpacks BYTES, one msgpack object, into UNPACKED, whose strings borrow BYTES. Returns false
 * for malformed input, trailing bytes, maps and extension types, which no message uses, and
 * arrays nested deeper than in any message. Destroy UNPACKED in either case. */
bool fw_unpack (fb_bytes_t bytes, msgpack_unpacked *unpacked);

#endif
