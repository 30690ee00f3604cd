#include "process.h"
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static void
end_with_parent (gpointer user)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

GPid
start_process (char **argv, const char *log)
{
  GPid pid;
  GError *error = NULL;
  int output = g_open (log, O_CREAT | O_WRONLY | O_TRUNC, 0600);

  if (!g_spawn_async_with_fds (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, end_with_parent,
                               NULL, &pid, -1, output, output, &error))
    g_error ("%s", error->message);
  close (output);
  return pid;
}

void
kill_process (GPid pid)
{
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

double
read_cpu (GPid pid)
{
  char *folder = g_strdup_printf ("/proc/%d/task", pid);
  GDir *tasks = g_dir_open (folder, 0, NULL);
  const char *task;
  double nanoseconds = 0;

  while (tasks && (task = g_dir_read_name (tasks)))
    {
      char *path = g_build_filename (folder, task, "schedstat", NULL);
      char *text = NULL;

      if (g_file_get_contents (path, &text, NULL, NULL))
        nanoseconds += strtod (text, NULL);
      g_free (text);
      g_free (path);
    }
  if (tasks)
    g_dir_close (tasks);
  g_free (folder);
  return nanoseconds / 1e9;
}

void
remove_folder (const char *folder)
{
  char *command = g_strdup_printf ("rm -rf %s", folder);

  if (system (command) != 0)
    fprintf (stderr, "cannot remove %s\n", folder);
  g_free (command);
}
