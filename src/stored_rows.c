#include "stored_rows.h"

#include <stdlib.h>
#include <string.h>

void tlb_stored_rows_finish(struct tlb_stored_rows *r)
{
	int i;

	for (i = 0; i < r->count; i++)
		free(r->rows[i].value);
	free(r->rows);
	memset(r, 0, sizeof(*r));
}
