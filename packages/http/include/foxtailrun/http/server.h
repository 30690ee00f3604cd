/* HTTP server on the kernel's loop, without streaming: messages are buffered in memory.
 * Requests that a caller sends before the response to an earlier one are read as they arrive
 * and answered in their order. */
#ifndef FOXTAILRUN_HTTP_SERVER_H
#define FOXTAILRUN_HTTP_SERVER_H

#include "message.h"
#include <foxtailrun/kernel/kernel.h>

typedef struct fh_server fh_server_t;
typedef struct fh_request fh_request_t;

/* Takes ownership of REQUEST; answer it exactly once by fh_respond or
 * fh_respond_close_delimited, also after cancellation. */
typedef void (*fh_handler_fn_t) (fh_request_t *request, void *user);

/* Called when the caller closed its connection; REQUEST must still be answered, which frees
 * it. */
typedef void (*fh_cancelled_fn_t) (fh_request_t *request, void *user);

/* Returns whether REQUEST may be handled beside others of its connection. It can run before
 * those ahead of it are answered, and those behind it before it is. */
typedef bool (*fh_overlap_check_fn_t) (const fh_request_t *request, void *user);

/* Listens for requests with bodies of at most BODY_MAX bytes. On failure, logs the error
 * and returns NULL. */
fh_server_t *fh_create_server (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port,
                               size_t body_max, fh_handler_fn_t handler, void *user);

/* Sets how many requests of one connection may be unanswered, and the bytes held for them;
 * past either limit the connection is not read. MAY_OVERLAP gets the USER of the server and is
 * asked about requests that arrive behind an unanswered one; without it they are handled one by
 * one. */
void fh_set_pipeline (fh_server_t *server, size_t requests_max, size_t bytes_max,
                      fh_overlap_check_fn_t may_overlap);

/* Stops accepting connections and closes idle ones; requests in flight are completed. */
void fh_stop_accepting (fh_server_t *server);

/* Sets the time limit in ns for receiving a request and for idle connections. */
void fh_set_idle_timeout (fh_server_t *server, fb_time_t timeout);

/* Limits of a connection's transfers; times in ns. */
typedef struct
{
  fb_time_t header_timeout;  /* for a head from its first byte on */
  fb_time_t body_window;     /* in which a body must make progress */
  fb_time_t response_window; /* in which a response must make progress */
  size_t progress_bytes;     /* least progress in a window */
} fh_timeouts_t;

/* Sets the time limits of transfers; the defaults are FH_TIMEOUTS_DEFAULT. */
void fh_set_timeouts (fh_server_t *server, const fh_timeouts_t *timeouts);

#define FH_TIMEOUTS_DEFAULT                                                                    \
  ((fh_timeouts_t){ 10 * FB_SECOND, 10 * FB_SECOND, 30 * FB_SECOND, 1024 })

/* Sets how many connections may be open; 0 for no limit, the default. At the limit the longest
 * idle one is closed for a new one, or one without progress for 2 s; without either none is
 * accepted. */
void fh_set_connections_max (fh_server_t *server, size_t connections_max);

/* Tells how often the owner of SERVER holds the body of a request that it handles, for the
 * account of memory; the default is once, by the request itself. */
void fh_set_request_copies (fh_server_t *server, size_t copies);

/* Makes the account of memory count what SERVER holds as administration. */
void fh_set_admin (fh_server_t *server);

/* Returns the number of requests not yet answered. */
size_t fh_count_requests (const fh_server_t *server);

/* Frees the server; its handles must be closed: call after the loop has ended. NULL is
 * allowed. */
void fh_destroy_server (fh_server_t *server);

/* Return views of the request, valid until it is answered. */
fb_str_t fh_get_method (const fh_request_t *request);
fb_str_t fh_get_path (const fh_request_t *request);
fb_str_t fh_get_host (const fh_request_t *request);
fb_bytes_t fh_get_body (const fh_request_t *request);
size_t fh_get_headers (const fh_request_t *request, const fh_header_t **headers);

/* Returns the kernel's time in ns at which the request was complete. */
fb_time_t fh_get_arrival_time (const fh_request_t *request);

/* Sets the callback, called at most once, for a caller that closes before the response. */
void fh_set_cancelled_handler (fh_request_t *request, fh_cancelled_fn_t cancelled, void *user);

/* Sends a copy of the response and frees REQUEST. Skips hop-by-hop headers, content-length,
 * server and date in HEADERS; the server sets those needed. */
void fh_respond (fh_request_t *request, uint32_t status, const fh_header_t *headers,
                 size_t count, fb_bytes_t body);

/* As fh_respond, for a body that may be incomplete: sent without a length, ends with the
 * connection. */
void fh_respond_close_delimited (fh_request_t *request, uint32_t status,
                                 const fh_header_t *headers, size_t count, fb_bytes_t body);

/* Closes each connection after its next response. */
void fh_disable_keep_alive (fh_server_t *server);

#endif
