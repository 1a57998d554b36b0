#include "instance_notice.h"

#include "log.h"
#include "platform.h"

void tlb_instance_notice_record(struct tlb_instance *i, const struct tlb_response_info *info)
{
	tlb_time now = tlb_clock_now();

	if (info->retry_after_ms > 0 && tlb_instance_back_off(i, info->retry_after_ms, now))
		tlb_log_info("event=instance_backoff instance=%s service=%s until_ms=%lld "
			     "in_flight=%d",
			     i->row.id, i->row.service,
			     (long long)((i->backoff_until - now) / TLB_MS), i->in_flight);
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
