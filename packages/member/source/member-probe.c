/* Failure detection: probes one member in each period, first directly, then through others. */
#include "member-table.h"

/* Between pings to dead members, which reconnect a healed partition. */
#define DEAD_PROBE_PERIOD (3 * FB_SECOND)

static void
adjust_health (fm_table_t *table, int change)
{
  if (change < 0 && table->health_score > 0)
    table->health_score--;
  if (change > 0 && table->health_score + 1 < table->options.health_multiplier_max)
    table->health_score++;
  fb_set_counter (table->counters.health, table->health_score);
}

static void
send_ping (fm_table_t *table, const fm_entry_t *to, uint64_t sequence)
{
  fm_priority_updates_t priority = { 0 };

  /* A suspect or dead member can refute only if it receives the update. */
  if (to->member.state == FW_SUSPECT || to->member.state == FW_DEAD)
    fm_add_priority_update (&priority, to);
  fm_send_datagram (table, FW_PING, sequence, &to->member.address, to->member.control_port,
                    &to->member.id, &priority);
}

static void
shuffle_order (fm_table_t *table)
{
  for (guint i = table->probe_order->len; i > 1; i--)
    {
      guint other = (guint)g_rand_int_range (table->random, 0, (gint32)i);
      fm_entry_t *first = g_ptr_array_index (table->probe_order, i - 1);
      fm_entry_t *second = g_ptr_array_index (table->probe_order, other);
      table->probe_order->pdata[i - 1] = second;
      table->probe_order->pdata[other] = first;
      second->list_index = i - 1;
      first->list_index = other;
    }
  table->probe_cursor = 0;
}

static void
start_probe (fm_table_t *table, fb_time_t now)
{
  fm_probe_t *probe = &table->probe;
  fm_entry_t *target;
  fb_time_t multiplier = (fb_time_t)table->health_score + 1;

  if (table->probe_order->len == 0)
    return;
  if (table->probe_cursor >= table->probe_order->len)
    shuffle_order (table);
  target = g_ptr_array_index (table->probe_order, table->probe_cursor++);
  probe->active = true;
  probe->indirect_sent = false;
  probe->id = target->member.id;
  probe->incarnation = target->member.incarnation;
  probe->sequence = ++table->sequence;
  probe->indirect_pings_at = now + table->options.ack_timeout * multiplier;
  probe->deadline = now + table->options.probe_period * multiplier;
  send_ping (table, target, probe->sequence);
}

static void
send_indirect_pings (fm_table_t *table)
{
  fm_probe_t *probe = &table->probe;
  guint members = table->probe_order->len;
  guint start = (guint)g_rand_int_range (table->random, 0, (gint32)members);
  uint32_t requested = 0;

  probe->indirect_sent = true;
  for (guint i = 0; i < members && requested < table->options.indirect_probes; i++)
    {
      const fm_entry_t *helper = g_ptr_array_index (table->probe_order, (start + i) % members);
      if (helper->member.state == FW_SUSPECT || fb_equal_name (&helper->member.id, &probe->id))
        continue;
      fm_send_datagram (table, FW_PING_REQ, probe->sequence, &helper->member.address,
                        helper->member.control_port, &probe->id, NULL);
      requested++;
    }
}

static void
run_outstanding_probe (fm_table_t *table, fb_time_t now)
{
  fm_entry_t *target = fm_find_entry (table, &table->probe.id);

  /* The ping went to an earlier incarnation; the member has restarted since. */
  if (!target || target->member.state == FW_DEAD
      || target->member.incarnation != table->probe.incarnation)
    {
      table->probe.active = false;
      return;
    }
  if (now >= table->probe.indirect_pings_at && !table->probe.indirect_sent)
    send_indirect_pings (table);
  if (now < table->probe.deadline)
    return;
  table->probe.active = false;
  fb_add_counter (table->counters.probes_failed, 1);
  /* Set the suspicion timeout before the health changes: one dead target does not indicate
   * poor local health. */
  fm_suspect_entry (table, target);
  adjust_health (table, 1);
}

static void
probe_dead_member (fm_table_t *table, fb_time_t now)
{
  table->next_dead_probe_at = now + DEAD_PROBE_PERIOD;
  if (table->dead->len == 0)
    return;
  table->dead_cursor = (table->dead_cursor + 1) % table->dead->len;
  send_ping (table, g_ptr_array_index (table->dead, table->dead_cursor), ++table->sequence);
}

static void
forward_ack (fm_table_t *table, const fw_datagram_t *datagram)
{
  for (size_t i = 0; i < FM_RELAYS_MAX; i++)
    {
      fm_relay_t *relay = &table->relays[i];
      if (relay->sequence == 0 || relay->sequence != datagram->sequence
          || !fb_equal_name (&relay->target, &datagram->sender.id)
          || relay->expires_at < fb_read_clock (table->clock))
        continue;
      relay->sequence = 0;
      fm_send_datagram (table, FW_ACK, relay->requester_sequence, &relay->address, relay->port,
                        &relay->target, NULL);
      return;
    }
}

void
fm_run_probes (fm_table_t *table, fb_time_t now)
{
  if (table->probe.active)
    run_outstanding_probe (table, now);
  if (!table->probe.active && now >= table->next_probe_at)
    {
      table->next_probe_at = now + table->options.probe_period;
      start_probe (table, now);
    }
  if (now >= table->next_dead_probe_at)
    probe_dead_member (table, now);
}

void
fm_handle_ack (fm_table_t *table, const fw_datagram_t *datagram)
{
  fm_probe_t *probe = &table->probe;
  bool direct = datagram->target.len == 0;
  const fb_name_t *subject = direct ? &datagram->sender.id : &datagram->target;

  if (probe->active && datagram->sequence == probe->sequence
      && fb_equal_name (subject, &probe->id))
    {
      probe->active = false;
      /* A late ack indicates a slow local node rather than a failing member. */
      if (direct)
        adjust_health (table, probe->indirect_sent ? 1 : -1);
    }
  else if (direct)
    forward_ack (table, datagram);
}

void
fm_handle_ping_req (fm_table_t *table, const fw_datagram_t *datagram)
{
  const fm_entry_t *target = fm_find_entry (table, &datagram->target);
  fm_relay_t *relay;

  if (!target || target == table->self)
    return;
  relay = &table->relays[table->next_relay];
  table->next_relay = (table->next_relay + 1) % FM_RELAYS_MAX;
  relay->sequence = ++table->sequence;
  relay->requester_sequence = datagram->sequence;
  relay->target = datagram->target;
  relay->address = datagram->sender.address;
  relay->port = datagram->sender.control_port;
  relay->expires_at
      = fb_read_clock (table->clock)
        + table->options.probe_period * (fb_time_t)table->options.health_multiplier_max;
  send_ping (table, target, relay->sequence);
}

void
fm_reset_probes (fm_table_t *table, fb_time_t now)
{
  table->probe.active = false;
  table->next_probe_at = now + table->options.probe_period;
  for (size_t i = 0; i < FM_RELAYS_MAX; i++)
    table->relays[i].sequence = 0;
}
