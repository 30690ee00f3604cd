/* foxtailrund: the node beside a backend server. */
#include <argtable2.h>
#include <foxtailrun/config/settings.h>
#include <foxtailrun/node/node.h>
#include <foxtailrun/platform/platform.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>

#define EXIT_BAD_INPUT 2
#define SETTINGS_MAX (64 * 1024)

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

/* Reads the settings of a node, or with PLATFORM those that the platform wrote. */
static bool
load_settings (const char *path, bool platform, fc_settings_t *settings)
{
  fc_problems_t *problems = fc_create_problems ();
  uint8_t *data = NULL;
  size_t length = 0;
  bool good = fc_read_file (path, SETTINGS_MAX, &data, &length, problems) == FB_OK
              && (platform ? fp_check_settings : fc_check_settings) (
                     (fb_bytes_t){ data, length }, settings, problems)
                     == FB_OK;

  print_problems (problems, path);
  g_free (data);
  fc_destroy_problems (problems);
  return good;
}

static int
run_node (const fc_settings_t *settings, const fn_adapter_t *adapter)
{
  fb_clock_t *clock = fb_create_system_clock ();
  fb_output_t output = { 0 };
  fb_log_t *log = fb_create_log (clock, settings->log_format, settings->log_level,
                                 fb_write_output, &output);
  fk_kernel_t *kernel = fk_create_kernel (log);
  int code = EXIT_FAILURE;

  fn_register_node (kernel, settings, adapter);
  if (fk_start_services (kernel) == FB_OK)
    {
      FB_LOG (log, FB_LOG_INFO, "node", "started", FB_TEXT ("id", settings->id.data),
              FB_TEXT ("zone", settings->zone.data));
      fk_run (kernel);
      code = EXIT_SUCCESS;
    }
  fk_destroy_kernel (kernel);
  fb_destroy_clock (clock);
  return code;
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
  fc_settings_t settings;
  int errors = arg_parse (argc, argv, table);
  int code = EXIT_BAD_INPUT;

  if (help->count > 0)
    {
      printf ("Usage: foxtailrund");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      code = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf ("foxtailrund " FOXTAILRUN_VERSION "\n");
      code = EXIT_SUCCESS;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "foxtailrund");
  else if (settings_file->count == 0 && !fp_find_settings ())
    fprintf (stderr, "foxtailrund: --settings FILE is required\n");
  else if (sodium_init () < 0)
    fprintf (stderr, "foxtailrund: no source of random numbers\n");
  else if (settings_file->count > 0)
    {
      if (load_settings (settings_file->filename[0], false, &settings))
        code = run_node (&settings, NULL);
    }
  else if (load_settings (fp_find_settings (), true, &settings))
    code = run_node (&settings, fp_get_adapter (&settings));
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
