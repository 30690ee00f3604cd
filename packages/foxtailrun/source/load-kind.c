/* Kinds of calls: parsing, random choice and classification of responses. */
#include "load.h"
#include <string.h>

/* Parses a word after METHOD and PATH. Returns NULL, or a static text of what is allowed. */
static const char *
parse_option (const char *word, load_kind_t *kind)
{
  uint64_t weight;

  if (strcmp (word, "ticket") == 0)
    {
      kind->ticket = true;
      return NULL;
    }
  if (g_str_has_prefix (word, "customer="))
    return fb_set_name (&kind->customer, fb_wrap_text (word + strlen ("customer=")))
                   && kind->customer.len > 0
               ? NULL
               : "a customer of 1 to 47 bytes";
  if (g_str_has_prefix (word, "weight="))
    {
      if (!fb_parse_u64 (fb_wrap_text (word + strlen ("weight=")), &weight) || weight == 0
          || weight > LOAD_WEIGHT_MAX)
        return "a weight from 1 to 1000";
      kind->weight = (uint32_t)weight;
      return NULL;
    }
  return "customer=NAME, weight=N or ticket after the path";
}

const char *
load_parse_kind (const char *text, load_kind_t *kind)
{
  char **words = g_strsplit (text, " ", -1);
  guint count = g_strv_length (words);
  const char *allowed = NULL;

  *kind = (load_kind_t){ .weight = 1 };
  kind->latencies = g_array_new (FALSE, FALSE, sizeof (fb_time_t));
  if (count < 2 || words[0][0] == '\0'
      || words[0][strspn (words[0], "ABCDEFGHIJKLMNOPQRSTUVWXYZ")] != '\0')
    allowed = "METHOD PATH, the method in capitals";
  else if (words[1][0] != '/')
    allowed = "a path that starts with \"/\"";
  else
    {
      kind->method = g_strdup (words[0]);
      kind->path = g_strdup (words[1]);
    }
  for (guint i = 2; i < count && !allowed; i++)
    allowed = parse_option (words[i], kind);
  g_strfreev (words);
  return allowed;
}

void
load_clear_kind (load_kind_t *kind)
{
  g_free (kind->method);
  g_free (kind->path);
  if (kind->latencies)
    g_array_unref (kind->latencies);
}

load_kind_t *
load_draw_kind (load_plan_t *plan, GRand *random)
{
  uint32_t total = 0;
  uint32_t offset;
  size_t i;

  for (i = 0; i < plan->kind_count; i++)
    total += plan->kinds[i].weight;
  offset = (uint32_t)g_rand_int_range (random, 0, (gint32)total);
  for (i = 0; i + 1 < plan->kind_count && offset >= plan->kinds[i].weight; i++)
    offset -= plan->kinds[i].weight;
  return &plan->kinds[i];
}

load_outcome_t
load_classify_response (const fh_response_t *response)
{
  fb_str_t outcome = fh_find_header (response->headers, response->header_count,
                                     FB_LITERAL ("foxtailrun-outcome"));

  if (response->result != FH_ANSWERED)
    return LOAD_TRANSPORT_ERROR;
  if (fb_equal_str (outcome, FB_LITERAL ("not-run")))
    return LOAD_NOT_RUN;
  if (fb_equal_str (outcome, FB_LITERAL ("unknown")))
    return LOAD_UNKNOWN;
  if (fb_equal_str (outcome, FB_LITERAL ("failed")) || response->status >= 500)
    return LOAD_FAILED;
  return LOAD_ANSWERED;
}
