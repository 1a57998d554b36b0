#include "overload_control.h"

#include <stdlib.h>
#include <string.h>

#include "edgeboard.h"
#include "log.h"

/* Endpoints of one report. A service with more reports only these. */
enum { REPORT_ENDPOINTS_MAX = 64 };
#define PERMILLE 1000.0

static const char ranking_prefix[] = "overload:";

/* --- services --- */

static struct tlb_overloaded_service *find_service(const struct tlb_overload_control *c,
						   const char *service)
{
	struct tlb_overloaded_service *s;

	APR_RING_FOREACH (s, &c->services, tlb_overloaded_service, link) {
		if (strcmp(s->service, service) == 0)
			return s;
	}
	return NULL;
}

/* Created on demand; NULL without memory, or for a name that is no label. */
static struct tlb_overloaded_service *service_of(struct tlb_overload_control *c,
						 const char *service)
{
	struct tlb_overloaded_service *s = find_service(c, service);

	if (s || strlen(service) >= sizeof(s->service))
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->control = c;
	strcpy(s->service, service);
	s->sent = TLB_OVERLOAD_ALL;
	s->shares = TLB_OVERLOAD_ALL;
	APR_RING_INIT(&s->endpoints, tlb_controlled_endpoint, link);
	APR_RING_INSERT_TAIL(&c->services, s, tlb_overloaded_service, link);
	return s;
}

static void free_endpoint(struct tlb_controlled_endpoint *e)
{
	APR_RING_REMOVE(e, link);
	free(e);
}

static void free_service(struct tlb_overloaded_service *s)
{
	while (!APR_RING_EMPTY(&s->endpoints, tlb_controlled_endpoint, link))
		free_endpoint(APR_RING_FIRST(&s->endpoints));
	tlb_peer_cancel(&s->call);
	APR_RING_REMOVE(s, link);
	free(s);
}

static struct tlb_controlled_endpoint *find_endpoint(const struct tlb_overloaded_service *s,
						     const char *id)
{
	struct tlb_controlled_endpoint *e;

	APR_RING_FOREACH (e, &s->endpoints, tlb_controlled_endpoint, link) {
		if (strcmp(e->id, id) == 0)
			return e;
	}
	return NULL;
}

/* Created on demand; NULL without memory, or for a name that is no id. */
static struct tlb_controlled_endpoint *endpoint_of(struct tlb_overloaded_service *s, const char *id)
{
	struct tlb_controlled_endpoint *e = find_endpoint(s, id);

	if (e || strlen(id) >= sizeof(e->id))
		return e;
	e = calloc(1, sizeof(*e));
	if (!e)
		return NULL;
	strcpy(e->id, id);
	tlb_overload_endpoint_init(&e->state);
	APR_RING_INSERT_TAIL(&s->endpoints, e, tlb_controlled_endpoint, link);
	return e;
}

/* --- control --- */

static tlb_time report_interval(const struct tlb_overload_control *c)
{
	tlb_time interval = tlb_vms_count(&c->board->vms) * TLB_OVERLOAD_REPORT_INTERVAL_PER_VM;

	return interval > TLB_OVERLOAD_REPORT_INTERVAL ? interval : TLB_OVERLOAD_REPORT_INTERVAL;
}

static void step_endpoint(struct tlb_overloaded_service *s, struct tlb_controlled_endpoint *e,
			  tlb_time elapsed, tlb_time now)
{
	const struct tlb_overload_sample *m = &e->sample;

	tlb_overload_endpoint_step(&e->state, m, elapsed, now);
	tlb_log_info("event=overload_endpoint service=%s instance=%s capacity=%.0f pace=%.2f "
		     "answered=%d refused=%d mean_ms=%lld",
		     s->service, e->id, e->state.capacity, e->state.pace, m->answered, m->refused,
		     (long long)(m->answered > 0 ? m->latency / m->answered / TLB_MS : 0));
	e->sample = (struct tlb_overload_sample){0};
}

static bool is_forgotten(const struct tlb_controlled_endpoint *e, tlb_time now)
{
	return now >= e->reported_at + TLB_OVERLOAD_FORGET_TIME;
}

static void log_shares(const struct tlb_overloaded_service *s, double rate)
{
	tlb_log_info("event=overload_shares service=%s rate=%.0f on_time=%.0f late=%.0f "
		     "share_on_time=%.2f share_late=%.2f",
		     s->service, rate, s->demand.on_time, s->demand.late, s->shares.on_time,
		     s->shares.late);
}

/* Computes the shares when an interval has passed, and forgets endpoints without reports. */
static void adjust(struct tlb_overloaded_service *s, tlb_time now)
{
	tlb_time elapsed = now - s->last_step_at;
	struct tlb_controlled_endpoint *e;
	struct tlb_controlled_endpoint *next;
	double rate = 0;
	bool known = true;

	if (now < s->next_step_at)
		return;
	APR_RING_FOREACH_SAFE (e, next, &s->endpoints, tlb_controlled_endpoint, link) {
		step_endpoint(s, e, elapsed, now);
		known &= e->state.capacity > 0;
		rate += tlb_overload_endpoint_rate(&e->state);
		if (is_forgotten(e, now))
			free_endpoint(e);
	}
	/* Each VM reports once in a report interval. */
	tlb_overload_demand_add(&s->demand, &s->reported,
				(double)report_interval(s->control) / (double)elapsed);
	s->reported = (struct tlb_overload_demand){0};
	s->shares = known ? tlb_overload_divide(rate, &s->demand) : TLB_OVERLOAD_ALL;
	log_shares(s, rate);
	s->last_step_at = now;
	s->next_step_at = now + report_interval(s->control);
}

/* Begins anew after a time without overload. */
static void begin_control(struct tlb_overloaded_service *s, tlb_time now)
{
	while (!APR_RING_EMPTY(&s->endpoints, tlb_controlled_endpoint, link))
		free_endpoint(APR_RING_FIRST(&s->endpoints));
	s->demand = s->reported = (struct tlb_overload_demand){0};
	s->shares = TLB_OVERLOAD_ALL;
	s->last_step_at = now;
	s->next_step_at = now + TLB_OVERLOAD_FIRST_STEP_INTERVAL;
}

static void take_outcomes(struct tlb_overloaded_service *s, const Toucan__EndpointOutcomes *o,
			  tlb_time target, tlb_time now)
{
	struct tlb_controlled_endpoint *e = endpoint_of(s, o->endpoint);
	struct tlb_overload_sample m = {
		.answered = (int)o->answered,
		.refused = (int)o->refused,
		.latency = (tlb_time)o->latency_us,
		.target = target,
	};

	if (!e)
		return;
	e->reported_at = now;
	tlb_overload_add(&e->sample, &m);
}

static void take_report(struct tlb_overloaded_service *s, const Toucan__OverloadReport *r,
			tlb_time now)
{
	double seconds = r->elapsed_ms > 0 ? (double)r->elapsed_ms * TLB_MS / TLB_SECOND : 1;
	size_t i;

	if (now >= s->next_step_at + TLB_OVERLOAD_SHARES_TTL)
		begin_control(s, now);
	s->reported.on_time += r->on_time / seconds;
	s->reported.late += r->late / seconds;
	for (i = 0; i < r->n_endpoints && i < REPORT_ENDPOINTS_MAX; i++)
		take_outcomes(s, r->endpoints[i], r->target_ms * TLB_MS, now);
	adjust(s, now);
}

static uint32_t permille(double share)
{
	return (uint32_t)(share * PERMILLE + 0.5);
}

static double highest_rate(const struct tlb_overloaded_service *s)
{
	const struct tlb_controlled_endpoint *e;
	double highest = 0;

	APR_RING_FOREACH (e, &s->endpoints, tlb_controlled_endpoint, link) {
		if (tlb_overload_endpoint_rate(&e->state) > highest)
			highest = tlb_overload_endpoint_rate(&e->state);
	}
	return highest;
}

/* Takes a report in and fills the answer, whose storage is static. */
static void control(struct tlb_overload_control *c, const Toucan__OverloadReport *r,
		    Toucan__OverloadShares *shares)
{
	static Toucan__EndpointWeight weight[REPORT_ENDPOINTS_MAX];
	static Toucan__EndpointWeight *list[REPORT_ENDPOINTS_MAX];
	struct tlb_overloaded_service *s = service_of(c, r->service);
	struct tlb_controlled_endpoint *e;
	double highest;

	shares->on_time_permille = shares->late_permille = permille(1);
	if (!s)
		return;
	take_report(s, r, tlb_clock_now());
	shares->on_time_permille = permille(s->shares.on_time);
	shares->late_permille = permille(s->shares.late);
	shares->endpoints = list;
	highest = highest_rate(s);
	APR_RING_FOREACH (e, &s->endpoints, tlb_controlled_endpoint, link) {
		if (shares->n_endpoints == REPORT_ENDPOINTS_MAX)
			break;
		toucan__endpoint_weight__init(&weight[shares->n_endpoints]);
		list[shares->n_endpoints] = &weight[shares->n_endpoints];
		weight[shares->n_endpoints].endpoint = e->id;
		weight[shares->n_endpoints].permille =
			highest > 0 ? permille(tlb_overload_endpoint_rate(&e->state) / highest)
				    : permille(1);
		shares->n_endpoints++;
	}
}

void tlb_overload_control_on_message(struct tlb_overload_control *c, struct tlb_peer *peer,
				     const Toucan__Envelope *msg)
{
	struct tlb_peer_reply_address to = {.incarnation = msg->incarnation, .id = msg->id};
	Toucan__OverloadShares shares = TOUCAN__OVERLOAD_SHARES__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;

	control(c, msg->overload_report, &shares);
	snprintf(to.vm, sizeof(to.vm), "%s", peer->id);
	e.body_case = TOUCAN__ENVELOPE__BODY_OVERLOAD_SHARES;
	e.overload_shares = &shares;
	tlb_peers_reply(&c->board->vms.peers, &to, &e);
}

/* --- reports --- */

static bool belongs_to(const struct tlb_instance *i, const char *service)
{
	return i->row.role == TLB_ROLE_SERVICE && strcmp(i->row.service, service) == 0;
}

/* Whether the shares that were told still hold. */
static bool is_shedding(const struct tlb_overloaded_service *s, tlb_time now)
{
	return s && tlb_overload_sheds(&s->sent) && now < s->told_at + TLB_OVERLOAD_SHARES_TTL;
}

/* Whether the service sheds requests, or an endpoint has refused calls lately. */
static bool is_contended(const struct tlb_overload_control *c, const char *service, tlb_time now)
{
	const struct tlb_instance *i;

	if (is_shedding(find_service(c, service), now))
		return true;
	APR_RING_FOREACH (i, &c->board->instances.all, tlb_instance, link) {
		if (belongs_to(i, service) && now < i->contended_until)
			return true;
	}
	return false;
}

static void set_weights(struct tlb_overloaded_service *s, double weight)
{
	struct tlb_instance *i;

	APR_RING_FOREACH (i, &s->control->board->instances.all, tlb_instance, link) {
		if (belongs_to(i, s->service))
			i->weight = weight;
	}
}

static double share_of(uint32_t permille)
{
	return permille < PERMILLE ? permille / PERMILLE : 1;
}

static void apply_shares(struct tlb_overloaded_service *s, const Toucan__OverloadShares *shares)
{
	struct tlb_instance *i;
	size_t n;

	s->sent.on_time = share_of(shares->on_time_permille);
	s->sent.late = share_of(shares->late_permille);
	s->told_at = tlb_clock_now();
	for (n = 0; n < shares->n_endpoints; n++) {
		i = tlb_instances_find(&s->control->board->instances,
				       shares->endpoints[n]->endpoint);
		if (i)
			i->weight = share_of(shares->endpoints[n]->permille);
	}
}

static void on_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct tlb_overloaded_service *s = arg;

	if (reply && reply->body_case == TOUCAN__ENVELOPE__BODY_OVERLOAD_SHARES) {
		apply_shares(s, reply->overload_shares);
		return;
	}
	tlb_log_info("event=overload_control_silent vm=%s service=%s reason=\"%s\"", s->asked_vm,
		     s->service, err ? err->message : "unexpected reply");
	tlb_vms_avoid(&s->control->board->vms, s->asked_vm,
		      tlb_clock_now() + TLB_OVERLOAD_AVOID_TIME);
}

static void send_report(struct tlb_overloaded_service *s, Toucan__OverloadReport *r)
{
	struct tlb_vms *vms = &s->control->board->vms;
	Toucan__OverloadShares shares = TOUCAN__OVERLOAD_SHARES__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	char key[sizeof(ranking_prefix) + TLB_LABEL_LEN];
	char ids[1][TLB_ID_LEN];
	tlb_time now = tlb_clock_now();

	snprintf(key, sizeof(key), "%s%s", ranking_prefix, s->service);
	if (tlb_vms_rank(vms, tlb_vms_hash(key), now, ids, 1) == 0 ||
	    strcmp(ids[0], vms->peers.self) == 0) {
		control(s->control, r, &shares);
		apply_shares(s, &shares);
		return;
	}
	strcpy(s->asked_vm, ids[0]);
	e.body_case = TOUCAN__ENVELOPE__BODY_OVERLOAD_REPORT;
	e.overload_report = r;
	tlb_peers_call(&vms->peers, ids[0], &s->call, &e, now + TLB_OVERLOAD_ANSWER_TIMEOUT,
		       on_reply, s);
}

/* Moves what was seen at an endpoint into a report. */
static void fill_outcomes(Toucan__EndpointOutcomes *o, struct tlb_instance *i)
{
	toucan__endpoint_outcomes__init(o);
	o->endpoint = i->row.id;
	o->answered = (uint32_t)i->unreported.answered;
	o->refused = (uint32_t)i->unreported.refused;
	o->latency_us = (uint64_t)i->unreported.latency;
	i->unreported = (struct tlb_overload_sample){0};
}

/* Begins to count what the next report tells. */
static void begin_interval(struct tlb_overloaded_service *s, tlb_time now)
{
	s->last_report_at = now;
	s->on_time = 0;
	s->late = 0;
}

/* Reports the arrivals and the service's endpoints. */
static void report(struct tlb_overloaded_service *s, tlb_time now)
{
	static Toucan__EndpointOutcomes outcomes[REPORT_ENDPOINTS_MAX];
	static Toucan__EndpointOutcomes *list[REPORT_ENDPOINTS_MAX];
	Toucan__OverloadReport r = TOUCAN__OVERLOAD_REPORT__INIT;
	tlb_time target = 0;
	struct tlb_instance *i;

	r.service = s->service;
	r.elapsed_ms = (uint32_t)((now - s->last_report_at) / TLB_MS);
	r.on_time = (uint32_t)s->on_time;
	r.late = (uint32_t)s->late;
	r.endpoints = list;
	APR_RING_FOREACH (i, &s->control->board->instances.all, tlb_instance, link) {
		if (r.n_endpoints == REPORT_ENDPOINTS_MAX || !belongs_to(i, s->service))
			continue;
		if (i->unreported.target > 0 && (target == 0 || i->unreported.target < target))
			target = i->unreported.target;
		fill_outcomes(&outcomes[r.n_endpoints], i);
		list[r.n_endpoints] = &outcomes[r.n_endpoints];
		r.n_endpoints++;
	}
	r.target_ms = (uint32_t)(target / TLB_MS);
	begin_interval(s, now);
	if (!tlb_peer_call_active(&s->call))
		send_report(s, &r);
}

static void end_reports(struct tlb_overloaded_service *s)
{
	s->next_report_at = 0;
	s->sent = TLB_OVERLOAD_ALL;
	set_weights(s, 1);
}

static void set_timer(struct tlb_overload_control *c)
{
	struct tlb_overloaded_service *s;
	tlb_time at = TLB_NEVER;

	APR_RING_FOREACH (s, &c->services, tlb_overloaded_service, link) {
		if (s->next_report_at > 0 && s->next_report_at < at)
			at = s->next_report_at;
	}
	if (at == TLB_NEVER)
		tlb_timer_clear(c->board->loop, &c->timer);
	else
		tlb_timer_set(c->board->loop, &c->timer, at);
}

static void on_timer(void *arg)
{
	struct tlb_overload_control *c = arg;
	tlb_time now = tlb_clock_now();
	struct tlb_overloaded_service *s;

	APR_RING_FOREACH (s, &c->services, tlb_overloaded_service, link) {
		if (s->next_report_at == 0 || now < s->next_report_at)
			continue;
		report(s, now);
		if (is_contended(c, s->service, now))
			s->next_report_at = now + report_interval(c);
		else
			end_reports(s);
	}
	set_timer(c);
}

static void begin_reports(struct tlb_overload_control *c, const char *service, tlb_time now)
{
	struct tlb_overloaded_service *s = service_of(c, service);
	struct tlb_instance *i;

	if (!s || s->next_report_at > 0)
		return;
	/* What was seen before the service was contended tells nothing about it. */
	APR_RING_FOREACH (i, &c->board->instances.all, tlb_instance, link) {
		if (belongs_to(i, service))
			i->unreported = (struct tlb_overload_sample){0};
	}
	begin_interval(s, now);
	s->next_report_at = now + TLB_OVERLOAD_FIRST_REPORT_DELAY;
	set_timer(c);
}

bool tlb_overload_control_admit(struct tlb_overload_control *c, const char *service, bool late)
{
	struct tlb_overloaded_service *s = find_service(c, service);

	if (!s || s->next_report_at == 0)
		return true;
	s->late += late;
	s->on_time += !late;
	if (!is_shedding(s, tlb_clock_now()))
		return true;
	return tlb_random_unit(&c->board->random) < (late ? s->sent.late : s->sent.on_time);
}

void tlb_overload_control_record(struct tlb_overload_control *c, struct tlb_instance *i,
				 bool refused, tlb_time latency, tlb_time target)
{
	struct tlb_overload_sample m = {
		.answered = !refused,
		.refused = refused,
		.latency = refused ? 0 : latency,
		.target = target,
	};
	tlb_time now = tlb_clock_now();

	if (!c->board->settings->overload_control)
		return;
	if (refused)
		i->contended_until = now + TLB_OVERLOAD_REPORT_TIME;
	if (!is_contended(c, i->row.service, now))
		return;
	begin_reports(c, i->row.service, now);
	tlb_overload_add(&i->unreported, &m);
}

void tlb_overload_control_init(struct tlb_overload_control *c, struct tlb_edge_board *b)
{
	c->board = b;
	APR_RING_INIT(&c->services, tlb_overloaded_service, link);
	tlb_timer_init(&c->timer, on_timer, c);
}

void tlb_overload_control_finish(struct tlb_overload_control *c)
{
	while (!APR_RING_EMPTY(&c->services, tlb_overloaded_service, link))
		free_service(APR_RING_FIRST(&c->services));
	tlb_timer_clear(c->board->loop, &c->timer);
}
