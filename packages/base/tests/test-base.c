/* Strings, versions, digests, clock, counters and log lines of the base package. */
#include <foxtailrun/base/clock.h>
#include <foxtailrun/base/counter.h>
#include <foxtailrun/base/histogram.h>
#include <foxtailrun/base/log.h>
#include <foxtailrun/base/version.h>
#include <glib.h>
#include <limits.h>
#include <string.h>

/* Guards against numbers that overflow or contain other characters being accepted. */
static void
test_parse_number (void)
{
  static const struct
  {
    const char *text;
    bool valid;
    uint64_t value;
  } cases[] = {
    { "0", true, 0 },
    { "18446744073709551615", true, UINT64_MAX },
    { "18446744073709551616", false, 0 },
    { "", false, 0 },
    { "-1", false, 0 },
    { "12a", false, 0 },
    { " 1", false, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint64_t value = 0;
      g_assert_cmpint (fb_parse_u64 (fb_wrap_text (cases[i].text), &value), ==, cases[i].valid);
      g_assert_cmpuint (value, ==, cases[i].value);
    }
}

/* Guards against names that are truncated silently or lack the final NUL byte. */
static void
test_name_limit (void)
{
  char long_text[FB_NAME_MAX + 2];
  fb_name_t name;

  memset (long_text, 'a', sizeof long_text);
  g_assert_true (fb_set_name (&name, (fb_str_t){ long_text, FB_NAME_MAX }));
  g_assert_cmpuint (name.len, ==, FB_NAME_MAX);
  g_assert_cmpint (name.data[FB_NAME_MAX], ==, 0);
  g_assert_false (fb_set_name (&name, (fb_str_t){ long_text, FB_NAME_MAX + 1 }));
  g_assert_cmpuint (name.len, ==, 0);
}

/* Guards against an order in which an older version overrides a newer one. */
static void
test_version_order (void)
{
  static const struct
  {
    fb_version_t a;
    fb_version_t b;
    int order;
  } cases[] = {
    { { 1, 9, { { 9 } } }, { 2, 1, { { 1 } } }, -1 },
    { { 2, 1, { { 9 } } }, { 2, 2, { { 1 } } }, -1 },
    { { 2, 2, { { 1 } } }, { 2, 2, { { 2 } } }, -1 },
    { { 2, 2, { { 2 } } }, { 2, 2, { { 2 } } }, 0 },
    { { 0, 0, { { 0 } } }, { 1, 0, { { 0 } } }, -1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int order = fb_compare_versions (&cases[i].a, &cases[i].b);
      int reverse = fb_compare_versions (&cases[i].b, &cases[i].a);
      g_assert_cmpint ((order > 0) - (order < 0), ==, cases[i].order);
      g_assert_cmpint ((reverse > 0) - (reverse < 0), ==, -cases[i].order);
    }
}

/* Guards against a manual clock that advances without fb_advance_clock. */
static void
test_manual_clock (void)
{
  fb_clock_t *clock = fb_create_manual_clock (5);

  g_assert_cmpint (fb_read_clock (clock), ==, 5);
  fb_advance_clock (clock, FB_SECOND);
  g_assert_cmpint (fb_read_clock (clock), ==, 5 + FB_SECOND);
  fb_destroy_clock (clock);
}

static void
append_counter (const char *name, const char *labels, uint64_t value, void *user)
{
  g_string_append_printf (user, "%s{%s}=%" G_GUINT64_FORMAT ";", name, labels, value);
}

/* Guards against durations counted in the wrong bucket. */
static void
test_histogram (void)
{
  static const struct
  {
    fb_time_t duration;
    const char *bound; /* of the lowest bucket that includes DURATION */
    uint64_t us;
  } cases[] = {
    { -1, "1000", 0 },
    { FB_MILLISECOND, "1000", 1000 },
    { FB_MILLISECOND + FB_MICROSECOND, "2000", 1001 },
    { 5 * FB_SECOND, "5000000", 5000000 },
    { 6 * FB_SECOND, "+Inf", 6000000 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_counters_t *counters = fb_create_counters ();
      fb_histogram_t *histogram = fb_create_histogram (counters, "t", "x=\"1\"");
      char *lowest = g_strdup_printf ("x=\"1\",le=\"%s\"", cases[i].bound);
      uint64_t counted = 0;

      fb_observe_time (histogram, cases[i].duration);
      g_assert_cmpuint (fb_get_counter (fb_find_counter (counters, "t_bucket", lowest)), ==, 1);
      g_assert_cmpuint (
          fb_get_counter (fb_find_counter (counters, "t_bucket", "x=\"1\",le=\"+Inf\"")), ==,
          1);
      g_assert_cmpuint (fb_get_counter (fb_find_counter (counters, "t_sum", "x=\"1\"")), ==,
                        cases[i].us);
      g_assert_cmpuint (fb_get_counter (fb_find_counter (counters, "t_count", "x=\"1\"")), ==,
                        1);
      counted = fb_get_counter (fb_find_counter (counters, "t_bucket", "x=\"1\",le=\"1000\""));
      g_assert_cmpuint (counted, ==, cases[i].us <= 1000);
      g_free (lowest);
      fb_destroy_histogram (histogram);
      fb_destroy_counters (counters);
    }
}

/* Guards against counters that share a value and against duplicates of one counter. */
static void
test_counters (void)
{
  fb_counters_t *counters = fb_create_counters ();
  GString *text = g_string_new ("");

  fb_add_counter (fb_find_counter (counters, "b", ""), 2);
  fb_add_counter (fb_find_counter (counters, "a", "x=\"1\""), 1);
  fb_add_counter (fb_find_counter (counters, "b", ""), 3);
  fb_visit_counters (counters, append_counter, text);
  g_assert_cmpstr (text->str, ==, "a{x=\"1\"}=1;b{}=5;");
  g_string_free (text, TRUE);
  fb_destroy_counters (counters);
}

static void
append_line (fb_str_t line, void *user)
{
  g_string_append_len (user, line.data, (gssize)line.len);
}

/* Guards against values with quotes, newlines or control bytes that split a log line. */
static void
test_log_quoting (void)
{
  static const struct
  {
    fb_log_format_t format;
    const char *line;
  } cases[] = {
    { FB_LOG_LOGFMT,
      "ms=7 level=info service=test msg=\"a b\" key=\"x\\u000ay\\\"\" n=-3 plain=ok\n" },
    { FB_LOG_JSON, "{\"ms\":7,\"level\":\"info\",\"service\":\"test\",\"msg\":\"a b\","
                   "\"key\":\"x\\u000ay\\\"\",\"n\":-3,\"plain\":\"ok\"}\n" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (7 * FB_MILLISECOND);
      GString *text = g_string_new ("");
      fb_log_t *log = fb_create_log (clock, cases[i].format, FB_LOG_INFO, append_line, text);

      FB_LOG (log, FB_LOG_INFO, "test", "a b", FB_TEXT ("key", "x\ny\""), FB_NUMBER ("n", -3),
              FB_TEXT ("plain", "ok"));
      FB_LOG (log, FB_LOG_DEBUG, "test", "hidden", FB_NUMBER ("n", 1));
      g_assert_cmpstr (text->str, ==, cases[i].line);
      fb_destroy_log (log);
      g_string_free (text, TRUE);
      fb_destroy_clock (clock);
    }
}

/* Guards against lines that are dropped, as over PIPE_BUF, since callers send long texts. */
static void
test_log_long_text (void)
{
  static const struct
  {
    char fill;
    size_t length;
    const char *end; /* of the field */
  } cases[] = {
    { 'x', 256, "x b=" },
    { 'x', 257, "x...(257 bytes)\" b=" },
    { 'x', 400000, "...(400000 bytes)\" b=" },
    { '\1', 400000, "...(400000 bytes)\" b=" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_clock_t *clock = fb_create_manual_clock (0);
      GString *line = g_string_new ("");
      fb_log_t *log = fb_create_log (clock, FB_LOG_LOGFMT, FB_LOG_INFO, append_line, line);
      char *text = g_strnfill (cases[i].length, cases[i].fill);

      FB_LOG (log, FB_LOG_INFO, "test", "long", FB_TEXT ("a", text), FB_TEXT ("b", text));
      g_assert_cmpuint (line->len, <=, PIPE_BUF);
      g_assert_nonnull (strstr (line->str, cases[i].end));
      g_free (text);
      g_string_free (line, TRUE);
      fb_destroy_log (log);
      fb_destroy_clock (clock);
    }
}

/* Guards against a long text that is cut within a character, so that the line is no JSON. */
static void
test_log_cut_character (void)
{
  static const char *const characters[]
      = { "x", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x9b\x92" };

  for (size_t i = 0; i < G_N_ELEMENTS (characters); i++)
    for (size_t offset = 0; offset < 4; offset++)
      {
        fb_clock_t *clock = fb_create_manual_clock (0);
        GString *line = g_string_new ("");
        fb_log_t *log = fb_create_log (clock, FB_LOG_JSON, FB_LOG_INFO, append_line, line);
        GString *text = g_string_new ("");

        for (size_t j = 0; j < offset; j++)
          g_string_append_c (text, 'x');
        while (text->len < 300)
          g_string_append (text, characters[i]);
        FB_LOG (log, FB_LOG_INFO, "test", "long",
                FB_STR ("a", ((fb_str_t){ text->str, text->len })));
        g_assert_true (g_utf8_validate (line->str, (gssize)line->len, NULL));
        g_assert_nonnull (strstr (line->str, " bytes)\"}\n"));
        g_string_free (text, TRUE);
        g_string_free (line, TRUE);
        fb_destroy_log (log);
        fb_destroy_clock (clock);
      }
}

/* Guards against repeated messages that flood the log or are suppressed uncounted. */
static void
test_log_repeats (void)
{
  fb_clock_t *clock = fb_create_manual_clock (0);
  GString *text = g_string_new ("");
  fb_log_t *log = fb_create_log (clock, FB_LOG_LOGFMT, FB_LOG_INFO, append_line, text);
  size_t lines = 0;

  for (int i = 0; i < 25; i++)
    FB_LOG (log, FB_LOG_INFO, "test", "repeated", FB_NUMBER ("i", i));
  for (const char *at = text->str; (at = strchr (at, '\n')); at++)
    lines++;
  g_assert_cmpuint (lines, ==, 10);
  fb_advance_clock (clock, 10 * FB_SECOND);
  g_string_truncate (text, 0);
  FB_LOG (log, FB_LOG_INFO, "test", "repeated", FB_NUMBER ("i", 25));
  g_assert_nonnull (strstr (text->str, "dropped=15"));
  fb_destroy_log (log);
  g_string_free (text, TRUE);
  fb_destroy_clock (clock);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/parse-number", test_parse_number);
  g_test_add_func ("/base/name-limit", test_name_limit);
  g_test_add_func ("/base/version-order", test_version_order);
  g_test_add_func ("/base/manual-clock", test_manual_clock);
  g_test_add_func ("/base/counters", test_counters);
  g_test_add_func ("/base/histogram", test_histogram);
  g_test_add_func ("/base/log-quoting", test_log_quoting);
  g_test_add_func ("/base/log-long-text", test_log_long_text);
  g_test_add_func ("/base/log-cut-character", test_log_cut_character);
  g_test_add_func ("/base/log-repeats", test_log_repeats);
  return g_test_run ();
}
