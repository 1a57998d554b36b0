/*
 * This VM's copy of one table of the platform's store, with tombstones of removed rows, so that VMs
 * can pass changes on to each other. Pure data structure without I/O.
 *
 * Every row has the store version of its last change. complete_version is a version up to which all
 * changes are known; a row from another VM with a version up to it is ignored, because this copy
 * has it already or knows that it was removed. So nothing that was removed comes back from a VM
 * that lags behind.
 *
 * Versions contain the store's era (stored_rows.h). The first listing of an era replaces the table:
 * it gives every row a version of that era, and rows that it lacks become tombstones.
 */
#ifndef TLB_REPLICA_H
#define TLB_REPLICA_H

#include <apr_ring.h>

#include "clock.h"
#include "stored_rows.h"

/* Removed rows that are remembered. A VM that missed more changes gets the complete table. */
enum { TLB_REPLICA_TOMBSTONES_MAX = 512, TLB_REPLICA_DEFLATE_MIN_BYTES = 1 << 10 };

/* Owned by struct tlb_replica. */
struct tlb_replica_row {
	APR_RING_ENTRY(tlb_replica_row) link;
	struct tlb_stored_row row;
	tlb_time use_deadline;	 /* removed: the entry stays in use until then; 0: not */
	bool listed;		 /* seen in the listing in progress */
	unsigned char *deflated; /* compressed value; NULL until it is needed */
	size_t deflated_len;
};

APR_RING_HEAD(tlb_replica_ring, tlb_replica_row);

/* Owned by the caller; owns its rows. */
struct tlb_replica {
	struct tlb_replica_ring rows;
	int64_t complete_version;  /* all changes up to this store version are known; 0: none */
	int64_t rows_version;	   /* highest version of any row or tombstone */
	int64_t forgotten_version; /* tombstones up to this version may be missing */
	int tombstones;
};

typedef void tlb_replica_row_fn(void *arg, const struct tlb_replica_row *row);

void tlb_replica_init(struct tlb_replica *r);
void tlb_replica_finish(struct tlb_replica *r);
/* Stores a copy of a row or tombstone unless the copy has that version already or a newer one.
 * Returns the stored row, or NULL when it is not newer, has the same value as before, or there is
 * no memory. */
const struct tlb_replica_row *
tlb_replica_put(struct tlb_replica *r, const struct tlb_stored_row *row, tlb_time use_deadline);
/* Brackets a listing of the complete table as of a version, during which tlb_replica_put() is
 * called for each row. end turns the rows that were not listed into tombstones and calls on_removed
 * for each. */
void tlb_replica_begin_listing(struct tlb_replica *r);
void tlb_replica_end_listing(struct tlb_replica *r, int64_t version, tlb_time use_deadline,
			     tlb_replica_row_fn *on_removed, void *arg);
/* Records that all changes up to a version are known. */
void tlb_replica_set_complete(struct tlb_replica *r, int64_t version);
/* Compresses a large value once for all VMs that it is sent to. Returns NULL when the value is
 * small or does not get smaller. */
const unsigned char *tlb_replica_deflate(struct tlb_replica_row *e);
/* Whether the changes since a version can be told apart from rows that were never there; otherwise
 * the complete table is needed. */
bool tlb_replica_covers(const struct tlb_replica *r, int64_t since);

#endif
