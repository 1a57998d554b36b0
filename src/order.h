/*
 * Orders to engines: which model, version and adapter to load and which role to run in.
 *
 * The configuration table in force determines the desired state of an engine. Only the owner of the
 * engine's shard sends orders, and only under a valid session lease, which is checked again after
 * the connection is established, right before the first byte is written. Each order carries a
 * fencing number that increases with every change of owner and, under one owner, with the version
 * of the table.
 *
 * An order is sent when the desired state changes and when ownership is gained. It is retried with
 * backoff and jitter until the engine confirms it, and sent again at least every
 * TLB_ORDER_REASSERT_INTERVAL, so that an engine that restarted or applied a delayed order returns
 * to the desired state. Orders are idempotent. An engine confirms an order before it has finished
 * loading.
 *
 * Engines that ignore the fencing number may apply an order that a former owner sent while its
 * lease was still valid; it arrives at most TLB_ORDER_MAX_IN_FLIGHT later. The owner therefore
 * sends its order again when this time has passed since it gained the engine or last got no
 * response. A former owner that is paused between the lease check and the write, a gap of a few
 * instructions, is not covered by this; the effect of its order lasts until the next repetition.
 */
#ifndef TLB_ORDER_H
#define TLB_ORDER_H

#include "http.h"
#include "random.h"
#include "shard.h"
#include "table.h"

struct tlb_board;

/* Longest time from sending an order until the engine applies it: 4 s for bytes written but not
 * acknowledged (TCP_USER_TIMEOUT of outgoing calls) and 2 s for the engine to process it. */
#define TLB_ORDER_MAX_IN_FLIGHT (6 * TLB_SECOND)
/* Longest interval at which a confirmed order is repeated. With 930 engines the fleet then sends 31
 * orders per second. */
#define TLB_ORDER_REASSERT_INTERVAL (30 * TLB_SECOND)
/* Time-out of one attempt. */
#define TLB_ORDER_TIMEOUT (2 * TLB_SECOND)

/* The configuration version uses the lower 26 bits of a fencing number: enough for 37 years at
 * 4,900 changes a day. 27 bits remain for the epoch, because JSON parsers keep integers exact up to
 * 53 bits. */
enum { TLB_ORDER_CONFIG_BITS = 26 };

/* Desired state of an engine; adapter "" for none. A value type, zero-initialised. */
struct tlb_desired_state {
	char model[TLB_ID_LEN];
	char version[TLB_ID_LEN];
	char adapter[TLB_ID_LEN];
	enum tlb_role role;
};

enum tlb_order_need {
	TLB_ORDER_NEEDED,     /* the engine gets orders */
	TLB_ORDER_NOT_ENGINE, /* a plain service */
	TLB_ORDER_LEAVING,    /* draining: needs no new model */
	TLB_ORDER_NO_MODEL,   /* no model row has this pool */
	TLB_ORDER_AMBIGUOUS,  /* several model rows have this pool, but an order names one model */
};

/* Computes the desired state of an endpoint. *out is complete only with TLB_ORDER_NEEDED; other
 * results mean that no orders are sent. */
enum tlb_order_need tlb_order_desired_state(const struct tlb_table *t, const struct tlb_endpoint *e,
					    struct tlb_desired_state *out);
/* Returns the fencing number. It is ordered by epoch (tlb_cluster_fencing_epoch()) and within one
 * epoch by configuration version, so that an engine also refuses an older order of the same owner
 * that arrives after a newer one. */
int64_t tlb_order_fencing_number(int64_t epoch, int64_t config_version);

struct tlb_order;
APR_RING_HEAD(tlb_order_ring, tlb_order);

/* Owned by the board; owns one order for each engine whose shard this daemon owns. */
struct tlb_orders {
	struct tlb_board *board;
	struct tlb_order_ring orders;
	tlb_shard_set owned_shards;
	struct tlb_random random;
};

void tlb_orders_init(struct tlb_orders *o, struct tlb_board *b);
void tlb_orders_finish(struct tlb_orders *o);
/* Applies the configuration table in force. */
void tlb_orders_sync(struct tlb_orders *o);
void tlb_orders_shards_changed(struct tlb_orders *o, tlb_shard_set gained, tlb_shard_set lost);

#endif
