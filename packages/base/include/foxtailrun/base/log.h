/* Structured logs in logfmt or JSON, with levels by service and limits on repeated messages. */
#ifndef FOXTAILRUN_BASE_LOG_H
#define FOXTAILRUN_BASE_LOG_H

#include "clock.h"
#include "status.h"
#include "string.h"

typedef enum
{
  FB_LOG_DEBUG,
  FB_LOG_INFO,
  FB_LOG_WARNING,
  FB_LOG_ERROR
} fb_log_level_t;

typedef enum
{
  FB_LOG_LOGFMT,
  FB_LOG_JSON
} fb_log_format_t;

/* One key with a text, or with a number when TEXT.data is NULL. */
typedef struct
{
  const char *key;
  fb_str_t text;
  int64_t number;
} fb_log_field_t;

typedef struct fb_log fb_log_t;

/* Receives one complete line with its final newline; LINE is borrowed. */
typedef void (*fb_log_sink_fn_t) (fb_str_t line, void *user);

/* Creates a logger that passes lines of at least LEVEL to SINK; CLOCK is borrowed and supplies
 * the time field in milliseconds. A NULL SINK writes to standard error. */
fb_log_t *fb_create_log (const fb_clock_t *clock, fb_log_format_t format, fb_log_level_t level,
                         fb_log_sink_fn_t sink, void *user);

/* Frees LOG; NULL is allowed. */
void fb_destroy_log (fb_log_t *log);

/* Overrides the level of one SERVICE. */
void fb_set_log_level (fb_log_t *log, const char *service, fb_log_level_t level);

/* Limits each message of SERVICE to LINES in 10 s; the default is 10. */
void fb_set_log_limit (fb_log_t *log, const char *service, uint32_t lines);

/* State of fb_write_stdout. */
typedef struct
{
  uint64_t dropped; /* lines dropped since the start */
} fb_stdout_sink_t;

/* A sink that writes to standard output without blocking; lines that cannot be written at once
 * are dropped and counted. USER is an fb_stdout_sink_t. */
void fb_write_stdout (fb_str_t line, void *user);

/* Writes one line; a NULL LOG drops it. Lines of one service and message over the limit of a
 * 10 s period are suppressed; the next line after it has their number in the field "dropped".
 */
void fb_write_log (fb_log_t *log, fb_log_level_t level, const char *service,
                   const char *message, const fb_log_field_t *fields, size_t count);

/* Parses "debug", "info", "warning" or "error"; FB_INVALID on anything else. */
fb_status_t fb_parse_log_level (fb_str_t text, fb_log_level_t *level);

#define FB_TEXT(k, v) ((fb_log_field_t){ .key = (k), .text = fb_wrap_text (v) })
#define FB_STR(k, v) ((fb_log_field_t){ .key = (k), .text = (v) })
#define FB_NUMBER(k, v) ((fb_log_field_t){ .key = (k), .number = (int64_t)(v) })

/* FB_LOG (log, level, service, message, fields...): at least one field. */
#define FB_LOG(log, level, service, message, ...)                                              \
  fb_write_log ((log), (level), (service), (message), (fb_log_field_t[]){ __VA_ARGS__ },       \
                sizeof ((fb_log_field_t[]){ __VA_ARGS__ }) / sizeof (fb_log_field_t))

#endif
