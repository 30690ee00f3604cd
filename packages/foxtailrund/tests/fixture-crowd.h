/* A crowd of clients that hold a server's memory: each sends bytes as fast as the server takes
 * them, reads nothing and stays open. Sockets without a library, so that nothing limits them.
 */
#ifndef FOXTAILRUND_FIXTURE_CROWD_H
#define FOXTAILRUND_FIXTURE_CROWD_H

#include <foxtailrun/base/string.h>
#include <glib.h>

typedef struct crowd crowd_t;

/* What each client sends; the bytes are borrowed until crowd_stop. */
typedef struct
{
  size_t clients;
  fb_bytes_t first;    /* sent once */
  fb_bytes_t repeated; /* sent REPEATS times after it */
  size_t repeats;
  int receive_buffer; /* size of the socket's receive buffer in bytes; 0 for the system's */
} crowd_plan_t;

/* Connects the clients to ADDRESS and PORT, from CROWD_SOURCES loopback addresses in turn, and
 * sends until no client gets rid of further bytes, at most for 10 s. A refused or closed
 * connection is no error. */
crowd_t *crowd_start (const crowd_plan_t *plan, const fb_name_t *address, uint16_t port);

/* Returns how many bytes the clients have sent. */
uint64_t crowd_count_sent (const crowd_t *crowd);

/* Closes the connections and frees CROWD. */
void crowd_stop (crowd_t *crowd);

#define CROWD_SOURCES 8

/* Return the peak resident memory in kB and the open descriptors of process PID. */
uint64_t crowd_read_peak_kb (GPid pid);
size_t crowd_count_descriptors (GPid pid);

#endif
