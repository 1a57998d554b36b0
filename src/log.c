#include "log.h"

#include <log4c/rc.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum {
	BUFFER_BYTES = 65536,
	DEL = 0x7f,
	LINE_LEN = 1200,
	MESSAGE_LEN = 4096, /* longer than any line, because log4c complains about what it cuts */
};

static log4c_category_t *category;
static FILE *out;

/* Text that a caller chose must not begin a line of its own. */
static void replace_controls(char *line)
{
	for (; *line; line++)
		if ((unsigned char)*line < ' ' || *line == DEL)
			*line = '?';
}

static const char *format_line(const log4c_layout_t *layout, const log4c_logging_event_t *e)
{
	static char line[LINE_LEN];
	static char when[32];
	static time_t formatted;
	struct timespec ts;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &ts);
	if (ts.tv_sec != formatted) {
		gmtime_r(&ts.tv_sec, &tm);
		strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
		formatted = ts.tv_sec;
	}
	snprintf(line, sizeof(line) - 1, "%s.%03ldZ %s %s", when, ts.tv_nsec / 1000000,
		 log4c_priority_to_string(e->evt_priority), e->evt_msg);
	replace_controls(line);
	strcat(line, "\n");
	return line;
}

static int append_line(log4c_appender_t *appender, const log4c_logging_event_t *e)
{
	return out ? fputs(e->evt_rendered_msg, out) : 0;
}

static const log4c_layout_type_t layout_type = {.name = "tlb", .format = format_line};
static const log4c_appender_type_t appender_type = {.name = "tlb", .append = append_line};

int tlb_log_init(const char *path, const char *level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;
	int priority = log4c_priority_to_int(level);

	if (priority == LOG4C_PRIORITY_UNKNOWN)
		return -1;
	out = strcmp(path, "-") == 0 ? stderr : fopen(path, "ae");
	if (!out)
		return -1;
	setvbuf(out, NULL, _IOFBF, BUFFER_BYTES);
	log4c_layout_type_set(&layout_type);
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get("tlb");
	layout = log4c_layout_get("tlb");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	/* Without a size log4c formats every message again and again until it fits. */
	log4c_rc->config.bufsize = MESSAGE_LEN;
	category = log4c_category_get("toucanlb");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priority);
	return 0;
}

const char *tlb_log_quoted(char *buf, size_t size, const char *text)
{
	size_t n = 0;

	for (; *text && n + 2 < size; text++) {
		if (*text == '"' || *text == '\\')
			buf[n++] = '\\';
		buf[n++] = *text;
	}
	buf[n] = '\0';
	return buf;
}

void tlb_log_flush(void)
{
	if (out)
		fflush(out);
}

void tlb_log_finish(void)
{
	if (out && out != stderr)
		fclose(out);
	out = NULL;
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
