#include "release.h"

#include <stdio.h>
#include <stdlib.h>

#include "instance_notice.h"
#include "log.h"

#define RELEASE_TIMEOUT (1000 * TLB_MS)

/* One DELETE request in flight. Freed when it ends. */
struct release {
	struct tlb_http_call call;
	struct tlb_instance *instance; /* a reference */
	char target[256];
};

static void log_failure(const struct release *r, int status, const char *reason)
{
	tlb_log_info("event=release_failed instance=%s target=%s status=%d reason=\"%s\"",
		     r->instance->row.id, r->target, status, reason);
}

static void on_released(void *arg, const struct tlb_http_result *res)
{
	struct release *r = arg;

	tlb_instance_notice_read(r->instance, res->status, res->head);
	if (res->status != 200)
		log_failure(r, res->status, res->reason);
	tlb_instance_release(r->instance);
	free(r);
}

void tlb_release_send(struct tlb_http *http, struct tlb_instance *i, const char *target)
{
	struct release *r = calloc(1, sizeof(*r));
	struct tlb_http_spec spec = {
		.method = "DELETE",
		.deadline = tlb_clock_now() + RELEASE_TIMEOUT,
		.on_done = on_released,
		.arg = r,
	};

	/* The endpoint wants no calls, and what it keeps expires within seconds. */
	if (tlb_clock_now() < i->backoff_until) {
		free(r);
		return;
	}
	if (!r)
		return;
	tlb_instance_acquire(i);
	r->instance = i;
	snprintf(r->target, sizeof(r->target), "%s", target);
	tlb_instance_call(i, http, &r->call, &spec, target, NULL);
}
