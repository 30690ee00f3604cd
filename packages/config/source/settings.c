/* Check of a node's settings. */
#include "check-row.h"
#include "check-text.h"
#include <foxtailrun/config/settings.h>
#include <glib.h>
#include <string.h>

/* Bounds the work on a file that is not a settings file. */
#define SETTINGS_MAX_BYTES (64 * 1024)

static void
check_section (fc_row_t *row, const fc_toml_t *root, const char *section,
               fc_problems_t *problems)
{
  const fc_toml_t *table = fc_find_child (root, section);

  if (table && table->kind != FC_TOML_TABLE)
    table = NULL;
  fc_check_row (row, fc_get_settings_schema (), section, section, table, problems);
}

static void
store_name (fb_name_t *name, const fc_row_t *row, const char *key)
{
  fb_set_name (name, fc_get_value (row, key)->text);
}

static uint16_t
get_port (const fc_row_t *row, const char *key)
{
  return (uint16_t)fc_get_value (row, key)->integer;
}

static void
check_node (fc_settings_t *settings, const fc_toml_t *root, fc_problems_t *problems)
{
  fc_row_t row;

  check_section (&row, root, "node", problems);
  store_name (&settings->id, &row, "id");
  store_name (&settings->zone, &row, "zone");
  store_name (&settings->region, &row, "region");
  store_name (&settings->service, &row, "service");
}

static void
check_listen (fc_settings_t *settings, const fc_toml_t *root, fc_problems_t *problems)
{
  static const char *const keys[]
      = { "caller_port", "call_port", "control_port", "admin_port" };
  uint16_t ports[G_N_ELEMENTS (keys)];
  fc_row_t row;

  check_section (&row, root, "listen", problems);
  store_name (&settings->address, &row, "address");
  if (strcmp (settings->address.data, "0.0.0.0") == 0
      || strcmp (settings->address.data, "::") == 0)
    fc_add_node_problem (problems, &row, "address", fc_get_value (&row, "address")->node, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      ports[i] = get_port (&row, keys[i]);
      for (size_t j = 0; j < i; j++)
        if (ports[i] == ports[j])
          {
            char *found = g_strdup_printf ("%u, as in listen.%s", ports[i], keys[j]);

            fc_add_key_problem (problems, &row, keys[i], found,
                                "a different port for each listener");
            g_free (found);
            break;
          }
    }
  settings->caller_port = ports[0];
  settings->call_port = ports[1];
  settings->control_port = ports[2];
  settings->admin_port = ports[3];
  settings->ready_port = get_port (&row, "ready_port");
  settings->pipeline_requests = (size_t)fc_get_value (&row, "pipeline_requests")->integer;
  settings->pipeline_bytes = (size_t)fc_get_value (&row, "pipeline_bytes")->integer;
  check_section (&row, root, "drain", problems);
  settings->drain_timeout
      = (fb_time_t)fc_get_value (&row, "limit_ms")->integer * FB_MILLISECOND;
}

fb_str_t
fc_get_caller (const fc_settings_t *settings)
{
  return settings->caller ? fb_wrap_text (settings->caller) : fb_get_name (&settings->service);
}

void
fc_set_default_memory (fc_settings_t *settings)
{
  settings->memory_budget = FC_MEMORY_BUDGET_DEFAULT;
  settings->descriptors = 0;
  settings->header_timeout = FC_HEADER_TIMEOUT_MS_DEFAULT * FB_MILLISECOND;
  settings->body_window = FC_BODY_WINDOW_MS_DEFAULT * FB_MILLISECOND;
  settings->response_window = FC_RESPONSE_WINDOW_MS_DEFAULT * FB_MILLISECOND;
  settings->progress_bytes = FC_PROGRESS_BYTES_DEFAULT;
}

static void
check_memory (fc_settings_t *settings, const fc_toml_t *root, fc_problems_t *problems)
{
  fc_row_t row;

  check_section (&row, root, "memory", problems);
  settings->memory_budget = (size_t)fc_get_value (&row, "budget_bytes")->integer;
  settings->descriptors = (size_t)fc_get_value (&row, "descriptors")->integer;
  settings->header_timeout = fc_get_value (&row, "header_timeout_ms")->integer * FB_MILLISECOND;
  settings->body_window = fc_get_value (&row, "body_window_ms")->integer * FB_MILLISECOND;
  settings->response_window
      = fc_get_value (&row, "response_window_ms")->integer * FB_MILLISECOND;
  settings->progress_bytes = (size_t)fc_get_value (&row, "progress_bytes")->integer;
  if (settings->descriptors > 0 && settings->descriptors < FC_DESCRIPTORS_MIN)
    {
      char *found = g_strdup_printf ("%zu", settings->descriptors);

      fc_add_key_problem (problems, &row, "descriptors", found, "0, or 64 and more");
      g_free (found);
    }
}

static void
check_hedge (fc_settings_t *settings, const fc_toml_t *root, fc_problems_t *problems)
{
  fc_row_t row;

  check_section (&row, root, "hedge", problems);
  settings->hedge_share = fc_get_value (&row, "budget_share")->number;
}

static void
check_backend (fc_settings_t *settings, const fc_toml_t *root, fc_problems_t *problems)
{
  const fc_toml_t *table = fc_find_child (root, "backend");
  fc_row_t row;

  check_section (&row, root, "backend", problems);
  store_name (&settings->backend.address, &row, "address");
  settings->backend.port = get_port (&row, "port");
  settings->limit_burst = fc_get_value (&row, "limit_burst_ms")->integer * FB_MILLISECOND;
  settings->warmup_overage = fc_get_value (&row, "warmup_overage")->number;
  settings->warmup_tolerance = fc_get_value (&row, "warmup_tolerance")->number;
  settings->pace = fc_get_value (&row, "pace")->integer == 1;
  if (settings->service.len > 0 && !fc_find_child (table, "port"))
    fc_add_key_problem (problems, &row, "port", "no value", NULL);
  if (settings->service.len == 0 && table
      && !fc_find_child (fc_find_child (root, "node"), "service"))
    fc_add_problem (problems, table->line, "backend", "a table",
                    "[backend] only with node.service");
}

static void
check_platform (fc_settings_t *settings, const fc_toml_t *root, fc_problems_t *problems)
{
  const fc_toml_t *table = fc_find_child (root, "platform");
  fc_row_t row;

  check_section (&row, root, "platform", problems);
  store_name (&settings->platform.address, &row, "address");
  settings->platform.port = get_port (&row, "port");
  if (table && table->kind == FC_TOML_TABLE && !fc_find_child (table, "port"))
    fc_add_key_problem (problems, &row, "port", "no value", NULL);
}

bool
fc_parse_socket_address (fb_str_t text, fc_socket_address_t *socket_address)
{
  const char *colon = text.len ? memrchr (text.data, ':', text.len) : NULL;
  fb_str_t address;
  uint64_t port;

  if (!colon)
    return false;
  address = (fb_str_t){ text.data, (size_t)(colon - text.data) };
  if (!fb_parse_u64 ((fb_str_t){ colon + 1, text.len - address.len - 1 }, &port) || port == 0
      || port > UINT16_MAX)
    return false;
  if (address.len > 2 && address.data[0] == '[' && address.data[address.len - 1] == ']')
    address = (fb_str_t){ address.data + 1, address.len - 2 };
  else if (address.len > 0 && memchr (address.data, ':', address.len))
    return false;
  socket_address->port = (uint16_t)port;
  return fc_is_address (address) && fb_set_name (&socket_address->address, address);
}

static bool
has_seed (const fc_settings_t *settings, const fc_socket_address_t *seed)
{
  for (size_t i = 0; i < settings->seed_count; i++)
    if (settings->seeds[i].port == seed->port
        && fb_equal_name (&settings->seeds[i].address, &seed->address))
      return true;
  return false;
}

static void
check_seeds (fc_settings_t *settings, const fc_toml_t *root, fc_problems_t *problems)
{
  const fc_value_t *list;
  fc_row_t row;

  check_section (&row, root, "seeds", problems);
  list = fc_get_value (&row, "nodes");
  for (const fc_toml_t *node = NULL; (node = fc_next_string (list, node));)
    {
      fc_socket_address_t seed;

      if (!fc_parse_socket_address (node->text, &seed) || has_seed (settings, &seed)
          || settings->seed_count == FC_SEEDS_MAX)
        fc_add_node_problem (problems, &row, "nodes", node, NULL);
      else
        settings->seeds[settings->seed_count++] = seed;
    }
}

static void
check_admin_and_log (fc_settings_t *settings, const fc_toml_t *root, fc_problems_t *problems)
{
  fc_row_t row;

  check_section (&row, root, "admin", problems);
  store_name (&settings->admin_key, &row, "key");
  check_section (&row, root, "log", problems);
  if (fb_parse_log_level (fc_get_value (&row, "level")->text, &settings->log_level) != FB_OK)
    settings->log_level = FB_LOG_INFO;
  settings->log_format = fb_equal_str (fc_get_value (&row, "format")->text, FB_LITERAL ("json"))
                             ? FB_LOG_JSON
                             : FB_LOG_LOGFMT;
}

static void
check_all (fc_settings_t *settings, fb_bytes_t document, fc_problems_t *problems)
{
  fb_str_t text = { (const char *)document.data, document.len };
  fc_toml_document_t *parsed;
  const fc_toml_t *root;
  fc_row_t row;

  if (document.len > SETTINGS_MAX_BYTES)
    {
      char *found = g_strdup_printf ("%zu bytes", document.len);

      fc_add_problem (problems, 0, "file", found, "at most 65536 bytes");
      g_free (found);
      return;
    }
  if (!fc_scan_toml (text, problems))
    return;
  parsed = fc_parse_toml (text, problems);
  if (!parsed)
    return;
  root = fc_get_toml_root (parsed);
  fc_check_row (&row, fc_get_settings_schema (), "", "", root, problems);
  check_node (settings, root, problems);
  check_listen (settings, root, problems);
  check_hedge (settings, root, problems);
  check_memory (settings, root, problems);
  check_backend (settings, root, problems);
  check_platform (settings, root, problems);
  check_seeds (settings, root, problems);
  check_admin_and_log (settings, root, problems);
  fc_destroy_toml (parsed);
}

fb_status_t
fc_check_settings (fb_bytes_t document, fc_settings_t *settings, fc_problems_t *problems)
{
  fc_problems_t *found = fc_create_problems ();
  fb_status_t status;

  memset (settings, 0, sizeof *settings);
  check_all (settings, document, found);
  status = fc_count_problems (found) == 0 ? FB_OK : FB_INVALID;
  for (size_t i = 0; problems && i < fc_count_problems (found); i++)
    {
      const fc_problem_t *problem = fc_get_problem (found, i);

      fc_add_problem (problems, problem->line, problem->key, problem->found, problem->allowed);
    }
  fc_destroy_problems (found);
  return status;
}
