/* standin-vmlist: the platform's list of live and leaving VMs, published with a lag. */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *published; /* id -> state */
static json_t *pending;	  /* [{"id","state","at"}], in the order of the changes */
static int64_t lag_ms;
static const char *initial_vms;

static const struct standin_option options[] = {
	{.name = "lag-ms", .number = &lag_ms},
	{.name = "vms", .text = &initial_vms},
	{.name = NULL},
};

static void publish(const char *id, const char *state)
{
	if (strcmp(state, "gone") == 0)
		json_object_del(published, id);
	else
		json_object_set_new(published, id, json_string(state));
}

static void publish_due(void)
{
	tlb_time as_of = tlb_clock_now() - lag_ms * TLB_MS;
	json_t *change;

	while (json_array_size(pending) > 0) {
		change = json_array_get(pending, 0);
		if (json_integer_value(json_object_get(change, "at")) > as_of)
			break;
		publish(json_string_value(json_object_get(change, "id")),
			json_string_value(json_object_get(change, "state")));
		json_array_remove(pending, 0);
	}
}

static void handle(struct standin_request *rq)
{
	json_t *list;
	json_t *state;
	const char *id;

	if (!standin_is(rq, "GET", "/vms"))
		return;
	list = json_array();
	pthread_mutex_lock(&lock);
	publish_due();
	json_object_foreach (published, id, state) {
		json_array_append_new(list, json_pack("{s:s, s:O}", "id", id, "state", state));
	}
	pthread_mutex_unlock(&lock);
	standin_reply(rq, MHD_HTTP_OK, json_pack("{s:o}", "vms", list));
}

static bool state_valid(const char *state)
{
	return strcmp(state, "live") == 0 || strcmp(state, "leaving") == 0 ||
	       strcmp(state, "gone") == 0;
}

/* POST /vms {"id","state":"live"|"leaving"|"gone"}; "gone" removes the entry. */
static void control(struct standin_request *rq)
{
	json_t *body;
	const char *id;
	const char *state;

	if (!standin_is(rq, "POST", "/vms"))
		return;
	body = standin_body(rq);
	if (!body)
		return;
	if (json_unpack(body, "{s:s, s:s}", "id", &id, "state", &state) == 0 &&
	    state_valid(state)) {
		json_object_set_new(body, "at", json_integer(tlb_clock_now()));
		pthread_mutex_lock(&lock);
		json_array_append(pending, body);
		pthread_mutex_unlock(&lock);
		standin_reply(rq, MHD_HTTP_OK, json_object());
	} else {
		standin_reply_error(rq, MHD_HTTP_BAD_REQUEST, "bad_vm");
	}
	json_decref(body);
}

/* Publishes the VMs of --vms ID,ID,... as live, without lag. */
static bool start(void)
{
	char *list = strdup(initial_vms ? initial_vms : "");
	char *next = list;
	char *id;

	published = json_object();
	pending = json_array();
	while ((id = strsep(&next, ",")))
		if (*id)
			publish(id, "live");
	free(list);
	return true;
}

static const struct standin_program program = {
	.name = "standin-vmlist",
	.options = options,
	.handle = handle,
	.control = control,
	.start = start,
};

int main(int argc, char **argv)
{
	return standin_main(argc, argv, &program);
}
