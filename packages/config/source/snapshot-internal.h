/* Structure of a snapshot, for the checker that creates it and for readers. */
#ifndef FOXTAILRUN_CONFIG_SNAPSHOT_PARTS_H
#define FOXTAILRUN_CONFIG_SNAPSHOT_PARTS_H

#include "route-index.h"
#include <foxtailrun/config/snapshot.h>
#include <glib.h>

struct fc_snapshot
{
  gint references;
  uint64_t version_number;
  uint32_t idle_timeout_ms;
  uint8_t *document;
  size_t document_length;
  fc_rank_t *ranks;
  size_t rank_count;
  fc_service_t *services;
  size_t service_count;
  fc_route_t *routes;
  size_t route_count;
  fc_customer_t *customers;
  size_t customer_count;
  fc_objective_t *objectives;
  size_t objective_count;
  GHashTable *rank_names;     /* fb_name_t in ranks to index */
  GHashTable *service_names;  /* fb_name_t in services to index */
  GHashTable *customer_names; /* fb_name_t in customers to index */
  GStringChunk *texts;        /* paths and methods of routes */
  GPtrArray *arrays;          /* depends_on of services, parts of routes */
  fc_route_index_t *route_index;
  GArray *sections; /* fc_section_t, for fc_check_change; NULL when not divisible */
};

/* Creates an empty snapshot with one reference and a copy of DOCUMENT. */
fc_snapshot_t *fc_create_snapshot (fb_bytes_t document);

/* Creates a hash table from names, which are borrowed, to indexes. */
GHashTable *fc_create_name_table (void);

/* Adds NAME with INDEX; false when NAME exists, with its index in *EARLIER. */
bool fc_add_name (GHashTable *names, const fb_name_t *name, size_t index, size_t *earlier);

/* Stores the index of name TEXT in *INDEX; false when unknown. */
bool fc_find_name (GHashTable *names, fb_str_t text, size_t *index);

#endif
