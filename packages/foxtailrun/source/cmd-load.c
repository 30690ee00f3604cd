/* foxtailrun load: offers calls to entry nodes at a fixed rate and reports their outcomes. */
#include "command.h"
#include "load.h"
#include <argtable2.h>

#define DEFAULT_IN_FLIGHT_MAX 256
#define DEFAULT_TIMEOUT_MS 10000
#define DEFAULT_SEED 1

/* Stores OPTION, an integer from 1 to MAX; without it *VALUE keeps its default. */
static bool
parse_number (const struct arg_int *option, const char *name, int max, uint32_t *value,
              const cmd_io_t *io)
{
  if (option->count == 0)
    return true;
  if (option->ival[0] < 1 || option->ival[0] > max)
    {
      fprintf (io->err, "foxtailrun: --%s: found %d, allowed: an integer from 1 to %d\n", name,
               option->ival[0], max);
      return false;
    }
  *value = (uint32_t)option->ival[0];
  return true;
}

static bool
parse_entries (const struct arg_str *option, load_plan_t *plan, const cmd_io_t *io)
{
  for (int i = 0; i < option->count; i++)
    if (fx_parse_socket_address (option->sval[i], &plan->entries[plan->entry_count++]) != FB_OK)
      {
        fprintf (io->err, "foxtailrun: --entry: found \"%s\", allowed: IP:PORT\n",
                 option->sval[i]);
        return false;
      }
  return true;
}

static bool
parse_kinds (const struct arg_str *option, load_plan_t *plan, const cmd_io_t *io)
{
  for (int i = 0; i < option->count; i++)
    {
      const char *allowed = load_parse_kind (option->sval[i], &plan->kinds[plan->kind_count++]);

      if (!allowed)
        continue;
      fprintf (io->err, "foxtailrun: --call: found \"%s\", allowed: %s\n", option->sval[i],
               allowed);
      return false;
    }
  return true;
}

static int
run_load (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_str *entry = arg_strn (NULL, "entry", "IP:PORT", 1, LOAD_ENTRIES_MAX,
                                    "caller address of a node; several are used in turn");
  struct arg_str *call
      = arg_strn (NULL, "call", "CALL", 1, LOAD_KINDS_MAX,
                  "\"METHOD PATH [customer=NAME] [weight=N] [ticket]\"; ticket repeats a 428");
  struct arg_int *rate = arg_int1 (NULL, "rate", "CALLS/S", "calls offered, at most 10000");
  struct arg_int *duration = arg_int1 (NULL, "duration", "SECONDS", "at most 600");
  struct arg_int *in_flight = arg_int0 (NULL, "in-flight", "CALLS",
                                        "maximum number of calls in flight (256), at most 900");
  struct arg_int *timeout = arg_int0 (
      NULL, "timeout", "MS", "timeout for connecting and for each read (10000), at most 60000");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of the random choice of calls (1)");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  void *table[] = { CMD_STANDARD_OPTIONS,
                    entry,
                    call,
                    rate,
                    duration,
                    in_flight,
                    timeout,
                    seed,
                    json,
                    arg_end (CMD_ARGUMENT_ERRORS_MAX) };
  load_plan_t *plan = g_new0 (load_plan_t, 1);
  int status;

  plan->in_flight_max = DEFAULT_IN_FLIGHT_MAX;
  plan->timeout_ms = DEFAULT_TIMEOUT_MS;
  plan->seed = DEFAULT_SEED;
  if (!cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    goto done;
  status = CMD_EXIT_USAGE;
  if (!parse_number (rate, "rate", LOAD_RATE_PER_S_MAX, &plan->rate, io)
      || !parse_number (duration, "duration", LOAD_DURATION_S_MAX, &plan->duration_s, io)
      || !parse_number (in_flight, "in-flight", LOAD_IN_FLIGHT_MAX, &plan->in_flight_max, io)
      || !parse_number (timeout, "timeout", LOAD_TIMEOUT_MS_MAX, &plan->timeout_ms, io)
      || !parse_number (seed, "seed", G_MAXINT, &plan->seed, io)
      || !parse_entries (entry, plan, io) || !parse_kinds (call, plan, io))
    goto done;
  load_run (plan);
  if (json->count > 0)
    cmd_print_json (load_pack_report (plan), io->out);
  else
    load_print_report (plan, io->out);
  status = CMD_EXIT_OK;
done:
  for (size_t i = 0; i < plan->kind_count; i++)
    load_clear_kind (&plan->kinds[i]);
  g_free (plan);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_load
    = { "load", "offer calls at a fixed rate and report their outcomes", run_load };
