/*
 * Frames between daemons: a 4-byte big-endian length (of all that follows it), a 1-byte key id, a
 * 32-byte MAC (libsodium crypto_auth), and the payload, one protobuf-c Envelope. The MAC covers the
 * receiver's nonce, the frame's number in its stream (8 bytes, big-endian; neither is transmitted),
 * the key id and the payload, so that a frame is valid at one place of one connection only.
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
	TLB_FRAME_NONCE_BYTES = 16,
};

/* One direction of one connection; zero-initialised at its start. The nonce is the receiver's; it
 * is zero in the first frame of the side that opens the connection, which doesn't know it yet. */
struct tlb_frame_stream {
	unsigned char nonce[TLB_FRAME_NONCE_BYTES];
	uint64_t number; /* of the next frame */
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

/* Appends the next frame of the stream to out. Returns TLB_OK, TLB_TOO_LARGE, TLB_INVALID_KEY (no
 * key) or TLB_INTERNAL; on a fault out and stream are unchanged. */
enum tlb_code tlb_frame_encode(struct tlb_frame_buffer *out, const struct tlb_frame_keys *keys,
			       struct tlb_frame_stream *stream, const Toucan__Envelope *envelope);

/* Takes the next frame of the stream from in. On TLB_OK *envelope is the message (the caller frees
 * it with toucan__envelope__free_unpacked) or NULL when the frame is not complete yet. Any other
 * code means that the stream can't be used any more: TLB_TOO_LARGE, TLB_INVALID_KEY (unknown key
 * id, or wrong MAC: also a frame of another connection or out of order) or TLB_BAD_REQUEST (payload
 * is no Envelope). */
enum tlb_code tlb_frame_decode(struct tlb_frame_buffer *in, const struct tlb_frame_keys *keys,
			       struct tlb_frame_stream *stream, Toucan__Envelope **envelope);

#endif
