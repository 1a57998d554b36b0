/*
 * Preloaded into the daemons of a test fleet to step the wall clock of a running process: adds the
 * number of seconds in the file CLOCKSTEP_FILE to CLOCK_REALTIME. The file is read at each call.
 * CLOCK_MONOTONIC is not changed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static long offset_seconds(void)
{
	const char *path = getenv("CLOCKSTEP_FILE");
	FILE *f = path ? fopen(path, "re") : NULL;
	char line[32] = "";

	if (!f)
		return 0;
	if (!fgets(line, sizeof(line), f))
		line[0] = '\0';
	fclose(f);
	return strtol(line, NULL, 10);
}

int clock_gettime(clockid_t id, struct timespec *ts)
{
	int result = (int)syscall(SYS_clock_gettime, id, ts);

	if (result == 0 && id == CLOCK_REALTIME)
		ts->tv_sec += offset_seconds();
	return result;
}
