#include "log.h"

#include <fcntl.h>
#include <limits.h>
#include <log4c/rc.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	BUFFER_BYTES = 65536,
	DEL = 0x7f,
	LINE_LEN = 1200,
	MESSAGE_LEN =
		4096, /* more than LINE_LEN; log4c complains about messages that it truncates */
};

static log4c_category_t *category;
static int log_fd = -1;
static char buffer[BUFFER_BYTES];
static size_t buffered_bytes;
static int64_t dropped_lines;

/* Prevents text chosen by a caller from forging a log line. */
static void replace_control_chars(char *line)
{
	for (; *line; line++)
		if ((unsigned char)*line < ' ' || *line == DEL)
			*line = '?';
}

static const char *format_line(const log4c_layout_t *layout, const log4c_logging_event_t *e)
{
	static char line[LINE_LEN];
	static char timestamp[32];
	static time_t formatted_second;
	struct timespec ts;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &ts);
	if (ts.tv_sec != formatted_second) {
		gmtime_r(&ts.tv_sec, &tm);
		strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
		formatted_second = ts.tv_sec;
	}
	snprintf(line, sizeof(line) - 1, "%s.%03ldZ %s %s", timestamp, ts.tv_nsec / 1000000,
		 log4c_priority_to_string(e->evt_priority), e->evt_msg);
	replace_control_chars(line);
	strcat(line, "\n");
	return line;
}

/* Writes as much as the reader accepts without blocking. A pipe that poll() reports as writable
 * accepts PIPE_BUF bytes without blocking (pipe(7)). */
static void write_buffer(void)
{
	struct pollfd p = {.fd = log_fd, .events = POLLOUT};
	size_t done = 0;
	ssize_t n;

	while (done < buffered_bytes && poll(&p, 1, 0) == 1) {
		n = write(log_fd, buffer + done,
			  buffered_bytes - done < PIPE_BUF ? buffered_bytes - done : PIPE_BUF);
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	buffered_bytes -= done;
	memmove(buffer, buffer + done, buffered_bytes);
}

/* Returns the number of bytes buffered, 0 when the line is dropped. */
static int append_line(log4c_appender_t *appender, const log4c_logging_event_t *e)
{
	size_t len = strlen(e->evt_rendered_msg);

	if (log_fd < 0)
		return 0;
	if (buffered_bytes + len > sizeof(buffer))
		write_buffer();
	if (buffered_bytes + len > sizeof(buffer)) {
		dropped_lines++;
		return 0;
	}
	memcpy(buffer + buffered_bytes, e->evt_rendered_msg, len);
	buffered_bytes += len;
	return (int)len;
}

static const log4c_layout_type_t layout_type = {.name = "tlb", .format = format_line};
static const log4c_appender_type_t appender_type = {.name = "tlb", .append = append_line};

static int open_log(const char *path)
{
	if (strcmp(path, "-") == 0)
		return STDERR_FILENO;
	if (strcmp(path, "stdout") == 0)
		return STDOUT_FILENO;
	return open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
}

int tlb_log_init(const char *path, const char *level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;
	int priority = log4c_priority_to_int(level);

	if (priority == LOG4C_PRIORITY_UNKNOWN)
		return -1;
	log_fd = open_log(path);
	if (log_fd < 0)
		return -1;
	log4c_layout_type_set(&layout_type);
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get("tlb");
	layout = log4c_layout_get("tlb");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	/* Without a buffer size, log4c formats each message repeatedly until it fits. */
	log4c_rc->config.bufsize = MESSAGE_LEN;
	category = log4c_category_get("toucanlb");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priority);
	return 0;
}

const char *tlb_log_escape(char *buf, size_t size, const char *text)
{
	size_t n = 0;
	bool quoted;

	for (; *text; text++) {
		quoted = *text == '"' || *text == '\\';
		if (n + quoted + 1 >= size)
			break;
		if (quoted)
			buf[n++] = '\\';
		buf[n++] = (unsigned char)*text < ' ' ? '?' : *text;
	}
	buf[n] = '\0';
	return buf;
}

void tlb_log_flush(void)
{
	if (log_fd >= 0)
		write_buffer();
}

int64_t tlb_log_dropped(void)
{
	return dropped_lines;
}

void tlb_log_finish(void)
{
	tlb_log_flush();
	if (log_fd > STDERR_FILENO)
		close(log_fd);
	log_fd = -1;
	category = NULL;
}

void tlb_log(int priority, const char *fmt, ...)
{
	va_list ap;

	if (!category)
		return;
	va_start(ap, fmt);
	log4c_category_vlog(category, priority, fmt, ap);
	va_end(ap);
	if (priority <= LOG4C_PRIORITY_WARN)
		tlb_log_flush();
}
