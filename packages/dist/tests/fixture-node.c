#include "fixture-node.h"
#include <foxtailrun/config/delta.h>

static void
drop_datagram (const fb_name_t *address, uint16_t port, fb_bytes_t datagram, void *user)
{
}

static void
record_message (const fw_member_t *to, const fw_control_t *message, void *user)
{
  node_fixture_t *fixture = user;
  size_t slot = fixture->sent_count++;

  g_assert_cmpuint (slot, <, SENT_MAX);
  fixture->sent[slot].kind = message->kind;
  fixture->sent[slot].to = to->id;
  fixture->sent[slot].request_id = message->request_id;
  fixture->sent[slot].ready = message->ready;
  fixture->sent[slot].length = message->payload.len;
  fixture->sent[slot].has_base
      = message->base_digest.bytes[0] != 0 || message->base_digest.bytes[1] != 0;
}

static void
record_read (fb_position_t position, void *user)
{
  node_fixture_t *fixture = user;

  g_assert_false (fixture->read_outstanding);
  fixture->read_outstanding = true;
  fixture->reads++;
  fixture->read_index = position.revision;
}

static void
record_apply (fc_snapshot_t *snapshot, const fb_version_t *version, void *user)
{
  ((node_fixture_t *)user)->applied++;
}

static void
record_ready (bool ready, void *user)
{
  ((node_fixture_t *)user)->ready = ready;
}

static void
record_refusal (const fb_version_t *version, const fc_problems_t *problems, void *user)
{
  ((node_fixture_t *)user)->refused++;
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

node_fixture_t *
create_fixture (size_t others)
{
  node_fixture_t *fixture = g_new0 (node_fixture_t, 1);
  fw_member_t self = make_member (99, "zone-0");
  fm_options_t options = fm_get_default_options ();
  fm_hooks_t member_hooks = { .send = drop_datagram };
  fd_hooks_t hooks
      = { record_message, record_read, record_apply, record_ready, record_refusal, fixture };

  fixture->clock = fb_create_manual_clock (FB_SECOND);
  fixture->counters = fb_create_counters ();
  fixture->table
      = fm_create_table (&self, &options, 1, fixture->clock, fixture->counters, &member_hooks);
  for (size_t i = 0; i < others; i++)
    fixture->others[i] = make_member (i, i < others / 2 ? "zone-0" : "zone-1");
  fixture->other_count = others;
  fm_merge_members (fixture->table, fixture->others, others);
  fixture->node
      = fd_create_node (fixture->table, 7, fixture->clock, fixture->counters, NULL, &hooks);
  return fixture;
}

void
destroy_fixture (node_fixture_t *fixture)
{
  fd_destroy_node (fixture->node);
  fm_destroy_table (fixture->table);
  fb_destroy_counters (fixture->counters);
  fb_destroy_clock (fixture->clock);
  g_free (fixture);
}

void
advance_time (node_fixture_t *fixture, fb_time_t duration)
{
  for (fb_time_t done = 0; done < duration; done += 100 * FB_MILLISECOND)
    {
      fb_advance_clock (fixture->clock, 100 * FB_MILLISECOND);
      fd_tick (fixture->node);
    }
}

size_t
count_sent (const node_fixture_t *fixture, fw_control_kind_t kind)
{
  size_t count = 0;

  for (size_t i = 0; i < fixture->sent_count; i++)
    count += fixture->sent[i].kind == kind;
  return count;
}

uint64_t
get_count (node_fixture_t *fixture, const char *name)
{
  return fb_get_counter (fb_find_counter (fixture->counters, name, ""));
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
deliver_source_value (node_fixture_t *fixture, uint64_t index, GBytes *document)
{
  fb_bytes_t bytes;

  bytes.data = g_bytes_get_data (document, &bytes.len);
  g_assert_true (fixture->read_outstanding);
  fixture->read_outstanding = false;
  fd_handle_source_result (fixture->node, FB_OK, (fb_position_t){ .revision = index }, bytes);
}

void
fail_read (node_fixture_t *fixture, fb_status_t status)
{
  g_assert_true (fixture->read_outstanding);
  fixture->read_outstanding = false;
  fd_handle_source_result (fixture->node, status, (fb_position_t){ 0 },
                           (fb_bytes_t){ NULL, 0 });
}

void
deliver_document (node_fixture_t *fixture, size_t index, GBytes *document,
                  const fb_version_t *version)
{
  fw_control_t message
      = { .kind = FW_DOCUMENT, .sender = fixture->others[index].id, .version = *version };
  fb_bytes_t bytes;
  uint8_t *frame;

  bytes.data = g_bytes_get_data (document, &bytes.len);
  frame = fc_encode_delta ((fb_bytes_t){ NULL, 0 }, bytes, &message.payload.len);
  message.payload.data = frame;
  fd_handle_message (fixture->node, &message);
  g_free (frame);
}

void
respond_to_requests (node_fixture_t *fixture, const fb_version_t *version, bool ready,
                     bool with_member_lists)
{
  size_t count = fixture->sent_count;

  for (size_t i = 0; i < count; i++)
    {
      fw_control_t message = { .kind = FW_SUMMARY,
                               .request_id = fixture->sent[i].request_id,
                               .sender = fixture->sent[i].to,
                               .version = *version,
                               .ready = ready };

      if (fixture->sent[i].kind == FW_SUMMARY_REQUEST)
        fd_handle_message (fixture->node, &message);
      message.kind = FW_MEMBERS;
      message.page_count = 1;
      if (with_member_lists && fixture->sent[i].kind == FW_MEMBERS_REQUEST)
        fd_handle_message (fixture->node, &message);
    }
}
