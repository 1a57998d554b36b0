#include "instance.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cold.h"
#include "vms.h"

/* Weight of each slower prefill in the speed estimate: a slowdown of an endpoint shows in the
 * estimate within tens of requests. */
#define SPEED_DECAY 0.03
/* Plain calls per slot that a small service accepts, including those in its own queue. */
enum { CALLS_PER_SLOT = 4 };
enum { TARGET_LEN = 256 };
/* Longer times for which an endpoint says that it stays cold count as without end. */
enum { COLD_MAX_MS = 1 << 30 };

void tlb_instances_init(struct tlb_instances *s, const char *zone, uint64_t seed)
{
	memset(s, 0, sizeof(*s));
	APR_RING_INIT(&s->all, tlb_instance, link);
	tlb_evacuations_init(&s->evacuations);
	tlb_selector_init(&s->place, TLB_POLICY_TOUCANLB, zone, seed);
}

void tlb_instance_acquire(struct tlb_instance *i)
{
	i->refcount++;
}

void tlb_instance_release(struct tlb_instance *i)
{
	if (--i->refcount == 0)
		free(i);
}

void tlb_instance_call(const struct tlb_instance *i, struct tlb_http *http,
		       struct tlb_http_call *call, struct tlb_http_spec *spec, const char *target,
		       const char *body)
{
	char url[TLB_ADDR_LEN + TARGET_LEN];

	snprintf(url, sizeof(url), "http://%s%s", i->row.addr, target);
	spec->url = url;
	spec->body = body;
	spec->body_len = body ? strlen(body) : 0;
	spec->body_max = TLB_HTTP_SMALL_BODY_MAX;
	spec->dedicated_connection = true;
	tlb_http_start(http, call, spec);
}

static void remove_instance(struct tlb_instance *i)
{
	APR_RING_REMOVE(i, link);
	APR_RING_ELEM_INIT(i, link);
	i->listed = false;
	i->unlisted_deadline = 0;
	tlb_instance_release(i);
}

void tlb_instances_finish(struct tlb_instances *s)
{
	while (!APR_RING_EMPTY(&s->all, tlb_instance, link))
		remove_instance(APR_RING_FIRST(&s->all));
	tlb_evacuations_finish(&s->evacuations);
}

struct tlb_instance *tlb_instances_find(const struct tlb_instances *s, const char *id)
{
	struct tlb_instance *i;

	APR_RING_FOREACH (i, &s->all, tlb_instance, link) {
		if (strcmp(i->row.id, id) == 0)
			return i;
	}
	return NULL;
}

static bool is_leaving(const struct tlb_instance *i)
{
	return i->leaving || i->row.leaving;
}

static bool same_incarnation(int64_t started_ms, const char *addr,
			     const struct tlb_instance_row *row)
{
	return started_ms == row->started_ms && strcmp(addr, row->addr) == 0;
}

/* Whether this incarnation was leaving when it was removed. What its entry had said is taken back
 * by a newer entry, what an answer had said is not. */
static bool has_left(const struct tlb_instances *s, const struct tlb_instance_row *row)
{
	const struct tlb_removed_instance *r;

	for (r = s->removed; r < s->removed + TLB_INSTANCES_REMEMBERED; r++)
		if (r->leaving && strcmp(r->id, row->id) == 0 &&
		    same_incarnation(r->started_ms, r->addr, row) &&
		    (r->said_leaving || row->sequence <= r->sequence))
			return true;
	return false;
}

static struct tlb_instance *add_instance(struct tlb_instances *s,
					 const struct tlb_instance_row *row)
{
	struct tlb_instance *i = calloc(1, sizeof(*i));

	if (!i)
		return NULL;
	i->refcount = 1;
	i->row = *row;
	i->leaving = has_left(s, row);
	i->evacuated_until = tlb_evacuations_until(&s->evacuations, row->zone);
	i->listed = true;
	i->tokens_per_second = TLB_INSTANCE_INITIAL_TOKENS_PER_SECOND;
	i->weight = 1;
	APR_RING_INSERT_TAIL(&s->all, i, tlb_instance, link);
	return i;
}

bool tlb_instances_put(struct tlb_instances *s, const struct tlb_instance_row *row)
{
	struct tlb_instance *i = tlb_instances_find(s, row->id);
	bool changed;

	if (i && !same_incarnation(i->row.started_ms, i->row.addr, row)) {
		remove_instance(i);
		i = NULL;
	}
	if (!i)
		return add_instance(s, row) != NULL;
	changed = i->row.leaving != row->leaving || i->row.role != row->role;
	if (i->row.role != row->role) {
		i->switching_until = 0;
		i->full_until = 0;
	}
	i->row = *row;
	i->evacuated_until = tlb_evacuations_until(&s->evacuations, row->zone);
	i->listed = true;
	i->lost = false;
	i->unlisted_deadline = 0;
	return changed;
}

static const struct tlb_removed_instance *find_removed(const struct tlb_instances *s,
						       const char *id)
{
	const struct tlb_removed_instance *newest = NULL;
	int i;

	for (i = 0; i < TLB_INSTANCES_REMEMBERED; i++)
		if (strcmp(s->removed[i].id, id) == 0 &&
		    (!newest || s->removed[i].started_ms > newest->started_ms ||
		     (s->removed[i].started_ms == newest->started_ms &&
		      s->removed[i].sequence > newest->sequence)))
			newest = &s->removed[i];
	return newest;
}

static void remember(struct tlb_instances *s, const struct tlb_instance *i)
{
	struct tlb_removed_instance *r = &s->removed[s->next_removed];

	if (!is_leaving(i) && (i->row.started_ms <= 0 || i->row.sequence <= 0))
		return;
	strcpy(r->id, i->row.id);
	strcpy(r->addr, i->row.addr);
	r->started_ms = i->row.started_ms;
	r->sequence = i->row.sequence;
	r->leaving = is_leaving(i);
	r->said_leaving = i->leaving;
	s->next_removed = (s->next_removed + 1) % TLB_INSTANCES_REMEMBERED;
}

bool tlb_instances_know_newer(const struct tlb_instances *s, const struct tlb_instance_row *row)
{
	const struct tlb_instance *i = tlb_instances_find(s, row->id);
	const struct tlb_removed_instance *r;

	if (row->started_ms <= 0 || row->sequence <= 0)
		return false;
	if (!i) {
		r = find_removed(s, row->id);
		return r && (row->started_ms < r->started_ms ||
			     (row->started_ms == r->started_ms && row->sequence <= r->sequence));
	}
	if (i->lost || i->row.started_ms <= 0 || i->row.sequence <= 0)
		return false;
	if (row->started_ms != i->row.started_ms)
		return row->started_ms < i->row.started_ms;
	return row->sequence < i->row.sequence || (row->sequence == i->row.sequence && !i->listed);
}

static void unlist(struct tlb_instances *s, struct tlb_instance *i, tlb_time use_deadline,
		   bool lost)
{
	if (use_deadline == 0 || is_leaving(i)) {
		/* A leaving one that is lost has left as well. */
		if (!lost || is_leaving(i))
			remember(s, i);
		remove_instance(i);
		return;
	}
	i->listed = false;
	i->lost = lost;
	if (i->unlisted_deadline == 0)
		i->unlisted_deadline = use_deadline;
}

void tlb_instances_remove(struct tlb_instances *s, const char *id, tlb_time use_deadline, bool lost)
{
	struct tlb_instance *i = tlb_instances_find(s, id);

	if (i)
		unlist(s, i, use_deadline, lost);
}

/* Applies the state of a zone to its instances. */
static void apply_evacuation(struct tlb_instances *s, const char *zone)
{
	tlb_time until = tlb_evacuations_until(&s->evacuations, zone);
	struct tlb_instance *i;

	/* Endpoints may have turned cold while they got no requests. */
	APR_RING_FOREACH (i, &s->all, tlb_instance, link) {
		if (strcmp(i->row.zone, zone) != 0)
			continue;
		i->evacuated_until = until;
		i->maybe_cold_from = until;
	}
}

bool tlb_instances_evacuate(struct tlb_instances *s, const char *zone, tlb_time now)
{
	if (!tlb_evacuations_begin(&s->evacuations, zone, now))
		return false;
	apply_evacuation(s, zone);
	return true;
}

bool tlb_instances_end_evacuation(struct tlb_instances *s, const char *zone, tlb_time until)
{
	if (!tlb_evacuations_end(&s->evacuations, zone, until))
		return false;
	apply_evacuation(s, zone);
	return true;
}

bool tlb_instance_in_service(const struct tlb_instance *i, tlb_time now)
{
	return !is_leaving(i) && now >= i->switching_until && now >= i->evacuated_until &&
	       (i->listed || now < i->unlisted_deadline);
}

bool tlb_instance_usable(const struct tlb_instance *i, tlb_time now)
{
	return tlb_instance_in_service(i, now) && now >= i->backoff_until;
}

bool tlb_instance_takes_reserved(const struct tlb_instance *i, tlb_time now)
{
	return tlb_instance_in_service(i, now) &&
	       (now >= i->backoff_until || now < i->reserved_use_until);
}

void tlb_tried_instances_add(struct tlb_tried_instances *t, const char *id)
{
	if (t->count == TLB_TRIED_MAX)
		return;
	strcpy(t->id[t->count++], id);
}

static bool was_tried(const struct tlb_tried_instances *t, const char *id)
{
	int i;

	for (i = 0; t && i < t->count; i++)
		if (strcmp(t->id[i], id) == 0)
			return true;
	return false;
}

void tlb_instance_note_cold(struct tlb_instance *i, int64_t cold_ms, tlb_time now)
{
	if (cold_ms < 0)
		i->maybe_cold_from = now;
	else
		i->cold_until = cold_ms < COLD_MAX_MS ? now + cold_ms * TLB_MS : TLB_NEVER;
}

bool tlb_instance_is_cold(const struct tlb_instance *i, const struct tlb_service_info *info,
			  tlb_time now)
{
	if (!info || info->cold_rate <= 0)
		return false;
	return now < i->cold_until ||
	       (i->maybe_cold_from > 0 && now - info->cold_ms * TLB_MS < i->maybe_cold_from);
}

static struct tlb_cold_share cold_share(const struct tlb_instance *i,
					const struct tlb_instance_query *p)
{
	int vms = p->vms ? tlb_vms_recent_count(p->vms) : 1;
	int rank = p->vms ? tlb_vms_own_rank(p->vms, tlb_vms_hash(i->row.id)) : 0;

	return tlb_cold_share(p->info->cold_rate, vms, rank);
}

/* Whether the rate of a cold instance leaves room for a request of this VM. */
static bool cold_rate_allows(const struct tlb_instance *i, const struct tlb_instance_query *p)
{
	return !tlb_instance_is_cold(i, p->info, p->now) ||
	       (p->now >= i->cold_next_at && cold_share(i, p).sends);
}

static struct tlb_candidate *add_candidate(struct tlb_instances *s, struct tlb_instance *i,
					   const struct tlb_instance_query *p)
{
	struct tlb_candidate *c;

	if (s->count == TLB_INSTANCES_MAX || strcmp(i->row.service, p->service) != 0 ||
	    !tlb_instance_usable(i, p->now) || !cold_rate_allows(i, p))
		return NULL;
	s->considered[s->count] = i;
	c = &s->candidate[s->count++];
	*c = (struct tlb_candidate){
		.id = i->row.id,
		.zone = i->row.zone,
		.usable = true,
		.tried = was_tried(p->tried, i->row.id),
		.slow_start_at = i->health.slow_start_at,
		.ejected_until = i->health.ejected_until,
		.link_mbps = p->info ? p->info->link_mbps : 0,
	};
	return c;
}

/* The selected instance, or NULL. A request to a cold one counts against its rate. */
static struct tlb_instance *selected_instance(const struct tlb_instances *s,
					      const struct tlb_selection *pl,
					      const struct tlb_instance_query *p)
{
	struct tlb_instance *i = pl->selected < 0 ? NULL : s->considered[pl->selected];

	if (i && tlb_instance_is_cold(i, p->info, p->now))
		i->cold_next_at = p->now + cold_share(i, p).interval;
	return i;
}

static struct tlb_selection_input place_request(const struct tlb_instance_query *p)
{
	return (struct tlb_selection_input){
		.prompt_tokens = p->tokens,
		.blocks = 1,
		.class = TLB_INTERACTIVE,
		.now = p->now,
	};
}

/* Leaves candidates out at random, so that the others get as many more requests as their weights
 * are higher; none when no candidate would be left. */
static void apply_weights(struct tlb_instances *s)
{
	bool kept[TLB_INSTANCES_MAX];
	bool any = false;
	int i;

	for (i = 0; i < s->count; i++) {
		kept[i] = s->considered[i]->weight >= 1 ||
			  tlb_random_unit(&s->place.random) < s->considered[i]->weight;
		any |= kept[i] && !s->candidate[i].tried;
	}
	for (i = 0; any && i < s->count; i++)
		s->candidate[i].usable &= kept[i];
}

/* Leaves out the candidates of other zones, when the own zone has one that is sound. Once endpoints
 * of any zone refuse calls, overload control spreads the calls over all. */
static void keep_own_zone(struct tlb_instances *s, const struct tlb_instance_query *p)
{
	bool own[TLB_INSTANCES_MAX];
	bool any = false;
	int i;

	for (i = 0; i < s->count; i++) {
		if (p->now < s->considered[i]->contended_until)
			return;
		own[i] = strcmp(s->candidate[i].zone, s->place.zone) == 0 &&
			 s->candidate[i].ejected_until <= p->now && !s->candidate[i].tried;
		any |= own[i];
	}
	for (i = 0; any && i < s->count; i++)
		s->candidate[i].usable &= own[i];
}

struct tlb_instance *tlb_instances_select_service(struct tlb_instances *s,
						  const struct tlb_instance_query *p)
{
	struct tlb_selection_input r = place_request(p);
	struct tlb_selection pl;
	struct tlb_instance *i;
	struct tlb_candidate *c;

	s->count = 0;
	APR_RING_FOREACH (i, &s->all, tlb_instance, link) {
		c = i->row.role == TLB_ROLE_SERVICE ? add_candidate(s, i, p) : NULL;
		if (!c)
			continue;
		c->free_exact = true;
		c->total_blocks = CALLS_PER_SLOT * (i->row.slots > 0 ? i->row.slots : 1);
		c->free_blocks = c->total_blocks - i->in_flight;
	}
	if (p->stays)
		keep_own_zone(s, p);
	apply_weights(s);
	pl = tlb_select_decode(&s->place, &r, s->candidate, s->count);
	return selected_instance(s, &pl, p);
}

bool tlb_instances_has_spare(const struct tlb_instances *s, const struct tlb_instance_query *p)
{
	const struct tlb_instance *i;

	APR_RING_FOREACH (i, &s->all, tlb_instance, link) {
		if (i->row.role == TLB_ROLE_SERVICE && strcmp(i->row.service, p->service) == 0 &&
		    tlb_instance_usable(i, p->now) && !was_tried(p->tried, i->row.id) &&
		    p->now >= i->contended_until)
			return true;
	}
	return false;
}

struct tlb_instance *tlb_instances_select_decode(struct tlb_instances *s,
						 const struct tlb_instance_query *p)
{
	struct tlb_selection_input r = place_request(p);
	struct tlb_selection pl;
	struct tlb_instance *i;
	struct tlb_candidate *c;

	s->count = 0;
	APR_RING_FOREACH (i, &s->all, tlb_instance, link) {
		if (i->row.role != TLB_ROLE_DECODE || p->now < i->full_until)
			continue;
		c = add_candidate(s, i, p);
		if (!c)
			continue;
		c->total_blocks = i->row.slots > 0 ? i->row.slots : 1;
		/* There is no load report. A full endpoint refuses the request before it runs
		 * anything. */
		c->free_blocks = c->total_blocks - i->in_flight;
	}
	pl = tlb_select_decode(&s->place, &r, s->candidate, s->count);
	return selected_instance(s, &pl, p);
}

/* Estimates how many tokens remain of the queue that the last prefill waited for. */
static int64_t queued_now(const struct tlb_instance *i, tlb_time now)
{
	double drained = (double)(now - i->queue_seen_at) * i->tokens_per_second / TLB_SECOND;
	double remaining = (double)i->queued_tokens - drained;

	return remaining > 0 ? (int64_t)remaining : 0;
}

static void collect_prefill_candidates(struct tlb_instances *s, const struct tlb_instance_query *p,
				       bool include_full)
{
	struct tlb_instance *i;
	struct tlb_candidate *c;

	s->count = 0;
	APR_RING_FOREACH (i, &s->all, tlb_instance, link) {
		if (i->row.role != TLB_ROLE_PREFILL || (!include_full && p->now < i->full_until))
			continue;
		c = add_candidate(s, i, p);
		if (!c)
			continue;
		c->tokens_per_second = (int64_t)i->tokens_per_second;
		c->local_tokens = i->prefill_in_flight;
		c->queued_tokens = queued_now(i, p->now);
		/* The prefills of this VM in flight are not part of the estimated queue and have
		 * not drained with it. */
		c->reported_at = p->now;
	}
}

struct tlb_instance *tlb_instances_select_prefill(struct tlb_instances *s,
						  const struct tlb_instance_query *p)
{
	struct tlb_selection_input r = place_request(p);
	struct tlb_candidate decode = {.zone = p->decode_zone};
	struct tlb_selection pl;

	if (p->info && p->info->kv_bytes_per_token > 0)
		s->place.kv_bytes_per_token = p->info->kv_bytes_per_token;
	collect_prefill_candidates(s, p, false);
	if (s->count == 0)
		collect_prefill_candidates(s, p, true);
	decode.link_mbps = p->info ? p->info->link_mbps : 0;
	pl = tlb_select_prefill(&s->place, &r, p->decode_zone ? &decode : NULL, s->candidate,
				s->count);
	return selected_instance(s, &pl, p);
}

int tlb_instances_count(const struct tlb_instances *s, const char *service, enum tlb_role role,
			tlb_time now)
{
	const struct tlb_instance *i;
	int n = 0;

	APR_RING_FOREACH (i, &s->all, tlb_instance, link) {
		n += i->row.role == role && tlb_instance_usable(i, now) &&
		     strcmp(i->row.service, service) == 0;
	}
	return n;
}

tlb_time tlb_instances_usable_at(const struct tlb_instances *s, const char *service,
				 enum tlb_role role, tlb_time now)
{
	const struct tlb_instance *i;
	tlb_time first = TLB_NEVER;

	APR_RING_FOREACH (i, &s->all, tlb_instance, link) {
		if (i->row.role == role && tlb_instance_in_service(i, now) &&
		    strcmp(i->row.service, service) == 0 && i->backoff_until < first)
			first = i->backoff_until;
	}
	return first > now ? first : now;
}

/* The median latency of the instances with the same service and role. */
static tlb_time median_latency(const struct tlb_instances *s, const struct tlb_instance *peer)
{
	double latency[TLB_INSTANCES_MAX];
	const struct tlb_instance *i;
	int n = 0;

	APR_RING_FOREACH (i, &s->all, tlb_instance, link) {
		if (n < TLB_INSTANCES_MAX && i->row.role == peer->row.role &&
		    strcmp(i->row.service, peer->row.service) == 0)
			latency[n++] = i->health.latency_us;
	}
	return tlb_health_median_latency(latency, n);
}

bool tlb_instance_back_off(struct tlb_instance *i, int64_t pause_ms, tlb_time now)
{
	tlb_time until = TLB_NEVER;
	bool begins = now >= i->backoff_until;

	if (pause_ms < (TLB_NEVER - now) / TLB_MS)
		until = now + pause_ms * TLB_MS;
	if (begins)
		i->reserved_use_until = now + TLB_INSTANCE_RESERVED_GRACE;
	if (until > i->backoff_until)
		i->backoff_until = until;
	return begins;
}

bool tlb_instance_mark_leaving(struct tlb_instance *i)
{
	bool was_leaving = i->leaving;

	i->leaving = true;
	return !was_leaving;
}

bool tlb_instances_record_outcome(struct tlb_instances *s, struct tlb_instance *i, bool ok,
				  tlb_time latency, tlb_time now)
{
	tlb_time median;

	if (ok && latency == 0) {
		i->health.failures = 0;
		return false;
	}
	median = latency > 0 ? median_latency(s, i) : 0;
	return tlb_health_record_outcome(&i->health, ok, latency, median, now);
}

void tlb_instance_record_prefill(struct tlb_instance *i, int64_t tokens, tlb_time took,
				 tlb_time now)
{
	double speed = took > 0 ? (double)tokens * TLB_SECOND / (double)took : 0;
	double expected;

	if (tokens <= 0 || took <= 0)
		return;
	if (speed > i->tokens_per_second)
		i->tokens_per_second = speed;
	else
		i->tokens_per_second += SPEED_DECAY * (speed - i->tokens_per_second);
	expected = (double)tokens / i->tokens_per_second * TLB_SECOND;
	i->queued_tokens = 0;
	if ((double)took > expected)
		i->queued_tokens =
			(int64_t)(((double)took - expected) * i->tokens_per_second / TLB_SECOND);
	i->queue_seen_at = now;
}
