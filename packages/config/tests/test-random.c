/* Random changes to valid documents, settings and deltas. */
#include "fixture-check.h"
#include <foxtailrun/config/delta.h>
#include <glib.h>
#include <string.h>

/* Text with a meaning in TOML, inserted anywhere. */
static const char *const pieces[]
    = { "[",    "]",  "[[",          "]]", "{",  "}",      "\"",   "'",       "\"\"\"",
        "'''",  "=",  ".",           ",",  "#",  "\n",     "\r\n", "\\",      "\\u00e9",
        "rank", "[]", "[[service]]", "{}", "-1", "1e9999", "nan",  "depends", "\xc3" };

static size_t
pick (GRand *random, size_t bound)
{
  return (size_t)g_rand_int_range (random, 0, (gint32)bound);
}

/* Changes a byte of TEXT, inserts a piece, or removes or repeats a range. */
static void
change_text (GString *text, GRand *random)
{
  size_t at = pick (random, text->len + 1);
  size_t length = pick (random, 40);
  char *range;

  length = MIN (length, text->len - at);
  range = g_strndup (text->str + at, length);
  switch (pick (random, 4))
    {
    case 0:
      if (at < text->len)
        text->str[at] = (char)(1 + pick (random, 255));
      break;
    case 1:
      g_string_insert (text, (gssize)at, pieces[pick (random, G_N_ELEMENTS (pieces))]);
      break;
    case 2:
      g_string_erase (text, (gssize)at, (gssize)length);
      break;
    default:
      g_string_insert (text, (gssize)pick (random, text->len + 1), range);
      break;
    }
  g_free (range);
}

/* Guards against a document that crashes the checker, is rejected without a problem, or
 * gives a snapshot with an invalid index. */
static void
test_documents (void)
{
  GRand *random = g_rand_new_with_seed (20);
  int accepted = 0;

  for (int i = 0; i < 2500; i++)
    {
      GString *text = g_string_new (fixture_document);
      size_t changes = 1 + pick (random, 2);
      char *messages;
      fc_snapshot_t *snapshot;

      /* Changes within a comment keep the document valid. */
      g_string_append (text, "#####################################################\n"
                             "#####################################################\n");
      for (size_t j = 0; j < changes; j++)
        change_text (text, random);
      snapshot = check_text (text->str, &messages);
      g_assert_true (g_utf8_validate (messages, -1, NULL));
      if (snapshot)
        {
          accepted++;
          assert_valid_references (snapshot);
        }
      fc_release_snapshot (snapshot);
      g_free (messages);
      g_string_free (text, TRUE);
    }
  /* The test needs enough valid and enough invalid documents. */
  g_assert_cmpint (accepted, >, 50);
  g_assert_cmpint (accepted, <, 2000);
  g_rand_free (random);
}

/* Guards against settings that crash the checker. */
static void
test_settings (void)
{
  GRand *random = g_rand_new_with_seed (21);

  for (int i = 0; i < 1000; i++)
    {
      GString *text = g_string_new ("[node]\nid = \"n\"\nzone = \"z\"\nregion = \"r\"\n"
                                    "[listen]\naddress = \"10.0.0.1\"\nadmin_port = 9\n"
                                    "[seeds]\nnodes = [\"10.0.0.2:7\", \"[fd00::2]:8\"]\n"
                                    "[log]\nlevel = \"debug\"\n");
      fc_problems_t *problems = fc_create_problems ();
      fc_settings_t settings;
      fb_status_t status;

      change_text (text, random);
      change_text (text, random);
      status = fc_check_settings (wrap_bytes (text->str), &settings, problems);
      g_assert_cmpint (status == FB_OK, ==, fc_count_problems (problems) == 0);
      if (status == FB_OK)
        g_assert_cmpuint (settings.id.len, >, 0);
      fc_destroy_problems (problems);
      g_string_free (text, TRUE);
    }
  g_rand_free (random);
}

/* Guards against a delta decoded to another document. */
static void
test_deltas (void)
{
  GRand *random = g_rand_new_with_seed (22);
  GString *text = g_string_new (fixture_document);

  for (int i = 0; i < 500; i++)
    {
      char *base = g_strdup (text->str);
      uint8_t *restored;
      uint8_t *frame;
      size_t frame_length;
      size_t length;

      change_text (text, random);
      frame = fc_encode_delta (wrap_bytes (base), wrap_bytes (text->str), &frame_length);
      g_assert_cmpint (fc_decode_delta (wrap_bytes (base), (fb_bytes_t){ frame, frame_length },
                                        FC_DOCUMENT_MAX, &restored, &length),
                       ==, FB_OK);
      g_assert_cmpmem (restored, length, text->str, text->len);
      g_free (restored);
      g_free (frame);
      g_free (base);
    }
  g_string_free (text, TRUE);
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/random/documents", test_documents);
  g_test_add_func ("/config/random/settings", test_settings);
  g_test_add_func ("/config/random/deltas", test_deltas);
  return g_test_run ();
}
