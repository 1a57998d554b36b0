/*
 * The blackboard: the whole state of one daemon. Controllers are functions that read and write it;
 * all run on the loop's one thread, so that no part needs a lock.
 */
#ifndef TLB_BOARD_H
#define TLB_BOARD_H

#include "cluster.h"
#include "counter.h"
#include "http.h"
#include "booking.h"
#include "limit.h"
#include "load.h"
#include "order.h"
#include "pool.h"
#include "request.h"
#include "service.h"
#include "settings.h"
#include "store.h"
#include "table.h"

/* Owned by the daemon; the pointers are borrowed from it. */
struct tlb_board {
	const struct tlb_settings *settings;
	struct tlb_loop *loop;
	struct tlb_http *http;
	struct tlb_store *store;
	struct tlb_cluster *cluster; /* NULL for a daemon without peers */
	struct tlb_table *table;     /* in force; version 0 and empty before the first one */
	struct tlb_counters counters;
	struct tlb_selector place;
	struct tlb_load load;
	struct tlb_limit limit;
	struct tlb_bookings bookings;
	struct tlb_pools pools;
	struct tlb_requests requests;
	struct tlb_services services;
	struct tlb_orders orders;
	char owner[TLB_OWNER_LEN]; /* "<vm id>/<incarnation>", as engines see it */
};

/* Whether this daemon may act now: its session lease is valid. */
bool tlb_board_valid(const struct tlb_board *b);
/* Who accounts for an id; SELF for a daemon without peers. */
enum tlb_owner tlb_board_owner(const struct tlb_board *b, const char *id, char vm[TLB_ID_LEN]);

#endif
