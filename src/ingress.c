#include "ingress.h"

#include <stdlib.h>
#include <string.h>

#include "board.h"

void tlb_ingress_refuse(struct tlb_board *b, struct tlb_exchange *x, const char *account,
			const struct tlb_error *err)
{
	tlb_counter_add(&b->counters, TLB_COUNTER_REFUSED_NOT_RUN, 1);
	tlb_exchange_refuse_unadmitted(x, account, err);
}

static void refuse(struct tlb_board *b, struct tlb_exchange *x, enum tlb_code code,
		   const char *message)
{
	struct tlb_error err;

	tlb_error_set(&err, code, TLB_OUTCOME_NOT_RUN, "caller", "", "%s", message);
	tlb_ingress_refuse(b, x, "", &err);
}

/* The account of the request's API key; NULL after refusing a request without a valid key. */
static const struct tlb_account *authenticate(struct tlb_board *b, struct tlb_exchange *x)
{
	const struct tlb_account *a;
	const struct tlb_key *k;

	switch (x->key_form) {
	case TLB_KEY_NONE:
		refuse(b, x, TLB_MISSING_KEY, "the request carries no bearer key");
		return NULL;
	case TLB_KEY_MALFORMED:
	case TLB_KEY_UNUSUAL:
		refuse(b, x, TLB_INVALID_KEY, "the Authorization header is not a bearer key");
		return NULL;
	case TLB_KEY_PRESENT:
		break;
	}
	k = tlb_table_find_key(b->table, x->key_hash);
	a = k && !k->withdrawn ? tlb_table_find_account(b->table, k->account) : NULL;
	/* Withdrawn and unknown keys get the same message, so that it does not reveal whether a
	 * guessed key ever existed. */
	if (!a)
		refuse(b, x, TLB_INVALID_KEY, "the key is not valid");
	return a;
}

/* Whether a part of the request that is forwarded to endpoints contains an API key. */
static bool carries_key(const struct tlb_board *b, const struct tlb_exchange *x)
{
	return tlb_keyscan_contains_key(b->table, x->key, x->path, strlen(x->path)) ||
	       tlb_keyscan_contains_key(b->table, x->key, x->query, strlen(x->query)) ||
	       tlb_keyscan_contains_key(b->table, x->key, x->content_type,
					strlen(x->content_type)) ||
	       tlb_keyscan_contains_key(b->table, x->key, x->body.data, x->body.len);
}

static bool is_completion(const struct tlb_exchange *x, bool *chat)
{
	*chat = strcmp(x->path, "/v1/chat/completions") == 0;
	return *chat || strcmp(x->path, "/v1/completions") == 0;
}

static void start_completion(struct tlb_board *b, struct tlb_exchange *x, bool chat)
{
	const struct tlb_account *a;

	if (strcmp(x->method, "POST") != 0) {
		refuse(b, x, TLB_METHOD_NOT_ALLOWED, "use POST");
		return;
	}
	a = authenticate(b, x);
	if (a)
		tlb_request_start(&b->requests, x, a->id, chat);
}

static void start_route_call(struct tlb_board *b, struct tlb_exchange *x)
{
	const struct tlb_account *a = NULL;
	const struct tlb_route *r;
	struct tlb_error err;
	bool path_known;

	r = tlb_table_find_route(b->table, x->method, x->path, &path_known);
	if (!r && path_known) {
		refuse(b, x, TLB_METHOD_NOT_ALLOWED, "the route does not take this method");
		return;
	}
	/* Authenticates before reporting an unknown path, so that callers without a key can't find
	 * out which paths exist. */
	if (!r || !r->unauthenticated) {
		a = authenticate(b, x);
		if (!a)
			return;
	}
	if (!r) {
		tlb_error_set(&err, TLB_NOT_FOUND, TLB_OUTCOME_NOT_RUN, "caller", "",
			      "there is no such path");
		tlb_ingress_refuse(b, x, a->id, &err);
		return;
	}
	tlb_service_start(&b->services, x, r, a ? a->id : "");
}

void tlb_ingress_handle(void *arg, struct tlb_exchange *x)
{
	struct tlb_board *b = arg;
	bool chat;

	tlb_counter_add(&b->counters, TLB_COUNTER_REQUESTS, 1);
	if (b->table->version == 0 || !tlb_board_session_valid(b))
		refuse(b, x, TLB_NOT_READY, "this VM is not ready to serve");
	else if (carries_key(b, x))
		refuse(b, x, TLB_BAD_REQUEST, "a key may only be sent in the Authorization header");
	else if (is_completion(x, &chat))
		start_completion(b, x, chat);
	else
		start_route_call(b, x);
}
