#include "routing_load.h"

#include <string.h>

#include "http.h"
#include "log.h"

/* A configuration arrives in an answer of the store, so it is not larger than one. */
enum { TEXT_MAX_BYTES = TLB_HTTP_BODY_MAX };

static void begin(struct tlb_routing_load *l)
{
	l->reading = true;
	l->text = l->waiting[0].text;
	l->source = l->waiting[0].source;
	l->waiting_count--;
	memmove(l->waiting, l->waiting + 1, (size_t)l->waiting_count * sizeof(l->waiting[0]));
	l->started_at = tlb_clock_now();
	tlb_routing_reader_init(&l->reader, l->text.data, l->text.len, *l->in_force);
	tlb_job_start(l->loop, &l->job);
}

static void end(struct tlb_routing_load *l, enum tlb_read_state state)
{
	struct tlb_routing *r = state == TLB_READ_DONE ? tlb_routing_reader_take(&l->reader) : NULL;
	struct tlb_error err = l->reader.err;

	tlb_log_info("event=routing_read source=%s bytes=%zu parsed=%d shared=%d ms=%lld",
		     l->source, l->text.len, l->reader.parsed_routes, l->reader.shared_routes,
		     (long long)((tlb_clock_now() - l->started_at) / TLB_MS));
	tlb_routing_reader_finish(&l->reader);
	tlb_buffer_finish(&l->text);
	l->reading = false;
	l->on_loaded(l->arg, r, &err);
	if (l->waiting_count > 0 && !l->reading)
		begin(l);
}

static bool read_slice(void *arg, tlb_time slice_deadline)
{
	struct tlb_routing_load *l = arg;
	enum tlb_read_state state = tlb_routing_reader_step(&l->reader, slice_deadline);

	if (state == TLB_READ_MORE)
		return true;
	end(l, state);
	return false;
}

void tlb_routing_load_init(struct tlb_routing_load *l, struct tlb_loop *loop,
			   struct tlb_routing **in_force, tlb_routing_loaded_fn *on_loaded,
			   void *arg)
{
	memset(l, 0, sizeof(*l));
	l->loop = loop;
	l->in_force = in_force;
	l->on_loaded = on_loaded;
	l->arg = arg;
	tlb_job_init(&l->job, read_slice, l);
}

void tlb_routing_load_finish(struct tlb_routing_load *l)
{
	tlb_job_cancel(&l->job);
	tlb_routing_reader_finish(&l->reader);
	tlb_buffer_finish(&l->text);
	while (l->waiting_count > 0)
		tlb_buffer_finish(&l->waiting[--l->waiting_count].text);
}

void tlb_routing_load_start(struct tlb_routing_load *l, const char *text, size_t len,
			    const char *source, bool restored)
{
	struct tlb_buffer copy = {0};

	if (!tlb_buffer_append(&copy, text, len, TEXT_MAX_BYTES)) {
		tlb_log_error("event=routing_not_read bytes=%zu reason=\"no memory\"", len);
		return;
	}
	if (l->waiting_count == TLB_ROUTING_WAITING_MAX || (l->waiting_count > 0 && !restored))
		tlb_buffer_finish(&l->waiting[--l->waiting_count].text);
	l->waiting[l->waiting_count++] = (struct tlb_waiting_routing){copy, source};
	if (!l->reading)
		begin(l);
}
