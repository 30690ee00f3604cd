/* Parser for the subset of TOML that programs usually write. */
#ifndef FOXTAILRUN_CONFIG_TOML_PLAIN_H
#define FOXTAILRUN_CONFIG_TOML_PLAIN_H

#include "toml-tree.h"

/* Maximum number of different [[...]] headers in a text. */
#define FC_SUBSET_LISTS_MAX 8

/* Returns a new node, all zero, owned by USER. */
typedef fc_toml_t *(*fc_create_node_fn_t) (void *user);

/* Parses TEXT, which must outlive the nodes, into a tree whose root is the first node from
 * CREATE. Returns false, and an incomplete tree, when TEXT is invalid or outside the
 * subset: empty lines, "[[name]]", or "key = value" with a bare key and a printable ASCII
 * string without escapes, a non-negative integer, a boolean or a non-empty array of such
 * strings. */
bool fc_parse_toml_subset (fb_str_t text, fc_create_node_fn_t create, void *user);

#endif
