/* Requests of the operators' command to the administration addresses of nodes. */
#ifndef FOXTAILRUN_COMMAND_FLEET_H
#define FOXTAILRUN_COMMAND_FLEET_H

#include <foxtailrun/base/digest.h>
#include <foxtailrun/base/status.h>
#include <foxtailrun/base/string.h>
#include <glib.h>
#include <jansson.h>

/* Administration address of a node. */
typedef struct
{
  fb_name_t address;
  uint16_t port;
} fx_target_t;

/* What one node says about itself, or what others say when it does not answer. */
typedef struct
{
  fb_name_t id;
  fb_name_t zone;
  fb_name_t service;
  fb_name_t state; /* member state as the asked node sees it */
  fx_target_t target;
  bool reached;
  uint64_t number; /* version in force; 0 when none */
  char digest[FB_DIGEST_HEX_LEN + 1];
  bool reader;
  bool ready;    /* takes calls */
  char *refused; /* last refused document and its first problem, or NULL; owned */
} fx_report_t;

typedef struct fx_fleet fx_fleet_t;

/* Creates the state for requests with KEY (may be empty); each request takes at most
 * TIMEOUT_MS. */
fx_fleet_t *fx_create_fleet (fb_str_t key, uint32_t timeout_ms);

/* Frees the state; NULL is allowed. */
void fx_destroy_fleet (fx_fleet_t *fleet);

/* Parses "IP:PORT"; FB_INVALID otherwise. */
fb_status_t fx_parse_target (const char *text, fx_target_t *target);

/* Sends one request. FB_OK stores the status and, when the answer is JSON, a new object in
 * *ANSWER (else NULL); FB_UNAVAILABLE when the node does not answer. */
fb_status_t fx_request (fx_fleet_t *fleet, const fx_target_t *target, const char *method,
                        const char *path, uint32_t *status, json_t **answer);

/* Asks TARGET for the members. Returns a new array of fx_report_t ordered by id without
 * versions, freed by g_array_unref, or NULL when TARGET does not answer. */
GArray *fx_list_members (fx_fleet_t *fleet, const fx_target_t *target);

/* Receives the JSON that MEMBER answered with status 200, borrowed, or NULL. */
typedef void (*fx_answered_fn_t) (const fx_report_t *member, json_t *answer, void *user);

/* Sends GET PATH to the serving ones of MEMBERS, an array of fx_report_t, and calls ANSWERED
 * with USER once for each member, in any order; a member that is not serving is not asked and
 * has no answer. Only one answer is held at a time. */
void fx_ask_members (fx_fleet_t *fleet, const GArray *members, const char *path,
                     fx_answered_fn_t answered, void *user);

/* Asks TARGET for the members and each live one of them for its version. Returns a new array of
 * fx_report_t ordered by id, freed by g_array_unref, or NULL when TARGET does not answer. */
GArray *fx_survey_fleet (fx_fleet_t *fleet, const fx_target_t *target);

/* Returns whether the member takes part: alive or suspect. */
bool fx_is_serving (const fx_report_t *report);

#endif
