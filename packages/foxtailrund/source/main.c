/* foxtailrund: the daemon that runs a node next to a backend server. */
#include <argtable2.h>
#include <foxtailrun/config/settings.h>
#include <foxtailrun/node/node.h>
#include <foxtailrun/platform/platform.h>
#include <glib.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>

#define EXIT_INVALID_INPUT 2
#define SETTINGS_BYTES_MAX (64 * 1024)

static void
print_problems (const fc_problems_t *problems, const char *path)
{
  for (size_t i = 0; i < fc_count_problems (problems); i++)
    {
      char *text = fc_format_problem (fc_get_problem (problems, i), path);
      fprintf (stderr, "%s\n", text);
      g_free (text);
    }
}

/* Reads the settings in PATH, with FROM_PLATFORM in the platform's format; prints problems.
 * Returns whether they are valid. */
static bool
load_settings (const char *path, bool from_platform, fc_settings_t *settings)
{
  fc_problems_t *problems = fc_create_problems ();
  uint8_t *data = NULL;
  size_t length = 0;
  bool is_valid = fc_read_file (path, SETTINGS_BYTES_MAX, &data, &length, problems) == FB_OK
                  && (from_platform ? fp_check_settings : fc_check_settings) (
                         (fb_bytes_t){ data, length }, settings, problems)
                         == FB_OK;

  print_problems (problems, path);
  g_free (data);
  fc_destroy_problems (problems);
  return is_valid;
}

/* Size in bytes from which a block has its own mapping and is returned when it is freed. */
#define MMAP_THRESHOLD (128 * 1024)

/* State of the process, input of a reload. */
typedef struct
{
  const char *path;
  bool from_platform;
  fc_settings_t settings; /* in force */
  fb_log_t *log;
} daemon_t;

static bool
is_same_socket_address (const fc_socket_address_t *a, const fc_socket_address_t *b)
{
  return a->port == b->port && fb_equal_name (&a->address, &b->address);
}

static bool
has_same_addresses (const fc_settings_t *a, const fc_settings_t *b)
{
  return fb_equal_name (&a->address, &b->address) && fb_equal_name (&a->service, &b->service)
         && a->caller_port == b->caller_port && a->call_port == b->call_port
         && a->ready_port == b->ready_port && is_same_socket_address (&a->backend, &b->backend)
         && is_same_socket_address (&a->platform, &b->platform);
}

/* Reads the settings again and logs whether they are valid and need a restart: addresses,
 * ports and the backend server cannot change at run time. */
static void
reload_settings (void *user)
{
  daemon_t *node = user;
  fc_settings_t settings;
  bool is_valid = load_settings (node->path, node->from_platform, &settings);

  FB_LOG (node->log, is_valid ? FB_LOG_INFO : FB_LOG_ERROR, "node",
          "settings checked on reload", FB_TEXT ("file", node->path),
          FB_NUMBER ("good", is_valid),
          FB_NUMBER ("restart_needed",
                     is_valid && !has_same_addresses (&settings, &node->settings)));
}

static int
run_node (daemon_t *node, const fn_adapter_t *adapter)
{
  const fc_settings_t *settings = &node->settings;
  fb_clock_t *clock = fb_create_system_clock ();
  fb_stdout_sink_t output = { 0 };
  fb_log_t *log = fb_create_log (clock, settings->log_format, settings->log_level,
                                 fb_write_stdout, &output);
  fk_kernel_t *kernel;
  int status = EXIT_FAILURE;

  /* The default threshold rises to the largest block freed, after which bodies come from the
   * heap and leave holes that stay resident. */
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD);
  kernel = fk_create_kernel (log);
  node->log = log;
  fk_watch_reload (kernel, reload_settings, node);
  fn_register_node (kernel, settings, adapter);
  if (fk_start_services (kernel) == FB_OK)
    {
      FB_LOG (log, FB_LOG_INFO, "node", "started", FB_TEXT ("id", settings->id.data),
              FB_TEXT ("zone", settings->zone.data));
      fk_run (kernel);
      status = EXIT_SUCCESS;
    }
  fk_destroy_kernel (kernel);
  fb_destroy_clock (clock);
  return status;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_file *settings_file
      = arg_file0 ("s", "settings", "FILE", "settings of this node (TOML)");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, version, settings_file, end };
  daemon_t node = { 0 };
  int errors = arg_parse (argc, argv, table);
  int status = EXIT_INVALID_INPUT;

  if (help->count > 0)
    {
      printf ("Usage: foxtailrund");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf ("foxtailrund " FOXTAILRUN_VERSION "\n");
      status = EXIT_SUCCESS;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "foxtailrund");
  else if (settings_file->count == 0 && !fp_find_settings ())
    fprintf (stderr, "foxtailrund: --settings FILE is required\n");
  else if (sodium_init () < 0)
    fprintf (stderr, "foxtailrund: no source of random numbers\n");
  else
    {
      node.from_platform = settings_file->count == 0;
      node.path = node.from_platform ? fp_find_settings () : settings_file->filename[0];
      if (load_settings (node.path, node.from_platform, &node.settings))
        status = run_node (&node, node.from_platform ? fp_get_adapter (&node.settings) : NULL);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
