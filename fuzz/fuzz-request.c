/* Fuzz target: requests of an HTTP/1 connection. The same bytes, whole and split at random,
 * must give the same requests. The first byte of the input seeds the splits. */
#include "fuzz.h"
#include "http-request.h"
#include <glib.h>
#include <string.h>

#define BODY_MAX 4096

/* Appends what the bytes at DATA hold to LOG: each request, then why reading ended. PART_MAX
 * bounds the bytes parsed at a time. */
static void
parse_all (GString *log, const uint8_t *data, size_t size, size_t part_max, GRand *random)
{
  fh_request_reader_t *reader = fh_create_request_reader (BODY_MAX);
  fh_request_result_t result = FH_REQUEST_INCOMPLETE;
  size_t position = 0;

  while (position < size && (result == FH_REQUEST_INCOMPLETE || result == FH_REQUEST_COMPLETE))
    {
      size_t part = (size_t)g_rand_int_range (random, 1, (gint32)part_max + 1);
      fh_message_t message;
      size_t consumed;

      part = MIN (part, size - position);
      result = fh_parse_request (reader, (fb_bytes_t){ data + position, part }, &consumed);
      FUZZ_CHECK (consumed <= part);
      FUZZ_CHECK (consumed > 0 || result == FH_REQUEST_REJECTED);
      FUZZ_CHECK (fh_get_reader_size (reader) <= BODY_MAX + size);
      position += consumed;
      if (result != FH_REQUEST_COMPLETE)
        continue;
      fh_take_message (reader, &message);
      FUZZ_CHECK (message.header_count <= FH_HEADERS_MAX);
      g_string_append_printf (log, "%.*s %.*s %zu %u\n", (int)message.method.len,
                              message.method.data, (int)message.path.len, message.path.data,
                              message.header_count, message.body ? message.body->len : 0);
      fh_clear_message (&message);
    }
  if (result == FH_REQUEST_REJECTED)
    g_string_append_printf (log, "rejected\n");
  else if (result != FH_REQUEST_COMPLETE)
    g_string_append_printf (log, "ended %d\n", result);
  fh_destroy_request_reader (reader);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GString *whole = g_string_new (NULL);
  GString *split = g_string_new (NULL);
  GRand *random;

  if (size < 2 || size > G_MAXINT32 - 1)
    {
      g_string_free (whole, TRUE);
      g_string_free (split, TRUE);
      return 0;
    }
  random = g_rand_new_with_seed (data[0]);
  parse_all (whole, data + 1, size - 1, size, random);
  parse_all (split, data + 1, size - 1, 3, random);
  /* Both may see another part of the bytes behind an error, which is not compared. */
  FUZZ_CHECK (strcmp (whole->str, split->str) == 0);
  g_string_free (whole, TRUE);
  g_string_free (split, TRUE);
  g_rand_free (random);
  return 0;
}
