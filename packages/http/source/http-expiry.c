/* Time limits of HTTP/1 connections: idle ones, heads, bodies and responses without progress.
 */
#include "http-connection-state.h"

/* Time in which a caller may close a connection after its last response. Closing first, with
 * bytes of the caller unread, would reset the connection and may destroy that response. */
#define LINGER_MS 1000

/* Time without progress after which a transfer may be ended for a new connection. Longer than
 * the retransmission of a lost segment takes, also twice in a row. */
#define SLOW_MS 2000

/* Time between two checks of the connections in a transfer. */
#define TRANSFER_CHECK_MS 500

static uint64_t
read_loop_time (const fh_server_t *server)
{
  return uv_now (fk_get_loop (server->kernel));
}

static void
start_expiry (fh_server_t *server, uint64_t delay_ms)
{
  if (!uv_is_active ((uv_handle_t *)&server->expiry)
      || uv_timer_get_due_in (&server->expiry) > delay_ms)
    uv_timer_start (&server->expiry, fh_expire_connections, delay_ms, 0);
}

void
fh_leave_queue (fh_connection_t *connection)
{
  if (connection->queue)
    g_queue_unlink (connection->queue, &connection->queue_link);
  connection->queue = NULL;
}

/* Returns the bytes moved so far in the direction of the phase. */
static uint64_t
get_progress (const fh_connection_t *connection)
{
  if (connection->phase != FH_PHASE_SEND)
    return connection->received_bytes;
  return connection->queued_bytes
         - uv_stream_get_write_queue_size ((const uv_stream_t *)connection->stream);
}

static void
start_window (fh_connection_t *connection, uint64_t now)
{
  connection->window_since = now;
  connection->window_mark = get_progress (connection);
}

static fh_phase_t
find_phase (const fh_connection_t *connection)
{
  if (connection->unsent_bytes > 0)
    return FH_PHASE_SEND;
  if (connection->is_lingering)
    return FH_PHASE_LINGER;
  if (connection->paused)
    return FH_PHASE_NONE;
  if (!connection->read_ended && !fh_is_between_requests (connection->reader))
    return fh_has_head (connection->reader) ? FH_PHASE_BODY : FH_PHASE_HEAD;
  return fh_is_pipeline_empty (&connection->pipeline) ? FH_PHASE_IDLE : FH_PHASE_NONE;
}

static bool
waits_for_peer (fh_phase_t phase)
{
  return phase == FH_PHASE_HEAD || phase == FH_PHASE_BODY || phase == FH_PHASE_SEND;
}

void
fh_update_phase (fh_connection_t *connection)
{
  fh_server_t *server = connection->server;
  fh_phase_t phase = find_phase (connection);

  if (phase == connection->phase)
    return;
  fh_leave_queue (connection);
  connection->phase = phase;
  connection->phase_since = read_loop_time (server);
  if (connection->holder.waits_for_peer || waits_for_peer (phase))
    fb_set_peer_turn (&connection->holder, waits_for_peer (phase),
                      fb_read_clock (fk_get_clock (server->kernel)));
  if (phase == FH_PHASE_NONE)
    return;
  if (phase == FH_PHASE_IDLE)
    {
      connection->queue = &server->waiting;
      /* An idle connection makes room for one that waits to be accepted. */
      start_expiry (server, server->accept_pending ? 0 : server->idle_timeout_ms);
    }
  else if (phase == FH_PHASE_LINGER)
    {
      connection->queue = &server->lingering;
      start_expiry (server, LINGER_MS);
    }
  else
    {
      connection->queue = &server->transfers;
      start_window (connection, connection->phase_since);
      connection->counted = connection->window_mark;
      start_expiry (server, TRANSFER_CHECK_MS);
    }
  g_queue_push_tail_link (connection->queue, &connection->queue_link);
}

/* Closes the connections that were in QUEUE for TIMEOUT_MS; returns the time in ms until the
 * next one is, or UINT64_MAX. */
static uint64_t
expire_queue (GQueue *queue, uint64_t timeout_ms, uint64_t now)
{
  while (queue->head)
    {
      fh_connection_t *connection = queue->head->data;
      uint64_t expires_at = connection->phase_since + timeout_ms;

      if (expires_at > now)
        return expires_at - now;
      fh_close_connection (connection);
    }
  return UINT64_MAX;
}

/* Returns whether the window of CONNECTION has ended without enough progress; starts the next
 * one if it was enough. */
static bool
has_stalled (fh_connection_t *connection, uint64_t window_ms, uint64_t now)
{
  if (now - connection->window_since < window_ms)
    return false;
  if (get_progress (connection) - connection->window_mark
      < connection->server->timeouts.progress_bytes)
    return true;
  start_window (connection, now);
  return false;
}

/* Passes the progress since the last check to the account. */
static void
count_progress (fh_connection_t *connection)
{
  uint64_t progress = get_progress (connection);

  fb_count_progress (&connection->holder, (size_t)(progress - connection->counted),
                     fb_read_clock (fk_get_clock (connection->server->kernel)));
  connection->counted = progress;
}

/* The log's limit keeps it to a line a second. */
static void
log_slow (const fh_server_t *server, const char *part)
{
  FB_LOG (fk_get_log (server->kernel), FB_LOG_INFO, "http",
          "closed a connection without progress", FB_TEXT ("part", part));
}

static void
check_transfer (fh_connection_t *connection, uint64_t now)
{
  fh_server_t *server = connection->server;
  const fh_timeouts_t *timeouts = &server->timeouts;

  count_progress (connection);
  /* The caller is not to blame while its bytes wait to be read. */
  if (connection->phase != FH_PHASE_SEND && connection->holder.paused
      && connection->holder.class->has_input (&connection->holder))
    {
      connection->phase_since = now;
      start_window (connection, now);
      return;
    }
  if (connection->phase == FH_PHASE_HEAD
      && now - connection->phase_since >= (uint64_t)(timeouts->header_timeout / FB_MILLISECOND))
    {
      fb_add_counter (server->slow_heads, 1);
      log_slow (server, "head");
      fh_reject_incomplete (connection, 408);
    }
  else if (connection->phase == FH_PHASE_BODY
           && has_stalled (connection, (uint64_t)(timeouts->body_window / FB_MILLISECOND), now))
    {
      fb_add_counter (server->slow_bodies, 1);
      log_slow (server, "body");
      fh_reject_incomplete (connection, 408);
    }
  else if (connection->phase == FH_PHASE_SEND
           && has_stalled (connection, (uint64_t)(timeouts->response_window / FB_MILLISECOND),
                           now))
    {
      fb_add_counter (server->slow_readers, 1);
      log_slow (server, "response");
      fh_close_connection (connection);
    }
}

static uint64_t
check_transfers (fh_server_t *server, uint64_t now)
{
  /* A check may move other connections to other queues, where a check does nothing or the loop
   * ends early; none is freed within it. */
  for (GList *link = server->transfers.head, *next; link; link = next)
    {
      next = link->next;
      check_transfer (link->data, now);
    }
  return server->transfers.head ? TRANSFER_CHECK_MS : UINT64_MAX;
}

bool
fh_close_slow_connection (fh_server_t *server)
{
  uint64_t now = read_loop_time (server);

  for (GList *link = server->transfers.head; link; link = link->next)
    {
      fh_connection_t *connection = link->data;
      uint64_t since = connection->phase == FH_PHASE_HEAD ? connection->phase_since
                                                          : connection->window_since;
      bool moves = connection->phase != FH_PHASE_HEAD
                   && get_progress (connection) - connection->window_mark
                          >= server->timeouts.progress_bytes;

      if (now - since < SLOW_MS || moves)
        continue;
      fh_close_connection (connection);
      return true;
    }
  return false;
}

void
fh_expire_connections (uv_timer_t *timer)
{
  fh_server_t *server = timer->data;
  uint64_t now = read_loop_time (server);
  uint64_t next = MIN (expire_queue (&server->waiting, server->idle_timeout_ms, now),
                       expire_queue (&server->lingering, LINGER_MS, now));

  next = MIN (next, check_transfers (server, now));
  fh_accept_pending (server);
  if (next != UINT64_MAX)
    start_expiry (server, next);
}
