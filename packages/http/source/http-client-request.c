/* Text of the client's requests. */
#include "http-client-state.h"

static void
append_header (GString *text, fb_str_t name, fb_str_t value)
{
  g_string_append_len (text, name.data, (gssize)name.len);
  g_string_append (text, ": ");
  g_string_append_len (text, value.data, (gssize)value.len);
  g_string_append (text, "\r\n");
}

GString *
fh_format_request (const fh_client_t *client, const fh_client_request_t *request)
{
  GString *text = g_string_sized_new (512 + request->body.len);

  g_string_append_len (text, request->method.data, (gssize)request->method.len);
  g_string_append_c (text, ' ');
  g_string_append_len (text, request->path.data, (gssize)request->path.len);
  g_string_append (text, " HTTP/1.1\r\n");
  if (request->host.len > 0)
    append_header (text, FB_LITERAL ("host"), request->host);
  else
    g_string_append_printf (text, "host: %s:%u\r\n", client->address.data, client->port);
  g_string_append_printf (text, "content-length: %zu\r\n", request->body.len);
  for (size_t i = 0; i < request->header_count; i++)
    {
      if (!fh_is_hop_header (request->headers[i].name))
        append_header (text, request->headers[i].name, request->headers[i].value);
    }
  g_string_append (text, "\r\n");
  g_string_append_len (text, (const char *)request->body.data, (gssize)request->body.len);
  return text;
}
