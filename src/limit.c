#include "limit.h"

#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "log.h"
#include "delegator.h"

/* Time for the owner's reply in addition to the request's wait at the owner. */
#define REPLY_MARGIN (500 * TLB_MS)
#define OWNER_RETRY_DELAY (150 * TLB_MS)
/* Short, because a standby replies without waiting for tokens. */
#define STANDBY_TIMEOUT (500 * TLB_MS)

/* A request of this daemon or of another one that waits for tokens at this owner. */
struct tlb_limit_waiter {
	APR_RING_ENTRY(tlb_limit_waiter) link;
	struct tlb_limit_account *account;
	struct tlb_reservation *local; /* NULL for a request of another daemon */
	struct tlb_peer_reply_address from;
	char id[TLB_REQUEST_ID_LEN];
	int64_t tokens;
	tlb_time deadline;
};

APR_RING_HEAD(tlb_limit_waiter_ring, tlb_limit_waiter);

/* One account of a shard that this daemon owns. */
struct tlb_limit_account {
	APR_RING_ENTRY(tlb_limit_account) link;
	struct tlb_limit *limit;
	char id[TLB_ID_LEN];
	struct tlb_ledger ledger;
	struct tlb_delegator delegator;
	struct tlb_limit_waiter_ring waiters;
	struct tlb_timer timer;
};

static void grant_waiters(void *arg);

void tlb_limit_init(struct tlb_limit *l, struct tlb_board *b)
{
	l->board = b;
	APR_RING_INIT(&l->accounts, tlb_limit_account, link);
	tlb_standby_init(&l->standby, b);
}

static struct tlb_limit_account *find_account(const struct tlb_limit *l, const char *id)
{
	struct tlb_limit_account *a;

	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		if (strcmp(a->id, id) == 0)
			return a;
	}
	return NULL;
}

/* A new bucket starts with the allowance that this daemon holds as the standby, or else at level 0,
 * because the grants of a former owner are not known. No other VM holds an allowance: the former
 * standby has released its right to take over, or was fenced. */
static struct tlb_limit_account *find_or_add_account(struct tlb_limit *l, const char *id)
{
	const struct tlb_account *row = tlb_table_account(l->board->table, id);
	struct tlb_limit_account *a = find_account(l, id);

	if (a || !row)
		return a;
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->limit = l;
	strcpy(a->id, id);
	APR_RING_INIT(&a->waiters, tlb_limit_waiter, link);
	tlb_timer_init(&a->timer, grant_waiters, a);
	tlb_ledger_init(&a->ledger, row->rate, row->burst, 0, tlb_clock_now());
	tlb_delegator_init(&a->delegator, l->board, a->id, &a->ledger, grant_waiters, a);
	tlb_standby_merge_into(&l->standby, id, &a->ledger);
	APR_RING_INSERT_TAIL(&l->accounts, a, tlb_limit_account, link);
	return a;
}

static struct tlb_ledger_entry entry_for(const struct tlb_limit_waiter *w)
{
	struct tlb_ledger_entry e = {.incarnation = w->from.incarnation, .tokens = w->tokens};

	strcpy(e.id, w->id);
	strcpy(e.vm, w->from.vm);
	return e;
}

static void free_waiter(struct tlb_limit_waiter *w)
{
	if (w->local)
		w->local->waiter = NULL;
	APR_RING_REMOVE(w, link);
	free(w);
}

static void reply_unavailable(struct tlb_limit *l, const struct tlb_peer_reply_address *to)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__TokensReply m = TOUCAN__TOKENS_REPLY__INIT;

	m.unavailable = true;
	e.body_case = TOUCAN__ENVELOPE__BODY_TOKENS_REPLY;
	e.tokens_reply = &m;
	tlb_cluster_reply(l->board->cluster, to, &e);
}

static void reply_remote(struct tlb_limit *l, const struct tlb_peer_reply_address *to, bool granted,
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

static void set_refusal(struct tlb_error *err, const char *account, tlb_time retry_after)
{
	if (retry_after == TLB_NEVER)
		/* Such a request can never be granted, so Retry-After would mislead the caller. */
		tlb_error_set(err, TLB_TOO_LARGE, TLB_OUTCOME_NOT_RUN, "reserve", account,
			      "the request needs more tokens than the account's burst");
	else
		tlb_error_set(err, TLB_RATE_LIMITED, TLB_OUTCOME_NOT_RUN, "reserve", account,
			      "the account's token rate is used up");
}

/* Ends a wait. The waiter is freed before the callback runs, because that may reserve again. */
static void end_wait(struct tlb_limit_waiter *w, bool granted, tlb_time retry_after)
{
	struct tlb_limit *l = w->account->limit;
	struct tlb_reservation *r = w->local;
	struct tlb_peer_reply_address from = w->from;
	struct tlb_error err = {0};

	free_waiter(w);
	if (!r) {
		reply_remote(l, &from, granted, retry_after);
		return;
	}
	r->state = granted ? TLB_RESERVATION_GRANTED : TLB_RESERVATION_IDLE;
	snprintf(r->granter, sizeof(r->granter), "%s", l->board->settings->vm_id);
	if (!granted)
		set_refusal(&err, r->account, retry_after);
	r->on_done(r->arg, granted, retry_after, &err);
}

static void redirect(struct tlb_limit_waiter *w);

static void redirect_all(struct tlb_limit_account *a)
{
	while (!APR_RING_EMPTY(&a->waiters, tlb_limit_waiter, link))
		redirect(APR_RING_FIRST(&a->waiters));
}

/* Checked right before waiters are granted: a daemon that was suspended, or that has handed the
 * shard over, may still have waiters. */
static bool may_grant(const struct tlb_limit_account *a)
{
	const struct tlb_board *b = a->limit->board;
	char vm[TLB_ID_LEN];

	return tlb_board_valid(b) && tlb_board_owner(b, a->id, vm) == TLB_OWNER_SELF;
}

/* The tokens do not cover the first waiter: refuses it, redirects it, or sets the timer for the
 * next try. Returns false when its wait has ended. */
static bool wait_or_refuse(struct tlb_limit_account *a, struct tlb_limit_waiter *w, tlb_time now)
{
	const struct tlb_account *row = tlb_table_account(a->limit->board->table, a->id);
	tlb_time ready;

	if (!row || w->tokens > row->burst) {
		end_wait(w, false, TLB_NEVER);
		return false;
	}
	tlb_delegator_recall(&a->delegator);
	if (!tlb_delegator_undivided(&a->delegator)) {
		/* The allowance was not returned yet. If the standby does not answer, the
		 * delegation ends once it is fenced. */
		if (now >= w->deadline) {
			redirect(w);
			return false;
		}
		tlb_timer_set(a->limit->board->loop, &a->timer, w->deadline);
		return true;
	}
	ready = tlb_bucket_ready_at(&a->ledger.bucket, w->tokens, now);
	if (now >= w->deadline) {
		end_wait(w, false, ready == TLB_NEVER ? TLB_SECOND : ready - now);
		return false;
	}
	tlb_timer_set(a->limit->board->loop, &a->timer, ready < w->deadline ? ready : w->deadline);
	return true;
}

/* Grants waiters in order of arrival while the level covers them. */
static void grant_waiters(void *arg)
{
	struct tlb_limit_account *a = arg;
	struct tlb_limit_waiter *w;
	struct tlb_ledger_entry e;
	tlb_time now = tlb_clock_now();

	if (!may_grant(a)) {
		redirect_all(a);
		return;
	}
	while (!APR_RING_EMPTY(&a->waiters, tlb_limit_waiter, link)) {
		w = APR_RING_FIRST(&a->waiters);
		e = entry_for(w);
		if (tlb_ledger_reserve(&a->ledger, &e, now))
			end_wait(w, true, 0);
		else if (wait_or_refuse(a, w, now))
			return;
	}
}

static struct tlb_limit_waiter *add_waiter(struct tlb_limit_account *a, const char *id,
					   int64_t tokens, tlb_time deadline)
{
	const struct tlb_account *row = tlb_table_account(a->limit->board->table, a->id);
	struct tlb_limit_waiter *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->account = a;
	snprintf(w->id, sizeof(w->id), "%s", id);
	w->tokens = tokens;
	w->deadline = deadline;
	if (row && tokens <= row->burst)
		tlb_delegation_record_request(&a->delegator.delegation, tokens);
	APR_RING_INSERT_TAIL(&a->waiters, w, tlb_limit_waiter, link);
	return w;
}

static void try_reserve(struct tlb_reservation *r);

/* No VM owns the account's shard at present: retries until a takeover, or refuses after
 * TLB_LIMIT_OWNER_WAIT. */
static void retry_or_refuse(struct tlb_reservation *r, const char *message)
{
	struct tlb_error err;
	tlb_time now = tlb_clock_now();

	if (now + OWNER_RETRY_DELAY < r->owner_deadline) {
		/* A new owner's bucket starts empty, so the wait for tokens is extended too. */
		r->deadline = r->owner_deadline;
		r->state = TLB_RESERVATION_RETRY;
		tlb_timer_set(r->board->loop, &r->timer, now + OWNER_RETRY_DELAY);
		return;
	}
	r->state = TLB_RESERVATION_IDLE;
	tlb_error_set(&err, TLB_NOT_READY, TLB_OUTCOME_NOT_RUN, "reserve", r->account, "%s",
		      message);
	r->on_done(r->arg, false, TLB_SECOND, &err);
}

static void reserve_local(struct tlb_limit *l, struct tlb_reservation *r, tlb_time deadline)
{
	struct tlb_limit_account *a = find_or_add_account(l, r->account);
	struct tlb_limit_waiter *w = a ? add_waiter(a, r->id, r->tokens, deadline) : NULL;

	if (!w) {
		retry_or_refuse(r, "the account is not known here");
		return;
	}
	w->local = r;
	snprintf(w->from.vm, sizeof(w->from.vm), "%s", l->board->settings->vm_id);
	if (l->board->cluster)
		w->from.incarnation = tlb_cluster_incarnation(l->board->cluster);
	r->waiter = w;
	r->state = TLB_RESERVATION_WAITING;
	grant_waiters(a);
}

static bool send_return(struct tlb_board *b, const char *vm, Toucan__ReturnTokens *m)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;

	e.body_case = TOUCAN__ENVELOPE__BODY_RETURN_TOKENS;
	e.return_tokens = m;
	return tlb_cluster_send(b->cluster, vm, &e);
}

/* Sends a return to the VM that granted the tokens or, without a link to it, to the owner, which
 * has received the grants of a VM that handed its shards over. */
static void return_tokens(struct tlb_reservation *r, const char *granter, char *id, int64_t booked,
			  int64_t used)
{
	Toucan__ReturnTokens m = TOUCAN__RETURN_TOKENS__INIT;
	char vm[TLB_ID_LEN];

	m.account = r->account;
	m.reservation_id = id;
	m.output_booked = booked;
	m.output_used = used;
	if (granter[0] && send_return(r->board, granter, &m))
		return;
	if (tlb_board_owner(r->board, r->account, vm) == TLB_OWNER_PEER && strcmp(vm, granter) != 0)
		send_return(r->board, vm, &m);
}

static void standby_reservation_id(const struct tlb_reservation *r, char id[TLB_REQUEST_ID_LEN])
{
	snprintf(id, TLB_REQUEST_ID_LEN, "%.62ss", r->id);
}

/* Ends the current attempt. Returns the tokens that the called VMs may have granted, so that they
 * do not stay booked. */
static void end_attempt(struct tlb_reservation *r)
{
	char id[TLB_REQUEST_ID_LEN];

	standby_reservation_id(r, id);
	tlb_timer_clear(r->board->loop, &r->timer);
	if (tlb_peer_call_active(&r->call)) {
		tlb_peer_cancel(&r->call);
		return_tokens(r, r->granter, r->id, r->tokens, 0);
	}
	if (tlb_peer_call_active(&r->standby_call)) {
		tlb_peer_cancel(&r->standby_call);
		return_tokens(r, r->standby, id, r->tokens, 0);
	}
}

static void granted_by_standby(struct tlb_reservation *r)
{
	struct tlb_error err = {0};
	char id[TLB_REQUEST_ID_LEN];

	standby_reservation_id(r, id);
	end_attempt(r);
	strcpy(r->id, id);
	strcpy(r->granter, r->standby);
	r->state = TLB_RESERVATION_GRANTED;
	r->on_done(r->arg, true, 0, &err);
}

static void on_standby_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *e)
{
	struct tlb_reservation *r = arg;
	char id[TLB_REQUEST_ID_LEN];
	bool replied = reply && reply->body_case == TOUCAN__ENVELOPE__BODY_TOKENS_REPLY;

	if (replied && reply->tokens_reply->granted) {
		granted_by_standby(r);
		return;
	}
	standby_reservation_id(r, id);
	if (!replied)
		return_tokens(r, r->standby, id, r->tokens, 0);
	if (r->owner_failed)
		retry_or_refuse(r, "no VM accounts for this client account now");
}

static void call_standby(struct tlb_reservation *r)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ReserveTokens m = TOUCAN__RESERVE_TOKENS__INIT;
	char id[TLB_REQUEST_ID_LEN];

	standby_reservation_id(r, id);
	m.account = r->account;
	m.reservation_id = id;
	m.output_tokens = r->tokens;
	m.reserve = true;
	e.body_case = TOUCAN__ENVELOPE__BODY_RESERVE_TOKENS;
	e.reserve_tokens = &m;
	tlb_cluster_call(r->board->cluster, r->standby, &r->standby_call, &e,
			 tlb_clock_now() + STANDBY_TIMEOUT, on_standby_reply, r);
}

/* Reserves from the allowance that this daemon itself holds as the standby. */
static bool reserve_as_standby(struct tlb_reservation *r)
{
	struct tlb_ledger_entry e = {.tokens = r->tokens};

	standby_reservation_id(r, e.id);
	snprintf(e.vm, sizeof(e.vm), "%s", r->standby);
	e.incarnation = tlb_cluster_incarnation(r->board->cluster);
	return tlb_standby_reserve(&r->board->limit.standby, r->account, &e);
}

/* Requests the tokens from the standby, once in each attempt. Returns false when no grant or reply
 * of the standby is pending. */
static bool try_standby(struct tlb_reservation *r)
{
	const struct tlb_shard_entry *e = tlb_cluster_shard_entry(r->board->cluster, r->account);

	if (r->standby_called)
		return tlb_peer_call_active(&r->standby_call);
	r->standby_called = true;
	if (!e->standby.id[0] || strcmp(e->standby.id, r->granter) == 0 ||
	    tlb_cluster_has_ended(r->board->cluster, &e->standby))
		return false;
	strcpy(r->standby, e->standby.id);
	if (strcmp(r->standby, r->board->settings->vm_id) != 0) {
		call_standby(r);
		return true;
	}
	if (!reserve_as_standby(r))
		return false;
	granted_by_standby(r);
	return true;
}

/* The call to the owner ended without a usable reply. */
static void on_owner_failed(struct tlb_reservation *r, const char *message)
{
	r->owner_failed = true;
	tlb_timer_clear(r->board->loop, &r->timer);
	if (!try_standby(r))
		retry_or_refuse(r, message);
}

static void on_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *e)
{
	struct tlb_reservation *r = arg;
	const Toucan__TokensReply *m;
	struct tlb_error err = {0};

	if (!reply || reply->body_case != TOUCAN__ENVELOPE__BODY_TOKENS_REPLY) {
		/* The owner may have granted the tokens; they must not stay booked. */
		return_tokens(r, r->granter, r->id, r->tokens, 0);
		on_owner_failed(r, "the VM that accounts for this client account did not answer");
		return;
	}
	m = reply->tokens_reply;
	if (m->unavailable) {
		on_owner_failed(r, "no VM accounts for this client account now");
		return;
	}
	end_attempt(r);
	r->state = m->granted ? TLB_RESERVATION_GRANTED : TLB_RESERVATION_IDLE;
	if (!m->granted)
		set_refusal(&err, r->account, m->retry_after_us);
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
	snprintf(r->granter, sizeof(r->granter), "%s", vm);
	r->state = TLB_RESERVATION_REMOTE;
	r->standby_called = false;
	r->owner_failed = false;
	tlb_timer_set(l->board->loop, &r->timer, now + TLB_LIMIT_OWNER_TIMEOUT);
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
		retry_or_refuse(r, "no VM accounts for this client account now");
		break;
	}
}

static void on_timer(void *arg)
{
	struct tlb_reservation *r = arg;

	if (r->state == TLB_RESERVATION_REMOTE)
		try_standby(r);
	else
		try_reserve(r);
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
	tlb_timer_init(&r->timer, on_timer, r);
	snprintf(r->account, sizeof(r->account), "%s", account);
	snprintf(r->request_id, sizeof(r->request_id), "%s", request_id);
	try_reserve(r);
}

/* Reconciles a grant that this daemon holds as owner or standby. Returns false when it holds no
 * such grant, or when the owner may hold it as well. */
static bool reconcile_here(struct tlb_limit *l, const char *account, const char *id, int64_t booked,
			   int64_t used)
{
	struct tlb_limit_account *a = find_account(l, account);

	if (a && tlb_ledger_reconcile(&a->ledger, id, booked, used, tlb_clock_now())) {
		grant_waiters(a);
		return true;
	}
	return tlb_standby_reconcile(&l->standby, account, id, booked, used) ==
	       TLB_STANDBY_RECONCILED;
}

/* Reconciles a grant that this daemon holds; otherwise forwards the return to the owner, once. */
static void reconcile_or_forward(struct tlb_limit *l, Toucan__ReturnTokens *m)
{
	char vm[TLB_ID_LEN];

	if (reconcile_here(l, m->account, m->reservation_id, m->output_booked, m->output_used) ||
	    m->forwarded || tlb_board_owner(l->board, m->account, vm) != TLB_OWNER_PEER)
		return;
	m->forwarded = true;
	send_return(l->board, vm, m);
}

void tlb_limit_reconcile(struct tlb_reservation *r, int64_t booked, int64_t used)
{
	Toucan__ReturnTokens m = TOUCAN__RETURN_TOKENS__INIT;

	if (r->state != TLB_RESERVATION_GRANTED)
		return;
	if (booked > r->tokens)
		booked = r->tokens;
	r->tokens -= booked;
	if (strcmp(r->granter, r->board->settings->vm_id) != 0) {
		return_tokens(r, r->granter, r->id, booked, used);
		return;
	}
	m.account = r->account;
	m.reservation_id = r->id;
	m.output_booked = booked;
	m.output_used = used;
	reconcile_or_forward(&r->board->limit, &m);
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
		end_attempt(r);
		break;
	case TLB_RESERVATION_RETRY:
		tlb_timer_clear(r->board->loop, &r->timer);
		break;
	case TLB_RESERVATION_GRANTED:
		if (r->tokens > 0)
			tlb_limit_reconcile(r, r->tokens, 0);
		break;
	}
	r->state = TLB_RESERVATION_IDLE;
}

static void free_account(struct tlb_limit_account *a)
{
	while (!APR_RING_EMPTY(&a->waiters, tlb_limit_waiter, link))
		free_waiter(APR_RING_FIRST(&a->waiters));
	tlb_timer_clear(a->limit->board->loop, &a->timer);
	tlb_delegator_finish(&a->delegator);
	tlb_ledger_finish(&a->ledger);
	APR_RING_REMOVE(a, link);
	free(a);
}

/* Ends a wait at this VM, which no longer owns the shard; the request is retried with the new
 * owner. */
static void redirect(struct tlb_limit_waiter *w)
{
	struct tlb_limit *l = w->account->limit;
	struct tlb_reservation *r = w->local;
	struct tlb_peer_reply_address from = w->from;

	free_waiter(w);
	if (r)
		retry_or_refuse(r, "no VM accounts for this client account now");
	else
		reply_unavailable(l, &from);
}

/* Frees an account whose shard this daemon no longer owns; its waiters retry with the new owner. */
static void drop_account(struct tlb_limit_account *a)
{
	redirect_all(a);
	free_account(a);
}

void tlb_limit_finish(struct tlb_limit *l)
{
	while (!APR_RING_EMPTY(&l->accounts, tlb_limit_account, link))
		free_account(APR_RING_FIRST(&l->accounts));
	tlb_standby_finish(&l->standby);
}

void tlb_limit_sync(struct tlb_limit *l)
{
	struct tlb_limit_account *a;

	/* A removed account keeps its state, with rate and burst 0, because the standby may still
	 * hold an allowance. */
	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		tlb_delegator_configure(&a->delegator, tlb_clock_now());
		grant_waiters(a);
	}
	tlb_standby_sync(&l->standby);
}

void tlb_limit_shards_changed(struct tlb_limit *l, tlb_shard_set gained, tlb_shard_set lost)
{
	struct tlb_account *row;
	struct tlb_limit_account *a;
	struct tlb_limit_account *next;

	APR_RING_FOREACH_SAFE (a, next, &l->accounts, tlb_limit_account, link) {
		if (tlb_shard_set_contains(lost, tlb_shard_for_id(a->id)))
			drop_account(a);
	}
	/* Buckets of gained shards are created now so that they refill before the first request. */
	APR_RING_FOREACH (row, &l->board->table->accounts, tlb_account, link) {
		if (tlb_shard_set_contains(gained, tlb_shard_for_id(row->id)))
			find_or_add_account(l, row->id);
	}
}

static size_t count_accounts_in(const struct tlb_limit *l, tlb_shard_set shards)
{
	const struct tlb_limit_account *a;
	size_t n = 0;

	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		if (tlb_shard_set_contains(shards, tlb_shard_for_id(a->id)))
			n++;
	}
	return n;
}

/* Lists the grants of a bucket in one allocation. The strings are borrowed from the ledger. */
static size_t list_grants(struct tlb_ledger *l, Toucan__Grant ***out)
{
	Toucan__Grant **list = malloc(l->count * (sizeof(*list) + sizeof(**list)) + 1);
	Toucan__Grant *m = list ? (Toucan__Grant *)(void *)(list + l->count) : NULL;
	struct tlb_ledger_grant *g;
	size_t n = 0;

	*out = list;
	if (!list)
		return 0;
	APR_RING_FOREACH (g, &l->grants, tlb_ledger_grant, link) {
		toucan__grant__init(&m[n]);
		m[n].reservation_id = g->entry.id;
		m[n].vm = g->entry.vm;
		m[n].incarnation = g->entry.incarnation;
		m[n].tokens = g->entry.tokens;
		list[n] = &m[n];
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
	s = tlb_bucket_snapshot(&a->ledger.bucket, tlb_clock_now());
	m->account = strdup(a->id);
	m->level = s.level / TLB_BUCKET_SCALE;
	m->held = s.outstanding;
	m->n_grants = list_grants(&a->ledger, &m->grants);
	return m;
}

void tlb_limit_export_buckets(struct tlb_limit *l, tlb_shard_set shards, Toucan__HandOver *out)
{
	struct tlb_limit_account *a;
	size_t n = count_accounts_in(l, shards);

	if (n == 0)
		return;
	out->buckets = calloc(n, sizeof(*out->buckets));
	if (!out->buckets)
		return;
	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		if (!tlb_shard_set_contains(shards, tlb_shard_for_id(a->id)))
			continue;
		redirect_all(a);
		out->buckets[out->n_buckets] = bucket_message(a);
		if (out->buckets[out->n_buckets])
			out->n_buckets++;
	}
}

static void import_grant(struct tlb_ledger *l, const Toucan__Grant *m)
{
	struct tlb_ledger_entry e = {.incarnation = m->incarnation, .tokens = m->tokens};

	snprintf(e.id, sizeof(e.id), "%s", m->reservation_id);
	snprintf(e.vm, sizeof(e.vm), "%s", m->vm);
	tlb_ledger_import_grant(l, &e, tlb_clock_now());
}

void tlb_limit_import_buckets(struct tlb_limit *l, const Toucan__HandOver *state)
{
	const Toucan__Bucket *m;
	struct tlb_limit_account *a;
	size_t i;
	size_t k;

	for (i = 0; i < state->n_buckets; i++) {
		m = state->buckets[i];
		a = find_or_add_account(l, m->account);
		if (!a)
			continue;
		for (k = 0; k < m->n_grants; k++)
			import_grant(&a->ledger, m->grants[k]);
		tlb_ledger_deposit(&a->ledger, m->level * TLB_BUCKET_SCALE, tlb_clock_now());
		grant_waiters(a);
	}
}

void tlb_limit_on_fence(struct tlb_limit *l, const char *vm, uint64_t incarnation)
{
	struct tlb_limit_account *a;

	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		tlb_ledger_on_fence(&a->ledger, vm, incarnation, tlb_clock_now());
		tlb_delegator_on_fence(&a->delegator, vm, incarnation);
		grant_waiters(a);
	}
	tlb_standby_on_fence(&l->standby, vm, incarnation);
}

json_t *tlb_limit_list(struct tlb_limit *l)
{
	struct tlb_limit_account *a;
	struct tlb_limit_waiter *w;
	struct tlb_bucket_snapshot s;
	json_t *list = json_array();
	int waiting;

	APR_RING_FOREACH (a, &l->accounts, tlb_limit_account, link) {
		if (!tlb_table_account(l->board->table, a->id))
			continue;
		waiting = 0;
		APR_RING_FOREACH (w, &a->waiters, tlb_limit_waiter, link) {
			waiting++;
		}
		s = tlb_bucket_snapshot(&a->ledger.bucket, tlb_clock_now());
		json_array_append_new(
			list, json_pack("{s:s,s:I,s:I,s:i}", "account", a->id, "level",
					(json_int_t)(s.level / TLB_BUCKET_SCALE), "outstanding",
					(json_int_t)s.outstanding, "waiting", waiting));
	}
	return list;
}

/* Reserves from the allowance that this daemon holds as the standby; does not wait for tokens. */
static void reserve_from_allowance(struct tlb_limit *l, const struct tlb_peer_reply_address *from,
				   const Toucan__ReserveTokens *m)
{
	struct tlb_ledger_entry e = {.incarnation = from->incarnation, .tokens = m->output_tokens};

	snprintf(e.id, sizeof(e.id), "%s", m->reservation_id);
	snprintf(e.vm, sizeof(e.vm), "%s", from->vm);
	if (e.tokens >= 0 && tlb_standby_reserve(&l->standby, m->account, &e))
		reply_remote(l, from, true, 0);
	else
		reply_unavailable(l, from);
}

void tlb_limit_on_reserve(struct tlb_limit *l, const struct tlb_peer_reply_address *from,
			  const Toucan__ReserveTokens *m)
{
	char vm[TLB_ID_LEN];
	struct tlb_limit_account *a = NULL;
	struct tlb_limit_waiter *w = NULL;
	bool self = tlb_board_valid(l->board) &&
		    tlb_board_owner(l->board, m->account, vm) == TLB_OWNER_SELF;

	if (m->reserve && !self) {
		reserve_from_allowance(l, from, m);
		return;
	}
	if (self)
		a = find_or_add_account(l, m->account);
	if (a && m->output_tokens >= 0 && m->prompt_tokens >= 0)
		w = add_waiter(a, m->reservation_id, m->output_tokens + m->prompt_tokens,
			       tlb_clock_now() + m->wait_us);
	if (!w) {
		reply_unavailable(l, from);
		return;
	}
	w->from = *from;
	grant_waiters(a);
}

void tlb_limit_on_return(struct tlb_limit *l, const struct tlb_peer_reply_address *from,
			 const Toucan__ReturnTokens *m)
{
	struct tlb_limit_account *a = find_account(l, m->account);
	Toucan__ReturnTokens copy = *m;
	struct tlb_limit_waiter *w;

	/* A return for a request that still waits cancels its wait. */
	for (w = a ? APR_RING_FIRST(&a->waiters) : NULL;
	     w && w != APR_RING_SENTINEL(&a->waiters, tlb_limit_waiter, link);
	     w = APR_RING_NEXT(w, link)) {
		if (!w->local && strcmp(w->id, m->reservation_id) == 0) {
			free_waiter(w);
			return;
		}
	}
	reconcile_or_forward(l, &copy);
}
