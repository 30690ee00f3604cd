/* Comparison of two documents, element by element. */
#include "diff.h"
#include <string.h>

static void
free_change (gpointer data)
{
  diff_change_t *change = data;

  g_free (change->name);
  g_free (change->before);
  g_free (change->after);
  g_free (change);
}

static diff_change_t *
add_change (GPtrArray *changes, const char *kind, const char *name)
{
  diff_change_t *change = g_new0 (diff_change_t, 1);

  change->kind = kind;
  change->name = g_strdup (name);
  g_ptr_array_add (changes, change);
  return change;
}

static char *
format_name (const diff_kind_t *kind, const fc_snapshot_t *snapshot, size_t index)
{
  GString *text = g_string_new ("");

  kind->format_name (snapshot, index, text);
  return g_string_free (text, FALSE);
}

static char *
format_value (const diff_field_t *field, const fc_snapshot_t *snapshot, size_t index)
{
  GString *text = g_string_new ("");

  field->format (snapshot, index, text);
  return g_string_free (text, FALSE);
}

/* Maps the names of KIND in SNAPSHOT to 1 + index, as 0 is the result of a failed look-up. */
static GHashTable *
index_names (const diff_kind_t *kind, const fc_snapshot_t *snapshot)
{
  GHashTable *names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t i = 0; i < kind->count (snapshot); i++)
    g_hash_table_insert (names, format_name (kind, snapshot, i), GSIZE_TO_POINTER (i + 1));
  return names;
}

static void
diff_element (GPtrArray *changes, const diff_kind_t *kind, const char *name,
              const fc_snapshot_t *before, size_t from, const fc_snapshot_t *after, size_t to)
{
  for (size_t i = 0; i < kind->field_count; i++)
    {
      const diff_field_t *field = &kind->fields[i];
      char *old = format_value (field, before, from);
      char *new = format_value (field, after, to);
      diff_change_t *change;

      if (strcmp (old, new) == 0)
        {
          g_free (old);
          g_free (new);
          continue;
        }
      change = add_change (changes, kind->kind, name);
      change->key = field->key;
      change->before = old;
      change->after = new;
      change->risk = field->assess_risk ? field->assess_risk (before, from, after, to) : NULL;
    }
}

/* Formats the values of an element that is added or removed; defaults are omitted. */
static char *
format_element (const diff_kind_t *kind, const fc_snapshot_t *snapshot, size_t index)
{
  GString *text = g_string_new ("");

  for (size_t i = 0; i < kind->field_count; i++)
    {
      char *value = format_value (&kind->fields[i], snapshot, index);

      if (g_strcmp0 (value, kind->fields[i].default_text) != 0)
        g_string_append_printf (text, "%s%s %s", text->len ? ", " : "", kind->fields[i].key,
                                value);
      g_free (value);
    }
  return g_string_free (text, FALSE);
}

static void
diff_kind (GPtrArray *changes, const diff_kind_t *kind, const fc_snapshot_t *before,
           const fc_snapshot_t *after)
{
  GHashTable *old = index_names (kind, before);
  GHashTable *new = index_names (kind, after);

  for (size_t i = 0; i < kind->count (after); i++)
    {
      char *name = format_name (kind, after, i);
      size_t from = GPOINTER_TO_SIZE (g_hash_table_lookup (old, name));

      if (from)
        diff_element (changes, kind, name, before, from - 1, after, i);
      else
        add_change (changes, kind->kind, name)->after = format_element (kind, after, i);
      g_free (name);
    }
  for (size_t i = 0; i < kind->count (before); i++)
    {
      char *name = format_name (kind, before, i);

      if (!g_hash_table_contains (new, name))
        {
          diff_change_t *change = add_change (changes, kind->kind, name);

          change->before = format_element (kind, before, i);
          change->risk
              = kind->assess_removal_risk ? kind->assess_removal_risk (before, i) : NULL;
        }
      g_free (name);
    }
  g_hash_table_unref (new);
  g_hash_table_unref (old);
}

GPtrArray *
diff_documents (const fc_snapshot_t *before, const fc_snapshot_t *after)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func (free_change);

  for (size_t i = 0; i < diff_kind_count; i++)
    diff_kind (changes, &diff_kinds[i], before, after);
  return changes;
}
