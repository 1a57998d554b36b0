/* Frames: incremental decoding, key rotation, malformed and forged frames, and valid frames at a
 * wrong position: replayed, omitted or reordered. */
#include <check.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "frame.h"

static struct tlb_peer_key test_keys[2];
static const struct tlb_peer_key forged_key = {.id = 1, .secret = {9}};

static struct tlb_frame_keys keys(int first, int count)
{
	struct tlb_frame_keys k = {.key = &test_keys[first], .count = count};

	return k;
}

/* The next frame of a stream. */
static void encode_next(struct tlb_frame_buffer *out, const struct tlb_frame_keys *k,
			struct tlb_frame_stream *stream, uint64_t id)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__Heartbeat heartbeat = TOUCAN__HEARTBEAT__INIT;
	char source[] = "vm1";

	envelope.source = source;
	envelope.id = id;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &heartbeat;
	ck_assert_int_eq(tlb_frame_encode(out, k, stream, &envelope), TLB_OK);
}

/* The first frame of a stream. */
static void encode_first(struct tlb_frame_buffer *out, const struct tlb_frame_keys *k, uint64_t id)
{
	struct tlb_frame_stream stream = {0};

	encode_next(out, k, &stream, id);
}

/* Decodes the first frame of a stream. */
static enum tlb_code decode_first(struct tlb_frame_buffer *in, const struct tlb_frame_keys *k,
				  Toucan__Envelope **msg)
{
	struct tlb_frame_stream stream = {0};

	return tlb_frame_decode(in, k, &stream, msg);
}

static void setup(void)
{
	ck_assert_int_ge(sodium_init(), 0);
	test_keys[0].id = 1;
	test_keys[1].id = 2;
	randombytes_buf(test_keys[0].secret, TLB_SECRET_LEN);
	randombytes_buf(test_keys[1].secret, TLB_SECRET_LEN);
}

/* Guards against a decoder that needs complete frames or loses bytes between two of them. */
START_TEST(frames_are_decoded_incrementally)
{
	struct tlb_frame_buffer out = {0};
	struct tlb_frame_buffer in = {0};
	struct tlb_frame_stream sent = {.nonce = {7}};
	struct tlb_frame_stream received = {.nonce = {7}};
	struct tlb_frame_keys k = keys(0, 2);
	Toucan__Envelope *msg;
	uint64_t last_id = 0;
	size_t i;

	for (i = 1; i <= 50; i++)
		encode_next(&out, &k, &sent, i);
	for (i = out.start; i < out.end; i++) {
		*tlb_frame_buffer_reserve(&in, 1) = out.data[i];
		in.end++;
		ck_assert_int_eq(tlb_frame_decode(&in, &k, &received, &msg), TLB_OK);
		if (!msg)
			continue;
		ck_assert_uint_eq(msg->id, ++last_id);
		toucan__envelope__free_unpacked(msg, NULL);
	}
	ck_assert_uint_eq(last_id, 50);
	tlb_frame_buffer_finish(&in);
	tlb_frame_buffer_finish(&out);
}
END_TEST

/* Guards against a key rotation that breaks links: a daemon that still signs with the old key must
 * accept frames signed with the new one. A removed key must be rejected. */
START_TEST(keys_rotate)
{
	struct tlb_frame_buffer b = {0};
	struct tlb_frame_keys old_first = keys(0, 2);
	struct tlb_frame_keys new_only = keys(1, 1);
	struct tlb_frame_keys old_only = keys(0, 1);
	Toucan__Envelope *msg;

	encode_first(&b, &new_only, 1);
	ck_assert_int_eq(decode_first(&b, &old_first, &msg), TLB_OK);
	ck_assert_ptr_nonnull(msg);
	toucan__envelope__free_unpacked(msg, NULL);
	encode_first(&b, &old_only, 2);
	ck_assert_int_eq(decode_first(&b, &new_only, &msg), TLB_INVALID_KEY);
	tlb_frame_buffer_finish(&b);
}
END_TEST

/* Guards against a frame that is rejected because the first key with its id is another one. */
START_TEST(keys_with_one_id_are_tried)
{
	struct tlb_frame_buffer b = {0};
	struct tlb_frame_keys both = keys(0, 2);
	struct tlb_frame_keys second = keys(1, 1);
	struct tlb_frame_keys forger = {.key = &forged_key, .count = 1};
	Toucan__Envelope *msg;

	test_keys[1].id = test_keys[0].id;
	encode_first(&b, &second, 1);
	ck_assert_int_eq(decode_first(&b, &both, &msg), TLB_OK);
	ck_assert_ptr_nonnull(msg);
	toucan__envelope__free_unpacked(msg, NULL);
	encode_first(&b, &forger, 2);
	ck_assert_int_eq(decode_first(&b, &both, &msg), TLB_INVALID_KEY);
	tlb_frame_buffer_finish(&b);
}
END_TEST

static void set_bytes(struct tlb_frame_buffer *b, size_t at, const unsigned char *bytes, size_t len)
{
	memcpy(b->data + at, bytes, len);
}

/* Guards against a corrupted or forged frame that is accepted, and against a length that makes the
 * daemon allocate too much memory or wait for ever. */
START_TEST(malformed_frames_are_rejected)
{
	static const struct {
		size_t at;
		size_t len;
		unsigned char bytes[4];
		enum tlb_code code;
	} cases[] = {
		{0, 4, {0xff, 0xff, 0xff, 0xff}, TLB_TOO_LARGE},
		{0, 4, {0x00, 0x10, 0x00, 0x00}, TLB_TOO_LARGE},
		{0, 4, {0x00, 0x00, 0x00, 0x00}, TLB_BAD_REQUEST},
		{0, 4, {0x00, 0x00, 0x00, 0x20}, TLB_BAD_REQUEST},
		{0, 4, {0x00, 0x00, 0x00, 0x22}, TLB_INVALID_KEY},
		{4, 1, {2}, TLB_INVALID_KEY},
		{4, 1, {77}, TLB_INVALID_KEY},
		{5, 1, {0}, TLB_INVALID_KEY},
		{TLB_FRAME_HEADER_BYTES, 1, {0x55}, TLB_INVALID_KEY},
	};
	struct tlb_frame_keys k = keys(0, 2);
	Toucan__Envelope *msg;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct tlb_frame_buffer b = {0};
		unsigned char flipped[4];

		encode_first(&b, &k, 1);
		memcpy(flipped, cases[i].bytes, sizeof(flipped));
		if (cases[i].at == 5)
			flipped[0] = b.data[5] ^ 1;
		set_bytes(&b, cases[i].at, flipped, cases[i].len);
		ck_assert_int_eq(decode_first(&b, &k, &msg), cases[i].code);
		ck_assert_ptr_null(msg);
		tlb_frame_buffer_finish(&b);
	}
}
END_TEST

/* Guards against a MAC that does not cover the entire frame: a frame with any bit flipped must be
 * rejected. */
START_TEST(mac_covers_every_bit)
{
	struct tlb_frame_keys k = keys(0, 2);
	struct tlb_frame_buffer b = {0};
	Toucan__Envelope *msg;
	size_t len;
	size_t bit;

	encode_first(&b, &k, 1);
	len = b.end;
	for (bit = 0; bit < 8 * len; bit++) {
		b.data[bit / 8] ^= 1 << bit % 8;
		/* With a larger length the decoder waits for more bytes. */
		decode_first(&b, &k, &msg);
		ck_assert_ptr_null(msg);
		b.data[bit / 8] ^= 1 << bit % 8;
	}
	tlb_frame_buffer_finish(&b);
}
END_TEST

/* Guards against accepting a frame that was signed with another key or is truncated. */
START_TEST(forged_and_truncated_frames)
{
	struct tlb_frame_keys k = keys(0, 2);
	struct tlb_frame_keys forger = {.key = &forged_key, .count = 1};
	struct tlb_frame_buffer b = {0};
	Toucan__Envelope *msg;

	encode_first(&b, &forger, 1);
	ck_assert_int_eq(decode_first(&b, &k, &msg), TLB_INVALID_KEY);
	b.start = b.end = 0;
	encode_first(&b, &k, 1);
	b.end--;
	ck_assert_int_eq(decode_first(&b, &k, &msg), TLB_OK);
	ck_assert_ptr_null(msg);
	tlb_frame_buffer_finish(&b);
}
END_TEST

/* Guards against a replayed or reordered frame, or one of another connection, that is accepted.
 * Each case passes the frames of one stream (0 to 2, in the order of arrival) to a receiver with
 * the given nonce, which must accept exactly the first `accepted` of them and reject the next. */
START_TEST(frame_is_valid_at_one_position_only)
{
	static const struct {
		unsigned char nonce; /* of the receiver; the frames are signed for 7 */
		int order[3];
		int accepted;
	} cases[] = {
		{7, {0, 1, 2}, 3}, /* as sent */
		{7, {0, 0, 1}, 1}, /* first replayed */
		{7, {0, 1, 1}, 2}, /* last replayed */
		{7, {0, 1, 0}, 2}, /* earlier one replayed */
		{7, {0, 2, 1}, 1}, /* reordered */
		{7, {1, 2, 0}, 0}, /* first omitted */
		{7, {0, 2, 2}, 1}, /* one omitted */
		{8, {0, 1, 2}, 0}, /* on another connection */
		{0, {0, 1, 2}, 0}, /* as the first frames of a connection */
	};
	struct tlb_frame_keys k = keys(0, 2);
	Toucan__Envelope *msg;
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct tlb_frame_stream sent = {.nonce = {7}};
		struct tlb_frame_stream received = {.nonce = {cases[i].nonce}};
		struct tlb_frame_buffer frames[3] = {0};
		enum tlb_code code = TLB_OK;

		for (n = 0; n < 3; n++)
			encode_next(&frames[n], &k, &sent, n + 1);
		for (n = 0; n < 3 && code == TLB_OK; n++) {
			struct tlb_frame_buffer *b = &frames[cases[i].order[n]];
			size_t end = b->end;

			code = tlb_frame_decode(b, &k, &received, &msg);
			ck_assert(!msg == (code != TLB_OK));
			if (msg)
				toucan__envelope__free_unpacked(msg, NULL);
			b->start = 0;
			b->end = end;
		}
		ck_assert_uint_eq(received.next_seq, cases[i].accepted);
		ck_assert_int_eq(code, cases[i].accepted == 3 ? TLB_OK : TLB_INVALID_KEY);
		for (n = 0; n < 3; n++)
			tlb_frame_buffer_finish(&frames[n]);
	}
}
END_TEST

/* Guards against queueing a frame that exceeds the limit and that every receiver must reject. */
START_TEST(oversized_message_is_not_sent)
{
	struct tlb_frame_keys k = keys(0, 1);
	struct tlb_frame_buffer b = {0};
	struct tlb_frame_stream stream = {0};
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	char *text = calloc(1, TLB_FRAME_MAX_BYTES + 1);

	memset(text, 'a', TLB_FRAME_MAX_BYTES);
	envelope.source = text;
	ck_assert_int_eq(tlb_frame_encode(&b, &k, &stream, &envelope), TLB_TOO_LARGE);
	ck_assert_uint_eq(b.end, 0);
	ck_assert_uint_eq(stream.next_seq, 0);
	free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("frame");
	TCase *tc = tcase_create("frame");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, frames_are_decoded_incrementally);
	tcase_add_test(tc, keys_rotate);
	tcase_add_test(tc, keys_with_one_id_are_tried);
	tcase_add_test(tc, malformed_frames_are_rejected);
	tcase_add_test(tc, mac_covers_every_bit);
	tcase_add_test(tc, forged_and_truncated_frames);
	tcase_add_test(tc, frame_is_valid_at_one_position_only);
	tcase_add_test(tc, oversized_message_is_not_sent);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
