/* standin-object: an object store; PUT, GET and DELETE of /o/NAME with limited rates. */
#include <pthread.h>
#include <string.h>

#include "control.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *objects; /* name -> bytes, as a string that need not be UTF-8 */
static struct standin_rate write_rate;
static struct standin_rate read_rate;
static int64_t writes_per_second = 600;
static int64_t reads_per_second = 2000;

static const struct standin_option options[] = {
	{.name = "write-rate", .number = &writes_per_second},
	{.name = "read-rate", .number = &reads_per_second},
	{.name = NULL},
};

static void handle_get(struct standin_request *rq, const char *name)
{
	json_t *object = json_object_get(objects, name);

	if (!standin_rate_acquire(&read_rate))
		standin_reply_error(rq, MHD_HTTP_TOO_MANY_REQUESTS, "rate");
	else if (object)
		standin_reply_bytes(rq, MHD_HTTP_OK, json_string_value(object),
				    json_string_length(object));
	else
		standin_reply_error(rq, MHD_HTTP_NOT_FOUND, "absent");
}

static void handle_write(struct standin_request *rq, const char *name)
{
	if (!standin_rate_acquire(&write_rate)) {
		standin_reply_error(rq, MHD_HTTP_TOO_MANY_REQUESTS, "rate");
		return;
	}
	if (strcmp(rq->method, "PUT") == 0)
		json_object_set_new_nocheck(objects, name,
					    json_stringn_nocheck(rq->body, rq->body_len));
	else
		json_object_del(objects, name);
	standin_reply(rq, MHD_HTTP_OK, json_object());
}

static void handle(struct standin_request *rq)
{
	const char *name = rq->path + strlen("/o/");

	if (strncmp(rq->path, "/o/", strlen("/o/")) != 0)
		return;
	pthread_mutex_lock(&lock);
	if (strcmp(rq->method, "GET") == 0)
		handle_get(rq, name);
	else if (strcmp(rq->method, "PUT") == 0 || strcmp(rq->method, "DELETE") == 0)
		handle_write(rq, name);
	else
		standin_reply_error(rq, MHD_HTTP_METHOD_NOT_ALLOWED, "method");
	pthread_mutex_unlock(&lock);
}

static void add_state(json_t *state)
{
	pthread_mutex_lock(&lock);
	json_object_set_new(state, "objects", json_integer((json_int_t)json_object_size(objects)));
	pthread_mutex_unlock(&lock);
}

static bool start(void)
{
	objects = json_object();
	standin_rate_init(&write_rate, writes_per_second);
	standin_rate_init(&read_rate, reads_per_second);
	return true;
}

static const struct standin_program program = {
	.name = "standin-object",
	.options = options,
	.handle = handle,
	.state = add_state,
	.start = start,
};

int main(int argc, char **argv)
{
	return standin_main(argc, argv, &program);
}
