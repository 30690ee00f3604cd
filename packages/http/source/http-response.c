/* Reads HTTP/1 responses by http_parser. */
#include "http-response.h"
#include <glib.h>
#include <http_parser.h>

/* Most bytes of status line and headers. */
#define HEAD_MAX (64 * 1024)

/* Where a header lies in the text. */
typedef struct
{
  size_t name;
  size_t name_len;
  size_t value;
  size_t value_len;
} place_t;

struct fh_reader
{
  http_parser parser;
  size_t body_max;
  bool is_head;
  bool begun;
  bool headers;
  bool whole;
  bool large;
  bool unframed;
  bool kept;
  bool in_value; /* the last piece belonged to a value */
  GString *text;
  size_t header_count;
  place_t places[FH_HEADERS_MAX];
  fh_header_t views[FH_HEADERS_MAX];
  GByteArray *body;
};

static int
begin_message (http_parser *parser)
{
  fh_reader_t *reader = parser->data;

  reader->header_count = 0;
  reader->in_value = true;
  g_string_truncate (reader->text, 0);
  return 0;
}

/* Refuses the message as too large. */
static int
stop_large (fh_reader_t *reader)
{
  reader->large = true;
  return 1;
}

static int
take_name (http_parser *parser, const char *data, size_t len)
{
  fh_reader_t *reader = parser->data;
  place_t *place;

  if (reader->text->len + len > HEAD_MAX)
    return stop_large (reader);
  if (reader->in_value)
    {
      if (reader->header_count == FH_HEADERS_MAX)
        return stop_large (reader);
      reader->places[reader->header_count++] = (place_t){ .name = reader->text->len };
      reader->in_value = false;
    }
  place = &reader->places[reader->header_count - 1];
  for (size_t i = 0; i < len; i++)
    g_string_append_c (reader->text, g_ascii_tolower (data[i]));
  place->name_len += len;
  return 0;
}

static int
take_value (http_parser *parser, const char *data, size_t len)
{
  fh_reader_t *reader = parser->data;
  place_t *place = &reader->places[reader->header_count - 1];

  if (reader->text->len + len > HEAD_MAX)
    return stop_large (reader);
  if (!reader->in_value)
    place->value = reader->text->len;
  reader->in_value = true;
  g_string_append_len (reader->text, data, (gssize)len);
  place->value_len += len;
  return 0;
}

static bool
is_informational (const http_parser *parser)
{
  return parser->status_code < 200;
}

/* Returns whether the body has no length of its own. */
static bool
ends_with_stream (const http_parser *parser)
{
  return !(parser->flags & F_CHUNKED) && parser->content_length == UINT64_MAX
         && parser->status_code != 204 && parser->status_code != 304;
}

static int
end_headers (http_parser *parser)
{
  fh_reader_t *reader = parser->data;

  if (is_informational (parser))
    return 0;
  reader->headers = true;
  reader->unframed = ends_with_stream (parser) && !reader->is_head;
  reader->kept = http_should_keep_alive (parser) != 0;
  return reader->is_head ? 1 : 0;
}

static int
take_body (http_parser *parser, const char *data, size_t len)
{
  fh_reader_t *reader = parser->data;

  if (reader->body->len + len > reader->body_max)
    return stop_large (reader);
  g_byte_array_append (reader->body, (const guint8 *)data, (guint)len);
  return 0;
}

static int
end_message (http_parser *parser)
{
  fh_reader_t *reader = parser->data;

  if (is_informational (parser))
    return 0;
  reader->whole = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings hooks = {
  .on_message_begin = begin_message,
  .on_header_field = take_name,
  .on_header_value = take_value,
  .on_headers_complete = end_headers,
  .on_body = take_body,
  .on_message_complete = end_message,
};

fh_reader_t *
fh_create_reader (size_t body_max)
{
  fh_reader_t *reader = g_new0 (fh_reader_t, 1);

  reader->body_max = body_max;
  reader->text = g_string_new ("");
  reader->body = g_byte_array_new ();
  fh_reset_reader (reader, false);
  return reader;
}

void
fh_destroy_reader (fh_reader_t *reader)
{
  if (!reader)
    return;
  g_string_free (reader->text, TRUE);
  g_byte_array_free (reader->body, TRUE);
  g_free (reader);
}

void
fh_reset_reader (fh_reader_t *reader, bool is_head)
{
  http_parser_init (&reader->parser, HTTP_RESPONSE);
  reader->parser.data = reader;
  reader->is_head = is_head;
  reader->begun = false;
  reader->headers = false;
  reader->whole = false;
  reader->large = false;
  reader->unframed = false;
  reader->kept = false;
  reader->header_count = 0;
  reader->in_value = true;
  g_string_truncate (reader->text, 0);
  g_byte_array_set_size (reader->body, 0);
}

fh_read_t
fh_feed_reader (fh_reader_t *reader, fb_bytes_t bytes, size_t *used)
{
  reader->begun = reader->begun || bytes.len > 0;
  *used = http_parser_execute (&reader->parser, &hooks, (const char *)bytes.data, bytes.len);
  if (reader->whole)
    return FH_READ_DONE;
  if (reader->large)
    return FH_READ_LARGE;
  /* An upgrade that nobody asked for leaves bytes that are no response. */
  if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK || reader->parser.upgrade)
    return FH_READ_BAD;
  return FH_READ_MORE;
}

fh_read_t
fh_end_reader (fh_reader_t *reader)
{
  if (!reader->headers || !reader->unframed)
    return FH_READ_BAD;
  http_parser_execute (&reader->parser, &hooks, NULL, 0);
  return reader->whole ? FH_READ_DONE : FH_READ_BAD;
}

bool
fh_has_begun (const fh_reader_t *reader)
{
  return reader->begun;
}

bool
fh_has_headers (const fh_reader_t *reader)
{
  return reader->headers;
}

bool
fh_is_kept (const fh_reader_t *reader)
{
  return reader->kept;
}

void
fh_view_response (fh_reader_t *reader, fh_response_t *response)
{
  for (size_t i = 0; i < reader->header_count; i++)
    {
      const place_t *place = &reader->places[i];

      reader->views[i]
          = (fh_header_t){ { reader->text->str + place->name, place->name_len },
                           { reader->text->str + place->value, place->value_len } };
    }
  response->status = reader->parser.status_code;
  response->header_count = reader->header_count;
  response->headers = reader->views;
  response->close_delimited = reader->unframed;
  response->body = (fb_bytes_t){ reader->body->data, reader->body->len };
}
