/* Client of the administration interface of nodes. */
#ifndef FOXTAILRUN_COMMAND_ADMIN_CLIENT_H
#define FOXTAILRUN_COMMAND_ADMIN_CLIENT_H

#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>
#include <glib.h>
#include <jansson.h>

/* IP address and port of a listener of a node. */
typedef struct
{
  fb_name_t address;
  uint16_t port;
} fx_socket_address_t;

/* One member as the queried node lists it, and the state it reports itself. */
typedef struct
{
  fb_name_t id;
  fb_name_t zone;
  fb_name_t service;
  fb_name_t state; /* member state as the queried node sees it */
  fx_socket_address_t admin_address;
  bool reached;            /* whether it answered; the fields below are set only then */
  uint64_t version_number; /* of the document in force; 0 for none */
  char digest[FB_DIGEST_HEX_LEN + 1];
  bool reader;      /* whether it reads the platform's document */
  bool ready;       /* accepts calls */
  fb_name_t warmup; /* of its backend server: "none", "warm", "cold" or "assumed" (cold) */
  uint64_t warmup_left_ms;
  char *refused_document; /* last one and its first problem, or NULL; owned */
  char *evacuated_zones;  /* names that it knows, separated by commas; owned */
} fx_node_status_t;

typedef struct fx_admin_client fx_admin_client_t;

/* Creates a client with KEY (may be empty) and TIMEOUT_MS for each request. */
fx_admin_client_t *fx_create_admin_client (fb_str_t key, uint32_t timeout_ms);

/* Frees CLIENT; NULL is allowed. */
void fx_destroy_admin_client (fx_admin_client_t *client);

/* Parses "IP:PORT"; FB_INVALID otherwise. */
fb_status_t fx_parse_socket_address (const char *text, fx_socket_address_t *address);

/* Sends a request and waits. FB_OK stores the HTTP status and a new object in *BODY, NULL if
 * the body is not JSON; FB_UNAVAILABLE when the node does not answer. */
fb_status_t fx_send_request (fx_admin_client_t *client, const fx_socket_address_t *address,
                             const char *method, const char *path, uint32_t *status,
                             json_t **body);

/* Returns the members listed by the node at ADDRESS as a new array of fx_node_status_t ordered
 * by id, without versions, freed by g_array_unref; NULL when the node does not answer. */
GArray *fx_list_members (fx_admin_client_t *client, const fx_socket_address_t *address);

/* Receives the JSON of MEMBER's response with status 200, borrowed; NULL for other
 * outcomes. */
typedef void (*fx_member_response_fn_t) (const fx_node_status_t *member, json_t *body,
                                         void *user);

/* Sends GET PATH to the serving ones of MEMBERS, an array of fx_node_status_t, and calls
 * HANDLER with USER once for each member, serving or not, in any order. Each response is freed
 * after its call, so only one is in memory at a time. */
void fx_query_members (fx_admin_client_t *client, const GArray *members, const char *path,
                       fx_member_response_fn_t handler, void *user);

/* Requests the members from the node at ADDRESS and its version from each serving one. Returns
 * a new array of fx_node_status_t ordered by id, freed by g_array_unref, or NULL when the node
 * does not answer. */
GArray *fx_query_versions (fx_admin_client_t *client, const fx_socket_address_t *address);

/* Returns whether MEMBER is alive or suspect. */
bool fx_is_serving (const fx_node_status_t *member);

#endif
