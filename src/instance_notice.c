#include "instance_notice.h"

#include "log.h"
#include "platform.h"

void tlb_instance_notice_record(struct tlb_instance *i, const struct tlb_response_info *info)
{
	if (info->leaving && tlb_instance_mark_leaving(i))
		tlb_log_info("event=instance_leaving instance=%s service=%s in_flight=%d",
			     i->row.id, i->row.service, i->in_flight);
}

void tlb_instance_notice_read(struct tlb_instance *i, int status, const char *head)
{
	struct tlb_response_info info;

	tlb_platform_read_response_info(status, head, &info);
	tlb_instance_notice_record(i, &info);
}
