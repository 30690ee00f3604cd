/* Backend service: whether a response is one of the backend server, and what it proves. */
#include "node-backend.h"

/* Returns how many headers NAME the response has, and the last value in VALUE. */
static size_t
count_headers (const fh_response_t *response, fb_str_t name, fb_str_t *value)
{
  size_t count = 0;

  *value = (fb_str_t){ NULL, 0 };
  for (size_t i = 0; name.len > 0 && i < response->header_count; i++)
    {
      if (!fb_equal_str (response->headers[i].name, name))
        continue;
      *value = response->headers[i].value;
      count++;
    }
  return count;
}

static bool
is_success (const fh_response_t *response)
{
  return response->status >= 200 && response->status < 300;
}

static bool
is_signed (const fn_dialect_t *dialect, const fh_response_t *response)
{
  fb_str_t signature;

  return count_headers (response, dialect->signature, &signature) == 1 && signature.len > 0;
}

static bool
has_content_coding (const fh_response_t *response)
{
  fb_str_t coding;

  return count_headers (response, FB_LITERAL ("content-encoding"), &coding) > 0
         && !fb_equal_str (coding, FB_LITERAL ("identity"));
}

/* Returns whether callers take STATUS as proof that a request was not run. */
static bool
is_refusal_status (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool
fn_reports_not_run (const fn_dialect_t *dialect, const fh_response_t *response)
{
  fb_str_t value;

  return count_headers (response, dialect->not_run, &value) > 0;
}

const char *
fn_find_response_error (const fn_dialect_t *dialect, const fh_response_t *response)
{
  if (fn_reports_not_run (dialect, response))
    return NULL;
  if (is_success (response) && dialect->signature.len > 0 && !is_signed (dialect, response))
    return "success without a signature";
  if (is_success (response) && dialect->plain_bodies && has_content_coding (response))
    return "success with a content coding";
  if (dialect->refuses_by_status && is_refusal_status (response->status))
    return "refusal without proof that the request was not run";
  return NULL;
}

void
fn_set_answer_headers (fw_call_t *answer, const fh_response_t *response)
{
  for (size_t i = 0; i < response->header_count; i++)
    {
      if (!fh_is_hop_header (response->headers[i].name))
        answer->headers[answer->header_count++]
            = (fw_header_t){ response->headers[i].name, response->headers[i].value };
    }
}
