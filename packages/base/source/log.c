#include <foxtailrun/base/log.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Default limit of lines of one service and message per period. */
#define REPEAT_LIMIT 10
#define REPEAT_PERIOD (10 * FB_SECOND)

/* Largest number of distinct messages tracked; a full table is cleared. */
#define REPEAT_TABLE_MAX 256

/* Bytes of a text that are written; callers' requests have paths and hosts of any length, and a
 * line over PIPE_BUF would be dropped. */
#define TEXT_MAX 256

typedef struct
{
  fb_time_t period_start;
  uint32_t written;
  uint32_t dropped;
} repeat_t;

struct fb_log
{
  const fb_clock_t *clock;
  fb_log_format_t format;
  fb_log_level_t level;
  fb_log_sink_fn_t sink;
  void *user;
  GHashTable *levels;  /* by service */
  GHashTable *limits;  /* lines per period, by service */
  GHashTable *repeats; /* repeat_t by service and message */
};

static const char *const level_names[] = { "debug", "info", "warning", "error" };

static void
write_stderr (fb_str_t line, void *user)
{
  fwrite (line.data, 1, line.len, stderr);
}

static bool
needs_quotes (fb_str_t text)
{
  for (size_t i = 0; i < text.len; i++)
    {
      unsigned char c = (unsigned char)text.data[i];
      if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
        return true;
    }
  return text.len == 0;
}

static void
append_quoted (GString *line, fb_str_t text)
{
  g_string_append_c (line, '"');
  for (size_t i = 0; i < text.len; i++)
    {
      unsigned char c = (unsigned char)text.data[i];
      if (c == '"' || c == '\\')
        g_string_append_printf (line, "\\%c", c);
      else if (c < ' ' || c == 0x7f)
        g_string_append_printf (line, "\\u%04x", c);
      else
        g_string_append_c (line, (char)c);
    }
  g_string_append_c (line, '"');
}

/* Returns TEXT, or its first bytes and its length in BUFFER if it is too long. */
static fb_str_t
shorten_text (fb_str_t text, GString *buffer)
{
  gssize len = TEXT_MAX;

  if (text.len <= TEXT_MAX)
    return text;
  while (len > 0 && ((unsigned char)text.data[len] & 0xC0) == 0x80)
    len--; /* not within a UTF-8 sequence */
  g_string_append_len (buffer, text.data, len);
  g_string_append_printf (buffer, "...(%zu bytes)", text.len);
  return (fb_str_t){ buffer->str, buffer->len };
}

static void
append_text (const fb_log_t *log, GString *line, const char *key, fb_str_t text)
{
  if (log->format == FB_LOG_JSON)
    {
      g_string_append_printf (line, "%s\"%s\":", line->len > 1 ? "," : "", key);
      append_quoted (line, text);
      return;
    }
  g_string_append_printf (line, "%s%s=", line->len > 0 ? " " : "", key);
  if (needs_quotes (text))
    append_quoted (line, text);
  else
    g_string_append_len (line, text.data, (gssize)text.len);
}

static void
append_number (const fb_log_t *log, GString *line, const char *key, int64_t number)
{
  if (log->format == FB_LOG_JSON)
    g_string_append_printf (line, "%s\"%s\":%" G_GINT64_FORMAT, line->len > 1 ? "," : "", key,
                            number);
  else
    g_string_append_printf (line, "%s%s=%" G_GINT64_FORMAT, line->len > 0 ? " " : "", key,
                            number);
}

static uint32_t
get_limit (const fb_log_t *log, const char *service)
{
  gpointer limit = g_hash_table_lookup (log->limits, service);

  return limit ? GPOINTER_TO_UINT (limit) : REPEAT_LIMIT;
}

/* Counts a line against the limit on repeated messages; returns whether to write it and stores
 * the number of lines suppressed in the previous period in DROPPED. */
static bool
admit_line (fb_log_t *log, const char *service, const char *message, fb_time_t now,
            uint32_t *dropped)
{
  char *key = g_strconcat (service, "\n", message, NULL);
  repeat_t *repeat = g_hash_table_lookup (log->repeats, key);

  *dropped = 0;
  if (!repeat)
    {
      if (g_hash_table_size (log->repeats) >= REPEAT_TABLE_MAX)
        g_hash_table_remove_all (log->repeats);
      repeat = g_new0 (repeat_t, 1);
      repeat->period_start = now;
      g_hash_table_insert (log->repeats, g_steal_pointer (&key), repeat);
    }
  g_free (key);
  if (now - repeat->period_start >= REPEAT_PERIOD)
    {
      *dropped = repeat->dropped;
      *repeat = (repeat_t){ .period_start = now };
    }
  if (repeat->written >= get_limit (log, service))
    {
      repeat->dropped++;
      return false;
    }
  repeat->written++;
  return true;
}

fb_log_t *
fb_create_log (const fb_clock_t *clock, fb_log_format_t format, fb_log_level_t level,
               fb_log_sink_fn_t sink, void *user)
{
  fb_log_t *log = g_new0 (fb_log_t, 1);

  log->clock = clock;
  log->format = format;
  log->level = level;
  log->sink = sink ? sink : write_stderr;
  log->user = user;
  log->levels = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  log->limits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  log->repeats = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return log;
}

void
fb_destroy_log (fb_log_t *log)
{
  if (!log)
    return;
  g_hash_table_destroy (log->levels);
  g_hash_table_destroy (log->limits);
  g_hash_table_destroy (log->repeats);
  g_free (log);
}

void
fb_set_log_level (fb_log_t *log, const char *service, fb_log_level_t level)
{
  g_hash_table_insert (log->levels, g_strdup (service), GINT_TO_POINTER (level));
}

void
fb_set_log_limit (fb_log_t *log, const char *service, uint32_t lines)
{
  if (log)
    g_hash_table_insert (log->limits, g_strdup (service), GUINT_TO_POINTER (lines));
}

void
fb_write_stdout (fb_str_t line, void *user)
{
  fb_stdout_sink_t *output = user;
  struct pollfd ready = { .fd = STDOUT_FILENO, .events = POLLOUT };

  /* A writable pipe accepts PIPE_BUF bytes without blocking; longer lines are dropped. */
  if (line.len > PIPE_BUF || poll (&ready, 1, 0) != 1 || !(ready.revents & POLLOUT)
      || write (STDOUT_FILENO, line.data, line.len) != (ssize_t)line.len)
    output->dropped++;
}

void
fb_write_log (fb_log_t *log, fb_log_level_t level, const char *service, const char *message,
              const fb_log_field_t *fields, size_t count)
{
  fb_time_t now;
  uint32_t dropped;
  GString *line;
  gpointer override;

  if (!log)
    return;
  if (g_hash_table_lookup_extended (log->levels, service, NULL, &override)
          ? (int)level < GPOINTER_TO_INT (override)
          : level < log->level)
    return;
  now = fb_read_clock (log->clock);
  if (!admit_line (log, service, message, now, &dropped))
    return;
  line = g_string_new (log->format == FB_LOG_JSON ? "{" : "");
  append_number (log, line, "ms", now / FB_MILLISECOND);
  append_text (log, line, "level", fb_wrap_text (level_names[level]));
  append_text (log, line, "service", fb_wrap_text (service));
  append_text (log, line, "msg", fb_wrap_text (message));
  for (size_t i = 0; i < count; i++)
    {
      if (fields[i].text.data)
        {
          GString *buffer = g_string_new ("");

          append_text (log, line, fields[i].key, shorten_text (fields[i].text, buffer));
          g_string_free (buffer, TRUE);
        }
      else
        append_number (log, line, fields[i].key, fields[i].number);
    }
  if (dropped > 0)
    append_number (log, line, "dropped", dropped);
  g_string_append (line, log->format == FB_LOG_JSON ? "}\n" : "\n");
  log->sink ((fb_str_t){ line->str, line->len }, log->user);
  g_string_free (line, TRUE);
}

fb_status_t
fb_parse_log_level (fb_str_t text, fb_log_level_t *level)
{
  for (size_t i = 0; i < G_N_ELEMENTS (level_names); i++)
    {
      if (fb_equal_str (text, fb_wrap_text (level_names[i])))
        {
          *level = (fb_log_level_t)i;
          return FB_OK;
        }
    }
  return FB_INVALID;
}
