/* Tickets at the node beside the backend server: first use, repeats, refusals and recorded
 * answers. */
#include "node-backend.h"
#include <string.h>

/* Answers every call that waits for the same ticket as ENDED. */
static void
answer_joined (fn_backend_call_t *ended, const fw_call_t *answer)
{
  GPtrArray *joined = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, ended->backend->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      fn_backend_call_t *other = value;
      if (other->state == FN_CALL_JOINED && other->ticket.serial == ended->ticket.serial)
        g_ptr_array_add (joined, other);
    }
  for (guint i = 0; i < joined->len; i++)
    {
      fw_call_t copy = *answer;
      fn_answer_backend_call (g_ptr_array_index (joined, i), &copy);
    }
  g_ptr_array_free (joined, TRUE);
}

/* Records the end of a call that runs at most once. */
static void
record_end (fn_backend_call_t *served, const fw_call_t *answer)
{
  fr_once_t *once = served->backend->once;
  GByteArray *packed;

  if (answer->outcome == FW_NOT_RUN)
    {
      fr_abandon_once (once, &served->ticket);
      return;
    }
  if (answer->outcome != FW_ANSWERED)
    {
      fr_end_once (once, &served->ticket, (fb_bytes_t){ NULL, 0 });
      return;
    }
  packed = fw_pack_call (answer);
  fr_end_once (once, &served->ticket, (fb_bytes_t){ packed->data, packed->len });
  g_byte_array_free (packed, TRUE);
}

static uint64_t
digest_request (const fw_call_t *call)
{
  uint64_t digest = fb_hash_str (call->method, 0);

  digest = fb_hash_str (call->path, digest);
  return fb_hash_str ((fb_str_t){ (const char *)call->body.data, call->body.len }, digest);
}

/* Answers a call with a ticket from what is known of the ticket's use. */
static void
answer_known (fn_backend_call_t *served, fr_once_state_t state, fb_bytes_t recorded,
              const char *refusal)
{
  fw_call_t answer = { 0 };

  switch (state)
    {
    case FR_ONCE_RUNNING:
      served->state = FN_CALL_JOINED;
      return;
    case FR_ONCE_ANSWERED:
      fb_add_counter (served->backend->replayed, 1);
      if (fw_unpack_call (recorded, &answer) == FB_OK)
        fn_answer_backend_call (served, &answer);
      else
        fn_answer_outcome (served, FW_UNKNOWN, 504, "recorded answer is not readable");
      return;
    case FR_ONCE_REFUSED:
      fn_answer_outcome (served, FW_NOT_RUN, 503, refusal);
      return;
    case FR_ONCE_INVALID:
      fn_answer_outcome (served, FW_NOT_RUN, 422, "ticket was not issued");
      return;
    case FR_ONCE_MISMATCH:
      fn_answer_outcome (served, FW_UNKNOWN, 422, "ticket was used for another request");
      return;
    default:
      fn_answer_outcome (served, FW_UNKNOWN, 504,
                         "ticket may have run, its answer is not held");
      return;
    }
}

void
fn_refuse_backend_call (fn_backend_call_t *served, uint32_t status, const char *reason)
{
  fb_bytes_t recorded;
  fr_once_state_t state;

  if (!served->has_ticket)
    {
      fn_refuse_for_retry_elsewhere (served, status, reason);
      return;
    }
  state = fr_refuse_once (served->backend->once, &served->ticket,
                          digest_request (&served->call), &recorded);
  answer_known (served, state, recorded, reason);
}

void
fn_send_ticket (fn_backend_call_t *served)
{
  char ticket[FR_TICKET_MAX];
  fw_call_t answer = { .outcome = FW_NOT_RUN,
                       .status = 428,
                       .reason = FB_LITERAL ("repeat the request with the ticket"),
                       .header_count = 1 };

  fr_issue_ticket (served->backend->once, ticket);
  answer.headers[0] = (fw_header_t){ FB_LITERAL ("foxtailrun-ticket"), fb_wrap_text (ticket) };
  fn_answer_backend_call (served, &answer);
}

bool
fn_begin_ticket (fn_backend_call_t *served)
{
  fb_bytes_t recorded;
  fr_once_state_t state = fr_begin_once (served->backend->once, &served->ticket,
                                         digest_request (&served->call), &recorded);

  if (state == FR_ONCE_RUN)
    return true;
  answer_known (served, state, recorded, "ticket was refused before");
  return false;
}

void
fn_end_ticket (fn_backend_call_t *served, const fw_call_t *answer)
{
  record_end (served, answer);
  answer_joined (served, answer);
}
