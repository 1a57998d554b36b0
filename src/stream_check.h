/* Checks that what an endpoint sends can be part of the event stream that a caller gets. */
#ifndef TLB_STREAM_CHECK_H
#define TLB_STREAM_CHECK_H

#include <stdbool.h>
#include <stddef.h>

#include "request_info.h"

/* The id of an event: a part of the bytes it was read from, not terminated. text NULL: none. */
struct tlb_event_id {
	const char *text;
	size_t len;
};

/* Reads the id of an event from one of its lines, given with or without its CR. Returns false, with
 * id unchanged, for a line of another field. */
bool tlb_stream_read_id(const char *line, size_t len, struct tlb_event_id *id);
/* Returns why some complete events can't be part of a stream, or NULL. after: the id of the event
 * that they have to follow, "" for any; NULL for a stream that begins with them. */
const char *tlb_stream_find_fault(const char *events, size_t len, const char *after);

#endif
