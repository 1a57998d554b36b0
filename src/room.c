#include "room.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edgeboard.h"
#include "log.h"
#include "platform.h"
#include "release.h"

/* An endpoint answers a reservation without waiting for a slot. */
#define ASK_WAIT (150 * TLB_MS)
/* Endpoints that are asked before the request waits again. */
enum { ASK_MOST = 3 };

static void ask(struct tlb_room *r);
static void ask_next(struct tlb_room *r);

static void let_go(struct tlb_room *r)
{
	if (r->at)
		tlb_instance_release(r->at);
	r->at = NULL;
	r->hold[0] = '\0';
	r->state = TLB_ROOM_NONE;
}

static void finish(struct tlb_room *r, bool found)
{
	if (!found)
		let_go(r);
	r->on_done(r->arg, found);
}

static void held(struct tlb_room *r, int life_ms)
{
	r->state = TLB_ROOM_HELD;
	r->deadline = tlb_clock_now() + life_ms * TLB_MS;
	finish(r, true);
}

static void refused(struct tlb_room *r, const struct tlb_http_result *res)
{
	tlb_time now = tlb_clock_now();

	r->at->full_until = now + TLB_ROOM_FULL;
	/* Only an answer proves that the endpoint lives. */
	if (res->status == 0 || res->status == 200) {
		tlb_log_info("event=room_failed instance=%s status=%d reason=\"%s\"", r->at->row.id,
			     res->status, res->reason);
		tlb_instances_note(&r->board->instances, r->at, false, 0, now);
	}
	let_go(r);
	r->refusals++;
	r->placing.now = now;
	ask_next(r);
}

static void give_back(struct tlb_room *r)
{
	char target[TLB_HANDLE_LEN + 32];

	tlb_platform_unhold_target(target, sizeof(target), r->hold);
	tlb_release_send(r->board->http, r->at, target);
}

static void on_answer(void *arg, const struct tlb_http_result *res)
{
	struct tlb_room *r = arg;

	if (res->status != 200 || !tlb_platform_hold(res->body, res->body_len, r->hold)) {
		refused(r, res);
		return;
	}
	if (r->probing) {
		r->probing = false;
		give_back(r);
		ask(r);
		return;
	}
	held(r, r->placing.info->hold_ms);
}

static void ask(struct tlb_room *r)
{
	char *body = tlb_platform_hold_body(r->tokens + (r->probing ? r->spare : 0),
					    r->placing.info->hold_ms);
	struct tlb_http_spec spec = {
		.method = "POST",
		.deadline = tlb_clock_now() + ASK_WAIT,
		.on_done = on_answer,
		.arg = r,
	};
	struct tlb_error err;

	r->state = TLB_ROOM_ASKING;
	if (tlb_instance_call(r->at, r->board->http, &r->call, &spec, tlb_platform_hold_target(),
			      body, &err) != TLB_OK) {
		tlb_log_error("event=room_failed instance=%s reason=\"%s\"", r->at->row.id,
			      err.message);
		finish(r, false);
	}
	free(body);
}

static void ask_next(struct tlb_room *r)
{
	struct tlb_instance *i = NULL;

	if (r->refusals < ASK_MOST)
		i = tlb_instances_for_decode(&r->board->instances, &r->placing);
	if (!i) {
		finish(r, false);
		return;
	}
	tlb_instance_hold(i);
	r->at = i;
	r->probing = r->spare > 0;
	if (r->placing.info && r->placing.info->hold_ms > 0)
		ask(r);
	else
		held(r, 0);
}

void tlb_room_ask(struct tlb_room *r, struct tlb_edge_board *b, const struct tlb_placing *p,
		  int64_t tokens, int64_t spare, tlb_room_done_fn *on_done, void *arg)
{
	r->board = b;
	r->placing = *p;
	r->tokens = tokens;
	r->spare = spare;
	r->refusals = 0;
	r->on_done = on_done;
	r->arg = arg;
	ask_next(r);
}

bool tlb_room_is_held(const struct tlb_room *r, tlb_time now)
{
	return r->state == TLB_ROOM_HELD && (!r->hold[0] || now < r->deadline);
}

void tlb_room_used(struct tlb_room *r)
{
	let_go(r);
}

void tlb_room_drop(struct tlb_room *r)
{
	if (r->state == TLB_ROOM_ASKING)
		tlb_http_cancel(&r->call);
	if (r->hold[0] && tlb_room_is_held(r, tlb_clock_now()))
		give_back(r);
	let_go(r);
}
