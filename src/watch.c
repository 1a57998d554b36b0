#include "watch.h"

#include <stdio.h>
#include <string.h>

#include "log.h"

#define MIN_BACKOFF (100 * TLB_MS)
/* Shorter than the time within which a change must be applied, so that the end of an outage is
 * noticed early enough. */
#define MAX_BACKOFF (800 * TLB_MS)

static void start_next_call(void *arg);

/* Doubled in a large fleet: with more VMs polling, one of them soon notices the end of an outage,
 * and the others receive changes from it. */
static tlb_time max_backoff(const struct tlb_watcher *w)
{
	return w->vms > TLB_WATCH_SMALL_FLEET_VMS ? 2 * MAX_BACKOFF : MAX_BACKOFF;
}

/* Schedules the next call after so many attempts without progress. */
static void schedule_retry(struct tlb_watcher *w, int attempts)
{
	tlb_time delay = MIN_BACKOFF;
	int i;

	for (i = 1; i < attempts && delay < max_backoff(w); i++)
		delay *= 2;
	if (delay > max_backoff(w))
		delay = max_backoff(w);
	delay = (tlb_time)((double)delay * (0.5 + tlb_random_unit(&w->random) / 2));
	tlb_timer_set(w->store->http->loop, &w->timer, tlb_clock_now() + delay);
}

static void record_failure(struct tlb_watcher *w, const char *reason)
{
	if (w->failures++ == 0)
		tlb_log_warn("event=store_lost table=%s version=%lld reason=\"%s\"", w->table,
			     (long long)tlb_stored_number(w->version), reason);
	schedule_retry(w, w->failures);
}

static void record_success(struct tlb_watcher *w)
{
	w->last_success_at = tlb_clock_now();
	if (w->failures == 0)
		return;
	tlb_log_info("event=store_regained table=%s version=%lld failures=%d", w->table,
		     (long long)tlb_stored_number(w->version), w->failures);
	w->failures = 0;
	w->recovered_at = w->last_success_at;
}

static void deliver_rows(struct tlb_watcher *w, const struct tlb_stored_rows *rows)
{
	int i;

	if (rows->unreadable > 0)
		tlb_log_warn("event=store_rows_ignored table=%s version=%lld rows=%d", w->table,
			     (long long)rows->version, rows->unreadable);
	for (i = 0; i < rows->count; i++)
		w->handlers.on_row(w->handlers.arg, &rows->rows[i]);
}

static void handle_page(struct tlb_watcher *w, const struct tlb_stored_rows *rows)
{
	if (w->place.len == 0) {
		w->listing_version = rows->version;
		w->handlers.on_list_begin(w->handlers.arg);
	}
	deliver_rows(w, rows);
	if (rows->more) {
		w->place = rows->next;
		return;
	}
	w->place.len = 0;
	w->version = w->listing_version;
	w->state = TLB_WATCH_FOLLOWING;
	w->listed = true;
	w->handlers.on_list_complete(w->handlers.arg);
	w->handlers.on_progress(w->handlers.arg, w->version);
}

static void handle_changes(struct tlb_watcher *w, const struct tlb_stored_rows *rows)
{
	w->restarts = 0;
	deliver_rows(w, rows);
	if (rows->version > w->version)
		w->version = rows->version;
	w->handlers.on_progress(w->handlers.arg, w->version);
}

static void restart_listing(struct tlb_watcher *w)
{
	tlb_log_info("event=store_relist table=%s version=%lld", w->table,
		     (long long)tlb_stored_number(w->version));
	w->state = TLB_WATCH_LISTING;
	w->place.len = 0;
	/* A store that keeps no history would be listed without end. */
	if (w->restarts++ == 0)
		start_next_call(w);
	else
		schedule_retry(w, w->restarts - 1);
}

/* Changes come in bursts. In a large fleet, one call per change from every VM would overload the
 * store, so after a change the next call is delayed in proportion to the fleet. */
static void schedule_follow(struct tlb_watcher *w, bool changed)
{
	tlb_time delay = changed && w->vms > TLB_WATCH_SMALL_FLEET_VMS
				 ? TLB_WATCH_BATCH_DELAY_PER_VM * w->vms
				 : 0;

	if (changed && delay < w->min_batch_delay)
		delay = w->min_batch_delay;
	if (delay > TLB_WATCH_MAX_BATCH_DELAY)
		delay = TLB_WATCH_MAX_BATCH_DELAY;
	tlb_timer_set(w->store->http->loop, &w->timer, tlb_clock_now() + delay);
}

/* Whether the response continues what is known: its listing, or the changes so far, are of the same
 * era. */
static bool continues(const struct tlb_watcher *w, const struct tlb_stored_rows *rows)
{
	int64_t era = tlb_stored_era(rows->version);

	switch (w->state) {
	case TLB_WATCH_LISTING:
		return w->place.len == 0 || era == tlb_stored_era(w->listing_version);
	case TLB_WATCH_FOLLOWING:
		return era == tlb_stored_era(w->version);
	}
	return false;
}

/* Whether a page ends the listing or ends behind the place where it began: else it would be asked
 * for again without end. Rows after it would count as removed if the listing ended here. */
static bool moves_on(const struct tlb_watcher *w, const struct tlb_stored_rows *rows)
{
	return !rows->more || tlb_stored_key_compare(&rows->next, &w->place) > 0;
}

static void on_response(void *arg, enum tlb_rowstore_status status,
			const struct tlb_stored_rows *rows, const char *reason)
{
	struct tlb_watcher *w = arg;

	if (status == TLB_ROWS_EXPIRED) {
		record_success(w);
		restart_listing(w);
		return;
	}
	if (status != TLB_ROWS_OK) {
		record_failure(w, reason);
		return;
	}
	if (w->state == TLB_WATCH_LISTING && !moves_on(w, rows)) {
		record_failure(w, "a page of the listing does not move on");
		return;
	}
	record_success(w);
	if (!continues(w, rows)) {
		restart_listing(w);
		return;
	}
	switch (w->state) {
	case TLB_WATCH_LISTING:
		handle_page(w, rows);
		if (!w->paused)
			start_next_call(w);
		break;
	case TLB_WATCH_FOLLOWING:
		handle_changes(w, rows);
		if (!w->paused)
			schedule_follow(w, rows->count > 0);
		break;
	}
}

/* After a failure the store is asked to answer at once: a call that is lost in an outage would
 * otherwise hide its end for the whole wait. */
static int wait_ms(const struct tlb_watcher *w)
{
	int ms = TLB_WATCH_POLL_WAIT_MS;

	if (w->failures > 0)
		return 0;
	if (w->vms > TLB_WATCH_SMALL_FLEET_VMS)
		ms = TLB_WATCH_POLL_WAIT_MS * w->vms / TLB_WATCH_SMALL_FLEET_VMS;
	return ms < TLB_WATCH_MAX_POLL_WAIT_MS ? ms : TLB_WATCH_MAX_POLL_WAIT_MS;
}

static void start_next_call(void *arg)
{
	struct tlb_watcher *w = arg;

	switch (w->state) {
	case TLB_WATCH_LISTING:
		if (w->place.len == 0)
			w->listing_era = w->store->era;
		tlb_rowstore_list(w->store, &w->op, w->table, &w->place, on_response, w);
		break;
	case TLB_WATCH_FOLLOWING:
		tlb_rowstore_follow(w->store, &w->op, w->table, w->version, wait_ms(w), on_response,
				    w);
		break;
	}
}

static bool is_in_era(const struct tlb_watcher *w, int64_t era)
{
	switch (w->state) {
	case TLB_WATCH_LISTING:
		if (w->place.len > 0)
			return tlb_stored_era(w->listing_version) == era;
		return w->listing_era == era;
	case TLB_WATCH_FOLLOWING:
		return tlb_stored_era(w->version) == era;
	}
	return false;
}

/* A call in progress may wait for changes after a version that the store no longer has. */
static void on_new_era(void *arg)
{
	struct tlb_watcher *w = arg;

	if (w->paused || is_in_era(w, w->store->era))
		return;
	tlb_rowstore_cancel(&w->op);
	tlb_timer_clear(w->store->http->loop, &w->timer);
	restart_listing(w);
}

void tlb_watcher_init(struct tlb_watcher *w, struct tlb_rowstore *store, const char *table,
		      const struct tlb_watcher_handlers *handlers, uint64_t seed)
{
	memset(w, 0, sizeof(*w));
	w->store = store;
	w->table = table;
	w->handlers = *handlers;
	tlb_random_init(&w->random, seed);
	tlb_timer_init(&w->timer, start_next_call, w);
	w->paused = true;
	w->observer = (struct tlb_rowstore_observer){.on_new_era = on_new_era, .arg = w};
	tlb_rowstore_observe(store, &w->observer);
}

void tlb_watcher_finish(struct tlb_watcher *w)
{
	tlb_rowstore_unobserve(&w->observer);
	tlb_timer_clear(w->store->http->loop, &w->timer);
	tlb_rowstore_cancel(&w->op);
}

void tlb_watcher_pause(struct tlb_watcher *w)
{
	w->paused = true;
	tlb_rowstore_cancel(&w->op);
	tlb_timer_clear(w->store->http->loop, &w->timer);
}

void tlb_watcher_resume(struct tlb_watcher *w, int64_t version, bool outage)
{
	bool current = version > 0 && tlb_stored_era(version) >= w->store->era;

	w->paused = false;
	w->place.len = 0;
	w->state = current ? TLB_WATCH_FOLLOWING : TLB_WATCH_LISTING;
	w->listed = version > 0;
	if (version > w->version)
		w->version = version;
	if (outage && w->failures == 0)
		w->failures = 1;
	tlb_timer_set(w->store->http->loop, &w->timer, tlb_clock_now());
}

void tlb_watcher_skip_listing(struct tlb_watcher *w, int64_t version)
{
	if (w->paused || w->state != TLB_WATCH_LISTING || w->place.len == 0)
		return;
	tlb_watcher_pause(w);
	tlb_watcher_resume(w, version, false);
}

bool tlb_watcher_store_reachable(const struct tlb_watcher *w, tlb_time now)
{
	return !w->paused && w->listed && w->failures == 0 &&
	       now < w->last_success_at + wait_ms(w) * TLB_MS + TLB_ROWSTORE_RESPONSE_MARGIN;
}
