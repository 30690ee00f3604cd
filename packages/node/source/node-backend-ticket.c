/* Tickets of backend calls: first use, retries, refusals and recorded answers. */
#include "node-backend.h"
#include <string.h>

/* Answers the calls joined to FINISHED, which has the same ticket. */
static void
answer_joined (fn_backend_call_t *finished, const fw_call_t *answer)
{
  GPtrArray *joined = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, finished->backend->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      fn_backend_call_t *other = value;
      if (other->state == FN_CALL_JOINED && other->ticket.serial == finished->ticket.serial)
        g_ptr_array_add (joined, other);
    }
  for (guint i = 0; i < joined->len; i++)
    {
      fw_call_t copy = *answer;
      fn_answer_backend_call (g_ptr_array_index (joined, i), &copy);
    }
  g_ptr_array_free (joined, TRUE);
}

static void
record_outcome (fn_backend_call_t *backend_call, const fw_call_t *answer)
{
  fr_once_t *once = backend_call->backend->once;
  GByteArray *packed;

  if (answer->outcome == FW_NOT_RUN)
    {
      fr_abandon_once (once, &backend_call->ticket);
      return;
    }
  if (answer->outcome != FW_ANSWERED)
    {
      fr_end_once (once, &backend_call->ticket, (fb_bytes_t){ NULL, 0 });
      return;
    }
  packed = fw_pack_call (answer);
  fr_end_once (once, &backend_call->ticket, (fb_bytes_t){ packed->data, packed->len });
  g_byte_array_free (packed, TRUE);
}

static uint64_t
digest_request (const fw_call_t *call)
{
  uint64_t digest = fb_hash_str (call->method, 0);

  digest = fb_hash_str (call->path, digest);
  return fb_hash_str ((fb_str_t){ (const char *)call->body.data, call->body.len }, digest);
}

/* Answers a call by the STATE of its ticket; joins it to the earlier call if that still runs.
 * RECORDED is the earlier answer, REFUSAL_REASON the reason to give if the ticket was
 * refused. */
static void
answer_from_state (fn_backend_call_t *backend_call, fr_once_state_t state, fb_bytes_t recorded,
                   const char *refusal_reason)
{
  fw_call_t answer = { 0 };

  switch (state)
    {
    case FR_ONCE_RUNNING:
      backend_call->state = FN_CALL_JOINED;
      return;
    case FR_ONCE_ANSWERED:
      fb_add_counter (backend_call->backend->recorded_answers_sent, 1);
      if (fw_unpack_call (recorded, &answer) == FB_OK)
        fn_answer_backend_call (backend_call, &answer);
      else
        fn_answer_outcome (backend_call, FW_UNKNOWN, 504, "recorded answer is not readable");
      return;
    case FR_ONCE_REFUSED:
      fn_answer_outcome (backend_call, FW_NOT_RUN, 503, refusal_reason);
      return;
    case FR_ONCE_INVALID:
      fn_answer_outcome (backend_call, FW_NOT_RUN, 422, "ticket was not issued");
      return;
    case FR_ONCE_MISMATCH:
      fn_answer_outcome (backend_call, FW_UNKNOWN, 422, "ticket was used for another request");
      return;
    default:
      fn_answer_outcome (backend_call, FW_UNKNOWN, 504,
                         "ticket may have run, its answer is not held");
      return;
    }
}

void
fn_refuse_backend_call (fn_backend_call_t *backend_call, uint32_t status, const char *reason)
{
  fb_bytes_t recorded;
  fr_once_state_t state;

  if (!backend_call->has_ticket)
    {
      fn_refuse_for_retry_elsewhere (backend_call, status, reason);
      return;
    }
  state = fr_refuse_once (backend_call->backend->once, &backend_call->ticket,
                          digest_request (&backend_call->call), &recorded);
  answer_from_state (backend_call, state, recorded, reason);
}

void
fn_send_ticket (fn_backend_call_t *backend_call)
{
  char ticket[FR_TICKET_SIZE];
  fw_call_t answer = { .outcome = FW_NOT_RUN,
                       .status = 428,
                       .reason = FB_LITERAL ("repeat the request with the ticket"),
                       .header_count = 1 };

  fr_issue_ticket (backend_call->backend->once, ticket);
  answer.headers[0] = (fw_header_t){ FB_LITERAL ("foxtailrun-ticket"), fb_wrap_text (ticket) };
  fn_answer_backend_call (backend_call, &answer);
}

bool
fn_begin_ticket (fn_backend_call_t *backend_call)
{
  fb_bytes_t recorded;
  fr_once_state_t state = fr_begin_once (backend_call->backend->once, &backend_call->ticket,
                                         digest_request (&backend_call->call), &recorded);

  if (state == FR_ONCE_RUN)
    return true;
  answer_from_state (backend_call, state, recorded, "ticket was refused before");
  return false;
}

void
fn_end_ticket (fn_backend_call_t *backend_call, const fw_call_t *answer)
{
  record_outcome (backend_call, answer);
  answer_joined (backend_call, answer);
}
