/* foxtailrun schema: prints every key with its type, unit, default and range. */
#include "command.h"
#include <argtable2.h>
#include <foxtailrun/config/schema.h>
#include <glib.h>
#include <string.h>

/* Returns the default in the notation of the file; free with g_free. */
static char *
format_default (const fc_field_t *field)
{
  if (!field->default_text)
    return g_strdup ("required");
  /* A default of 0 outside the range marks an optional key without a default. */
  if (!field->default_text[0] || (strcmp (field->default_text, "0") == 0 && field->min > 0))
    return g_strdup ("none");
  if (strcmp (fc_describe_type (field->type), "string") == 0)
    return g_strdup_printf ("\"%s\"", field->default_text);
  return g_strdup (field->default_text);
}

static char *
format_section (const fc_schema_t *schema, const fc_field_t *field)
{
  if (!field->section[0])
    return g_strdup ("top level");
  return g_strdup_printf (schema->repeated ? "[[%s]]" : "[%s]", field->section);
}

static bool
starts_section (const fc_schema_t *schema, size_t index)
{
  return index == 0
         || strcmp (schema->fields[index].section, schema->fields[index - 1].section) != 0;
}

static void
print_text (const fc_schema_t *schema, FILE *out)
{
  for (size_t i = 0; i < schema->count; i++)
    {
      const fc_field_t *field = &schema->fields[i];
      char *section = format_section (schema, field);
      char *default_value = format_default (field);
      char *allowed = fc_describe_allowed (field);

      if (starts_section (schema, i))
        fprintf (out, "%s%s\n", i ? "\n" : "", section);
      fprintf (out, "  %-13s %s\n", field->key, field->meaning);
      fprintf (out, "  %-13s %s%s%s, %s%s: %s\n", "", fc_describe_type (field->type),
               field->unit[0] ? " in " : "", field->unit, field->default_text ? "default " : "",
               default_value, allowed);
      g_free (allowed);
      g_free (default_value);
      g_free (section);
    }
}

/* Prints the tables of docs/configuration.md. */
static void
print_markdown (const fc_schema_t *schema, FILE *out)
{
  for (size_t i = 0; i < schema->count; i++)
    {
      const fc_field_t *field = &schema->fields[i];
      char *section = format_section (schema, field);
      char *default_value = format_default (field);
      char *allowed = fc_describe_allowed (field);

      if (starts_section (schema, i))
        fprintf (out,
                 "%s### %s\n\n| key | type | unit | default | allowed | meaning |\n"
                 "| --- | --- | --- | --- | --- | --- |\n",
                 i ? "\n" : "", field->section[0] ? section : "Top level");
      fprintf (out, "| `%s` | %s | %s | %s | %s | %s |\n", field->key,
               fc_describe_type (field->type), field->unit[0] ? field->unit : "-",
               default_value, allowed, field->meaning);
      g_free (allowed);
      g_free (default_value);
      g_free (section);
    }
}

static json_t *
pack_field (const fc_field_t *field)
{
  char *allowed = fc_describe_allowed (field);
  json_t *object = json_pack ("{s:s, s:s, s:s, s:s, s:b, s:s, s:s}", "section", field->section,
                              "key", field->key, "type", fc_describe_type (field->type), "unit",
                              field->unit, "required", field->default_text == NULL, "allowed",
                              allowed, "meaning", field->meaning);

  if (field->default_text)
    json_object_set_new (object, "default", json_string (field->default_text));
  if (field->type == FC_TYPE_INTEGER || field->type == FC_TYPE_NUMBER)
    {
      json_object_set_new (object, "min", json_real (field->min));
      json_object_set_new (object, "max", json_real (field->max));
    }
  g_free (allowed);
  return object;
}

static void
print_json (const fc_schema_t *schema, FILE *out)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < schema->count; i++)
    json_array_append_new (array, pack_field (&schema->fields[i]));
  cmd_print_json (array, out);
}

static int
run_schema (const cmd_command_t *command, int argc, char **argv, const cmd_io_t *io)
{
  struct arg_lit *json = arg_lit0 (NULL, "json", "print the schema as JSON");
  struct arg_lit *markdown = arg_lit0 (NULL, "markdown", "print the schema as Markdown tables");
  struct arg_lit *settings = arg_lit0 (NULL, "settings", "print the keys of a node's settings");
  void *table[]
      = { CMD_STANDARD_OPTIONS, json, markdown, settings, arg_end (CMD_ARGUMENT_ERRORS_MAX) };
  int status;

  if (cmd_parse_arguments (command, argc, argv, table, G_N_ELEMENTS (table), io, &status))
    {
      const fc_schema_t *schema
          = settings->count > 0 ? fc_get_settings_schema () : fc_get_document_schema ();

      if (json->count > 0)
        print_json (schema, io->out);
      else if (markdown->count > 0)
        print_markdown (schema, io->out);
      else
        print_text (schema, io->out);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

const cmd_command_t cmd_schema
    = { "schema", "print every key with its type, unit, default and range", run_schema };
