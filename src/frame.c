#include "frame.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum {
	KEY_ID_OFFSET = TLB_FRAME_LENGTH_BYTES,
	MAC_OFFSET = KEY_ID_OFFSET + 1,
	BUFFER_INITIAL_BYTES = 1024,
	SEQ_BYTES = 8,
};

_Static_assert(TLB_FRAME_MAC_BYTES == crypto_auth_hmacsha512256_BYTES, "MAC size");

void tlb_frame_buffer_finish(struct tlb_frame_buffer *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

unsigned char *tlb_frame_buffer_reserve(struct tlb_frame_buffer *b, size_t len)
{
	size_t used = b->end - b->start;
	size_t cap = b->cap ? b->cap : BUFFER_INITIAL_BYTES;
	unsigned char *data;

	if (b->start > 0 && (used == 0 || b->cap - b->end < len)) {
		memmove(b->data, b->data + b->start, used);
		b->start = 0;
		b->end = used;
	}
	if (b->cap - b->end >= len)
		return b->data + b->end;
	while (cap - b->end < len)
		cap *= 2;
	data = realloc(b->data, cap);
	if (!data)
		return NULL;
	b->data = data;
	b->cap = cap;
	return data + b->end;
}

static void encode_seq(unsigned char *p, uint64_t seq)
{
	int i;

	for (i = 0; i < SEQ_BYTES; i++)
		p[i] = seq >> 8 * (SEQ_BYTES - 1 - i) & 0xff;
}

/* Computes crypto_auth incrementally, because the covered fields are not contiguous. */
static void compute_mac(unsigned char *mac, const struct tlb_peer_key *key,
			const struct tlb_frame_stream *stream, unsigned char key_id,
			const unsigned char *payload, size_t len)
{
	crypto_auth_hmacsha512256_state state;
	unsigned char seq[SEQ_BYTES];

	encode_seq(seq, stream->next_seq);
	crypto_auth_hmacsha512256_init(&state, key->secret, sizeof(key->secret));
	crypto_auth_hmacsha512256_update(&state, stream->nonce, sizeof(stream->nonce));
	crypto_auth_hmacsha512256_update(&state, seq, sizeof(seq));
	crypto_auth_hmacsha512256_update(&state, &key_id, 1);
	crypto_auth_hmacsha512256_update(&state, payload, len);
	crypto_auth_hmacsha512256_final(&state, mac);
}

static void encode_length(unsigned char *p, size_t len)
{
	p[0] = len >> 24 & 0xff;
	p[1] = len >> 16 & 0xff;
	p[2] = len >> 8 & 0xff;
	p[3] = len & 0xff;
}

static size_t decode_length(const unsigned char *p)
{
	return (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
}

enum tlb_code tlb_frame_encode(struct tlb_frame_buffer *out, const struct tlb_frame_keys *keys,
			       struct tlb_frame_stream *stream, const Toucan__Envelope *envelope)
{
	size_t len = toucan__envelope__get_packed_size(envelope);
	unsigned char *p;

	if (len > TLB_FRAME_MAX_BYTES - TLB_FRAME_HEADER_BYTES)
		return TLB_TOO_LARGE;
	if (keys->count == 0)
		return TLB_INVALID_KEY;
	p = tlb_frame_buffer_reserve(out, TLB_FRAME_HEADER_BYTES + len);
	if (!p)
		return TLB_INTERNAL;
	encode_length(p, TLB_FRAME_HEADER_BYTES - TLB_FRAME_LENGTH_BYTES + len);
	p[KEY_ID_OFFSET] = keys->key[0].id;
	toucan__envelope__pack(envelope, p + TLB_FRAME_HEADER_BYTES);
	compute_mac(p + MAC_OFFSET, &keys->key[0], stream, p[KEY_ID_OFFSET],
		    p + TLB_FRAME_HEADER_BYTES, len);
	out->end += TLB_FRAME_HEADER_BYTES + len;
	stream->next_seq++;
	return TLB_OK;
}

static bool has_valid_mac(const unsigned char *p, size_t payload_len,
			  const struct tlb_frame_keys *keys, const struct tlb_frame_stream *stream)
{
	unsigned char mac[TLB_FRAME_MAC_BYTES];
	int i;

	for (i = 0; i < keys->count; i++) {
		if (keys->key[i].id != p[KEY_ID_OFFSET])
			continue;
		compute_mac(mac, &keys->key[i], stream, p[KEY_ID_OFFSET],
			    p + TLB_FRAME_HEADER_BYTES, payload_len);
		if (sodium_memcmp(mac, p + MAC_OFFSET, sizeof(mac)) == 0)
			return true;
	}
	return false;
}

static enum tlb_code verify_and_unpack(const unsigned char *p, size_t payload_len,
				       const struct tlb_frame_keys *keys,
				       const struct tlb_frame_stream *stream,
				       Toucan__Envelope **envelope)
{
	if (!has_valid_mac(p, payload_len, keys, stream))
		return TLB_INVALID_KEY;
	*envelope = toucan__envelope__unpack(NULL, payload_len, p + TLB_FRAME_HEADER_BYTES);
	return *envelope ? TLB_OK : TLB_BAD_REQUEST;
}

enum tlb_code tlb_frame_decode(struct tlb_frame_buffer *in, const struct tlb_frame_keys *keys,
			       struct tlb_frame_stream *stream, Toucan__Envelope **envelope)
{
	size_t available = in->end - in->start;
	const unsigned char *p = in->data + in->start;
	size_t total;
	enum tlb_code code;

	*envelope = NULL;
	if (available < TLB_FRAME_LENGTH_BYTES)
		return TLB_OK;
	total = TLB_FRAME_LENGTH_BYTES + decode_length(p);
	if (total > TLB_FRAME_MAX_BYTES)
		return TLB_TOO_LARGE;
	if (total < TLB_FRAME_HEADER_BYTES)
		return TLB_BAD_REQUEST;
	if (available < total)
		return TLB_OK;
	code = verify_and_unpack(p, total - TLB_FRAME_HEADER_BYTES, keys, stream, envelope);
	if (code != TLB_OK)
		return code;
	in->start += total;
	stream->next_seq++;
	return TLB_OK;
}
