/* Reading a file of bounded size. */
#include <errno.h>
#include <fcntl.h>
#include <foxtailrun/config/settings.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

/* Reads to the end or CAPACITY bytes; -1 with errno on an error. */
static ssize_t
read_all (int file, uint8_t *buffer, size_t capacity)
{
  size_t length = 0;

  while (length < capacity)
    {
      ssize_t count = read (file, buffer + length, capacity - length);

      if (count == 0)
        break;
      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0)
        return -1;
      length += (size_t)count;
    }
  return (ssize_t)length;
}

fb_status_t
fc_read_file (const char *path, size_t max, uint8_t **data, size_t *length,
              fc_problems_t *problems)
{
  fb_status_t status = FB_IO;
  uint8_t *buffer = NULL;
  ssize_t count;
  int file = open (path, O_RDONLY | O_CLOEXEC);

  *data = NULL;
  *length = 0;
  if (file < 0)
    {
      status = errno == ENOENT ? FB_NOT_FOUND : FB_IO;
      goto failed;
    }
  /* One byte beyond the limit shows that the file is larger. */
  buffer = g_malloc (max + 1);
  count = read_all (file, buffer, max + 1);
  if (count < 0)
    goto failed;
  close (file);
  if ((size_t)count > max)
    {
      char *found = g_strdup_printf ("more than %zu bytes", max);
      char *allowed = g_strdup_printf ("at most %zu bytes", max);

      fc_add_problem (problems, 0, "file", found, allowed);
      g_free (allowed);
      g_free (found);
      g_free (buffer);
      return FB_TOO_LARGE;
    }
  *data = buffer;
  *length = (size_t)count;
  return FB_OK;

failed:
  fc_add_problem (problems, 0, "file", g_strerror (errno), "a readable file");
  if (file >= 0)
    close (file);
  g_free (buffer);
  return status;
}
