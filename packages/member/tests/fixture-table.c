#include "fixture-table.h"

static void
record_send (const fb_name_t *address, uint16_t port, fb_bytes_t bytes, void *user)
{
  fixture_t *fixture = user;
  fw_datagram_t datagram;

  g_assert_cmpint (fw_decode_datagram (bytes, &datagram), ==, FB_OK);
  g_array_append_val (fixture->sent, datagram);
  g_array_append_val (fixture->ports, port);
}

static void
record_diverged (const fw_member_t *peer, void *user)
{
  ((fixture_t *)user)->divergences++;
}

static void
record_leave_request (void *user)
{
  ((fixture_t *)user)->leave_requests++;
}

fw_member_t
fixture_make_member (unsigned number, uint64_t incarnation, fw_member_state_t state)
{
  fw_member_t member = { .incarnation = incarnation, .state = state };
  char text[16];

  g_snprintf (text, sizeof text, "peer-%02u", number);
  member.id = fb_make_name (text);
  member.address = fb_make_name ("10.0.0.1");
  member.control_port = (uint16_t)number;
  member.region = fb_make_name (number % 3 == 2 ? "east" : "west");
  member.zone = fb_make_name (number % 3 == 0 ? "zone-a" : "zone-b");
  member.service = fb_make_name ("ledger");
  return member;
}

void
fixture_open (fixture_t *fixture, unsigned peers)
{
  fw_member_t self = fixture_make_member (99, 5, FW_ALIVE);
  fm_hooks_t hooks
      = { record_send, NULL, NULL, record_diverged, record_leave_request, fixture };

  memset (fixture, 0, sizeof *fixture);
  fixture->clock = fb_create_manual_clock (FB_SECOND);
  fixture->counters = fb_create_counters ();
  fixture->sent = g_array_new (FALSE, FALSE, sizeof (fw_datagram_t));
  fixture->ports = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  fixture->table = fm_create_table (&self, NULL, 1, fixture->clock, fixture->counters, &hooks);
  for (unsigned i = 1; i <= peers; i++)
    {
      fw_member_t peer = fixture_make_member (i, 5, FW_ALIVE);
      fm_merge_members (fixture->table, &peer, 1);
    }
}

void
fixture_close (fixture_t *fixture)
{
  fm_destroy_table (fixture->table);
  fb_destroy_counters (fixture->counters);
  fb_destroy_clock (fixture->clock);
  g_array_free (fixture->sent, TRUE);
  g_array_free (fixture->ports, TRUE);
}

void
fixture_run (fixture_t *fixture, fb_time_t duration)
{
  for (fb_time_t end = fb_read_clock (fixture->clock) + duration;
       fb_read_clock (fixture->clock) < end;)
    {
      fb_advance_clock (fixture->clock, 100 * FB_MILLISECOND);
      fm_tick (fixture->table);
    }
}

fb_status_t
fixture_deliver (fixture_t *fixture, const fw_datagram_t *datagram)
{
  uint8_t buffer[FW_DATAGRAM_MAX];
  size_t length;
  size_t fitted;

  g_assert_cmpint (fw_encode_datagram (datagram, buffer, &length, &fitted), ==, FB_OK);
  return fm_handle_datagram (fixture->table, (fb_bytes_t){ buffer, length });
}

void
fixture_deliver_update (fixture_t *fixture, fw_datagram_kind_t kind, fw_member_t update)
{
  fw_datagram_t datagram = { .kind = kind,
                             .sender = fixture_make_member (1, 5, FW_ALIVE),
                             .members_digest = fm_digest_members (fixture->table),
                             .update_count = 1 };

  datagram.updates[0] = update;
  g_assert_cmpint (fixture_deliver (fixture, &datagram), ==, FB_OK);
}

const fw_datagram_t *
fixture_get_last_sent (const fixture_t *fixture)
{
  g_assert_cmpuint (fixture->sent->len, >, 0);
  return &g_array_index (fixture->sent, fw_datagram_t, fixture->sent->len - 1);
}

const fw_datagram_t *
fixture_get_sent (const fixture_t *fixture, guint index)
{
  return &g_array_index (fixture->sent, fw_datagram_t, index);
}

void
fixture_run_answering (fixture_t *fixture, fb_time_t duration, const char *silent)
{
  guint seen = fixture->sent->len;

  for (; duration > 0; duration -= 100 * FB_MILLISECOND)
    {
      fixture_run (fixture, 100 * FB_MILLISECOND);
      for (; seen < fixture->sent->len; seen++)
        {
          fw_datagram_t ack
              = { .kind = FW_ACK, .sequence = fixture_get_sent (fixture, seen)->sequence };
          fb_name_t target = fixture_get_sent (fixture, seen)->target;
          if (fixture_get_sent (fixture, seen)->kind != FW_PING
              || g_strcmp0 (target.data, silent) == 0)
            continue;
          g_assert_nonnull (fm_find_member (fixture->table, &target));
          ack.sender = *fm_find_member (fixture->table, &target);
          ack.sender.state = FW_ALIVE;
          ack.members_digest = fm_digest_members (fixture->table);
          fixture_deliver (fixture, &ack);
        }
    }
}

bool
fixture_carries_member (const fw_datagram_t *datagram, const fw_member_t *member)
{
  for (size_t i = 0; i < datagram->update_count; i++)
    if (fb_equal_name (&datagram->updates[i].id, &member->id)
        && datagram->updates[i].state == member->state)
      return true;
  return false;
}

guint
fixture_count_sent (const fixture_t *fixture, fw_datagram_kind_t kind)
{
  guint count = 0;

  for (guint i = 0; i < fixture->sent->len; i++)
    count += fixture_get_sent (fixture, i)->kind == kind;
  return count;
}
