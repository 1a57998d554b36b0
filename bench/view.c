/*
 * What one router believes of the engines, and its choices among them.
 */
#include "parts.h"

#include <string.h>

/* --- what a router knows --- */

void model_note_sent(struct view *v, tlb_time at, int64_t amount)
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

int model_true_pieces(const struct job *j)
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
	c->usable = !v->leaving && !e->absent && m->now - v->reported_at < silent;
	c->tried = j && j->tried[i];
	c->link_mbps = (int)(LINK_MBPS * m->run->scenario->link_factor);
	c->reported_at = v->reported_at + 1;
	c->slow_start_at = v->health.slow_start_at;
	c->ejected_until = v->health.ejected_until;
	c->total_blocks = DECODE_PIECES;
	c->free_blocks = v->free_pieces;
	c->running = v->running;
	c->token_gap_us = v->token_gap_us;
	c->queued_tokens = v->queued_tokens;
	c->tokens_per_second = PREFILL_SPEED;
	if (e->decode)
		c->local_blocks = (int)sent_since_report(v);
	else
		c->local_tokens = sent_since_report(v);
	if (j && j->prefix >= 0 && v->cached[j->prefix])
		c->cached_tokens = m->run->scenario->prefix_tokens;
	if (c->cached_tokens > (j ? j->prompt : 0))
		c->cached_tokens = j ? j->prompt : 0;
}

/* Fills the candidates of one role; index maps them to engines. */
int model_candidates(const struct model *m, const struct router *r, const struct job *j,
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

static struct tlb_selection_input place_request(const struct model *m, const struct job *j)
{
	return (struct tlb_selection_input){
		.prompt_tokens = j->prompt + j->tokens_done,
		.blocks = model_true_pieces(j),
		.class = j->class,
		.now = m->now,
	};
}

int model_choose_decode(struct model *m, const struct job *j)
{
	struct tlb_candidate c[MAX_ENGINES];
	int index[MAX_ENGINES];
	struct router *r = &m->routers[j->router];
	struct tlb_selection_input pr = place_request(m, j);
	int count = model_candidates(m, r, j, true, c, index);
	struct tlb_selection pl;

	if (j->claims || j->preempts)
		pr.blocks = 0;
	pl = tlb_select_decode(&r->place, &pr, c, count);
	return pl.selected < 0 ? -1 : index[pl.selected];
}

int model_choose_prefill(struct model *m, const struct job *j)
{
	struct tlb_candidate c[MAX_ENGINES];
	struct tlb_candidate to;
	int index[MAX_ENGINES];
	struct router *r = &m->routers[j->router];
	struct tlb_selection_input pr = place_request(m, j);
	int count = model_candidates(m, r, j, false, c, index);
	struct tlb_selection pl;

	if (j->decode >= 0)
		describe(m, r, j, j->decode, &to);
	pl = tlb_select_prefill(&r->place, &pr, j->decode >= 0 ? &to : NULL, c, count);
	return pl.selected < 0 ? -1 : index[pl.selected];
}

/* --- health of the engines as a router sees it --- */

void model_note_outcome(struct model *m, int router, int engine, tlb_time took, int64_t tokens)
{
	struct router *r = &m->routers[router];
	double latency[MAX_ENGINES];
	int count = 0;
	int i;

	for (i = 0; i < m->engine_count; i++) {
		if (m->engines[i].decode == m->engines[engine].decode)
			latency[count++] = r->views[i].health.latency_us;
	}
	m->ejections += tlb_health_record_outcome(
		&r->views[engine].health, true, took / (tokens > 0 ? tokens : 1),
		tlb_health_median_latency(latency, count), m->now);
}

void model_note_stream(struct model *m, const struct job *j)
{
	int tokens = j->out - j->tokens_done;
	tlb_time took = m->now - j->stream_at;

	m->routers[j->router].views[j->decode].token_gap_us = took / (tokens > 0 ? tokens : 1);
	model_note_outcome(m, j->router, j->decode, took, tokens);
}
