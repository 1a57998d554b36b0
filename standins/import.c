#include "import.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { URL_LEN = 256, POLL_MS = 10, CONNECT_MS = 2000 };

/* The first line of an export: {"prompt_hash","prompt_tokens","bytes"}. */
static bool parse_first_line(struct import *im)
{
	json_t *line = json_loads(im->text, JSON_DISABLE_EOF_CHECK, NULL);
	const char *hash = "";
	json_int_t tokens = 0;
	json_int_t bytes = 0;
	bool ok;

	ok = json_unpack(line, "{s:s, s:I, s:I}", "prompt_hash", &hash, "prompt_tokens", &tokens,
			 "bytes", &bytes) == 0;
	if (ok) {
		im->prompt_hash = strtoull(hash, NULL, 16);
		im->prompt_tokens = tokens;
		im->bytes = bytes;
	}
	json_decref(line);
	return ok;
}

static bool begin(struct import *im)
{
	if (!parse_first_line(im))
		return false;
	if (!im->on_begin(im)) {
		im->no_memory = true;
		return false;
	}
	im->link_begin = standin_link_begin(im->link);
	im->begun = true;
	return true;
}

static size_t on_data(char *data, size_t size, size_t n, void *arg)
{
	struct import *im = arg;
	size_t len = size * n;

	if (im->text_len + len >= sizeof(im->text))
		return 0;
	memcpy(im->text + im->text_len, data, len);
	im->text_len += len;
	im->text[im->text_len] = '\0';
	if (!im->begun && strchr(im->text, '\n') && !begin(im))
		return 0;
	return len;
}

/* Returns the transfer's result, or CURLE_ABORTED_BY_CALLBACK when it was cancelled. */
static CURLcode perform(struct import *im, CURLM *multi)
{
	CURLMsg *msg;
	int running = 1;
	int left;

	while (running) {
		if (im->held->removed || standin_disconnected(im->rq))
			return CURLE_ABORTED_BY_CALLBACK;
		curl_multi_perform(multi, &running);
		if (running)
			curl_multi_poll(multi, NULL, 0, POLL_MS, NULL);
	}
	msg = curl_multi_info_read(multi, &left);
	return msg ? msg->data.result : CURLE_RECV_ERROR;
}

static CURL *make_call(struct import *im, const char *source, const char *kv_id)
{
	CURL *easy = curl_easy_init();
	char url[URL_LEN];

	snprintf(url, sizeof(url), "http://%s/kv/export?kv_id=%s", source, kv_id);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, im);
	return easy;
}

static int result_status(const struct import *im, CURLcode rc, long status)
{
	if (rc == CURLE_ABORTED_BY_CALLBACK)
		return MHD_HTTP_CONFLICT;
	if (im->no_memory)
		return MHD_HTTP_INSUFFICIENT_STORAGE;
	if (status == MHD_HTTP_GONE)
		return MHD_HTTP_GONE;
	if (rc != CURLE_OK || !im->begun || !strstr(im->text, "{\"done\":true}\n"))
		return MHD_HTTP_BAD_GATEWAY;
	return MHD_HTTP_OK;
}

int import_run(struct import *im, const char *source, const char *kv_id)
{
	CURLM *multi = curl_multi_init();
	CURL *easy = make_call(im, source, kv_id);
	CURLcode rc;
	long status = 0;
	int result;

	curl_multi_add_handle(multi, easy);
	rc = perform(im, multi);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	result = result_status(im, rc, status);
	curl_multi_remove_handle(multi, easy);
	curl_easy_cleanup(easy);
	curl_multi_cleanup(multi);
	if (result == MHD_HTTP_OK &&
	    !standin_link_wait(im->link, im->rq, im->link_begin, im->bytes, &im->held->removed))
		result = MHD_HTTP_CONFLICT;
	if (im->begun)
		standin_link_end(im->link);
	return result;
}
