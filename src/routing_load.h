/*
 * Loads configurations into routing tables in slices between the rounds of the event loop. While
 * one is loaded, the newest that has arrived since waits; those between the two are never loaded.
 * One from a store that returned from an older copy may be older than the one that waits, so both
 * are loaded.
 */
#ifndef TLB_ROUTING_LOAD_H
#define TLB_ROUTING_LOAD_H

#include "buffer.h"
#include "loop.h"
#include "routing_reader.h"

/* A configuration was loaded. r is a reference for the callee, or NULL with the reason in err. */
typedef void tlb_routing_loaded_fn(void *arg, struct tlb_routing *r, const struct tlb_error *err);

enum { TLB_ROUTING_WAITING_MAX = 3 };

/* Owned by struct tlb_routing_load. */
struct tlb_waiting_routing {
	struct tlb_buffer text;
	const char *source;
};

/* Owned by the caller. */
struct tlb_routing_load {
	struct tlb_loop *loop;
	struct tlb_job job;
	struct tlb_routing_reader reader;
	bool reading;
	struct tlb_buffer text; /* being read */
	const char *source;	/* of text, for the log; borrowed */
	int waiting_count;
	/* The newest from before each return of the store, and since. */
	struct tlb_waiting_routing waiting[TLB_ROUTING_WAITING_MAX];
	tlb_time started_at;
	struct tlb_routing **in_force; /* routes are shared with it; borrowed */
	tlb_routing_loaded_fn *on_loaded;
	void *arg;
};

void tlb_routing_load_init(struct tlb_routing_load *l, struct tlb_loop *loop,
			   struct tlb_routing **in_force, tlb_routing_loaded_fn *on_loaded,
			   void *arg);
void tlb_routing_load_finish(struct tlb_routing_load *l);
/* Loads a text, which is copied. on_loaded is called later, from the event loop. restored: it may
 * be older than those before it. */
void tlb_routing_load_start(struct tlb_routing_load *l, const char *text, size_t len,
			    const char *source, bool restored);

#endif
