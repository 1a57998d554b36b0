/*
 * Feeds mutated inputs to every parser of external data: settings, table rows, peer frames, engine
 * events, completion bodies, requests, heads of responses, addresses and messages in the platform's
 * formats. Built with the address and undefined-behaviour sanitizers, which abort the run at the
 * first error.
 *
 *   fuzz TARGET SEED COUNT SAMPLE...
 *
 * Each SAMPLE file is a valid input; each of the COUNT rounds mutates one of them. A given seed
 * produces the same inputs on every machine.
 */
#include <apr_general.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "address.h"
#include "completion.h"
#include "engine.h"
#include "frame.h"
#include "platform.h"
#include "random.h"
#include "request_reader.h"
#include "response_head.h"
#include "routing_reader.h"
#include "settings.h"
#include "sse.h"
#include "stream_check.h"
#include "table.h"

enum { SAMPLES_MAX = 16, SAMPLE_MAX = 32768, INPUT_MAX = 65536, MUTATIONS_MAX = 8 };

struct sample {
	char data[SAMPLE_MAX];
	size_t len;
};

typedef void target_fn(const char *data, size_t len);

static void fuzz_settings(const char *data, size_t len)
{
	static struct tlb_settings s;
	char path[] = "/tmp/toucanlb-fuzz-XXXXXX";
	int fd = mkstemp(path);
	FILE *null_output = fopen("/dev/null", "we");

	if (fd < 0 || !null_output || write(fd, data, len) != (ssize_t)len)
		abort();
	close(fd);
	tlb_settings_load(&s, path, null_output);
	unlink(path);
	fclose(null_output);
}

/* The input is a JSON object that maps keys to rows: {"config/account/a1":{...},...}. */
static void fuzz_table(const char *data, size_t len)
{
	json_t *rows = json_loadb(data, len, 0, NULL);
	struct tlb_table t;
	struct tlb_error err;
	enum tlb_row_kind kind;
	const char *key;
	const char *id;
	json_t *value;

	if (!json_is_object(rows)) {
		json_decref(rows);
		return;
	}
	tlb_table_init(&t);
	json_object_foreach (rows, key, value) {
		if (tlb_table_split_key(key, &kind, &id))
			tlb_table_add(&t, kind, id, value, &err);
	}
	tlb_table_finish(&t);
	json_decref(rows);
}

static bool parse_event(void *arg, const char *data, size_t len)
{
	struct tlb_engine_event e;

	tlb_engine_read_event(data, len, &e);
	return true;
}

static void fuzz_events(const char *data, size_t len)
{
	struct tlb_sse s = {0};
	size_t middle = len / 2;

	if (tlb_sse_feed(&s, data, middle, parse_event, NULL))
		tlb_sse_feed(&s, data + middle, len - middle, parse_event, NULL);
	tlb_sse_finish(&s);
	tlb_stream_find_fault(data, len, NULL);
	tlb_stream_find_fault(data, len, "1");
}

static void fuzz_completion(const char *data, size_t len)
{
	struct tlb_completion c;
	struct tlb_error err;

	if (tlb_completion_parse(&c, data, len, false, &err) == TLB_OK)
		tlb_completion_finish(&c);
	if (tlb_completion_parse(&c, data, len, true, &err) == TLB_OK)
		tlb_completion_finish(&c);
}

static void fuzz_configuration(const char *data, size_t len)
{
	struct tlb_error err;
	struct tlb_routing *r = tlb_platform_read_routing(data, len, &err);

	if (r)
		tlb_routing_find_route(r, "h.example", "/a/b/c");
	tlb_routing_release(r);
}

static enum tlb_read_state read_in_slices(const char *data, size_t len,
					  struct tlb_routing *previous, struct tlb_routing **out)
{
	struct tlb_routing_reader r;
	enum tlb_read_state state;

	tlb_routing_reader_init(&r, data, len, previous);
	do {
		state = tlb_routing_reader_step(&r, 0);
	} while (state == TLB_READ_MORE);
	*out = state == TLB_READ_DONE ? tlb_routing_reader_take(&r) : NULL;
	tlb_routing_reader_finish(&r);
	return state;
}

/* Reads the input entry by entry, with the first input, the sample itself, as the table in force.
 */
static void fuzz_routing(const char *data, size_t len)
{
	static struct tlb_routing *in_force;
	struct tlb_routing *r;

	if (read_in_slices(data, len, in_force, &r) != TLB_READ_DONE)
		return;
	tlb_routing_find_route(r, "h.example", "/a/b/c");
	if (!in_force)
		in_force = tlb_routing_acquire(r);
	tlb_routing_release(r);
}

/* Parses the input as an entry, and its beginning as the key of a sound one. */
static void fuzz_instance(const char *data, size_t len)
{
	static const char sound[] = "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
				    "\"slots\":8,\"state\":\"ready\"}";
	struct tlb_instance_row row;
	struct tlb_error err;
	char key[TLB_STORED_ROW_KEY_LEN];

	tlb_platform_read_instance("i-1", data, len, &row, &err);
	snprintf(key, sizeof(key), "%.*s", (int)(len < sizeof(key) ? len : sizeof(key)), data);
	tlb_platform_read_instance(key, sound, sizeof(sound) - 1, &row, &err);
}

/* Reads the input as a store's answer that arrives in pieces. */
static void fuzz_rows(const char *data, size_t len)
{
	enum { PIECE = 700 };
	struct tlb_rowreader reader = {0};
	struct tlb_stored_rows rows;
	struct tlb_error err;
	size_t n;

	for (; len > 0 && !reader.malformed; data += n, len -= n) {
		n = len < PIECE ? len : PIECE;
		tlb_rowreader_feed(&reader, data, n);
	}
	if (tlb_rowreader_end(&reader, &rows, &err) == TLB_OK)
		tlb_stored_rows_finish(&rows);
}

/* Parses the input both as header lines and as the bodies that a platform sends. */
static void fuzz_response(const char *data, size_t len)
{
	char *head = strndup(data, len);
	struct tlb_response_info info;
	struct tlb_inbound in;
	struct tlb_load_report report;
	char handle[TLB_HANDLE_LEN];

	if (!head)
		abort();
	tlb_platform_read_response_info(503, head, &info);
	memset(&in, 0, sizeof(in));
	tlb_platform_read_parts(head, &in);
	free(tlb_platform_forwarded_head(head));
	tlb_platform_read_kv_handle(data, len, handle);
	tlb_platform_read_reservation(data, len, handle);
	tlb_platform_read_load_report(data, len, &report);
	free(head);
}

/* The verdict must not depend on the pieces in which a head arrives. */
static void fuzz_response_head(const char *data, size_t len)
{
	struct tlb_response_head whole = {0};
	struct tlb_response_head pieces = {0};
	const char *fault = tlb_response_head_check(&whole, data, len);
	const char *piece_fault = NULL;
	size_t i;

	for (i = 0; i < len && !piece_fault; i++)
		piece_fault = tlb_response_head_check(&pieces, data + i, 1);
	if (fault != piece_fault || whole.state != pieces.state)
		abort();
}

static void count_body(void *arg, const char *data, size_t len)
{
	size_t *count = arg;

	*count += len;
}

/* The request must not depend on the pieces in which it arrives. */
static void fuzz_request(const char *data, size_t len)
{
	struct tlb_request_reader whole;
	struct tlb_request_reader pieces;
	size_t whole_body = 0;
	size_t pieces_body = 0;
	size_t whole_read = 0;
	size_t pieces_read = 0;
	size_t n;

	tlb_request_reader_init(&whole, NULL, count_body, &whole_body);
	tlb_request_reader_init(&pieces, NULL, count_body, &pieces_body);
	while ((n = tlb_request_reader_read(&whole, data + whole_read, len - whole_read)) > 0)
		whole_read += n;
	while (pieces_read < len && tlb_request_reader_read(&pieces, data + pieces_read, 1) > 0)
		pieces_read++;
	if (whole.state != pieces.state || whole.reason != pieces.reason ||
	    whole_read != pieces_read || whole_body != pieces_body ||
	    whole.header_count != pieces.header_count)
		abort();
	tlb_request_reader_finish(&whole);
	tlb_request_reader_finish(&pieces);
}

static void fuzz_address(const char *data, size_t len)
{
	struct sockaddr_storage a;
	socklen_t alen;
	char text[128];
	char out[TLB_PEER_LEN];

	snprintf(text, sizeof(text), "%.*s", (int)(len < 127 ? len : 127), data);
	if (tlb_address_parse(text, &a, &alen))
		tlb_address_format(&a, out);
}

/* Writes the MAC into a frame. It covers the nonce and the frame number (both zero here), the key
 * id and the payload; see frame.h. */
static void write_mac(unsigned char *frame, size_t payload, const struct tlb_peer_key *key)
{
	enum { ZEROS = TLB_FRAME_NONCE_BYTES + 8 };
	static unsigned char mac_input[ZEROS + 1 + INPUT_MAX];

	mac_input[ZEROS] = frame[TLB_FRAME_LENGTH_BYTES];
	memcpy(mac_input + ZEROS + 1, frame + TLB_FRAME_HEADER_BYTES, payload);
	crypto_auth(frame + TLB_FRAME_LENGTH_BYTES + 1, mac_input, ZEROS + 1 + payload,
		    key->secret);
}

/* Decodes the input as a frame, then as the payload of a frame with a valid MAC, so that the
 * message decoder is reached. */
static void fuzz_frame(const char *data, size_t len)
{
	static const struct tlb_peer_key key = {.id = 1};
	const struct tlb_frame_keys keys = {&key, 1};
	struct tlb_frame_stream stream = {0};
	struct tlb_frame_buffer in = {0};
	Toucan__Envelope *e = NULL;
	unsigned char *p = tlb_frame_buffer_reserve(&in, len + TLB_FRAME_HEADER_BYTES);
	uint32_t n = (uint32_t)(len + 1 + TLB_FRAME_MAC_BYTES);

	memcpy(p, data, len);
	in.end = len;
	while (tlb_frame_decode(&in, &keys, &stream, &e) == TLB_OK && e)
		toucan__envelope__free_unpacked(e, NULL);
	in.start = 0;
	p = in.data;
	p[0] = (unsigned char)(n >> 24);
	p[1] = (unsigned char)(n >> 16);
	p[2] = (unsigned char)(n >> 8);
	p[3] = (unsigned char)n;
	p[4] = 1;
	memcpy(p + TLB_FRAME_HEADER_BYTES, data, len);
	write_mac(p, len, &key);
	in.end = len + TLB_FRAME_HEADER_BYTES;
	e = NULL;
	memset(&stream, 0, sizeof(stream));
	if (tlb_frame_decode(&in, &keys, &stream, &e) == TLB_OK && e)
		toucan__envelope__free_unpacked(e, NULL);
	tlb_frame_buffer_finish(&in);
}

static const struct {
	const char *name;
	target_fn *fn;
} targets[] = {
	{"settings", fuzz_settings},
	{"table", fuzz_table},
	{"events", fuzz_events},
	{"configuration", fuzz_configuration},
	{"routing", fuzz_routing},
	{"instance", fuzz_instance},
	{"rows", fuzz_rows},
	{"answer", fuzz_response},
	{"completion", fuzz_completion},
	{"request", fuzz_request},
	{"head", fuzz_response_head},
	{"address", fuzz_address},
	{"frame", fuzz_frame},
};

static struct sample read_sample(const char *path)
{
	struct sample s;
	FILE *f = fopen(path, "re");

	if (!f) {
		fprintf(stderr, "fuzz: cannot read %s\n", path);
		exit(EXIT_FAILURE);
	}
	s.len = fread(s.data, 1, sizeof(s.data), f);
	fclose(f);
	return s;
}

static size_t random_index(struct tlb_random *r, size_t n)
{
	return n > 0 ? (size_t)tlb_random_below(r, (int)n) : 0;
}

/* Applies one mutation: flips a bit, overwrites a byte, deletes, duplicates or truncates. Returns
 * the new length. */
static size_t mutate(struct tlb_random *r, char *data, size_t len)
{
	size_t at = random_index(r, len);
	size_t n = 1 + random_index(r, 16);

	if (len == 0)
		return 0;
	if (n > len - at)
		n = len - at;
	switch (tlb_random_below(r, 5)) {
	case 0:
		data[at] ^= (char)(1 << tlb_random_below(r, 8));
		return len;
	case 1:
		data[at] = (char)tlb_random_below(r, 256);
		return len;
	case 2:
		memmove(data + at, data + at + n, len - at - n);
		return len - n;
	case 3:
		if (len + n > INPUT_MAX)
			return len;
		memmove(data + at + n, data + at, len - at);
		return len + n;
	default:
		return random_index(r, 20) == 0 ? at : len;
	}
}

static void run_target(target_fn *fn, const struct sample *samples, int count, uint64_t seed,
		       int rounds)
{
	static char data[INPUT_MAX];
	struct tlb_random r;
	const struct sample *s;
	size_t len;
	int i;
	int k;

	tlb_random_init(&r, seed);
	for (i = 0; i < rounds; i++) {
		s = &samples[tlb_random_below(&r, count)];
		memcpy(data, s->data, s->len);
		len = s->len;
		/* The first round uses the sample unmodified. */
		for (k = i == 0 ? MUTATIONS_MAX : tlb_random_below(&r, MUTATIONS_MAX);
		     k < MUTATIONS_MAX; k++)
			len = mutate(&r, data, len);
		fn(data, len);
	}
}

int main(int argc, char **argv)
{
	static struct sample samples[SAMPLES_MAX];
	int count = 0;
	size_t i;

	if (argc < 5 || argc - 4 > SAMPLES_MAX || apr_initialize() != APR_SUCCESS ||
	    sodium_init() < 0) {
		fprintf(stderr, "usage: fuzz TARGET SEED COUNT SAMPLE...\n");
		return EXIT_FAILURE;
	}
	for (; count < argc - 4; count++)
		samples[count] = read_sample(argv[4 + count]);
	for (i = 0; i < sizeof(targets) / sizeof(targets[0]); i++) {
		if (strcmp(targets[i].name, argv[1]) != 0)
			continue;
		run_target(targets[i].fn, samples, count, strtoull(argv[2], NULL, 10),
			   atoi(argv[3]));
		printf("fuzz target=%s seed=%s inputs=%s ok\n", argv[1], argv[2], argv[3]);
		return EXIT_SUCCESS;
	}
	fprintf(stderr, "fuzz: unknown target %s\n", argv[1]);
	return EXIT_FAILURE;
}
