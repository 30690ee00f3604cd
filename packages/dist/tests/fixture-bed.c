#include "fixture-bed.h"
#include <foxtailrun/config/delta.h>

static void
drop_datagram (const fb_name_t *address, uint16_t port, fb_bytes_t datagram, void *user)
{
}

static void
record_message (const fw_member_t *to, const fw_control_t *message, void *user)
{
  bed_t *bed = user;
  size_t slot = bed->sent_count++;

  g_assert_cmpuint (slot, <, SENT_MAX);
  bed->sent[slot].kind = message->kind;
  bed->sent[slot].to = to->id;
  bed->sent[slot].request = message->request_id;
  bed->sent[slot].ready = message->ready;
  bed->sent[slot].length = message->payload.len;
  bed->sent[slot].based
      = message->base_digest.bytes[0] != 0 || message->base_digest.bytes[1] != 0;
}

static void
record_read (uint64_t index, void *user)
{
  bed_t *bed = user;

  g_assert_false (bed->reading);
  bed->reading = true;
  bed->reads++;
  bed->read_index = index;
}

static void
record_apply (fc_snapshot_t *snapshot, const fb_version_t *version, void *user)
{
  ((bed_t *)user)->applied++;
}

static void
record_ready (bool ready, void *user)
{
  ((bed_t *)user)->ready = ready;
}

static void
record_refusal (const fb_version_t *version, const fc_problems_t *problems, void *user)
{
  ((bed_t *)user)->refused++;
}

static fw_member_t
make_member (size_t index, const char *zone)
{
  fw_member_t member = { .incarnation = 1, .control_port = (uint16_t)(7000 + index) };
  char text[32];

  g_snprintf (text, sizeof text, "node-%02zu", index);
  member.id = fb_make_name (text);
  member.zone = fb_make_name (zone);
  member.region = fb_make_name ("region");
  member.address = fb_make_name ("127.0.0.1");
  return member;
}

bed_t *
open_bed (size_t others)
{
  bed_t *bed = g_new0 (bed_t, 1);
  fw_member_t self = make_member (99, "zone-0");
  fm_options_t options = fm_get_default_options ();
  fm_hooks_t member_hooks = { .send = drop_datagram };
  fd_hooks_t hooks
      = { record_message, record_read, record_apply, record_ready, record_refusal, bed };

  bed->clock = fb_create_manual_clock (FB_SECOND);
  bed->counters = fb_create_counters ();
  bed->table = fm_create_table (&self, &options, 1, bed->clock, bed->counters, &member_hooks);
  for (size_t i = 0; i < others; i++)
    bed->others[i] = make_member (i, i < others / 2 ? "zone-0" : "zone-1");
  bed->other_count = others;
  fm_merge_members (bed->table, bed->others, others);
  bed->node = fd_create_node (bed->table, 7, bed->clock, bed->counters, NULL, &hooks);
  return bed;
}

void
close_bed (bed_t *bed)
{
  fd_destroy_node (bed->node);
  fm_destroy_table (bed->table);
  fb_destroy_counters (bed->counters);
  fb_destroy_clock (bed->clock);
  g_free (bed);
}

void
pass_time (bed_t *bed, fb_time_t duration)
{
  for (fb_time_t done = 0; done < duration; done += 100 * FB_MILLISECOND)
    {
      fb_advance_clock (bed->clock, 100 * FB_MILLISECOND);
      fd_tick (bed->node);
    }
}

size_t
count_sent (const bed_t *bed, fw_control_kind_t kind)
{
  size_t count = 0;

  for (size_t i = 0; i < bed->sent_count; i++)
    count += bed->sent[i].kind == kind;
  return count;
}

uint64_t
get_count (bed_t *bed, const char *name)
{
  return fb_get_counter (fb_find_counter (bed->counters, name, ""));
}

fb_version_t
describe_version (GBytes *document, uint64_t number, uint64_t revision)
{
  fb_version_t version = { .number = number, .revision = revision };
  fb_bytes_t bytes;

  bytes.data = g_bytes_get_data (document, &bytes.len);
  version.digest = fb_compute_digest (bytes);
  return version;
}

void
give_source_value (bed_t *bed, uint64_t index, GBytes *document)
{
  fb_bytes_t bytes;

  bytes.data = g_bytes_get_data (document, &bytes.len);
  g_assert_true (bed->reading);
  bed->reading = false;
  fd_handle_source_value (bed->node, FB_OK, index, bytes);
}

void
fail_read (bed_t *bed, fb_status_t status)
{
  g_assert_true (bed->reading);
  bed->reading = false;
  fd_handle_source_value (bed->node, status, 0, (fb_bytes_t){ NULL, 0 });
}

void
give_document (bed_t *bed, size_t index, GBytes *document, const fb_version_t *version)
{
  fw_control_t message
      = { .kind = FW_DOCUMENT, .sender = bed->others[index].id, .version = *version };
  fb_bytes_t bytes;
  uint8_t *frame;

  bytes.data = g_bytes_get_data (document, &bytes.len);
  frame = fc_encode_delta ((fb_bytes_t){ NULL, 0 }, bytes, &message.payload.len);
  message.payload.data = frame;
  fd_handle_message (bed->node, &message);
  g_free (frame);
}

void
answer_summaries (bed_t *bed, const fb_version_t *version, bool ready, bool lists)
{
  size_t count = bed->sent_count;

  for (size_t i = 0; i < count; i++)
    {
      fw_control_t message = { .kind = FW_SUMMARY,
                               .request_id = bed->sent[i].request,
                               .sender = bed->sent[i].to,
                               .version = *version,
                               .ready = ready };

      if (bed->sent[i].kind == FW_SUMMARY_REQUEST)
        fd_handle_message (bed->node, &message);
      message.kind = FW_MEMBERS;
      message.page_count = 1;
      if (lists && bed->sent[i].kind == FW_MEMBERS_REQUEST)
        fd_handle_message (bed->node, &message);
    }
}
