/* Tests calls that can't be started at once. libcurl refuses to add a transfer from within its own
 * callbacks; without a later retry such a call, started from another call's on_data, was never sent
 * and timed out. One without memory never ended. */
#include <apr_general.h>
#include <arpa/inet.h>
#include <check.h>
#include <dlfcn.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define TEST_WAIT (3 * TLB_SECOND)
#define CALL_WAIT (2 * TLB_SECOND)

static const char response[] =
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone";

static bool no_memory;

/* Stands in for the function of libcurl, which the linker resolves to this one. */
CURLMcode curl_multi_add_handle(CURLM *multi, CURL *easy)
{
	CURLMcode (*add)(CURLM *, CURL *) =
		(CURLMcode(*)(CURLM *, CURL *))dlsym(RTLD_NEXT, "curl_multi_add_handle");

	return no_memory ? CURLM_OUT_OF_MEMORY : add(multi, easy);
}

struct pair {
	struct tlb_http http;
	struct tlb_http_call first;
	struct tlb_http_call second;
	char url[64];
	int first_status;
	int second_status;
	bool cancel_second;
};

/* Sends the response on two connections, one after the other. */
static void *serve_two(void *arg)
{
	int listener = *(int *)arg;
	char request[4096];
	int peer;
	int i;

	for (i = 0; i < 2; i++) {
		peer = accept(listener, NULL, NULL);
		if (peer < 0)
			return NULL;
		if (read(peer, request, sizeof(request)) > 0 &&
		    write(peer, response, sizeof(response) - 1) < 0)
			abort();
		close(peer);
	}
	return NULL;
}

static int listen_on_loopback(char *url, size_t size)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	ck_assert_int_eq(listen(fd, 4), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&a, &len), 0);
	snprintf(url, size, "http://127.0.0.1:%d/", ntohs(a.sin_port));
	return fd;
}

static void on_second_done(void *arg, const struct tlb_http_result *r)
{
	struct pair *p = arg;

	p->second_status = r->status;
}

static void on_first_done(void *arg, const struct tlb_http_result *r)
{
	struct pair *p = arg;

	p->first_status = r->status;
}

static bool on_first_data(void *arg, const char *data, size_t len)
{
	struct pair *p = arg;
	struct tlb_http_spec spec = {
		.method = "GET",
		.url = p->url,
		.dedicated_connection = true,
		.deadline = tlb_clock_now() + CALL_WAIT,
		.on_done = on_second_done,
		.arg = p,
	};

	tlb_http_start(&p->http, &p->second, &spec);
	if (p->cancel_second)
		tlb_http_cancel(&p->second);
	return true;
}

static void run_pair(struct pair *p)
{
	struct tlb_http_spec spec = {
		.method = "GET",
		.url = p->url,
		.dedicated_connection = true,
		.deadline = tlb_clock_now() + CALL_WAIT,
		.on_data = on_first_data,
		.on_done = on_first_done,
		.arg = p,
	};
	tlb_time end = tlb_clock_now() + TEST_WAIT;
	struct tlb_loop l;
	pthread_t server;
	int listener = listen_on_loopback(p->url, sizeof(p->url));

	ck_assert_int_eq(pthread_create(&server, NULL, serve_two, &listener), 0);
	ck_assert_int_eq(tlb_loop_init(&l), APR_SUCCESS);
	ck_assert_int_eq(tlb_http_init(&p->http, &l), 0);
	tlb_http_start(&p->http, &p->first, &spec);
	while (tlb_clock_now() < end && (tlb_http_active(&p->first) || tlb_http_active(&p->second)))
		tlb_loop_once(&l, tlb_clock_now() + 10 * TLB_MS);
	tlb_http_finish(&p->http);
	tlb_loop_finish(&l);
	shutdown(listener, SHUT_RDWR);
	close(listener);
	pthread_join(server, NULL);
}

START_TEST(call_started_in_on_data_completes)
{
	struct pair p = {0};

	run_pair(&p);
	ck_assert_int_eq(p.first_status, 200);
	ck_assert_int_eq(p.second_status, 200);
}
END_TEST

START_TEST(call_cancelled_before_transfer_is_added_gets_no_response)
{
	struct pair p = {.cancel_second = true};

	run_pair(&p);
	ck_assert_int_eq(p.first_status, 200);
	ck_assert_int_eq(p.second_status, 0);
}
END_TEST

static void on_unstarted_done(void *arg, const struct tlb_http_result *r)
{
	int *done = arg;

	ck_assert_int_eq(r->status, 0);
	ck_assert(!r->sent);
	ck_assert(r->reason[0]);
	(*done)++;
}

START_TEST(call_without_memory_ends_from_the_event_loop)
{
	int done = 0;
	struct tlb_http_spec spec = {
		.method = "GET",
		.url = "http://127.0.0.1:9/",
		.deadline = TLB_NEVER,
		.on_done = on_unstarted_done,
		.arg = &done,
	};
	struct tlb_http_call c;
	struct tlb_http http;
	struct tlb_loop l;

	ck_assert_int_eq(tlb_loop_init(&l), APR_SUCCESS);
	ck_assert_int_eq(tlb_http_init(&http, &l), 0);
	no_memory = true;
	tlb_http_start(&http, &c, &spec);
	ck_assert(tlb_http_active(&c));
	ck_assert_int_eq(done, 0);
	tlb_loop_once(&l, tlb_clock_now() + TEST_WAIT);
	ck_assert_int_eq(done, 1);
	ck_assert(!tlb_http_active(&c));
	tlb_http_start(&http, &c, &spec);
	tlb_http_cancel(&c);
	tlb_loop_once(&l, tlb_clock_now());
	ck_assert_int_eq(done, 1);
	no_memory = false;
	tlb_http_finish(&http);
	tlb_loop_finish(&l);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http");
	TCase *t = tcase_create("nested");
	SRunner *r = srunner_create(s);
	int failed;

	apr_initialize();
	tcase_add_test(t, call_started_in_on_data_completes);
	tcase_add_test(t, call_cancelled_before_transfer_is_added_gets_no_response);
	tcase_add_test(t, call_without_memory_ends_from_the_event_loop);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
