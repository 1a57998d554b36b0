/*
 * Encoding of frames between daemons: a 4-byte big-endian length (of the rest of the frame), a
 * 1-byte key id, a 32-byte MAC (libsodium crypto_auth), and the payload, one protobuf Envelope. The
 * MAC covers the receiver's nonce and the frame's sequence number in its stream (8 bytes,
 * big-endian), neither of which is transmitted, the key id and the payload. A frame is therefore
 * valid at only one position of one connection.
 */
#ifndef TLB_FRAME_H
#define TLB_FRAME_H

#include "error.h"
#include "settings.h"
#include "wire.pb-c.h"

enum {
	TLB_FRAME_LENGTH_BYTES = 4,
	TLB_FRAME_MAC_BYTES = 32,
	TLB_FRAME_HEADER_BYTES = TLB_FRAME_LENGTH_BYTES + 1 + TLB_FRAME_MAC_BYTES,
	TLB_FRAME_MAX_BYTES = 1 << 20, /* bytes of a frame, including its header */
	TLB_FRAME_NONCE_BYTES = 16,
};

/* MAC state of one direction of one connection; zero-initialised at its start. The nonce is chosen
 * by the receiver. It is zero for the first frame of the side that opens the connection, which has
 * not received the nonce yet. */
struct tlb_frame_stream {
	unsigned char nonce[TLB_FRAME_NONCE_BYTES];
	uint64_t next_seq; /* sequence number of the next frame */
};

/* Valid keys, borrowed: the first one signs, all are accepted (for key rotation). Keys may have the
 * same id. */
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
/* Returns a pointer to at least len writable bytes after end, or NULL when out of memory. */
unsigned char *tlb_frame_buffer_reserve(struct tlb_frame_buffer *b, size_t len);

/* Appends the next frame of the stream to out. Returns TLB_OK, TLB_TOO_LARGE, TLB_INVALID_KEY (no
 * key) or TLB_INTERNAL (out of memory); on an error out and stream are unchanged. */
enum tlb_code tlb_frame_encode(struct tlb_frame_buffer *out, const struct tlb_frame_keys *keys,
			       struct tlb_frame_stream *stream, const Toucan__Envelope *envelope);

/* Consumes the next frame of the stream from in. On TLB_OK *envelope is the message, which the
 * caller frees with toucan__envelope__free_unpacked(), or NULL when the frame is not complete yet.
 * After any other code the stream is unusable: TLB_TOO_LARGE, TLB_INVALID_KEY (unknown key id, or
 * wrong MAC, as for a frame of another connection or out of order) or TLB_BAD_REQUEST (the length
 * is below the header's, or the payload is not an Envelope). */
enum tlb_code tlb_frame_decode(struct tlb_frame_buffer *in, const struct tlb_frame_keys *keys,
			       struct tlb_frame_stream *stream, Toucan__Envelope **envelope);

#endif
