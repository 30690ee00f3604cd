#include "wire-pack.h"

void
fw_pack_str (msgpack_packer *packer, fb_str_t str)
{
  msgpack_pack_str (packer, str.len);
  msgpack_pack_str_body (packer, str.data, str.len);
}

void
fw_pack_name (msgpack_packer *packer, const fb_name_t *name)
{
  fw_pack_str (packer, fb_get_name (name));
}

void
fw_pack_bin (msgpack_packer *packer, const void *data, size_t len)
{
  msgpack_pack_bin (packer, len);
  msgpack_pack_bin_body (packer, data, len);
}

void
fw_pack_version (msgpack_packer *packer, const fb_version_t *version)
{
  msgpack_pack_uint64 (packer, version->number);
  msgpack_pack_uint64 (packer, version->revision);
  fw_pack_bin (packer, version->digest.bytes, FB_DIGEST_LEN);
}

void
fw_pack_member (msgpack_packer *packer, const fw_member_t *member)
{
  msgpack_pack_array (packer, FW_MEMBER_FIELDS);
  fw_pack_name (packer, &member->id);
  msgpack_pack_uint64 (packer, member->incarnation);
  msgpack_pack_uint64 (packer, (uint64_t)member->state);
  fw_pack_name (packer, &member->address);
  msgpack_pack_uint64 (packer, member->control_port);
  msgpack_pack_uint64 (packer, member->call_port);
  msgpack_pack_uint64 (packer, member->admin_port);
  fw_pack_name (packer, &member->zone);
  fw_pack_name (packer, &member->region);
  fw_pack_name (packer, &member->service);
}
