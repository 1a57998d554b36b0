/*
 * Frames between daemons: a 4-byte big-endian length (of all that follows it), a 1-byte key id, a
 * 32-byte MAC over key id and payload (libsodium crypto_auth), and the payload, one protobuf-c
 * Envelope.
 */
#ifndef TLB_FRAME_H
#define TLB_FRAME_H

#include "error.h"
#include "settings.h"
#include "wire.pb-c.h"

enum {
	TLB_FRAME_LENGTH_BYTES = 4,
	TLB_FRAME_MAC_BYTES = 32,
	TLB_FRAME_HEADER = TLB_FRAME_LENGTH_BYTES + 1 + TLB_FRAME_MAC_BYTES,
	TLB_FRAME_MAX = 1 << 20, /* bytes of a whole frame */
};

/* The keys in force, borrowed: the first signs, all are accepted. */
struct tlb_frame_keys {
	const struct tlb_peer_key *key;
	int count;
};

/* A growing byte buffer; owns data. Zero-initialised when empty. */
struct tlb_frame_buffer {
	unsigned char *data;
	size_t start; /* first byte not yet consumed */
	size_t end;
	size_t cap;
};

void tlb_frame_buffer_finish(struct tlb_frame_buffer *b);
/* Room for at least len bytes behind end; NULL without memory. */
unsigned char *tlb_frame_buffer_reserve(struct tlb_frame_buffer *b, size_t len);

/* Appends one frame to out. Returns TLB_OK, TLB_TOO_LARGE or TLB_INTERNAL; on a fault out is
 * unchanged. */
enum tlb_code tlb_frame_encode(struct tlb_frame_buffer *out, const struct tlb_frame_keys *keys,
			       const Toucan__Envelope *envelope);

/* Takes the next frame from in. On TLB_OK *envelope is the message (the caller frees it with
 * toucan__envelope__free_unpacked) or NULL when the frame is not complete yet. Any other code means
 * that the stream can't be used any more: TLB_TOO_LARGE, TLB_INVALID_KEY (unknown key id or wrong
 * MAC) or TLB_BAD_REQUEST (payload is no Envelope). */
enum tlb_code tlb_frame_decode(struct tlb_frame_buffer *in, const struct tlb_frame_keys *keys,
			       Toucan__Envelope **envelope);

#endif
