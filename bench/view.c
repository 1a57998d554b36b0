/*
 * The view that a router has of the engines, and endpoint selection based on it.
 */
#include "parts.h"

#include <string.h>

/* --- engine state known to a router --- */

void model_record_sent(struct view *v, tlb_time at, int64_t amount)
{
	v->sent[v->next_sent].at = at;
	v->sent[v->next_sent].amount = amount;
	v->next_sent = (v->next_sent + 1) % SENT_SLOTS;
}

/* Own work that the latest load report does not include yet. */
static int64_t sent_since_report(const struct view *v)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < SENT_SLOTS; i++)
		sum += v->sent[i].at > v->reported_at ? v->sent[i].amount : 0;
	return sum;
}

int model_blocks_needed(const struct job *j)
{
	return (int)((j->prompt + j->tokens_done + MAX_OUTPUT + BLOCK_TOKENS - 1) / BLOCK_TOKENS);
}

static void fill_candidate(const struct model *m, const struct router *r, const struct job *j,
			   int i, struct tlb_candidate *c)
{
	const struct engine *e = &m->engines[i];
	const struct view *v = &r->views[i];
	tlb_time silent = m->run->scenario->report_lag + FAILURE_DETECTION_TIME;

	memset(c, 0, sizeof(*c));
	c->id = e->id;
	c->zone = e->zone;
	c->usable = !v->leaving && !e->absent && m->now - v->reported_at < silent;
	c->tried = j && j->tried[i];
	c->link_mbps = (int)(LINK_MBPS * m->run->scenario->link_factor);
	c->reported_at = v->reported_at + 1;
	c->slow_start_at = v->health.slow_start_at;
	c->ejected_until = v->health.ejected_until;
	c->total_blocks = DECODE_BLOCKS;
	c->free_blocks = v->free_blocks;
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

/* Fills c with the engines of one role and index with their engine numbers; returns the count. */
int model_candidates(const struct model *m, const struct router *r, const struct job *j,
		     bool decode, struct tlb_candidate *c, int *index)
{
	int count = 0;
	int i;

	for (i = 0; i < m->engine_count; i++) {
		if (m->engines[i].decode != decode)
			continue;
		fill_candidate(m, r, j, i, &c[count]);
		index[count++] = i;
	}
	return count;
}

static struct tlb_selection_input place_request(const struct model *m, const struct job *j)
{
	return (struct tlb_selection_input){
		.prompt_tokens = j->prompt + j->tokens_done,
		.blocks = model_blocks_needed(j),
		.class = j->class,
		.now = m->now,
	};
}

int model_select_decode(struct model *m, const struct job *j)
{
	struct tlb_candidate c[MAX_ENGINES];
	int index[MAX_ENGINES];
	struct router *r = &m->routers[j->router];
	struct tlb_selection_input pr = place_request(m, j);
	int count = model_candidates(m, r, j, true, c, index);
	struct tlb_selection pl;

	/* These wait for memory to be freed, so free memory must not limit the selection. */
	if (j->claims || j->preempts)
		pr.blocks = 0;
	pl = tlb_select_decode(&r->place, &pr, c, count);
	return pl.selected < 0 ? -1 : index[pl.selected];
}

int model_select_prefill(struct model *m, const struct job *j)
{
	struct tlb_candidate c[MAX_ENGINES];
	struct tlb_candidate to;
	int index[MAX_ENGINES];
	struct router *r = &m->routers[j->router];
	struct tlb_selection_input pr = place_request(m, j);
	int count = model_candidates(m, r, j, false, c, index);
	struct tlb_selection pl;

	if (j->decode >= 0)
		fill_candidate(m, r, j, j->decode, &to);
	pl = tlb_select_prefill(&r->place, &pr, j->decode >= 0 ? &to : NULL, c, count);
	return pl.selected < 0 ? -1 : index[pl.selected];
}

/* --- outlier ejection --- */

void model_record_outcome(struct model *m, int router, int engine, tlb_time took, int64_t tokens)
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

void model_record_stream(struct model *m, const struct job *j)
{
	int tokens = j->output - j->tokens_done;
	tlb_time took = m->now - j->stream_at;

	m->routers[j->router].views[j->decode].token_gap_us = took / (tokens > 0 ? tokens : 1);
	model_record_outcome(m, j->router, j->decode, took, tokens);
}
