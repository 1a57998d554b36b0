#include "window.h"

#define DECREASE 0.8

void tlb_window_init(struct tlb_window *w, double limit, int most, tlb_time target_us)
{
	*w = (struct tlb_window){.limit = limit, .max_limit = most, .target_us = target_us};
}

bool tlb_window_has_capacity(const struct tlb_window *w)
{
	return w->in_use < 1 || w->in_use < (int)w->limit;
}

void tlb_window_acquire(struct tlb_window *w)
{
	w->in_use++;
}

void tlb_window_release(struct tlb_window *w, tlb_time took, tlb_time now)
{
	w->in_use--;
	if (took <= 0)
		return;
	if (took <= w->target_us) {
		w->limit += 1 / w->limit;
		if (w->limit > w->max_limit)
			w->limit = w->max_limit;
		return;
	}
	if (now < w->next_decrease_at)
		return;
	w->limit *= DECREASE;
	if (w->limit < 1)
		w->limit = 1;
	w->next_decrease_at = now + w->target_us;
}
