/* Quarantine service: tells the nodes beside the instances of a service which requests were
 * running when an instance ended. Each node sends what is news to it to all others of its
 * service, as the one it comes from may end before its own reports get through. A node that
 * starts greets a few others, which send it everything they know. */
#include "node-services.h"
#include <foxtailrun/base/digest.h>
#include <foxtailrun/http/client.h>
#include <foxtailrun/wire/crash.h>
#include <glib.h>
#include <string.h>

/* Time after which a report that failed is sent again. */
#define RESEND_DELAY (500 * FB_MILLISECOND)

#define REPORT_TIMEOUT (500 * FB_MILLISECOND)

/* Peers that a starting node greets: any of them knows all there is, unless it has just started
 * too. A greeting of every peer would cost n^2 messages when a fleet starts. */
#define GREETINGS 3

/* Instances of the service among which the owner of a trial is chosen. */
#define OWNERS_MAX 256

/* Leading bytes of a request's key in log lines, which identify it. */
#define LOGGED_KEY_BYTES 8

/* The node beside another instance of the service. */
typedef struct
{
  fn_quarantine_t *quarantine;
  fb_name_t instance;
  fb_name_t address; /* of the node */
  fh_client_t *client;
  uint64_t start_id;      /* of its process; 0 before its first report */
  uint64_t sequence;      /* up to which its process knows this node's changes */
  uint64_t sent_sequence; /* of the report in flight */
  bool in_flight;
  bool greeted; /* it knows that this process has started, or is being told */
  bool failed;  /* its last report got no response */
} peer_t;

struct fn_quarantine
{
  fk_kernel_t *kernel;
  fr_quarantine_t *requests;
  GHashTable *peers;  /* peer_t by id of the instance; two instances may have one address */
  uint32_t greetings; /* sent, without those that failed */
  fk_timer_t *resend_timer;
  fb_counter_t *reports_sent;
  fb_counter_t *report_failures;
  fb_counter_t *malformed;
  fb_counter_t *quarantined;
  fb_counter_t *cleared;
};

static void send_reports (fn_quarantine_t *quarantine);

static void
resend_reports (void *user)
{
  fn_quarantine_t *quarantine = user;

  fk_destroy_timer (g_steal_pointer (&quarantine->resend_timer));
  send_reports (quarantine);
}

static void
receive_response (const fh_response_t *response, void *user)
{
  peer_t *peer = user;
  fn_quarantine_t *quarantine = peer->quarantine;

  peer->in_flight = false;
  peer->failed = response->result != FH_ANSWERED || response->status != 200;
  if (!peer->failed)
    {
      peer->sequence = peer->sent_sequence;
      send_reports (quarantine);
      return;
    }
  if (peer->greeted)
    quarantine->greetings--;
  peer->greeted = false;
  fb_add_counter (quarantine->report_failures, 1);
  if (!quarantine->resend_timer)
    quarantine->resend_timer
        = fk_create_timeout (quarantine->kernel, RESEND_DELAY, resend_reports, quarantine);
}

static void
send_report (peer_t *peer, const fw_suspect_t *suspects, size_t count)
{
  fn_quarantine_t *quarantine = peer->quarantine;
  const fc_settings_t *settings = fn_get_settings (quarantine->kernel);
  fw_crash_report_t report = { .sender = settings->address,
                               .start_id = fn_get_start_id (quarantine->kernel),
                               .suspect_count = count,
                               .suspects = (fw_suspect_t *)(void *)suspects };
  size_t length;
  uint8_t *bytes = fw_encode_crash_report (&report, &length);
  fh_client_request_t request = { .method = FB_LITERAL ("POST"),
                                  .path = FB_LITERAL (FN_CRASH_PATH),
                                  .body = { bytes, length },
                                  .repeatable = true };

  peer->in_flight = true;
  peer->sent_sequence = fr_get_quarantine_sequence (quarantine->requests);
  fb_add_counter (quarantine->reports_sent, 1);
  fh_send_request (peer->client, &request, receive_response, peer);
  g_free (bytes);
}

/* Returns whether PEER is to be told that this process has started, and counts it then. */
static bool
begin_greeting (peer_t *peer)
{
  fn_quarantine_t *quarantine = peer->quarantine;

  if (peer->greeted || peer->failed || quarantine->greetings >= GREETINGS)
    return false;
  quarantine->greetings++;
  peer->greeted = true;
  return true;
}

/* Sends PEER what it does not know; a greeting goes out even when that is nothing. */
static void
update_peer (peer_t *peer, fw_suspect_t *suspects)
{
  fr_quarantine_t *requests = peer->quarantine->requests;
  size_t count;

  if (peer->in_flight)
    return;
  count = fr_collect_suspects (requests, peer->sequence, suspects);
  if (begin_greeting (peer) || count > 0)
    send_report (peer, suspects, count);
}

static void
send_reports (fn_quarantine_t *quarantine)
{
  fw_suspect_t *suspects = g_new (fw_suspect_t, FW_SUSPECTS_MAX);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update_peer (value, suspects);
  g_free (suspects);
}

static void
log_request (fn_quarantine_t *quarantine, const char *message, const fb_digest_t *key,
             fb_str_t origin)
{
  char text[FB_DIGEST_HEX_LEN + 1];
  fb_time_t left = 0;

  fr_check_request (quarantine->requests, key, &left);
  fb_format_digest (key, text);
  FB_LOG (fk_get_log (quarantine->kernel), FB_LOG_WARNING, FN_QUARANTINE, message,
          FB_STR ("key", ((fb_str_t){ text, 2 * LOGGED_KEY_BYTES })), FB_STR ("origin", origin),
          FB_NUMBER ("left_ms", left / FB_MILLISECOND));
}

/* Logs and counts a change of request KEY from state BEFORE, known from ORIGIN. */
static void
record_change (fn_quarantine_t *quarantine, const fb_digest_t *key, fr_request_state_t before,
               fb_str_t origin)
{
  fb_time_t left;
  fr_request_state_t state = fr_check_request (quarantine->requests, key, &left);

  if (state == before)
    return;
  if (state == FR_REQUEST_QUARANTINED)
    {
      fb_add_counter (quarantine->quarantined, 1);
      log_request (quarantine, "request quarantined", key, origin);
    }
  else if (state == FR_REQUEST_FREE && before != FR_REQUEST_SUSPECT)
    {
      fb_add_counter (quarantine->cleared, 1);
      log_request (quarantine, "quarantine ended: the request has run", key, origin);
    }
}

bool
fn_has_suspects (fn_quarantine_t *quarantine)
{
  return fr_has_suspects (quarantine->requests);
}

fr_request_state_t
fn_check_request (fn_quarantine_t *quarantine, const fb_digest_t *key, fb_time_t *left)
{
  return fr_check_request (quarantine->requests, key, left);
}

typedef struct
{
  fb_name_t addresses[OWNERS_MAX];
  size_t count;
  fb_str_t service;
  const fn_directory_t *directory;
} owners_t;

/* A node in an evacuated zone lets nothing through. */
static void
add_owner (const fw_member_t *endpoint, void *user)
{
  owners_t *owners = user;

  if (endpoint->state == FW_ALIVE && owners->count < OWNERS_MAX
      && fb_equal_str (fb_get_name (&endpoint->service), owners->service)
      && !fn_is_zone_evacuated (owners->directory, &endpoint->zone))
    owners->addresses[owners->count++] = endpoint->address;
}

bool
fn_owns_trial (fn_quarantine_t *quarantine, const fb_digest_t *key)
{
  const fc_settings_t *settings = fn_get_settings (quarantine->kernel);
  owners_t owners = { .service = fb_get_name (&settings->service),
                      .directory = fk_find_service (quarantine->kernel, FN_DIRECTORY) };

  fn_visit_endpoints (owners.directory, add_owner, &owners);
  return fr_owns_trial (key, &settings->address, owners.addresses, owners.count);
}

void
fn_report_crash (fn_quarantine_t *quarantine, const fb_digest_t *keys, size_t count,
                 uint64_t id)
{
  for (size_t i = 0; i < count; i++)
    fn_note_crash (quarantine, &keys[i], id);
  send_reports (quarantine);
  fn_apply_quarantine (quarantine->kernel);
}

void
fn_note_crash (fn_quarantine_t *quarantine, const fb_digest_t *key, uint64_t id)
{
  fb_time_t left;
  fr_request_state_t before = fr_check_request (quarantine->requests, key, &left);

  if (fr_add_crash (quarantine->requests, key, id))
    record_change (quarantine, key, before, FB_LITERAL ("crash"));
}

void
fn_report_completion (fn_quarantine_t *quarantine, const fb_digest_t *key)
{
  fb_time_t left;
  fr_request_state_t before = fr_check_request (quarantine->requests, key, &left);

  if (!fr_clear_request (quarantine->requests, key))
    return;
  record_change (quarantine, key, before, FB_LITERAL ("run"));
  send_reports (quarantine);
}

void
fn_hold_request (fn_quarantine_t *quarantine, const fb_digest_t *key, fb_time_t time)
{
  fb_time_t left;
  fr_request_state_t before = fr_check_request (quarantine->requests, key, &left);

  fr_hold_request (quarantine->requests, key, time);
  record_change (quarantine, key, before, FB_LITERAL ("refusal"));
}

static void
merge_report (fn_quarantine_t *quarantine, const fw_crash_report_t *report)
{
  fb_time_t left;
  bool is_news = false;

  for (size_t i = 0; i < report->suspect_count; i++)
    {
      const fw_suspect_t *suspect = &report->suspects[i];
      fr_request_state_t before = fr_check_request (quarantine->requests, &suspect->key, &left);

      if (!fr_merge_suspect (quarantine->requests, suspect))
        continue;
      is_news = true;
      record_change (quarantine, &suspect->key, before, fb_get_name (&report->sender));
    }
  if (!is_news)
    return;
  send_reports (quarantine);
  fn_apply_quarantine (quarantine->kernel);
}

/* A process that has started knows nothing. */
static void
note_sender (fn_quarantine_t *quarantine, const fw_crash_report_t *report)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;

      if (!fb_equal_name (&peer->address, &report->sender)
          || peer->start_id == report->start_id)
        continue;
      peer->start_id = report->start_id;
      peer->sequence = 0;
      peer->failed = false;
    }
  send_reports (quarantine);
}

void
fn_handle_crash_report (fk_kernel_t *kernel, fh_request_t *request)
{
  fn_quarantine_t *quarantine = fk_find_service (kernel, FN_QUARANTINE);
  fw_crash_report_t report;

  if (fw_decode_crash_report (fh_get_body (request), &report) != FB_OK)
    {
      fb_add_counter (quarantine->malformed, 1);
      fh_respond (request, 400, NULL, 0, (fb_bytes_t){ NULL, 0 });
      return;
    }
  merge_report (quarantine, &report);
  note_sender (quarantine, &report);
  fw_clear_crash_report (&report);
  fh_respond (request, 200, NULL, 0, (fb_bytes_t){ NULL, 0 });
}

static void
destroy_peer (void *data)
{
  peer_t *peer = data;

  fh_destroy_client (peer->client);
  g_free (peer);
}

static void
add_peer (fn_quarantine_t *quarantine, const fw_member_t *endpoint)
{
  peer_t *peer = g_new0 (peer_t, 1);

  peer->quarantine = quarantine;
  peer->instance = endpoint->id;
  peer->address = endpoint->address;
  peer->client = fh_create_client (quarantine->kernel, &peer->address, endpoint->call_port, 1,
                                   0, REPORT_TIMEOUT);
  g_hash_table_insert (quarantine->peers, &peer->instance, peer);
  send_reports (quarantine);
}

/* Adds the nodes beside other instances of the service, and drops those whose instance is gone.
 */
static void
handle_endpoint_change (const fw_member_t *endpoint, void *user)
{
  fn_quarantine_t *quarantine = user;
  const fc_settings_t *settings = fn_get_settings (quarantine->kernel);
  peer_t *peer = g_hash_table_lookup (quarantine->peers, &endpoint->id);
  bool is_peer = endpoint->state != FW_DEAD && settings->service.len > 0
                 && fb_equal_name (&endpoint->service, &settings->service)
                 && !fb_equal_name (&endpoint->address, &settings->address);

  if (peer && is_peer && fb_equal_name (&peer->address, &endpoint->address))
    return;
  if (peer && peer->in_flight && peer->greeted)
    quarantine->greetings--;
  if (peer)
    g_hash_table_remove (quarantine->peers, &endpoint->id);
  if (is_peer)
    add_peer (quarantine, endpoint);
}

static void
stop_quarantine (void *data)
{
  fn_quarantine_t *quarantine = data;

  fk_destroy_timer (g_steal_pointer (&quarantine->resend_timer));
  g_hash_table_remove_all (quarantine->peers);
}

static void
destroy_quarantine (void *data)
{
  fn_quarantine_t *quarantine = data;

  g_hash_table_destroy (quarantine->peers);
  fr_destroy_quarantine (quarantine->requests);
  g_free (quarantine);
}

void
fn_register_quarantine (fk_kernel_t *kernel)
{
  static const fk_service_t vtable = { NULL, stop_quarantine, destroy_quarantine };
  fn_quarantine_t *quarantine = g_new0 (fn_quarantine_t, 1);
  fb_counters_t *counters = fk_get_counters (kernel);

  quarantine->kernel = kernel;
  quarantine->requests = fr_create_quarantine (fk_get_clock (kernel), counters);
  quarantine->peers
      = g_hash_table_new_full (fb_hash_name_key, fb_equal_name_keys, NULL, destroy_peer);
  quarantine->reports_sent = fb_find_counter (counters, "crash_reports", "way=\"sent\"");
  quarantine->report_failures = fb_find_counter (counters, "crash_reports", "way=\"failed\"");
  quarantine->malformed = fb_find_counter (counters, "malformed_crash_reports", "");
  quarantine->quarantined = fb_find_counter (counters, "quarantined_requests", "");
  quarantine->cleared = fb_find_counter (counters, "quarantines_ended_by_run", "");
  fn_watch_endpoints (fk_find_service (kernel, FN_DIRECTORY), handle_endpoint_change,
                      quarantine);
  fk_register_service (kernel, FN_QUARANTINE, &vtable, quarantine);
}
