/* Handling of received datagrams. */
#include "member-table.h"

/* Time for which member lists may differ before one is fetched from a peer; updates spread in
 * less. */
#define DIVERGENCE_DELAY (5 * FB_SECOND)

#define DIVERGENCE_FETCH_INTERVAL (10 * FB_SECOND)

/* Time without a matching digest after which a list is fetched even if the local one
 * changes, and a recorded peer digest is replaced. */
#define DIVERGENCE_DELAY_MAX (60 * FB_SECOND)

/* Returns whether the list has differed from those of peers for too long; DIGEST is a
 * received one that differs. Before DIVERGENCE_DELAY_MAX a difference counts only while the
 * local list is unchanged: a spreading update makes digests differ for a second or two. */
static bool
is_diverged (fm_table_t *table, uint64_t digest, fb_time_t now)
{
  fb_time_t since_match = now - table->digest_matched_at;

  if (table->peer_digest_since == 0 || now - table->peer_digest_since > DIVERGENCE_DELAY_MAX)
    {
      table->peer_digest = digest;
      table->peer_digest_since = now;
    }
  if (now < table->next_divergence_at)
    return false;
  if (since_match >= DIVERGENCE_DELAY_MAX)
    return true;
  return now - table->digest_changed_at >= DIVERGENCE_DELAY
         && (since_match >= DIVERGENCE_DELAY
             || (digest == table->peer_digest
                 && now - table->peer_digest_since >= DIVERGENCE_DELAY));
}

/* Returns whether the member lists differ, and calls the diverged hook when it is due. */
static bool
compare_digests (fm_table_t *table, const fw_datagram_t *datagram)
{
  fb_time_t now = fb_read_clock (table->clock);

  if (datagram->members_digest == table->digest)
    {
      table->digest_matched_at = now;
      return false;
    }
  if (is_diverged (table, datagram->members_digest, now))
    {
      table->next_divergence_at = now + DIVERGENCE_FETCH_INTERVAL;
      table->peer_digest_since = 0;
      fb_add_counter (table->counters.divergences, 1);
      if (table->hooks.diverged)
        table->hooks.diverged (&datagram->sender, table->hooks.user);
    }
  return true;
}

/* Sends corrections to the sender of a datagram that needs no reply. One per gossip period
 * bounds the cost of senders with many outdated updates. */
static void
send_correction (fm_table_t *table, const fw_datagram_t *datagram,
                 const fm_priority_updates_t *priority)
{
  fb_time_t now = fb_read_clock (table->clock);

  if (now < table->next_correction_at)
    return;
  table->next_correction_at = now + table->options.gossip_period;
  fm_send_datagram (table, FW_GOSSIP, 0, &datagram->sender.address,
                    datagram->sender.control_port, NULL, priority);
}

static void
reply_to_datagram (fm_table_t *table, const fw_datagram_t *datagram,
                   const fm_priority_updates_t *priority)
{
  switch (datagram->kind)
    {
    case FW_PING:
      fm_send_datagram (table, FW_ACK, datagram->sequence, &datagram->sender.address,
                        datagram->sender.control_port, NULL, priority);
      break;
    case FW_ACK:
      fm_handle_ack (table, datagram);
      if (priority->count > 0 || priority->include_recent)
        send_correction (table, datagram, priority);
      break;
    case FW_PING_REQ:
      fm_handle_ping_req (table, datagram);
      break;
    case FW_GOSSIP:
      if (priority->count > 0)
        send_correction (table, datagram, priority);
      break;
    }
}

static void
apply_sender (fm_table_t *table, const fw_member_t *sender, fm_priority_updates_t *priority)
{
  fm_entry_t *entry;

  fm_apply_update (table, sender, FM_SOURCE_SUBJECT, NULL);
  entry = fm_find_entry (table, &sender->id);
  if (!entry)
    return;
  if (fw_overrides (&entry->member, sender))
    fm_add_priority_update (priority, entry);
  else if (entry->member.state == FW_LEAVING)
    fm_set_deadline (table, entry, 0);
}

fb_status_t
fm_handle_datagram (fm_table_t *table, fb_bytes_t bytes)
{
  fw_datagram_t datagram;
  fm_priority_updates_t priority = { 0 };

  fb_add_counter (table->counters.received, 1);
  fb_add_counter (table->counters.received_bytes, bytes.len);
  /* A node describes itself only as alive or leaving. */
  if (fw_decode_datagram (bytes, &datagram) != FB_OK
      || (datagram.sender.state != FW_ALIVE && datagram.sender.state != FW_LEAVING)
      || datagram.sender.address.len == 0 || datagram.sender.control_port == 0)
    {
      fb_add_counter (table->counters.malformed, 1);
      return FB_INVALID;
    }
  if (fb_equal_name (&datagram.sender.id, &table->self->member.id))
    {
      fm_apply_update (table, &datagram.sender, FM_SOURCE_GOSSIP, NULL);
      return FB_OK;
    }
  apply_sender (table, &datagram.sender, &priority);
  for (size_t i = 0; i < datagram.update_count; i++)
    fm_apply_update (table, &datagram.updates[i], FM_SOURCE_GOSSIP, &priority);
  priority.include_recent = compare_digests (table, &datagram);
  reply_to_datagram (table, &datagram, &priority);
  if (table->hooks.summary_received)
    table->hooks.summary_received (&datagram.sender, &datagram.version, table->hooks.user);
  return FB_OK;
}
