/*
 * Counters of the daemon, exposed at GET /metrics in the Prometheus text format. The list below
 * defines all of them; a test checks docs/OPERATIONS.md against it.
 */
#ifndef TLB_COUNTER_H
#define TLB_COUNTER_H

#include <stdint.h>
#include <stddef.h>

/* X(identifier, exposed name, type, help) */
#define TLB_COUNTERS(X)                                                                            \
	X(REQUESTS, "toucanlb_requests_total", "counter", "Requests taken from callers")           \
	X(ANSWERED, "toucanlb_answered_total", "counter", "Requests answered whole")               \
	X(REFUSED_NOT_RUN, "toucanlb_refused_not_run_total", "counter", "Refusals as not run")     \
	X(FAILED_UNKNOWN, "toucanlb_failed_unknown_total", "counter",                              \
	  "Requests that ended with an unknown outcome")                                           \
	X(CALLER_DISCONNECTED, "toucanlb_caller_gone_total", "counter",                            \
	  "Requests whose caller closed before the end")                                           \
	X(IN_FLIGHT, "toucanlb_in_flight", "gauge", "Requests in flight")                          \
	X(PREFILLS, "toucanlb_prefills_total", "counter", "Prefills started")                      \
	X(PREFILL_WASTED_TOKENS, "toucanlb_prefill_wasted_tokens_total", "counter",                \
	  "Prompt tokens computed and then evicted, cancelled or recomputed")                      \
	X(RESUMES, "toucanlb_resumes_total", "counter", "Streams resumed on another endpoint")     \
	X(PREEMPTIONS, "toucanlb_preemptions_total", "counter",                                    \
	  "Batch streams that this VM, as owner of the endpoint's book, asked to give way")        \
	X(PREEMPTED, "toucanlb_preempted_total", "counter",                                        \
	  "Batch streams of this VM that gave way to an interactive request")                      \
	X(TOKENS_OUT, "toucanlb_tokens_out_total", "counter", "Output tokens sent to callers")     \
	X(CONFIG_VERSION, "toucanlb_config_version", "gauge", "Configuration version in force")    \
	X(CONFIG_CHANGES, "toucanlb_config_changes_total", "counter",                              \
	  "Operators' changes accepted by this VM")                                                \
	X(CONFIG_CONFLICTS, "toucanlb_config_conflicts_total", "counter",                          \
	  "Operators' changes that lost against another one")                                      \
	X(CONFIG_LEFT_OUT, "toucanlb_config_left_out", "gauge",                                    \
	  "Entries of the configuration in force that can't be used")                              \
	X(CONFIG_REFUSED, "toucanlb_config_refused_total", "counter",                              \
	  "Operators' changes refused for a fault or for lack of the table service")               \
	X(SESSION_VALID, "toucanlb_session_valid", "gauge", "1 while the session lease is valid")  \
	X(SESSION_LOST, "toucanlb_session_lost_total", "counter", "Times the session ran out")     \
	X(FENCES, "toucanlb_fences_total", "counter", "Incarnations of other VMs known as fenced") \
	X(SHARDS, "toucanlb_shards", "gauge", "Shards that this daemon acts for")                  \
	X(PEER_LINKS, "toucanlb_peer_links", "gauge", "Links to other daemons that are up")        \
	X(PEER_FRAMES_IN, "toucanlb_peer_frames_in_total", "counter", "Frames from daemons")       \
	X(PEER_FRAMES_OUT, "toucanlb_peer_frames_out_total", "counter", "Frames to daemons")       \
	X(PEER_BYTES_IN, "toucanlb_peer_bytes_in_total", "counter", "Bytes from daemons")          \
	X(PEER_BYTES_OUT, "toucanlb_peer_bytes_out_total", "counter", "Bytes to daemons")          \
	X(PEER_BAD_FRAMES, "toucanlb_peer_bad_frames_total", "counter",                            \
	  "Links closed for a frame that is too large, malformed or not authentic")                \
	X(PEER_SILENT, "toucanlb_peer_silent_total", "counter",                                    \
	  "Links closed because no frame arrived in time")                                         \
	X(LOAD_POLLS, "toucanlb_load_polls_total", "counter",                                      \
	  "Calls for the load of endpoints whose shards this daemon owns")                         \
	X(LOAD_REPORTS, "toucanlb_load_reports_total", "counter",                                  \
	  "Load reports taken from other daemons")                                                 \
	X(LOAD_REPORTS_REFUSED, "toucanlb_load_reports_refused_total", "counter",                  \
	  "Load reports from daemons that do not own the endpoint's shard")                        \
	X(BOOKINGS_RENEWED, "toucanlb_bookings_renewed_total", "counter",                          \
	  "Bookings renewed by a message to their owner")                                          \
	X(RESERVE_GRANTS, "toucanlb_reserve_grants_total", "counter",                              \
	  "Reservations granted as the standby of an account's owner")                             \
	X(ORDERS_SENT, "toucanlb_orders_sent_total", "counter",                                    \
	  "Orders sent to engines, repeated ones included")                                        \
	X(ORDERS_CONFIRMED, "toucanlb_orders_confirmed_total", "counter",                          \
	  "Orders that engines have confirmed")                                                    \
	X(ORDERS_REFUSED, "toucanlb_orders_refused_total", "counter",                              \
	  "Orders that engines have refused for an old fencing number")                            \
	X(STORE_CALLS, "toucanlb_store_calls_total", "counter",                                    \
	  "Calls to the platform's store behind an adapter")                                       \
	X(TABLES_FOLLOWING, "toucanlb_tables_following", "gauge",                                  \
	  "1 while this VM reads the shared tables from the store")                                \
	X(TABLES_AGE, "toucanlb_tables_age_ms", "gauge",                                           \
	  "Time since the shared tables were known to be current")                                 \
	X(CONFIG_ROWS_VERSION, "toucanlb_config_rows_version", "gauge",                            \
	  "Store version up to which the configuration table is known")                            \
	X(STORE_ERA, "toucanlb_store_era", "gauge",                                                \
	  "Latest era of the store that is known; rises when it returns from an older copy")       \
	X(ZONE_STAYED, "toucanlb_zone_stayed_total", "counter",                                    \
	  "Plain calls answered by endpoints of this VM's zone")                                   \
	X(ZONE_LEFT, "toucanlb_zone_left_total", "counter",                                        \
	  "Plain calls answered by endpoints of other zones")                                      \
	X(OVERLOAD_REFUSED, "toucanlb_overload_refused_total", "counter",                          \
	  "Requests refused because they exceed the capacity of a plain service")                  \
	X(COLD_ENDPOINTS, "toucanlb_cold_endpoints", "gauge",                                      \
	  "Endpoints that are cold, or may be, and get requests at a limited rate")                \
	X(ZONES_EVACUATED, "toucanlb_zones_evacuated", "gauge",                                    \
	  "Zones whose endpoints get no requests because the operator evacuates them")             \
	X(ENDPOINT_ROWS_VERSION, "toucanlb_endpoint_rows_version", "gauge",                        \
	  "Store version up to which the endpoint table is known")                                 \
	X(QUARANTINED_PARTS, "toucanlb_quarantined_parts", "gauge",                                \
	  "Prompt parts that are quarantined because they crash endpoints")                        \
	X(QUARANTINE_REFUSED, "toucanlb_quarantine_refused_total", "counter",                      \
	  "Requests rejected because of a quarantined prompt part")                                \
	X(HEADS_REFUSED, "toucanlb_heads_refused_total", "counter",                                \
	  "Requests refused because they are malformed, or their head is too large")               \
	X(LOOP_LATE, "toucanlb_loop_late_total", "counter",                                        \
	  "Rounds of the event loop that came late")                                               \
	X(LOOP_LATE_MS, "toucanlb_loop_late_ms_total", "counter",                                  \
	  "Time by which rounds of the event loop came late")                                      \
	X(MEMORY_USED, "toucanlb_request_memory_bytes", "gauge",                                   \
	  "Memory that requests and responses in flight hold")                                     \
	X(MEMORY_PEAK, "toucanlb_request_memory_peak_bytes", "gauge",                              \
	  "Most of it since the start")                                                            \
	X(MEMORY_REFUSED, "toucanlb_request_memory_refused_total", "counter",                      \
	  "Messages that did not fit into this memory")                                            \
	X(LOG_DROPPED, "toucanlb_log_dropped_total", "counter",                                    \
	  "Log lines dropped because the reader of the log was too slow")                          \
	X(HTTP_CALLS, "toucanlb_http_calls_total", "counter",                                      \
	  "Calls to endpoints and the table service that have ended")                              \
	X(HTTP_CONNECTS, "toucanlb_http_connects_total", "counter",                                \
	  "Connections opened for these calls")                                                    \
	X(HTTP_BYTES_IN, "toucanlb_http_bytes_in_total", "counter", "Bytes that these calls read") \
	X(HTTP_BYTES_OUT, "toucanlb_http_bytes_out_total", "counter", "Bytes that these calls sent")

enum tlb_counter {
#define X(id, name, type, help) TLB_COUNTER_##id,
	TLB_COUNTERS(X)
#undef X
		TLB_COUNTER_COUNT
};

/* Owned by the board; zero-initialised. */
struct tlb_counters {
	int64_t value[TLB_COUNTER_COUNT];
};

static inline void tlb_counter_add(struct tlb_counters *c, enum tlb_counter id, int64_t n)
{
	c->value[id] += n;
}

static inline void tlb_counter_set(struct tlb_counters *c, enum tlb_counter id, int64_t n)
{
	c->value[id] = n;
}

/* Renders all counters as exposition text. Returns malloc'd memory, or NULL if out of memory. */
char *tlb_counter_render(const struct tlb_counters *c, size_t *len);

#endif
