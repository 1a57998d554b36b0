#include "decode_reservation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edgeboard.h"
#include "evidence.h"
#include "instance_notice.h"
#include "log.h"
#include "platform.h"
#include "release.h"

/* Endpoints answer a reservation request at once, without waiting for a free slot. */
#define RESERVE_TIMEOUT (150 * TLB_MS)
/* Endpoints that are tried before the request is queued again. */
enum { ENDPOINTS_TRIED_MAX = 3 };

static void send_request(struct tlb_decode_reservation *r);
static void try_next_endpoint(struct tlb_decode_reservation *r);

static void clear(struct tlb_decode_reservation *r)
{
	if (r->instance)
		tlb_instance_release(r->instance);
	r->instance = NULL;
	r->id[0] = '\0';
	r->state = TLB_DECODE_RESERVATION_NONE;
}

static void finish(struct tlb_decode_reservation *r, bool found)
{
	if (!found)
		clear(r);
	r->on_done(r->arg, found);
}

static void finish_held(struct tlb_decode_reservation *r, int life_ms)
{
	r->state = TLB_DECODE_RESERVATION_HELD;
	/* The answer may have waited for a late loop; it was not given before the request was sent.
	 */
	r->expires_at = r->sent_at + life_ms * TLB_MS;
	finish(r, true);
}

static void try_elsewhere(struct tlb_decode_reservation *r)
{
	clear(r);
	r->refusals++;
	r->query.now = tlb_clock_now();
	try_next_endpoint(r);
}

static void on_refusal(struct tlb_decode_reservation *r, const struct tlb_http_result *res)
{
	tlb_time now = tlb_clock_now();

	r->instance->full_until = now + TLB_DECODE_FULL_BACKOFF;
	/* No response, or a 200 without a reservation id, is a fault of the endpoint; other
	 * statuses are refusals by a working endpoint. */
	if (res->status == 0 || res->status == 200) {
		tlb_log_info("event=room_failed instance=%s status=%d reason=\"%s\"",
			     r->instance->row.id, res->status, res->reason);
		tlb_instances_record_outcome(&r->board->instances, r->instance, false, 0, now);
	}
	if (res->refused)
		tlb_evidence_add_crash(r->board, r->instance);
	try_elsewhere(r);
}

static void release_at_endpoint(struct tlb_decode_reservation *r)
{
	char target[TLB_HANDLE_LEN + 32];

	tlb_platform_reservation_release_target(target, sizeof(target), r->id);
	tlb_release_send(r->board->http, r->instance, target);
}

/* Whether the endpoint, which has granted the reservation, still takes what comes next. */
static bool is_still_wanted(const struct tlb_decode_reservation *r, tlb_time now)
{
	return r->probing ? tlb_instance_usable(r->instance, now)
			  : tlb_instance_takes_reserved(r->instance, now);
}

static void on_response(void *arg, const struct tlb_http_result *res)
{
	struct tlb_decode_reservation *r = arg;

	tlb_instance_notice_read(r->instance, res->status, res->head);
	if (res->status != 200 || !tlb_platform_read_reservation(res->body, res->body_len, r->id)) {
		on_refusal(r, res);
		return;
	}
	if (!is_still_wanted(r, tlb_clock_now())) {
		release_at_endpoint(r);
		try_elsewhere(r);
		return;
	}
	if (r->probing) {
		r->probing = false;
		release_at_endpoint(r);
		send_request(r);
		return;
	}
	finish_held(r, r->query.info->max_reservation_ms);
}

static void send_request(struct tlb_decode_reservation *r)
{
	char *body =
		tlb_platform_reservation_body(r->tokens + (r->probing ? r->headroom_tokens : 0),
					      r->query.info->max_reservation_ms);
	struct tlb_http_spec spec = {
		.method = "POST",
		.deadline = tlb_clock_now() + RESERVE_TIMEOUT,
		.on_done = on_response,
		.arg = r,
	};

	r->state = TLB_DECODE_RESERVATION_PENDING;
	r->sent_at = tlb_clock_now();
	tlb_instance_call(r->instance, r->board->http, &r->call, &spec,
			  tlb_platform_reservation_target(), body);
	free(body);
}

static void try_next_endpoint(struct tlb_decode_reservation *r)
{
	struct tlb_instance *i = NULL;

	if (r->refusals < ENDPOINTS_TRIED_MAX)
		i = tlb_instances_select_decode(&r->board->instances, &r->query);
	if (!i) {
		finish(r, false);
		return;
	}
	tlb_instance_acquire(i);
	r->instance = i;
	r->probing = r->headroom_tokens > 0;
	if (r->query.info && r->query.info->max_reservation_ms > 0)
		send_request(r);
	else
		finish_held(r, 0);
}

void tlb_decode_reservation_acquire(struct tlb_decode_reservation *r, struct tlb_edge_board *b,
				    const struct tlb_instance_query *p, int64_t tokens,
				    int64_t spare, tlb_decode_reservation_done_fn *on_done,
				    void *arg)
{
	r->board = b;
	r->query = *p;
	r->tokens = tokens;
	r->headroom_tokens = spare;
	r->refusals = 0;
	r->on_done = on_done;
	r->arg = arg;
	try_next_endpoint(r);
}

bool tlb_decode_reservation_is_held(const struct tlb_decode_reservation *r, tlb_time now)
{
	return r->state == TLB_DECODE_RESERVATION_HELD && (!r->id[0] || now < r->expires_at);
}

void tlb_decode_reservation_consume(struct tlb_decode_reservation *r)
{
	clear(r);
}

void tlb_decode_reservation_release(struct tlb_decode_reservation *r)
{
	if (r->state == TLB_DECODE_RESERVATION_PENDING)
		tlb_http_cancel(&r->call);
	if (r->id[0] && tlb_decode_reservation_is_held(r, tlb_clock_now()))
		release_at_endpoint(r);
	clear(r);
}
