/* Check whether a server listens, by a connection on which nothing is sent. */
#ifndef FOXTAILRUN_HTTP_PROBE_H
#define FOXTAILRUN_HTTP_PROBE_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/kernel/kernel.h>

typedef enum
{
  FH_LISTENING,
  FH_NOT_LISTENING, /* the host refused the connection: no process listens */
  FH_NO_REPLY       /* neither within the limit; nothing is known */
} fh_listening_t;

typedef void (*fh_probed_fn_t) (fh_listening_t listening, void *user);

typedef struct fh_probe fh_probe_t;

/* Connects to ADDRESS and PORT within TIMEOUT in ns, and closes the connection. PROBED is
 * called once from the loop, never within this call, unless cancelled first; the probe is freed
 * after it. */
fh_probe_t *fh_start_probe (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port,
                            fb_time_t timeout, fh_probed_fn_t probed, void *user);

/* Ends PROBE without its callback and frees it; NULL is allowed. */
void fh_cancel_probe (fh_probe_t *probe);

#endif
