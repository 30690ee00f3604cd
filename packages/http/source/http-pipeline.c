#include "http-pipeline.h"

void
fh_init_pipeline (fh_pipeline_t *pipeline, fh_overlap_fn_t may_overlap, void *user)
{
  *pipeline = (fh_pipeline_t){ .may_overlap = may_overlap, .user = user };
  g_queue_init (&pipeline->slots);
}

void
fh_add_slot (fh_pipeline_t *pipeline, fh_slot_t *slot, size_t bytes, void *data)
{
  *slot = (fh_slot_t){ .link.data = slot, .bytes = bytes, .data = data };
  pipeline->bytes += bytes;
  g_queue_push_tail_link (&pipeline->slots, &slot->link);
}

static bool
may_overlap (const fh_pipeline_t *pipeline, fh_slot_t *slot)
{
  if (slot->overlap == FH_OVERLAP_UNKNOWN)
    slot->overlap = pipeline->may_overlap && pipeline->may_overlap (slot, pipeline->user)
                        ? FH_OVERLAP_ALLOWED
                        : FH_OVERLAP_FORBIDDEN;
  return slot->overlap == FH_OVERLAP_ALLOWED;
}

static fh_slot_t *
find_slot (const fh_pipeline_t *pipeline, fh_slot_state_t state)
{
  for (GList *link = pipeline->slots.head; link; link = link->next)
    {
      fh_slot_t *slot = link->data;

      if (slot->state == state)
        return slot;
      if (slot->closes)
        break;
    }
  return NULL;
}

fh_slot_t *
fh_open_slot (fh_pipeline_t *pipeline)
{
  fh_slot_t *slot = find_slot (pipeline, FH_SLOT_HELD);

  if (!slot)
    return NULL;
  /* Several are open only if each of them may overlap, so that one stands for all. */
  if (pipeline->open_count > 0
      && !(may_overlap (pipeline, slot)
           && may_overlap (pipeline, find_slot (pipeline, FH_SLOT_OPEN))))
    return NULL;
  slot->state = FH_SLOT_OPEN;
  pipeline->open_count++;
  return slot;
}

void
fh_finish_slot (fh_pipeline_t *pipeline, fh_slot_t *slot, size_t bytes, bool closes)
{
  if (slot->state == FH_SLOT_OPEN)
    pipeline->open_count--;
  slot->state = FH_SLOT_DONE;
  slot->closes = closes;
  pipeline->bytes += bytes - slot->bytes;
  pipeline->done_bytes += bytes;
  slot->bytes = bytes;
}

static fh_slot_t *
remove_first (fh_pipeline_t *pipeline)
{
  fh_slot_t *slot = g_queue_pop_head_link (&pipeline->slots)->data;

  if (slot->state == FH_SLOT_OPEN)
    pipeline->open_count--;
  pipeline->bytes -= slot->bytes;
  if (slot->state == FH_SLOT_DONE)
    pipeline->done_bytes -= slot->bytes;
  return slot;
}

fh_slot_t *
fh_take_done_slot (fh_pipeline_t *pipeline)
{
  const GList *first = pipeline->slots.head;

  if (!first || ((fh_slot_t *)first->data)->state != FH_SLOT_DONE)
    return NULL;
  return remove_first (pipeline);
}

fh_slot_t *
fh_take_slot (fh_pipeline_t *pipeline)
{
  return pipeline->slots.head ? remove_first (pipeline) : NULL;
}

bool
fh_is_pipeline_empty (const fh_pipeline_t *pipeline)
{
  return pipeline->slots.length == 0;
}

bool
fh_has_opened_slot (const fh_pipeline_t *pipeline)
{
  /* Requests are opened in order. */
  const GList *first = pipeline->slots.head;

  return first && ((fh_slot_t *)first->data)->state != FH_SLOT_HELD;
}

bool
fh_is_pipeline_full (const fh_pipeline_t *pipeline, const fh_pipeline_limits_t *limits)
{
  return pipeline->slots.length >= limits->requests_max
         || (pipeline->slots.length > 0 && pipeline->bytes >= limits->bytes_max);
}
