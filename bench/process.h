/* Processes that a benchmark starts. */
#ifndef FOXTAILRUN_BENCH_PROCESS_H
#define FOXTAILRUN_BENCH_PROCESS_H

#include <glib.h>

/* Starts ARGV with its output in file LOG. The process is killed when the benchmark ends; a
 * failed start aborts the benchmark. */
GPid start_process (char **argv, const char *log);

/* Kills process PID and waits for its end. */
void kill_process (GPid pid);

/* Returns the processor time of all threads of PID in s. The scheduler's own clock is exact;
 * the tick-based times of /proc/PID/stat overstate processes that are woken by timers. */
double read_cpu (GPid pid);

/* Removes FOLDER and its contents. */
void remove_folder (const char *folder);

#endif
