/* Backend service: health checks, by which the backend server says whether it is cold. They are
 * sent only for a service with warmup_rate. */
#include "node-backend.h"

/* Limit of a health check; the server runs on the same host. */
#define CHECK_TIMEOUT FB_SECOND

/* Least time between two health checks, also of an instance that gets, or loses, very many
 * calls.
 */
#define CHECK_SPACING_MIN (50 * FB_MILLISECOND)

#define CONNECT_TIMEOUT (250 * FB_MILLISECOND)

/* Largest body of a health response; more is not read. */
#define RESPONSE_BODY_MAX (64 * 1024)

struct fn_health
{
  fn_backend_t *backend;
  fh_client_t *client; /* NULL until the first check */
  fh_exchange_t *exchange;
  fk_timer_t *timer; /* until the next check, or the end of the open one; NULL when none */
  fb_time_t checked_at;
  fb_time_t timer_ends_at; /* valid with a timer */
  bool suspended;
  bool stopped;
  bool was_cold; /* as last logged */
  fb_counter_t *checks;
  fb_counter_t *unusable; /* responses that say nothing about this instance */
  fb_counter_t *left_ms;
};

static void run_check (void *user);

fn_health_t *
fn_create_health (fn_backend_t *backend)
{
  fn_health_t *health = g_new0 (fn_health_t, 1);
  fb_counters_t *counters = fk_get_counters (backend->kernel);

  health->backend = backend;
  health->checks = fb_find_counter (counters, "backend_health_checks", "");
  health->unusable = fb_find_counter (counters, "backend_unusable_health_responses", "");
  health->left_ms = fb_find_counter (counters, "backend_warmup_left_ms", "");
  return health;
}

static void
cancel_check (fn_health_t *health)
{
  if (health->exchange)
    fh_cancel_exchange (g_steal_pointer (&health->exchange));
}

/* Ends the open check and the wait for the next one. */
static void
pause_checks (fn_health_t *health)
{
  cancel_check (health);
  fk_destroy_timer (g_steal_pointer (&health->timer));
}

void
fn_stop_health (fn_health_t *health)
{
  health->stopped = true;
  pause_checks (health);
  fh_destroy_client (g_steal_pointer (&health->client));
}

void
fn_destroy_health (fn_health_t *health)
{
  g_free (health);
}

/* Returns the configuration of the service, or NULL. */
static const fc_service_t *
find_service (const fn_backend_t *backend)
{
  fc_snapshot_t *snapshot
      = fn_get_snapshot (fk_find_service (backend->kernel, FN_DISTRIBUTION));

  return snapshot ? fc_find_service (
             snapshot, fb_get_name (&fn_get_settings (backend->kernel)->service), NULL)
                  : NULL;
}

/* Returns whether health checks are sent: not to an instance that is not listed, which may
 * belong to somebody else. */
static bool
may_check (const fn_health_t *health)
{
  const fn_backend_t *backend = health->backend;

  return !health->stopped && !health->suspended && backend->client
         && fr_has_warmup (backend->warmup)
         && (!fn_get_adapter (backend->kernel)->source_lists_endpoints
             || backend->local.instance.len > 0);
}

static void
schedule_check (fn_health_t *health, fb_time_t delay)
{
  fk_destroy_timer (health->timer);
  health->timer = fk_create_timeout (health->backend->kernel, delay, run_check, health);
  health->timer_ends_at = fb_read_clock (fk_get_clock (health->backend->kernel)) + delay;
}

/* Sets the gauge and logs a change between cold and warm; not without REASON. */
static void
report_state (fn_health_t *health, const char *reason)
{
  fn_backend_t *backend = health->backend;
  const fc_service_t *service = find_service (backend);
  bool cold = fr_is_cold (backend->warmup);
  fb_time_t left_ms
      = (fr_get_cold_time (backend->warmup) + FB_MILLISECOND - 1) / FB_MILLISECOND;

  if (fr_is_assumed_cold (backend->warmup) && service)
    left_ms = service->warmup_ms;
  fb_set_counter (health->left_ms, (uint64_t)left_ms);
  if (cold == health->was_cold || !reason)
    return;
  health->was_cold = cold;
  FB_LOG (fk_get_log (backend->kernel), FB_LOG_INFO, FN_BACKEND,
          cold ? "backend server is cold" : "backend server is warm",
          FB_TEXT ("instance", backend->local.instance.data), FB_TEXT ("cause", reason),
          FB_NUMBER ("assumed", fr_is_assumed_cold (backend->warmup)),
          FB_NUMBER ("left_ms", left_ms),
          FB_NUMBER ("started", fr_count_started (backend->admission)),
          FB_NUMBER ("waiting", fr_count_waiting (backend->admission)));
}

static fb_str_t
find_header (const fh_response_t *response, fb_str_t name)
{
  return name.len > 0 ? fh_find_header (response->headers, response->header_count, name)
                      : (fb_str_t){ NULL, 0 };
}

static fb_str_t
get_full_id (const fn_backend_t *backend)
{
  return fw_get_instance_id (&backend->local.instance, &backend->local.full_id);
}

/* Returns whether RESPONSE says how long this instance stays cold, and the time in ns in LEFT.
 */
static bool
read_response (const fn_health_t *health, const fh_response_t *response, fb_time_t *left)
{
  const fn_dialect_t *dialect = fn_get_adapter (health->backend->kernel)->dialect;
  fr_health_response_t fields
      = { response->status, find_header (response, dialect->instance_id),
          find_header (response, dialect->warmup_ms) };

  return response->result == FH_ANSWERED
         && fr_read_health_response (&fields, get_full_id (health->backend), left) == FB_OK;
}

static void
end_check (const fh_response_t *response, void *user)
{
  fn_health_t *health = user;
  fn_backend_t *backend = health->backend;
  fb_time_t now = fb_read_clock (fk_get_clock (backend->kernel));
  fb_time_t left;

  health->exchange = NULL;
  if (response->result == FH_NOT_SENT)
    {
      fr_assume_cold (backend->warmup);
      report_state (health, "no connection");
    }
  else if (read_response (health, response, &left))
    {
      bool was_cold = fr_is_cold (backend->warmup);

      fr_set_cold_until (backend->warmup, now + left);
      fn_follow_warmup (backend, was_cold);
      report_state (health, "health response");
      fr_tick_admission (backend->admission);
    }
  else
    fb_add_counter (health->unusable, 1);
  schedule_check (health,
                  MAX (health->checked_at + fr_get_health_check_period (backend->warmup) - now,
                       FB_MILLISECOND));
}

static void
send_check (fn_health_t *health, fb_str_t path)
{
  fn_backend_t *backend = health->backend;
  const fc_settings_t *settings = fn_get_settings (backend->kernel);
  const fn_dialect_t *dialect = fn_get_adapter (backend->kernel)->dialect;
  const fb_name_t *instance = &backend->local.instance;
  fh_header_t headers[1];
  fh_client_request_t request = {
    .method = FB_LITERAL ("GET"), .path = path, .headers = headers, .new_connection = true
  };

  /* Its own client and a new connection each time: a health response carries no request id, so
   * that a late response to an earlier request could be taken for it. */
  if (!health->client)
    {
      health->client
          = fh_create_client (backend->kernel, &settings->backend.address,
                              settings->backend.port, 0, RESPONSE_BODY_MAX, CHECK_TIMEOUT);
      fh_set_connect_timeout (health->client, CONNECT_TIMEOUT);
    }
  if (dialect->instance.len > 0 && instance->len > 0)
    headers[request.header_count++] = (fh_header_t){ dialect->instance, get_full_id (backend) };
  health->checked_at = fb_read_clock (fk_get_clock (backend->kernel));
  fr_count_health_check (backend->warmup);
  fb_add_counter (health->checks, 1);
  health->exchange = fh_send_request (health->client, &request, end_check, health);
  schedule_check (health, CHECK_TIMEOUT);
}

/* Sends the next check, in place of one that has not been answered in time. */
static void
run_check (void *user)
{
  fn_health_t *health = user;
  const fc_service_t *service = find_service (health->backend);
  fb_time_t delay;

  cancel_check (health);
  if (!may_check (health) || !service || service->health.len == 0)
    {
      pause_checks (health);
      return;
    }
  report_state (health, "time has passed");
  delay = fr_request_health_check (health->backend->warmup);
  if (delay > 0)
    schedule_check (health, delay);
  else
    send_check (health, service->health);
}

void
fn_update_health (fn_backend_t *backend, bool check_now)
{
  fn_health_t *health = backend->health;
  fb_time_t now = fb_read_clock (fk_get_clock (backend->kernel));
  fb_time_t check_at = MAX (health->checked_at + CHECK_SPACING_MIN, now);

  if (!may_check (health))
    {
      pause_checks (health);
      return;
    }
  if (!health->timer || (check_now && !health->exchange && check_at < health->timer_ends_at))
    schedule_check (health, check_at - now);
}

void
fn_assume_cold_backend (fk_kernel_t *kernel, const char *reason)
{
  fn_backend_t *backend = fk_find_service (kernel, FN_BACKEND);

  bool changes = fr_assume_cold (backend->warmup);

  if (!fr_has_warmup (backend->warmup) || (!changes && !backend->health->exchange))
    return;
  report_state (backend->health, reason);
  /* A response that is under way may be older than the cause. */
  cancel_check (backend->health);
  fn_update_health (backend, true);
}

void
fn_suspend_health_checks (fk_kernel_t *kernel, bool suspended)
{
  fn_backend_t *backend = fk_find_service (kernel, FN_BACKEND);

  backend->health->suspended = suspended;
  fn_update_health (backend, false);
}

void
fn_update_backend_configuration (fk_kernel_t *kernel)
{
  fn_backend_t *backend = fk_find_service (kernel, FN_BACKEND);
  const fc_service_t *service = find_service (backend);

  fr_configure_warmup (backend->warmup, service ? service->warmup_rate : 0,
                       fn_get_settings (kernel)->warmup_overage);
  report_state (backend->health, "configuration");
  fn_update_health (backend, false);
}

const char *
fn_describe_warmup (fn_backend_t *backend, fb_time_t *left)
{
  *left = fr_get_cold_time (backend->warmup);
  if (!fr_has_warmup (backend->warmup))
    return "none";
  if (fr_is_assumed_cold (backend->warmup))
    return "assumed";
  return fr_is_cold (backend->warmup) ? "cold" : "warm";
}
