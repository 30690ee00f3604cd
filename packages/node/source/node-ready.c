/* Readiness endpoint on a separate port, for health checks of a platform. */
#include "node-limits.h"
#include "node-services.h"
#include <foxtailrun/http/server.h>
#include <glib.h>

#define READY_BODY_MAX_BYTES 1024

typedef struct
{
  fk_kernel_t *kernel;
  fh_server_t *server;
} ready_t;

static void
handle_request (fh_request_t *request, void *user)
{
  ready_t *ready = user;
  bool is_serving = fn_is_ready (fk_find_service (ready->kernel, FN_DISTRIBUTION))
                    && !fn_is_draining (ready->kernel);

  fh_respond (request, is_serving ? 200 : 503, NULL, 0, (fb_bytes_t){ NULL, 0 });
}

static fb_status_t
start_ready (fk_kernel_t *kernel, void *data)
{
  ready_t *ready = data;
  const fc_settings_t *settings = fn_get_settings (kernel);

  if (settings->ready_port == 0)
    return FB_OK;
  ready->server = fh_create_server (kernel, &settings->address, settings->ready_port,
                                    READY_BODY_MAX_BYTES, handle_request, ready);
  if (!ready->server)
    return FB_IO;
  fn_limit_server (kernel, ready->server, FN_SHARE_READY);
  return FB_OK;
}

static void
stop_ready (void *data)
{
  ready_t *ready = data;

  if (ready->server)
    fh_stop_accepting (ready->server);
}

static void
destroy_ready (void *data)
{
  ready_t *ready = data;

  fh_destroy_server (ready->server);
  g_free (ready);
}

void
fn_register_ready (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { start_ready, stop_ready, destroy_ready };
  ready_t *ready = g_new0 (ready_t, 1);

  ready->kernel = kernel;
  fk_register_service (kernel, FN_READY, &vtable, ready);
}
