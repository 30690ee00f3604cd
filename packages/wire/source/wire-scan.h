/* Check of a msgpack message before it is unpacked. */
#ifndef FOXTAILRUN_WIRE_SCAN_H
#define FOXTAILRUN_WIRE_SCAN_H

#include <foxtailrun/base/string.h>

/* Returns whether BYTES hold exactly one msgpack value whose arrays and strings all lie inside
 * them and whose nesting is bounded. msgpack-c reserves memory for the number of elements that
 * a header claims, so that a few bytes could otherwise ask for gigabytes. */
bool fw_scan_message (fb_bytes_t bytes);

#endif
