/* Text of HTTP/1 responses. */
#include "http-server-state.h"
#include <time.h>

static const char *
get_reason_phrase (uint32_t status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 414:
      return "URI Too Long";
    case 417:
      return "Expectation Failed";
    case 428:
      return "Precondition Required";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
    }
}

static bool
is_generated_header (fb_str_t name)
{
  return fh_is_hop_header (name) || fb_equal_str (name, FB_LITERAL ("server"))
         || fb_equal_str (name, FB_LITERAL ("date"));
}

void
fh_format_response (fh_request_t *request, const fh_reply_t *reply)
{
  bool may_have_body = reply->status >= 200 && reply->status != 204 && reply->status != 304;
  GString *text = g_string_sized_new (256 + reply->body.len);

  for (size_t i = 0; i < reply->header_count; i++)
    {
      const fh_header_t *header = &reply->headers[i];

      if (is_generated_header (header->name))
        continue;
      g_string_append_len (text, header->name.data, (gssize)header->name.len);
      g_string_append (text, ": ");
      g_string_append_len (text, header->value.data, (gssize)header->value.len);
      g_string_append (text, "\r\n");
    }
  if (reply->has_length && may_have_body)
    g_string_append_printf (text, "content-length: %zu\r\n", reply->body.len);
  g_string_append (text, "\r\n");
  if (may_have_body && !request->message.is_head)
    g_string_append_len (text, (const char *)reply->body.data, (gssize)reply->body.len);
  request->status = reply->status;
  request->response = text;
}

/* Updates the server's text of the header date, which changes once a second. */
static const char *
get_date (fh_server_t *server)
{
  time_t now = time (NULL);
  struct tm fields;

  if (now != server->date_time && gmtime_r (&now, &fields))
    {
      server->date_time = now;
      strftime (server->date, sizeof server->date, "%a, %d %b %Y %H:%M:%S GMT", &fields);
    }
  return server->date;
}

void
fh_format_prefix (fh_request_t *request, bool closes)
{
  g_snprintf (request->prefix, sizeof request->prefix,
              "HTTP/1.1 %u %s\r\ndate: %s\r\nserver: foxtailrun\r\nconnection: %s\r\n",
              request->status, get_reason_phrase (request->status), get_date (request->server),
              closes ? "close" : "keep-alive");
}
