/* Which request a response answers, by a header that servers repeat. */
#include "http-client-state.h"

/* Responses without the echoed header in a row after which a server that has repeated it is
 * taken for one that does not: it may have been replaced by another version. */
#define UNIDENTIFIED_RESPONSES_MAX 8

bool
fh_has_echo (const fh_exchange_t *exchange, const fh_response_t *response)
{
  fb_str_t name = exchange->echoed_header.name;

  return name.len == 0 || fh_find_header (response->headers, response->header_count, name).data;
}

/* Returns whether a response without the echoed header may answer EXCHANGE: the first one on a
 * connection to a server that is not known to repeat the header. */
static bool
accepts_missing_echo (const fh_exchange_t *exchange)
{
  return !exchange->requires_echo && !exchange->client->server_echoes
         && !exchange->connection->reused && !exchange->connection->out_of_sync;
}

response_target_t
fh_find_response_target (const fh_exchange_t *exchange, const fh_response_t *response)
{
  const fh_header_t *echo = &exchange->echoed_header;
  size_t own = 0;
  size_t others = 0;

  if (echo->name.len == 0)
    return ANSWERS_REQUEST;
  if (!fh_has_echo (exchange, response))
    return accepts_missing_echo (exchange) ? ANSWERS_REQUEST : ANSWERS_NO_REQUEST;
  for (size_t i = 0; i < response->header_count; i++)
    {
      const fh_header_t *header = &response->headers[i];

      if (!fb_equal_str (header->name, echo->name))
        continue;
      if (header->value.len == 0)
        return ANSWERS_NO_REQUEST;
      if (fb_equal_str (header->value, echo->value))
        own++;
      else
        others++;
    }
  if (own > 0 && others > 0)
    return ANSWERS_NO_REQUEST;
  return own > 0 ? ANSWERS_REQUEST : ANSWERS_OTHER_REQUEST;
}

void
fh_record_echo (const fh_exchange_t *exchange, const fh_response_t *response)
{
  fh_client_t *client = exchange->client;

  if (exchange->echoed_header.name.len == 0)
    return;
  if (fh_has_echo (exchange, response))
    {
      client->server_echoes = true;
      client->unidentified = 0;
    }
  else if (client->server_echoes && ++client->unidentified >= UNIDENTIFIED_RESPONSES_MAX)
    client->server_echoes = false;
}
