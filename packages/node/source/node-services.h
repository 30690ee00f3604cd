/* Names of the node's services, and the functions they offer each other. */
#ifndef FOXTAILRUN_NODE_SERVICES_H
#define FOXTAILRUN_NODE_SERVICES_H

#include <foxtailrun/call/quarantine.h>
#include <foxtailrun/config/settings.h>
#include <foxtailrun/config/snapshot.h>
#include <foxtailrun/dist/node.h>
#include <foxtailrun/http/server.h>
#include <foxtailrun/kernel/kernel.h>
#include <foxtailrun/member/table.h>
#include <foxtailrun/node/adapter.h>
#include <foxtailrun/wire/call.h>
#include <jansson.h>

#define FN_SETTINGS "settings"
#define FN_MEMBERSHIP "membership"
#define FN_DISTRIBUTION "distribution"
#define FN_DIRECTORY "directory"
#define FN_BACKEND "backend"
#define FN_CALLS "calls"
#define FN_ENTRY "entry"
#define FN_REQUEST "request" /* log lines of callers' requests */
#define FN_SERVED "served"   /* log lines of calls that the backend service received */

/* Limit of log lines per outcome in 10 s; a line costs about as much CPU time as processing
 * the head of a call. */
#define FN_CALL_LOG_LINES_MAX 100
#define FN_QUARANTINE "quarantine"
#define FN_BURN "burn"
#define FN_ADMIN "admin"
#define FN_DRAIN "drain"
#define FN_READY "ready"

/* Time after a drain's start in which callers' requests and tickets are accepted. */
#define FN_DRAIN_GRACE (3 * FB_SECOND)

/* Returns the settings of the node on KERNEL. */
const fc_settings_t *fn_get_settings (fk_kernel_t *kernel);

/* Returns the random id of this process, drawn at start; tickets contain it. */
uint64_t fn_get_start_id (fk_kernel_t *kernel);

/* Returns the adapter given at registration, or the built-in one. */
const fn_adapter_t *fn_get_adapter (fk_kernel_t *kernel);

/* Dialect of the built-in adapter. */
extern const fn_dialect_t fn_default_dialect;

void fn_register_settings (fk_kernel_t *kernel, const fc_settings_t *settings,
                           const fn_adapter_t *adapter);

/* membership: gossip over UDP. */
typedef struct fn_membership fn_membership_t;
typedef void (*fn_member_changed_fn_t) (const fw_member_t *member, void *user);

void fn_register_membership (fk_kernel_t *kernel);

/* Returns the member table, owned by the service. */
fm_table_t *fn_get_members (fn_membership_t *membership);

/* Calls CHANGED with USER on each change of a member; register before services start. */
void fn_watch_members (fn_membership_t *membership, fn_member_changed_fn_t changed, void *user);

/* directory: the endpoints that get calls, from the membership or the platform. */
typedef struct fn_directory fn_directory_t;

void fn_register_directory (fk_kernel_t *kernel);

/* Returns endpoint ID, or NULL; owned by the directory and valid until the next change. */
const fw_member_t *fn_find_endpoint (fn_directory_t *directory, const fb_name_t *id);

/* Records that INCARNATION of endpoint ID leaves, whatever the platform lists. */
void fn_record_leaving (fn_directory_t *directory, const fb_name_t *id, uint64_t incarnation);

/* Returns the number of endpoints. */
size_t fn_count_endpoints (const fn_directory_t *directory);

/* Calls VISIT with USER for each endpoint. */
void fn_visit_endpoints (const fn_directory_t *directory, fn_member_changed_fn_t visit,
                         void *user);

/* Calls CHANGED with USER on each change of an endpoint; register before services start. */
void fn_watch_endpoints (fn_directory_t *directory, fn_member_changed_fn_t changed, void *user);

/* ZONE's instances get no calls from now on or, unless EVACUATED, get calls again. */
typedef void (*fn_evacuation_changed_fn_t) (const fb_name_t *zone, bool evacuated, void *user);

/* Replaces the set of evacuated zones by the COUNT names in ZONES. The news is at most AGE
 * ns old, which is logged. */
void fn_set_evacuated_zones (fn_directory_t *directory, const fb_name_t *zones, size_t count,
                             fb_time_t age);

bool fn_is_zone_evacuated (const fn_directory_t *directory, const fb_name_t *zone);

/* Returns the names of the evacuated zones as a new JSON list, owned by the caller. */
json_t *fn_describe_evacuated_zones (const fn_directory_t *directory);

/* Calls CHANGED with USER for each zone whose evacuation begins or ends; register before
 * services start. */
void fn_watch_evacuations (fn_directory_t *directory, fn_evacuation_changed_fn_t changed,
                           void *user);

/* distribution: the configuration in force. */
typedef struct fn_distribution fn_distribution_t;

void fn_register_distribution (fk_kernel_t *kernel);

/* Returns the snapshot in force, or NULL; borrowed, retain it to keep it. */
fc_snapshot_t *fn_get_snapshot (fn_distribution_t *distribution);

/* Returns the version in force; its number is 0 if there is none. */
const fb_version_t *fn_get_version (fn_distribution_t *distribution);

/* Returns whether the node accepts calls. Runs an overdue tick first, to detect a pause. */
bool fn_is_ready (fn_distribution_t *distribution);

/* Returns whether this node is one of those that read the source. */
bool fn_is_reader (fn_distribution_t *distribution);

/* Returns the last refused version with its first problem, or NULL if none was refused since
 * the version in force was applied. */
const char *fn_get_refusal (fn_distribution_t *distribution);

/* Handles the VERSION in force at SENDER, from the membership protocol. */
void fn_handle_summary (fn_distribution_t *distribution, const fw_member_t *sender,
                        const fb_version_t *version);

/* Requests the member list of PEER, which differs from this node's. */
void fn_handle_divergence (fn_distribution_t *distribution, const fw_member_t *peer);

/* Registers the built-in source: configuration and host list by Consul's HTTP API. USER is
 * unused. */
void fn_register_source (fk_kernel_t *kernel, void *user);

/* Path of feed requests from other nodes, on the call port. */
#define FN_FEED_PATH "/news"

/* Handles a feed request of another node; REQUEST is answered now or later. */
void fn_handle_feed_request (fk_kernel_t *kernel, fh_request_t *request);

/* quarantine: requests under which backend servers ended, shared with the nodes beside the
 * other instances of the service. */
typedef struct fn_quarantine fn_quarantine_t;

void fn_register_quarantine (fk_kernel_t *kernel);

/* Reason for which a call of a quarantined request is refused. */
#define FN_QUARANTINED_REASON "request is quarantined: backend servers ended under it"

/* Path of crash reports from other nodes, on the call port. */
#define FN_CRASH_PATH "/crashes"

/* Handles a crash report of another node, and answers REQUEST. */
void fn_handle_crash_report (fk_kernel_t *kernel, fh_request_t *request);

/* Returns whether any request is a suspect or quarantined, so that keys need to be computed. */
bool fn_has_suspects (fn_quarantine_t *quarantine);

/* Returns the state of request KEY for a caller at this node; QUARANTINED sets LEFT to the
 * remaining time in ns. */
fr_request_state_t fn_check_request (fn_quarantine_t *quarantine, const fb_digest_t *key,
                                     fb_time_t *left);

/* Returns whether this node lets the trial of request KEY through. */
bool fn_owns_trial (fn_quarantine_t *quarantine, const fb_digest_t *key);

/* Records that the requests KEYS were running in crash ID of the local backend server, and
 * tells the other nodes of its service. */
void fn_report_crash (fn_quarantine_t *quarantine, const fb_digest_t *keys, size_t count,
                      uint64_t id);

/* Records that request KEY was running in crash ID of another backend server. */
void fn_note_crash (fn_quarantine_t *quarantine, const fb_digest_t *key, uint64_t id);

/* Records that request KEY has run to its end, and tells the other nodes if it was a suspect.
 */
void fn_report_completion (fn_quarantine_t *quarantine, const fb_digest_t *key);

/* Records that the node beside an instance quarantines request KEY for TIME in ns. */
void fn_hold_request (fn_quarantine_t *quarantine, const fb_digest_t *key, fb_time_t time);

/* Ends the calls that the quarantine no longer allows: it has changed. */
void fn_apply_quarantine (fk_kernel_t *kernel);

/* Records that the backend server beside this node denies to be INCARNATION of INSTANCE. If the
 * source lists another endpoint at this node's address, that one describes it from now on. */
void fn_reject_local_backend (fk_kernel_t *kernel, const fb_name_t *instance,
                              uint64_t incarnation);

/* backend: admits calls to the local backend server and runs them there. */
typedef struct fn_backend fn_backend_t;

/* Receives the answer to a call; ANSWER is borrowed and its id is not set. */
typedef void (*fn_answered_fn_t) (const fw_call_t *answer, void *user);

void fn_register_backend (fk_kernel_t *kernel);

/* Runs or refuses CALL, which is copied. ANSWERED is called once with USER, now or later,
 * unless the call is cancelled. Returns a handle for fn_cancel_call, or 0 if already
 * answered. */
uint64_t fn_serve_call (fn_backend_t *backend, const fw_call_t *call, fn_answered_fn_t answered,
                        void *user);

/* Cancels a call: its answer is not delivered. A running call with a ticket still completes. */
void fn_cancel_call (fn_backend_t *backend, uint64_t handle);

/* Returns the running call on whose behalf the backend server makes call REQUEST_ID, or NULL if
 * it is not nested in one; owned by BACKEND and valid until the call ends. The id of a nested
 * call is that of its parent, a dot and a number. */
const fw_call_t *fn_find_parent_call (fn_backend_t *backend, fb_str_t request_id);

/* Returns the number of calls that are not answered yet. */
size_t fn_count_backend_calls (fn_backend_t *backend);

/* Treats the local backend server as cold until its next health response, and sends a health
 * check at once. REASON goes to the log; NULL for a cause that may recur with each call, which
 * is not logged. No effect without a service with warmup_rate.
 */
void fn_assume_cold_backend (fk_kernel_t *kernel, const char *reason);

/* Sends no health checks while SUSPENDED; an open one is cancelled. */
void fn_suspend_health_checks (fk_kernel_t *kernel, bool suspended);

/* Reads the configuration in force anew: it has changed. */
void fn_update_backend_configuration (fk_kernel_t *kernel);

/* Describes whether the local backend server is cold: "none" without a service with
 * warmup_rate, "warm", "cold" or "assumed". Sets LEFT to the time in ns until it is warm, 0 if
 * not known. */
const char *fn_describe_warmup (fn_backend_t *backend, fb_time_t *left);

/* From now on refuses new calls without a ticket; if FINAL, all new calls. */
void fn_drain_backend (fn_backend_t *backend, bool final);

/* Ticket field of a call that needs a ticket but has none: the receiving node issues one. */
#define FN_TICKET_REQUEST FB_LITERAL ("new")

/* calls: exchanges calls between the entry and the nodes on backend hosts. */
typedef struct fn_calls fn_calls_t;

void fn_register_calls (fk_kernel_t *kernel);

/* Sends CALL to NODE. The result is reported later by its id: fn_end_attempt,
 * fn_fail_unsent_attempt or fn_fail_unanswered_attempt. */
void fn_send_call (fn_calls_t *calls, const fw_member_t *node, const fw_call_t *call);

/* Cancels call ID, also at the serving node; no result is reported. */
void fn_cancel_sent_call (fn_calls_t *calls, uint64_t id);

/* entry: receives callers' requests and routes them to nodes on backend hosts. */
typedef struct fn_entry fn_entry_t;

void fn_register_entry (fk_kernel_t *kernel);

/* Closes each caller's connection after the next response on it. */
void fn_disable_keep_alive (fn_entry_t *entry);

/* Accepts no more connections of callers and refuses requests on open ones. */
void fn_close_entry (fn_entry_t *entry);

/* Returns the number of callers' calls that are not answered yet. */
size_t fn_count_entry_calls (fn_entry_t *entry);

/* Ends attempt ANSWER->id with ANSWER; counts and drops answers with an unknown id. */
void fn_end_attempt (fn_entry_t *entry, const fw_call_t *answer);

/* Fails attempt ID, of which provably nothing was sent to the other node. */
void fn_fail_unsent_attempt (fn_entry_t *entry, uint64_t id);

/* Fails attempt ID, sent but without a complete answer, with REASON: its outcome is
 * unknown. */
void fn_fail_unanswered_attempt (fn_entry_t *entry, uint64_t id, const char *reason);

/* Until UNTIL, sends new attempts to instances other than INSTANCE, if any. */
void fn_eject_instance (fn_entry_t *entry, const fb_name_t *instance, fb_time_t until);

/* Returns the number of instances of SERVICE that can get calls, ejected ones included. */
size_t fn_count_instances (fn_entry_t *entry, fb_str_t service);

/* burn: burn rates of the objectives' error budgets by callers' calls. */
typedef struct fn_burn fn_burn_t;

void fn_register_burn (fk_kernel_t *kernel);

/* Counts a call on ROUTE of SNAPSHOT that arrived at ARRIVED_AT and now gets ANSWER. */
void fn_count_objective_call (fn_burn_t *burn, const fc_snapshot_t *snapshot,
                              const fc_route_t *route, const fw_call_t *answer,
                              fb_time_t arrived_at);

/* Counts a call on ROUTE of SNAPSHOT refused on arrival. If either is NULL, no objective
 * applies and nothing is counted. */
void fn_count_objective_refusal (fn_burn_t *burn, const fc_snapshot_t *snapshot,
                                 const fc_route_t *route);

/* Returns the counts of this node as a new JSON object, owned by the caller. */
json_t *fn_describe_burn (fn_burn_t *burn);

void fn_register_admin (fk_kernel_t *kernel);
void fn_register_drain (fk_kernel_t *kernel);
void fn_register_ready (fk_kernel_t *kernel);

/* Returns whether a drain has begun. */
bool fn_is_draining (fk_kernel_t *kernel);

/* Reason for which a call is refused that the function below excludes. */
#define FN_STOPS_BEFORE_DEADLINE "node stops before the call's deadline"

/* Returns whether a call that may take until DEADLINE can still be answered: no drain ends
 * before. */
bool fn_can_finish_by (fk_kernel_t *kernel, fb_time_t deadline);

#endif
