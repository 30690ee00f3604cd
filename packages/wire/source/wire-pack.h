/* Packing of the fields that several messages share. */
#ifndef FOXTAILRUN_WIRE_PACK_H
#define FOXTAILRUN_WIRE_PACK_H

#include <foxtailrun/base/version.h>
#include <foxtailrun/wire/member.h>
#include <msgpack.h>

/* Number of array elements that fw_pack_member writes. */
#define FW_MEMBER_FIELDS 10

void fw_pack_str (msgpack_packer *packer, fb_str_t str);
void fw_pack_name (msgpack_packer *packer, const fb_name_t *name);
void fw_pack_bin (msgpack_packer *packer, const void *data, size_t len);
void fw_pack_version (msgpack_packer *packer, const fb_version_t *version);
void fw_pack_member (msgpack_packer *packer, const fw_member_t *member);

#endif
