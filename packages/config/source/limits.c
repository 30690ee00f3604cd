#include <foxtailrun/config/limits.h>
#include <stdint.h>

/* The library scans a line once per value, in quadratic time. */
#define LINE_MAX_BYTES 16384

const fc_limits_t *
fc_get_document_limits (void)
{
  static fc_limits_t limits;

  limits = (fc_limits_t){ .schema = fc_get_document_schema (), .line_bytes = LINE_MAX_BYTES };
  return &limits;
}

const fc_limits_t *
fc_get_translation_limits (void)
{
  static fc_limits_t limits;

  /* The translation puts one value on a line, or the parts of one route. */
  limits = (fc_limits_t){ .schema = fc_get_translation_schema (), .line_bytes = SIZE_MAX };
  return &limits;
}
