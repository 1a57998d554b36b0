#include "plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	TOKEN_BYTES = 4,
	PROMPT_TOKENS_MIN = 16,
	OUTPUT_TOKENS_MIN = 4,
	TEMPLATES_PER_ACCOUNT = 4, /* shared prompt prefixes per account */
	TEMPLATE_BYTES = 4096,
	LABEL_MAX = 96,
};

/* Standard deviations of the logarithm of a length: prompts range from tens to tens of thousands of
 * tokens. */
#define PROMPT_SIGMA 1.2
#define OUTPUT_SIGMA 0.6
/* Fraction of prompts that start with one of their account's templates. */
#define TEMPLATE_SHARE 0.5

static const char *const kind_names[LOAD_KIND_COUNT] = {
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

	for (i = 0; i < LOAD_KIND_COUNT; i++) {
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

static int draw_index(struct tlb_random *r, const double *shares, int n)
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

/* Draws a log-normally distributed length (Box-Muller transform), clamped to [min, max]. */
static int draw_length(struct tlb_random *r, int median, double sigma, int min, int max)
{
	double u = 1 - tlb_random_unit(r);
	double v = tlb_random_unit(r);
	double normal = sqrt(-2 * log(u)) * cos(2 * M_PI * v);
	double n = median * exp(sigma * normal);

	if (n < min)
		return min;
	return n > max ? max : (int)n;
}

static void fill_random(char *text, size_t len, struct tlb_random *r)
{
	static const char letters[] = "abcdefghijklmnopqrstuvwxyz      ";
	size_t i;

	for (i = 0; i < len; i++)
		text[i] = letters[tlb_random_below(r, sizeof(letters) - 1)];
}

static char *make_prompt(const struct load_request *request, int tokens, struct tlb_random *r)
{
	size_t len = (size_t)tokens * TOKEN_BYTES;
	char *text = calloc(1, len + LABEL_MAX);
	struct tlb_random template_random;
	size_t written = 0;
	int n;

	if (!text)
		abort();
	if (tlb_random_unit(r) < TEMPLATE_SHARE && len > TEMPLATE_BYTES) {
		written = TEMPLATE_BYTES;
		tlb_random_init(&template_random,
				(unsigned)(request->account * TEMPLATES_PER_ACCOUNT +
					   tlb_random_below(r, TEMPLATES_PER_ACCOUNT) + 1));
		fill_random(text, written, &template_random);
	}
	/* The serial number makes every prompt, and hence every expected output, unique. */
	n = snprintf(text + written, LABEL_MAX, "request %d of account %d: ", request->serial,
		     request->account + 1);
	written += (size_t)n;
	if (written < len)
		fill_random(text + written, len - written, r);
	return text;
}

static char *make_paid_body(const struct load_request *request, unsigned long seed)
{
	char *text;

	if (asprintf(&text, "{\"order\":\"%lu-%d\",\"account\":%d,\"amount\":%d}", seed,
		     request->serial, request->account + 1, 100 + request->serial % 900) < 0)
		abort();
	return text;
}

static void draw_request(struct load_request *request, const struct load_mix *m, unsigned long seed,
			 struct tlb_random *r)
{
	int tokens;

	request->kind = (enum load_kind)draw_index(r, m->share, LOAD_KIND_COUNT);
	request->account = draw_index(r, m->account_share, m->accounts);
	tokens = draw_length(r, m->prompt_median, PROMPT_SIGMA, PROMPT_TOKENS_MIN, m->prompt_max);
	request->max_tokens =
		draw_length(r, m->output_median, OUTPUT_SIGMA, OUTPUT_TOKENS_MIN, m->output_max);
	if (request->kind == LOAD_PAID)
		request->text = make_paid_body(request, seed);
	else if (request->kind != LOAD_STATUS)
		request->text = make_prompt(request, tokens, r);
}

void load_plan_init(struct load_plan *p, const struct load_mix *m, unsigned long seed)
{
	struct tlb_random r;
	double at = 0;
	int cap = (int)(m->rate * m->seconds * 2) + 64;

	p->requests = calloc((size_t)cap, sizeof(*p->requests));
	p->count = 0;
	if (!p->requests)
		abort();
	tlb_random_init(&r, seed);
	while (p->count < cap) {
		/* Independent callers form a Poisson process: exponential inter-arrival times. */
		at -= log(1 - tlb_random_unit(&r)) / m->rate;
		if (at >= m->seconds)
			break;
		p->requests[p->count].send_at = (tlb_time)(at * TLB_SECOND);
		p->requests[p->count].serial = p->count + 1;
		draw_request(&p->requests[p->count], m, seed, &r);
		p->count++;
	}
}

void load_plan_finish(struct load_plan *p)
{
	int i;

	for (i = 0; i < p->count; i++)
		free(p->requests[i].text);
	free(p->requests);
}
