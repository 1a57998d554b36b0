/* Fetches a KV cache from another engine's /kv/export. */
#ifndef STANDIN_IMPORT_H
#define STANDIN_IMPORT_H

#include "held.h"
#include "link.h"

struct import;

/* Called once after the first line of the export: reserves memory. false aborts the transfer. */
typedef bool import_begin_fn(struct import *im);

/* Lives on the stack of the thread that serves the import. */
struct import {
	struct standin_request *rq;
	struct standin_link *link;
	struct held *held;
	import_begin_fn *on_begin;
	int64_t max_tokens;

	int64_t prompt_tokens;
	int64_t bytes;
	uint64_t prompt_hash;
	bool begun;
	bool no_memory;
	double link_begin;
	char text[512]; /* the export's lines */
	size_t text_len;
};

/* Returns 200, or the error status to respond with: 410 evicted, 507 no memory, 409 cancelled, 502
 * when the source failed. */
int import_run(struct import *im, const char *source, const char *kv_id);

#endif
