#include "http-request.h"
#include "http-lines.h"
#include <http_parser.h>
#include <string.h>

/* Longest request line with headers, in bytes; 64 headers of 4 KB and a path of the same
 * length fit. */
#define HEAD_BYTES_MAX (400 * 1024)

/* Memory of a longer head is released with its request. */
#define HEAD_BYTES_KEPT (16 * 1024)

#define HTTP2_PREFACE_HEAD "PRI * HTTP/2.0\r\n\r\n"

struct fh_request_reader
{
  http_parser parser;
  size_t body_max;
  fh_line_state_t line_state; /* of the head, then of the lines that frame chunks */
  GByteArray *head;           /* raw bytes of an incomplete head */
  bool is_first;              /* no request of the connection was complete yet */
  bool head_complete;
  bool complete;
  bool is_chunked; /* http_parser forgets it at a trailer named transfer-encoding */
  bool too_many_headers;
  bool body_too_large;
  bool last_was_value; /* the next name begins a new header */
  bool expects_continue;
  bool framing_invalid;
  const char *framing; /* first byte of the input that may belong to the lines around chunks */
  fb_str_t target;
  fh_header_t headers[FH_HEADERS_MAX];
  fh_message_t message;
  uint32_t reject_status;
};

/* Extends VIEW by the LEN bytes at DATA, which follow it. */
static void
extend_view (fb_str_t *view, const char *data, size_t len)
{
  if (!view->data)
    view->data = data;
  view->len += len;
}

static int
append_target (http_parser *parser, const char *data, size_t len)
{
  fh_request_reader_t *reader = parser->data;

  extend_view (&reader->target, data, len);
  return 0;
}

static int
append_name (http_parser *parser, const char *data, size_t len)
{
  fh_request_reader_t *reader = parser->data;

  if (reader->head_complete) /* a trailer */
    return 0;
  if (reader->last_was_value)
    {
      if (reader->message.header_count == FH_HEADERS_MAX)
        {
          reader->too_many_headers = true;
          return 1;
        }
      reader->headers[reader->message.header_count++] = (fh_header_t){ 0 };
      reader->last_was_value = false;
    }
  extend_view (&reader->headers[reader->message.header_count - 1].name, data, len);
  return 0;
}

static int
append_value (http_parser *parser, const char *data, size_t len)
{
  fh_request_reader_t *reader = parser->data;

  if (reader->head_complete)
    return 0;
  reader->last_was_value = true;
  extend_view (&reader->headers[reader->message.header_count - 1].value, data, len);
  return 0;
}

static int
complete_head (http_parser *parser)
{
  fh_request_reader_t *reader = parser->data;

  reader->head_complete = true;
  reader->is_chunked = parser->flags & F_CHUNKED;
  reader->message.keep_alive = http_should_keep_alive (parser) != 0;
  parser->upgrade = 0; /* an upgrade that is not offered is ignored */
  return 0;
}

/* Checks the bytes before END that are not data of a chunk. */
static void
check_framing (fh_request_reader_t *reader, const char *end)
{
  fb_bytes_t bytes = { (const uint8_t *)reader->framing, (size_t)(end - reader->framing) };

  if (fh_check_lines (&reader->line_state, bytes) < bytes.len
      || reader->line_state == FH_LINE_INVALID)
    reader->framing_invalid = true;
}

static int
append_body (http_parser *parser, const char *data, size_t len)
{
  fh_request_reader_t *reader = parser->data;

  if (reader->is_chunked)
    {
      bool continues_chunk = reader->framing == data && reader->line_state == FH_LINE_CHUNK_END;

      check_framing (reader, data);
      if (!continues_chunk && reader->line_state != FH_LINE_START)
        reader->framing_invalid = true;
      reader->line_state = FH_LINE_CHUNK_END;
      reader->framing = data + len;
    }
  if (reader->message.body->len + len > reader->body_max)
    {
      reader->body_too_large = true;
      return 1;
    }
  g_byte_array_append (reader->message.body, (const guint8 *)data, (guint)len);
  return 0;
}

static int
complete_message (http_parser *parser)
{
  fh_request_reader_t *reader = parser->data;

  reader->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_callbacks = {
  .on_url = append_target,
  .on_header_field = append_name,
  .on_header_value = append_value,
  .on_headers_complete = complete_head,
  .on_body = append_body,
  .on_message_complete = complete_message,
};

static void
reset_reader (fh_request_reader_t *reader)
{
  http_parser_init (&reader->parser, HTTP_REQUEST);
  reader->parser.data = reader;
  reader->line_state = FH_LINE_FIRST;
  if (reader->head->len > HEAD_BYTES_KEPT)
    {
      g_byte_array_free (reader->head, TRUE);
      reader->head = g_byte_array_new ();
    }
  g_byte_array_set_size (reader->head, 0);
  reader->head_complete = false;
  reader->complete = false;
  reader->last_was_value = true;
  reader->expects_continue = false;
  reader->target = (fb_str_t){ NULL, 0 };
  reader->message = (fh_message_t){ 0 };
}

fh_request_reader_t *
fh_create_request_reader (size_t body_max)
{
  fh_request_reader_t *reader = g_new0 (fh_request_reader_t, 1);

  http_parser_set_max_header_size (HEAD_BYTES_MAX);
  reader->body_max = body_max;
  reader->head = g_byte_array_new ();
  reader->is_first = true;
  reset_reader (reader);
  return reader;
}

void
fh_destroy_request_reader (fh_request_reader_t *reader)
{
  if (!reader)
    return;
  reader->message.headers = NULL;
  fh_clear_message (&reader->message);
  g_byte_array_free (reader->head, TRUE);
  g_free (reader);
}

void
fh_clear_message (fh_message_t *message)
{
  g_free (message->headers);
  g_free (message->head);
  if (message->body)
    g_byte_array_free (message->body, TRUE);
  *message = (fh_message_t){ 0 };
}

static fh_request_result_t
reject (fh_request_reader_t *reader, uint32_t status)
{
  reader->reject_status = status;
  return FH_REQUEST_REJECTED;
}

static uint32_t
get_parse_error_status (const fh_request_reader_t *reader)
{
  if (reader->body_too_large)
    return 413;
  if (reader->too_many_headers)
    return 431;
  switch (HTTP_PARSER_ERRNO (&reader->parser))
    {
    case HPE_HEADER_OVERFLOW:
      return 431;
    case HPE_INVALID_METHOD:
      return 501;
    default:
      return 400;
    }
}

/* Returns whether TEXT holds no control byte; with ALLOWS_BLANKS it may hold spaces and
 * tabs. */
static bool
is_printable (fb_str_t text, bool allows_blanks)
{
  for (size_t i = 0; i < text.len; i++)
    {
      unsigned char byte = (unsigned char)text.data[i];

      if ((byte <= ' ' || byte == 0x7f) && !(allows_blanks && (byte == ' ' || byte == '\t')))
        return false;
    }
  return true;
}

/* Removes blanks at the end, which http_parser keeps. */
static void
trim_end (fb_str_t *text)
{
  while (text->len > 0
         && (text->data[text->len - 1] == ' ' || text->data[text->len - 1] == '\t'))
    text->len--;
}

/* Sets path and host from the request's target, which may be a URL. */
static bool
read_target (fh_request_reader_t *reader)
{
  fh_message_t *message = &reader->message;
  fb_str_t target = reader->target;
  struct http_parser_url url;
  size_t path_offset;
  size_t host_end;

  message->host = fh_find_header (reader->headers, message->header_count, FB_LITERAL ("host"));
  message->path = target;
  if (target.len == 0 || target.data[0] == '/' || target.data[0] == '*')
    return target.len > 0;
  http_parser_url_init (&url);
  if (http_parser_parse_url (target.data, target.len, 0, &url) != 0
      || !(url.field_set & (1 << UF_HOST)) || !(url.field_set & (1 << UF_PATH)))
    return false;
  path_offset = url.field_data[UF_PATH].off;
  host_end = path_offset;
  message->host = (fb_str_t){ target.data + url.field_data[UF_HOST].off,
                              host_end - url.field_data[UF_HOST].off };
  message->path = (fb_str_t){ target.data + path_offset, target.len - path_offset };
  return true;
}

/* Returns 0, or the status with which the parsed head is rejected. */
static uint32_t
check_head (fh_request_reader_t *reader)
{
  const http_parser *parser = &reader->parser;
  fh_message_t *message = &reader->message;
  size_t hosts = 0;

  if (parser->http_major != 1 || parser->http_minor > 1)
    return parser->http_major == 0 ? 400 : 505;
  if (parser->method == HTTP_CONNECT)
    return 501;
  if (!is_printable (reader->target, false))
    return 400;
  for (size_t i = 0; i < message->header_count; i++)
    {
      fh_header_t *header = &reader->headers[i];
      char *name = (char *)header->name.data; /* in MESSAGE's own copy */

      trim_end (&header->value);
      if (!fh_is_token (header->name) || !is_printable (header->value, true))
        return 400;
      for (size_t j = 0; j < header->name.len; j++)
        name[j] = g_ascii_tolower (name[j]);
      hosts += fb_equal_str (header->name, FB_LITERAL ("host"));
      if (fb_equal_str (header->name, FB_LITERAL ("transfer-encoding"))
          && (parser->http_minor == 0 || !(parser->flags & F_CHUNKED)
              || header->value.len != strlen ("chunked")))
        return 400;
    }
  if (hosts > 1 || !read_target (reader))
    return 400;
  if (parser->content_length != UINT64_MAX && parser->content_length > reader->body_max)
    return 413;
  return 0;
}

/* Returns 0, or the status for an expectation that cannot be met. */
static uint32_t
check_expectation (fh_request_reader_t *reader)
{
  fb_str_t expectation
      = fh_find_header (reader->headers, reader->message.header_count, FB_LITERAL ("expect"));

  if (!expectation.data)
    return 0;
  if (expectation.len != strlen ("100-continue")
      || g_ascii_strncasecmp (expectation.data, "100-continue", expectation.len) != 0)
    return 417;
  reader->expects_continue = !reader->complete;
  return 0;
}

static bool
asks_for_http2 (const fh_request_reader_t *reader)
{
  const fh_header_t *headers = reader->headers;
  size_t count = reader->message.header_count;
  fb_str_t protocol = fh_find_header (headers, count, FB_LITERAL ("upgrade"));

  return fb_equal_str (protocol, FB_LITERAL ("h2c"))
         && fh_find_header (headers, count, FB_LITERAL ("http2-settings")).data;
}

/* Parses the complete head HEAD, which is copied. */
static fh_request_result_t
parse_head (fh_request_reader_t *reader, fb_bytes_t head)
{
  fh_message_t *message = &reader->message;
  uint32_t status;

  if (reader->is_first && head.len == strlen (HTTP2_PREFACE_HEAD)
      && memcmp (head.data, HTTP2_PREFACE_HEAD, head.len) == 0)
    return FH_REQUEST_HTTP2;
  message->head = g_memdup2 (head.data, head.len);
  http_parser_execute (&reader->parser, &parser_callbacks, message->head, head.len);
  if (!reader->head_complete)
    return reject (reader, get_parse_error_status (reader));
  status = check_head (reader);
  if (status == 0)
    status = check_expectation (reader);
  if (status != 0)
    return reject (reader, status);
  if (reader->is_first && asks_for_http2 (reader))
    return FH_REQUEST_UPGRADE;
  message->method = fb_wrap_text (http_method_str ((enum http_method)reader->parser.method));
  message->is_head = reader->parser.method == HTTP_HEAD;
  message->headers = reader->headers;
  if (reader->complete)
    return FH_REQUEST_COMPLETE;
  if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK)
    return reject (reader, get_parse_error_status (reader));
  message->body = g_byte_array_new ();
  reader->line_state = FH_LINE_START;
  return FH_REQUEST_INCOMPLETE;
}

/* Parses the complete head in BYTES, and keeps it when another protocol follows. */
static fh_request_result_t
parse_contiguous_head (fh_request_reader_t *reader, fb_bytes_t bytes)
{
  fh_request_result_t result = parse_head (reader, bytes);

  if (result == FH_REQUEST_HTTP2 || result == FH_REQUEST_UPGRADE)
    g_byte_array_append (reader->head, bytes.data, (guint)bytes.len);
  return result;
}

/* Returns whether the request line does not end within the limit of a head; BYTES follow what
 * was received so far. */
static bool
is_in_first_line (const fh_request_reader_t *reader, fb_bytes_t bytes)
{
  return (reader->head->len == 0 || !memchr (reader->head->data, '\n', reader->head->len))
         && !memchr (bytes.data, '\n', MIN (bytes.len, HEAD_BYTES_MAX - reader->head->len));
}

static fh_request_result_t
collect_head (fh_request_reader_t *reader, fb_bytes_t bytes, size_t *consumed)
{
  size_t length = fh_check_lines (&reader->line_state, bytes);

  *consumed = length;
  if (reader->line_state == FH_LINE_INVALID)
    return reject (reader, 400);
  if (reader->head->len + length > HEAD_BYTES_MAX)
    return reject (reader, is_in_first_line (reader, bytes) ? 414 : 431);
  if (reader->line_state == FH_LINE_SECTION && reader->head->len == 0)
    return parse_contiguous_head (reader, (fb_bytes_t){ bytes.data, length });
  g_byte_array_append (reader->head, bytes.data, (guint)length);
  if (reader->line_state != FH_LINE_SECTION)
    return FH_REQUEST_INCOMPLETE;
  return parse_head (reader, (fb_bytes_t){ reader->head->data, reader->head->len });
}

static fh_request_result_t
parse_body (fh_request_reader_t *reader, fb_bytes_t bytes, size_t *consumed)
{
  const char *data = (const char *)bytes.data;

  reader->framing = data;
  *consumed = http_parser_execute (&reader->parser, &parser_callbacks, data, bytes.len);
  if (!reader->complete && HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK)
    return reject (reader, get_parse_error_status (reader));
  if (reader->is_chunked)
    {
      check_framing (reader, data + *consumed);
      if (reader->framing_invalid
          || (reader->complete && reader->line_state != FH_LINE_SECTION))
        return reject (reader, 400);
    }
  return reader->complete ? FH_REQUEST_COMPLETE : FH_REQUEST_INCOMPLETE;
}

fh_request_result_t
fh_parse_request (fh_request_reader_t *reader, fb_bytes_t bytes, size_t *consumed)
{
  fh_request_result_t result = FH_REQUEST_INCOMPLETE;
  size_t head_length = 0;
  size_t body_length = 0;

  if (!reader->head_complete)
    result = collect_head (reader, bytes, &head_length);
  if (result == FH_REQUEST_INCOMPLETE && reader->head_complete && head_length < bytes.len)
    result
        = parse_body (reader, (fb_bytes_t){ bytes.data + head_length, bytes.len - head_length },
                      &body_length);
  *consumed = head_length + body_length;
  return result;
}

void
fh_take_message (fh_request_reader_t *reader, fh_message_t *message)
{
  *message = reader->message;
  message->headers
      = g_memdup2 (reader->headers, message->header_count * sizeof *message->headers);
  reader->is_first = false;
  reset_reader (reader);
}

uint32_t
fh_get_reject_status (const fh_request_reader_t *reader)
{
  return reader->reject_status;
}

bool
fh_is_between_requests (const fh_request_reader_t *reader)
{
  return !reader->head_complete && reader->line_state == FH_LINE_FIRST;
}

bool
fh_expects_continue (const fh_request_reader_t *reader)
{
  return reader->expects_continue && !reader->complete;
}

fb_bytes_t
fh_get_head (const fh_request_reader_t *reader)
{
  return (fb_bytes_t){ reader->head->data, reader->head->len };
}

size_t
fh_get_head_size (const fh_request_reader_t *reader)
{
  return reader->head->len;
}

size_t
fh_get_body_size (const fh_request_reader_t *reader)
{
  return reader->message.body ? reader->message.body->len : 0;
}

size_t
fh_get_reader_size (const fh_request_reader_t *reader)
{
  return fh_get_head_size (reader) + fh_get_body_size (reader);
}

bool
fh_has_head (const fh_request_reader_t *reader)
{
  return reader->head_complete;
}

void
fh_discard_request (fh_request_reader_t *reader)
{
  reader->message.headers = NULL;
  fh_clear_message (&reader->message);
  g_byte_array_free (reader->head, TRUE);
  reader->head = g_byte_array_new ();
}
