/* Micro-kernel: an event loop on one thread and a registry of services. */
#ifndef FOXTAILRUN_KERNEL_KERNEL_H
#define FOXTAILRUN_KERNEL_KERNEL_H

#include <foxtailrun/base/account.h>
#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/log.h>
#include <uv.h>

typedef struct fk_kernel fk_kernel_t;
typedef struct fk_timer fk_timer_t;

/* Callbacks of a service, with its DATA as registered; each may be NULL. */
typedef struct
{
  fb_status_t (*start) (fk_kernel_t *kernel, void *data);
  void (*stop) (void *data); /* close handles on the loop; called in reverse order of start */
  void (*destroy) (void *data); /* free DATA; called after the loop is closed */
} fk_service_t;

/* Creates a kernel with its own loop, clock and counters. Takes ownership of LOG (may be
 * NULL). */
fk_kernel_t *fk_create_kernel (fb_log_t *log);

/* Stops and destroys all services, closes the loop, frees the kernel; NULL is allowed. */
void fk_destroy_kernel (fk_kernel_t *kernel);

/* Registers a service; NAME must be unused. Takes ownership of DATA; VTABLE is borrowed and
 * must outlive the kernel. */
void fk_register_service (fk_kernel_t *kernel, const char *name, const fk_service_t *vtable,
                          void *data);

/* Returns the data of service NAME, borrowed, or NULL if not registered. */
void *fk_find_service (fk_kernel_t *kernel, const char *name);

/* Starts services in order of registration. Logs and returns the first failure, and stops
 * there. */
fb_status_t fk_start_services (fk_kernel_t *kernel);

/* Runs the loop until fk_quit is called. */
void fk_run (fk_kernel_t *kernel);

/* Makes fk_run return. */
void fk_quit (fk_kernel_t *kernel);

/* Return objects that the kernel owns. */
uv_loop_t *fk_get_loop (fk_kernel_t *kernel);
const fb_clock_t *fk_get_clock (fk_kernel_t *kernel);
fb_counters_t *fk_get_counters (fk_kernel_t *kernel);
fb_account_t *fk_get_account (fk_kernel_t *kernel); /* settled by the kernel */
fb_log_t *fk_get_log (fk_kernel_t *kernel);

typedef void (*fk_callback_fn_t) (void *user);

/* Calls CALLBACK every PERIOD ns, rounded up to ms; destroy with fk_destroy_timer. */
fk_timer_t *fk_create_timer (fk_kernel_t *kernel, fb_time_t period, fk_callback_fn_t callback,
                             void *user);

/* Stops TIMER until fk_resume_timer, so that it does not wake an idle process. */
void fk_pause_timer (fk_timer_t *timer);

/* Restarts a paused periodic TIMER; it next expires after a full period. */
void fk_resume_timer (fk_timer_t *timer);

/* Calls CALLBACK once after DELAY ns, rounded up to ms; destroy with fk_destroy_timer, also
 * after the call. */
fk_timer_t *fk_create_timeout (fk_kernel_t *kernel, fb_time_t delay, fk_callback_fn_t callback,
                               void *user);

/* Stops and frees the timer; NULL is allowed. */
void fk_destroy_timer (fk_timer_t *timer);

/* Calls CALLBACK on SIGHUP, which by default would terminate the process. */
void fk_watch_reload (fk_kernel_t *kernel, fk_callback_fn_t callback, void *user);

/* Calls CALLBACK on SIGTERM or SIGINT. */
void fk_watch_signals (fk_kernel_t *kernel, fk_callback_fn_t callback, void *user);

#endif
