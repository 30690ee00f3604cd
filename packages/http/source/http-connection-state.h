/* State of an HTTP/1 connection, shared by its files. */
#ifndef FOXTAILRUN_HTTP_CONNECTION_STATE_H
#define FOXTAILRUN_HTTP_CONNECTION_STATE_H

#include "http-server-state.h"

/* What a connection waits for. */
typedef enum
{
  FH_PHASE_NONE,  /* for this process: a request is being handled */
  FH_PHASE_IDLE,  /* for the next request */
  FH_PHASE_HEAD,  /* for the rest of a head */
  FH_PHASE_BODY,  /* for the rest of a body */
  FH_PHASE_SEND,  /* for the caller to take responses */
  FH_PHASE_LINGER /* for the caller to close */
} fh_phase_t;

struct fh_connection
{
  fh_server_t *server;
  fh_stream_t *stream; /* NULL once closed or handed over */
  fh_request_reader_t *reader;
  fh_pipeline_t pipeline;
  GByteArray *input; /* received but not parsed, while the pipeline is full */
  fb_holder_t holder;
  size_t unsent_bytes;   /* of all writes that the operating system has not taken in full */
  size_t unsent_held;    /* bytes of the responses of these writes */
  uint64_t queued_bytes; /* of all writes so far that it did not take at once */
  bool running;          /* advance_connection is running */
  bool paused;           /* not read because of a limit of the pipeline */
  bool is_reading;       /* the stream is read */
  bool read_ended;       /* no further request is accepted */
  bool continue_sent;    /* for the request being read */
  bool is_lingering;
  uv_shutdown_t shutdown;
  fh_phase_t phase;
  uint64_t phase_since;    /* in ms */
  uint64_t window_since;   /* in ms; start of the window in which progress is demanded */
  uint64_t received_bytes; /* of all requests */
  uint64_t window_mark;    /* progress at WINDOW_SINCE */
  uint64_t counted;        /* progress that the account knows */
  GQueue *queue;           /* of the server, NULL when in none */
  GList link;              /* in connections of the server */
  GList queue_link;        /* in QUEUE */
};

/* http-connection.c */

/* Closes CONNECTION and cancels its requests. */
void fh_close_connection (fh_connection_t *connection);

bool fh_is_connection_closing (const fh_connection_t *connection);

/* Answers the incomplete request with STATUS behind those before it, then closes. */
void fh_reject_incomplete (fh_connection_t *connection, uint32_t status);

/* Handles LENGTH bytes that were read, or an error. */
void fh_receive_bytes (uv_stream_t *handle, ssize_t length, const uv_buf_t *buffer);

/* http-expiry.c */

/* Puts CONNECTION into the queue of what it waits for now. */
void fh_update_phase (fh_connection_t *connection);

void fh_leave_queue (fh_connection_t *connection);

/* http-holder.c */

/* Adds CONNECTION to the process's account. */
void fh_add_connection_holder (fh_connection_t *connection);

/* Tells the account what CONNECTION holds, and stops or starts to read it. */
void fh_update_holder (fh_connection_t *connection);

/* Starts or stops to read, as the pipeline and the account allow. */
void fh_update_reading (fh_connection_t *connection);

#endif
