/* The socket of a client's connection: options, and how its stream has ended. */
#include "http-client-state.h"
#include "http-transfer.h"
#include <netinet/tcp.h>
#include <sys/socket.h>

/* TCP keep-alive probes: detect an unresponsive server within 3 s. */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 2

/* Close when sent bytes stay unacknowledged for this long. */
#define USER_TIMEOUT_MS 3000

static void
set_option (int descriptor, int level, int option, int value)
{
  setsockopt (descriptor, level, option, &value, sizeof value);
}

void
fh_detect_dead_peer (const connection_t *connection)
{
  uv_os_fd_t descriptor;

  if (uv_fileno ((const uv_handle_t *)&connection->stream, &descriptor) != 0)
    return;
  set_option (descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (descriptor, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S);
  set_option (descriptor, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
  set_option (descriptor, IPPROTO_TCP, TCP_KEEPCNT, PROBE_COUNT);
  set_option (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
}

bool
fh_has_orderly_end (const connection_t *connection, ssize_t error)
{
  uv_os_fd_t descriptor;

  return error == UV_EOF
         && uv_fileno ((const uv_handle_t *)&connection->stream, &descriptor) == 0
         && fh_has_received_fin (descriptor, connection->received_bytes);
}
