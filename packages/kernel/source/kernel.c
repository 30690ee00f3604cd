#include <foxtailrun/base/invariant.h>
#include <foxtailrun/kernel/kernel.h>
#include <glib.h>
#include <malloc.h>
#include <signal.h>

/* Budget of the account unless the settings give another one. */
#define BUDGET_DEFAULT ((size_t)64 * 1024 * 1024)

typedef struct
{
  char *name;
  const fk_service_t *vtable;
  void *data;
  bool started;
} service_t;

struct fk_kernel
{
  uv_loop_t loop;
  fb_clock_t *clock;
  fb_counters_t *counters;
  fb_account_t *account;
  uv_timer_t settle_timer; /* active while the account is short */
  uint64_t closed_count;   /* of the account, as of the last log line */
  fb_log_t *log;
  GPtrArray *services;
  uv_signal_t termination_signals[2];
  uv_signal_t reload_signal;
  fk_callback_fn_t reload_callback;
  void *reload_user;
  fk_callback_fn_t termination_callback;
  void *termination_user;
};

static fb_time_t
read_loop_clock (void *user)
{
  return (fb_time_t)uv_hrtime ();
}

static void
close_handle (uv_handle_t *handle, void *user)
{
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

static void
handle_termination_signal (uv_signal_t *handle, int signal_number)
{
  fk_kernel_t *kernel = handle->data;

  kernel->termination_callback (kernel->termination_user);
}

static void
handle_reload_signal (uv_signal_t *handle, int signal_number)
{
  fk_kernel_t *kernel = handle->data;

  kernel->reload_callback (kernel->reload_user);
}

/* Logs what the account did; the log's own limit bounds the lines. */
static void
log_shortage (fk_kernel_t *kernel)
{
  uint64_t closed = fb_get_closed_count (kernel->account);

  if (closed == kernel->closed_count)
    return;
  FB_LOG (kernel->log, FB_LOG_WARNING, "memory", "closed connections for the memory they hold",
          FB_NUMBER ("closed", closed - kernel->closed_count),
          FB_NUMBER ("held_bytes", fb_get_held_total (kernel->account)),
          FB_NUMBER ("budget_bytes", fb_get_account_budget (kernel->account)));
  kernel->closed_count = closed;
}

static void
settle_account (uv_timer_t *timer)
{
  fk_kernel_t *kernel = timer->data;

  if (fb_settle_account (kernel->account, fb_read_clock (kernel->clock)))
    uv_timer_start (timer, settle_account, FB_SETTLE_INTERVAL / FB_MILLISECOND, 0);
  else
    /* The peak would otherwise stay resident. */
    malloc_trim (0);
  log_shortage (kernel);
}

static void
start_settling (void *user)
{
  fk_kernel_t *kernel = user;

  if (!uv_is_closing ((uv_handle_t *)&kernel->settle_timer))
    uv_timer_start (&kernel->settle_timer, settle_account, 0, 0);
}

fk_kernel_t *
fk_create_kernel (fb_log_t *log)
{
  fk_kernel_t *kernel = g_new0 (fk_kernel_t, 1);

  FB_INVARIANT (uv_loop_init (&kernel->loop) == 0);
  kernel->clock = fb_create_clock (read_loop_clock, NULL);
  kernel->counters = fb_create_counters ();
  kernel->account = fb_create_account (BUDGET_DEFAULT, start_settling, kernel);
  uv_timer_init (&kernel->loop, &kernel->settle_timer);
  kernel->settle_timer.data = kernel;
  uv_unref ((uv_handle_t *)&kernel->settle_timer);
  kernel->log = log;
  kernel->services = g_ptr_array_new ();
  /* A write to a closed connection must report an error, not terminate the process. */
  signal (SIGPIPE, SIG_IGN);
  return kernel;
}

void
fk_destroy_kernel (fk_kernel_t *kernel)
{
  if (!kernel)
    return;
  for (guint i = kernel->services->len; i-- > 0;)
    {
      service_t *service = g_ptr_array_index (kernel->services, i);
      if (service->started && service->vtable->stop)
        service->vtable->stop (service->data);
    }
  uv_walk (&kernel->loop, close_handle, NULL);
  while (uv_run (&kernel->loop, UV_RUN_DEFAULT) != 0)
    uv_walk (&kernel->loop, close_handle, NULL);
  FB_INVARIANT (uv_loop_close (&kernel->loop) == 0);
  for (guint i = kernel->services->len; i-- > 0;)
    {
      service_t *service = g_ptr_array_index (kernel->services, i);
      if (service->vtable->destroy)
        service->vtable->destroy (service->data);
      g_free (service->name);
      g_free (service);
    }
  g_ptr_array_free (kernel->services, TRUE);
  fb_destroy_log (kernel->log);
  fb_destroy_account (kernel->account);
  fb_destroy_counters (kernel->counters);
  fb_destroy_clock (kernel->clock);
  g_free (kernel);
}

void
fk_register_service (fk_kernel_t *kernel, const char *name, const fk_service_t *vtable,
                     void *data)
{
  service_t *service;

  FB_INVARIANT (fk_find_service (kernel, name) == NULL);
  service = g_new0 (service_t, 1);
  service->name = g_strdup (name);
  service->vtable = vtable;
  service->data = data;
  g_ptr_array_add (kernel->services, service);
}

void *
fk_find_service (fk_kernel_t *kernel, const char *name)
{
  for (guint i = 0; i < kernel->services->len; i++)
    {
      service_t *service = g_ptr_array_index (kernel->services, i);
      if (g_str_equal (service->name, name))
        return service->data;
    }
  return NULL;
}

fb_status_t
fk_start_services (fk_kernel_t *kernel)
{
  for (guint i = 0; i < kernel->services->len; i++)
    {
      service_t *service = g_ptr_array_index (kernel->services, i);
      fb_status_t status = FB_OK;

      service->started = true;
      if (service->vtable->start)
        status = service->vtable->start (kernel, service->data);
      if (status != FB_OK)
        {
          FB_LOG (kernel->log, FB_LOG_ERROR, "kernel", "cannot start service",
                  FB_TEXT ("name", service->name),
                  FB_TEXT ("status", fb_describe_status (status)));
          return status;
        }
    }
  return FB_OK;
}

void
fk_run (fk_kernel_t *kernel)
{
  uv_run (&kernel->loop, UV_RUN_DEFAULT);
}

void
fk_quit (fk_kernel_t *kernel)
{
  uv_stop (&kernel->loop);
}

uv_loop_t *
fk_get_loop (fk_kernel_t *kernel)
{
  return &kernel->loop;
}

const fb_clock_t *
fk_get_clock (fk_kernel_t *kernel)
{
  return kernel->clock;
}

fb_counters_t *
fk_get_counters (fk_kernel_t *kernel)
{
  return kernel->counters;
}

fb_account_t *
fk_get_account (fk_kernel_t *kernel)
{
  return kernel->account;
}

fb_log_t *
fk_get_log (fk_kernel_t *kernel)
{
  return kernel->log;
}

void
fk_watch_reload (fk_kernel_t *kernel, fk_callback_fn_t callback, void *user)
{
  kernel->reload_callback = callback;
  kernel->reload_user = user;
  uv_signal_init (&kernel->loop, &kernel->reload_signal);
  kernel->reload_signal.data = kernel;
  uv_signal_start (&kernel->reload_signal, handle_reload_signal, SIGHUP);
}

void
fk_watch_signals (fk_kernel_t *kernel, fk_callback_fn_t callback, void *user)
{
  static const int signal_numbers[] = { SIGTERM, SIGINT };

  kernel->termination_callback = callback;
  kernel->termination_user = user;
  for (size_t i = 0; i < G_N_ELEMENTS (signal_numbers); i++)
    {
      uv_signal_init (&kernel->loop, &kernel->termination_signals[i]);
      kernel->termination_signals[i].data = kernel;
      uv_signal_start (&kernel->termination_signals[i], handle_termination_signal,
                       signal_numbers[i]);
    }
}
