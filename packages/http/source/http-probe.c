#include <foxtailrun/http/probe.h>
#include <glib.h>
#include <uv.h>

struct fh_probe
{
  uv_tcp_t stream;
  uv_timer_t timer;
  uv_connect_t connect_request;
  int open_handles;
  fh_probed_fn_t probed; /* NULL once reported or cancelled */
  void *user;
};

static void
free_closed (uv_handle_t *handle)
{
  fh_probe_t *probe = handle->data;

  if (--probe->open_handles == 0)
    g_free (probe);
}

static void
close_probe (fh_probe_t *probe)
{
  uv_close ((uv_handle_t *)&probe->stream, free_closed);
  uv_close ((uv_handle_t *)&probe->timer, free_closed);
}

static void
report (fh_probe_t *probe, fh_listening_t listening)
{
  fh_probed_fn_t probed = probe->probed;

  if (!probed)
    return;
  probe->probed = NULL;
  close_probe (probe);
  probed (listening, probe->user);
}

static void
complete_connect (uv_connect_t *request, int status)
{
  if (status == 0)
    report (request->data, FH_LISTENING);
  else
    report (request->data, status == UV_ECONNREFUSED ? FH_NOT_LISTENING : FH_NO_REPLY);
}

static void
expire (uv_timer_t *timer)
{
  report (timer->data, FH_NO_REPLY);
}

fh_probe_t *
fh_start_probe (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port, fb_time_t timeout,
                fh_probed_fn_t probed, void *user)
{
  fh_probe_t *probe = g_new0 (fh_probe_t, 1);
  uv_loop_t *loop = fk_get_loop (kernel);
  struct sockaddr_in server;
  bool started;

  probe->probed = probed;
  probe->user = user;
  uv_tcp_init (loop, &probe->stream);
  uv_timer_init (loop, &probe->timer);
  probe->open_handles = 2;
  probe->stream.data = probe;
  probe->timer.data = probe;
  probe->connect_request.data = probe;
  started = uv_ip4_addr (address->data, port, &server) == 0
            && uv_tcp_connect (&probe->connect_request, &probe->stream,
                               (const struct sockaddr *)&server, complete_connect)
                   == 0;
  /* The timer reports an immediate failure. */
  uv_timer_start (&probe->timer, expire, started ? (uint64_t)(timeout / FB_MILLISECOND) : 0, 0);
  return probe;
}

void
fh_cancel_probe (fh_probe_t *probe)
{
  if (!probe)
    return;
  probe->probed = NULL;
  close_probe (probe);
}
