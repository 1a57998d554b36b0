#include "mesh.h"

#include <stddef.h>

/* Whether the VM qualifies for a new random link: it is reachable and no link to it is kept. */
static bool is_selectable(const struct tlb_mesh_vm *vm)
{
	return !vm->required && !vm->remote_persistent && !vm->random_link && !vm->unreachable;
}

static bool is_chosen(const struct tlb_mesh_vm *vm)
{
	return vm->random_link;
}

/* Returns a uniformly random VM for which matches() holds, or NULL (reservoir sampling). */
static struct tlb_mesh_vm *pick_random(struct tlb_mesh_vm *vms, int count,
				       bool (*matches)(const struct tlb_mesh_vm *vm),
				       tlb_mesh_random_fn *random, void *arg)
{
	struct tlb_mesh_vm *found = NULL;
	uint32_t seen = 0;
	int i;

	for (i = 0; i < count; i++)
		if (matches(&vms[i]) && random(arg, ++seen) == 0)
			found = &vms[i];
	return found;
}

/* Counts the links that are not required, including those kept by the other end. */
static int count_random_links(const struct tlb_mesh_vm *vms, int count)
{
	int n = 0;
	int i;

	for (i = 0; i < count; i++)
		n += !vms[i].required && (vms[i].random_link || vms[i].remote_persistent);
	return n;
}

void tlb_mesh_select(struct tlb_mesh_vm *vms, int count, bool renew, tlb_mesh_random_fn *random,
		     void *arg)
{
	struct tlb_mesh_vm *replaced = NULL;
	struct tlb_mesh_vm *vm;
	int link_count;
	int i;

	for (i = 0; i < count; i++)
		if (vms[i].required || vms[i].unreachable)
			vms[i].random_link = false;
	link_count = count_random_links(vms, count);
	if (renew) {
		vm = pick_random(vms, count, is_selectable, random, arg);
		replaced = vm ? pick_random(vms, count, is_chosen, random, arg) : NULL;
		if (vm)
			vm->random_link = true;
		if (replaced)
			replaced->random_link = false;
	}
	for (; link_count < TLB_GOSSIP_LINKS; link_count++) {
		vm = pick_random(vms, count, is_selectable, random, arg);
		if (!vm)
			break;
		vm->random_link = true;
	}
	for (i = 0; i < count; i++)
		vms[i].persistent = vms[i].required || vms[i].random_link;
}
