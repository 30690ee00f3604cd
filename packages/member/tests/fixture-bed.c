#include "fixture-bed.h"

static void
record_send (const fb_name_t *address, uint16_t port, fb_bytes_t bytes, void *user)
{
  bed_t *bed = user;
  fw_datagram_t datagram;

  g_assert_cmpint (fw_decode_datagram (bytes, &datagram), ==, FB_OK);
  g_array_append_val (bed->sent, datagram);
  g_array_append_val (bed->ports, port);
}

static void
record_diverged (const fw_member_t *peer, void *user)
{
  ((bed_t *)user)->diverged++;
}

static void
record_told_to_leave (void *user)
{
  ((bed_t *)user)->told_to_leave++;
}

fw_member_t
bed_make_member (unsigned number, uint64_t incarnation, fw_member_state_t state)
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
bed_open (bed_t *bed, unsigned peers)
{
  fw_member_t self = bed_make_member (99, 5, FW_ALIVE);
  fm_hooks_t hooks = { record_send, NULL, NULL, record_diverged, record_told_to_leave, bed };

  memset (bed, 0, sizeof *bed);
  bed->clock = fb_create_manual_clock (FB_SECOND);
  bed->counters = fb_create_counters ();
  bed->sent = g_array_new (FALSE, FALSE, sizeof (fw_datagram_t));
  bed->ports = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  bed->table = fm_create_table (&self, NULL, 1, bed->clock, bed->counters, &hooks);
  for (unsigned i = 1; i <= peers; i++)
    {
      fw_member_t peer = bed_make_member (i, 5, FW_ALIVE);
      fm_merge_members (bed->table, &peer, 1);
    }
}

void
bed_close (bed_t *bed)
{
  fm_destroy_table (bed->table);
  fb_destroy_counters (bed->counters);
  fb_destroy_clock (bed->clock);
  g_array_free (bed->sent, TRUE);
  g_array_free (bed->ports, TRUE);
}

void
bed_run (bed_t *bed, fb_time_t duration)
{
  for (fb_time_t end = fb_read_clock (bed->clock) + duration; fb_read_clock (bed->clock) < end;)
    {
      fb_advance_clock (bed->clock, 100 * FB_MILLISECOND);
      fm_tick (bed->table);
    }
}

fb_status_t
bed_deliver (bed_t *bed, const fw_datagram_t *datagram)
{
  uint8_t buffer[FW_DATAGRAM_MAX];
  size_t length;
  size_t fitted;

  g_assert_cmpint (fw_encode_datagram (datagram, buffer, &length, &fitted), ==, FB_OK);
  return fm_handle_datagram (bed->table, (fb_bytes_t){ buffer, length });
}

void
bed_deliver_update (bed_t *bed, fw_datagram_kind_t kind, fw_member_t update)
{
  fw_datagram_t datagram = { .kind = kind,
                             .sender = bed_make_member (1, 5, FW_ALIVE),
                             .members_digest = fm_digest_members (bed->table),
                             .update_count = 1 };

  datagram.updates[0] = update;
  g_assert_cmpint (bed_deliver (bed, &datagram), ==, FB_OK);
}

const fw_datagram_t *
bed_get_last (const bed_t *bed)
{
  g_assert_cmpuint (bed->sent->len, >, 0);
  return &g_array_index (bed->sent, fw_datagram_t, bed->sent->len - 1);
}

const fw_datagram_t *
bed_get_sent (const bed_t *bed, guint index)
{
  return &g_array_index (bed->sent, fw_datagram_t, index);
}

/* Lets time pass while every member but the one called SILENT, which may be NULL, answers
 * pings. */
void
bed_run_answered (bed_t *bed, fb_time_t duration, const char *silent)
{
  guint seen = bed->sent->len;

  for (; duration > 0; duration -= 100 * FB_MILLISECOND)
    {
      bed_run (bed, 100 * FB_MILLISECOND);
      for (; seen < bed->sent->len; seen++)
        {
          fw_datagram_t ack
              = { .kind = FW_ACK, .sequence = bed_get_sent (bed, seen)->sequence };
          fb_name_t target = bed_get_sent (bed, seen)->target;
          if (bed_get_sent (bed, seen)->kind != FW_PING || g_strcmp0 (target.data, silent) == 0)
            continue;
          g_assert_nonnull (fm_find_member (bed->table, &target));
          ack.sender = *fm_find_member (bed->table, &target);
          ack.sender.state = FW_ALIVE;
          ack.members_digest = fm_digest_members (bed->table);
          bed_deliver (bed, &ack);
        }
    }
}

bool
bed_is_told (const fw_datagram_t *datagram, const fw_member_t *member)
{
  for (size_t i = 0; i < datagram->update_count; i++)
    if (fb_equal_name (&datagram->updates[i].id, &member->id)
        && datagram->updates[i].state == member->state)
      return true;
  return false;
}

guint
bed_count_sent (const bed_t *bed, fw_datagram_kind_t kind)
{
  guint count = 0;

  for (guint i = 0; i < bed->sent->len; i++)
    count += bed_get_sent (bed, i)->kind == kind;
  return count;
}
