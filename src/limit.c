#include "limit.h"

#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "log.h"

/* Time that a reservation's reply may take beyond the wait at the owner. */
#define REPLY_MARGIN (500 * TLB_MS)
#define OWNER_RETRY (150 * TLB_MS)

/* One request that waits for tokens at this owner; for a local reservation or a remote one. */
struct tlb_limit_waiter {
	APR_RING_ENTRY(tlb_limit_waiter) link;
	struct tlb_limit_account *account;
	struct tlb_reservation *local; /* NULL for a remote one */
	struct tlb_peer_return from;
	char id[TLB_REQUEST_ID_LEN];
	int64_t tokens;
	tlb_time deadline;
};

/* Tokens granted to a request and not yet settled, so that a VM that dies leaves none booked. */
struct tlb_limit_grant {
	APR_RING_ENTRY(tlb_limit_grant) link;
	char id[TLB_REQUEST_ID_LEN];
	char vm[TLB_ID_LEN];
	uint64_t incarnation;
	int64_t tokens;
};

APR_RING_HEAD(tlb_limit_waiter_ring, tlb_limit_waiter);
APR_RING_HEAD(tlb_limit_grant_ring, tlb_limit_grant);

/* One account of a shard that this daemon owns. */
struct tlb_limit_account {
	APR_RING_ENTRY(tlb_limit_account) link;
	struct tlb_limit *limit;
	char id[TLB_ID_LEN];
	struct tlb_bucket bucket;
	struct tlb_limit_waiter_ring waiters;
	struct tlb_limit_grant_ring grants;
	struct tlb_timer timer;
};

static void serve(void *arg);

void tlb_limit_init(struct tlb_limit *l, struct tlb_board *b)
{
	l->board = b;
	APR_RING_INIT(&l->accounts, tlb_limit_account, link);
}

static struct tlb_limit_account *find(const struct tlb_limit *l, const char *id)
{
	struct tlb_limit_account *a;

	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		if (strcmp(a->id, id) == 0)
			return a;
	}
	return NULL;
}

/* Starts a bucket at level 0: nothing is known of what a former owner granted up to now. */
static struct tlb_limit_account *account_for(struct tlb_limit *l, const char *id)
{
	const struct tlb_account *row = tlb_table_account(l->board->table, id);
	struct tlb_limit_account *a = find(l, id);

	if (a || !row)
		return a;
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->limit = l;
	strcpy(a->id, id);
	APR_RING_INIT(&a->waiters, tlb_limit_waiter, link);
	APR_RING_INIT(&a->grants, tlb_limit_grant, link);
	tlb_timer_init(&a->timer, serve, a);
	tlb_bucket_init(&a->bucket, row->rate, row->burst, 0, tlb_clock_now());
	APR_RING_INSERT_TAIL(&l->accounts, a, tlb_limit_account, link);
	return a;
}

static struct tlb_limit_grant *find_grant(const struct tlb_limit_account *a, const char *id)
{
	struct tlb_limit_grant *g;

	APR_RING_FOREACH (g, &a->grants, tlb_limit_grant, link) {
		if (strcmp(g->id, id) == 0)
			return g;
	}
	return NULL;
}

static bool add_grant(struct tlb_limit_account *a, const struct tlb_limit_waiter *w)
{
	struct tlb_limit_grant *g = calloc(1, sizeof(*g));

	if (!g)
		return false;
	strcpy(g->id, w->id);
	strcpy(g->vm, w->from.vm);
	g->incarnation = w->from.incarnation;
	g->tokens = w->tokens;
	APR_RING_INSERT_TAIL(&a->grants, g, tlb_limit_grant, link);
	return true;
}

static void free_waiter(struct tlb_limit_waiter *w)
{
	if (w->local)
		w->local->waiter = NULL;
	APR_RING_REMOVE(w, link);
	free(w);
}

static void reply_unavailable(struct tlb_limit *l, const struct tlb_peer_return *to)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__TokensReply m = TOUCAN__TOKENS_REPLY__INIT;

	m.unavailable = true;
	e.body_case = TOUCAN__ENVELOPE__BODY_TOKENS_REPLY;
	e.tokens_reply = &m;
	tlb_cluster_reply(l->board->cluster, to, &e);
}

static void reply_remote(struct tlb_limit *l, const struct tlb_peer_return *to, bool granted,
			 tlb_time retry_after)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__TokensReply m = TOUCAN__TOKENS_REPLY__INIT;

	m.granted = granted;
	m.retry_after_us = retry_after;
	e.body_case = TOUCAN__ENVELOPE__BODY_TOKENS_REPLY;
	e.tokens_reply = &m;
	tlb_cluster_reply(l->board->cluster, to, &e);
}

static void refuse_tokens(struct tlb_error *err, const char *account, tlb_time retry_after)
{
	if (retry_after == TLB_NEVER)
		/* Waiting never helps, so this is no case for Retry-After. */
		tlb_error_set(err, TLB_TOO_LARGE, TLB_NOT_RUN, "reserve", account,
			      "the request needs more tokens than the account's burst");
	else
		tlb_error_set(err, TLB_RATE_LIMITED, TLB_NOT_RUN, "reserve", account,
			      "the account's token rate is used up");
}

/* Ends a wait; the waiter is freed before the callback, which may reserve again. */
static void answer(struct tlb_limit_waiter *w, bool granted, tlb_time retry_after)
{
	struct tlb_limit *l = w->account->limit;
	struct tlb_reservation *r = w->local;
	struct tlb_peer_return from = w->from;
	struct tlb_error err = {0};

	free_waiter(w);
	if (!r) {
		reply_remote(l, &from, granted, retry_after);
		return;
	}
	r->state = granted ? TLB_RESERVATION_GRANTED : TLB_RESERVATION_IDLE;
	if (!granted)
		refuse_tokens(&err, r->account, retry_after);
	r->on_done(r->arg, granted, retry_after, &err);
}

/* Grants in order as tokens come in; a wait that can't end in time is refused at once. */
static void serve(void *arg)
{
	struct tlb_limit_account *a = arg;
	struct tlb_limit_waiter *w;
	tlb_time now = tlb_clock_now();
	tlb_time ready;

	while (!APR_RING_EMPTY(&a->waiters, tlb_limit_waiter, link)) {
		w = APR_RING_FIRST(&a->waiters);
		if (tlb_bucket_take(&a->bucket, 0, w->tokens, now)) {
			if (!add_grant(a, w)) {
				tlb_bucket_settle(&a->bucket, w->tokens, 0, now);
				answer(w, false, TLB_SECOND);
				continue;
			}
			answer(w, true, 0);
			continue;
		}
		if (now >= w->deadline || tlb_bucket_exceeds_burst(&a->bucket, w->tokens)) {
			ready = tlb_bucket_ready_at(&a->bucket, w->tokens, now);
			answer(w, false,
			       tlb_bucket_exceeds_burst(&a->bucket, w->tokens) ? TLB_NEVER
			       : ready == TLB_NEVER			       ? TLB_SECOND
									       : ready - now);
			continue;
		}
		ready = tlb_bucket_ready_at(&a->bucket, w->tokens, now);
		tlb_timer_set(a->limit->board->loop, &a->timer,
			      ready < w->deadline ? ready : w->deadline);
		return;
	}
}

static struct tlb_limit_waiter *add_waiter(struct tlb_limit_account *a, const char *id,
					   int64_t tokens, tlb_time deadline)
{
	struct tlb_limit_waiter *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->account = a;
	snprintf(w->id, sizeof(w->id), "%s", id);
	w->tokens = tokens;
	w->deadline = deadline;
	APR_RING_INSERT_TAIL(&a->waiters, w, tlb_limit_waiter, link);
	return w;
}

static void try_reserve(struct tlb_reservation *r);

/* Nobody accounts for the account now: waits for the takeover. */
static void no_owner(struct tlb_reservation *r, const char *message)
{
	struct tlb_error err;
	tlb_time now = tlb_clock_now();

	if (now + OWNER_RETRY < r->owner_deadline) {
		/* A new owner's bucket starts empty, so the wait for tokens is extended too. */
		r->deadline = r->owner_deadline;
		r->state = TLB_RESERVATION_RETRY;
		tlb_timer_set(r->board->loop, &r->timer, now + OWNER_RETRY);
		return;
	}
	r->state = TLB_RESERVATION_IDLE;
	tlb_error_set(&err, TLB_NOT_READY, TLB_NOT_RUN, "reserve", r->account, "%s", message);
	r->on_done(r->arg, false, TLB_SECOND, &err);
}

static void reserve_local(struct tlb_limit *l, struct tlb_reservation *r, tlb_time deadline)
{
	struct tlb_limit_account *a = account_for(l, r->account);
	struct tlb_limit_waiter *w = a ? add_waiter(a, r->id, r->tokens, deadline) : NULL;

	if (!w) {
		no_owner(r, "the account is not known here");
		return;
	}
	w->local = r;
	snprintf(w->from.vm, sizeof(w->from.vm), "%s", l->board->settings->vm_id);
	r->waiter = w;
	r->state = TLB_RESERVATION_WAITING;
	serve(a);
}

static void send_return(struct tlb_reservation *r, int64_t booked, int64_t used)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ReturnTokens m = TOUCAN__RETURN_TOKENS__INIT;
	char vm[TLB_ID_LEN];

	if (tlb_board_owner(r->board, r->account, vm) != TLB_OWNER_PEER)
		return;
	m.account = r->account;
	m.reservation_id = r->id;
	m.output_booked = booked;
	m.output_used = used;
	e.body_case = TOUCAN__ENVELOPE__BODY_RETURN_TOKENS;
	e.return_tokens = &m;
	tlb_cluster_send(r->board->cluster, vm, &e);
}

static void on_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *e)
{
	struct tlb_reservation *r = arg;
	const Toucan__TokensReply *m;
	struct tlb_error err = {0};

	if (!reply || reply->body_case != TOUCAN__ENVELOPE__BODY_TOKENS_REPLY) {
		/* The owner may have granted; what it booked must not stay booked. */
		send_return(r, r->tokens, 0);
		no_owner(r, "the VM that accounts for this client account did not answer");
		return;
	}
	m = reply->tokens_reply;
	if (m->unavailable) {
		no_owner(r, "no VM accounts for this client account now");
		return;
	}
	r->state = m->granted ? TLB_RESERVATION_GRANTED : TLB_RESERVATION_IDLE;
	if (!m->granted)
		refuse_tokens(&err, r->account, m->retry_after_us);
	r->on_done(r->arg, m->granted, m->retry_after_us, &err);
}

static void reserve_remote(struct tlb_limit *l, struct tlb_reservation *r, const char *vm)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ReserveTokens m = TOUCAN__RESERVE_TOKENS__INIT;
	tlb_time now = tlb_clock_now();
	tlb_time wait = r->deadline > now ? r->deadline - now : 0;

	m.account = r->account;
	m.reservation_id = r->id;
	m.output_tokens = r->tokens;
	m.wait_us = wait;
	e.body_case = TOUCAN__ENVELOPE__BODY_RESERVE_TOKENS;
	e.reserve_tokens = &m;
	r->state = TLB_RESERVATION_REMOTE;
	tlb_cluster_call(l->board->cluster, vm, &r->call, &e, now + wait + REPLY_MARGIN, on_reply,
			 r);
}

static void try_reserve(struct tlb_reservation *r)
{
	struct tlb_limit *l = &r->board->limit;
	char vm[TLB_ID_LEN];

	snprintf(r->id, sizeof(r->id), "%.56s:%d", r->request_id, r->attempt++);
	switch (tlb_board_owner(r->board, r->account, vm)) {
	case TLB_OWNER_SELF:
		reserve_local(l, r, r->deadline);
		break;
	case TLB_OWNER_PEER:
		reserve_remote(l, r, vm);
		break;
	case TLB_OWNER_NONE:
		no_owner(r, "no VM accounts for this client account now");
		break;
	}
}

static void on_retry(void *arg)
{
	try_reserve(arg);
}

void tlb_limit_reserve(struct tlb_limit *l, struct tlb_reservation *r, const char *account,
		       const char *request_id, int64_t tokens, tlb_time deadline,
		       tlb_limit_done_fn *on_done, void *arg)
{
	memset(r, 0, sizeof(*r));
	r->board = l->board;
	r->on_done = on_done;
	r->arg = arg;
	r->tokens = tokens;
	r->deadline = deadline;
	r->owner_deadline = tlb_clock_now() + TLB_LIMIT_OWNER_WAIT;
	tlb_timer_init(&r->timer, on_retry, r);
	snprintf(r->account, sizeof(r->account), "%s", account);
	snprintf(r->request_id, sizeof(r->request_id), "%s", request_id);
	try_reserve(r);
}

/* Settles at this owner. A grant that is not known here was made by a former owner, whose
 * outstanding sum came with the hand-over. */
static void settle_here(struct tlb_limit *l, const char *account, const char *id, int64_t booked,
			int64_t used)
{
	struct tlb_limit_account *a = find(l, account);
	struct tlb_limit_grant *g;

	if (!a)
		return;
	g = find_grant(a, id);
	if (g && booked > g->tokens)
		booked = g->tokens;
	tlb_bucket_settle(&a->bucket, booked, used, tlb_clock_now());
	if (g) {
		g->tokens -= booked;
		if (g->tokens <= 0) {
			APR_RING_REMOVE(g, link);
			free(g);
		}
	}
	serve(a);
}

void tlb_limit_settle(struct tlb_reservation *r, int64_t booked, int64_t used)
{
	char vm[TLB_ID_LEN];

	if (r->state != TLB_RESERVATION_GRANTED)
		return;
	if (booked > r->tokens)
		booked = r->tokens;
	r->tokens -= booked;
	if (tlb_board_owner(r->board, r->account, vm) == TLB_OWNER_SELF)
		settle_here(&r->board->limit, r->account, r->id, booked, used);
	else
		send_return(r, booked, used);
}

void tlb_limit_release(struct tlb_reservation *r)
{
	switch (r->state) {
	case TLB_RESERVATION_IDLE:
		break;
	case TLB_RESERVATION_WAITING:
		free_waiter(r->waiter);
		break;
	case TLB_RESERVATION_REMOTE:
		tlb_peer_cancel(&r->call);
		send_return(r, r->tokens, 0);
		break;
	case TLB_RESERVATION_RETRY:
		tlb_timer_clear(r->board->loop, &r->timer);
		break;
	case TLB_RESERVATION_GRANTED:
		if (r->tokens > 0)
			tlb_limit_settle(r, r->tokens, 0);
		break;
	}
	r->state = TLB_RESERVATION_IDLE;
}

static void free_account(struct tlb_limit_account *a)
{
	struct tlb_limit_grant *g;

	while (!APR_RING_EMPTY(&a->grants, tlb_limit_grant, link)) {
		g = APR_RING_FIRST(&a->grants);
		APR_RING_REMOVE(g, link);
		free(g);
	}
	while (!APR_RING_EMPTY(&a->waiters, tlb_limit_waiter, link))
		free_waiter(APR_RING_FIRST(&a->waiters));
	tlb_timer_clear(a->limit->board->loop, &a->timer);
	APR_RING_REMOVE(a, link);
	free(a);
}

/* Sends a waiter to the new owner. */
static void redirect(struct tlb_limit_waiter *w)
{
	struct tlb_limit *l = w->account->limit;
	struct tlb_reservation *r = w->local;
	struct tlb_peer_return from = w->from;

	free_waiter(w);
	if (r)
		no_owner(r, "no VM accounts for this client account now");
	else
		reply_unavailable(l, &from);
}

/* Ends an account that this daemon no longer owns; its waiters go to the new owner. */
static void drop_account(struct tlb_limit_account *a)
{
	while (!APR_RING_EMPTY(&a->waiters, tlb_limit_waiter, link))
		redirect(APR_RING_FIRST(&a->waiters));
	free_account(a);
}

void tlb_limit_finish(struct tlb_limit *l)
{
	while (!APR_RING_EMPTY(&l->accounts, tlb_limit_account, link))
		free_account(APR_RING_FIRST(&l->accounts));
}

void tlb_limit_sync(struct tlb_limit *l)
{
	const struct tlb_account *row;
	struct tlb_limit_account *a;
	struct tlb_limit_account *next;

	APR_RING_FOREACH_SAFE (a, next, &l->accounts, tlb_limit_account, link) {
		row = tlb_table_account(l->board->table, a->id);
		if (!row)
			drop_account(a);
		else
			tlb_bucket_reconfigure(&a->bucket, row->rate, row->burst, tlb_clock_now());
	}
}

void tlb_limit_shards_changed(struct tlb_limit *l, tlb_shard_set gained, tlb_shard_set lost)
{
	struct tlb_account *row;
	struct tlb_limit_account *a;
	struct tlb_limit_account *next;

	APR_RING_FOREACH_SAFE (a, next, &l->accounts, tlb_limit_account, link) {
		if (tlb_shard_in(lost, tlb_shard_of(a->id)))
			drop_account(a);
	}
	/* Buckets of gained shards begin to fill now, not when the first request comes. */
	APR_RING_FOREACH (row, &l->board->table->accounts, tlb_account, link) {
		if (tlb_shard_in(gained, tlb_shard_of(row->id)))
			account_for(l, row->id);
	}
}

static size_t count_in(const struct tlb_limit *l, tlb_shard_set shards)
{
	const struct tlb_limit_account *a;
	size_t n = 0;

	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		if (tlb_shard_in(shards, tlb_shard_of(a->id)))
			n++;
	}
	return n;
}

static Toucan__Bucket *bucket_message(struct tlb_limit_account *a)
{
	Toucan__Bucket *m = malloc(sizeof(*m));
	struct tlb_bucket_snapshot s;

	if (!m)
		return NULL;
	toucan__bucket__init(m);
	s = tlb_bucket_snapshot(&a->bucket, tlb_clock_now());
	m->account = strdup(a->id);
	m->level = s.level / TLB_BUCKET_SCALE;
	m->held = s.outstanding;
	return m;
}

void tlb_limit_hand_over(struct tlb_limit *l, tlb_shard_set shards, Toucan__HandOver *out)
{
	struct tlb_limit_account *a;
	size_t n = count_in(l, shards);

	if (n == 0)
		return;
	out->buckets = calloc(n, sizeof(*out->buckets));
	if (!out->buckets)
		return;
	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		if (!tlb_shard_in(shards, tlb_shard_of(a->id)))
			continue;
		out->buckets[out->n_buckets] = bucket_message(a);
		if (out->buckets[out->n_buckets])
			out->n_buckets++;
	}
}

void tlb_limit_take_over(struct tlb_limit *l, const Toucan__HandOver *state)
{
	const Toucan__Bucket *m;
	const struct tlb_account *row;
	struct tlb_limit_account *a;
	struct tlb_bucket_snapshot s;
	size_t i;

	for (i = 0; i < state->n_buckets; i++) {
		m = state->buckets[i];
		row = tlb_table_account(l->board->table, m->account);
		a = account_for(l, m->account);
		if (!a || !row)
			continue;
		s.level = m->level * TLB_BUCKET_SCALE;
		s.outstanding = m->held;
		tlb_bucket_restore(&a->bucket, row->rate, row->burst, &s, tlb_clock_now());
		serve(a);
	}
}

static void settle_fenced(struct tlb_limit_account *a, const char *vm, uint64_t incarnation)
{
	struct tlb_limit_grant *g;
	struct tlb_limit_grant *next;

	APR_RING_FOREACH_SAFE (g, next, &a->grants, tlb_limit_grant, link) {
		if (strcmp(g->vm, vm) != 0 || g->incarnation != incarnation)
			continue;
		tlb_bucket_settle(&a->bucket, g->tokens, g->tokens, tlb_clock_now());
		APR_RING_REMOVE(g, link);
		free(g);
	}
}

void tlb_limit_fenced(struct tlb_limit *l, const char *vm, uint64_t incarnation)
{
	struct tlb_limit_account *a;

	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		settle_fenced(a, vm, incarnation);
	}
}

json_t *tlb_limit_list(struct tlb_limit *l)
{
	struct tlb_limit_account *a;
	struct tlb_limit_waiter *w;
	struct tlb_bucket_snapshot s;
	json_t *list = json_array();
	int waiting;

	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		waiting = 0;
		APR_RING_FOREACH (w, &a->waiters, tlb_limit_waiter, link) {
			waiting++;
		}
		s = tlb_bucket_snapshot(&a->bucket, tlb_clock_now());
		json_array_append_new(
			list, json_pack("{s:s,s:I,s:I,s:i}", "account", a->id, "level",
					(json_int_t)(s.level / TLB_BUCKET_SCALE), "outstanding",
					(json_int_t)s.outstanding, "waiting", waiting));
	}
	return list;
}

void tlb_limit_on_reserve(struct tlb_limit *l, const struct tlb_peer_return *from,
			  const Toucan__ReserveTokens *m)
{
	char vm[TLB_ID_LEN];
	struct tlb_limit_account *a = NULL;
	struct tlb_limit_waiter *w = NULL;

	if (tlb_board_valid(l->board) &&
	    tlb_board_owner(l->board, m->account, vm) == TLB_OWNER_SELF)
		a = account_for(l, m->account);
	if (a && m->output_tokens >= 0 && m->prompt_tokens >= 0)
		w = add_waiter(a, m->reservation_id, m->output_tokens + m->prompt_tokens,
			       tlb_clock_now() + m->wait_us);
	if (!w) {
		reply_unavailable(l, from);
		return;
	}
	w->from = *from;
	serve(a);
}

void tlb_limit_on_return(struct tlb_limit *l, const struct tlb_peer_return *from,
			 const Toucan__ReturnTokens *m)
{
	struct tlb_limit_account *a = find(l, m->account);
	struct tlb_limit_waiter *w;

	if (!a)
		return;
	/* The request gave up while it still waited. */
	APR_RING_FOREACH (w, &a->waiters, tlb_limit_waiter, link) {
		if (!w->local && strcmp(w->id, m->reservation_id) == 0) {
			free_waiter(w);
			return;
		}
	}
	settle_here(l, m->account, m->reservation_id, m->output_booked, m->output_used);
}
