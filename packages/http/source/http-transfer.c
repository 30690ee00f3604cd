/* In its own file: the headers of libuv include <netinet/tcp.h>, whose tcp_info is shorter. */
#include "http-transfer.h"
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

void
fh_read_acknowledged (int descriptor, uint64_t *acknowledged)
{
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;

  if (getsockopt (descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0)
    *acknowledged = info.tcpi_bytes_acked;
}
