/*
 * The blackboard: the entire state of one daemon. The controllers (modules for limits, bookings,
 * load and so on) read and write it. All run on the event loop's single thread, so no locks are
 * needed.
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

/* Embedded in the daemon; the pointers are borrowed from it. */
struct tlb_board {
	const struct tlb_settings *settings;
	struct tlb_loop *loop;
	struct tlb_http *http;
	struct tlb_store *store;
	struct tlb_cluster *cluster; /* NULL for a daemon without peers */
	struct tlb_table *table;     /* in force; empty and of version 0 until one is loaded */
	struct tlb_counters counters;
	struct tlb_selector place;
	struct tlb_load load;
	struct tlb_limit limit;
	struct tlb_bookings bookings;
	struct tlb_pools pools;
	struct tlb_requests requests;
	struct tlb_services services;
	struct tlb_orders orders;
	char owner[TLB_OWNER_LEN]; /* "<vm id>/<incarnation>", sent to engines */
};

/* Whether the session lease is valid, so that this daemon may act; true without peers. */
bool tlb_board_session_valid(const struct tlb_board *b);
/* Returns which VM does the accounting for an id, with its name in vm; TLB_OWNER_SELF for a daemon
 * without peers. */
enum tlb_owner tlb_board_owner(const struct tlb_board *b, const char *id, char vm[TLB_ID_LEN]);

#endif
