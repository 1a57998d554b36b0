/*
 * The fleet's rows in the platform's store: one row for each VM, read at the start and then
 * infrequently, and the secret that authenticates messages between VMs, written by whichever VM
 * finds none. Both are read again when the store has returned from an older copy: what is gone is
 * written again, and if another VM has written another secret meanwhile, that one holds.
 */
#ifndef TLB_VMROWS_H
#define TLB_VMROWS_H

#include "random.h"
#include "rowstore.h"
#include "settings.h"

struct tlb_vm_rows_handlers {
	void *arg;
	/* Receives the secret, in hexadecimal digits, and again when it has changed. Returns false
	 * when it is malformed. */
	bool (*on_secret)(void *arg, const char *hex);
	/* Called for the row of every VM other than this one. */
	void (*on_vm)(void *arg, const char *id, const char *addr);
	/* Returns the number of VMs in the fleet; the rows are read less often as it grows. */
	int (*count)(void *arg);
};

/* Owned by its user; strings are borrowed. */
struct tlb_vm_rows {
	struct tlb_rowstore *store;
	struct tlb_random *random;
	struct tlb_vm_rows_handlers handlers;
	const char *self; /* id of this VM */
	const char *addr; /* its address for other VMs */
	bool leaving;
	bool listed;			     /* the rows have been read, this VM's own among them */
	char secret[2 * TLB_SECRET_LEN + 1]; /* in hexadecimal digits; "" until it is known */
	bool secret_missed; /* the secret was missing once; it is created if it is missing again */
	struct tlb_rowstore_op secret_op;
	struct tlb_rowstore_op write_op;
	struct tlb_rowstore_op list_op;
	struct tlb_timer secret_timer;
	struct tlb_timer list_timer;
	struct tlb_rowstore_observer observer;
};

/* Time within which all VMs have read the rows again after the store has returned. */
tlb_time tlb_vm_rows_reread_time(const struct tlb_vm_rows *r);

void tlb_vm_rows_init(struct tlb_vm_rows *r, struct tlb_rowstore *store, struct tlb_random *random,
		      const char *self, const struct tlb_vm_rows_handlers *handlers);
/* Reads the secret, or creates it if there is none; retries until on_secret was called. */
void tlb_vm_rows_start(struct tlb_vm_rows *r);
/* Reads the rows periodically, and writes the row of this VM when it is missing or wrong. addr is
 * borrowed. */
void tlb_vm_rows_announce(struct tlb_vm_rows *r, const char *addr);
/* Removes the row of this VM. */
void tlb_vm_rows_withdraw(struct tlb_vm_rows *r);
void tlb_vm_rows_finish(struct tlb_vm_rows *r);

#endif
