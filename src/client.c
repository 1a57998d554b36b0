#include "client.h"

#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "address.h"
#include "clock.h"

enum { RESPONSE_MAX = 64 << 20 /* bytes */ };

static bool add_address(struct tlb_client *c, const char *text, size_t len, char *reason,
			size_t size)
{
	char *out;

	if (c->address_count == TLB_CLIENT_ADDRESSES_MAX) {
		snprintf(reason, size, "at most %d operator addresses are allowed",
			 TLB_CLIENT_ADDRESSES_MAX);
		return false;
	}
	out = c->addresses[c->address_count];
	snprintf(out, TLB_ADDR_LEN, "%.*s", (int)(len < TLB_ADDR_LEN ? len : 0), text);
	if (!tlb_address_valid(out, 1)) {
		snprintf(reason, size,
			 "operator address \"%.*s\" is not allowed; expected IP:PORT, such as "
			 "127.0.0.1:8081",
			 (int)(len < 80 ? len : 80), text);
		return false;
	}
	c->address_count++;
	return true;
}

bool tlb_client_init(struct tlb_client *c, const char *addresses, char *reason, size_t size)
{
	size_t len;

	memset(c, 0, sizeof(*c));
	for (;;) {
		len = strcspn(addresses, ",");
		if (!add_address(c, addresses, len, reason, size))
			return false;
		if (!addresses[len])
			break;
		addresses += len + 1;
	}
	c->easy = curl_easy_init();
	if (!c->easy)
		snprintf(reason, size, "the HTTP client could not start");
	return c->easy != NULL;
}

void tlb_client_finish(struct tlb_client *c)
{
	curl_easy_cleanup(c->easy);
	sodium_memzero(c, sizeof(*c));
}

/* --- secrets --- */

static bool is_secret(const char *s)
{
	size_t len = strlen(s);
	size_t i;

	for (i = 0; i < len; i++)
		if (!isgraph((unsigned char)s[i]))
			return false;
	return len >= 8 && len < TLB_CREDENTIAL_LEN;
}

static bool check_permissions(const char *path, int fd, char *reason, size_t size)
{
	struct stat st;

	if (fstat(fd, &st) == 0 && S_ISREG(st.st_mode) && !(st.st_mode & (S_IRWXG | S_IRWXO)))
		return true;
	snprintf(reason, size,
		 "%.120s must be a regular file that only its owner can access (mode 0600)", path);
	return false;
}

static bool read_line(const char *path, int fd, char *out, size_t out_size, char *reason,
		      size_t size)
{
	ssize_t n = read(fd, out, out_size - 1);

	out[n > 0 ? n : 0] = '\0';
	out[strcspn(out, "\r\n")] = '\0';
	if (is_secret(out))
		return true;
	snprintf(reason, size,
		 "the first line of %.120s must have 8 to 256 printable characters and no blanks",
		 path);
	return false;
}

bool tlb_client_read_secret(const char *path, char *out, size_t out_size, char *reason, size_t size)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
	bool ok;

	if (fd < 0) {
		snprintf(reason, size, "%.120s can't be read: %s", path, strerror(errno));
		return false;
	}
	ok = check_permissions(path, fd, reason, size) &&
	     read_line(path, fd, out, out_size, reason, size);
	close(fd);
	return ok;
}

/* --- calls --- */

void tlb_client_response_finish(struct tlb_client_response *a)
{
	free(a->body);
	json_decref(a->json);
	memset(a, 0, sizeof(*a));
}

static size_t on_body(char *data, size_t unit, size_t n, void *arg)
{
	struct tlb_client_response *a = arg;
	size_t len = unit * n;
	char *new_body;

	if (a->body_len + len > RESPONSE_MAX)
		return 0;
	new_body = realloc(a->body, a->body_len + len + 1);
	if (!new_body)
		return 0;
	a->body = new_body;
	memcpy(a->body + a->body_len, data, len);
	a->body_len += len;
	a->body[a->body_len] = '\0';
	return len;
}

static struct curl_slist *make_headers(const struct tlb_client *c, const char *body)
{
	char line[TLB_CREDENTIAL_LEN + 32];
	struct curl_slist *list = curl_slist_append(NULL, "Accept: application/json");

	/* Disables the "Expect" header, with which libcurl waits for "100 Continue" before it sends
	 * a large body. */
	list = curl_slist_append(list, "Expect:");
	if (body)
		list = curl_slist_append(list, "Content-Type: application/json");
	if (!c->credential[0])
		return list;
	snprintf(line, sizeof(line), "Authorization: Bearer %s", c->credential);
	list = curl_slist_append(list, line);
	sodium_memzero(line, sizeof(line));
	return list;
}

static void set_options(struct tlb_client *c, const char *method, const char *url, const char *body,
			struct tlb_client_response *a)
{
	curl_easy_reset(c->easy);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_PROTOCOLS_STR, "http");
	/* A proxy from the environment must not see the credential. */
	curl_easy_setopt(c->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)TLB_CLIENT_CONNECT_MS);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, (long)TLB_CLIENT_TIMEOUT_MS);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, method);
	if (body)
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, body);
}

/* Sends the request to one listener. */
static void send_request(struct tlb_client *c, const char *address, const char *method,
			 const char *path, const char *body, struct tlb_client_response *a)
{
	struct curl_slist *headers = make_headers(c, body);
	char url[256];
	long status = 0;
	CURLcode rc;

	tlb_client_response_finish(a);
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	set_options(c, method, url, body, a);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, headers);
	rc = curl_easy_perform(c->easy);
	curl_slist_free_all(headers);
	if (rc != CURLE_OK) {
		tlb_client_response_finish(a);
		snprintf(a->reason, sizeof(a->reason), "%s: %s", address, curl_easy_strerror(rc));
		return;
	}
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	a->status = (int)status;
	a->json = json_loadb(a->body ? a->body : "", a->body_len, 0, NULL);
}

static bool is_final(const struct tlb_client_response *a)
{
	return a->status > 0 && a->status < 500;
}

static void pause_ms(int ms)
{
	struct timespec wait = {.tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000L};

	nanosleep(&wait, NULL);
}

void tlb_client_call(struct tlb_client *c, const char *method, const char *path, const json_t *body,
		     struct tlb_client_response *a)
{
	char *text = body ? json_dumps(body, JSON_COMPACT | JSON_REAL_PRECISION(15)) : NULL;
	tlb_time deadline = tlb_clock_now() + TLB_CLIENT_TOTAL_MS * TLB_MS;
	int tries = TLB_CLIENT_ROUNDS * c->address_count;
	int i;

	memset(a, 0, sizeof(*a));
	for (i = 0; i < tries && !is_final(a) && tlb_clock_now() < deadline; i++) {
		if (i > 0 && i % c->address_count == 0)
			pause_ms(TLB_CLIENT_ROUND_WAIT_MS);
		send_request(c, c->addresses[i % c->address_count], method, path, text, a);
	}
	free(text);
}
