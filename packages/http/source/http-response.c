#include "http-response.h"
#include "http-chunks.h"
#include "http-section.h"
#include <glib.h>
#include <http_parser.h>
#include <string.h>

/* Maximum bytes of header names and values of a response. */
#define HEADER_BYTES_MAX (64 * 1024)

/* Memory of a larger body is released when the connection becomes idle. */
#define BODY_KEPT_MAX (64 * 1024)

/* Interim (1xx) responses accepted before the final one. A server in trouble may send them
 * without end. */
#define INTERIM_RESPONSES_MAX 16

/* Range of status codes (RFC 9110, section 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_SWITCHING_PROTOCOLS 101

/* Result of the callback for a complete head with which http_parser fails. */
#define REJECT_HEAD (-1)

/* Offsets of a header's name and value in the header text. */
typedef struct
{
  size_t name_offset;
  size_t name_len;
  size_t value_offset;
  size_t value_len;
} header_range_t;

struct fh_reader
{
  http_parser parser;
  fh_section_t section; /* head or trailers */
  size_t trailer_bytes;
  fh_chunks_t chunks;
  bool is_chunked;
  size_t body_max;
  bool is_head;
  bool received_bytes;
  bool headers_complete;
  bool complete;
  bool too_large;
  bool close_delimited;
  bool keep_alive;
  bool last_was_value; /* the next name fragment begins a new header */
  unsigned interim_count;
  GString *header_text;
  size_t header_count;
  header_range_t header_ranges[FH_HEADERS_MAX];
  fh_header_t header_views[FH_HEADERS_MAX];
  GByteArray *body;
};

static int
begin_message (http_parser *parser)
{
  fh_reader_t *reader = parser->data;

  reader->header_count = 0;
  reader->last_was_value = true;
  g_string_truncate (reader->header_text, 0);
  return 0;
}

/* Makes http_parser fail for an exceeded size limit. */
static int
reject_too_large (fh_reader_t *reader)
{
  reader->too_large = true;
  return 1;
}

static int
append_header_name (http_parser *parser, const char *data, size_t len)
{
  fh_reader_t *reader = parser->data;
  header_range_t *range;

  if (reader->header_text->len + len > HEADER_BYTES_MAX)
    return reject_too_large (reader);
  if (reader->last_was_value)
    {
      if (reader->header_count == FH_HEADERS_MAX)
        return reject_too_large (reader);
      reader->header_ranges[reader->header_count++]
          = (header_range_t){ .name_offset = reader->header_text->len };
      reader->last_was_value = false;
    }
  range = &reader->header_ranges[reader->header_count - 1];
  for (size_t i = 0; i < len; i++)
    g_string_append_c (reader->header_text, g_ascii_tolower (data[i]));
  range->name_len += len;
  return 0;
}

static int
append_header_value (http_parser *parser, const char *data, size_t len)
{
  fh_reader_t *reader = parser->data;
  header_range_t *range = &reader->header_ranges[reader->header_count - 1];

  if (reader->header_text->len + len > HEADER_BYTES_MAX)
    return reject_too_large (reader);
  if (!reader->last_was_value)
    range->value_offset = reader->header_text->len;
  reader->last_was_value = true;
  g_string_append_len (reader->header_text, data, (gssize)len);
  range->value_len += len;
  return 0;
}

static bool
is_informational (const http_parser *parser)
{
  return parser->status_code < 200;
}

/* Returns whether the body ends with the connection. */
static bool
is_close_delimited (const http_parser *parser)
{
  return !(parser->flags & F_CHUNKED) && parser->content_length == UINT64_MAX
         && parser->status_code != 204 && parser->status_code != 304;
}

/* Returns the value of RANGE without blanks at its end, which http_parser keeps. */
static fb_str_t
get_value (const fh_reader_t *reader, const header_range_t *range)
{
  fb_str_t value = { reader->header_text->str + range->value_offset, range->value_len };

  while (value.len > 0
         && (value.data[value.len - 1] == ' ' || value.data[value.len - 1] == '\t'))
    value.len--;
  return value;
}

/* Returns whether a transfer coding besides chunked is named; its body cannot be decoded. */
static bool
has_unknown_coding (const fh_reader_t *reader)
{
  for (size_t i = 0; i < reader->header_count; i++)
    {
      const header_range_t *range = &reader->header_ranges[i];
      fb_str_t name = { reader->header_text->str + range->name_offset, range->name_len };
      fb_str_t value = get_value (reader, range);

      if (fb_equal_str (name, FB_LITERAL ("transfer-encoding"))
          && (value.len != strlen ("chunked")
              || g_ascii_strncasecmp (value.data, "chunked", value.len) != 0))
        return true;
    }
  return false;
}

/* Returns whether version, status and framing are those of an HTTP/1 response. http_parser
 * accepts any version and any three digits; an upgrade is never requested. */
static bool
is_valid_head (const fh_reader_t *reader)
{
  const http_parser *parser = &reader->parser;

  return parser->http_major == 1 && parser->status_code >= STATUS_MIN
         && parser->status_code <= STATUS_MAX
         && parser->status_code != STATUS_SWITCHING_PROTOCOLS && !has_unknown_coding (reader);
}

static int
complete_headers (http_parser *parser)
{
  fh_reader_t *reader = parser->data;

  if (!is_valid_head (reader))
    return REJECT_HEAD;
  if (is_informational (parser))
    return 0;
  reader->headers_complete = true;
  reader->is_chunked = parser->flags & F_CHUNKED;
  fh_begin_chunks (&reader->chunks);
  reader->close_delimited = is_close_delimited (parser) && !reader->is_head;
  reader->keep_alive = http_should_keep_alive (parser) != 0;
  return reader->is_head ? 1 : 0;
}

static int
append_body (http_parser *parser, const char *data, size_t len)
{
  fh_reader_t *reader = parser->data;

  if (reader->body->len + len > reader->body_max)
    return reject_too_large (reader);
  g_byte_array_append (reader->body, (const guint8 *)data, (guint)len);
  return 0;
}

static int
complete_message (http_parser *parser)
{
  fh_reader_t *reader = parser->data;

  if (is_informational (parser))
    return ++reader->interim_count > INTERIM_RESPONSES_MAX ? reject_too_large (reader) : 0;
  reader->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_callbacks = {
  .on_message_begin = begin_message,
  .on_header_field = append_header_name,
  .on_header_value = append_header_value,
  .on_headers_complete = complete_headers,
  .on_body = append_body,
  .on_message_complete = complete_message,
};

fh_reader_t *
fh_create_reader (size_t body_max)
{
  fh_reader_t *reader = g_new0 (fh_reader_t, 1);

  reader->body_max = body_max;
  reader->header_text = g_string_new ("");
  reader->body = g_byte_array_new ();
  fh_reset_reader (reader, false);
  return reader;
}

void
fh_destroy_reader (fh_reader_t *reader)
{
  if (!reader)
    return;
  g_string_free (reader->header_text, TRUE);
  g_byte_array_free (reader->body, TRUE);
  g_free (reader);
}

void
fh_reset_reader (fh_reader_t *reader, bool is_head)
{
  http_parser_init (&reader->parser, HTTP_RESPONSE);
  reader->parser.data = reader;
  fh_begin_head (&reader->section);
  reader->trailer_bytes = 0;
  reader->is_chunked = false;
  reader->is_head = is_head;
  reader->received_bytes = false;
  reader->headers_complete = false;
  reader->complete = false;
  reader->too_large = false;
  reader->close_delimited = false;
  reader->keep_alive = false;
  reader->interim_count = 0;
  reader->header_count = 0;
  reader->last_was_value = true;
  g_string_truncate (reader->header_text, 0);
  if (reader->body->len > BODY_KEPT_MAX)
    {
      g_byte_array_free (reader->body, TRUE);
      reader->body = g_byte_array_new ();
    }
  g_byte_array_set_size (reader->body, 0);
}

/* Returns the result of parsing so far. */
static fh_read_result_t
get_result (const fh_reader_t *reader)
{
  if (reader->complete)
    return FH_READ_COMPLETE;
  if (reader->too_large)
    return FH_READ_TOO_LARGE;
  /* After an upgrade, which the client never requests, the bytes are not HTTP. */
  if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK || reader->parser.upgrade)
    return FH_READ_INVALID;
  return FH_READ_INCOMPLETE;
}

/* Parses BYTES up to the end of the head at most and sets *CONSUMED. */
static fh_read_result_t
parse_head (fh_reader_t *reader, fb_bytes_t bytes, size_t *consumed)
{
  size_t length = fh_check_section (&reader->section, bytes);

  if (reader->section.state == FH_SECTION_INVALID)
    return FH_READ_INVALID;
  *consumed = http_parser_execute (&reader->parser, &parser_callbacks, (const char *)bytes.data,
                                   length);
  /* Another head follows that of an interim response. */
  if (reader->section.state == FH_SECTION_END && !reader->headers_complete)
    fh_begin_head (&reader->section);
  return get_result (reader);
}

/* Decodes BYTES up to the last chunk at most and sets *CONSUMED. */
static fh_read_result_t
parse_chunks (fh_reader_t *reader, fb_bytes_t bytes, size_t *consumed)
{
  *consumed = fh_decode_chunks (&reader->chunks, bytes, reader->body, reader->body_max);
  if (reader->chunks.state == FH_CHUNK_INVALID)
    return FH_READ_INVALID;
  if (reader->chunks.state == FH_CHUNK_LAST)
    fh_begin_trailers (&reader->section);
  else if (*consumed < bytes.len)
    return FH_READ_TOO_LARGE;
  return FH_READ_INCOMPLETE;
}

/* Checks BYTES up to the end of the trailers, which are ignored, and sets *CONSUMED. */
static fh_read_result_t
parse_trailers (fh_reader_t *reader, fb_bytes_t bytes, size_t *consumed)
{
  *consumed = fh_check_section (&reader->section, bytes);
  reader->trailer_bytes += *consumed;
  if (reader->section.state == FH_SECTION_INVALID)
    return FH_READ_INVALID;
  if (reader->trailer_bytes > HEADER_BYTES_MAX)
    return FH_READ_TOO_LARGE;
  reader->complete = reader->section.state == FH_SECTION_END;
  return reader->complete ? FH_READ_COMPLETE : FH_READ_INCOMPLETE;
}

static fh_read_result_t
parse_part (fh_reader_t *reader, fb_bytes_t bytes, size_t *consumed)
{
  if (!reader->headers_complete)
    return parse_head (reader, bytes, consumed);
  if (reader->section.state != FH_SECTION_END)
    return parse_trailers (reader, bytes, consumed);
  if (reader->is_chunked)
    return parse_chunks (reader, bytes, consumed);
  *consumed = http_parser_execute (&reader->parser, &parser_callbacks, (const char *)bytes.data,
                                   bytes.len);
  return get_result (reader);
}

fh_read_result_t
fh_parse_bytes (fh_reader_t *reader, fb_bytes_t bytes, size_t *consumed)
{
  fh_read_result_t result = FH_READ_INCOMPLETE;
  size_t length;

  *consumed = 0;
  reader->received_bytes = reader->received_bytes || bytes.len > 0;
  while (*consumed < bytes.len && result == FH_READ_INCOMPLETE)
    {
      fb_bytes_t rest = { bytes.data + *consumed, bytes.len - *consumed };

      length = 0;
      result = parse_part (reader, rest, &length);
      *consumed += length;
    }
  return result;
}

fh_read_result_t
fh_parse_end (fh_reader_t *reader)
{
  if (!reader->headers_complete || !reader->close_delimited)
    return FH_READ_INVALID;
  http_parser_execute (&reader->parser, &parser_callbacks, NULL, 0);
  return reader->complete ? FH_READ_COMPLETE : FH_READ_INVALID;
}

size_t
fh_get_reader_bytes (const fh_reader_t *reader)
{
  return reader->header_text->len + reader->body->len;
}

bool
fh_has_received_bytes (const fh_reader_t *reader)
{
  return reader->received_bytes;
}

bool
fh_has_headers (const fh_reader_t *reader)
{
  return reader->headers_complete;
}

bool
fh_should_keep_alive (const fh_reader_t *reader)
{
  return reader->keep_alive;
}

void
fh_view_response (fh_reader_t *reader, fh_response_t *response)
{
  for (size_t i = 0; i < reader->header_count; i++)
    {
      const header_range_t *range = &reader->header_ranges[i];

      reader->header_views[i]
          = (fh_header_t){ { reader->header_text->str + range->name_offset, range->name_len },
                           get_value (reader, range) };
    }
  response->status = reader->parser.status_code;
  response->header_count = reader->header_count;
  response->headers = reader->header_views;
  response->close_delimited = reader->close_delimited;
  response->body = (fb_bytes_t){ reader->body->data, reader->body->len };
}
