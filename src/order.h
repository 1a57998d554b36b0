/*
 * Orders to engines: which model, version and adapter to load and which role to take.
 *
 * What is wanted of an engine is a function of the configuration table in force. Only the owner of
 * the engine's shard sends orders, and only under a valid session lease, which is checked again
 * once the connection stands, right before the first byte is written. Each order carries a fencing
 * number that grows with every change of owner and, under one owner, with the table.
 *
 * An order is sent when the wanted state changes and when ownership is gained. It is repeated with
 * backoff and jitter until the engine confirms it, and asserted again every TLB_ORDER_ASSERT, so
 * that an engine that was restarted, or obeyed a late order, comes back to the table's state.
 * Orders are idempotent. An engine confirms an order before the loading is complete.
 *
 * Engines that ignore the fencing number: an order that a former owner sent while its lease was
 * still valid arrives at most TLB_ORDER_IN_FLIGHT later. The owner therefore asserts its order
 * again when this time has passed since it gained the engine or last missed an answer. A former
 * owner that is paused between the check and the write, within a few instructions, escapes this
 * window; its order lasts until the next assertion.
 */
#ifndef TLB_ORDER_H
#define TLB_ORDER_H

#include "http.h"
#include "random.h"
#include "shard.h"
#include "table.h"

struct tlb_board;

/* 4 s for bytes that are written and not acknowledged (TCP_USER_TIMEOUT of outgoing calls), and 2 s
 * for the engine to act on an order that it has received. */
#define TLB_ORDER_IN_FLIGHT (6 * TLB_SECOND)
/* Longest time between two assertions of a confirmed order. 930 engines get 31 orders per second
 * from the whole fleet. */
#define TLB_ORDER_ASSERT (30 * TLB_SECOND)
/* For one attempt. */
#define TLB_ORDER_TIMEOUT (2 * TLB_SECOND)

/* The configuration version takes the lower 26 bits of a fencing number: 37 years at 4,900 changes
 * a day. 27 bits remain for the epoch in integers that JSON readers keep exact (53 bits). */
enum { TLB_ORDER_CONFIG_BITS = 26 };

/* What the table wants of an engine; adapter "" for none. A zeroed value type. */
struct tlb_order_state {
	char model[TLB_ID_LEN];
	char version[TLB_ID_LEN];
	char adapter[TLB_ID_LEN];
	enum tlb_role role;
};

enum tlb_order_wish {
	TLB_ORDER_WANTED,
	TLB_ORDER_NOT_ENGINE, /* a plain service */
	TLB_ORDER_LEAVING,    /* drains; loading something new is of no use */
	TLB_ORDER_NO_MODEL,   /* no model row has this pool */
	TLB_ORDER_AMBIGUOUS,  /* several model rows have this pool, and an order names one */
};

/* Fills out with what the table wants of an endpoint; only TLB_ORDER_WANTED calls for orders. */
enum tlb_order_wish tlb_order_wanted(const struct tlb_table *t, const struct tlb_endpoint *e,
				     struct tlb_order_state *out);
/* The fencing number: greater for a greater epoch (tlb_cluster_epoch()), whatever the version, and
 * within one epoch for a later configuration version, so that an engine also refuses an order of
 * the same owner that a later one has overtaken. */
int64_t tlb_order_number(int64_t epoch, int64_t config_version);

struct tlb_order;
APR_RING_HEAD(tlb_order_ring, tlb_order);

/* Owned by the board; owns one order for each engine whose shard this daemon acts for. */
struct tlb_orders {
	struct tlb_board *board;
	struct tlb_order_ring orders;
	tlb_shard_set acting;
	struct tlb_random random;
};

void tlb_orders_init(struct tlb_orders *o, struct tlb_board *b);
void tlb_orders_finish(struct tlb_orders *o);
/* Takes over the table in force. */
void tlb_orders_sync(struct tlb_orders *o);
void tlb_orders_shards_changed(struct tlb_orders *o, tlb_shard_set gained, tlb_shard_set lost);

#endif
