/* Runs a fuzz target on the files of a corpus folder, for ordinary test runs and for compilers
 * without libFuzzer. */
#include "fuzz.h"
#include <glib.h>

/* Largest single allocation for one input, in bytes; a document of 1 MB needs less. An
 * allocation above it means that a length field of the input was not validated. */
#define ALLOCATION_MAX ((size_t)64 * 1024 * 1024)

#ifdef __SANITIZE_ADDRESS__
int __sanitizer_install_malloc_and_free_hooks (void (*malloc_hook) (const volatile void *,
                                                                    size_t),
                                               void (*free_hook) (const volatile void *));

static void
check_allocation (const volatile void *memory, size_t size)
{
  FUZZ_CHECK (size <= ALLOCATION_MAX);
}

static void
ignore_free (const volatile void *memory)
{
}
#endif

static gboolean
run_file (const char *folder, const char *name)
{
  char *path = g_build_filename (folder, name, NULL);
  char *data = NULL;
  gsize length = 0;
  gboolean read = g_file_get_contents (path, &data, &length, NULL);

  if (read)
    {
      /* An exact copy, so that the address sanitizer sees reads past the end. */
      uint8_t *input = g_malloc (length > 0 ? length : 1);
      for (gsize i = 0; i < length; i++)
        input[i] = (uint8_t)data[i];
      (void)LLVMFuzzerTestOneInput (input, length);
      g_free (input);
    }
  else
    (void)fprintf (stderr, "cannot read %s\n", path);
  g_free (data);
  g_free (path);
  return read;
}

int
main (int argc, char **argv)
{
  GDir *dir = argc == 2 ? g_dir_open (argv[1], 0, NULL) : NULL;
  const char *name;
  int count = 0;
  int unreadable = 0;

  if (!dir)
    {
      (void)fprintf (stderr, "usage: %s FOLDER\n", argv[0]);
      return 2;
    }
#ifdef __SANITIZE_ADDRESS__
  (void)__sanitizer_install_malloc_and_free_hooks (check_allocation, ignore_free);
#endif
  while ((name = g_dir_read_name (dir)))
    {
      count++;
      if (!run_file (argv[1], name))
        unreadable++;
    }
  g_dir_close (dir);
  (void)printf ("%d inputs, %d not read\n", count, unreadable);
  return count > 0 && unreadable == 0 ? 0 : 1;
}
