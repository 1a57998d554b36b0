#include "replica.h"

#include <stdlib.h>
#include <string.h>

#include "deflate.h"

void tlb_replica_init(struct tlb_replica *r)
{
	*r = (struct tlb_replica){0};
	APR_RING_INIT(&r->rows, tlb_replica_row, link);
}

static void drop_deflated(struct tlb_replica_row *e)
{
	free(e->deflated);
	e->deflated = NULL;
	e->deflated_len = 0;
}

static void free_row(struct tlb_replica_row *e)
{
	APR_RING_REMOVE(e, link);
	drop_deflated(e);
	free(e->row.value);
	free(e);
}

void tlb_replica_finish(struct tlb_replica *r)
{
	while (!APR_RING_EMPTY(&r->rows, tlb_replica_row, link))
		free_row(APR_RING_FIRST(&r->rows));
}

static struct tlb_replica_row *find_row(const struct tlb_replica *r, const char *key)
{
	struct tlb_replica_row *e;

	APR_RING_FOREACH (e, &r->rows, tlb_replica_row, link) {
		if (strcmp(e->row.key, key) == 0)
			return e;
	}
	return NULL;
}

static void forget_oldest_tombstone(struct tlb_replica *r)
{
	struct tlb_replica_row *oldest = NULL;
	struct tlb_replica_row *e;

	APR_RING_FOREACH (e, &r->rows, tlb_replica_row, link) {
		if (e->row.removed && (!oldest || e->row.version < oldest->row.version))
			oldest = e;
	}
	if (!oldest)
		return;
	if (oldest->row.version > r->forgotten_version)
		r->forgotten_version = oldest->row.version;
	r->tombstones--;
	free_row(oldest);
}

static struct tlb_replica_row *add_row(struct tlb_replica *r, const char *key)
{
	struct tlb_replica_row *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	strcpy(e->row.key, key);
	APR_RING_INSERT_TAIL(&r->rows, e, tlb_replica_row, link);
	return e;
}

static void set_version(struct tlb_replica *r, struct tlb_replica_row *e, int64_t version)
{
	e->row.version = version;
	if (version > r->rows_version)
		r->rows_version = version;
}

static void make_tombstone(struct tlb_replica *r, struct tlb_replica_row *e, int64_t version,
			   tlb_time use_deadline)
{
	free(e->row.value);
	e->row.value = NULL;
	e->row.len = 0;
	drop_deflated(e);
	r->tombstones += !e->row.removed;
	e->row.removed = true;
	e->use_deadline = use_deadline;
	set_version(r, e, version);
}

static bool has_value(const struct tlb_replica_row *e, const struct tlb_stored_row *row)
{
	return !e->row.removed && !row->removed && e->row.len == row->len &&
	       memcmp(e->row.value, row->value, row->len) == 0;
}

const struct tlb_replica_row *
tlb_replica_put(struct tlb_replica *r, const struct tlb_stored_row *row, tlb_time use_deadline)
{
	struct tlb_replica_row *e = find_row(r, row->key);
	char *value;

	if (e)
		e->listed = true;
	if (e && e->row.version >= row->version)
		return NULL;
	/* Before a row is added, which could itself be the oldest tombstone. */
	if (!e && row->removed && r->tombstones >= TLB_REPLICA_TOMBSTONES_MAX)
		forget_oldest_tombstone(r);
	if (e && has_value(e, row)) {
		set_version(r, e, row->version);
		return NULL;
	}
	value = row->removed ? NULL : malloc(row->len + 1);
	if (!e && (value || row->removed))
		e = add_row(r, row->key);
	if (!e || (!value && !row->removed)) {
		free(value);
		return NULL;
	}
	e->listed = true;
	if (row->removed) {
		make_tombstone(r, e, row->version, use_deadline);
		return e;
	}
	memcpy(value, row->value, row->len);
	value[row->len] = '\0';
	free(e->row.value);
	drop_deflated(e);
	e->row.value = value;
	e->row.len = row->len;
	r->tombstones -= e->row.removed;
	e->row.removed = false;
	e->use_deadline = 0;
	set_version(r, e, row->version);
	return e;
}

void tlb_replica_begin_listing(struct tlb_replica *r)
{
	struct tlb_replica_row *e;

	APR_RING_FOREACH (e, &r->rows, tlb_replica_row, link) {
		e->listed = false;
	}
}

void tlb_replica_end_listing(struct tlb_replica *r, int64_t version, tlb_time use_deadline,
			     tlb_replica_row_fn *on_removed, void *arg)
{
	struct tlb_replica_row *e;

	APR_RING_FOREACH (e, &r->rows, tlb_replica_row, link) {
		if (e->listed || e->row.removed || e->row.version > version)
			continue;
		make_tombstone(r, e, version, use_deadline);
		on_removed(arg, e);
	}
	while (r->tombstones > TLB_REPLICA_TOMBSTONES_MAX)
		forget_oldest_tombstone(r);
	/* A row that was added and removed again before the listing has no tombstone. */
	if (version > r->forgotten_version)
		r->forgotten_version = version;
	tlb_replica_set_complete(r, version);
}

void tlb_replica_set_complete(struct tlb_replica *r, int64_t version)
{
	if (version > r->complete_version)
		r->complete_version = version;
}

const unsigned char *tlb_replica_deflate(struct tlb_replica_row *e)
{
	if (!e->deflated && e->row.len >= TLB_REPLICA_DEFLATE_MIN_BYTES)
		e->deflated = tlb_deflate(e->row.value, e->row.len, &e->deflated_len);
	return e->deflated;
}

bool tlb_replica_covers(const struct tlb_replica *r, int64_t since)
{
	return since > 0 && since >= r->forgotten_version;
}
