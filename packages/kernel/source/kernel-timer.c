#include <foxtailrun/kernel/kernel.h>
#include <glib.h>

struct fk_timer
{
  uv_timer_t handle;
  fk_callback_fn_t callback;
  void *user;
};

static void
fire_timer (uv_timer_t *handle)
{
  fk_timer_t *timer = handle->data;

  timer->callback (timer->user);
}

static void
free_timer (uv_handle_t *handle)
{
  g_free (handle->data);
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
  uv_timer_start (&timer->handle, fire_timer,
                  (uint64_t)((delay + FB_MILLISECOND - 1) / FB_MILLISECOND),
                  (uint64_t)((period + FB_MILLISECOND - 1) / FB_MILLISECOND));
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
fk_destroy_timer (fk_timer_t *timer)
{
  if (timer)
    uv_close ((uv_handle_t *)&timer->handle, free_timer);
}
