/* standin-weights: the weight store; GET /weights/NAME over a link that all downloads share. */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "link.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct standin_rate read_rate;
static struct standin_link weights_link;
static int64_t reads_per_second = 100;
static int64_t mbps = 1000;
static int64_t size_bytes = 1 << 20;

static const struct standin_option options[] = {
	{.name = "read-rate", .number = &reads_per_second},
	{.name = "link-mbps", .number = &mbps},
	{.name = "size-bytes", .number = &size_bytes},
	{.name = NULL},
};

struct download {
	double link_begin;
	int64_t sent;
};

static ssize_t download_next(void *arg, struct standin_request *rq, char *buf, size_t max)
{
	struct download *d = arg;
	int64_t n = size_bytes - d->sent;

	if (n > (int64_t)max)
		n = (int64_t)max;
	if (n == 0)
		return 0;
	d->sent += n;
	if (!standin_link_wait(&weights_link, rq, d->link_begin, d->sent, NULL))
		return -1;
	memset(buf, 'w', n);
	return n;
}

static void download_free(void *arg)
{
	standin_link_end(&weights_link);
	free(arg);
}

static void handle(struct standin_request *rq)
{
	struct download *d;
	bool ok;

	if (strcmp(rq->method, "GET") != 0 || strncmp(rq->path, "/weights/", 9) != 0)
		return;
	pthread_mutex_lock(&lock);
	ok = standin_rate_acquire(&read_rate);
	pthread_mutex_unlock(&lock);
	if (!ok) {
		standin_reply_error(rq, MHD_HTTP_TOO_MANY_REQUESTS, "rate");
		return;
	}
	d = calloc(1, sizeof(*d));
	if (!d)
		abort();
	d->link_begin = standin_link_begin(&weights_link);
	standin_reply_stream(rq, "application/octet-stream", download_next, download_free, d);
}

static bool start(void)
{
	standin_rate_init(&read_rate, reads_per_second);
	standin_link_init(&weights_link, mbps);
	return true;
}

static const struct standin_program program = {
	.name = "standin-weights",
	.options = options,
	.handle = handle,
	.start = start,
};

int main(int argc, char **argv)
{
	return standin_main(argc, argv, &program);
}
