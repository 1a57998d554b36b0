#include "health.h"

#include <stdio.h>
#include <string.h>

enum { URL_LEN = 128 };

#define PROBE_INTERVAL (300 * TLB_MS)
#define PROBE_TIMEOUT_MS 1000L

static size_t discard_body(char *data, size_t size, size_t n, void *arg)
{
	return size * n;
}

void load_health_init(struct load_health *h, const struct load_env *e)
{
	char url[URL_LEN];
	int i;

	memset(h, 0, sizeof(*h));
	h->multi = curl_multi_init();
	h->count = e->operators == e->vms ? e->vms : 0;
	for (i = 0; i < h->count; i++) {
		snprintf(url, sizeof(url), "http://%s/readyz", e->operator[i]);
		h->probe[i].ready = true;
		h->probe[i].easy = curl_easy_init();
		curl_easy_setopt(h->probe[i].easy, CURLOPT_URL, url);
		curl_easy_setopt(h->probe[i].easy, CURLOPT_PRIVATE, &h->probe[i]);
		curl_easy_setopt(h->probe[i].easy, CURLOPT_WRITEFUNCTION, discard_body);
		curl_easy_setopt(h->probe[i].easy, CURLOPT_TIMEOUT_MS, PROBE_TIMEOUT_MS);
		curl_easy_setopt(h->probe[i].easy, CURLOPT_FORBID_REUSE, 1L);
		curl_easy_setopt(h->probe[i].easy, CURLOPT_PROXY, "");
	}
}

void load_health_finish(struct load_health *h)
{
	int i;

	for (i = 0; i < h->count; i++) {
		curl_multi_remove_handle(h->multi, h->probe[i].easy);
		curl_easy_cleanup(h->probe[i].easy);
	}
	curl_multi_cleanup(h->multi);
}

static void start_due(struct load_health *h)
{
	tlb_time now = tlb_clock_now();
	struct load_probe *p;

	for (p = h->probe; p < h->probe + h->count; p++) {
		if (p->busy || now < p->next_at)
			continue;
		p->busy = true;
		p->next_at = now + PROBE_INTERVAL;
		curl_multi_add_handle(h->multi, p->easy);
	}
}

static void process_results(struct load_health *h)
{
	struct load_probe *p;
	CURLMsg *m;
	long status;
	int left;

	while ((m = curl_multi_info_read(h->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		status = 0;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &p);
		curl_easy_getinfo(m->easy_handle, CURLINFO_RESPONSE_CODE, &status);
		p->ready = m->data.result == CURLE_OK && status == 200;
		p->busy = false;
		curl_multi_remove_handle(h->multi, p->easy);
	}
}

void load_health_poll(struct load_health *h)
{
	int running;

	start_due(h);
	curl_multi_perform(h->multi, &running);
	process_results(h);
}

bool load_health_ready(const struct load_health *h, int vm)
{
	return vm >= h->count || h->probe[vm].ready;
}
