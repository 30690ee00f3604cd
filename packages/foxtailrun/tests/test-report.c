/* The burn report from responses of nodes. */
#include "report-burn.h"
#include <string.h>

/* JSON of one window; REACH is in ms. */
#define WINDOW(name, reach, good, refused, late, failed, unknown)                              \
  "{\"window\":\"" name "\",\"reach_ms\":" #reach ",\"good\":" #good ",\"refused\":" #refused  \
  ",\"late\":" #late ",\"failed\":" #failed ",\"unknown\":" #unknown "}"
#define EQUAL_WINDOWS(reach, good, refused, late, failed, unknown)                             \
  "[" WINDOW ("5m", reach, good, refused, late, failed, unknown) "," WINDOW (                  \
      "30m", reach, good, refused, late, failed,                                               \
      unknown) "," WINDOW ("1h", reach, good, refused, late, failed,                           \
                           unknown) "," WINDOW ("6h", reach, good, refused, late, failed,      \
                                                unknown) "]"
#define OBJECTIVE(service, ratio, windows)                                                     \
  "{\"service\":\"" service "\",\"rank\":\"fast\",\"target_ms\":50,\"ratio\":" ratio           \
  ",\"windows\":" windows "}"
#define RESPONSE(objectives) "{\"objectives\":[" objectives "]}"

/* Adds node ID of ZONE with the response TEXT, NULL for none. */
static fb_status_t
add_node (burn_report_t *report, const char *id, const char *zone, const char *text)
{
  burn_node_t node = { .id = fb_make_name (id),
                       .zone = fb_make_name (zone),
                       .state = fb_make_name ("alive") };
  json_t *response = text ? json_loads (text, 0, NULL) : NULL;
  fb_status_t status;

  g_assert_true (!text || response);
  status = burn_add_response (report, &node, response);
  json_decref (response);
  return status;
}

/* Guards against malformed responses accepted or partly merged. */
static void
test_answers (void)
{
  static const struct
  {
    const char *response;
    fb_status_t status;
    size_t rows;
  } cases[] = {
    { NULL, FB_OK, 0 },
    { RESPONSE (""), FB_OK, 0 },
    { RESPONSE (OBJECTIVE ("shop", "0.9", EQUAL_WINDOWS (0, 1, 0, 0, 0, 0))), FB_OK, 1 },
    { RESPONSE (OBJECTIVE ("shop", "1", EQUAL_WINDOWS (0, 1, 0, 0, 0, 0))), FB_OK, 1 },
    { "{}", FB_INVALID, 0 },
    { "{\"objectives\":3}", FB_INVALID, 0 },
    { RESPONSE ("7"), FB_INVALID, 0 },
    { RESPONSE (OBJECTIVE ("", "0.9", EQUAL_WINDOWS (0, 1, 0, 0, 0, 0))), FB_INVALID, 0 },
    { RESPONSE (OBJECTIVE ("shop", "1.1", EQUAL_WINDOWS (0, 1, 0, 0, 0, 0))), FB_INVALID, 0 },
    { RESPONSE (OBJECTIVE ("shop", "0.9", EQUAL_WINDOWS (0, -1, 0, 0, 0, 0))), FB_INVALID, 0 },
    { RESPONSE (OBJECTIVE ("shop", "0.9", EQUAL_WINDOWS (-1, 1, 0, 0, 0, 0))), FB_INVALID, 0 },
    { RESPONSE (OBJECTIVE ("shop", "0.9", "[" WINDOW ("5m", 0, 1, 0, 0, 0, 0) "]")), FB_INVALID,
      0 },
    { RESPONSE (OBJECTIVE ("shop", "0.9", EQUAL_WINDOWS (0, 1, 0, 0, 0, 0)) "," OBJECTIVE (
          "bank", "0.9", "[]")),
      FB_INVALID, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      burn_report_t *report = burn_create_report ();

      g_assert_cmpint (add_node (report, "n1", "z1", cases[i].response), ==, cases[i].status);
      g_assert_cmpuint (report->rows->len, ==, cases[i].rows);
      g_assert_cmpuint (report->nodes->len, ==, 1);
      g_assert_cmpuint (burn_count_responses (report), ==,
                        cases[i].response && cases[i].status == FB_OK);
      burn_destroy_report (report);
    }
}

/* Returns the report of four nodes: one does not answer, one has another ratio in force. */
static burn_report_t *
create_fleet_report (void)
{
  burn_report_t *report = burn_create_report ();

  add_node (
      report, "n2", "z2",
      RESPONSE (
          OBJECTIVE ("shop", "0.9", EQUAL_WINDOWS (21600000, 80, 15, 5, 0, 0)) "," OBJECTIVE (
              "bank", "0.9", EQUAL_WINDOWS (21600000, 0, 0, 0, 0, 0))));
  add_node (report, "n1", "z1",
            RESPONSE (OBJECTIVE ("shop", "0.9", EQUAL_WINDOWS (130000, 100, 0, 0, 0, 0))));
  add_node (report, "n4", "z1",
            RESPONSE (OBJECTIVE ("shop", "0.99", EQUAL_WINDOWS (21600000, 5, 0, 0, 4, 1))));
  add_node (report, "n3", "z1", NULL);
  burn_sort_report (report);
  return report;
}

/* Guards against a table that omits nodes without a response, short reach, alerts or the worst
 * zones and nodes, or that merges objectives of different documents. */
static void
test_table (void)
{
  burn_report_t *report = create_fleet_report ();
  char *text;
  size_t size;
  FILE *out = open_memstream (&text, &size);

  burn_print_report (report, out);
  fclose (out);
  g_assert_cmpstr (
      text, ==,
      "3 of 4 nodes answered\n"
      "  no answer: n3 in z1, alive\n"
      "\n"
      "objective                          ms ratio          5m       30m        1h        6h  alert      budget  bad calls in 6h\n"
      "shop/fast                          50 0.99        50.00     50.00     50.00     50.00  page    -4900.0 %  failed 4, unknown 1 of 10\n"
      "  bad calls by zone: z1 5 of 10\n"
      "  bad calls by node: n4 5 of 10\n"
      "shop/fast                          50 0.9          1.00*     1.00*     1.00*     1.00* -           0.0 %  refused 15, late 5 of 200\n"
      "  * counts go back 2m10s to 6h0m0s\n"
      "  bad calls by zone: z2 20 of 100\n"
      "  bad calls by node: n2 20 of 100\n"
      "bank/fast                          50 0.9             -         -         -         -  -         100.0 %  -\n");
  free (text);
  burn_destroy_report (report);
}

/* Guards against names taken as markup, and a page that loads resources. */
static void
test_page (void)
{
  static const struct
  {
    const char *name;
    const char *escaped;
  } cases[] = {
    { "<script>alert(1)</script>", "&lt;script&gt;alert(1)&lt;/script&gt;" },
    { "a&b", "a&amp;b" },
    { "\\\"quoted'", "&quot;quoted&apos;" },
    { "\\u0001", "&#x1;" },
    /* 46 bytes and a two-byte character, whose second byte the limit of names removes. */
    { "0123456789012345678901234567890123456789012345\\u00e9",
      "0123456789012345678901234567890123456789012345\xef\xbf\xbd" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      burn_report_t *report = burn_create_report ();
      json_t *name;
      char *quoted = g_strdup_printf ("\"%s\"", cases[i].name);
      char *page;

      name = json_loads (quoted, JSON_DECODE_ANY, NULL);
      add_node (report, json_string_value (name), json_string_value (name),
                RESPONSE (OBJECTIVE ("shop", "0.9", EQUAL_WINDOWS (0, 1, 1, 0, 0, 0))));
      add_node (report, json_string_value (name), "z1", NULL);
      page = burn_format_page (report, json_string_value (name));
      g_assert_null (strstr (page, "<script"));
      g_assert_null (strstr (page, "http:"));
      g_assert_null (strstr (page, "https:"));
      g_assert_null (strstr (page, "src="));
      g_assert_true (g_utf8_validate (page, -1, NULL));
      /* Twice in the tables, once in the list of nodes without a response. */
      for (int k = 0; k < 3; k++)
        {
          char *found = strstr (page, cases[i].escaped);

          g_assert_nonnull (found);
          *found = ' ';
        }
      g_free (page);
      g_free (quoted);
      json_decref (name);
      burn_destroy_report (report);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/report/answers", test_answers);
  g_test_add_func ("/report/table", test_table);
  g_test_add_func ("/report/page", test_page);
  return g_test_run ();
}
