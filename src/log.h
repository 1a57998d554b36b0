/*
 * Logging through log4c: one line per event with key=value fields. Lines must not contain keys,
 * secrets or prompt text.
 */
#ifndef TLB_LOG_H
#define TLB_LOG_H

#include <log4c.h>
#include <stdint.h>

/* Opens the log at path ("-" is standard error, "stdout" is standard output) at a log4c level such
 * as "info". Returns 0, or -1 when the file can't be opened or the level is unknown. */
int tlb_log_init(const char *path, const char *level);
void tlb_log_finish(void);
/* Writes the buffered lines. Lines of a lower priority than "warn" are buffered, because a write
 * call for each would cost more than the routing decision that it reports; the daemon flushes them
 * every 100 ms. */
void tlb_log_flush(void);
/* Returns the number of lines dropped because the reader of the log was too slow; the daemon never
 * waits for the reader. */
int64_t tlb_log_dropped(void);

/* Escapes quotes and backslashes and replaces control characters, so that text from a caller can be
 * logged as a quoted value. Truncates it to size; returns buf. */
const char *tlb_log_escape(char *buf, size_t size, const char *text);

/* Logs one line; control characters are replaced by "?". */
void tlb_log(int priority, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

#define tlb_log_error(...) tlb_log(LOG4C_PRIORITY_ERROR, __VA_ARGS__)
#define tlb_log_warn(...) tlb_log(LOG4C_PRIORITY_WARN, __VA_ARGS__)
#define tlb_log_info(...) tlb_log(LOG4C_PRIORITY_INFO, __VA_ARGS__)
#define tlb_log_debug(...) tlb_log(LOG4C_PRIORITY_DEBUG, __VA_ARGS__)

#endif
