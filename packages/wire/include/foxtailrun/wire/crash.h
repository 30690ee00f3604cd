/* Crash reports: what the nodes beside the instances of a service tell each other about
 * requests under which instances ended. */
#ifndef FOXTAILRUN_WIRE_CRASH_H
#define FOXTAILRUN_WIRE_CRASH_H

#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/status.h>

/* Crashes stored of one request, the latest ones. */
#define FW_CRASHES_MAX 8

/* Requests in one report. */
#define FW_SUSPECTS_MAX 1024

typedef struct
{
  fb_digest_t key;        /* of the request */
  uint32_t failed_trials; /* crashes of runs that were let through after a quarantine */
  uint64_t age_us;        /* since the last crash */
  size_t crash_count;
  uint64_t crashes[FW_CRASHES_MAX]; /* random ids, oldest first */
  bool cleared[FW_CRASHES_MAX];     /* the request has run to its end since that crash */
} fw_suspect_t;

typedef struct
{
  fb_name_t sender;  /* address of the node */
  uint64_t start_id; /* of the sender's process */
  size_t suspect_count;
  fw_suspect_t *suspects; /* owned after decoding, see fw_clear_crash_report */
} fw_crash_report_t;

/* Encodes REPORT into a new buffer that the caller frees with g_free. */
uint8_t *fw_encode_crash_report (const fw_crash_report_t *report, size_t *length);

/* Decodes BYTES; FB_INVALID on anything malformed or over a limit. */
fb_status_t fw_decode_crash_report (fb_bytes_t bytes, fw_crash_report_t *report);

/* Frees what decoding allocated in REPORT. */
void fw_clear_crash_report (fw_crash_report_t *report);

#endif
