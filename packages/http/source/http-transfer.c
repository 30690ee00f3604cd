/* In its own file: the headers of libuv include <netinet/tcp.h>, whose tcp_info is shorter. */
#include "http-transfer.h"
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

static bool
read_info (int descriptor, struct tcp_info *info)
{
  socklen_t length = sizeof *info;

  *info = (struct tcp_info){ 0 };
  return getsockopt (descriptor, IPPROTO_TCP, TCP_INFO, info, &length) == 0;
}

void
fh_read_acknowledged (int descriptor, uint64_t *acknowledged)
{
  struct tcp_info info;

  if (read_info (descriptor, &info))
    *acknowledged = info.tcpi_bytes_acked;
}

bool
fh_has_received_fin (int descriptor, uint64_t received)
{
  struct tcp_info info;

  /* FIN takes a sequence number and counts as a byte. The state does not tell: a reset behind
   * FIN closes the connection too. */
  return read_info (descriptor, &info) && info.tcpi_bytes_received == received + 1;
}
