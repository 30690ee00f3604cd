/* Reader over one unpacked msgpack array, with a sticky error flag. */
#ifndef FOXTAILRUN_WIRE_READ_H
#define FOXTAILRUN_WIRE_READ_H

#include <foxtailrun/base/version.h>
#include <foxtailrun/wire/member.h>
#include <msgpack.h>

typedef struct
{
  const msgpack_object *items;
  size_t count;
  size_t next;
  bool failed; /* set by the first missing, mistyped or out-of-range element */
} fw_reader_t;

/* Starts reading OBJECT; the reader has failed when OBJECT is NULL or not an array. */
fw_reader_t fw_start_reader (const msgpack_object *object);

/* Returns whether all elements were read without error. */
bool fw_finish_reader (const fw_reader_t *reader);

/* Reads a number of at most MAX. */
uint64_t fw_read_u64 (fw_reader_t *reader, uint64_t max);
bool fw_read_bool (fw_reader_t *reader);

/* Reads a string of at most MAX bytes, borrowed from the message. */
fb_str_t fw_read_str (fw_reader_t *reader, size_t max);
fb_bytes_t fw_read_bin (fw_reader_t *reader, size_t max);
void fw_read_name (fw_reader_t *reader, fb_name_t *name);
void fw_read_digest (fw_reader_t *reader, fb_digest_t *digest);
void fw_read_version (fw_reader_t *reader, fb_version_t *version);
void fw_read_member (fw_reader_t *reader, fw_member_t *member);

/* Returns whether the next element is an array. */
bool fw_is_array (const fw_reader_t *reader);

/* Returns the next element when it is an array of at most MAX elements, else NULL. */
const msgpack_object *fw_read_array (fw_reader_t *reader, size_t max);

#endif
