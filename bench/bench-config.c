/* Measures the check of a document: in full, and from a snapshot that differs in some
 * routes. */
#include <foxtailrun/config/snapshot.h>
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define RUNS 9
#define SERVICES 130
#define NS_PER_MS 1e6

/* Routes of a document near the size limit. */
#define ROUTES_LARGEST 4000

/* Length of a route with the comment that pads it. */
#define ROUTE_BYTES 258

static double
read_cpu_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / NS_PER_MS;
}

/* Returns a document with ROUTES routes, CHANGED of which depend on VERSION. */
static GString *
write_document (int routes, int changed, int version)
{
  GString *text = g_string_new ("");

  g_string_append_printf (text, "version = %d\n", version);
  for (int i = 0; i < 4; i++)
    g_string_append_printf (text, "[[rank]]\nname = \"rank-%d\"\norder = %d\nshare = 0.2\n", i,
                            i);
  for (int i = 0; i < SERVICES; i++)
    {
      g_string_append_printf (
          text, "[[service]]\nname = \"service-%d\"\nslots = 9\nconnections = 120\n", i);
      if (i > 0)
        g_string_append_printf (text, "depends_on = [\"service-%d\"]\n", i - 1);
    }
  for (int i = 0; i < routes; i++)
    {
      /* Spreads the changed routes evenly. */
      bool changes = (long)i * changed / routes != (long)(i + 1) * changed / routes;
      gsize start = text->len;

      g_string_append_printf (
          text,
          "[[route]]\nname = \"route-%d\"\npath = \"/shop/area-%d/item-%d/history\"\n"
          "methods = [\"GET\", \"HEAD\"]\nservice = \"service-%d\"\nrank = \"rank-%d\"\n"
          "timeout_ms = %d\nrepeatable = true\nretries = 2\n# ",
          i, i % 50, i, i % SERVICES, i % 4, 1000 + (changes ? version : 0));
      while (text->len - start < ROUTE_BYTES - 1)
        g_string_append_c (text, 'x');
      g_string_append_c (text, '\n');
    }
  return text;
}

static fc_snapshot_t *
check_text (fc_snapshot_t *base, const GString *text)
{
  fc_problems_t *problems = fc_create_problems ();
  fb_bytes_t document = { (const uint8_t *)text->str, text->len };
  fc_snapshot_t *snapshot
      = fc_check_change (base, document, fc_get_document_limits (), problems);

  if (!snapshot)
    g_error ("%s", fc_get_problem (problems, 0)->found);
  fc_destroy_problems (problems);
  return snapshot;
}

static int
compare_times (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static void
measure (const char *name, int routes, int changed, fc_snapshot_t *base)
{
  double times[RUNS];

  for (int i = 0; i < RUNS; i++)
    {
      GString *text = write_document (routes, changed, i + 2);
      double start = read_cpu_ms ();

      fc_release_snapshot (check_text (base, text));
      times[i] = read_cpu_ms () - start;
      g_string_free (text, TRUE);
    }
  qsort (times, RUNS, sizeof *times, compare_times);
  printf ("  %-22s best %7.2f ms  median %7.2f ms\n", name, times[0], times[RUNS / 2]);
}

static void
measure_size (int routes)
{
  GString *text = write_document (routes, 0, 1);
  struct mallinfo2 before = mallinfo2 ();
  fc_snapshot_t *base = check_text (NULL, text);
  struct mallinfo2 after = mallinfo2 ();

  printf ("%zu bytes, %d routes\n", text->len, routes);
  printf ("  %-22s %zu bytes\n", "snapshot",
          after.uordblks + after.hblkhd - before.uordblks - before.hblkhd);
  measure ("full check", routes, 0, NULL);
  measure ("one line", routes, 0, base);
  measure ("one route", routes, 1, base);
  measure ("1 % of routes", routes, routes / 100, base);
  measure ("10 % of routes", routes, routes / 10, base);
  measure ("all routes", routes, routes, base);
  fc_release_snapshot (base);
  g_string_free (text, TRUE);
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    {
      GString *text = write_document (ROUTES_LARGEST, 0, 1);

      /* Writes the largest document to a file, for other programs. */
      g_file_set_contents (argv[1], text->str, (gssize)text->len, NULL);
      g_string_free (text, TRUE);
      return 0;
    }
  measure_size (350);
  measure_size (1850);
  measure_size (ROUTES_LARGEST);
  return 0;
}
