/* Drain service: graceful shutdown by a signal, the admin API or the host list. */
#include "node-services.h"
#include <foxtailrun/node/node.h>
#include <glib.h>

#define DRAIN_CHECK_INTERVAL (20 * FB_MILLISECOND)

/* Time before the end of a drain for the last answers to reach their callers. */
#define LAST_ANSWER_TIME (100 * FB_MILLISECOND)

typedef struct
{
  fk_kernel_t *kernel;
  fk_timer_t *timer;
  fb_time_t started_at; /* 0 before the drain */
  bool closed;          /* new calls are refused */
} drain_t;

static size_t
count_open_calls (fk_kernel_t *kernel)
{
  return fn_count_entry_calls (fk_find_service (kernel, FN_ENTRY))
         + fn_count_backend_calls (fk_find_service (kernel, FN_BACKEND));
}

static void
check_drain (void *user)
{
  drain_t *drain = user;
  fb_time_t elapsed = fb_read_clock (fk_get_clock (drain->kernel)) - drain->started_at;

  if (elapsed < FN_DRAIN_GRACE)
    return;
  if (!drain->closed)
    {
      drain->closed = true;
      fn_close_entry (fk_find_service (drain->kernel, FN_ENTRY));
      fn_drain_backend (fk_find_service (drain->kernel, FN_BACKEND), true);
      return;
    }
  if (count_open_calls (drain->kernel) > 0
      && elapsed < fn_get_settings (drain->kernel)->drain_timeout)
    return;
  FB_LOG (fk_get_log (drain->kernel), FB_LOG_INFO, FN_DRAIN, "drained",
          FB_NUMBER ("ms_taken", elapsed / FB_MILLISECOND),
          FB_NUMBER ("calls_cut", count_open_calls (drain->kernel)));
  fk_quit (drain->kernel);
}

static void
stop_drain (void *data)
{
  drain_t *drain = data;

  fk_destroy_timer (drain->timer);
}

static void
handle_signal (void *user)
{
  fn_begin_drain (user);
}

static fb_status_t
start_drain (fk_kernel_t *kernel, void *data)
{
  fk_watch_signals (kernel, handle_signal, kernel);
  return FB_OK;
}

void
fn_register_drain (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { start_drain, stop_drain, g_free };
  drain_t *drain = g_new0 (drain_t, 1);

  drain->kernel = kernel;
  fk_register_service (kernel, FN_DRAIN, &vtable, drain);
}

void
fn_begin_drain (fk_kernel_t *kernel)
{
  drain_t *drain = fk_find_service (kernel, FN_DRAIN);

  if (drain->started_at != 0)
    return;
  drain->started_at = fb_read_clock (fk_get_clock (kernel));
  FB_LOG (fk_get_log (kernel), FB_LOG_INFO, FN_DRAIN, "draining",
          FB_NUMBER ("open_calls", count_open_calls (kernel)));
  fn_disable_keep_alive (fk_find_service (kernel, FN_ENTRY));
  /* Without a membership protocol other nodes detect the drain only by a refused call. Until
   * the entry closes, the local backend server still accepts calls. */
  if (!fn_get_adapter (kernel)->source_lists_endpoints)
    {
      fm_announce_leaving (fn_get_members (fk_find_service (kernel, FN_MEMBERSHIP)));
      fn_drain_backend (fk_find_service (kernel, FN_BACKEND), false);
    }
  drain->timer = fk_create_timer (kernel, DRAIN_CHECK_INTERVAL, check_drain, drain);
}

bool
fn_is_draining (fk_kernel_t *kernel)
{
  return ((drain_t *)fk_find_service (kernel, FN_DRAIN))->started_at != 0;
}

bool
fn_can_finish_by (fk_kernel_t *kernel, fb_time_t deadline)
{
  const drain_t *drain = fk_find_service (kernel, FN_DRAIN);

  return drain->started_at == 0
         || deadline + LAST_ANSWER_TIME
                <= drain->started_at + fn_get_settings (kernel)->drain_timeout;
}
