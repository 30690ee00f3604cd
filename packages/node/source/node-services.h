/* Names of the node's services and what they offer each other. */
#ifndef FOXTAILRUN_NODE_SERVICES_H
#define FOXTAILRUN_NODE_SERVICES_H

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
#define FN_SERVED "served"   /* log lines of calls at the node beside the backend server */

/* Log lines of each outcome in 10 s; a line costs about as much processor time as a call's
 * head. */
#define FN_CALL_LOG_LINES_MAX 100
#define FN_BURN "burn"
#define FN_ADMIN "admin"
#define FN_DRAIN "drain"
#define FN_READY "ready"

/* Time after the start of a drain in which callers are still served and tickets are still
 * honoured. */
#define FN_DRAIN_GRACE (3 * FB_SECOND)

/* Returns the settings of the node on KERNEL. */
const fc_settings_t *fn_get_settings (fk_kernel_t *kernel);

/* Returns the random number drawn when this process started; tickets carry it. */
uint64_t fn_get_start_id (fk_kernel_t *kernel);

/* Returns the adapter that the node was registered with, or the product's own. */
const fn_adapter_t *fn_get_adapter (fk_kernel_t *kernel);

/* The headers of the product's own interface. */
extern const fn_dialect_t fn_default_dialect;

void fn_register_settings (fk_kernel_t *kernel, const fc_settings_t *settings,
                           const fn_adapter_t *adapter);

/* membership: gossip over UDP. */
typedef struct fn_membership fn_membership_t;
typedef void (*fn_member_changed_fn_t) (const fw_member_t *member, void *user);

void fn_register_membership (fk_kernel_t *kernel);

/* Returns the member table, owned by the service. */
fm_table_t *fn_get_members (fn_membership_t *membership);

/* Calls CHANGED for each later change of a member; only before the services start. */
void fn_watch_members (fn_membership_t *membership, fn_member_changed_fn_t changed, void *user);

/* directory: the endpoints that calls may go to, from the membership or from the platform. */
typedef struct fn_directory fn_directory_t;

void fn_register_directory (fk_kernel_t *kernel);

/* Returns the endpoint called ID, or NULL; owned by the directory until it changes. */
const fw_member_t *fn_find_endpoint (fn_directory_t *directory, const fb_name_t *id);

/* Returns the number of endpoints. */
size_t fn_count_endpoints (const fn_directory_t *directory);

/* Calls CHANGED for each later change of an endpoint; only before the services start. */
void fn_watch_endpoints (fn_directory_t *directory, fn_member_changed_fn_t changed, void *user);

/* distribution: the configuration in force. */
typedef struct fn_distribution fn_distribution_t;

void fn_register_distribution (fk_kernel_t *kernel);

/* Returns the snapshot in force or NULL; retain it to keep it. */
fc_snapshot_t *fn_get_snapshot (fn_distribution_t *distribution);

/* Returns the version in force. */
const fb_version_t *fn_get_version (fn_distribution_t *distribution);

/* Returns whether calls may be taken; notices a pause of the process first. */
bool fn_is_ready (fn_distribution_t *distribution);

/* Returns whether this node reads the source. */
bool fn_is_reader (fn_distribution_t *distribution);

/* Returns the last refused version and its first problem as text, or NULL. */
const char *fn_get_refusal (fn_distribution_t *distribution);

/* A summary heard by the membership. */
void fn_handle_summary (fn_distribution_t *distribution, const fw_member_t *sender,
                        const fb_version_t *version);

/* The member lists of this node and PEER differ: asks PEER for its list. */
void fn_handle_divergence (fn_distribution_t *distribution, const fw_member_t *peer);

/* Registers the product's own source: the configuration service and host list in Consul's
 * protocols. */
void fn_register_source (fk_kernel_t *kernel, void *user);

/* Path on the port of calls at which other nodes ask for news of the store. */
#define FN_FEED_PATH "/news"

/* Takes over REQUEST, another node's ask for news of the store. */
void fn_handle_feed_request (fk_kernel_t *kernel, fh_request_t *request);

/* backend: calls at the node beside the backend server. */
typedef struct fn_backend fn_backend_t;

/* Receives the one answer to a call; ANSWER is borrowed and its id is not set. */
typedef void (*fn_answered_fn_t) (const fw_call_t *answer, void *user);

void fn_register_backend (fk_kernel_t *kernel);

/* Takes CALL, copying it, and calls ANSWERED with USER once, now or later. Returns a handle for
 * fn_cancel_call, 0 when it is already answered. */
uint64_t fn_serve_call (fn_backend_t *backend, const fw_call_t *call, fn_answered_fn_t answered,
                        void *user);

/* Gives up a call: it is not answered any more. */
void fn_cancel_call (fn_backend_t *backend, uint64_t handle);

/* Returns whether the backend server makes the call REQUEST_ID on behalf of a call that it runs
 * as a repeat; the id of such a call is that of its parent, a dot and a number. */
bool fn_is_parent_repeat (fn_backend_t *backend, fb_str_t request_id);

/* Returns calls not yet answered. */
size_t fn_count_backend_calls (fn_backend_t *backend);

/* From now on refuses calls without a ticket; with FINAL, all. */
void fn_drain_backend (fn_backend_t *backend, bool final);

/* Stands in place of the ticket in a call whose route needs one that the caller did not bring:
 * the node asked issues it. */
#define FN_TICKET_REQUEST FB_LITERAL ("new")

/* calls: between the entry nodes and the nodes beside backend servers. */
typedef struct fn_calls fn_calls_t;

void fn_register_calls (fk_kernel_t *kernel);

/* Sends CALL to NODE; its id comes back later, by one of the entry's functions below. */
void fn_send_call (fn_calls_t *calls, const fw_member_t *node, const fw_call_t *call);

/* Gives up call ID: it does not come back, and the node that serves it is told. */
void fn_cancel_sent_call (fn_calls_t *calls, uint64_t id);

/* entry: calls from callers, routed to a node beside a backend server. */
typedef struct fn_entry fn_entry_t;

void fn_register_entry (fk_kernel_t *kernel);

/* From now on each answer ends its caller's connection. */
void fn_disable_keep_alive (fn_entry_t *entry);

/* Stops taking callers' connections and refuses requests on those that are open. */
void fn_close_entry (fn_entry_t *entry);

/* Returns calls of callers not yet answered. */
size_t fn_count_entry_calls (fn_entry_t *entry);

/* An answer came for attempt ANSWER->id; unknown ids are counted and dropped. */
void fn_end_attempt (fn_entry_t *entry, const fw_call_t *answer);

/* Attempt ID provably never left this node. */
void fn_fail_unsent (fn_entry_t *entry, uint64_t id);

/* Attempt ID was sent and has no whole answer, for REASON: its outcome is unknown. */
void fn_fail_unanswered (fn_entry_t *entry, uint64_t id, const char *reason);

/* Keeps new attempts from INSTANCE until TIME while there are others. */
void fn_avoid_instance (fn_entry_t *entry, const fb_name_t *instance, fb_time_t time);

/* Describes instance state of SERVICE for the administration. */
size_t fn_count_instances (fn_entry_t *entry, fb_str_t service);

/* burn: how fast callers' calls use up the budgets of the objectives. */
typedef struct fn_burn fn_burn_t;

void fn_register_burn (fk_kernel_t *kernel);

/* Counts a call on ROUTE of SNAPSHOT that came at START and is now answered by ANSWER. */
void fn_count_burn (fn_burn_t *burn, const fc_snapshot_t *snapshot, const fc_route_t *route,
                    const fw_call_t *answer, fb_time_t start);

/* Counts a call on ROUTE of SNAPSHOT that is refused on arrival; either may be NULL, then there
 * is no objective to count it under. */
void fn_count_refusal (fn_burn_t *burn, const fc_snapshot_t *snapshot, const fc_route_t *route);

/* Returns the counts of this node as a new object. */
json_t *fn_describe_burn (fn_burn_t *burn);

void fn_register_admin (fk_kernel_t *kernel);
void fn_register_drain (fk_kernel_t *kernel);
void fn_register_ready (fk_kernel_t *kernel);

/* Returns whether a drain has begun. */
bool fn_is_draining (fk_kernel_t *kernel);

#endif
