/* What the nodes of the small fleet know, and what they have read. */
#include "fixture-feed-state.h"
#include <string.h>

size_t
feed_get_relay (const fleet_t *fleet, size_t node)
{
  return fleet->nodes[node].request_outstanding ? fleet->nodes[node].relay : FEED_NODES_MAX;
}

fw_member_state_t
feed_get_state (const fleet_t *fleet, size_t node, size_t other)
{
  return fleet->nodes[node].known_states[other];
}

fw_member_state_t
feed_get_endpoint_state (const fleet_t *fleet, size_t node)
{
  return fleet->store.endpoints[node].state;
}

bool
feed_has_newest_document (const fleet_t *fleet, size_t node)
{
  fb_position_t position;
  fb_bytes_t text = fd_get_document (fleet->nodes[node].feed, &position);

  return fb_compare_positions (position,
                               (fb_position_t){ fleet->era, fleet->store.text_revision })
             == 0
         && text.len == strlen (fleet->store.text)
         && memcmp (text.data, fleet->store.text, text.len) == 0;
}

bool
feed_is_healthy (const fleet_t *fleet, size_t node)
{
  return fleet->nodes[node].fault == FEED_NO_FAULT;
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

size_t
feed_count_full_reads (const fleet_t *fleet)
{
  return fleet->full_reads;
}

bool
feed_is_current (const fleet_t *fleet, size_t node)
{
  return fleet->store.endpoints[node].incarnation == 1 + fleet->incarnations[node];
}

bool
feed_has_text (const fleet_t *fleet, size_t node, const char *expected)
{
  fb_position_t position;
  fb_bytes_t text = fd_get_document (fleet->nodes[node].feed, &position);

  return text.len == strlen (expected) && memcmp (text.data, expected, text.len) == 0;
}

bool
feed_is_evacuated (const fleet_t *fleet, size_t node, size_t zone)
{
  return fleet->nodes[node].evacuated[zone];
}

size_t
feed_count_evacuation_reads (const fleet_t *fleet)
{
  return fleet->evacuation_reads;
}
