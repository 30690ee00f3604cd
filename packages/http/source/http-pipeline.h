/* Order of the requests of one HTTP/1 connection: which may be handled now, and whose response
 * is sent next. Pure: no input or output. */
#ifndef FOXTAILRUN_HTTP_PIPELINE_H
#define FOXTAILRUN_HTTP_PIPELINE_H

#include <foxtailrun/base/string.h>
#include <glib.h>

typedef enum
{
  FH_SLOT_HELD, /* waits for the requests before it */
  FH_SLOT_OPEN, /* is being handled */
  FH_SLOT_DONE  /* its response waits for those before it */
} fh_slot_state_t;

/* Whether a request may be handled beside others of its connection. */
typedef enum
{
  FH_OVERLAP_UNKNOWN, /* not asked yet */
  FH_OVERLAP_ALLOWED,
  FH_OVERLAP_FORBIDDEN /* it waits for those before it and holds back those behind it */
} fh_overlap_t;

/* A request's place in the pipeline; embedded in its owner, which DATA points to. */
typedef struct
{
  GList link;
  fh_slot_state_t state;
  fh_overlap_t overlap;
  size_t bytes; /* held for the request or its response */
  bool closes;  /* the connection ends after its response */
  void *data;
} fh_slot_t;

/* Returns whether the request of SLOT may overlap with others. */
typedef bool (*fh_overlap_fn_t) (const fh_slot_t *slot, void *user);

typedef struct
{
  size_t requests_max;
  size_t bytes_max;
} fh_pipeline_limits_t;

typedef struct
{
  GQueue slots; /* fh_slot_t in order of arrival */
  size_t open_count;
  size_t bytes;      /* of all slots */
  size_t done_bytes; /* of responses */
  fh_overlap_fn_t may_overlap;
  void *user;
} fh_pipeline_t;

/* Prepares an empty pipeline; MAY_OVERLAP is only asked about requests that arrive while
 * others are open. */
void fh_init_pipeline (fh_pipeline_t *pipeline, fh_overlap_fn_t may_overlap, void *user);

/* Appends SLOT, which holds BYTES, as FH_SLOT_HELD. */
void fh_add_slot (fh_pipeline_t *pipeline, fh_slot_t *slot, size_t bytes, void *data);

/* Returns the next held slot that may be handled now, as FH_SLOT_OPEN, or NULL. */
fh_slot_t *fh_open_slot (fh_pipeline_t *pipeline);

/* Marks SLOT as FH_SLOT_DONE with a response of BYTES. With CLOSES no request behind it is
 * opened any more: those held count as not read. */
void fh_finish_slot (fh_pipeline_t *pipeline, fh_slot_t *slot, size_t bytes, bool closes);

/* Removes and returns the first slot if its response can be sent, or NULL. */
fh_slot_t *fh_take_done_slot (fh_pipeline_t *pipeline);

/* Removes and returns any slot, the first one first, or NULL. */
fh_slot_t *fh_take_slot (fh_pipeline_t *pipeline);

/* Returns whether no request is held, open or done. */
bool fh_is_pipeline_empty (const fh_pipeline_t *pipeline);

/* Returns whether a request is open, or done and not sent. */
bool fh_has_opened_slot (const fh_pipeline_t *pipeline);

/* Returns whether the connection must not be read further: a limit is reached, and a response
 * will make room. */
bool fh_is_pipeline_full (const fh_pipeline_t *pipeline, const fh_pipeline_limits_t *limits);

#endif
