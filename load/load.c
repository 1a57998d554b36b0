/* toucanlb-load: sends an open-loop mix of requests, generated from a seed, to a fleet and checks
 * every response. */
#include <apr_ring.h>
#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "answer.h"
#include "env.h"
#include "health.h"
#include "plan.h"
#include "report.h"

enum {
	POLL_MS = 50,
	REPEATS_MAX = 8,      /* of a paid call with the same Idempotency-Key */
	FAULTS_SHOWN_MAX = 5, /* wrong or lost responses printed to standard error */
	TEXT_MAX = 512,
};

/* Delay before a paid call with an unknown outcome is sent again. */
#define REPEAT_DELAY (500 * TLB_MS)

struct load_run;

/* A request in progress, from its first attempt to its final result; owned by the run's ring. */
struct load_call {
	APR_RING_ENTRY(load_call) link;
	struct load_run *run;
	const struct load_request *request;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	struct load_answer answer;
	int vm;
	int connect_failures; /* failed connection attempts */
	int repeats;
	tlb_time sent_at;
	tlb_time last_token_at; /* 0 before the first token */
	tlb_time repeat_at; /* when a paid call is sent again; 0 while an attempt is in progress */
};

struct load_run {
	struct load_env env;
	struct load_mix mix;
	struct load_plan plan;
	struct load_report report;
	struct load_health health;
	unsigned long seed;
	long timeout_ms;
	bool json;
	const char *env_path;
	CURLM *multi;
	APR_RING_HEAD(load_call_ring, load_call) calls;
	int next_vm; /* round-robin position */
	int faults_shown;
};

static void on_token(void *arg)
{
	struct load_call *c = arg;
	struct load_stats *f = &c->run->report.account[c->request->account];
	tlb_time now = tlb_clock_now();

	if (c->last_token_at)
		load_samples_add(&f->token_gap, now - c->last_token_at);
	else
		load_samples_add(&f->first_token, now - c->sent_at);
	c->last_token_at = now;
	f->output_tokens++;
}

static size_t on_data(char *data, size_t size, size_t n, void *arg)
{
	struct load_call *c = arg;
	long status = 0;

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	return load_answer_feed(&c->answer, status, data, size * n) ? size * n : 0;
}

static void add_header(struct load_call *c, const char *format, const char *value)
{
	char line[TEXT_MAX + 64];

	snprintf(line, sizeof(line), format, value);
	c->headers = curl_slist_append(c->headers, line);
}

static void add_headers(struct load_call *c)
{
	char text[TEXT_MAX];

	/* In a fleet started by scripts/fleet, account N has the key of account 1 with "-N"
	 * appended. */
	if (c->request->account == 0)
		snprintf(text, sizeof(text), "%s", c->run->env.key);
	else
		snprintf(text, sizeof(text), "%s-%d", c->run->env.key, c->request->account + 1);
	add_header(c, "Authorization: Bearer %s", text);
	add_header(c, "Content-Type: %s", "application/json");
	add_header(c, "Expect:%s", "");
	if (c->request->kind != LOAD_PAID)
		return;
	snprintf(text, sizeof(text), "load-%lu-%d", c->run->seed, c->request->serial);
	add_header(c, "Idempotency-Key: %s", text);
}

static char *make_body(const struct load_call *c)
{
	json_t *j;
	char *text;

	switch (c->request->kind) {
	case LOAD_STATUS:
		return NULL;
	case LOAD_PAID:
		return strdup(c->request->text);
	default:
		j = json_pack("{s:s,s:s,s:i,s:b}", "model", c->run->env.model, "prompt",
			      c->request->text, "max_tokens", c->request->max_tokens, "stream",
			      c->request->kind == LOAD_STREAM);
		text = json_dumps(j, JSON_COMPACT);
		json_decref(j);
		return text;
	}
}

static const char *request_path(const struct load_call *c)
{
	switch (c->request->kind) {
	case LOAD_STATUS:
		return c->run->env.service_path;
	case LOAD_PAID:
		return c->run->env.paid_path;
	default:
		return "/v1/completions";
	}
}

/* Selects the next ready VM in round-robin order, or the next VM if none is ready. */
static int select_vm(struct load_run *r)
{
	int first = r->next_vm;
	int i;

	for (i = 0; i < r->env.vms - 1; i++)
		if (load_health_ready(&r->health, (first + i) % r->env.vms))
			break;
	if (i == r->env.vms - 1 && !load_health_ready(&r->health, (first + i) % r->env.vms))
		i = 0;
	r->next_vm = (first + i + 1) % r->env.vms;
	return (first + i) % r->env.vms;
}

/* Sends the request to a selected VM. */
static void send_attempt(struct load_call *c)
{
	struct load_run *r = c->run;
	char url[TEXT_MAX];

	c->vm = select_vm(r);
	c->repeat_at = 0;
	c->last_token_at = 0;
	load_answer_reset(&c->answer);
	snprintf(url, sizeof(url), "http://%s%s", r->env.caller[c->vm], request_path(c));
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_multi_add_handle(r->multi, c->easy);
}

static void start_call(struct load_run *r, const struct load_request *request)
{
	struct load_call *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->run = r;
	c->request = request;
	c->easy = curl_easy_init();
	c->body = make_body(c);
	load_answer_init(&c->answer, request, on_token, c);
	add_headers(c);
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, r->timeout_ms);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	if (c->body)
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, c->body);
	/* libcurl may silently resend a request on a reused connection; a paid call must be sent
	 * only once per attempt. */
	if (request->kind == LOAD_PAID) {
		curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	APR_RING_INSERT_TAIL(&r->calls, c, load_call, link);
	c->sent_at = tlb_clock_now();
	send_attempt(c);
}

static void end_call(struct load_call *c, const struct load_result *result)
{
	struct load_run *r = c->run;

	load_report_add(&r->report, c->request, result);
	if (result->outcome == LOAD_ANSWERED)
		load_samples_add(&r->report.account[c->request->account].latency,
				 tlb_clock_now() - c->sent_at);
	if ((result->outcome == LOAD_WRONG || result->outcome == LOAD_LOST) &&
	    r->faults_shown++ < FAULTS_SHOWN_MAX)
		fprintf(stderr, "request %d (%s) at %s: %s: %.200s\n", c->request->serial,
			load_kind_name(c->request->kind), r->env.caller[c->vm], result->reason,
			c->answer.body ? c->answer.body : "");
	APR_RING_REMOVE(c, link);
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	load_answer_finish(&c->answer);
	free(c->body);
	free(c);
}

static void check_answer(struct load_call *c, CURLcode code, struct load_result *result)
{
	long status = 0;

	memset(result, 0, sizeof(*result));
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK) {
		load_answer_check(&c->answer, status, c->run->env.service_path, result);
	} else if (code == CURLE_OPERATION_TIMEDOUT) {
		result->outcome = LOAD_LOST;
		snprintf(result->reason, sizeof(result->reason), "no final answer within %ld ms",
			 c->run->timeout_ms);
	} else {
		load_answer_check_interrupted(&c->answer, curl_easy_strerror(code), result);
	}
}

/* A paid call with an unknown outcome is sent again with the same Idempotency-Key. */
static bool needs_repeat(const struct load_call *c, const struct load_result *result)
{
	return c->request->kind == LOAD_PAID && c->repeats < REPEATS_MAX &&
	       (result->outcome == LOAD_UNKNOWN || result->outcome == LOAD_LOST);
}

static void finish_attempt(struct load_call *c, CURLcode code)
{
	struct load_run *r = c->run;
	struct load_result result;

	curl_multi_remove_handle(r->multi, c->easy);
	if (code == CURLE_COULDNT_CONNECT && ++c->connect_failures < r->env.vms) {
		r->report.retried++;
		send_attempt(c);
		return;
	}
	check_answer(c, code, &result);
	if (needs_repeat(c, &result)) {
		c->repeats++;
		r->report.repeated++;
		c->repeat_at = tlb_clock_now() + REPEAT_DELAY;
		return;
	}
	end_call(c, &result);
}

static void process_results(struct load_run *r)
{
	struct load_call *c;
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(r->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		finish_attempt(c, m->data.result);
	}
}

static void start_repeats(struct load_run *r, tlb_time now)
{
	struct load_call *c;

	APR_RING_FOREACH (c, &r->calls, load_call, link) {
		if (c->repeat_at && now >= c->repeat_at)
			send_attempt(c);
	}
}

static int poll_timeout_ms(tlb_time now, tlb_time next)
{
	if (next <= now)
		return 0;
	return next - now > POLL_MS * TLB_MS ? POLL_MS : (int)((next - now) / TLB_MS);
}

static void run(struct load_run *r)
{
	tlb_time start = tlb_clock_now();
	tlb_time now = start;
	tlb_time next;
	int sent = 0;
	int running;

	while (sent < r->plan.count || !APR_RING_EMPTY(&r->calls, load_call, link)) {
		while (sent < r->plan.count && start + r->plan.requests[sent].send_at <= now)
			start_call(r, &r->plan.requests[sent++]);
		start_repeats(r, now);
		load_health_poll(&r->health);
		curl_multi_perform(r->multi, &running);
		process_results(r);
		now = tlb_clock_now();
		next = sent < r->plan.count ? start + r->plan.requests[sent].send_at : TLB_NEVER;
		curl_multi_poll(r->multi, NULL, 0, poll_timeout_ms(now, next), NULL);
		now = tlb_clock_now();
	}
	r->report.seconds = (double)(tlb_clock_now() - start) / TLB_SECOND;
}

/* --- options --- */

enum {
	KEY_FIRST = 256,
	KEY_RATE,
	KEY_SECONDS,
	KEY_SEED,
	KEY_MIX,
	KEY_JSON,
	KEY_ACCOUNTS,
	KEY_PROMPT,
	KEY_PROMPT_MAX,
	KEY_OUTPUT,
	KEY_TIMEOUT,
	KEY_ENV
};

static const struct argp_option options[] = {
	{"env", KEY_ENV, "FILE", 0, "the fleet.env of the fleet", 0},
	{"rate", KEY_RATE, "N", 0, "requests per second (20)", 0},
	{"seconds", KEY_SECONDS, "N", 0, "length of the sending phase in seconds (10)", 0},
	{"seed", KEY_SEED, "N", 0, "random seed of the plan (1)", 0},
	{"mix", KEY_MIX, "LIST", 0,
	 "relative shares of the kinds (completions=2,stream=3,status=3,paid=2)", 0},
	{"accounts", KEY_ACCOUNTS, "N", 0, "send as account-1 to account-N (5)", 0},
	{"prompt-median", KEY_PROMPT, "TOKENS", 0, "median length of a prompt (1500)", 0},
	{"prompt-max", KEY_PROMPT_MAX, "TOKENS", 0, "longest prompt (30000)", 0},
	{"output-median", KEY_OUTPUT, "TOKENS", 0, "median of max_tokens (40)", 0},
	{"timeout-ms", KEY_TIMEOUT, "MS", 0,
	 "a request without a final answer by then counts as lost (30000)", 0},
	{"json", KEY_JSON, NULL, 0, "print the report as JSON", 0},
	{NULL, 0, NULL, 0, NULL, 0},
};

static bool parse_number(const char *text, double min, double max, double *out)
{
	char *end;

	*out = strtod(text, &end);
	return end != text && !*end && *out >= min && *out <= max;
}

static bool set_number(struct load_run *r, int key, const char *arg)
{
	double n;

	switch (key) {
	case KEY_RATE:
		return parse_number(arg, 0.001, 100000, &r->mix.rate);
	case KEY_SECONDS:
		return parse_number(arg, 0.001, 86400, &r->mix.seconds);
	default:
		break;
	}
	if (!parse_number(arg, 1, 1e9, &n))
		return false;
	switch (key) {
	case KEY_SEED:
		r->seed = (unsigned long)n;
		return true;
	case KEY_ACCOUNTS:
		r->mix.accounts = (int)n;
		return n <= LOAD_ACCOUNTS_MAX;
	case KEY_PROMPT:
		r->mix.prompt_median = (int)n;
		return true;
	case KEY_PROMPT_MAX:
		r->mix.prompt_max = (int)n;
		return true;
	case KEY_OUTPUT:
		r->mix.output_median = (int)n;
		return true;
	default:
		r->timeout_ms = (long)n;
		return true;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct load_run *r = state->input;

	switch (key) {
	case KEY_ENV:
		r->env_path = arg;
		return 0;
	case KEY_JSON:
		r->json = true;
		return 0;
	case KEY_MIX:
		if (!load_mix_parse(&r->mix, arg))
			argp_error(state, "--mix: \"%s\" is not a list of kind=share", arg);
		return 0;
	case ARGP_KEY_ARG:
		return ARGP_ERR_UNKNOWN;
	case ARGP_KEY_END:
		if (!r->env_path)
			argp_error(state, "--env is required");
		return 0;
	default:
		if (key <= KEY_FIRST || key > KEY_TIMEOUT)
			return ARGP_ERR_UNKNOWN;
		if (!set_number(r, key, arg))
			argp_error(state, "\"%s\" is out of range", arg);
		return 0;
	}
}

static void print_report(struct load_run *r)
{
	json_t *j;

	if (!r->json) {
		load_report_print(&r->report, stdout);
		return;
	}
	j = load_report_json(&r->report);
	json_dumpf(j, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(j);
}

/* Returns 1 if a response was lost or wrong, otherwise 0. */
static int exit_status(const struct load_run *r)
{
	int i;

	for (i = 0; i < r->report.accounts; i++)
		if (r->report.account[i].outcome[LOAD_LOST] ||
		    r->report.account[i].outcome[LOAD_WRONG])
			return 1;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Sends a seeded mix of requests to a fleet and checks every answer."
		       "\vExit status: 0; 1 if an answer was lost, wrong or doubled; 2 if the "
		       "file of --env cannot be used.",
	};
	static struct load_run r = {
		.mix = {.share = {2, 3, 3, 2},
			.account_share = {4, 4, 2, 1, 1},
			.accounts = LOAD_ACCOUNTS_MAX,
			.rate = 20,
			.seconds = 10,
			.prompt_median = 1500,
			.prompt_max = 30000,
			.output_median = 40,
			.output_max = 256},
		.seed = 1,
		.timeout_ms = 30000,
	};
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &r);
	if (!load_env_read(&r.env, r.env_path)) {
		load_env_finish(&r.env);
		return 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	APR_RING_INIT(&r.calls, load_call, link);
	load_plan_init(&r.plan, &r.mix, r.seed);
	load_report_init(&r.report, r.mix.accounts);
	load_health_init(&r.health, &r.env);
	r.multi = curl_multi_init();
	run(&r);
	print_report(&r);
	status = exit_status(&r);
	curl_multi_cleanup(r.multi);
	load_health_finish(&r.health);
	load_report_finish(&r.report);
	load_plan_finish(&r.plan);
	load_env_finish(&r.env);
	curl_global_cleanup();
	return status;
}
