#include "peer.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "address.h"
#include "log.h"

enum {
	READ_BYTES = 64 << 10,
	HANDSHAKE_BYTES_MAX = 4096, /* buffered at most until the handshake is complete */
	BACKOFF_DOUBLINGS = 6,
	SIMULTANEOUS_OPEN_RETRIES = 3, /* refusals attributed to a simultaneous open */
};

#define LINK_CHECK_INTERVAL (1 * TLB_SECOND)

/* LINK_AWAIT_READY: an accepted connection whose Hello was received, but not yet the LinkReady that
 * proves that the Hello was not replayed. The Hello takes effect only then. */
enum link_state { LINK_CONNECTING, LINK_AWAIT_HELLO, LINK_AWAIT_READY, LINK_UP, LINK_CLOSED };

/* A message queued for a link that is being opened. Owned by struct tlb_peer. */
struct tlb_peer_queued_frame {
	APR_RING_ENTRY(tlb_peer_queued_frame) link;
	struct tlb_peer *peer;
	struct tlb_peer_call *call; /* NULL for a one-way message */
	size_t len;
	unsigned char packed[]; /* the packed Envelope */
};

/* One TCP connection. Owned by struct tlb_peers. */
struct tlb_peer_link {
	APR_RING_ENTRY(tlb_peer_link) link;
	struct tlb_peers *peers;
	struct tlb_peer *peer;	      /* NULL on an accepted connection before LinkReady */
	char claimed_id[TLB_ID_LEN];  /* VM id in the Hello of an accepted connection */
	uint64_t claimed_incarnation; /* incarnation in that Hello */
	unsigned char nonce[TLB_FRAME_NONCE_BYTES]; /* chosen by this side */
	struct tlb_frame_stream received;
	struct tlb_frame_stream sent;
	enum link_state state;
	bool opened_here;
	bool write_failed; /* the link will be closed from the loop */
	bool refused;	   /* the other end closed it without sending Hello */
	bool closing;	   /* LinkClose was sent or received; no new calls are sent */
	int fd;
	struct tlb_watch *watch;
	struct tlb_timer timer;
	tlb_time last_received_at; /* last frame received */
	tlb_time last_used_at;	   /* last frame received or sent */
	struct tlb_frame_buffer in;
	struct tlb_frame_buffer out;
	uint64_t queued;  /* bytes appended to the outgoing stream */
	uint64_t written; /* bytes of that stream written to the socket */
	struct tlb_peer_call_ring calls;
};

static void link_event(void *arg, int events);
static void link_timer(void *arg);
static void peer_retry(void *arg);
static void peer_open(struct tlb_peer *peer);

/* Frames queued until a link is open. */

static void queued_frame_free(struct tlb_peer_queued_frame *w)
{
	if (w->call)
		w->call->queued_frame = NULL;
	APR_RING_REMOVE(w, link);
	w->peer->queued_frame_count--;
	free(w);
}

static enum tlb_code queue_frame(struct tlb_peer *peer, const Toucan__Envelope *msg,
				 struct tlb_peer_call *call)
{
	size_t len = toucan__envelope__get_packed_size(msg);
	struct tlb_peer_queued_frame *w;

	if (peer->queued_frame_count >= TLB_PEER_QUEUED_FRAMES_MAX)
		return TLB_OVERLOADED;
	w = malloc(sizeof(*w) + len);
	if (!w)
		return TLB_OVERLOADED;
	w->peer = peer;
	w->call = call;
	w->len = toucan__envelope__pack(msg, w->packed);
	if (call)
		call->queued_frame = w;
	APR_RING_INSERT_TAIL(&peer->queued_frames, w, tlb_peer_queued_frame, link);
	peer->queued_frame_count++;
	return TLB_OK;
}

/* Calls. */

void tlb_peer_cancel(struct tlb_peer_call *call)
{
	struct tlb_peers *p = call->peers;

	if (!p)
		return;
	if (call->queued_frame)
		queued_frame_free(call->queued_frame);
	else
		APR_RING_REMOVE(call, link);
	tlb_timer_clear(p->loop, &call->timer);
	call->peers = NULL;
	call->sent_link = NULL;
}

static void call_fail(struct tlb_peer_call *call, enum tlb_code code, const char *reason)
{
	bool sent = call->sent_link && call->sent_link->written > call->stream_offset;
	struct tlb_error err;

	tlb_error_set(&err, code, sent ? TLB_OUTCOME_UNKNOWN : TLB_OUTCOME_NOT_RUN, "peer",
		      call->vm, "%s", reason);
	tlb_peer_cancel(call);
	call->on_reply(call->arg, NULL, &err);
}

static void call_timer(void *arg)
{
	struct tlb_peer_call *call = arg;

	if (call->failure_code != TLB_OK)
		call_fail(call, call->failure_code, "no link to the VM, or its queue is full");
	else
		call_fail(call, TLB_TIMEOUT, "no reply before the deadline");
}

/* Reports a failure from the loop, because on_reply never runs within tlb_peers_call(). */
static void call_fail_later(struct tlb_peers *p, struct tlb_peer_call *call, enum tlb_code code)
{
	call->failure_code = code;
	APR_RING_INSERT_TAIL(&p->failing, call, tlb_peer_call, link);
	tlb_timer_set(p->loop, &call->timer, tlb_clock_now());
}

static void fail_calls(struct tlb_peer_link *l)
{
	struct tlb_peer_call_ring calls;

	APR_RING_INIT(&calls, tlb_peer_call, link);
	APR_RING_CONCAT(&calls, &l->calls, tlb_peer_call, link);
	while (!APR_RING_EMPTY(&calls, tlb_peer_call, link))
		call_fail(APR_RING_FIRST(&calls), TLB_NOT_READY, "the link to the VM closed");
}

/* Fails the queued calls, with outcome TLB_OUTCOME_NOT_RUN as nothing of them was written, and
 * drops the queued one-way messages. */
static void fail_queued_frames(struct tlb_peer *peer)
{
	struct tlb_peer_queued_frame_ring waiting;
	struct tlb_peer_queued_frame *w;

	/* on_reply may queue a new call. */
	APR_RING_INIT(&waiting, tlb_peer_queued_frame, link);
	APR_RING_CONCAT(&waiting, &peer->queued_frames, tlb_peer_queued_frame, link);
	while (!APR_RING_EMPTY(&waiting, tlb_peer_queued_frame, link)) {
		w = APR_RING_FIRST(&waiting);
		if (w->call)
			call_fail(w->call, TLB_NOT_READY, "no link to the VM");
		else
			queued_frame_free(w);
	}
}

/* Peers. */

struct tlb_peer *tlb_peers_find(const struct tlb_peers *p, const char *vm)
{
	struct tlb_peer *peer;

	APR_RING_FOREACH (peer, &p->peers, tlb_peer, link)
		if (strcmp(peer->id, vm) == 0)
			return peer;
	return NULL;
}

static struct tlb_peer *peer_get(struct tlb_peers *p, const char *vm)
{
	struct tlb_peer *peer = tlb_peers_find(p, vm);

	if (peer || strlen(vm) >= sizeof(peer->id))
		return peer;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	peer->peers = p;
	strcpy(peer->id, vm);
	tlb_timer_init(&peer->retry, peer_retry, peer);
	APR_RING_INIT(&peer->queued_frames, tlb_peer_queued_frame, link);
	APR_RING_INSERT_TAIL(&p->peers, peer, tlb_peer, link);
	return peer;
}

/* Schedules the next attempt with exponential backoff. Jitter keeps daemons that lost the same VM
 * from reconnecting at the same time. */
static void retry_later(struct tlb_peer *peer)
{
	tlb_time delay =
		TLB_PEER_BACKOFF_MIN
		<< (peer->attempts < BACKOFF_DOUBLINGS ? peer->attempts : BACKOFF_DOUBLINGS);

	if (peer->active_link || peer->opening_link || !*peer->addr)
		return;
	if (delay > TLB_PEER_BACKOFF_MAX)
		delay = TLB_PEER_BACKOFF_MAX;
	delay = delay / 2 + randombytes_uniform(delay / 2);
	peer->attempts++;
	tlb_timer_set(peer->peers->loop, &peer->retry, tlb_clock_now() + delay);
}

/* Links. */

static void free_closed_links(void *arg)
{
	struct tlb_peers *p = arg;
	struct tlb_peer_link *l;

	while (!APR_RING_EMPTY(&p->closed, tlb_peer_link, link)) {
		l = APR_RING_FIRST(&p->closed);
		APR_RING_REMOVE(l, link);
		tlb_frame_buffer_finish(&l->in);
		tlb_frame_buffer_finish(&l->out);
		free(l);
	}
}

static void link_detach(struct tlb_peer_link *l)
{
	struct tlb_peers *p = l->peers;

	if (!l->peer)
		p->unidentified_links--;
	tlb_loop_unwatch(p->loop, l->watch);
	tlb_timer_clear(p->loop, &l->timer);
	close(l->fd);
	l->fd = -1;
	l->state = LINK_CLOSED;
	APR_RING_REMOVE(l, link);
	APR_RING_INSERT_TAIL(&p->closed, l, tlb_peer_link, link);
	tlb_timer_set(p->loop, &p->reaper, tlb_clock_now());
}

/* Closes a link without scheduling a reconnect. */
static void link_close(struct tlb_peer_link *l, const char *reason)
{
	struct tlb_peer *peer = l->peer;
	struct tlb_peers *p = l->peers;

	if (l->state == LINK_CLOSED)
		return;
	link_detach(l);
	if (peer && peer->opening_link == l)
		peer->opening_link = NULL;
	if (peer && peer->active_link == l) {
		peer->active_link = NULL;
		tlb_counter_add(p->counters, TLB_COUNTER_PEER_LINKS, -1);
		tlb_log_info("event=link_down vm=%s reason=\"%s\"", peer->id, reason);
	}
	fail_calls(l);
}

/* Handles a link that could not be opened. When two VMs open links to each other at the same time,
 * one link is refused: its opener waits for the other link, or retries. Any other failure fails the
 * queued calls and blocks further attempts until the backoff has passed. */
static void open_failed(struct tlb_peer *peer, bool refused)
{
	bool simultaneous = refused && peer->attempts < SIMULTANEOUS_OPEN_RETRIES;

	if (!simultaneous)
		fail_queued_frames(peer);
	retry_later(peer);
	if (simultaneous)
		peer->inbound_wait_until = peer->retry.deadline;
	else
		peer->next_attempt_at = peer->retry.deadline;
}

static void link_lost(struct tlb_peer_link *l, const char *reason)
{
	struct tlb_peer *peer = l->peer;
	bool was_up = l->state == LINK_UP;

	link_close(l, reason);
	if (!peer || peer->active_link)
		return;
	if (!was_up)
		open_failed(peer, l->refused);
	else if (peer->queued_frame_count > 0)
		peer_open(peer);
	else
		retry_later(peer);
}

static void link_update_events(struct tlb_peer_link *l)
{
	bool pending = l->state == LINK_CONNECTING || l->out.end > l->out.start;

	tlb_loop_set_events(l->peers->loop, l->watch, TLB_READABLE | (pending ? TLB_WRITABLE : 0));
}

/* Writes until the socket would block. After an error the link is closed later, from the loop. */
static void link_write(struct tlb_peer_link *l)
{
	ssize_t n;

	while (l->out.end > l->out.start) {
		n = send(l->fd, l->out.data + l->out.start, l->out.end - l->out.start,
			 MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno != EAGAIN) {
			l->write_failed = true;
			tlb_timer_set(l->peers->loop, &l->timer, tlb_clock_now());
		}
		if (n < 0)
			break;
		l->out.start += n;
		l->written += n;
		tlb_counter_add(l->peers->counters, TLB_COUNTER_PEER_BYTES_OUT, n);
	}
	link_update_events(l);
}

static enum tlb_code link_send(struct tlb_peer_link *l, Toucan__Envelope *msg)
{
	struct tlb_peers *p = l->peers;
	size_t before = l->out.end - l->out.start;
	enum tlb_code code;

	if (before > TLB_PEER_QUEUE_MAX)
		return TLB_OVERLOADED;
	msg->source = p->self;
	msg->incarnation = p->incarnation;
	code = tlb_frame_encode(&l->out, &p->keys, &l->sent, msg);
	if (code != TLB_OK)
		return code;
	l->queued += l->out.end - l->out.start - before;
	l->last_used_at = tlb_clock_now();
	tlb_counter_add(p->counters, TLB_COUNTER_PEER_FRAMES_OUT, 1);
	if (before == 0 && !l->write_failed)
		link_write(l);
	return TLB_OK;
}

/* For a message that owns its fields: link_send() replaces source by a borrowed string. */
static enum tlb_code link_send_copy(struct tlb_peer_link *l, Toucan__Envelope *msg)
{
	char *source = msg->source;
	enum tlb_code code = link_send(l, msg);

	msg->source = source;
	return code;
}

/* The MAC of every later frame of the other side must cover this side's nonce. */
static void send_hello(struct tlb_peer_link *l, char *target)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__Hello hello = TOUCAN__HELLO__INIT;

	hello.target = target;
	hello.nonce.data = l->nonce;
	hello.nonce.len = sizeof(l->nonce);
	envelope.body_case = TOUCAN__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	link_send(l, &envelope);
	memcpy(l->received.nonce, l->nonce, sizeof(l->nonce));
}

static void send_ready(struct tlb_peer_link *l)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__LinkReady ready = TOUCAN__LINK_READY__INIT;

	envelope.body_case = TOUCAN__ENVELOPE__BODY_LINK_READY;
	envelope.link_ready = &ready;
	link_send(l, &envelope);
}

static struct tlb_peer_link *link_new(struct tlb_peers *p, int fd, int events)
{
	struct tlb_peer_link *l = calloc(1, sizeof(*l));
	int on = 1;

	if (!l)
		return NULL;
	l->peers = p;
	l->fd = fd;
	randombytes_buf(l->nonce, sizeof(l->nonce));
	l->watch = tlb_loop_watch(p->loop, fd, events, link_event, l);
	if (!l->watch) {
		free(l);
		return NULL;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	APR_RING_INIT(&l->calls, tlb_peer_call, link);
	APR_RING_INSERT_TAIL(&p->links, l, tlb_peer_link, link);
	tlb_timer_init(&l->timer, link_timer, l);
	tlb_timer_set(p->loop, &l->timer, tlb_clock_now() + TLB_PEER_HELLO_TIMEOUT);
	return l;
}

static int connect_to(const char *addr)
{
	struct sockaddr_storage to;
	socklen_t len;
	int fd;

	if (!tlb_address_parse(addr, &to, &len))
		return -1;
	fd = socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (connect(fd, (const struct sockaddr *)&to, len) == 0 || errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

static void peer_open(struct tlb_peer *peer)
{
	int fd;

	if (peer->active_link || peer->opening_link)
		return;
	tlb_timer_clear(peer->peers->loop, &peer->retry);
	fd = connect_to(peer->addr);
	if (fd >= 0)
		peer->opening_link = link_new(peer->peers, fd, TLB_READABLE | TLB_WRITABLE);
	if (!peer->opening_link) {
		if (fd >= 0)
			close(fd);
		fail_queued_frames(peer);
		retry_later(peer);
		return;
	}
	peer->opening_link->peer = peer;
	peer->opening_link->opened_here = true;
	peer->opening_link->state = LINK_CONNECTING;
}

static void peer_retry(void *arg)
{
	struct tlb_peer *peer = arg;

	if (peer->persistent || peer->queued_frame_count > 0)
		peer_open(peer);
}

/* Whether a new link replaces the established one. Both sides must decide alike on two links
 * between the same processes. */
static bool replaces_active(const struct tlb_peer *peer, bool opened_here, uint64_t incarnation)
{
	bool self_is_lower = strcmp(peer->peers->self, peer->id) < 0;

	if (peer->incarnation != incarnation)
		return true;
	if (peer->active_link->closing ||
	    tlb_clock_now() - peer->active_link->last_received_at > TLB_PEER_HEALTHY_MAX_AGE)
		return true;
	return opened_here == self_is_lower;
}

static void call_start(struct tlb_peer_link *l, struct tlb_peer_call *call, uint64_t starts_at)
{
	call->sent_link = l;
	call->stream_offset = starts_at;
	call->sent_at = tlb_clock_now();
	APR_RING_INSERT_TAIL(&l->calls, call, tlb_peer_call, link);
}

/* Sends the frames that were queued for the link. */
static void send_queued_frames(struct tlb_peer_link *l)
{
	struct tlb_peer *peer = l->peer;
	struct tlb_peer_queued_frame *w;
	struct tlb_peer_call *call;
	Toucan__Envelope *msg;
	uint64_t starts_at;
	enum tlb_code code;

	while (!APR_RING_EMPTY(&peer->queued_frames, tlb_peer_queued_frame, link)) {
		w = APR_RING_FIRST(&peer->queued_frames);
		call = w->call;
		msg = toucan__envelope__unpack(NULL, w->len, w->packed);
		starts_at = l->queued;
		queued_frame_free(w);
		code = msg ? link_send_copy(l, msg) : TLB_OVERLOADED;
		if (msg)
			toucan__envelope__free_unpacked(msg, NULL);
		if (call && code == TLB_OK)
			call_start(l, call, starts_at);
		else if (call)
			call_fail_later(l->peers, call, code);
	}
}

static void link_up(struct tlb_peer_link *l, uint64_t incarnation)
{
	struct tlb_peer *peer = l->peer;
	struct tlb_peers *p = l->peers;

	if (peer->active_link && !replaces_active(peer, l->opened_here, incarnation)) {
		link_close(l, "another link is in use");
		return;
	}
	if (peer->opening_link == l)
		peer->opening_link = NULL;
	if (peer->opening_link)
		link_close(peer->opening_link, "another link is in use");
	if (peer->active_link)
		link_close(peer->active_link, "replaced by a newer link");
	peer->active_link = l;
	peer->inbound_wait_until = 0;
	peer->incarnation = incarnation;
	l->state = LINK_UP;
	if (l->opened_here)
		send_ready(l);
	tlb_timer_clear(p->loop, &peer->retry);
	tlb_timer_set(p->loop, &l->timer, tlb_clock_now());
	tlb_counter_add(p->counters, TLB_COUNTER_PEER_LINKS, 1);
	tlb_log_info("event=link_up vm=%s incarnation=%016llx opened_here=%d", peer->id,
		     (unsigned long long)incarnation, l->opened_here);
	send_queued_frames(l);
	p->handlers.on_up(p->handlers.arg, peer);
}

/* Whether to refuse a link that the other VM opened because a link opened here takes precedence.
 * The link is refused before this side answers with Hello: after that the other VM would send calls
 * on a link that is about to be closed. */
static bool own_link_takes_precedence(const struct tlb_peers *p, const char *vm,
				      uint64_t incarnation)
{
	const struct tlb_peer *peer = tlb_peers_find(p, vm);

	if (!peer)
		return false;
	if (peer->active_link)
		return !replaces_active(peer, false, incarnation);
	return peer->opening_link && strcmp(p->self, vm) < 0;
}

static void answer_hello(struct tlb_peer_link *l, const Toucan__Envelope *msg)
{
	if (strlen(msg->source) >= sizeof(l->claimed_id)) {
		link_close(l, "the VM id is too long");
		return;
	}
	if (own_link_takes_precedence(l->peers, msg->source, msg->incarnation)) {
		link_close(l, "the link opened by this VM takes precedence");
		return;
	}
	strcpy(l->claimed_id, msg->source);
	l->claimed_incarnation = msg->incarnation;
	l->state = LINK_AWAIT_READY;
	send_hello(l, l->claimed_id);
}

static void handle_hello(struct tlb_peer_link *l, const Toucan__Envelope *msg)
{
	struct tlb_peers *p = l->peers;

	if (msg->body_case != TOUCAN__ENVELOPE__BODY_HELLO ||
	    msg->hello->nonce.len != TLB_FRAME_NONCE_BYTES) {
		link_lost(l, "first frame is not a Hello with a nonce");
		return;
	}
	if (strcmp(msg->hello->target, p->self) != 0 || strcmp(msg->source, p->self) == 0 ||
	    (l->peer && strcmp(msg->source, l->peer->id) != 0)) {
		link_lost(l, "the other end is not the expected VM");
		return;
	}
	if (!p->handlers.accepts(p->handlers.arg, msg->source, msg->incarnation)) {
		link_lost(l, "the other end is fenced");
		return;
	}
	memcpy(l->sent.nonce, msg->hello->nonce.data, sizeof(l->sent.nonce));
	if (!l->peer) {
		answer_hello(l, msg);
		return;
	}
	link_up(l, msg->incarnation);
}

/* The MAC covers this side's nonce, so the sender is live and its Hello was not replayed. */
static void handle_ready(struct tlb_peer_link *l, const Toucan__Envelope *msg)
{
	struct tlb_peers *p = l->peers;

	if (msg->body_case != TOUCAN__ENVELOPE__BODY_LINK_READY ||
	    strcmp(msg->source, l->claimed_id) != 0 || msg->incarnation != l->claimed_incarnation) {
		link_close(l, "expected LinkReady from the sender of Hello");
		return;
	}
	if (!p->handlers.accepts(p->handlers.arg, msg->source, msg->incarnation)) {
		link_close(l, "the other end is fenced");
		return;
	}
	l->peer = peer_get(p, msg->source);
	if (!l->peer) {
		link_close(l, "out of memory");
		return;
	}
	p->unidentified_links--;
	link_up(l, msg->incarnation);
}

/* The side that received LinkClose closes the link once its own calls have ended. */
static void close_if_drained(struct tlb_peer_link *l)
{
	if (l->state == LINK_UP && l->closing && !l->opened_here &&
	    APR_RING_EMPTY(&l->calls, tlb_peer_call, link))
		link_lost(l, "idle");
}

static void handle_reply(struct tlb_peer_link *l, const Toucan__Envelope *msg)
{
	struct tlb_peer_call *call;

	APR_RING_FOREACH (call, &l->calls, tlb_peer_call, link)
		if (call->id == msg->reply_to) {
			tlb_peer_cancel(call);
			call->on_reply(call->arg, msg, NULL);
			break;
		}
	close_if_drained(l);
}

static void handle_link_close(struct tlb_peer_link *l)
{
	l->closing = true;
	close_if_drained(l);
}

static void handle_message(struct tlb_peer_link *l, Toucan__Envelope *msg)
{
	struct tlb_peer *peer = l->peer;

	l->last_received_at = tlb_clock_now();
	l->last_used_at = l->last_received_at;
	tlb_counter_add(l->peers->counters, TLB_COUNTER_PEER_FRAMES_IN, 1);
	if (l->state == LINK_AWAIT_HELLO) {
		handle_hello(l, msg);
		return;
	}
	if (l->state == LINK_AWAIT_READY) {
		handle_ready(l, msg);
		return;
	}
	if (strcmp(msg->source, peer->id) != 0 || msg->incarnation != peer->incarnation) {
		link_lost(l, "frame from an unexpected sender");
		return;
	}
	peer->attempts = 0;
	peer->last_received_at = l->last_received_at;
	if (msg->body_case == TOUCAN__ENVELOPE__BODY_LINK_CLOSE)
		handle_link_close(l);
	else if (msg->reply_to)
		handle_reply(l, msg);
	else
		l->peers->handlers.on_message(l->peers->handlers.arg, peer, msg);
}

static void link_decode(struct tlb_peer_link *l)
{
	Toucan__Envelope *msg;
	enum tlb_code code;

	while (l->state != LINK_CLOSED) {
		code = tlb_frame_decode(&l->in, &l->peers->keys, &l->received, &msg);
		if (code != TLB_OK) {
			tlb_counter_add(l->peers->counters, TLB_COUNTER_PEER_BAD_FRAMES, 1);
			tlb_log_warn("event=bad_frame vm=%s fault=%s", l->peer ? l->peer->id : "",
				     tlb_error_name(code));
			link_lost(l, "bad frame");
			return;
		}
		if (!msg)
			break;
		handle_message(l, msg);
		toucan__envelope__free_unpacked(msg, NULL);
	}
	if ((l->state == LINK_AWAIT_HELLO || l->state == LINK_AWAIT_READY) &&
	    l->in.end - l->in.start > HANDSHAKE_BYTES_MAX)
		link_lost(l, "too many bytes before the handshake was complete");
}

static void link_read(struct tlb_peer_link *l)
{
	unsigned char *buf = tlb_frame_buffer_reserve(&l->in, READ_BYTES);
	ssize_t n = buf ? recv(l->fd, buf, READ_BYTES, 0) : 0;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		l->refused = l->state == LINK_AWAIT_HELLO;
		link_lost(l, n < 0 ? strerror(errno) : "closed by the other end");
		return;
	}
	l->in.end += n;
	tlb_counter_add(l->peers->counters, TLB_COUNTER_PEER_BYTES_IN, n);
	link_decode(l);
}

static void link_connected(struct tlb_peer_link *l)
{
	socklen_t len = sizeof(int);
	int error = 0;

	getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		link_lost(l, strerror(error));
		return;
	}
	l->state = LINK_AWAIT_HELLO;
	send_hello(l, l->peer->id);
}

static void link_event(void *arg, int events)
{
	struct tlb_peer_link *l = arg;

	if (l->state == LINK_CONNECTING) {
		link_connected(l);
		return;
	}
	if (events & TLB_WRITABLE)
		link_write(l);
	if (events & (TLB_READABLE | TLB_HANGUP))
		link_read(l);
}

/* When the link counts as silent if no frame arrives before; TLB_NEVER while no frame is due. */
static tlb_time silence_deadline(const struct tlb_peer_link *l)
{
	const struct tlb_peer_call *call = APR_RING_FIRST(&l->calls);
	tlb_time from = l->last_received_at;

	if (tlb_peer_is_persistent(l->peer) || l->closing)
		return l->last_received_at + TLB_PEER_SILENCE_TIMEOUT;
	if (APR_RING_EMPTY(&l->calls, tlb_peer_call, link))
		return TLB_NEVER;
	if (call->sent_at > from)
		from = call->sent_at;
	return from + TLB_PEER_SILENCE_TIMEOUT;
}

/* The side that opened an idle link starts the close by LinkClose. The other side closes the link
 * after a longer limit, in case the opener has failed. */
static void close_idle(struct tlb_peer_link *l)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__LinkClose close = TOUCAN__LINK_CLOSE__INIT;

	if (!l->opened_here) {
		link_lost(l, "idle");
		return;
	}
	l->closing = true;
	l->last_received_at = tlb_clock_now();
	envelope.body_case = TOUCAN__ENVELOPE__BODY_LINK_CLOSE;
	envelope.link_close = &close;
	link_send(l, &envelope);
	tlb_timer_set(l->peers->loop, &l->timer, l->last_received_at + TLB_PEER_SILENCE_TIMEOUT);
}

/* When the link is to be closed as idle if no frame is received or sent before. */
static tlb_time idle_deadline(const struct tlb_peer_link *l)
{
	if (tlb_peer_is_persistent(l->peer) || l->closing ||
	    !APR_RING_EMPTY(&l->calls, tlb_peer_call, link))
		return TLB_NEVER;
	return l->last_used_at + l->peers->idle_timeout +
	       (l->opened_here ? 0 : TLB_PEER_SILENCE_TIMEOUT);
}

/* Runs at least once per LINK_CHECK_INTERVAL, because a new call does not rearm the timer. */
static void check_active_link(struct tlb_peer_link *l)
{
	tlb_time now = tlb_clock_now();
	tlb_time silent = silence_deadline(l);
	tlb_time idle = l->peers->idle_timeout;
	tlb_time next = now + (idle < LINK_CHECK_INTERVAL ? idle : LINK_CHECK_INTERVAL);

	if (now >= silent) {
		tlb_counter_add(l->peers->counters, TLB_COUNTER_PEER_SILENT, 1);
		link_lost(l, "no frame in time");
		return;
	}
	if (now >= idle_deadline(l)) {
		close_idle(l);
		return;
	}
	if (silent < next)
		next = silent;
	tlb_timer_set(l->peers->loop, &l->timer, next);
}

static void link_timer(void *arg)
{
	struct tlb_peer_link *l = arg;

	if (l->write_failed)
		link_lost(l, "write failed");
	else if (l->state == LINK_UP)
		check_active_link(l);
	else
		link_lost(l, "handshake timed out");
}

/* Listener and public interface. */

static void accept_links(void *arg, int events)
{
	struct tlb_peers *p = arg;
	struct tlb_peer_link *l;
	int fd;

	for (;;) {
		fd = accept4(p->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		l = p->unidentified_links < TLB_PEER_UNIDENTIFIED_MAX
			    ? link_new(p, fd, TLB_READABLE)
			    : NULL;
		if (!l) {
			close(fd);
			continue;
		}
		l->state = LINK_AWAIT_HELLO;
		p->unidentified_links++;
	}
}

void tlb_peers_init(struct tlb_peers *p, struct tlb_loop *loop, struct tlb_counters *counters,
		    const struct tlb_settings *settings, const struct tlb_peers_handlers *handlers)
{
	memset(p, 0, sizeof(*p));
	p->loop = loop;
	p->counters = counters;
	p->keys.key = settings->peer_keys;
	p->keys.count = settings->peer_key_count;
	p->handlers = *handlers;
	strcpy(p->self, settings->vm_id);
	p->listener = -1;
	p->idle_timeout = TLB_PEER_IDLE_TIMEOUT;
	APR_RING_INIT(&p->peers, tlb_peer, link);
	APR_RING_INIT(&p->links, tlb_peer_link, link);
	APR_RING_INIT(&p->closed, tlb_peer_link, link);
	APR_RING_INIT(&p->failing, tlb_peer_call, link);
	tlb_timer_init(&p->reaper, free_closed_links, p);
}

static void drop_calls(struct tlb_peer_call_ring *calls)
{
	while (!APR_RING_EMPTY(calls, tlb_peer_call, link))
		tlb_peer_cancel(APR_RING_FIRST(calls));
}

static void drop_queued_frames(struct tlb_peer *peer)
{
	struct tlb_peer_queued_frame *w;

	while (!APR_RING_EMPTY(&peer->queued_frames, tlb_peer_queued_frame, link)) {
		w = APR_RING_FIRST(&peer->queued_frames);
		if (w->call)
			tlb_peer_cancel(w->call);
		else
			queued_frame_free(w);
	}
}

void tlb_peers_finish(struct tlb_peers *p)
{
	struct tlb_peer_link *l;
	struct tlb_peer *peer;

	APR_RING_FOREACH (peer, &p->peers, tlb_peer, link)
		drop_queued_frames(peer);
	drop_calls(&p->failing);
	while (!APR_RING_EMPTY(&p->links, tlb_peer_link, link)) {
		l = APR_RING_FIRST(&p->links);
		drop_calls(&l->calls);
		link_detach(l);
	}
	free_closed_links(p);
	tlb_timer_clear(p->loop, &p->reaper);
	while (!APR_RING_EMPTY(&p->peers, tlb_peer, link)) {
		peer = APR_RING_FIRST(&p->peers);
		tlb_timer_clear(p->loop, &peer->retry);
		APR_RING_REMOVE(peer, link);
		free(peer);
	}
	tlb_loop_unwatch(p->loop, p->watch);
	p->watch = NULL;
	if (p->listener >= 0)
		close(p->listener);
	p->listener = -1;
}

enum tlb_code tlb_peers_listen(struct tlb_peers *p, const char *addr, struct tlb_error *err)
{
	p->listener = tlb_address_listen(addr, p->addr, err);
	if (p->listener < 0)
		return TLB_INTERNAL;
	p->watch = tlb_loop_watch(p->loop, p->listener, TLB_READABLE, accept_links, p);
	if (!p->watch)
		return tlb_error_set(err, TLB_INTERNAL, TLB_OUTCOME_NOT_RUN, "listen", addr,
				     "the listener can't be polled");
	return TLB_OK;
}

void tlb_peers_set_incarnation(struct tlb_peers *p, uint64_t incarnation)
{
	struct tlb_peer *peer;

	p->incarnation = incarnation;
	APR_RING_FOREACH (peer, &p->peers, tlb_peer, link) {
		if (peer->opening_link)
			link_lost(peer->opening_link, "new incarnation");
		if (peer->active_link)
			link_lost(peer->active_link, "new incarnation");
	}
}

struct tlb_peer *tlb_peers_add(struct tlb_peers *p, const char *vm, const char *addr)
{
	struct tlb_peer *peer = peer_get(p, vm);

	if (!peer || strlen(addr) >= sizeof(peer->addr))
		return NULL;
	strcpy(peer->addr, addr);
	peer->next_attempt_at = 0;
	return peer;
}

void tlb_peers_set_persistent(struct tlb_peers *p, const char *vm, bool keep)
{
	struct tlb_peer *peer = tlb_peers_find(p, vm);

	if (!peer || peer->persistent == keep)
		return;
	peer->persistent = keep;
	peer->persistent_since = tlb_clock_now();
	if (!keep && peer->queued_frame_count == 0)
		tlb_timer_clear(p->loop, &peer->retry);
	if (keep && *peer->addr && !peer->active_link && !peer->opening_link)
		tlb_timer_set(p->loop, &peer->retry, tlb_clock_now());
}

void tlb_peers_disconnect(struct tlb_peers *p, const char *vm)
{
	struct tlb_peer *peer = tlb_peers_find(p, vm);

	if (!peer)
		return;
	peer->persistent = false;
	peer->remote_persistent_until = 0;
	fail_queued_frames(peer);
	tlb_timer_clear(p->loop, &peer->retry);
	strcpy(peer->addr, "");
	if (peer->opening_link)
		link_close(peer->opening_link, "the VM left");
	if (peer->active_link)
		link_close(peer->active_link, "the VM left");
}

/* Whether a frame can be queued for a link that is being opened, or for the one that follows a link
 * being closed. */
static bool can_queue(const struct tlb_peer *peer)
{
	if (!peer || !*peer->addr)
		return false;
	if (peer->active_link)
		return peer->active_link->closing;
	return peer->opening_link || tlb_clock_now() >= peer->next_attempt_at;
}

static enum tlb_code queue_until_open(struct tlb_peer *peer, Toucan__Envelope *msg,
				      struct tlb_peer_call *call)
{
	enum tlb_code code;

	msg->source = peer->peers->self;
	msg->incarnation = peer->peers->incarnation;
	code = queue_frame(peer, msg, call);
	/* Opened from the loop, because on_reply never runs within tlb_peers_call(). */
	if (code == TLB_OK && !peer->active_link && !peer->opening_link &&
	    tlb_clock_now() >= peer->inbound_wait_until)
		tlb_timer_set(peer->peers->loop, &peer->retry, tlb_clock_now());
	return code;
}

static struct tlb_peer_link *usable_link(const struct tlb_peer *peer)
{
	return peer && peer->active_link && !peer->active_link->closing ? peer->active_link : NULL;
}

void tlb_peers_call(struct tlb_peers *p, const char *vm, struct tlb_peer_call *call,
		    Toucan__Envelope *msg, tlb_time deadline, tlb_peer_reply_fn *on_reply,
		    void *arg)
{
	struct tlb_peer *peer = tlb_peers_find(p, vm);
	struct tlb_peer_link *l = usable_link(peer);
	uint64_t starts_at = l ? l->queued : 0;
	enum tlb_code code = TLB_NOT_READY;

	memset(call, 0, sizeof(*call));
	tlb_timer_init(&call->timer, call_timer, call);
	call->peers = p;
	call->id = ++p->last_id;
	call->on_reply = on_reply;
	call->arg = arg;
	snprintf(call->vm, sizeof(call->vm), "%s", vm);
	msg->id = call->id;
	msg->reply_to = 0;
	if (l)
		code = link_send(l, msg);
	else if (can_queue(peer))
		code = queue_until_open(peer, msg, call);
	if (code != TLB_OK) {
		call_fail_later(p, call, code);
		return;
	}
	if (l)
		call_start(l, call, starts_at);
	tlb_timer_set(p->loop, &call->timer, deadline);
}

bool tlb_peers_send_if_up(struct tlb_peers *p, const char *vm, Toucan__Envelope *msg)
{
	struct tlb_peer_link *l = usable_link(tlb_peers_find(p, vm));

	msg->id = 0;
	msg->reply_to = 0;
	return l && link_send(l, msg) == TLB_OK;
}

bool tlb_peers_send(struct tlb_peers *p, const char *vm, Toucan__Envelope *msg)
{
	struct tlb_peer *peer = tlb_peers_find(p, vm);

	if (usable_link(peer))
		return tlb_peers_send_if_up(p, vm, msg);
	msg->id = 0;
	msg->reply_to = 0;
	return can_queue(peer) && queue_until_open(peer, msg, NULL) == TLB_OK;
}

void tlb_peers_reply(struct tlb_peers *p, const struct tlb_peer_reply_address *to,
		     Toucan__Envelope *msg)
{
	struct tlb_peer *peer = tlb_peers_find(p, to->vm);

	if (to->id == 0 || !tlb_peer_is_up(peer) || peer->incarnation != to->incarnation)
		return;
	msg->id = 0;
	msg->reply_to = to->id;
	link_send(peer->active_link, msg);
}
