#include "stored_rows.h"

#include <stdlib.h>
#include <string.h>

void tlb_stored_rows_set_era(struct tlb_stored_rows *r, int64_t era)
{
	int i;

	r->version = tlb_stored_version(era, tlb_stored_checked_number(r->version));
	for (i = 0; i < r->count; i++)
		r->rows[i].version =
			tlb_stored_version(era, tlb_stored_checked_number(r->rows[i].version));
}

void tlb_stored_rows_finish(struct tlb_stored_rows *r)
{
	int i;

	for (i = 0; i < r->count; i++)
		free(r->rows[i].value);
	free(r->rows);
	memset(r, 0, sizeof(*r));
}
