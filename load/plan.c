#include "plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	TOKEN_BYTES = 4,
	PROMPT_MIN = 16, /* tokens */
	OUTPUT_MIN = 4,	 /* tokens */
	TEMPLATES = 4,	 /* shared beginnings of prompts per account */
	TEMPLATE_BYTES = 4096,
	LABEL_MAX = 96,
};

/* Spread of the logarithm of a length: prompts reach from tens to tens of thousands of tokens. */
#define PROMPT_SIGMA 1.2
#define OUTPUT_SIGMA 0.6
/* Share of prompts that begin with one of their account's templates. */
#define TEMPLATE_SHARE 0.5

static const char *const kind_names[LOAD_KINDS] = {
	[LOAD_COMPLETION] = "completions",
	[LOAD_STREAM] = "stream",
	[LOAD_STATUS] = "status",
	[LOAD_PAID] = "paid",
};

const char *load_kind_name(enum load_kind kind)
{
	return kind_names[kind];
}

static bool set_share(struct load_mix *m, const char *name, size_t len, double share)
{
	int i;

	for (i = 0; i < LOAD_KINDS; i++) {
		if (strlen(kind_names[i]) == len && strncmp(kind_names[i], name, len) == 0) {
			m->share[i] = share;
			return true;
		}
	}
	return false;
}

bool load_mix_parse(struct load_mix *m, const char *text)
{
	const char *eq;
	char *end;
	double share;

	memset(m->share, 0, sizeof(m->share));
	for (;;) {
		eq = strchr(text, '=');
		if (!eq)
			return false;
		share = strtod(eq + 1, &end);
		if (end == eq + 1 || share < 0 || !set_share(m, text, (size_t)(eq - text), share))
			return false;
		if (!*end)
			return true;
		if (*end != ',')
			return false;
		text = end + 1;
	}
}

static int pick(struct tlb_random *r, const double *shares, int n)
{
	double sum = 0;
	double at;
	int i;

	for (i = 0; i < n; i++)
		sum += shares[i];
	at = tlb_random_unit(r) * sum;
	for (i = 0; i < n - 1; i++) {
		at -= shares[i];
		if (at < 0)
			break;
	}
	return i;
}

/* A length whose logarithm is normally distributed about that of the median. */
static int length(struct tlb_random *r, int median, double sigma, int least, int most)
{
	double u = 1 - tlb_random_unit(r);
	double v = tlb_random_unit(r);
	double normal = sqrt(-2 * log(u)) * cos(2 * M_PI * v);
	double n = median * exp(sigma * normal);

	if (n < least)
		return least;
	return n > most ? most : (int)n;
}

static void fill(char *text, size_t len, struct tlb_random *r)
{
	static const char letters[] = "abcdefghijklmnopqrstuvwxyz      ";
	size_t i;

	for (i = 0; i < len; i++)
		text[i] = letters[tlb_random_below(r, sizeof(letters) - 1)];
}

static char *make_prompt(const struct load_item *it, int tokens, struct tlb_random *r)
{
	size_t len = (size_t)tokens * TOKEN_BYTES;
	char *text = calloc(1, len + LABEL_MAX);
	struct tlb_random t;
	size_t shared = 0;
	int n;

	if (!text)
		abort();
	if (tlb_random_unit(r) < TEMPLATE_SHARE && len > TEMPLATE_BYTES) {
		shared = TEMPLATE_BYTES;
		tlb_random_init(&t, (unsigned)(it->account * TEMPLATES +
					       tlb_random_below(r, TEMPLATES) + 1));
		fill(text, shared, &t);
	}
	/* The serial number makes every prompt, and so every expected output, its own. */
	n = snprintf(text + shared, LABEL_MAX, "request %d of account %d: ", it->serial,
		     it->account + 1);
	shared += (size_t)n;
	if (shared < len)
		fill(text + shared, len - shared, r);
	return text;
}

static char *make_paid(const struct load_item *it, unsigned long seed)
{
	char *text;

	if (asprintf(&text, "{\"order\":\"%lu-%d\",\"account\":%d,\"amount\":%d}", seed, it->serial,
		     it->account + 1, 100 + it->serial % 900) < 0)
		abort();
	return text;
}

static void draw(struct load_item *it, const struct load_mix *m, unsigned long seed,
		 struct tlb_random *r)
{
	int tokens;

	it->kind = (enum load_kind)pick(r, m->share, LOAD_KINDS);
	it->account = pick(r, m->account_share, m->accounts);
	tokens = length(r, m->prompt_median, PROMPT_SIGMA, PROMPT_MIN, m->prompt_max);
	it->max_tokens = length(r, m->output_median, OUTPUT_SIGMA, OUTPUT_MIN, m->output_max);
	if (it->kind == LOAD_PAID)
		it->text = make_paid(it, seed);
	else if (it->kind != LOAD_STATUS)
		it->text = make_prompt(it, tokens, r);
}

void load_plan_init(struct load_plan *p, const struct load_mix *m, unsigned long seed)
{
	struct tlb_random r;
	double at = 0;
	int cap = (int)(m->rate * m->seconds * 2) + 64;

	p->items = calloc((size_t)cap, sizeof(*p->items));
	p->count = 0;
	if (!p->items)
		abort();
	tlb_random_init(&r, seed);
	while (p->count < cap) {
		/* Independent callers: the gaps between arrivals are exponential. */
		at -= log(1 - tlb_random_unit(&r)) / m->rate;
		if (at >= m->seconds)
			break;
		p->items[p->count].at = (tlb_time)(at * TLB_SECOND);
		p->items[p->count].serial = p->count + 1;
		draw(&p->items[p->count], m, seed, &r);
		p->count++;
	}
}

void load_plan_finish(struct load_plan *p)
{
	int i;

	for (i = 0; i < p->count; i++)
		free(p->items[i].text);
	free(p->items);
}
