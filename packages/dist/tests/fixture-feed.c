#include "fixture-feed.h"
#include <string.h>

#define STEP (5 * FB_MILLISECOND)

/* Time of a read of the store, and of a message between two nodes. */
#define READ_TIME (10 * FB_MILLISECOND)
#define MESSAGE_TIME (5 * FB_MILLISECOND)

/* Time after which an ask without an answer is given up. */
#define ASK_TIME (FEED_PACE * 3 / 2)

/* Period in which each instance writes its entry. */
#define BEAT_STEPS 200

typedef struct
{
  fleet_t *fleet;
  size_t number;
  feed_trouble_t trouble;
  fd_feed_t *feed;
  fb_time_t run_at;
  fw_member_state_t known[FEED_NODES_MAX];
  /* The open read. */
  bool reading;
  fd_read_t read;
  fb_time_t read_end;
  /* The open ask. */
  size_t relay; /* FEED_NODES_MAX before the first */
  bool asking;
  fb_time_t asked;
  fb_time_t answer_at;
  uint8_t *answer;
  size_t answer_len;
} node_t;

typedef struct
{
  fw_member_state_t state;
  uint64_t position; /* of the last write */
} entry_t;

struct fleet
{
  fb_clock_t *clock;
  fb_counters_t *counters;
  size_t count;
  node_t nodes[FEED_NODES_MAX];
  entry_t entries[FEED_NODES_MAX];
  uint64_t position;
  uint64_t oldest; /* reads of changes from before find them forgotten */
  bool good;
  char *text;
  uint64_t text_position;
  uint64_t steps;
  size_t reads;
  size_t document_reads;
};

static fb_name_t
make_name (const char *prefix, size_t number)
{
  char text[32];

  g_snprintf (text, sizeof text, "%s%zu", prefix, number);
  return fb_make_name (text);
}

static fw_endpoint_t
make_endpoint (const fleet_t *fleet, size_t number)
{
  return (fw_endpoint_t){ .member = { .id = make_name ("i-", number),
                                      .incarnation = 1,
                                      .state = fleet->entries[number].state,
                                      .address = make_name ("10.0.0.", number),
                                      .call_port = 80,
                                      .zone = make_name ("zone-", number % FEED_ZONES),
                                      .service = fb_make_name ("shop") },
                          .slots = 9 };
}

static void
start_read (const fd_read_t *read, void *user)
{
  node_t *node = user;

  g_assert_false (node->reading);
  node->reading = true;
  node->read = *read;
  node->read_end = fb_read_clock (node->fleet->clock) + READ_TIME;
  node->fleet->reads++;
  node->fleet->document_reads += read->kind == FD_READ_DOCUMENT;
}

static node_t *
find_peer (fleet_t *fleet, const fb_name_t *address)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      fb_name_t own = make_name ("10.0.0.", i);

      if (fb_equal_name (&own, address))
        return &fleet->nodes[i];
    }
  g_assert_not_reached ();
}

static void
set_answer (node_t *node, const fw_feed_message_t *news)
{
  node->answer = fw_encode_feed (news, &node->answer_len);
  node->answer_at = fb_read_clock (node->fleet->clock) + MESSAGE_TIME;
}

static void
send_ask (const fw_member_t *peer, const fw_feed_message_t *ask, void *user)
{
  node_t *node = user;
  node_t *relay = find_peer (node->fleet, &peer->address);

  g_assert_false (node->asking);
  g_assert_true (relay != node);
  node->asking = true;
  node->asked = fb_read_clock (node->fleet->clock);
  node->relay = relay->number;
  if (relay->trouble == FEED_DEAD)
    node->asked -= ASK_TIME;
  else if (relay->trouble != FEED_SILENT)
    {
      fd_handle_request (relay->feed, node, ask);
      relay->run_at = 0;
    }
}

static void
take_answer (void *asker, const fw_feed_message_t *news, void *user)
{
  node_t *node = asker;
  const node_t *relay = user;

  if (node->asking && node->relay == relay->number && !node->answer)
    set_answer (node, news);
}

static void
note_endpoint (const fw_endpoint_t *endpoint, void *user)
{
  node_t *node = user;
  size_t number = (size_t)g_ascii_strtoull (endpoint->member.id.data + 2, NULL, 10);

  node->known[number] = endpoint->member.state;
}

static void
ignore_document (void *user)
{
}

/* Brings NODE the entries written after POSITION, the removed ones only as CHANGES. */
static void
bring_entries (node_t *node, uint64_t position, bool changes)
{
  fleet_t *fleet = node->fleet;

  for (size_t i = 0; i < fleet->count; i++)
    {
      const entry_t *entry = &fleet->entries[i];
      fw_endpoint_t endpoint = make_endpoint (fleet, i);

      if (entry->position <= position)
        continue;
      if (entry->state != FW_DEAD)
        fd_add_endpoint (node->feed, entry->position, &endpoint);
      else if (changes)
        fd_remove_endpoint (node->feed, entry->position, &endpoint.member.id);
    }
}

static void
bring_document (node_t *node)
{
  const fleet_t *fleet = node->fleet;

  fd_set_document (node->feed, fleet->text_position,
                   (fb_bytes_t){ (const uint8_t *)fleet->text, strlen (fleet->text) });
}

static void
end_read (node_t *node)
{
  fleet_t *fleet = node->fleet;
  fd_read_result_t end = { .kind = FD_RESULT_COMPLETE, .position = fleet->position };
  const fd_read_t *read = &node->read;

  node->reading = false;
  if (!fleet->good || node->trouble == FEED_AWAY)
    end.kind = FD_RESULT_FAILED;
  else if (read->kind == FD_READ_DOCUMENT)
    bring_document (node);
  else if (read->kind == FD_READ_ALL)
    {
      bring_entries (node, 0, false);
      bring_document (node);
    }
  else if (read->after_position < fleet->oldest)
    end.kind = FD_RESULT_COMPACTED;
  else
    {
      bring_entries (node, read->after_position, true);
      if (read->kind == FD_READ_CHANGES && fleet->text_position > read->after_position)
        bring_document (node);
    }
  fd_end_read (node->feed, &end);
}

static void
end_ask (node_t *node)
{
  fw_feed_message_t news;
  uint8_t *answer = node->answer;

  node->asking = false;
  node->answer = NULL;
  if (answer)
    {
      g_assert_cmpint (fw_decode_feed ((fb_bytes_t){ answer, node->answer_len }, &news), ==,
                       FB_OK);
      fd_handle_response (node->feed, &news);
      fw_clear_feed (&news);
      g_free (answer);
    }
  else
    {
      fd_cancel_request (node->fleet->nodes[node->relay].feed, node);
      fd_fail_request (node->feed, "no answer");
    }
}

static void
step_node (node_t *node)
{
  fb_time_t now = fb_read_clock (node->fleet->clock);

  if (node->trouble == FEED_SILENT || node->trouble == FEED_DEAD)
    return;
  if (node->reading && now >= node->read_end)
    {
      end_read (node);
      node->run_at = 0;
    }
  if (node->asking && (node->answer ? now >= node->answer_at : now - node->asked >= ASK_TIME))
    {
      end_ask (node);
      node->run_at = 0;
    }
  if (now >= node->run_at)
    node->run_at = fd_run_feed (node->feed);
}

static void
beat (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->entries[i].state != FW_DEAD && (fleet->steps + i * 7) % BEAT_STEPS == 0)
      fleet->entries[i].position = ++fleet->position;
}

void
feed_pass (fleet_t *fleet, fb_time_t time)
{
  for (; time > 0; time -= STEP)
    {
      fleet->steps++;
      beat (fleet);
      for (size_t i = 0; i < fleet->count; i++)
        step_node (&fleet->nodes[i]);
      fb_advance_clock (fleet->clock, STEP);
    }
}

fleet_t *
feed_create_fleet (size_t count, uint32_t seed)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->clock = fb_create_manual_clock (1000 * FB_SECOND);
  fleet->counters = fb_create_counters ();
  fleet->count = count;
  fleet->good = true;
  feed_publish (fleet, "first");
  for (size_t i = 0; i < count; i++)
    feed_enter (fleet, i, FW_ALIVE);
  for (size_t i = 0; i < count; i++)
    {
      node_t *node = &fleet->nodes[i];
      fd_feed_options_t rules = { .address = make_name ("10.0.0.", i),
                                  .zone = make_name ("zone-", i % FEED_ZONES),
                                  .poll_interval = FEED_PACE };
      fd_feed_hooks_t hooks
          = { start_read, send_ask, take_answer, note_endpoint, ignore_document, node };

      node->fleet = fleet;
      node->number = i;
      node->relay = FEED_NODES_MAX;
      for (size_t j = 0; j < FEED_NODES_MAX; j++)
        node->known[j] = FW_DEAD;
      node->feed = fd_create_feed (&rules, seed + (uint32_t)i, fleet->clock, fleet->counters,
                                   NULL, &hooks);
    }
  feed_pass (fleet, FB_SECOND);
  return fleet;
}

void
feed_destroy_fleet (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      fd_destroy_feed (fleet->nodes[i].feed);
      g_free (fleet->nodes[i].answer);
    }
  fb_destroy_counters (fleet->counters);
  fb_destroy_clock (fleet->clock);
  g_free (fleet->text);
  g_free (fleet);
}

void
feed_trouble (fleet_t *fleet, size_t node, feed_trouble_t trouble)
{
  fleet->nodes[node].trouble = trouble;
  fleet->nodes[node].run_at = 0;
}

void
feed_set_store (fleet_t *fleet, bool good)
{
  fleet->good = good;
}

void
feed_forget (fleet_t *fleet)
{
  fleet->oldest = ++fleet->position;
}

void
feed_enter (fleet_t *fleet, size_t node, fw_member_state_t state)
{
  fleet->entries[node] = (entry_t){ state, ++fleet->position };
}

void
feed_publish (fleet_t *fleet, const char *text)
{
  g_free (fleet->text);
  fleet->text = g_strdup (text);
  fleet->text_position = ++fleet->position;
}

size_t
feed_get_relay (const fleet_t *fleet, size_t node)
{
  return fleet->nodes[node].asking ? fleet->nodes[node].relay : FEED_NODES_MAX;
}

fw_member_state_t
feed_get_state (const fleet_t *fleet, size_t node, size_t other)
{
  return fleet->nodes[node].known[other];
}

fw_member_state_t
feed_get_entry (const fleet_t *fleet, size_t node)
{
  return fleet->entries[node].state;
}

bool
feed_holds_document (const fleet_t *fleet, size_t node)
{
  uint64_t position;
  fb_bytes_t text = fd_get_document (fleet->nodes[node].feed, &position);

  return position == fleet->text_position && text.len == strlen (fleet->text)
         && memcmp (text.data, fleet->text, text.len) == 0;
}

bool
feed_is_good (const fleet_t *fleet, size_t node)
{
  return fleet->nodes[node].trouble == FEED_GOOD;
}

size_t
feed_count_reads (const fleet_t *fleet)
{
  return fleet->reads;
}

size_t
feed_count_document_reads (const fleet_t *fleet)
{
  return fleet->document_reads;
}
