#include "model.h"

#include <apr_ring.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "book.h"
#include "bucket.h"

/* Load: long prompts, short outputs. Lognormal with a mean of 4,000 and of 100 tokens. */
#define PROMPT_MEDIAN 2900.0
#define PROMPT_SIGMA 0.8
#define OUTPUT_MEDIAN 88.0
#define OUTPUT_SIGMA 0.5
enum {
	PROMPT_MEAN = 4000,
	PROMPT_MIN = 50,
	PROMPT_MAX = 24000,
	OUTPUT_MEAN = 100,
	OUTPUT_MIN = 5,
	MAX_OUTPUT = 256,
	PIECE_TOKENS = 2000,
};

/* Engines: a decode engine's memory holds about 20 requests, and 20 running requests stay just
 * below the target between tokens. A mean prefill (133 ms) costs as much engine time as 66 output
 * tokens (40 ms / 20 each). */
enum {
	DECODE_PIECES = 56,
	DECODE_REQUESTS = 20,
	PREFILL_SPEED = 30000, /* tokens per second */
	LINK_MBPS = 40000,
	KV_BYTES = 65536, /* per token */
	CACHE_SLOTS = 24, /* prefixes a prefill engine keeps */
};
#define GAP_BASE (20.0 * TLB_MS)
#define GAP_PER_REQUEST (1.0 * TLB_MS)
#define EVICT_AFTER (800 * TLB_MS)

#define HOP TLB_MS /* one way between VMs */
#define EVENT_LAG (300 * TLB_MS)
#define HELD_PERIOD (2 * TLB_SECOND)
#define HELD_GRACE (2 * TLB_SECOND)
#define BOOKING_LIFE (5 * TLB_SECOND)
/* Lease, margin and one round of fencing. */
#define TAKEOVER (6 * TLB_SECOND + 100 * TLB_MS)
/* Engine and router deaths are seen by the balancer and by health checks. */
#define DEAD_AFTER (1750 * TLB_MS)
#define SILENCE (2 * TLB_SECOND)
#define LEAVE_KNOWN (1 * TLB_SECOND)

#define TTFT_TARGET (1200 * TLB_MS)
#define GAP_TARGET (43 * TLB_MS)
#define CALLER_PATIENCE (10 * TLB_SECOND)
#define BATCH_DEADLINE (60 * TLB_SECOND)
#define CANCEL_SHARE 0.01

/* Deadline of a message to another daemon. */
#define SILENT_PEER (100 * TLB_MS)
#define RETRY_QUEUE (20 * TLB_MS)
#define CLAIM_LIFE (500 * TLB_MS)
#define RETRY_TOKENS (50 * TLB_MS)
#define RETRY_IMPORT (20 * TLB_MS)

#define DURATION (120 * TLB_SECOND)
#define PEAK_START (30 * TLB_SECOND)
#define PEAK_END (90 * TLB_SECOND)
#define FAULT_AT (60 * TLB_SECOND)
#define WARM (10 * TLB_SECOND)

/* Paid rates add up to more than the engines sustain, because accounts don't peak together. */
#define RATE_FACTOR 1.3
#define BURST_SECONDS 30

enum { MAX_JOBS = 40000, SENT_SLOTS = 64 };

enum stage {
	STAGE_TOKENS,
	STAGE_QUEUED,
	STAGE_BOOKING,
	STAGE_PREFILL_WAIT,
	STAGE_PREFILL,
	STAGE_IMPORT, /* result waits at the prefill engine, or moves */
	STAGE_DECODE,
	STAGE_ENDED,
};

enum end { END_NONE, END_DONE, END_REFUSED, END_CANCELLED, END_BROKEN };

/* One request. Owned by the model; in at most one engine list. */
struct job {
	struct tlb_item item; /* first, so that an item is its job */
	struct tlb_booking booking;
	APR_RING_ENTRY(job) link;
	unsigned int gen; /* events of an earlier generation are void */
	enum stage stage;
	enum end end;
	enum tlb_class class;
	int account;
	int router;
	int prefill;
	int decode; /* engine index, -1: none */
	bool booked;
	tlb_time claim_from; /* may claim from then on */
	bool claims;	     /* too large for what is free: waits at one endpoint for pieces */
	bool has_tokens;
	int part;	  /* that granted the tokens, or is asked for them */
	bool within_rate; /* the reference bucket grants it */
	bool conforming;  /* and has granted all of the account's for BURST_SECONDS */
	bool in_engine;
	bool holds_pieces; /* counted in the decode engine's memory */
	bool tried[MAX_ENGINES];
	int prefix; /* -1: none */
	int64_t prompt;
	int64_t computed; /* tokens of the prefill whose result is not yet used */
	int out;
	int tokens_done; /* before a resume */
	double v_start;
	double v_end;
	tlb_time arrived;
	tlb_time deadline;
	tlb_time place_at;
	tlb_time evict_at;
	tlb_time first_token;
	tlb_time ended_at;
};

APR_RING_HEAD(job_ring, job);

struct engine {
	char id[16];
	const char *zone;
	int zone_no;
	bool decode;
	bool alive;
	bool leaving;
	tlb_time link_free;
	/* prefill */
	struct job_ring waiting[TLB_CLASS_COUNT];
	struct job *running;
	tlb_time running_until;
	int64_t waiting_tokens;
	int cache[CACHE_SLOTS]; /* prefixes, the latest used first; -1: none */
	/* decode */
	struct job_ring streams;
	int stream_count;
	int used_pieces;
	double v; /* tokens that each stream has got since the start */
	tlb_time v_at;
	unsigned int gen;
	struct tlb_book book;
	struct tlb_stray strays[TLB_BOOK_STRAYS];
	int owner;
	tlb_time owner_ready;
};

/* What one router believes of one engine. */
struct view {
	bool leaving;
	int free_pieces;
	int running;
	int64_t queued_tokens;
	tlb_time reported_at;
	struct {
		tlb_time at;
		int64_t amount;
	} sent[SENT_SLOTS];
	int next;
	bool cached[MAX_PREFIXES];
	struct tlb_health health;
};

struct router {
	int zone_no;
	bool alive;
	bool retry_set;
	/* No endpoint took a request of that many pieces: none as large is tried until then. */
	tlb_time hold_until[TLB_CLASS_COUNT];
	int hold_pieces[TLB_CLASS_COUNT];
	struct tlb_place place;
	struct tlb_queue queue;
	struct tlb_flow flows[MAX_ACCOUNTS];
	struct view views[MAX_ENGINES];
};

/* A part of an account's rate and burst that one daemon grants from. */
struct part {
	struct tlb_bucket bucket;
	int owner;
	tlb_time owner_ready;
};

struct account {
	struct part parts[2];	     /* the shard's owner's, and its standby's */
	struct tlb_bucket reference; /* charged with what is used, at arrival */
	tlb_time exceeded_at;	     /* the account last sent more than rate and burst */
	double demand;
	double got;
};

struct model {
	const struct run *run;
	struct event **events; /* a binary heap, the earliest first */
	int event_count;
	int event_room;
	uint64_t seq;
	tlb_time now;
	struct tlb_random random;
	struct tlb_random load; /* arrivals: the same for every policy */
	struct engine engines[MAX_ENGINES];
	int engine_count;
	struct router routers[ROUTERS];
	struct account accounts[MAX_ACCOUNTS];
	struct job *jobs;
	int job_count;
	double capacity; /* requests per second */
	double computed_tokens;
	double wasted_tokens;
	double memory_sum;
	int memory_count;
	int transfers;
	int missed;
};

struct event;
typedef void event_fn(struct model *m, const struct event *e);

struct event {
	tlb_time at;
	uint64_t seq;
	event_fn *fn;
	struct job *job; /* NULL: not about a job */
	unsigned int gen;
	int engine;
	int a;
	int b;
	int64_t c;
	tlb_time made;
};

static const char *const zone_names[] = {"z1", "z2", "z3", "z4"};

/* --- events --- */

static bool before(const struct event *x, const struct event *y)
{
	return x->at != y->at ? x->at < y->at : x->seq < y->seq;
}

static void swap_events(struct model *m, int i, int k)
{
	struct event *e = m->events[i];

	m->events[i] = m->events[k];
	m->events[k] = e;
}

static void push_event(struct model *m, struct event *e)
{
	int i = m->event_count++;

	if (i == m->event_room) {
		m->event_room = m->event_room ? 2 * m->event_room : 1024;
		m->events = realloc(m->events, sizeof(*m->events) * (size_t)m->event_room);
		if (!m->events)
			abort();
	}
	for (m->events[i] = e; i && before(e, m->events[(i - 1) / 2]); i = (i - 1) / 2)
		swap_events(m, i, (i - 1) / 2);
}

static struct event *pop_event(struct model *m)
{
	struct event *first;
	int i = 0;
	int k;

	if (!m->event_count)
		return NULL;
	first = m->events[0];
	m->events[0] = m->events[--m->event_count];
	for (k = 1; k < m->event_count; k = 2 * i + 1) {
		if (k + 1 < m->event_count && before(m->events[k + 1], m->events[k]))
			k++;
		if (!before(m->events[k], m->events[i]))
			break;
		swap_events(m, i, k);
		i = k;
	}
	return first;
}

static struct event *post(struct model *m, tlb_time at, event_fn *fn, struct job *j)
{
	struct event *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	e->at = at > m->now ? at : m->now;
	e->seq = m->seq++;
	e->fn = fn;
	e->job = j;
	e->gen = j ? j->gen : 0;
	push_event(m, e);
	return e;
}

static double normal(struct tlb_random *r)
{
	double u = 1 - tlb_random_unit(r);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * tlb_random_unit(r));
}

static int64_t lognormal(struct tlb_random *r, double median, double sigma, int least, int most)
{
	double v = median * exp(sigma * normal(r));

	return (int64_t)fmin(fmax(v, least), most);
}

/* --- what a router knows --- */

static void note_sent(struct view *v, tlb_time at, int64_t amount)
{
	v->sent[v->next].at = at;
	v->sent[v->next].amount = amount;
	v->next = (v->next + 1) % SENT_SLOTS;
}

static int64_t sent_since_report(const struct view *v)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < SENT_SLOTS; i++)
		sum += v->sent[i].at > v->reported_at ? v->sent[i].amount : 0;
	return sum;
}

static int true_pieces(const struct job *j)
{
	return (int)((j->prompt + j->tokens_done + MAX_OUTPUT + PIECE_TOKENS - 1) / PIECE_TOKENS);
}

static void describe(const struct model *m, const struct router *r, const struct job *j, int i,
		     struct tlb_candidate *c)
{
	const struct engine *e = &m->engines[i];
	const struct view *v = &r->views[i];
	tlb_time silent = m->run->scenario->report_lag + DEAD_AFTER;

	memset(c, 0, sizeof(*c));
	c->id = e->id;
	c->zone = e->zone;
	c->usable = !v->leaving && m->now - v->reported_at < silent;
	c->tried = j && j->tried[i];
	c->link_mbps = (int)(LINK_MBPS * m->run->scenario->link_factor);
	c->reported_at = v->reported_at + 1;
	c->joined_at = v->health.joined_at;
	c->ejected_until = v->health.ejected_until;
	c->total_pieces = DECODE_PIECES;
	c->free_pieces = v->free_pieces;
	c->running = v->running;
	c->queued_tokens = v->queued_tokens;
	c->tokens_per_second = PREFILL_SPEED;
	if (e->decode)
		c->own_pieces = (int)sent_since_report(v);
	else
		c->own_tokens = sent_since_report(v);
	if (j && j->prefix >= 0 && v->cached[j->prefix])
		c->cached_tokens = m->run->scenario->prefix_tokens;
	if (c->cached_tokens > (j ? j->prompt : 0))
		c->cached_tokens = j ? j->prompt : 0;
}

/* Fills the candidates of one role; index maps them to engines. */
static int candidates(const struct model *m, const struct router *r, const struct job *j,
		      bool decode, struct tlb_candidate *c, int *index)
{
	int count = 0;
	int i;

	for (i = 0; i < m->engine_count; i++) {
		if (m->engines[i].decode != decode)
			continue;
		describe(m, r, j, i, &c[count]);
		index[count++] = i;
	}
	return count;
}

static struct tlb_place_request place_request(const struct model *m, const struct job *j)
{
	return (struct tlb_place_request){
		.prompt_tokens = j->prompt + j->tokens_done,
		.pieces = true_pieces(j),
		.class = j->class,
		.now = m->now,
	};
}

static int choose_decode(struct model *m, const struct job *j)
{
	struct tlb_candidate c[MAX_ENGINES];
	int index[MAX_ENGINES];
	struct router *r = &m->routers[j->router];
	struct tlb_place_request pr = place_request(m, j);
	int count = candidates(m, r, j, true, c, index);
	struct tlb_placement pl;

	if (j->claims)
		pr.pieces = 0;
	pl = tlb_place_decode(&r->place, &pr, c, count);
	return pl.chosen < 0 ? -1 : index[pl.chosen];
}

static int choose_prefill(struct model *m, const struct job *j)
{
	struct tlb_candidate c[MAX_ENGINES];
	struct tlb_candidate to;
	int index[MAX_ENGINES];
	struct router *r = &m->routers[j->router];
	struct tlb_place_request pr = place_request(m, j);
	int count = candidates(m, r, j, false, c, index);
	struct tlb_placement pl;

	if (j->decode >= 0)
		describe(m, r, j, j->decode, &to);
	pl = tlb_place_prefill(&r->place, &pr, j->decode >= 0 ? &to : NULL, c, count);
	return pl.chosen < 0 ? -1 : index[pl.chosen];
}

/* --- end of a request --- */

static void on_settle(struct model *m, const struct event *e)
{
	tlb_bucket_settle(&m->accounts[e->a].parts[e->engine].bucket, e->b, e->c, m->now);
}

/* The prompt is booked like output until the request ends, so that a refusal gives it back. */
static void give_back_tokens(struct model *m, struct job *j, int64_t used)
{
	struct event *e;

	if (!j->has_tokens)
		return;
	j->has_tokens = false;
	e = post(m, m->now + HOP, on_settle, NULL);
	e->a = j->account;
	e->engine = j->part;
	e->b = (int)(j->prompt + MAX_OUTPUT);
	e->c = used;
}

/* Also takes back a booking whose reply is still under way. */
static void release_booking(struct model *m, struct job *j)
{
	const struct tlb_booking *k;

	if (j->decode < 0)
		return;
	k = tlb_book_release(&m->engines[j->decode].book, j->booking.request_id, j->booking.owner);
	if (k)
		note_sent(&m->routers[j->router].views[j->decode], m->now, -k->pieces);
	j->booked = false;
}

static void wake(struct model *m, struct router *r, tlb_time at);

static void end_job(struct model *m, struct job *j, enum end end)
{
	if (j->stage == STAGE_ENDED)
		return;
	tlb_queue_remove(&m->routers[j->router].queue, &j->item);
	if (end != END_DONE && j->computed) {
		m->wasted_tokens += (double)j->computed;
		j->computed = 0;
	}
	give_back_tokens(m, j, end == END_DONE ? j->prompt + j->out : 0);
	release_booking(m, j);
	j->stage = STAGE_ENDED;
	j->end = end;
	j->ended_at = m->now;
	j->gen++;
	wake(m, &m->routers[j->router], m->now);
}

/* --- decode engine --- */

static double token_gap(const struct engine *e)
{
	return GAP_BASE + GAP_PER_REQUEST * e->stream_count;
}

static void advance(const struct model *m, struct engine *e)
{
	e->v += (double)(m->now - e->v_at) / token_gap(e);
	e->v_at = m->now;
}

static void on_stream_end(struct model *m, const struct event *ev);

/* Plans the end of the stream that ends first at the present number of streams. */
static void plan_streams(struct model *m, struct engine *e)
{
	struct job *j;
	double first = INFINITY;
	struct event *ev;

	e->gen++;
	APR_RING_FOREACH (j, &e->streams, job, link)
		first = fmin(first, j->v_end);
	if (isinf(first))
		return;
	ev = post(m, m->now + (tlb_time)ceil(fmax(0, first - e->v) * token_gap(e)), on_stream_end,
		  NULL);
	ev->engine = (int)(e - m->engines);
	ev->gen = e->gen;
}

static void take_pieces(struct model *m, struct job *j)
{
	j->holds_pieces = true;
	m->engines[j->decode].used_pieces += true_pieces(j);
}

static void free_pieces(struct model *m, struct job *j)
{
	if (j->holds_pieces)
		m->engines[j->decode].used_pieces -= true_pieces(j);
	j->holds_pieces = false;
}

static void leave_streams(struct model *m, struct job *j)
{
	struct engine *e = &m->engines[j->decode];

	advance(m, e);
	APR_RING_REMOVE(j, link);
	j->in_engine = false;
	e->stream_count--;
	free_pieces(m, j);
	plan_streams(m, e);
}

static void on_stream_end(struct model *m, const struct event *ev)
{
	struct engine *e = &m->engines[ev->engine];
	struct job *j;
	struct job *ended = NULL;

	if (ev->gen != e->gen || !e->alive)
		return;
	advance(m, e);
	APR_RING_FOREACH (j, &e->streams, job, link) {
		if (j->v_end <= e->v + 1e-6)
			ended = j;
	}
	if (!ended) {
		plan_streams(m, e);
		return;
	}
	leave_streams(m, ended);
	if (ended->stage == STAGE_DECODE)
		end_job(m, ended, END_DONE);
}

static void start_stream(struct model *m, struct job *j)
{
	struct engine *e = &m->engines[j->decode];

	advance(m, e);
	APR_RING_INSERT_TAIL(&e->streams, j, job, link);
	j->in_engine = true;
	e->stream_count++;
	j->stage = STAGE_DECODE;
	j->computed = 0;
	j->v_start = e->v;
	j->v_end = e->v + (j->out - j->tokens_done);
	if (!j->first_token)
		j->first_token = m->now + (tlb_time)token_gap(e) + HOP;
	plan_streams(m, e);
}

/* --- prefill engine --- */

static void on_cache_event(struct model *m, const struct event *e)
{
	int i;

	for (i = 0; i < ROUTERS; i++) {
		if (tlb_random_unit(&m->random) >= m->run->scenario->event_loss)
			m->routers[i].views[e->engine].cached[e->a] = e->b;
	}
}

static void publish(struct model *m, const struct engine *e, int prefix, bool cached)
{
	struct event *ev = post(m, m->now + EVENT_LAG, on_cache_event, NULL);

	ev->engine = (int)(e - m->engines);
	ev->a = prefix;
	ev->b = cached;
}

/* Returns whether the prefix was cached; it is the latest used then. */
static bool touch_cache(struct model *m, struct engine *e, int prefix)
{
	int i;
	bool hit;

	for (i = 0; i < CACHE_SLOTS - 1 && e->cache[i] != prefix; i++)
		;
	hit = e->cache[i] == prefix;
	if (!hit) {
		if (e->cache[i] >= 0)
			publish(m, e, e->cache[i], false);
		publish(m, e, prefix, true);
	}
	memmove(&e->cache[1], &e->cache[0], (size_t)i * sizeof(e->cache[0]));
	e->cache[0] = prefix;
	return hit;
}

static void on_prefill_end(struct model *m, const struct event *ev);

static void run_prefill(struct model *m, struct engine *e)
{
	struct job *j = NULL;
	int c;
	struct event *ev;

	for (c = 0; c < TLB_CLASS_COUNT && !j; c++) {
		if (!APR_RING_EMPTY(&e->waiting[c], job, link))
			j = APR_RING_FIRST(&e->waiting[c]);
	}
	if (e->running || !j)
		return;
	APR_RING_REMOVE(j, link);
	j->in_engine = false;
	e->waiting_tokens -= j->prompt;
	e->running = j;
	j->stage = STAGE_PREFILL;
	j->computed = j->prompt + j->tokens_done;
	if (j->prefix >= 0 && touch_cache(m, e, j->prefix))
		j->computed -= m->run->scenario->prefix_tokens;
	if (j->computed < 1)
		j->computed = 1;
	m->computed_tokens += (double)j->computed;
	if (j->tokens_done)
		m->wasted_tokens += (double)j->computed;
	e->running_until = m->now + j->computed * TLB_SECOND / PREFILL_SPEED;
	ev = post(m, e->running_until, on_prefill_end, NULL);
	ev->engine = (int)(e - m->engines);
	ev->job = j;
	ev->gen = UINT32_MAX;
}

static void on_prefill_arrives(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;
	struct engine *e = &m->engines[j->prefill];
	bool priority = m->run->flow->booked;

	if (!e->alive) {
		post(m, m->now + RETRY_QUEUE, ev->fn, j);
		return;
	}
	j->stage = STAGE_PREFILL_WAIT;
	APR_RING_INSERT_TAIL(&e->waiting[priority ? j->class : TLB_INTERACTIVE], j, job, link);
	j->in_engine = true;
	e->waiting_tokens += j->prompt;
	run_prefill(m, e);
}

static void start_prefill(struct model *m, struct job *j)
{
	struct view *v;

	j->prefill = choose_prefill(m, j);
	if (j->prefill < 0) {
		end_job(m, j, END_REFUSED);
		return;
	}
	v = &m->routers[j->router].views[j->prefill];
	note_sent(v, m->now, j->prompt);
	if (j->prefix >= 0)
		v->cached[j->prefix] = true;
	j->stage = STAGE_PREFILL_WAIT;
	post(m, m->now + HOP, on_prefill_arrives, j);
}

/* --- KV transfer --- */

static void redo_prefill(struct model *m, struct job *j)
{
	m->wasted_tokens += (double)j->computed;
	j->computed = 0;
	memset(j->tried, 0, sizeof(j->tried));
	start_prefill(m, j);
}

static void start_booking(struct model *m, struct job *j);
static void import_refused(struct model *m, struct job *j);

static void on_imported(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;

	if (!m->engines[j->decode].alive) {
		free_pieces(m, j);
		import_refused(m, j);
		return;
	}
	start_stream(m, j);
}

static void on_evicted(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;

	m->missed++;
	free_pieces(m, j);
	if (!m->run->flow->booked)
		j->decode = -1;
	redo_prefill(m, j);
}

static tlb_time later(tlb_time a, tlb_time b)
{
	return a > b ? a : b;
}

/* Each engine's link moves one result after another; both ends work independently. */
static void transfer(struct model *m, struct job *j)
{
	struct engine *from = &m->engines[j->prefill];
	struct engine *to = &m->engines[j->decode];
	double mbps = LINK_MBPS * m->run->scenario->link_factor;
	double us = 8.0 * (double)(j->prompt + j->tokens_done) * KV_BYTES / mbps;
	tlb_time sent = later(m->now, from->link_free) + (tlb_time)us;
	tlb_time taken = later(m->now, to->link_free) + (tlb_time)us;
	tlb_time end = later(sent, taken);

	m->transfers++;
	take_pieces(m, j);
	/* A transfer that does not end in time still uses the links until the eviction. */
	from->link_free = sent < j->evict_at ? sent : later(from->link_free, j->evict_at);
	to->link_free = taken < j->evict_at ? taken : later(to->link_free, j->evict_at);
	if (end > j->evict_at) {
		post(m, j->evict_at, on_evicted, j);
		return;
	}
	post(m, end, on_imported, j);
}

static void on_import(struct model *m, const struct event *ev);

/* An engine without room or without an answer: another one, until the result is evicted. */
static void import_refused(struct model *m, struct job *j)
{
	struct view *v = &m->routers[j->router].views[j->decode];

	if (!m->engines[j->decode].alive)
		tlb_place_eject(&v->health, false, 0, 0, m->now);
	j->tried[j->decode] = true;
	if (m->run->flow->booked) {
		release_booking(m, j);
		start_booking(m, j);
		return;
	}
	j->decode = choose_decode(m, j);
	if (j->decode >= 0) {
		post(m, m->now + 2 * HOP, on_import, j);
		return;
	}
	memset(j->tried, 0, sizeof(j->tried));
	post(m, m->now + RETRY_IMPORT, on_import, j);
}

static void on_import(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;
	const struct engine *e;

	if (m->now >= j->evict_at) {
		on_evicted(m, ev);
		return;
	}
	if (j->decode < 0)
		j->decode = choose_decode(m, j);
	if (j->decode < 0) {
		post(m, m->now + RETRY_IMPORT, on_import, j);
		return;
	}
	e = &m->engines[j->decode];
	if (!e->alive || e->used_pieces + true_pieces(j) > DECODE_PIECES) {
		import_refused(m, j);
		return;
	}
	transfer(m, j);
}

static void on_prefill_end(struct model *m, const struct event *ev)
{
	struct engine *e = &m->engines[ev->engine];
	struct job *j = ev->job;

	if (e->running != j)
		return;
	e->running = NULL;
	run_prefill(m, e);
	if (j->stage != STAGE_PREFILL)
		return;
	j->stage = STAGE_IMPORT;
	j->evict_at = m->now + EVICT_AFTER;
	post(m, m->now + 2 * HOP, on_import, j);
}

/* --- booking --- */

static struct job *stream_of(const struct engine *e, const char *request_id)
{
	struct job *j;

	APR_RING_FOREACH (j, &e->streams, job, link) {
		if (!strcmp(j->booking.request_id, request_id))
			return j;
	}
	return NULL;
}

static void cancel_at_engine(struct model *m, struct engine *e, const char *request_id)
{
	struct job *j = stream_of(e, request_id);

	if (j)
		leave_streams(m, j);
	tlb_book_cancelled(&e->book, request_id);
}

static void expire_bookings(struct model *m, struct engine *e)
{
	const struct tlb_booking *k;

	while ((k = tlb_book_expire(&e->book, m->now)))
		cancel_at_engine(m, e, k->request_id);
}

static void dispatch(struct model *m, struct router *r);

static void on_wake(struct model *m, const struct event *e)
{
	struct router *r = &m->routers[e->a];

	r->retry_set = false;
	if (r->alive)
		dispatch(m, r);
}

static void wake(struct model *m, struct router *r, tlb_time at)
{
	if (r->retry_set)
		return;
	r->retry_set = true;
	post(m, at, on_wake, NULL)->a = (int)(r - m->routers);
}

static void on_book_again(struct model *m, const struct event *e)
{
	start_booking(m, e->job);
}

static void hold(const struct model *m, struct router *r, const struct job *j, tlb_time until)
{
	int pieces = true_pieces(j);

	if (m->now >= r->hold_until[j->class] || pieces < r->hold_pieces[j->class])
		r->hold_pieces[j->class] = pieces;
	r->hold_until[j->class] = until;
}

/* No endpoint granted a place: back to the queue, or for one that already ran, soon again. */
static void no_place(struct model *m, struct job *j)
{
	struct router *r = &m->routers[j->router];
	tlb_time again = RETRY_QUEUE / 2 + tlb_random_below(&m->random, (int)RETRY_QUEUE);

	memset(j->tried, 0, sizeof(j->tried));
	j->decode = -1;
	if (j->claims)
		j->claim_from = m->now + CLAIM_LIFE;
	j->claims = false;
	if (j->computed || j->tokens_done) {
		if (j->computed && m->now >= j->evict_at) {
			m->wasted_tokens += (double)j->computed;
			j->computed = 0;
		}
		post(m, m->now + again, on_book_again, j);
		return;
	}
	hold(m, r, j, m->now + again);
	j->stage = STAGE_QUEUED;
	j->gen++;
	tlb_queue_unpop(&r->queue, &r->flows[j->account], &j->item);
	wake(m, r, m->now + again);
}

static void on_book(struct model *m, const struct event *ev);

static void wait_for_claim(struct model *m, struct job *j)
{
	if (m->now >= j->item.expires) {
		note_sent(&m->routers[j->router].views[j->decode], m->now, -j->booking.pieces);
		end_job(m, j, END_REFUSED);
		return;
	}
	post(m, m->now + RETRY_QUEUE, on_book, j);
}

static void on_booked(struct model *m, const struct event *e)
{
	struct job *j = e->job;
	struct view *v = &m->routers[j->router].views[j->decode];

	if (e->b) {
		wait_for_claim(m, j);
		return;
	}
	j->claims = false;
	if (e->a != TLB_BOOK_OK) {
		note_sent(v, m->now, -j->booking.pieces);
		j->tried[j->decode] = true;
		start_booking(m, j);
		return;
	}
	j->booked = true;
	if (!j->place_at)
		j->place_at = m->now;
	if (j->computed && m->now < j->evict_at) {
		j->stage = STAGE_IMPORT;
		post(m, m->now, on_import, j);
		return;
	}
	m->wasted_tokens += (double)j->computed;
	j->computed = 0;
	start_prefill(m, j);
}

static void on_book(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;
	struct engine *e = &m->engines[j->decode];
	enum tlb_book_result result = TLB_BOOK_NOT_GRANTING;
	struct event *reply;
	bool served = m->now >= e->owner_ready;

	if (served) {
		expire_bookings(m, e);
		result = tlb_book_add(&e->book, &j->booking);
	}
	reply = post(m, m->now + (served ? HOP : SILENT_PEER), on_booked, j);
	reply->a = result;
	if (result == TLB_BOOK_FULL && j->claims)
		reply->b = tlb_book_claim(&e->book, j->booking.request_id, j->booking.pieces,
					  m->now + CLAIM_LIFE);
}

static void start_booking(struct model *m, struct job *j)
{
	struct router *r = &m->routers[j->router];

	j->stage = STAGE_BOOKING;
	j->decode = choose_decode(m, j);
	if (j->decode < 0) {
		no_place(m, j);
		return;
	}
	j->booking.pieces = true_pieces(j);
	j->booking.class = j->class;
	j->booking.expires = TLB_NEVER;
	note_sent(&r->views[j->decode], m->now, j->booking.pieces);
	post(m, m->now + (m->engines[j->decode].owner == j->router ? 0 : HOP), on_book, j);
}

/* --- admission --- */

struct room {
	struct model *m;
	struct tlb_candidate decode[MAX_ENGINES];
	int decode_count;
};

/* A large request that waited for a while books at one endpoint and claims what comes free. */
static bool may_claim(const struct model *m, const struct job *j)
{
	int least = m->run->flow->claim_pieces;

	return least && j->class == TLB_INTERACTIVE && true_pieces(j) >= least &&
	       m->now > j->claim_from;
}

static bool fits(void *arg, const struct tlb_item *it)
{
	const struct room *room = arg;
	const struct job *j = (const struct job *)it;
	const struct router *r = &room->m->routers[j->router];
	const struct flow *f = room->m->run->flow;
	int need = true_pieces(j);
	int i;

	if (may_claim(room->m, j))
		return true;
	if (room->m->now < r->hold_until[j->class] && need >= r->hold_pieces[j->class])
		return false;
	if (j->class == TLB_BATCH)
		need += f->batch_reserve;
	for (i = 0; i < room->decode_count; i++) {
		const struct tlb_candidate *c = &room->decode[i];

		if (c->usable && c->free_pieces - c->own_pieces >= need)
			return true;
	}
	return false;
}

static void look_around(struct model *m, struct router *r, struct room *room)
{
	int index[MAX_ENGINES];

	room->m = m;
	room->decode_count = candidates(m, r, NULL, true, room->decode, index);
}

static void start(struct model *m, struct job *j)
{
	j->claims = may_claim(m, j);
	start_booking(m, j);
}

static void dispatch(struct model *m, struct router *r)
{
	struct room room;
	struct tlb_item *it;

	while ((it = tlb_queue_expire(&r->queue, m->now)))
		end_job(m, (struct job *)it, END_REFUSED);
	look_around(m, r, &room);
	while ((it = tlb_queue_pop(&r->queue, fits, &room, m->now))) {
		start(m, (struct job *)it);
		look_around(m, r, &room);
	}
	if (tlb_queue_count(&r->queue))
		wake(m, r, m->now + RETRY_QUEUE / 2 + tlb_random_below(&m->random, RETRY_QUEUE));
}

static void admit(struct model *m, struct job *j)
{
	struct router *r = &m->routers[j->router];
	const struct flow *f = m->run->flow;
	tlb_time service = 2 * j->prompt * TLB_SECOND / PREFILL_SPEED;

	if (!f->booked) {
		j->place_at = m->now;
		start_prefill(m, j);
		return;
	}
	if (f->early > 0 && j->class == TLB_INTERACTIVE &&
	    tlb_queue_would_miss(&r->queue, &r->flows[j->account], j->class, j->item.tokens,
				 service, TTFT_TARGET, f->early)) {
		end_job(m, j, END_REFUSED);
		return;
	}
	j->stage = STAGE_QUEUED;
	j->claim_from = m->now + m->run->flow->claim_after;
	tlb_queue_push(&r->queue, &r->flows[j->account], &j->item, m->now);
	dispatch(m, r);
}

static void on_admit(struct model *m, const struct event *e)
{
	admit(m, e->job);
}

/* When to ask again, or TLB_NEVER when no part can grant the tokens before the wait ends. */
static tlb_time ask_again_at(const struct model *m, const struct job *j)
{
	const struct account *a = &m->accounts[j->account];
	tlb_time again = TLB_NEVER;
	bool hopeless = true;
	int i;

	for (i = 0; i < 2; i++) {
		const struct tlb_bucket *b = &a->parts[i].bucket;
		int64_t tokens = j->prompt + MAX_OUTPUT;
		tlb_time ready = tlb_bucket_ready_at(b, tokens, m->now);

		if (ready < again)
			again = ready;
		if (m->now < a->parts[i].owner_ready ||
		    (!tlb_bucket_exceeds_burst(b, tokens) &&
		     (ready == TLB_NEVER || ready < j->item.expires)))
			hopeless = false;
	}
	if (hopeless)
		return TLB_NEVER;
	again = again < m->now + RETRY_TOKENS ? again : m->now + RETRY_TOKENS;
	return again > m->now + HOP ? again : m->now + HOP;
}

/* Asks the owner, then the standby, and waits when both have too little. */
static void on_reserve(struct model *m, const struct event *e)
{
	struct job *j = e->job;
	struct account *a = &m->accounts[j->account];
	struct part *p = &a->parts[j->part];
	int64_t tokens = j->prompt + MAX_OUTPUT;
	bool answers = m->now >= p->owner_ready;
	tlb_time again;

	if (m->now >= j->item.expires) {
		end_job(m, j, END_REFUSED);
		return;
	}
	if (answers && tlb_bucket_take(&p->bucket, 0, tokens, m->now)) {
		j->has_tokens = true;
		post(m, m->now + HOP, on_admit, j);
		return;
	}
	if (j->part == 0 && m->run->flow->standby_share > 0) {
		j->part = 1;
		post(m, m->now + (answers ? 2 * HOP : SILENT_PEER), on_reserve, j);
		return;
	}
	again = ask_again_at(m, j);
	if (again == TLB_NEVER) {
		end_job(m, j, END_REFUSED);
		return;
	}
	j->part = 0;
	post(m, again, on_reserve, j);
}

/* --- callers --- */

static void drop_from_engine(struct model *m, struct job *j)
{
	if (!j->in_engine)
		return;
	if (j->stage == STAGE_DECODE) {
		leave_streams(m, j);
		return;
	}
	APR_RING_REMOVE(j, link);
	j->in_engine = false;
	m->engines[j->prefill].waiting_tokens -= j->prompt;
}

static void give_up(struct model *m, struct job *j, enum end end)
{
	drop_from_engine(m, j);
	end_job(m, j, end);
}

static bool waits_for_first_token(const struct job *j)
{
	return j->stage != STAGE_ENDED && j->stage != STAGE_DECODE;
}

/* A caller that gives up, or whose deadline passes before the first token. */
static void on_give_up(struct model *m, const struct event *e)
{
	struct job *j = e->job;

	if (j->stage == STAGE_ENDED || (e->a == END_BROKEN && !waits_for_first_token(j)))
		return;
	/* Mid-transfer: looked at again when the transfer has ended. */
	if (j->stage == STAGE_IMPORT) {
		struct event *again = post(m, m->now + 10 * TLB_MS, on_give_up, j);

		again->a = e->a;
		again->gen = UINT32_MAX;
		return;
	}
	give_up(m, j, e->a);
}

static int pick_account(struct model *m, double *factor)
{
	const struct scenario *s = m->run->scenario;
	double at = tlb_random_unit(&m->load);
	int i;

	*factor = 1;
	if (s->few_large)
		return at < 0.03 ? MAX_ACCOUNTS - 1 : (int)((at - 0.03) / 0.97 * 3);
	for (i = 0; i < MAX_ACCOUNTS - 1; i++) {
		at -= m->run->deployment->share[i];
		if (at < 0)
			break;
	}
	return i;
}

static int pick_router(struct model *m)
{
	/* The platform's balancer skips dead routers after its health check. */
	int i = tlb_random_below(&m->load, ROUTERS);

	if (m->routers[i].alive || m->now < FAULT_AT + TLB_SECOND)
		return i;
	do
		i = tlb_random_below(&m->load, ROUTERS);
	while (!m->routers[i].alive);
	return i;
}

static void note_demand(struct model *m, struct job *j)
{
	struct account *a = &m->accounts[j->account];

	j->within_rate = tlb_bucket_take(&a->reference, j->prompt + j->out, 0, m->now);
	if (!j->within_rate)
		a->exceeded_at = m->now;
	j->conforming = !a->exceeded_at || m->now - a->exceeded_at > BURST_SECONDS * TLB_SECOND;
}

static void arrive(struct model *m, enum tlb_class class, int account)
{
	struct job *j = &m->jobs[m->job_count];
	const struct scenario *s = m->run->scenario;
	struct event *e;

	if (m->job_count == MAX_JOBS)
		return;
	snprintf(j->booking.request_id, sizeof(j->booking.request_id), "r%d", m->job_count++);
	j->class = class;
	j->account = account;
	j->router = pick_router(m);
	snprintf(j->booking.owner, sizeof(j->booking.owner), "vm%d/1", j->router);
	j->decode = -1;
	j->prefix = -1;
	j->prompt = lognormal(&m->load, PROMPT_MEDIAN, PROMPT_SIGMA, PROMPT_MIN, PROMPT_MAX);
	j->out = (int)lognormal(&m->load, OUTPUT_MEDIAN, OUTPUT_SIGMA, OUTPUT_MIN, MAX_OUTPUT);
	if (tlb_random_unit(&m->load) < s->prefix_share && j->prompt > s->prefix_tokens)
		j->prefix = tlb_random_below(&m->load, s->prefixes);
	j->arrived = m->now;
	j->deadline = m->now + (class == TLB_BATCH ? BATCH_DEADLINE : CALLER_PATIENCE);
	j->item.class = class;
	j->item.tokens = j->prompt + MAX_OUTPUT;
	j->item.latest_start =
		class == TLB_BATCH ? j->deadline - m->run->flow->batch_slack : TLB_NEVER;
	j->item.expires =
		class == TLB_BATCH ? j->deadline : m->now + m->run->flow->interactive_wait;
	note_demand(m, j);
	if (!m->routers[j->router].alive) {
		j->stage = STAGE_ENDED;
		j->end = END_BROKEN;
		return;
	}
	post(m, m->now + HOP, on_reserve, j);
	e = post(m, j->deadline, on_give_up, j);
	e->gen = UINT32_MAX;
	e->a = END_BROKEN;
	if (class == TLB_INTERACTIVE && tlb_random_unit(&m->load) < CANCEL_SHARE) {
		e = post(m, m->now + tlb_random_below(&m->load, 3 * TLB_SECOND), on_give_up, j);
		e->gen = UINT32_MAX;
		e->a = END_CANCELLED;
	}
}

static double load_now(const struct model *m, enum tlb_class class)
{
	const struct scenario *s = m->run->scenario;
	bool peak = m->now >= PEAK_START && m->now < PEAK_END;

	if (class == TLB_BATCH)
		return m->now < PEAK_END ? s->batch : 0;
	return peak ? s->peak : s->base;
}

static void plan_arrival(struct model *m, enum tlb_class class, int account);

static void on_arrival(struct model *m, const struct event *e)
{
	double factor;
	int account = e->b >= 0 ? e->b : pick_account(m, &factor);
	/* Candidates come at a constant rate of 1.5 times capacity and are thinned. */
	double keep = load_now(m, e->a) * m->run->load_factor / 1.5;

	if (e->b >= 0)
		keep = 1;
	if (tlb_random_unit(&m->load) < keep)
		arrive(m, e->a, account);
	plan_arrival(m, e->a, e->b);
}

static void plan_arrival(struct model *m, enum tlb_class class, int account)
{
	double rate = m->capacity * 1.5;
	tlb_time at;
	struct event *e;

	/* The greedy account sends five times its paid rate, four of them on top of its share. */
	if (account >= 0)
		rate = 4 * RATE_FACTOR * m->capacity * m->run->deployment->share[account];
	at = m->now - (tlb_time)(log(1 - tlb_random_unit(&m->load)) / rate * TLB_SECOND);
	if (at >= DURATION)
		return;
	e = post(m, at, on_arrival, NULL);
	e->a = class;
	e->b = account;
}

/* --- reports, reconciliation, faults --- */

static void on_report_arrives(struct model *m, const struct event *e)
{
	int i;

	for (i = 0; i < ROUTERS; i++) {
		struct view *v = &m->routers[i].views[e->engine];

		if (e->made < v->reported_at)
			continue;
		v->reported_at = e->made;
		v->free_pieces = e->a;
		v->running = e->b;
		v->queued_tokens = e->c;
		if (m->routers[i].alive && tlb_queue_count(&m->routers[i].queue))
			wake(m, &m->routers[i], m->now);
	}
}

static int64_t queued_tokens(const struct model *m, const struct engine *e)
{
	int64_t left = 0;

	if (e->running)
		left = (e->running_until - m->now) * PREFILL_SPEED / TLB_SECOND;
	return e->waiting_tokens + left;
}

/* The owner of an engine asks it and sends what it learned with its next heartbeat. The two are out
 * of step by a time that stays the same, and that differs from engine to engine. */
static tlb_time report_delay(const struct model *m, int engine)
{
	return m->run->scenario->report_lag +
	       m->run->flow->report_age * (2 * engine + 1) / (2 * (tlb_time)m->engine_count);
}

static void on_report(struct model *m, const struct event *e)
{
	const struct engine *en = &m->engines[e->engine];
	struct event *r;

	if (!en->alive)
		return;
	r = post(m, m->now + report_delay(m, e->engine), on_report_arrives, NULL);
	r->engine = e->engine;
	r->a = DECODE_PIECES - en->used_pieces;
	r->b = en->stream_count;
	r->c = queued_tokens(m, en);
	r->made = m->now;
	post(m, m->now + m->run->flow->report_period, on_report, NULL)->engine = e->engine;
}

static int held_list(const struct engine *e, struct tlb_held *held)
{
	const struct job *j;
	int count = 0;

	APR_RING_FOREACH (j, &e->streams, job, link) {
		memset(&held[count], 0, sizeof(held[count]));
		strcpy(held[count].request_id, j->booking.request_id);
		strcpy(held[count].owner, j->booking.owner);
		held[count++].pieces = true_pieces(j);
	}
	return count;
}

static void reconcile(struct model *m, struct engine *e)
{
	struct tlb_held held[DECODE_PIECES];
	int count = held_list(e, held);
	int i;

	expire_bookings(m, e);
	tlb_book_reconcile(&e->book, held, count, m->now);
	for (i = 0; i < count; i++) {
		if (held[i].cancel)
			cancel_at_engine(m, e, held[i].request_id);
	}
}

static void on_reconcile(struct model *m, const struct event *e)
{
	struct engine *en = &m->engines[e->engine];

	if (!en->alive)
		return;
	if (m->run->flow->booked && m->now >= en->owner_ready)
		reconcile(m, en);
	if (m->now >= PEAK_START && m->now < PEAK_END) {
		m->memory_sum += (double)en->used_pieces / DECODE_PIECES;
		m->memory_count++;
	}
	post(m, m->now + HELD_PERIOD, on_reconcile, NULL)->engine = e->engine;
}

static void on_stream_silent(struct model *m, const struct event *e)
{
	struct job *j = e->job;

	if (j->stage == STAGE_ENDED)
		return;
	if (!m->run->flow->booked) {
		end_job(m, j, END_BROKEN);
		return;
	}
	release_booking(m, j);
	start_booking(m, j);
}

static void kill_decode(struct model *m, struct engine *e)
{
	struct job *j;

	advance(m, e);
	e->alive = false;
	while (!APR_RING_EMPTY(&e->streams, job, link)) {
		j = APR_RING_FIRST(&e->streams);
		APR_RING_REMOVE(j, link);
		j->in_engine = false;
		e->stream_count--;
		free_pieces(m, j);
		if (j->stage != STAGE_DECODE)
			continue;
		j->tokens_done += (int)(e->v - j->v_start);
		j->gen++;
		j->tried[e - m->engines] = true;
		post(m, m->now + SILENCE, on_stream_silent, j);
	}
}

static void on_prefill_lost(struct model *m, const struct event *e)
{
	if (e->job->stage != STAGE_ENDED)
		redo_prefill(m, e->job);
}

static void lose_prefill(struct model *m, struct job *j)
{
	j->gen++;
	j->in_engine = false;
	post(m, m->now + 10 * TLB_MS, on_prefill_lost, j);
}

static void kill_prefill(struct model *m, struct engine *e)
{
	int i;
	int c;

	e->alive = false;
	for (c = 0; c < TLB_CLASS_COUNT; c++) {
		while (!APR_RING_EMPTY(&e->waiting[c], job, link)) {
			struct job *j = APR_RING_FIRST(&e->waiting[c]);

			APR_RING_REMOVE(j, link);
			lose_prefill(m, j);
		}
	}
	if (e->running && e->running->stage == STAGE_PREFILL)
		lose_prefill(m, e->running);
	e->running = NULL;
	e->waiting_tokens = 0;
	for (i = 0; i < ROUTERS; i++)
		m->routers[i].views[e - m->engines].health.ejected_until = m->now + 5 * TLB_SECOND;
}

static int standby_of(const struct model *m, int owner)
{
	int i = owner;

	do
		i = (i + 1) % ROUTERS;
	while (!m->routers[i].alive);
	return i;
}

static void take_over_parts(struct model *m, int dead)
{
	int i;

	for (i = 0; i < 2 * MAX_ACCOUNTS; i++) {
		struct part *p = &m->accounts[i / 2].parts[i % 2];

		if (p->owner != dead)
			continue;
		tlb_bucket_init(&p->bucket, p->bucket.rate, p->bucket.burst, 0, m->now);
		p->owner = standby_of(m, dead);
	}
}

/* The new owner starts the bucket empty and rebuilds the book from the VMs and the engine. */
static void on_takeover(struct model *m, const struct event *e)
{
	int i;

	take_over_parts(m, e->a);
	for (i = 0; i < m->engine_count; i++) {
		struct engine *en = &m->engines[i];
		int k;

		if (!en->decode || en->owner != e->a)
			continue;
		tlb_book_init(&en->book, en->strays, DECODE_PIECES, m->run->flow->batch_reserve,
			      HELD_GRACE);
		en->book.max_requests = m->run->flow->max_requests;
		for (k = 0; k < m->job_count; k++) {
			struct job *j = &m->jobs[k];

			if (j->booked && j->decode == i && m->routers[j->router].alive)
				tlb_book_adopt(&en->book, &j->booking);
		}
		if (en->alive && m->run->flow->booked)
			reconcile(m, en);
		en->owner = standby_of(m, e->a);
	}
}

static void break_jobs(struct model *m, int router)
{
	int i;

	for (i = 0; i < m->job_count; i++) {
		struct job *j = &m->jobs[i];

		if (j->router != router || j->stage == STAGE_ENDED)
			continue;
		tlb_queue_remove(&m->routers[router].queue, &j->item);
		j->booking.expires = m->now + BOOKING_LIFE;
		if (j->in_engine && j->stage == STAGE_PREFILL_WAIT) {
			APR_RING_REMOVE(j, link);
			j->in_engine = false;
			m->engines[j->prefill].waiting_tokens -= j->prompt;
		}
		if (j->holds_pieces && !j->in_engine)
			free_pieces(m, j);
		m->wasted_tokens += (double)j->computed;
		j->computed = 0;
		j->stage = STAGE_ENDED;
		j->end = END_BROKEN;
		j->ended_at = m->now;
		j->gen++;
	}
}

static void kill_router(struct model *m, int router)
{
	int i;

	m->routers[router].alive = false;
	break_jobs(m, router);
	for (i = 0; i < 2 * MAX_ACCOUNTS; i++) {
		struct part *p = &m->accounts[i / 2].parts[i % 2];

		if (p->owner == router)
			p->owner_ready = m->now + TAKEOVER;
	}
	for (i = 0; i < m->engine_count; i++) {
		if (m->engines[i].owner == router)
			m->engines[i].owner_ready = m->now + TAKEOVER;
	}
	post(m, m->now + TAKEOVER, on_takeover, NULL)->a = router;
}

static void on_leave_known(struct model *m, const struct event *e)
{
	int i;

	for (i = 0; i < ROUTERS; i++)
		m->routers[i].views[e->engine].leaving = true;
}

static void on_fault(struct model *m, const struct event *e)
{
	int decode = m->run->deployment->prefill;
	int i;

	switch (m->run->scenario->fault) {
	case FAULT_NONE:
		break;
	case FAULT_DECODE_LOST:
		kill_decode(m, &m->engines[decode]);
		break;
	case FAULT_LEAVING:
		post(m, m->now + LEAVE_KNOWN, on_leave_known, NULL)->engine = decode;
		break;
	case FAULT_ROUTER_LOST:
		/* The owner of the second largest account and, in both deployments, of no decode
		 * endpoint's book but one. */
		kill_router(m, 1);
		break;
	case FAULT_ZONE_LOST:
		for (i = 0; i < ROUTERS; i++) {
			if (m->routers[i].zone_no == 0)
				kill_router(m, i);
		}
		for (i = 0; i < m->engine_count; i++) {
			if (m->engines[i].zone_no != 0)
				continue;
			if (m->engines[i].decode)
				kill_decode(m, &m->engines[i]);
			else
				kill_prefill(m, &m->engines[i]);
		}
		break;
	}
}

/* --- set-up and measures --- */

static void init_engine(struct model *m, int i)
{
	struct engine *e = &m->engines[i];
	const struct deployment *d = m->run->deployment;
	int c;

	e->decode = i >= d->prefill;
	snprintf(e->id, sizeof(e->id), "%s%d", e->decode ? "d" : "p", i);
	e->zone_no = i % d->zones;
	e->zone = zone_names[e->zone_no];
	e->alive = true;
	e->owner = i % ROUTERS;
	for (c = 0; c < TLB_CLASS_COUNT; c++)
		APR_RING_INIT(&e->waiting[c], job, link);
	APR_RING_INIT(&e->streams, job, link);
	for (c = 0; c < CACHE_SLOTS; c++)
		e->cache[c] = -1;
	tlb_book_init(&e->book, e->strays, DECODE_PIECES, m->run->flow->batch_reserve, HELD_GRACE);
	e->book.max_requests = m->run->flow->max_requests;
	tlb_book_reconcile(&e->book, NULL, 0, 0);
	/* Engines report and are compared at different times. */
	post(m, tlb_random_below(&m->random, m->run->flow->report_period), on_report, NULL)
		->engine = i;
	if (e->decode)
		post(m, tlb_random_below(&m->random, HELD_PERIOD), on_reconcile, NULL)->engine = i;
}

static void init_router(struct model *m, int i)
{
	struct router *r = &m->routers[i];
	const struct deployment *d = m->run->deployment;
	int k;

	r->alive = true;
	r->zone_no = i % d->zones;
	tlb_place_init(&r->place, m->run->flow->policy, zone_names[r->zone_no],
		       m->run->seed * ROUTERS + (uint64_t)i);
	tlb_queue_init(&r->queue);
	for (k = 0; k < MAX_ACCOUNTS; k++)
		tlb_flow_init(&r->flows[k], d->share[k]);
	for (k = 0; k < m->engine_count; k++)
		r->views[k].free_pieces = DECODE_PIECES;
}

static void init_part(struct part *p, int owner, double rate)
{
	int64_t r = (int64_t)rate;

	p->owner = owner;
	tlb_bucket_init(&p->bucket, r, r * BURST_SECONDS, r * BURST_SECONDS, 0);
}

static void init_account(struct model *m, int i)
{
	struct account *a = &m->accounts[i];
	double standby = m->run->flow->standby_share;
	double rate = m->capacity * (PROMPT_MEAN + OUTPUT_MEAN) * RATE_FACTOR;
	int64_t whole;

	/* With few large accounts these have nearly the whole of the paid rate. */
	rate *= m->run->scenario->few_large ? (i < 3 ? 0.32 : 0.04) : m->run->deployment->share[i];
	whole = (int64_t)rate;
	/* The standby is in another zone than the owner. */
	init_part(&a->parts[0], i, rate * (1 - standby));
	init_part(&a->parts[1], (i + 1) % ROUTERS, rate * standby);
	tlb_bucket_init(&a->reference, whole, whole * BURST_SECONDS, whole * BURST_SECONDS, 0);
}

static double capacity_of(const struct deployment *d)
{
	double prefill = (double)d->prefill * PREFILL_SPEED / PROMPT_MEAN;
	double gap = GAP_BASE + GAP_PER_REQUEST * DECODE_REQUESTS;
	double stay = OUTPUT_MEAN * gap / TLB_SECOND + 0.6;

	return fmin(prefill, d->decode * DECODE_REQUESTS / stay);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double percentile(double *v, int count, double p)
{
	if (!count)
		return 0;
	qsort(v, (size_t)count, sizeof(*v), compare_doubles);
	return v[(int)(p * (count - 1))];
}

static bool counted(const struct job *j)
{
	return j->arrived >= WARM && j->arrived < DURATION - WARM && j->end != END_CANCELLED;
}

static void measure_queue(const struct model *m, struct measures *out, double *v)
{
	int c;
	int i;

	for (c = 0; c < TLB_CLASS_COUNT; c++) {
		int count = 0;

		for (i = 0; i < m->job_count; i++) {
			const struct job *j = &m->jobs[i];

			if (counted(j) && (int)j->class == c && j->place_at)
				v[count++] = (double)(j->place_at - j->arrived) / TLB_MS;
		}
		out->queue_ms[c][0] = percentile(v, count, 0.5);
		out->queue_ms[c][1] = percentile(v, count, 0.95);
	}
}

/* Weighted max-min shares of what was served, each at most what the account asked for within its
 * rate; the least of got over due. */
static double worst_served(const struct model *m)
{
	double due[MAX_ACCOUNTS] = {0};
	double left = 0;
	double worst = 1;
	int round;
	int i;

	for (i = 0; i < MAX_ACCOUNTS; i++)
		left += m->accounts[i].got;
	for (round = 0; round < MAX_ACCOUNTS && left > 1; round++) {
		double weights = 0;
		double part = left;

		for (i = 0; i < MAX_ACCOUNTS; i++)
			weights +=
				due[i] < m->accounts[i].demand ? m->run->deployment->share[i] : 0;
		if (weights <= 0)
			break;
		for (i = 0; i < MAX_ACCOUNTS; i++) {
			double more = part * m->run->deployment->share[i] / weights;

			if (due[i] >= m->accounts[i].demand)
				continue;
			more = fmin(more, m->accounts[i].demand - due[i]);
			due[i] += more;
			left -= more;
		}
	}
	for (i = 0; i < MAX_ACCOUNTS; i++) {
		if (due[i] > 0)
			worst = fmin(worst, m->accounts[i].got / due[i]);
	}
	return worst;
}

struct tally {
	int interactive, good, ttft, done, gap, within, wrongful, broken, batch, batch_done;
	int ttft_count;
};

static void tally_interactive(struct tally *t, const struct job *j, double *ttft)
{
	double first = (double)(j->first_token - j->arrived);
	bool fast = j->first_token && first <= TTFT_TARGET;
	bool smooth = false;

	t->interactive++;
	t->ttft += fast;
	if (j->first_token)
		ttft[t->ttft_count++] = first / TLB_MS;
	if (j->end != END_DONE)
		return;
	smooth = (double)(j->ended_at - j->first_token) <= (double)GAP_TARGET * (j->out - 1);
	t->done++;
	t->gap += smooth;
	t->good += fast && smooth;
}

static void tally_job(struct model *m, struct tally *t, const struct job *j, double *ttft)
{
	struct account *a = &m->accounts[j->account];

	t->within += j->conforming;
	a->demand += j->within_rate ? (double)(j->prompt + j->out) : 0;
	t->wrongful += j->conforming && j->end == END_REFUSED;
	t->broken += j->end == END_BROKEN;
	if (j->end == END_DONE)
		a->got += (double)(j->prompt + j->out);
	if (j->class == TLB_BATCH) {
		t->batch++;
		t->batch_done += j->end == END_DONE && j->ended_at <= j->deadline;
		return;
	}
	tally_interactive(t, j, ttft);
}

static double ratio(double a, double b)
{
	return b > 0 ? a / b : 0;
}

static void measure(struct model *m, struct measures *out, double *v)
{
	double seconds = (double)(DURATION - 2 * WARM) / TLB_SECOND;
	struct tally t = {0};
	int i;

	for (i = 0; i < m->job_count; i++) {
		if (counted(&m->jobs[i]))
			tally_job(m, &t, &m->jobs[i], v);
	}
	out->offered = t.interactive / seconds;
	out->goodput = t.good / seconds;
	out->good_share = ratio(t.good, t.interactive);
	out->ttft_share = ratio(t.ttft, t.interactive);
	out->gap_share = ratio(t.gap, t.done);
	out->ttft_p95_ms = percentile(v, t.ttft_count, 0.95);
	out->wasted = ratio(m->wasted_tokens, m->computed_tokens);
	out->wrongful = ratio(t.wrongful, t.within);
	out->broken = ratio(t.broken, t.interactive + t.batch);
	out->batch_done = t.batch ? ratio(t.batch_done, t.batch) : 1;
	out->memory = ratio(m->memory_sum, m->memory_count);
	out->missed_transfers = ratio(m->missed, m->transfers);
	out->requests = t.interactive + t.batch;
	out->worst = worst_served(m);
	measure_queue(m, out, v);
}

static void simulate(struct model *m)
{
	struct event *e;

	while ((e = pop_event(m))) {
		m->now = e->at;
		if (m->now < DURATION + BATCH_DEADLINE &&
		    (!e->job || e->gen == UINT32_MAX || e->gen == e->job->gen))
			e->fn(m, e);
		free(e);
	}
}

static void set_up(struct model *m)
{
	const struct deployment *d = m->run->deployment;
	int i;

	m->engine_count = d->prefill + d->decode;
	m->capacity = capacity_of(d);
	for (i = 0; i < m->engine_count; i++)
		init_engine(m, i);
	for (i = 0; i < ROUTERS; i++)
		init_router(m, i);
	for (i = 0; i < MAX_ACCOUNTS; i++)
		init_account(m, i);
	plan_arrival(m, TLB_INTERACTIVE, -1);
	plan_arrival(m, TLB_BATCH, -1);
	if (m->run->scenario->greedy >= 0)
		plan_arrival(m, TLB_INTERACTIVE, m->run->scenario->greedy);
	post(m, FAULT_AT, on_fault, NULL);
}

int model_run(const struct run *r, struct measures *out)
{
	struct model *m = calloc(1, sizeof(*m));
	double *v = calloc(MAX_JOBS, sizeof(*v));

	memset(out, 0, sizeof(*out));
	if (m)
		m->jobs = calloc(MAX_JOBS, sizeof(*m->jobs));
	if (!m || !v || !m->jobs)
		return -1;
	m->run = r;
	tlb_random_init(&m->random, r->seed);
	tlb_random_init(&m->load, r->seed + 1000);
	set_up(m);
	simulate(m);
	measure(m, out, v);
	free(m->events);
	free(m->jobs);
	free(m);
	free(v);
	return 0;
}
