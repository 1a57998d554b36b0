#include "booking.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "log.h"

#define CANCEL_TIMEOUT (1 * TLB_SECOND) /* of one attempt */
#define CANCEL_RETRY_DELAY (200 * TLB_MS)
#define CANCEL_MAX_TIME (10 * TLB_SECOND) /* later the owner's reconciliation cancels it */
#define HELD_TIMEOUT (1 * TLB_SECOND)
#define PULL_TIMEOUT (1 * TLB_SECOND)

enum { HELD_MAX = 512, RENEW_MAX = 512, VICTIMS_MAX = 32 };

/* A cancel at an engine, retried until it is confirmed; owned by struct tlb_bookings. */
struct tlb_cancel {
	APR_RING_ENTRY(tlb_cancel) link;
	struct tlb_bookings *bookings;
	struct tlb_target *target;
	char request_id[TLB_REQUEST_ID_LEN];
	bool release; /* also release this daemon's booking when confirmed */
	tlb_time renewed_at;
	struct tlb_http_call call;
	struct tlb_timer timer;
	tlb_time deadline;
};

/* A query to another VM for its bookings; owned by struct tlb_bookings. */
struct tlb_pull {
	APR_RING_ENTRY(tlb_pull) link;
	struct tlb_bookings *bookings;
	struct tlb_peer_call call;
};

static void on_renew_timer(void *arg);
static void on_held_timer(void *arg);
static void send_cancel(void *arg);

void tlb_bookings_init(struct tlb_bookings *b, struct tlb_board *board)
{
	memset(b, 0, sizeof(*b));
	b->board = board;
	APR_RING_INIT(&b->handles, tlb_booking_handle, link);
	APR_RING_INIT(&b->cancels, tlb_cancel, link);
	APR_RING_INIT(&b->pulls, tlb_pull, link);
	tlb_timer_init(&b->renew_timer, on_renew_timer, b);
	tlb_timer_init(&b->reconcile_timer, on_held_timer, b);
}

void tlb_bookings_start(struct tlb_bookings *b)
{
	tlb_timer_set(b->board->loop, &b->renew_timer,
		      tlb_clock_now() + TLB_BOOKING_RENEW_INTERVAL);
	tlb_timer_set(b->board->loop, &b->reconcile_timer, tlb_clock_now());
}

static void free_cancel(struct tlb_cancel *c)
{
	tlb_http_cancel(&c->call);
	tlb_timer_clear(c->bookings->board->loop, &c->timer);
	APR_RING_REMOVE(c, link);
	free(c);
}

static void free_pull(struct tlb_pull *p)
{
	tlb_peer_cancel(&p->call);
	APR_RING_REMOVE(p, link);
	free(p);
}

static void clear_bookings(struct tlb_booking_table *table)
{
	struct tlb_booking *k;

	while ((k = tlb_booking_table_pop(table)))
		free(k);
}

void tlb_bookings_finish(struct tlb_bookings *b)
{
	struct tlb_target *t;

	while (!APR_RING_EMPTY(&b->cancels, tlb_cancel, link))
		free_cancel(APR_RING_FIRST(&b->cancels));
	while (!APR_RING_EMPTY(&b->pulls, tlb_pull, link))
		free_pull(APR_RING_FIRST(&b->pulls));
	APR_RING_FOREACH (t, &b->board->load.targets, tlb_target, link) {
		if (t->role == TLB_ROLE_DECODE)
			clear_bookings(&t->bookings);
	}
	tlb_timer_clear(b->board->loop, &b->renew_timer);
	tlb_timer_clear(b->board->loop, &b->reconcile_timer);
}

static bool is_owner(const struct tlb_board *b, const char *endpoint)
{
	char vm[TLB_ID_LEN];

	return tlb_board_owner(b, endpoint, vm) == TLB_OWNER_SELF;
}

/* Formats "vm/incarnation", which identifies a daemon at engines and in booking tables. */
static void format_owner(const char *vm, uint64_t incarnation, char out[TLB_OWNER_LEN])
{
	snprintf(out, TLB_OWNER_LEN, "%s/%016llx", vm, (unsigned long long)incarnation);
}

static void add_preempt_share(struct tlb_target *t, int credit)
{
	const int limit = TLB_PREEMPT_COST * TLB_SAVED_PREEMPTIONS_MAX;

	t->preempt_share += credit;
	if (t->preempt_share > limit)
		t->preempt_share = limit;
	else if (t->preempt_share < -limit)
		t->preempt_share = -limit;
}

/* Notifies the holder of a booking of this daemon of its preemption. Does nothing when the booking
 * has ended already. */
static void notify_preempted(struct tlb_bookings *b, const struct tlb_target *t,
			     const char *request_id)
{
	struct tlb_booking_handle *h;

	APR_RING_FOREACH (h, &b->handles, tlb_booking_handle, link) {
		if (h->target != t || strcmp(h->request_id, request_id) != 0)
			continue;
		add_preempt_share(h->target, -TLB_PREEMPT_COST);
		if (h->spec.on_preempt)
			h->spec.on_preempt(h->spec.arg);
		return;
	}
}

/* --- booking tables of owned endpoints --- */

/* A daemon without a valid session has missed renewals, and another may own the table by now. */
static void expire_bookings(struct tlb_target *t, tlb_time now)
{
	struct tlb_booking *k;

	if (!tlb_board_session_valid(t->board))
		return;
	while ((k = tlb_booking_table_pop_expired(&t->bookings, now))) {
		tlb_log_warn("event=booking_lapsed endpoint=%s request=%s owner=%s pieces=%d",
			     t->id, k->request_id, k->owner, k->blocks);
		tlb_booking_cancel(&t->board->bookings, t, k->request_id);
		free(k);
	}
}

/* Requests the preemption of a booking from the VM that holds it, or directly for a local one. */
static void request_preemption(struct tlb_target *t, const struct tlb_booking *k,
			       const char *request_id)
{
	struct tlb_board *board = t->board;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__Preempt m = TOUCAN__PREEMPT__INIT;
	char vm[TLB_OWNER_LEN];

	tlb_log_info("event=preempt endpoint=%s request=%s owner=%s pieces=%d resume_tokens=%lld "
		     "for=%s",
		     t->id, k->request_id, k->owner, k->blocks, (long long)k->resume_tokens,
		     request_id);
	tlb_counter_add(&board->counters, TLB_COUNTER_PREEMPTIONS, 1);
	if (strcmp(k->owner, board->owner) == 0) {
		notify_preempted(&board->bookings, t, k->request_id);
		return;
	}
	snprintf(vm, sizeof(vm), "%.*s", (int)strcspn(k->owner, "/"), k->owner);
	m.endpoint = t->id;
	m.request_id = (char *)k->request_id;
	e.body_case = TOUCAN__ENVELOPE__BODY_PREEMPT;
	e.preempt = &m;
	tlb_cluster_send(board->cluster, vm, &e);
}

/* Returns whether pending preemptions will free enough memory for the request. */
static bool preempt(struct tlb_target *t, const struct tlb_booking_spec *spec)
{
	struct tlb_booking *victims[VICTIMS_MAX];
	tlb_time now = tlb_clock_now();
	bool claimed;
	int n = tlb_booking_table_preempt(&t->bookings, spec->request_id, spec->blocks, now,
					  now + TLB_BOOKING_CLAIM_TTL, victims, VICTIMS_MAX,
					  &claimed);

	while (n-- > 0)
		request_preemption(t, victims[n], spec->request_id);
	return claimed;
}

static enum tlb_booking_result add_booking(struct tlb_target *t,
					   const struct tlb_booking_spec *spec, const char *owner)
{
	struct tlb_booking *k = calloc(1, sizeof(*k));
	enum tlb_booking_result result;
	tlb_time now = tlb_clock_now();

	if (!k)
		return TLB_BOOKING_FULL;
	/* Also drops an expired claim. */
	expire_bookings(t, now);
	snprintf(k->request_id, sizeof(k->request_id), "%s", spec->request_id);
	snprintf(k->owner, sizeof(k->owner), "%s", owner);
	k->blocks = spec->blocks;
	k->class = spec->class;
	k->expires = now + TLB_BOOKING_TTL;
	k->resume_tokens = spec->resume_tokens;
	k->preemptible_until = spec->preemptible_until;
	k->preemptible_from = now + TLB_PREEMPTIBLE_MIN_AGE;
	/* A leaving endpoint gets no new requests from any VM. */
	if (!t->present || t->state != TLB_ENDPOINT_ACTIVE)
		result = TLB_BOOKING_NOT_GRANTING;
	else
		result = tlb_booking_table_add(&t->bookings, k);
	if (result != TLB_BOOKING_OK || tlb_booking_table_find(&t->bookings, spec->request_id) != k)
		free(k);
	if (result == TLB_BOOKING_FULL && spec->preempt && preempt(t, spec))
		result = TLB_BOOKING_PREEMPTING;
	if (result == TLB_BOOKING_FULL && spec->claim)
		tlb_booking_table_claim(&t->bookings, spec->request_id, spec->blocks,
					now + TLB_BOOKING_CLAIM_TTL);
	return result;
}

static void remove_booking(struct tlb_target *t, const char *request_id, const char *owner)
{
	free(tlb_booking_table_release(&t->bookings, request_id, owner));
	tlb_pools_schedule(&t->board->pools);
}

static int parse_held(const json_t *j, struct tlb_held_request *held)
{
	const json_t *list = json_object_get(j, "held");
	const json_t *e;
	size_t i;
	int n = 0;

	json_array_foreach (list, i, e) {
		const char *id = json_string_value(json_object_get(e, "request_id"));
		const char *owner = json_string_value(json_object_get(e, "owner"));

		if (n == HELD_MAX || !id)
			continue;
		memset(&held[n], 0, sizeof(held[n]));
		snprintf(held[n].request_id, sizeof(held[n].request_id), "%s", id);
		snprintf(held[n].owner, sizeof(held[n].owner), "%s", owner ? owner : "");
		held[n].blocks = (int)json_integer_value(json_object_get(e, "pieces"));
		n++;
	}
	return n;
}

static bool is_fenced(const struct tlb_bookings *b, const char *owner)
{
	int i;

	for (i = 0; i < TLB_FENCED_OWNERS; i++)
		if (b->fenced_owners[i][0] && strcmp(b->fenced_owners[i], owner) == 0)
			return true;
	return false;
}

static void reconcile(struct tlb_target *t, const json_t *j)
{
	struct tlb_held_request held[HELD_MAX];
	int n = parse_held(j, held);
	int i;

	tlb_booking_table_reconcile(&t->bookings, held, n, tlb_clock_now());
	for (i = 0; i < n; i++) {
		if (!held[i].cancel && !is_fenced(&t->board->bookings, held[i].owner))
			continue;
		tlb_log_warn("event=orphan endpoint=%s request=%s owner=%s pieces=%d", t->id,
			     held[i].request_id, held[i].owner, held[i].blocks);
		tlb_booking_cancel(&t->board->bookings, t, held[i].request_id);
	}
	tlb_pools_schedule(&t->board->pools);
}

static void on_held(void *arg, const struct tlb_http_result *r)
{
	struct tlb_target *t = arg;
	json_t *j = r->status == 200 ? json_loadb(r->body, r->body_len, 0, NULL) : NULL;

	if (j && is_owner(t->board, t->id) && tlb_board_session_valid(t->board))
		reconcile(t, j);
	json_decref(j);
}

static void fetch_held(struct tlb_target *t)
{
	char url[TLB_ADDR_LEN + 32];
	struct tlb_http_spec spec = {
		.method = "GET",
		.url = url,
		.deadline = tlb_clock_now() + HELD_TIMEOUT,
		.on_done = on_held,
		.arg = t,
	};

	if (tlb_http_active(&t->reconcile_call))
		return;
	snprintf(url, sizeof(url), "http://%s/held", t->addr);
	tlb_http_start(t->board->http, &t->reconcile_call, &spec);
}

static void on_held_timer(void *arg)
{
	struct tlb_bookings *b = arg;
	struct tlb_target *t;
	/* Without the bookings of the other VMs, their requests would look like orphans. */
	bool pulling = !APR_RING_EMPTY(&b->pulls, tlb_pull, link);

	APR_RING_FOREACH (t, &b->board->load.targets, tlb_target, link) {
		if (t->role != TLB_ROLE_DECODE || !t->present || !is_owner(b->board, t->id))
			continue;
		if (!pulling)
			fetch_held(t);
	}
	tlb_timer_set(b->board->loop, &b->reconcile_timer,
		      tlb_clock_now() + TLB_RECONCILE_INTERVAL);
}

/* --- cancels --- */

static void cancel_confirmed(struct tlb_cancel *c)
{
	struct tlb_board *board = c->bookings->board;

	if (is_owner(board, c->target->id))
		tlb_booking_table_cancel_confirmed(&c->target->bookings, c->request_id);
}

static void release_booking(struct tlb_board *board, struct tlb_target *t, const char *request_id)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ReleaseBooking m = TOUCAN__RELEASE_BOOKING__INIT;
	char vm[TLB_ID_LEN];

	switch (tlb_board_owner(board, t->id, vm)) {
	case TLB_OWNER_SELF:
		remove_booking(t, request_id, board->owner);
		break;
	case TLB_OWNER_PEER:
		m.endpoint = t->id;
		m.request_id = (char *)request_id;
		e.body_case = TOUCAN__ENVELOPE__BODY_RELEASE_BOOKING;
		e.release_booking = &m;
		tlb_cluster_send(board->cluster, vm, &e);
		break;
	case TLB_OWNER_NONE:
		break;
	}
}

static void on_cancelled(void *arg, const struct tlb_http_result *r)
{
	struct tlb_cancel *c = arg;
	tlb_time now = tlb_clock_now();

	if (r->status == 200) {
		cancel_confirmed(c);
		if (c->release)
			release_booking(c->bookings->board, c->target, c->request_id);
		free_cancel(c);
		return;
	}
	if (now >= c->deadline) {
		tlb_log_warn("event=cancel_failed endpoint=%s request=%s reason=\"%s\"",
			     c->target->id, c->request_id, r->reason);
		free_cancel(c);
		return;
	}
	tlb_timer_set(c->bookings->board->loop, &c->timer, now + CANCEL_RETRY_DELAY);
}

static void send_cancel(void *arg)
{
	struct tlb_cancel *c = arg;
	char url[TLB_ADDR_LEN + 32];
	char body[TLB_REQUEST_ID_LEN + 32];
	struct tlb_http_spec spec = {
		.method = "POST",
		.url = url,
		.body = body,
		.deadline = tlb_clock_now() + CANCEL_TIMEOUT,
		.on_done = on_cancelled,
		.arg = c,
	};

	snprintf(url, sizeof(url), "http://%s/cancel", c->target->addr);
	spec.body_len =
		(size_t)snprintf(body, sizeof(body), "{\"request_id\":\"%s\"}", c->request_id);
	tlb_http_start(c->bookings->board->http, &c->call, &spec);
}

static void cancel_start(struct tlb_bookings *b, struct tlb_target *t, const char *request_id,
			 bool release, tlb_time renewed_at)
{
	struct tlb_cancel *c = calloc(1, sizeof(*c));

	/* Out of memory: the booking expires and the owner's reconciliation cancels the request. */
	if (!c)
		return;
	c->bookings = b;
	c->target = t;
	c->release = release;
	c->renewed_at = renewed_at;
	snprintf(c->request_id, sizeof(c->request_id), "%s", request_id);
	c->deadline = tlb_clock_now() + CANCEL_MAX_TIME;
	tlb_timer_init(&c->timer, send_cancel, c);
	APR_RING_INSERT_TAIL(&b->cancels, c, tlb_cancel, link);
	send_cancel(c);
}

void tlb_booking_cancel(struct tlb_bookings *b, struct tlb_target *t, const char *request_id)
{
	cancel_start(b, t, request_id, false, 0);
}

/* --- bookings requested by this daemon --- */

static void handle_end(struct tlb_booking_handle *h)
{
	if (h->state == TLB_BOOKING_HANDLE_GRANTED)
		APR_RING_REMOVE(h, link);
	h->state = TLB_BOOKING_HANDLE_IDLE;
}

static void handle_granted(struct tlb_booking_handle *h)
{
	h->state = TLB_BOOKING_HANDLE_GRANTED;
	h->target->local_blocks += h->spec.blocks;
	add_preempt_share(h->target, 1);
	APR_RING_INSERT_TAIL(&h->board->bookings.handles, h, tlb_booking_handle, link);
}

static enum tlb_booking_result reply_result(const Toucan__BookReply *m)
{
	if (m->granted)
		return TLB_BOOKING_OK;
	return m->yielding ? TLB_BOOKING_PREEMPTING : TLB_BOOKING_FULL;
}

static void on_book_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct tlb_booking_handle *h = arg;
	const Toucan__BookReply *m;

	if (!reply || reply->body_case != TOUCAN__ENVELOPE__BODY_BOOK_REPLY) {
		h->state = TLB_BOOKING_HANDLE_IDLE;
		/* The owner may have granted the booking; releasing an unknown one has no effect.
		 */
		release_booking(h->board, h->target, h->request_id);
		h->spec.on_done(h->spec.arg, TLB_BOOKING_NOT_GRANTING, true);
		return;
	}
	m = reply->book_reply;
	if (m->load_report)
		tlb_load_apply_report(&h->board->load, reply->source, reply->incarnation,
				      m->load_report);
	/* The owner's free count is no sign that the engine is alive, so it does not count as a
	 * load report: when it did, failed engines looked alive (docs/POLICY.md). */
	tlb_load_set_free(h->target, m->free_pieces);
	if (m->granted)
		handle_granted(h);
	else
		h->state = TLB_BOOKING_HANDLE_IDLE;
	/* The reply's free_pieces already includes this booking. */
	h->target->local_blocks = 0;
	h->spec.on_done(h->spec.arg, reply_result(m), false);
}

/* Deadlines are sent as remaining time, because the clocks of VMs differ. */
static int64_t remaining_us(tlb_time deadline)
{
	tlb_time left = deadline - tlb_clock_now();

	if (deadline == TLB_NEVER)
		return TLB_NEVER;
	return deadline && left > 0 ? left : 0;
}

static tlb_time deadline_after(int64_t left_us)
{
	if (left_us <= 0)
		return 0;
	return left_us < TLB_NEVER - tlb_clock_now() ? tlb_clock_now() + left_us : TLB_NEVER;
}

static void request_remote(struct tlb_booking_handle *h, const char *vm, tlb_time deadline)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__BookDecode m = TOUCAN__BOOK_DECODE__INIT;

	m.endpoint = h->target->id;
	m.request_id = h->request_id;
	m.owner = h->board->owner;
	m.pieces = h->spec.blocks;
	m.klass = h->spec.class;
	m.claim = h->spec.claim;
	m.preempt = h->spec.preempt;
	m.urgent_in_us = remaining_us(h->spec.preemptible_until);
	m.resume_tokens = h->spec.resume_tokens;
	e.body_case = TOUCAN__ENVELOPE__BODY_BOOK_DECODE;
	e.book_decode = &m;
	h->state = TLB_BOOKING_HANDLE_REQUESTED;
	tlb_cluster_call(h->board->cluster, vm, &h->call, &e, deadline, on_book_reply, h);
}

static void request_local(struct tlb_booking_handle *h)
{
	enum tlb_booking_result result = add_booking(h->target, &h->spec, h->board->owner);

	if (result == TLB_BOOKING_OK)
		handle_granted(h);
	h->spec.on_done(h->spec.arg, result, false);
}

void tlb_booking_request(struct tlb_bookings *b, struct tlb_booking_handle *h, struct tlb_target *t,
			 const struct tlb_booking_spec *spec)
{
	char vm[TLB_ID_LEN];

	memset(h, 0, sizeof(*h));
	h->board = b->board;
	h->target = t;
	h->spec = *spec;
	snprintf(h->request_id, sizeof(h->request_id), "%s", spec->request_id);
	h->spec.request_id = h->request_id;
	h->renewed_at = tlb_clock_now();
	switch (tlb_board_owner(b->board, t->id, vm)) {
	case TLB_OWNER_SELF:
		request_local(h);
		break;
	case TLB_OWNER_PEER:
		request_remote(h, vm, spec->deadline);
		break;
	case TLB_OWNER_NONE:
		h->spec.on_done(h->spec.arg, TLB_BOOKING_NOT_GRANTING, true);
		break;
	}
}

void tlb_booking_release(struct tlb_booking_handle *h, bool cancel)
{
	switch (h->state) {
	case TLB_BOOKING_HANDLE_IDLE:
		return;
	case TLB_BOOKING_HANDLE_REQUESTED:
		tlb_peer_cancel(&h->call);
		release_booking(h->board, h->target, h->request_id);
		break;
	case TLB_BOOKING_HANDLE_GRANTED:
		if (cancel)
			cancel_start(&h->board->bookings, h->target, h->request_id, true,
				     h->renewed_at);
		else
			release_booking(h->board, h->target, h->request_id);
		break;
	}
	handle_end(h);
}

/* --- renewals --- */

struct renewal {
	struct tlb_bookings *bookings;
	tlb_time now;
	size_t count;
	char *ids[RENEW_MAX];
	tlb_time *renewed_at[RENEW_MAX];
};

static bool owned_by_peer(const struct tlb_board *board, const struct tlb_target *t, const char *vm)
{
	char owner[TLB_ID_LEN];

	return tlb_board_owner(board, t->id, owner) == TLB_OWNER_PEER && strcmp(vm, owner) == 0;
}

static void renew_one(struct renewal *r, struct tlb_target *t, char *request_id,
		      tlb_time *renewed_at, const char *vm)
{
	struct tlb_board *board = r->bookings->board;

	if (!vm) {
		if (is_owner(board, t->id))
			tlb_booking_table_renew(&t->bookings, request_id, board->owner,
						r->now + TLB_BOOKING_TTL);
		return;
	}
	if (r->now - *renewed_at <= TLB_BOOKING_RENEW_MIN_AGE || r->count == RENEW_MAX ||
	    !owned_by_peer(board, t, vm))
		return;
	r->ids[r->count] = request_id;
	r->renewed_at[r->count++] = renewed_at;
}

/* Collects the bookings due for renewal at the owner vm. With vm NULL renews the bookings in this
 * daemon's own booking tables directly. */
static void collect_due(struct renewal *r, const char *vm)
{
	struct tlb_booking_handle *h;
	struct tlb_cancel *c;

	r->count = 0;
	APR_RING_FOREACH (h, &r->bookings->handles, tlb_booking_handle, link) {
		renew_one(r, h->target, h->request_id, &h->renewed_at, vm);
	}
	APR_RING_FOREACH (c, &r->bookings->cancels, tlb_cancel, link) {
		if (c->release)
			renew_one(r, c->target, c->request_id, &c->renewed_at, vm);
	}
}

static void renew_at(void *arg, const char *vm)
{
	struct renewal *r = arg;
	struct tlb_board *board = r->bookings->board;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__RenewBookings m = TOUCAN__RENEW_BOOKINGS__INIT;
	size_t i;

	collect_due(r, vm);
	if (r->count == 0)
		return;
	m.n_request_ids = r->count;
	m.request_ids = r->ids;
	e.body_case = TOUCAN__ENVELOPE__BODY_RENEW_BOOKINGS;
	e.renew_bookings = &m;
	/* Renewals that could not be sent stay due. */
	if (!tlb_cluster_send(board->cluster, vm, &e))
		return;
	tlb_counter_add(&board->counters, TLB_COUNTER_BOOKINGS_RENEWED, (int64_t)r->count);
	for (i = 0; i < r->count; i++)
		*r->renewed_at[i] = r->now;
}

void tlb_bookings_on_link_up(struct tlb_bookings *b, const char *vm)
{
	struct tlb_booking_handle *h;
	struct tlb_cancel *c;

	APR_RING_FOREACH (h, &b->handles, tlb_booking_handle, link) {
		if (owned_by_peer(b->board, h->target, vm))
			h->renewed_at = 0;
	}
	APR_RING_FOREACH (c, &b->cancels, tlb_cancel, link) {
		if (owned_by_peer(b->board, c->target, vm))
			c->renewed_at = 0;
	}
}

static void on_renew_timer(void *arg)
{
	struct tlb_bookings *b = arg;
	struct tlb_target *t;
	struct renewal r = {.bookings = b, .now = tlb_clock_now()};

	/* A daemon without a valid session must let its bookings expire. */
	if (tlb_board_session_valid(b->board)) {
		collect_due(&r, NULL);
		if (b->board->cluster)
			tlb_cluster_for_each_peer(b->board->cluster, renew_at, &r);
	}
	APR_RING_FOREACH (t, &b->board->load.targets, tlb_target, link) {
		if (t->role == TLB_ROLE_DECODE && is_owner(b->board, t->id))
			expire_bookings(t, tlb_clock_now());
	}
	tlb_timer_set(b->board->loop, &b->renew_timer,
		      tlb_clock_now() + TLB_BOOKING_RENEW_INTERVAL);
}

/* --- changes of shard ownership --- */

/* The most tokens that a request with so many blocks in this pool prefills again. */
static int64_t tokens_in_blocks(const struct tlb_bookings *b, const char *pool, int blocks)
{
	const struct tlb_model *m;

	APR_RING_FOREACH (m, &b->board->table->models, tlb_model, link) {
		if (strcmp(m->pool, pool) == 0)
			return (int64_t)blocks * m->block_tokens;
	}
	return 0;
}

/* When the former owner could have preempted the request is not known here; the holder ignores a
 * preemption that comes too early or too late. */
static void adopt(struct tlb_bookings *b, const Toucan__Booking *m)
{
	struct tlb_target *t = tlb_load_find(&b->board->load, m->endpoint);
	struct tlb_booking *k;

	if (!t || t->role != TLB_ROLE_DECODE || !is_owner(b->board, t->id))
		return;
	k = calloc(1, sizeof(*k));
	if (!k)
		return;
	snprintf(k->request_id, sizeof(k->request_id), "%s", m->request_id);
	snprintf(k->owner, sizeof(k->owner), "%s", m->owner);
	k->blocks = m->pieces;
	k->class = m->klass == TLB_BATCH ? TLB_BATCH : TLB_INTERACTIVE;
	k->expires = tlb_clock_now() + TLB_BOOKING_TTL;
	k->resume_tokens = tokens_in_blocks(b, t->pool, k->blocks);
	k->preemptible_until = TLB_NEVER;
	if (!tlb_booking_table_adopt(&t->bookings, k))
		free(k);
}

static void on_bookings(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct tlb_pull *p = arg;
	struct tlb_bookings *b = p->bookings;
	size_t i;

	if (reply && reply->body_case == TOUCAN__ENVELOPE__BODY_BOOKINGS_REPLY)
		for (i = 0; i < reply->bookings_reply->n_bookings; i++)
			adopt(b, reply->bookings_reply->bookings[i]);
	free_pull(p);
	if (APR_RING_EMPTY(&b->pulls, tlb_pull, link))
		tlb_timer_set(b->board->loop, &b->reconcile_timer, tlb_clock_now());
}

static void pull_bookings(void *arg, const char *vm)
{
	struct tlb_bookings *b = arg;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__BookingsPull m = TOUCAN__BOOKINGS_PULL__INIT;
	struct tlb_pull *p = calloc(1, sizeof(*p));

	if (!p)
		return;
	p->bookings = b;
	APR_RING_INSERT_TAIL(&b->pulls, p, tlb_pull, link);
	e.body_case = TOUCAN__ENVELOPE__BODY_BOOKINGS_PULL;
	e.bookings_pull = &m;
	tlb_cluster_call(b->board->cluster, vm, &p->call, &e, tlb_clock_now() + PULL_TIMEOUT,
			 on_bookings, p);
}

static void adopt_local(struct tlb_bookings *b)
{
	struct tlb_booking_handle *h;
	Toucan__Booking m = TOUCAN__BOOKING__INIT;

	APR_RING_FOREACH (h, &b->handles, tlb_booking_handle, link) {
		m.endpoint = h->target->id;
		m.request_id = h->request_id;
		m.owner = b->board->owner;
		m.pieces = h->spec.blocks;
		m.klass = h->spec.class;
		adopt(b, &m);
	}
}

static void count_daemon(void *arg, const char *vm)
{
	++*(int *)arg;
}

static int count_daemons(const struct tlb_bookings *b)
{
	int count = 1;

	if (b->board->cluster)
		tlb_cluster_for_each_peer(b->board->cluster, count_daemon, &count);
	return count;
}

void tlb_bookings_shards_changed(struct tlb_bookings *b, tlb_shard_set gained, tlb_shard_set lost)
{
	int daemons = count_daemons(b);
	struct tlb_target *t;

	APR_RING_FOREACH (t, &b->board->load.targets, tlb_target, link) {
		if (t->role != TLB_ROLE_DECODE)
			continue;
		if (tlb_shard_set_contains(gained | lost, tlb_shard_for_id(t->id))) {
			clear_bookings(&t->bookings);
			tlb_load_reset_bookings(t);
			/* Estimates the former owner's credit: callers reach all daemons alike. */
			tlb_booking_table_set_credit(&t->bookings,
						     (int64_t)t->preempt_share * daemons);
		}
	}
	if (!gained)
		return;
	adopt_local(b);
	if (b->board->cluster)
		tlb_cluster_for_each_peer(b->board->cluster, pull_bookings, b);
	tlb_timer_set(b->board->loop, &b->reconcile_timer, tlb_clock_now());
}

void tlb_bookings_on_fence(struct tlb_bookings *b, const char *vm, uint64_t incarnation)
{
	char *owner = b->fenced_owners[b->fenced_next];
	struct tlb_target *t;
	struct tlb_booking *k;

	format_owner(vm, incarnation, owner);
	b->fenced_next = (b->fenced_next + 1) % TLB_FENCED_OWNERS;
	APR_RING_FOREACH (t, &b->board->load.targets, tlb_target, link) {
		if (t->role != TLB_ROLE_DECODE || !is_owner(b->board, t->id))
			continue;
		APR_RING_FOREACH (k, &t->bookings.bookings, tlb_booking, link) {
			if (strcmp(k->owner, owner) == 0)
				k->expires = 0;
		}
		expire_bookings(t, tlb_clock_now());
	}
	tlb_timer_set(b->board->loop, &b->reconcile_timer, tlb_clock_now());
}

static Toucan__Booking *booking_message(const struct tlb_target *t, const struct tlb_booking *k)
{
	Toucan__Booking *m = malloc(sizeof(*m));

	if (!m)
		return NULL;
	toucan__booking__init(m);
	m->endpoint = strdup(t->id);
	m->request_id = strdup(k->request_id);
	m->owner = strdup(k->owner);
	m->pieces = k->blocks;
	m->klass = k->class;
	return m;
}

static void export_bookings(const struct tlb_target *t, Toucan__HandOver *out)
{
	const struct tlb_booking *k;
	Toucan__Booking **grown;

	APR_RING_FOREACH (k, &t->bookings.bookings, tlb_booking, link) {
		grown = realloc(out->bookings, (out->n_bookings + 1) * sizeof(Toucan__Booking *));
		if (!grown)
			return;
		out->bookings = grown;
		out->bookings[out->n_bookings] = booking_message(t, k);
		if (out->bookings[out->n_bookings])
			out->n_bookings++;
	}
}

void tlb_bookings_export(struct tlb_bookings *b, tlb_shard_set shards, Toucan__HandOver *out)
{
	const struct tlb_target *t;

	APR_RING_FOREACH (t, &b->board->load.targets, tlb_target, link) {
		if (t->role == TLB_ROLE_DECODE &&
		    tlb_shard_set_contains(shards, tlb_shard_for_id(t->id)))
			export_bookings(t, out);
	}
}

void tlb_bookings_import(struct tlb_bookings *b, const Toucan__HandOver *state)
{
	size_t i;

	for (i = 0; i < state->n_bookings; i++)
		adopt(b, state->bookings[i]);
}

/* --- messages --- */

static void send_book_reply(struct tlb_bookings *b, const struct tlb_peer_reply_address *to,
			    enum tlb_booking_result result, const struct tlb_target *t)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__BookReply m = TOUCAN__BOOK_REPLY__INIT;
	Toucan__LoadReport report;

	if (t && tlb_load_report(t, &report))
		m.load_report = &report;
	m.granted = result == TLB_BOOKING_OK;
	m.yielding = result == TLB_BOOKING_PREEMPTING;
	m.free_pieces = t ? tlb_booking_table_free_blocks(&t->bookings) : 0;
	m.booked = t ? t->bookings.booked_blocks : 0;
	e.body_case = TOUCAN__ENVELOPE__BODY_BOOK_REPLY;
	e.book_reply = &m;
	tlb_cluster_reply(b->board->cluster, to, &e);
}

void tlb_bookings_on_book(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			  const Toucan__BookDecode *m)
{
	struct tlb_target *t = tlb_load_find(&b->board->load, m->endpoint);
	struct tlb_booking_spec spec = {
		.request_id = m->request_id,
		.blocks = m->pieces,
		.class = m->klass == TLB_BATCH ? TLB_BATCH : TLB_INTERACTIVE,
		.claim = m->claim,
		.preempt = m->preempt,
		.preemptible_until = deadline_after(m->urgent_in_us),
		.resume_tokens = m->resume_tokens,
	};

	if (!t || t->role != TLB_ROLE_DECODE || !is_owner(b->board, t->id) ||
	    !tlb_board_session_valid(b->board)) {
		send_book_reply(b, from, TLB_BOOKING_NOT_GRANTING, NULL);
		return;
	}
	send_book_reply(b, from, add_booking(t, &spec, m->owner), t);
}

void tlb_bookings_on_renew(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			   const Toucan__RenewBookings *m)
{
	char owner[TLB_OWNER_LEN];
	struct tlb_target *t;
	size_t i;

	format_owner(from->vm, from->incarnation, owner);
	for (i = 0; i < m->n_request_ids; i++) {
		APR_RING_FOREACH (t, &b->board->load.targets, tlb_target, link) {
			if (t->role == TLB_ROLE_DECODE &&
			    tlb_booking_table_renew(&t->bookings, m->request_ids[i], owner,
						    tlb_clock_now() + TLB_BOOKING_TTL))
				break;
		}
	}
}

void tlb_bookings_on_release(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			     const Toucan__ReleaseBooking *m)
{
	struct tlb_target *t = tlb_load_find(&b->board->load, m->endpoint);
	char owner[TLB_OWNER_LEN];

	format_owner(from->vm, from->incarnation, owner);
	if (t && t->role == TLB_ROLE_DECODE)
		remove_booking(t, m->request_id, owner);
}

void tlb_bookings_on_preempt(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			     const Toucan__Preempt *m)
{
	struct tlb_target *t = tlb_load_find(&b->board->load, m->endpoint);
	char vm[TLB_ID_LEN];

	/* A late message of a former owner of the shard is ignored. */
	if (!t || tlb_board_owner(b->board, t->id, vm) != TLB_OWNER_PEER ||
	    strcmp(vm, from->vm) != 0)
		return;
	notify_preempted(b, t, m->request_id);
}

void tlb_bookings_on_pull(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			  const Toucan__BookingsPull *m)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__BookingsReply r = TOUCAN__BOOKINGS_REPLY__INIT;
	Toucan__Booking rows[HELD_MAX];
	Toucan__Booking *list[HELD_MAX];
	struct tlb_booking_handle *h;

	APR_RING_FOREACH (h, &b->handles, tlb_booking_handle, link) {
		if (r.n_bookings == HELD_MAX)
			break;
		toucan__booking__init(&rows[r.n_bookings]);
		rows[r.n_bookings].endpoint = h->target->id;
		rows[r.n_bookings].request_id = h->request_id;
		rows[r.n_bookings].owner = b->board->owner;
		rows[r.n_bookings].pieces = h->spec.blocks;
		rows[r.n_bookings].klass = h->spec.class;
		list[r.n_bookings] = &rows[r.n_bookings];
		r.n_bookings++;
	}
	r.bookings = list;
	e.body_case = TOUCAN__ENVELOPE__BODY_BOOKINGS_REPLY;
	e.bookings_reply = &r;
	tlb_cluster_reply(b->board->cluster, from, &e);
}
