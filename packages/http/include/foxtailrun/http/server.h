/* HTTP server on the kernel's loop: whole requests in, whole responses out. */
#ifndef FOXTAILRUN_HTTP_SERVER_H
#define FOXTAILRUN_HTTP_SERVER_H

#include "message.h"
#include <foxtailrun/kernel/kernel.h>

typedef struct fh_server fh_server_t;
typedef struct fh_request fh_request_t;

/* Takes over REQUEST, which must end by fh_respond exactly once, also after it was cancelled.
 */
typedef void (*fh_handler_fn_t) (fh_request_t *request, void *user);

/* The caller's connection is gone; the request still ends by fh_respond. */
typedef void (*fh_cancelled_fn_t) (fh_request_t *request, void *user);

/* Listens on ADDRESS and PORT for requests with bodies of at most BODY_MAX bytes; NULL with the
 * error logged when it cannot. */
fh_server_t *fh_create_server (fk_kernel_t *kernel, const fb_name_t *address, uint16_t port,
                               size_t body_max, fh_handler_fn_t handler, void *user);

/* Stops accepting connections and ends idle ones; requests in flight go on. */
void fh_stop_accepting (fh_server_t *server);

/* Bounds the time in which a request must arrive, and for which a connection may stay idle. */
void fh_set_idle_timeout (fh_server_t *server, fb_time_t timeout);

/* Returns the number of requests not yet answered. */
size_t fh_count_requests (const fh_server_t *server);

/* Frees the server once its handles are closed; call it when the loop is about to end. NULL is
 * allowed. */
void fh_destroy_server (fh_server_t *server);

/* The request's parts, valid until fh_respond; empty once it was cancelled. */
fb_str_t fh_get_method (const fh_request_t *request);
fb_str_t fh_get_path (const fh_request_t *request);
fb_str_t fh_get_host (const fh_request_t *request);
fb_bytes_t fh_get_body (const fh_request_t *request);
size_t fh_get_headers (const fh_request_t *request, const fh_header_t **headers);

/* Sets what to call when the caller's connection closes before the response. */
void fh_set_cancelled_handler (fh_request_t *request, fh_cancelled_fn_t cancelled, void *user);

/* Sends the response, copying all parts, and frees REQUEST. Headers that concern one connection
 * and the length are left out and made anew. */
void fh_respond (fh_request_t *request, uint32_t status, const fh_header_t *headers,
                 size_t count, fb_bytes_t body);

/* The same for a body that may not be whole: it has no length and ends with the connection. */
void fh_respond_close_delimited (fh_request_t *request, uint32_t status,
                                 const fh_header_t *headers, size_t count, fb_bytes_t body);

/* From now on each response ends its connection. */
void fh_disable_keep_alive (fh_server_t *server);

#endif
