/* standin-service: a plain service that counts executions by idempotency key and body. */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "control.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *reads;	/* path -> count */
static json_t *by_key;	/* Idempotency-Key -> executions */
static json_t *by_body; /* body hash -> executions */
static json_int_t executions;
static int64_t work_ms;

static const struct standin_option options[] = {
	{.name = "work-ms", .number = &work_ms},
	{.name = NULL},
};

static json_int_t count_up(json_t *counts, const char *name)
{
	json_int_t n = json_integer_value(json_object_get(counts, name)) + 1;

	json_object_set_new(counts, name, json_integer(n));
	return n;
}

static void handle_get(struct standin_request *rq)
{
	json_int_t n;

	pthread_mutex_lock(&lock);
	n = count_up(reads, rq->path);
	pthread_mutex_unlock(&lock);
	standin_reply(rq, MHD_HTTP_OK, json_pack("{s:s, s:I}", "path", rq->path, "count", n));
}

static void execute(struct standin_request *rq)
{
	const char *key = standin_header(rq, "Idempotency-Key");
	char hash[17];
	json_int_t n;

	snprintf(hash, sizeof(hash), "%016" PRIx64,
		 standin_hash(STANDIN_HASH_START, rq->body, rq->body_len));
	pthread_mutex_lock(&lock);
	executions++;
	if (key)
		count_up(by_key, key);
	n = count_up(by_body, hash);
	pthread_mutex_unlock(&lock);
	standin_reply(rq, MHD_HTTP_OK, json_pack("{s:I, s:s}", "executed", n, "body_hash", hash));
}

static void handle(struct standin_request *rq)
{
	/* A started execution completes even if the caller disconnects. */
	if (work_ms)
		standin_wait(rq, tlb_clock_now() + work_ms * TLB_MS);
	if (strcmp(rq->method, "GET") == 0 || strcmp(rq->method, "HEAD") == 0)
		handle_get(rq);
	else
		execute(rq);
}

static void add_state(json_t *state)
{
	pthread_mutex_lock(&lock);
	json_object_set_new(state, "executions",
			    json_pack("{s:I, s:o, s:o}", "total", executions, "by_key",
				      json_deep_copy(by_key), "by_body", json_deep_copy(by_body)));
	pthread_mutex_unlock(&lock);
}

static bool start(void)
{
	reads = json_object();
	by_key = json_object();
	by_body = json_object();
	return true;
}

static const struct standin_program program = {
	.name = "standin-service",
	.options = options,
	.handle = handle,
	.state = add_state,
	.start = start,
};

int main(int argc, char **argv)
{
	return standin_main(argc, argv, &program);
}
