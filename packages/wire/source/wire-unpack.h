/* Unpacking of received bytes that cannot make the library allocate more than they justify. */
#ifndef FOXTAILRUN_WIRE_UNPACK_H
#define FOXTAILRUN_WIRE_UNPACK_H

#include <foxtailrun/base/string.h>
#include <msgpack.h>

/* Unpacks BYTES, one msgpack object, into UNPACKED, whose strings borrow BYTES. Returns false
 * for anything malformed, for trailing bytes, maps and extension types, which no message has,
 * and for arrays nested deeper than any message. Destroy UNPACKED in either case. */
bool fw_unpack (fb_bytes_t bytes, msgpack_unpacked *unpacked);

#endif
