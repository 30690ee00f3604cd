/* The parser of the TOML subset, compared with the library. */
#include "toml-subset.h"
#include <glib.h>
#include <string.h>

static fc_toml_t *
create_node (void *user)
{
  fc_toml_t *node = g_new0 (fc_toml_t, 1);

  g_ptr_array_add (user, node);
  return node;
}

/* Appends NODE and its children to TEXT, without the source of tables and their lists: the
 * library's is only a part of the header. */
static void
describe_node (GString *text, const fc_toml_t *node)
{
  bool has_tables
      = node->kind == FC_TOML_TABLE || (node->child && node->child->kind == FC_TOML_TABLE);
  fb_str_t source = has_tables ? (fb_str_t){ "", 0 } : node->source;

  g_string_append_printf (text, "%d %u ", node->kind, node->line);
  g_string_append_len (text, node->key.data, (gssize)node->key.len);
  g_string_append_c (text, '|');
  g_string_append_len (text, source.data, (gssize)source.len);
  g_string_append_c (text, '|');
  g_string_append_len (text, node->text.data, (gssize)node->text.len);
  g_string_append_printf (text, "|%" G_GINT64_FORMAT "|%g|%zu(", node->integer, node->number,
                          node->count);
  for (const fc_toml_t *child = node->child; child; child = child->next)
    describe_node (text, child);
  g_string_append_c (text, ')');
}

/* Guards against different trees from the two parsers, and accepting text that is invalid
 * or outside the subset. */
static void
test_same_tree (void)
{
  static const struct
  {
    const char *text;
    bool in_subset;
  } cases[] = {
    { "version=1\n", true },
    { "version = 1\n\n[[rank]]\nname=\"a\"\norder=0\n\n[[route]]\nbelow=true\nparts=[\"a=1\",\"b=2\"]\n",
      true },
    { "[[rank]]\nname=\"a\"\n[[service]]\nname=\"b\"\n[[rank]]\nname=\"c\"  \nshare=10", true },
    { "a=\"\"\nb=false\nc=[ \"x\" , \"y\" ]\nd=999999999999999999\n", true },
    { "a=1\na=2\n", false },
    { "rank=1\n[[rank]]\n", false },
    { "a=01\n", false },
    { "a=1.5\nb=0.25\nc=13.000\nd=999999999999999999.000000000000000001\n", true },
    { "a=1.\n", false },
    { "a=.5\n", false },
    { "a=01.5\n", false },
    { "a=1.5.2\n", false },
    { "a=1.5e3\n", false },
    { "a=1._5\n", false },
    { "a=0.0000000000000000001\n", false },
    { "a=-1\n", false },
    { "a=1_000\n", false },
    { "a=9999999999999999999\n", false },
    { "a=\"\\n\"\n", false },
    { "a=\"\xc3\xa9\"\n", false },
    { "a=\"\"\"x\"\"\"\n", false },
    { "a='x'\n", false },
    { "a=[1]\n", false },
    { "a=[\"x\",]\n", false },
    { "a=[\"x\"\n]\n", false },
    { "a.b=1\n", false },
    { "\"a\"=1\n", false },
    { "a=1 # one\n", false },
    { "# one\n", false },
    { "[a]\n", false },
    { "[[a.b]]\n", false },
    { " [[a]]\n", false },
    { "[[a]] b=1\n", false },
    { "a=1 b=2\n", false },
    { "a=truex\n", false },
    { "a=\n", false },
    { "a\n", false },
    { "a=1\r\n", false },
    { "=1\n", false },
    { "a=\"x\n", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_str_t text = fb_wrap_text (cases[i].text);
      GPtrArray *nodes = g_ptr_array_new_with_free_func (g_free);
      fc_problems_t *problems = fc_create_problems ();
      fc_toml_document_t *document;
      GString *subset = g_string_new ("");
      GString *library = g_string_new ("");

      g_test_message ("%s", cases[i].text);
      g_assert_cmpint (fc_parse_toml_subset (text, create_node, nodes), ==, cases[i].in_subset);
      if (cases[i].in_subset)
        {
          document = fc_parse_toml_library (text, problems);
          g_assert_nonnull (document);
          describe_node (library, fc_get_toml_root (document));
          describe_node (subset, nodes->pdata[0]);
          g_assert_cmpstr (subset->str, ==, library->str);
          fc_destroy_toml (document);
        }
      g_string_free (subset, TRUE);
      g_string_free (library, TRUE);
      fc_destroy_problems (problems);
      g_ptr_array_unref (nodes);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/subset/same-tree", test_same_tree);
  return g_test_run ();
}
