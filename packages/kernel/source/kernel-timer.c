#include <foxtailrun/kernel/kernel.h>
#include <glib.h>

struct fk_timer
{
  uv_timer_t handle;
  fk_callback_fn_t callback;
  void *user;
  uint64_t period_ms;
};

static void
handle_timer (uv_timer_t *handle)
{
  fk_timer_t *timer = handle->data;

  timer->callback (timer->user);
}

static void
free_timer (uv_handle_t *handle)
{
  g_free (handle->data);
}

static uint64_t
round_up_to_ms (fb_time_t duration)
{
  return (uint64_t)((duration + FB_MILLISECOND - 1) / FB_MILLISECOND);
}

static fk_timer_t *
start_timer (fk_kernel_t *kernel, fb_time_t delay, fb_time_t period, fk_callback_fn_t callback,
             void *user)
{
  fk_timer_t *timer = g_new0 (fk_timer_t, 1);

  timer->callback = callback;
  timer->user = user;
  uv_timer_init (fk_get_loop (kernel), &timer->handle);
  timer->handle.data = timer;
  timer->period_ms = round_up_to_ms (period);
  uv_timer_start (&timer->handle, handle_timer, round_up_to_ms (delay), timer->period_ms);
  return timer;
}

fk_timer_t *
fk_create_timer (fk_kernel_t *kernel, fb_time_t period, fk_callback_fn_t callback, void *user)
{
  return start_timer (kernel, period, period, callback, user);
}

fk_timer_t *
fk_create_timeout (fk_kernel_t *kernel, fb_time_t delay, fk_callback_fn_t callback, void *user)
{
  return start_timer (kernel, delay, 0, callback, user);
}

void
fk_pause_timer (fk_timer_t *timer)
{
  uv_timer_stop (&timer->handle);
}

void
fk_resume_timer (fk_timer_t *timer)
{
  if (!uv_is_active ((uv_handle_t *)&timer->handle))
    uv_timer_start (&timer->handle, handle_timer, timer->period_ms, timer->period_ms);
}

void
fk_destroy_timer (fk_timer_t *timer)
{
  if (timer)
    uv_close ((uv_handle_t *)&timer->handle, free_timer);
}
