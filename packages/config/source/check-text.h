/* Validation of strings in the document and the settings. */
#ifndef FOXTAILRUN_CONFIG_CHECK_TEXT_H
#define FOXTAILRUN_CONFIG_CHECK_TEXT_H

#include <foxtailrun/base/string.h>
#include <foxtailrun/config/schema.h>

/* Returns whether TEXT is a valid name. */
bool fc_is_name (fb_str_t text);

/* Returns whether TEXT is a numeric IPv4 or IPv6 address. */
bool fc_is_address (fb_str_t text);

/* Returns whether TEXT is valid for FIELD, which has a string type. */
bool fc_is_valid_text (const fc_field_t *field, fb_str_t text);

#endif
