/* Responses with status lines, field lines and chunks of forms that RFC 9112 excludes (sections
 * 4, 5 and 7.1), and of forms that it allows. */
#include "http-response.h"
#include <glib.h>
#include <string.h>

#define BODY_MAX 1024

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define OWN_ID "request-id: own\r\n"
#define LENGTH "content-length: 4\r\n"
#define CHUNKED "transfer-encoding: chunked\r\n"

/* Places of the examined field lines; they replace "%s". */
static const char *const line_places[] = {
  OK_LINE "%s" OWN_ID LENGTH "\r\nbody",
  OK_LINE OWN_ID "%s" LENGTH "\r\nbody",
  OK_LINE OWN_ID LENGTH "%s\r\nbody",
  /* Without a length. */
  OK_LINE "%s" OWN_ID "\r\nbody",
  OK_LINE OWN_ID "%s\r\nbody",
  /* In chunks, and as trailers. */
  OK_LINE OWN_ID "%s" CHUNKED "\r\n4\r\nbody\r\n0\r\n\r\n",
  OK_LINE OWN_ID CHUNKED "%s\r\n4\r\nbody\r\n0\r\n\r\n",
  OK_LINE OWN_ID CHUNKED "\r\n4\r\nbody\r\n0\r\n%s\r\n",
  OK_LINE OWN_ID CHUNKED "\r\n4\r\nbody\r\n0\r\nx: y\r\n%s\r\n",
  /* In an interim response. */
  "HTTP/1.1 100 Continue\r\n%s\r\n" OK_LINE OWN_ID LENGTH "\r\nbody",
};

/* Places of the examined status line with its line ending. */
static const char *const status_line_places[] = {
  "%s" OWN_ID LENGTH "\r\nbody",
  "%s" OWN_ID CHUNKED "\r\n4\r\nbody\r\n0\r\n\r\n",
  "%s" OWN_ID "\r\nbody",
  "HTTP/1.1 100 Continue\r\n\r\n%s" OWN_ID LENGTH "\r\nbody",
};

/* The place of the examined chunks, with the trailers. */
static const char *const chunk_places[] = { OK_LINE OWN_ID CHUNKED "\r\n%s" };

static const size_t piece_lengths[] = { 1, 2, 7, BODY_MAX };

/* Returns TEMPLATE with TEXT in place of "%s"; free with g_string_free. */
static GString *
insert_text (const char *template, fb_str_t text)
{
  const char *place = strstr (template, "%s");
  GString *response = g_string_new_len (template, place - template);

  g_string_append_len (response, text.data, (gssize)text.len);
  return g_string_append (response, place + strlen ("%s"));
}

/* Reads RESPONSE in pieces of PIECE_LENGTH up to its end or an error. */
static fh_read_result_t
read_response (fh_reader_t *reader, const GString *response, size_t piece_length)
{
  fh_read_result_t result = FH_READ_INCOMPLETE;
  size_t consumed;

  fh_reset_reader (reader, false);
  for (size_t at = 0; at < response->len && result == FH_READ_INCOMPLETE; at += consumed)
    {
      fb_bytes_t piece
          = { (const uint8_t *)response->str + at, MIN (piece_length, response->len - at) };

      result = fh_parse_bytes (reader, piece, &consumed);
    }
  return result == FH_READ_INCOMPLETE ? fh_parse_end (reader) : result;
}

/* Checks that the response is refused or, if it IS_ALLOWED, read with its own id and body. */
static void
check_response (fh_reader_t *reader, const GString *response, bool is_allowed)
{
  for (size_t i = 0; i < G_N_ELEMENTS (piece_lengths); i++)
    {
      fh_read_result_t result = read_response (reader, response, piece_lengths[i]);
      fh_response_t view = { 0 };

      if ((result == FH_READ_COMPLETE) != is_allowed)
        {
          char *text = g_strescape (response->str, NULL);

          g_error ("pieces of %zu bytes: result %d for \"%s\"", piece_lengths[i], result, text);
        }
      if (!is_allowed)
        continue;
      fh_view_response (reader, &view);
      g_assert_true (fb_equal_str (
          fh_find_header (view.headers, view.header_count, FB_LITERAL ("request-id")),
          FB_LITERAL ("own")));
      g_assert_cmpmem (view.body.data, view.body.len, "body", 4);
    }
}

/* Checks the responses with TEXT at each of the COUNT PLACES. */
static void
check_places (const char *const *places, size_t count, fb_str_t text, bool is_allowed)
{
  fh_reader_t *reader = fh_create_reader (BODY_MAX);

  for (size_t i = 0; i < count; i++)
    {
      GString *response = insert_text (places[i], text);

      check_response (reader, response, is_allowed);
      g_string_free (response, TRUE);
    }
  fh_destroy_reader (reader);
}

static void
check_lines (fb_str_t lines, bool is_allowed)
{
  check_places (line_places, G_N_ELEMENTS (line_places), lines, is_allowed);
}

static void
check_status_line (fb_str_t line, bool is_allowed)
{
  check_places (status_line_places, G_N_ELEMENTS (status_line_places), line, is_allowed);
}

static const fb_str_t excluded_status_lines[] = {
  /* The status code. */
  FB_LITERAL ("HTTP/1.1 000 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 001 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 099 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 600 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 999 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 0 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 00 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 0000 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 2 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 20 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 2000 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 0200 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 +200 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 -200 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 2x0 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 20x OK\r\n"),
  FB_LITERAL ("HTTP/1.1 2 0 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 20\0 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 0xc8 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 200.1 OK\r\n"),
  FB_LITERAL ("HTTP/1.1 OK\r\n"),
  FB_LITERAL ("HTTP/1.1  OK\r\n"),
  FB_LITERAL ("HTTP/1.1 \r\n"),
  FB_LITERAL ("HTTP/1.1\r\n"),
  /* The blanks between the parts. */
  FB_LITERAL ("HTTP/1.1 200\r\n"),
  FB_LITERAL ("HTTP/1.1 200OK\r\n"),
  FB_LITERAL ("HTTP/1.1 200\tOK\r\n"),
  FB_LITERAL ("HTTP/1.1 200\vOK\r\n"),
  FB_LITERAL ("HTTP/1.1 200\fOK\r\n"),
  FB_LITERAL ("HTTP/1.1 200\rOK\r\n"),
  FB_LITERAL ("HTTP/1.1 200\nOK\r\n"),
  FB_LITERAL ("HTTP/1.1  200 OK\r\n"),
  FB_LITERAL ("HTTP/1.1\t200 OK\r\n"),
  FB_LITERAL ("HTTP/1.1\v200 OK\r\n"),
  FB_LITERAL ("HTTP/1.1\r200 OK\r\n"),
  FB_LITERAL ("HTTP/1.1200 OK\r\n"),
  FB_LITERAL (" HTTP/1.1 200 OK\r\n"),
  FB_LITERAL ("\tHTTP/1.1 200 OK\r\n"),
  FB_LITERAL ("\r\nHTTP/1.1 200 OK\r\n"),
  FB_LITERAL ("\nHTTP/1.1 200 OK\r\n"),
  FB_LITERAL ("\rHTTP/1.1 200 OK\r\n"),
  /* The version. */
  FB_LITERAL ("http/1.1 200 OK\r\n"),
  FB_LITERAL ("HTTp/1.1 200 OK\r\n"),
  FB_LITERAL ("HTP/1.1 200 OK\r\n"),
  FB_LITERAL ("HTTPS/1.1 200 OK\r\n"),
  FB_LITERAL ("xHTTP/1.1 200 OK\r\n"),
  FB_LITERAL ("ICY 200 OK\r\n"),
  FB_LITERAL ("HTTP 200 OK\r\n"),
  FB_LITERAL ("HTTP 1.1 200 OK\r\n"),
  FB_LITERAL ("HTTP/ 1.1 200 OK\r\n"),
  FB_LITERAL ("HTTP/1 200 OK\r\n"),
  FB_LITERAL ("HTTP/1. 200 OK\r\n"),
  FB_LITERAL ("HTTP/.1 200 OK\r\n"),
  FB_LITERAL ("HTTP/1,1 200 OK\r\n"),
  FB_LITERAL ("HTTP/1..1 200 OK\r\n"),
  FB_LITERAL ("HTTP/01.1 200 OK\r\n"),
  FB_LITERAL ("HTTP/1.01 200 OK\r\n"),
  FB_LITERAL ("HTTP/11.1 200 OK\r\n"),
  FB_LITERAL ("HTTP/1.11 200 OK\r\n"),
  FB_LITERAL ("HTTP/x.y 200 OK\r\n"),
  FB_LITERAL ("HTTP/0.9 200 OK\r\n"),
  FB_LITERAL ("HTTP/2.0 200 OK\r\n"),
  FB_LITERAL ("HTTP/2 200 OK\r\n"),
  FB_LITERAL ("200 OK\r\n"),
  FB_LITERAL ("GET / HTTP/1.1\r\n"),
  FB_LITERAL ("OK\r\n"),
  FB_LITERAL (""),
  /* The end of the line. */
  FB_LITERAL ("HTTP/1.1 200 OK\n"),
  FB_LITERAL ("HTTP/1.1 200 OK\r"),
  FB_LITERAL ("HTTP/1.1 200 OK\r\r\n"),
  FB_LITERAL ("HTTP/1.1 200 OK\rOK\r\n"),
  FB_LITERAL ("HTTP/1.1 200 OK\nOK\r\n"),
  FB_LITERAL ("HTTP/1.1 200 OK\r\n OK\r\n"),
  FB_LITERAL ("HTTP/1.1 200 OK\r\n\tOK\r\n"),
};

/* Guards against a damaged status line that is passed on as a response. */
static void
test_excluded_status_line (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (excluded_status_lines); i++)
    check_status_line (excluded_status_lines[i], false);
}

/* Guards against a status line that is refused although it is allowed. */
static void
test_allowed_status_line (void)
{
  static const fb_str_t lines[] = {
    FB_LITERAL ("HTTP/1.1 200 OK\r\n"),
    FB_LITERAL ("HTTP/1.0 200 OK\r\n"),
    FB_LITERAL ("HTTP/1.9 200 OK\r\n"),
    FB_LITERAL ("HTTP/1.1 200 \r\n"),
    FB_LITERAL ("HTTP/1.1 200  \r\n"),
    FB_LITERAL ("HTTP/1.1 299 Other: \"success\"\r\n"),
    FB_LITERAL ("HTTP/1.1 404 Not\tFound \r\n"),
    FB_LITERAL ("HTTP/1.1 503 HTTP/1.1 200 OK\r\n"),
    FB_LITERAL ("HTTP/1.1 599 \303\251\377\r\n"),
  };

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    check_status_line (lines[i], true);
}

/* Guards against a control byte in a reason phrase that is passed on as a response. */
static void
test_reason_bytes (void)
{
  for (unsigned byte = 0; byte < 256; byte++)
    {
      char line[] = "HTTP/1.1 200 O?K\r\n";

      *strchr (line, '?') = (char)byte;
      check_status_line ((fb_str_t){ line, sizeof line - 1 },
                         byte == '\t' || (byte >= ' ' && byte != 0x7f));
    }
}

/* Guards against field lines that are passed on, left out, joined to the line before them, or
 * taken for the end of the head. */
static void
test_excluded_lines (void)
{
  static const fb_str_t lines[] = {
    /* A blank between name and colon. */
    FB_LITERAL ("x-bad : 1\r\n"),
    FB_LITERAL ("x-bad\t: 1\r\n"),
    FB_LITERAL ("x-bad  \t : 1\r\n"),
    FB_LITERAL ("content-length : 4\r\n"),
    FB_LITERAL ("content-length : 2\r\n"),
    FB_LITERAL ("transfer-encoding : chunked\r\n"),
    FB_LITERAL ("connection : close\r\n"),
    FB_LITERAL ("request-id : own\r\n"),
    /* No name, or no colon. */
    FB_LITERAL (": 1\r\n"),
    FB_LITERAL (":\r\n"),
    FB_LITERAL ("x-bad\r\n"),
    FB_LITERAL ("x-bad 1\r\n"),
    FB_LITERAL ("x\r\n-bad: 1\r\n"),
    FB_LITERAL ("\"x-bad\": 1\r\n"),
    FB_LITERAL ("x bad: 1\r\n"),
    FB_LITERAL ("content length: 2\r\n"),
    FB_LITERAL ("content-length x: 2\r\n"),
    /* A blank at the start, and folded lines. */
    FB_LITERAL (" x-bad: 1\r\n"),
    FB_LITERAL ("\tx-bad: 1\r\n"),
    FB_LITERAL (" \r\n"),
    FB_LITERAL ("\t \r\n"),
    FB_LITERAL (" : 1\r\n"),
    FB_LITERAL ("x-bad: 1\r\n 2\r\n"),
    FB_LITERAL ("x-bad: 1\r\n\t2\r\n"),
    FB_LITERAL ("x-bad: 1\r\n \r\n"),
    FB_LITERAL ("x-bad: 1\r\n \r\n 2\r\n"),
    FB_LITERAL ("x-bad:\r\n 2\r\n"),
    FB_LITERAL ("x-bad: 1\r\n x-other: 2\r\n"),
    /* Line endings. */
    FB_LITERAL ("x-bad: 1\n"),
    FB_LITERAL ("x-bad: 1\r"),
    FB_LITERAL ("x-bad: 1\r\r\n"),
    FB_LITERAL ("x-bad: 1\nx-other: 2\r\n"),
    FB_LITERAL ("x-bad: 1\rx-other: 2\r\n"),
    FB_LITERAL ("x-bad:\n1\r\n"),
    FB_LITERAL ("x-bad:\r1\r\n"),
    FB_LITERAL ("x-bad: 1\n 2\r\n"),
    FB_LITERAL ("\nx-bad: 1\r\n"),
    FB_LITERAL ("\rx-bad: 1\r\n"),
    FB_LITERAL ("\n"),
    FB_LITERAL ("\r"),
    FB_LITERAL ("\r\r\n"),
    FB_LITERAL ("\n\r\n"),
  };

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    check_lines (lines[i], false);
}

/* Guards against field lines that are refused although they are allowed. */
static void
test_allowed_lines (void)
{
  static const fb_str_t lines[] = {
    FB_LITERAL (""),
    FB_LITERAL ("x-good: 1\r\n"),
    FB_LITERAL ("x-good:1\r\n"),
    FB_LITERAL ("x-good:\r\n"),
    FB_LITERAL ("x-good: \t \r\n"),
    FB_LITERAL ("x-good:\t1 \t\r\n"),
    FB_LITERAL ("x-good:: 1\r\n"),
    FB_LITERAL ("x-good: a\tb  c\r\n"),
    FB_LITERAL ("x-good: \"a\": b, c\r\n"),
    FB_LITERAL ("x-good: \303\251\377\r\n"),
    FB_LITERAL ("x: 1\r\nX: 2\r\n"),
    FB_LITERAL ("!#$%&'*+-.^_`|~09azAZ: 1\r\n"),
    FB_LITERAL ("contenT-lengtH-x: 9\r\n"),
  };

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    check_lines (lines[i], true);
}

/* Guards against a chunked body whose size lines or chunk ends are damaged: bytes of it would
 * be left out. */
static void
test_chunks (void)
{
  static const struct
  {
    fb_str_t body;
    bool is_allowed;
  } cases[] = {
    { FB_LITERAL ("4\r\nbody\r\n0\r\n\r\n"), true },
    { FB_LITERAL ("1\r\nb\r\n3\r\nody\r\n0\r\n\r\n"), true },
    { FB_LITERAL ("04\r\nbody\r\n00\r\n\r\n"), true },
    { FB_LITERAL ("4;a=b\r\nbody\r\n0;c\r\n\r\n"), true },
    { FB_LITERAL ("4\r\nbody\r\n0\r\nx: y\r\n\r\n"), true },
    { FB_LITERAL ("4\r\nbodyxy0\r\n\r\n"), false },
    { FB_LITERAL ("4\r\nbody\rx0\r\n\r\n"), false },
    { FB_LITERAL ("4\r\nbody\n\n0\r\n\r\n"), false },
    { FB_LITERAL ("4\r\nbody\n0\r\n\r\n"), false },
    { FB_LITERAL ("4\r\nbody0\r\n\r\n"), false },
    { FB_LITERAL ("4\rxbody\r\n0\r\n\r\n"), false },
    { FB_LITERAL ("4\nbody\r\n0\r\n\r\n"), false },
    { FB_LITERAL ("4;a\nb\r\nbody\r\n0\r\n\r\n"), false },
    { FB_LITERAL ("4;a\rb\r\nbody\r\n0\r\n\r\n"), false },
    { FB_LITERAL ("4;a\0b\r\nbody\r\n0\r\n\r\n"), false },
    { FB_LITERAL (" 4\r\nbody\r\n0\r\n\r\n"), false },
    { FB_LITERAL ("\r\n4\r\nbody\r\n0\r\n\r\n"), false },
    { FB_LITERAL ("0x4\r\nbody\r\n0\r\n\r\n"), false },
    { FB_LITERAL ("-4\r\nbody\r\n0\r\n\r\n"), false },
    { FB_LITERAL ("4\r\nbody\r\n0\rx\r\n"), false },
    { FB_LITERAL ("4\r\nbody\r\n0\n\r\n"), false },
    { FB_LITERAL ("4\r\nbody\r\n0\r\n\n"), false },
    { FB_LITERAL ("4\r\nbody\r\n0\r\n\rx"), false },
    { FB_LITERAL ("10000000000000004\r\nbody\r\n0\r\n\r\n"), false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    check_places (chunk_places, G_N_ELEMENTS (chunk_places), cases[i].body,
                  cases[i].is_allowed);
}

/* Guards against size lines and trailers without end, which no limit of the body stops. */
static void
test_chunk_limits (void)
{
  static const struct
  {
    const char *start;
    const char *unit; /* repeated COUNT times */
    size_t count;
    const char *end;
    bool is_allowed;
  } cases[] = {
    { "4;", "x", 1000, "\r\nbody\r\n0\r\n\r\n", true },
    { "4;", "x", 100000, "\r\nbody\r\n0\r\n\r\n", false },
    { "", "0", 1000, "4\r\nbody\r\n0\r\n\r\n", true },
    { "", "0", 100000, "4\r\nbody\r\n0\r\n\r\n", false },
    { "4\r\nbody\r\n0\r\n", "x: y\r\n", 1000, "\r\n", true },
    { "4\r\nbody\r\n0\r\n", "x: y\r\n", 100000, "\r\n", false },
    { "4\r\nbody\r\n0\r\nx: ", "y", 100000, "\r\n\r\n", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *text = g_string_new (cases[i].start);

      for (size_t n = 0; n < cases[i].count; n++)
        g_string_append (text, cases[i].unit);
      g_string_append (text, cases[i].end);
      check_places (chunk_places, G_N_ELEMENTS (chunk_places),
                    (fb_str_t){ text->str, text->len }, cases[i].is_allowed);
      g_string_free (text, TRUE);
    }
}

/* Guards against each byte that no name may hold, at its start, within it and at its end. */
static void
test_name_bytes (void)
{
  static const char *const names[] = { "?x-bad: 1\r\n", "x-?bad: 1\r\n", "x-bad?: 1\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    for (unsigned byte = 0; byte < 256; byte++)
      {
        char *line = g_strdup (names[i]);
        char text = (char)byte;
        /* A colon ends the name before it. */
        bool is_allowed
            = fh_is_token ((fb_str_t){ &text, 1 }) || (byte == ':' && names[i][0] != '?');

        *strchr (line, '?') = text;
        check_lines ((fb_str_t){ line, strlen (names[i]) }, is_allowed);
        g_free (line);
      }
}

/* Guards against each byte that no value may hold. */
static void
test_value_bytes (void)
{
  static const char *const values[] = { "x-bad:?1\r\n", "x-bad: 1?2\r\n", "x-bad: 1?\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    for (unsigned byte = 0; byte < 256; byte++)
      {
        char *line = g_strdup (values[i]);

        *strchr (line, '?') = (char)byte;
        check_lines ((fb_str_t){ line, strlen (values[i]) },
                     byte == '\t' || (byte >= ' ' && byte != 0x7f));
        g_free (line);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/response/excluded-status-line", test_excluded_status_line);
  g_test_add_func ("/http/response/allowed-status-line", test_allowed_status_line);
  g_test_add_func ("/http/response/reason-bytes", test_reason_bytes);
  g_test_add_func ("/http/response/excluded-lines", test_excluded_lines);
  g_test_add_func ("/http/response/allowed-lines", test_allowed_lines);
  g_test_add_func ("/http/response/name-bytes", test_name_bytes);
  g_test_add_func ("/http/response/value-bytes", test_value_bytes);
  g_test_add_func ("/http/response/chunks", test_chunks);
  g_test_add_func ("/http/response/chunk-limits", test_chunk_limits);
  return g_test_run ();
}
