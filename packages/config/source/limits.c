#include <foxtailrun/config/limits.h>
#include <foxtailrun/config/snapshot.h>
#include <stdint.h>

/* The library scans a line once per value, in quadratic time. */
#define LINE_MAX_BYTES 16384

/* A value needs about 300 bytes in the parse; a document at its limits has 40,000. */
#define VALUES_MAX 100000

const fc_limits_t *
fc_get_document_limits (void)
{
  static fc_limits_t limits;

  limits = (fc_limits_t){ .schema = fc_get_document_schema (),
                          .document_bytes = FC_DOCUMENT_MAX,
                          .line_bytes = LINE_MAX_BYTES,
                          .values = VALUES_MAX,
                          .services = FC_SERVICES_MAX,
                          .routes = FC_ROUTES_MAX };
  return &limits;
}

const fc_limits_t *
fc_get_translation_limits (void)
{
  static fc_limits_t limits;

  /* The translation puts one value on a line, or the parts of one route. */
  limits = (fc_limits_t){ .schema = fc_get_translation_schema (),
                          .document_bytes = FC_TRANSLATION_MAX,
                          .line_bytes = SIZE_MAX,
                          .values = SIZE_MAX,
                          .services = SIZE_MAX,
                          .routes = SIZE_MAX };
  return &limits;
}
