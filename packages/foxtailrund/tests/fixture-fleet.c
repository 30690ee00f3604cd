#include "fixture-fleet.h"
#include <errno.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define CALLER_PORT FLEET_CALLER_PORT
#define ADMIN_PORT 9000
#define BACKEND_PORT 9100
#define PLATFORM_PORT 8500
#define PLATFORM_HOST_NUMBER 200
#define POLL_INTERVAL_MS 20
#define REQUEST_TIMEOUT (30 * FB_SECOND)

struct fleet
{
  fk_kernel_t *kernel;
  char *folder;
  char *publish_folder;
  unsigned subnet[2]; /* second and third byte of IP addresses */
  size_t count;
  const char *settings; /* appended to the nodes' settings */
  GPid platform;
  GPid nodes[FLEET_NODES_MAX + 1];
  GPid backends[FLEET_NODES_MAX + 1];
};

struct fleet_pending_call
{
  fleet_t *fleet;
  fh_client_t *client;
  bool ended;
  fleet_response_t response;
};

static const char base_document[]
    = "[[rank]]\nname = \"urgent\"\norder = 0\ntarget_ms = 500\nshare = 0.5\n"
      "[[rank]]\nname = \"background\"\norder = 1\ntarget_ms = 2000\nshare = 0.1\n"
      "[[service]]\nname = \"storefront\"\nslots = 9\nconnections = 120\n"
      "[[service]]\nname = \"inventory\"\nslots = 9\nconnections = 120\n"
      "[[route]]\nname = \"prices\"\npath = \"/prices\"\nservice = \"storefront\"\n"
      "rank = \"urgent\"\ntimeout_ms = 4000\nrepeatable = true\nretries = 2\n"
      "[[route]]\nname = \"pay\"\npath = \"/pay\"\nservice = \"storefront\"\n"
      "rank = \"urgent\"\ntimeout_ms = 4000\nrepeatable = false\n"
      "[[route]]\nname = \"stock\"\npath = \"/stock\"\nservice = \"inventory\"\n"
      "rank = \"background\"\ntimeout_ms = 4000\nrepeatable = true\nretries = 2\n";

static fb_name_t
make_address (const fleet_t *fleet, size_t host)
{
  char text[32];

  g_snprintf (text, sizeof text, "127.%u.%u.%zu", fleet->subnet[0], fleet->subnet[1], host);
  return fb_make_name (text);
}

/* The kernel kills the child when the test exits, so a failed test leaves no processes. */
static void
kill_with_parent (gpointer user)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static GPid
spawn (fleet_t *fleet, char **argv, const char *log)
{
  GPid pid;
  GError *error = NULL;
  char *path = g_build_filename (fleet->folder, log, NULL);
  int output = g_open (path, O_CREAT | O_WRONLY | O_APPEND, 0600);

  g_spawn_async_with_fds (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, kill_with_parent, NULL,
                          &pid, -1, output, output, &error);
  g_assert_no_error (error);
  close (output);
  g_free (path);
  return pid;
}

static void
write_settings (fleet_t *fleet, size_t number)
{
  fb_name_t address = make_address (fleet, number);
  fb_name_t platform = make_address (fleet, PLATFORM_HOST_NUMBER);
  fb_name_t first = make_address (fleet, 1);
  fb_name_t second = make_address (fleet, 2);
  char *path = g_strdup_printf ("%s/node-%zu.toml", fleet->folder, number);
  char *text = g_strdup_printf (
      "[node]\nid = \"node-%zu\"\nzone = \"zone-%c\"\nregion = \"region-1\"\nservice = \"%s\"\n"
      "[listen]\naddress = \"%s\"\ncaller_port = %d\ncall_port = %d\ncontrol_port = 7001\n"
      "admin_port = %d\n[hedge]\nbudget_share = 1\n[backend]\naddress = \"%s\"\nport = %d\n"
      "[platform]\naddress = \"%s\"\nport = %d\n[seeds]\nnodes = [\"%s:7001\", \"%s:7001\"]\n"
      "[admin]\nkey = \"%s\"\n%s",
      number, number % 2 ? 'a' : 'b', number <= fleet->count / 2 ? "storefront" : "inventory",
      address.data, CALLER_PORT, FLEET_CALL_PORT, ADMIN_PORT, address.data, BACKEND_PORT,
      platform.data, PLATFORM_PORT, first.data, second.data, FLEET_ADMIN_KEY, fleet->settings);

  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  g_free (path);
}

static void
start_node (fleet_t *fleet, size_t number)
{
  char *settings = g_strdup_printf ("%s/node-%zu.toml", fleet->folder, number);
  char *log = g_strdup_printf ("node-%zu.log", number);
  char *argv[] = { FOXTAILRUND_PATH, "--settings", settings, NULL };

  fleet->nodes[number] = spawn (fleet, argv, log);
  g_free (settings);
  g_free (log);
}

static void
start_backend (fleet_t *fleet, size_t number)
{
  fb_name_t address = make_address (fleet, number);
  char name[32];
  char port[8];
  char *argv[] = { BACKEND_PATH, address.data, port, name, "9", "5", NULL };

  g_snprintf (name, sizeof name, "backend-%zu", number);
  g_snprintf (port, sizeof port, "%d", BACKEND_PORT);
  fleet->backends[number] = spawn (fleet, argv, "backends.log");
}

static void
start_platform (fleet_t *fleet)
{
  fb_name_t address = make_address (fleet, PLATFORM_HOST_NUMBER);
  char port[8];
  char *argv[] = { PLATFORM_PATH, address.data, port, fleet->publish_folder, NULL };

  g_snprintf (port, sizeof port, "%d", PLATFORM_PORT);
  fleet->platform = spawn (fleet, argv, "platform.log");
}

void
fleet_run_loop (fleet_t *fleet, uint64_t ms)
{
  fk_timer_t *timer = fk_create_timeout (fleet->kernel, (fb_time_t)ms * FB_MILLISECOND,
                                         (fk_callback_fn_t)fk_quit, fleet->kernel);

  fk_run (fleet->kernel);
  fk_destroy_timer (timer);
}

static gint64
compute_wait_deadline (void)
{
  return g_get_monotonic_time () + (gint64)FLEET_WAIT_TIMEOUT_S * G_USEC_PER_SEC;
}

/* Waits one poll interval; after DEADLINE prints the logs and fails the test. */
static void
wait_or_fail (fleet_t *fleet, gint64 deadline, const char *condition)
{
  if (g_get_monotonic_time () > deadline)
    {
      char *log = g_strdup_printf ("tail -n 8 %s/*.log >&2", fleet->folder);
      if (system (log) != 0)
        g_test_message ("no logs");
      g_free (log);
      g_error ("condition not met within %d s: %s", FLEET_WAIT_TIMEOUT_S, condition);
    }
  fleet_run_loop (fleet, POLL_INTERVAL_MS);
}

fleet_t *
fleet_start (size_t nodes)
{
  return fleet_start_with_settings (nodes, "");
}

fleet_t *
fleet_start_with_settings (size_t nodes, const char *settings)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  g_assert_cmpuint (nodes, <=, FLEET_NODES_MAX);
  fleet->kernel = fk_create_kernel (NULL);
  fleet->folder = g_dir_make_tmp ("foxtailrun-XXXXXX", NULL);
  fleet->publish_folder = g_build_filename (fleet->folder, "published", NULL);
  g_mkdir (fleet->publish_folder, 0700);
  /* Subnet by process id, so parallel tests use different addresses. */
  fleet->subnet[0] = 100 + (unsigned)getpid () / 250 % 150;
  fleet->subnet[1] = 1 + (unsigned)getpid () % 250;
  fleet->count = nodes;
  fleet->settings = settings;
  fleet_publish (fleet, 1, "");
  start_platform (fleet);
  for (size_t number = 1; number <= nodes; number++)
    {
      write_settings (fleet, number);
      start_backend (fleet, number);
      start_node (fleet, number);
    }
  for (size_t number = 1; number <= nodes; number++)
    {
      fleet_wait_version (fleet, number, 1);
      for (size_t other = 1; other <= nodes; other++)
        fleet_wait_state (fleet, number, other, "alive");
    }
  return fleet;
}

static void
kill_process (GPid *pid)
{
  int status;

  if (*pid == 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, &status, 0);
  *pid = 0;
}

void
fleet_stop (fleet_t *fleet)
{
  char *command = g_strdup_printf ("rm -rf %s", fleet->folder);

  for (size_t number = 1; number <= fleet->count; number++)
    {
      kill_process (&fleet->nodes[number]);
      kill_process (&fleet->backends[number]);
    }
  kill_process (&fleet->platform);
  g_assert_cmpint (system (command), ==, 0);
  fk_destroy_kernel (fleet->kernel);
  g_free (command);
  g_free (fleet->folder);
  g_free (fleet->publish_folder);
  g_free (fleet);
}

/* Writes the base document with VERSION and EXTRA to PATH. Returns PATH, still the
 * caller's. */
static char *
write_document (char *path, uint64_t version, const char *extra)
{
  char *text = g_strdup_printf ("version = %" G_GUINT64_FORMAT "\n%s%s", version, base_document,
                                extra);

  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  return path;
}

void
fleet_publish (fleet_t *fleet, uint64_t version, const char *extra)
{
  g_free (write_document (g_build_filename (fleet->publish_folder, "config.toml", NULL),
                          version, extra));
}

char *
fleet_write_document (fleet_t *fleet, const char *name, uint64_t version, const char *extra)
{
  return write_document (g_build_filename (fleet->folder, name, NULL), version, extra);
}

void
fleet_publish_hosts (fleet_t *fleet, size_t leaving)
{
  char *path = g_build_filename (fleet->publish_folder, "hosts.json", NULL);
  GString *text = g_string_new ("[");

  for (size_t number = 1; number <= fleet->count; number++)
    g_string_append_printf (text,
                            "%s{\"Service\":{\"ID\":\"node-%zu\",\"Address\":\"%s\","
                            "\"Port\":7001,\"Meta\":{\"state\":\"%s\"}}}",
                            number == 1 ? "" : ",", number, make_address (fleet, number).data,
                            number == leaving ? "leaving" : "live");
  g_string_append_c (text, ']');
  g_assert_true (g_file_set_contents (path, text->str, -1, NULL));
  g_string_free (text, TRUE);
  g_free (path);
}

void
fleet_set_platform_outage (fleet_t *fleet, bool down)
{
  char *path = g_build_filename (fleet->publish_folder, "down", NULL);

  if (down)
    g_assert_true (g_file_set_contents (path, "", 0, NULL));
  else
    g_unlink (path);
  g_free (path);
}

GPid
fleet_get_pid (const fleet_t *fleet, size_t number)
{
  g_assert_cmpint (waitpid (fleet->nodes[number], NULL, WNOHANG), ==, 0);
  return fleet->nodes[number];
}

fb_name_t
fleet_get_address (const fleet_t *fleet, size_t number)
{
  return make_address (fleet, number);
}

void
fleet_signal (fleet_t *fleet, size_t number, int signal)
{
  g_assert_cmpint (kill (fleet->nodes[number], signal), ==, 0);
}

void
fleet_signal_backend (fleet_t *fleet, size_t number, int signal)
{
  g_assert_cmpint (kill (fleet->backends[number], signal), ==, 0);
}

void
fleet_start_endless (fleet_t *fleet, size_t number, const char *kind)
{
  fb_name_t address = make_address (fleet, number);
  char port[8];
  char *argv[] = { ENDLESS_PATH, address.data, port, (char *)kind, NULL };

  g_snprintf (port, sizeof port, "%d", BACKEND_PORT);
  kill (fleet->backends[number], SIGKILL);
  waitpid (fleet->backends[number], NULL, 0);
  fleet->backends[number] = spawn (fleet, argv, "backends.log");
}

int
fleet_wait_exit (fleet_t *fleet, size_t number)
{
  gint64 deadline = compute_wait_deadline ();
  int status = 0;

  while (waitpid (fleet->nodes[number], &status, WNOHANG) == 0)
    wait_or_fail (fleet, deadline, "exit of a node");
  fleet->nodes[number] = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

void
fleet_restart (fleet_t *fleet, size_t number)
{
  g_assert_cmpint (fleet->nodes[number], ==, 0);
  start_node (fleet, number);
}

static void
receive_response (const fh_response_t *response, void *user)
{
  fleet_pending_call_t *call = user;
  fb_str_t outcome = fh_find_header (response->headers, response->header_count,
                                     FB_LITERAL ("foxtailrun-outcome"));
  fb_str_t ticket = fh_find_header (response->headers, response->header_count,
                                    FB_LITERAL ("foxtailrun-ticket"));

  call->ended = true;
  call->response = (fleet_response_t){
    .result = response->result,
    .status = response->status,
    .outcome = fb_copy_text (outcome),
    .ticket = fb_copy_text (ticket),
    .body = fb_copy_text ((fb_str_t){ (const char *)response->body.data, response->body.len })
  };
  fk_quit (call->fleet->kernel);
}

static fleet_pending_call_t *
begin_request (fleet_t *fleet, size_t host, uint16_t port, const char *method, const char *path,
               const fh_header_t *header)
{
  fb_name_t address = make_address (fleet, host);
  fleet_pending_call_t *call = g_new0 (fleet_pending_call_t, 1);
  fh_client_request_t outgoing = { .method = fb_wrap_text (method),
                                   .path = fb_wrap_text (path),
                                   .header_count = header ? 1 : 0,
                                   .headers = header,
                                   .new_connection = true };

  call->fleet = fleet;
  call->client
      = fh_create_client (fleet->kernel, &address, port, 1, 4 * 1024 * 1024, REQUEST_TIMEOUT);
  fh_send_request (call->client, &outgoing, receive_response, call);
  return call;
}

fleet_response_t
fleet_finish_call (fleet_t *fleet, fleet_pending_call_t *call)
{
  fleet_response_t response;

  while (!call->ended)
    fk_run (fleet->kernel);
  response = call->response;
  fh_destroy_client (call->client);
  g_free (call);
  return response;
}

void
fleet_abandon_call (fleet_pending_call_t *call)
{
  fh_destroy_client (call->client);
  g_free (call);
}

fleet_pending_call_t *
fleet_begin_call (fleet_t *fleet, size_t number, const char *method, const char *path,
                  const char *ticket)
{
  fh_header_t header = { FB_LITERAL ("foxtailrun-ticket"), fb_wrap_text (ticket) };

  return begin_request (fleet, number, CALLER_PORT, method, path, ticket ? &header : NULL);
}

fleet_pending_call_t *
fleet_begin_call_with_id (fleet_t *fleet, size_t number, const char *method, const char *path,
                          const char *id)
{
  fh_header_t header = { FB_LITERAL ("foxtailrun-request-id"), fb_wrap_text (id) };

  return begin_request (fleet, number, CALLER_PORT, method, path, &header);
}

fleet_response_t
fleet_call (fleet_t *fleet, size_t number, const char *method, const char *path,
            const char *ticket)
{
  return fleet_finish_call (fleet, fleet_begin_call (fleet, number, method, path, ticket));
}

fleet_response_t
fleet_request_admin (fleet_t *fleet, size_t number, const char *method, const char *path,
                     const char *key)
{
  char *value = g_strdup_printf ("Bearer %s", key ? key : "");
  fh_header_t header = { FB_LITERAL ("authorization"), fb_wrap_text (value) };
  fleet_response_t response = fleet_finish_call (
      fleet, begin_request (fleet, number, ADMIN_PORT, method, path, key ? &header : NULL));

  g_free (value);
  return response;
}

void
fleet_clear_response (fleet_response_t *response)
{
  g_free (response->outcome);
  g_free (response->ticket);
  g_free (response->body);
}

/* Returns the JSON of an administration response as a new object, or NULL. */
static json_t *
get_admin_json (fleet_t *fleet, size_t number, const char *path)
{
  fleet_response_t response = fleet_request_admin (fleet, number, "GET", path, NULL);
  json_t *object = response.result == FH_ANSWERED ? json_loads (response.body, 0, NULL) : NULL;

  fleet_clear_response (&response);
  return object;
}

uint64_t
fleet_get_version (fleet_t *fleet, size_t number)
{
  json_t *object = get_admin_json (fleet, number, "/version");
  uint64_t version = (uint64_t)json_integer_value (json_object_get (object, "number"));

  json_decref (object);
  return version;
}

void
fleet_wait_version (fleet_t *fleet, size_t number, uint64_t version)
{
  gint64 deadline = compute_wait_deadline ();

  for (;;)
    {
      json_t *object = get_admin_json (fleet, number, "/version");
      bool is_met
          = json_is_true (json_object_get (object, "ready"))
            && (uint64_t)json_integer_value (json_object_get (object, "number")) == version;
      json_decref (object);
      if (is_met)
        return;
      wait_or_fail (fleet, deadline, "version in force");
    }
}

static bool
has_state (json_t *object, size_t other, const char *state)
{
  char id[32];
  size_t i;
  json_t *item;

  g_snprintf (id, sizeof id, "node-%zu", other);
  json_array_foreach (json_object_get (object, "members"), i, item)
  {
    if (g_strcmp0 (json_string_value (json_object_get (item, "id")), id) == 0)
      return g_strcmp0 (json_string_value (json_object_get (item, "state")), state) == 0;
  }
  return false;
}

void
fleet_wait_state (fleet_t *fleet, size_t number, size_t other, const char *state)
{
  gint64 deadline = compute_wait_deadline ();

  for (;;)
    {
      json_t *object = get_admin_json (fleet, number, "/members");
      bool is_met = has_state (object, other, state);
      json_decref (object);
      if (is_met)
        return;
      wait_or_fail (fleet, deadline, state);
    }
}

void
fleet_spoil_responses (fleet_t *fleet, size_t number, const char *kind, unsigned interval)
{
  char *path = g_strdup_printf ("/standin/spoil?%s&%u", kind, interval);
  fleet_response_t response = fleet_finish_call (
      fleet, begin_request (fleet, number, BACKEND_PORT, "GET", path, NULL));

  g_assert_cmpuint (response.status, ==, 200);
  fleet_clear_response (&response);
  g_free (path);
}

/* Returns the count of PATH in the response of the backend server of node NUMBER to REQUEST. */
static uint64_t
read_count (fleet_t *fleet, size_t number, const char *request, const char *path)
{
  char *line = g_strdup_printf ("%s ", path);
  fleet_response_t response = fleet_finish_call (
      fleet, begin_request (fleet, number, BACKEND_PORT, "GET", request, NULL));
  char **lines = g_strsplit (response.body, "\n", -1);
  uint64_t count = 0;

  for (char **at = lines; *at; at++)
    {
      if (g_str_has_prefix (*at, line))
        count += g_ascii_strtoull (*at + strlen (line), NULL, 10);
    }
  g_strfreev (lines);
  fleet_clear_response (&response);
  g_free (line);
  return count;
}

uint64_t
fleet_count_runs_at (fleet_t *fleet, size_t number, const char *path)
{
  return read_count (fleet, number, "/standin/runs", path);
}

uint64_t
fleet_count_cancelled_at (fleet_t *fleet, size_t number, const char *path)
{
  return read_count (fleet, number, "/standin/cancelled", path);
}

uint64_t
fleet_count_runs (fleet_t *fleet, const char *path)
{
  uint64_t runs = 0;

  for (size_t number = 1; number <= fleet->count; number++)
    runs += fleet_count_runs_at (fleet, number, path);
  return runs;
}

void
fleet_wait_run (fleet_t *fleet, const char *path)
{
  gint64 deadline = compute_wait_deadline ();

  while (fleet_count_runs (fleet, path) == 0)
    wait_or_fail (fleet, deadline, "run at a backend server");
}

char *
fleet_format_admin_address (const fleet_t *fleet, size_t number)
{
  fb_name_t address = make_address (fleet, number);

  return g_strdup_printf ("%s:%d", address.data, ADMIN_PORT);
}

char *
fleet_format_caller_address (const fleet_t *fleet, size_t number)
{
  fb_name_t address = make_address (fleet, number);

  return g_strdup_printf ("%s:%d", address.data, CALLER_PORT);
}

const char *
fleet_get_publish_folder (const fleet_t *fleet)
{
  return fleet->publish_folder;
}

size_t
fleet_parse_ticket_node (const char *ticket)
{
  g_assert_true (g_str_has_prefix (ticket, "ftr1-node-"));
  return (size_t)g_ascii_strtoull (ticket + strlen ("ftr1-node-"), NULL, 10);
}

static size_t case_node_count;

static void
run_case (const void *data)
{
  fleet_t *fleet = fleet_start (case_node_count);

  ((const fleet_case_t *)data)->check (fleet);
  fleet_stop (fleet);
}

int
fleet_run_cases (int argc, char **argv, const fleet_case_t *cases, size_t count, size_t nodes)
{
  case_node_count = nodes;
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < count; i++)
    g_test_add_data_func (cases[i].name, &cases[i], run_case);
  return g_test_run ();
}
