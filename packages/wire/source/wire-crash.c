#include "wire-pack.h"
#include "wire-read.h"
#include "wire-unpack.h"
#include <foxtailrun/wire/crash.h>
#include <glib.h>
#include <string.h>

#define CRASH_FORMAT 1
#define CRASH_FIELDS 4
#define SUSPECT_FIELDS 4

/* Array elements of one crash. */
#define CRASH_ELEMENTS 2

/* Far beyond the longest time that a request is held back. */
#define AGE_MAX_US (UINT64_C (1000000) * 3600 * 24)

static void
pack_suspect (msgpack_packer *packer, const fw_suspect_t *suspect)
{
  msgpack_pack_array (packer, SUSPECT_FIELDS);
  fw_pack_bin (packer, suspect->key.bytes, FB_DIGEST_LEN);
  msgpack_pack_uint64 (packer, suspect->failed_trials);
  msgpack_pack_uint64 (packer, suspect->age_us);
  msgpack_pack_array (packer, CRASH_ELEMENTS * suspect->crash_count);
  for (size_t i = 0; i < suspect->crash_count; i++)
    {
      msgpack_pack_uint64 (packer, suspect->crashes[i]);
      msgpack_pack_uint64 (packer, suspect->cleared[i]);
    }
}

uint8_t *
fw_encode_crash_report (const fw_crash_report_t *report, size_t *length)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  uint8_t *copy;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, CRASH_FIELDS);
  msgpack_pack_uint64 (&packer, CRASH_FORMAT);
  fw_pack_name (&packer, &report->sender);
  msgpack_pack_uint64 (&packer, report->start_id);
  msgpack_pack_array (&packer, report->suspect_count);
  for (size_t i = 0; i < report->suspect_count; i++)
    pack_suspect (&packer, &report->suspects[i]);
  copy = g_memdup2 (buffer.data, buffer.size);
  *length = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return copy;
}

static bool
read_suspect (fw_reader_t *list, fw_suspect_t *suspect)
{
  fw_reader_t fields = fw_start_reader (fw_read_array (list, SUSPECT_FIELDS));
  fw_reader_t crashes;

  fw_read_digest (&fields, &suspect->key);
  suspect->failed_trials = (uint32_t)fw_read_u64 (&fields, UINT32_MAX);
  suspect->age_us = fw_read_u64 (&fields, AGE_MAX_US);
  crashes = fw_start_reader (fw_read_array (&fields, CRASH_ELEMENTS * (size_t)FW_CRASHES_MAX));
  suspect->crash_count = crashes.count / CRASH_ELEMENTS;
  for (size_t i = 0; i < suspect->crash_count; i++)
    {
      suspect->crashes[i] = fw_read_u64 (&crashes, UINT64_MAX);
      suspect->cleared[i] = fw_read_u64 (&crashes, 1) == 1;
    }
  return fw_finish_reader (&fields) && fw_finish_reader (&crashes) && suspect->crash_count > 0;
}

static bool
read_report (const msgpack_object *object, fw_crash_report_t *report)
{
  fw_reader_t reader = fw_start_reader (object);
  fw_reader_t list;

  if (fw_read_u64 (&reader, CRASH_FORMAT) != CRASH_FORMAT)
    return false;
  fw_read_name (&reader, &report->sender);
  report->start_id = fw_read_u64 (&reader, UINT64_MAX);
  list = fw_start_reader (fw_read_array (&reader, FW_SUSPECTS_MAX));
  if (!fw_finish_reader (&reader) || report->sender.len == 0)
    return false;
  report->suspect_count = list.count;
  report->suspects = g_new0 (fw_suspect_t, list.count);
  for (size_t i = 0; i < list.count; i++)
    if (!read_suspect (&list, &report->suspects[i]))
      return false;
  return fw_finish_reader (&list);
}

fb_status_t
fw_decode_crash_report (fb_bytes_t bytes, fw_crash_report_t *report)
{
  msgpack_unpacked unpacked;
  bool valid;

  memset (report, 0, sizeof *report);
  valid = fw_unpack (bytes, &unpacked) && read_report (&unpacked.data, report);
  msgpack_unpacked_destroy (&unpacked);
  if (!valid)
    fw_clear_crash_report (report);
  return valid ? FB_OK : FB_INVALID;
}

void
fw_clear_crash_report (fw_crash_report_t *report)
{
  g_free (report->suspects);
  report->suspects = NULL;
  report->suspect_count = 0;
}
