#include "mesh.h"

#include <stddef.h>

/* A VM whose link is neither needed nor kept already may be chosen. */
static bool is_free(const struct tlb_mesh_vm *vm)
{
	return !vm->needed && !vm->kept_by && !vm->chosen && !vm->unreached;
}

static bool is_chosen(const struct tlb_mesh_vm *vm)
{
	return vm->chosen;
}

/* One of the VMs for which is() holds, or NULL. */
static struct tlb_mesh_vm *draw(struct tlb_mesh_vm *vms, int count,
				bool (*is)(const struct tlb_mesh_vm *vm),
				tlb_mesh_random_fn *random, void *arg)
{
	struct tlb_mesh_vm *found = NULL;
	uint32_t seen = 0;
	int i;

	for (i = 0; i < count; i++)
		if (is(&vms[i]) && random(arg, ++seen) == 0)
			found = &vms[i];
	return found;
}

static int count_random(const struct tlb_mesh_vm *vms, int count)
{
	int n = 0;
	int i;

	for (i = 0; i < count; i++)
		n += !vms[i].needed && (vms[i].chosen || vms[i].kept_by);
	return n;
}

void tlb_mesh_choose(struct tlb_mesh_vm *vms, int count, bool renew, tlb_mesh_random_fn *random,
		     void *arg)
{
	struct tlb_mesh_vm *former = NULL;
	struct tlb_mesh_vm *vm;
	int have;
	int i;

	for (i = 0; i < count; i++)
		if (vms[i].needed || vms[i].unreached)
			vms[i].chosen = false;
	have = count_random(vms, count);
	if (renew) {
		vm = draw(vms, count, is_free, random, arg);
		former = vm ? draw(vms, count, is_chosen, random, arg) : NULL;
		if (vm)
			vm->chosen = true;
		if (former)
			former->chosen = false;
	}
	for (; have < TLB_GOSSIP_LINKS; have++) {
		vm = draw(vms, count, is_free, random, arg);
		if (!vm)
			break;
		vm->chosen = true;
	}
	for (i = 0; i < count; i++)
		vms[i].keep = vms[i].needed || vms[i].chosen;
}
