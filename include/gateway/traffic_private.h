/**
 * @file
 * State of the traffic thread: callers' sessions, servers and their connections.
 */
#pragma once

#include "common/clock.h"
#include "common/mailbox.h"
#include "decision/answer_match.h"
#include "decision/answer_restart.h"
#include "decision/own_commits.h"
#include "decision/position_history.h"
#include "decision/service_time.h"
#include "decision/slots.h"
#include "decision/tenant_pool.h"
#include "decision/wait_prediction.h"
#include "decision/work_queue.h"
#include "gateway/byte_string.h"
#include "gateway/cap_exchange.h"
#include "gateway/line_stream.h"
#include "gateway/tenant.h"
#include "gateway/traffic.h"
#include "gateway/view.h"

#include <glib.h>

struct connection;
struct server;
struct service;
struct session;

enum
{
	/** Of an entry of a session's or connection's tables besides its texts: two blocks of the heap and a row. */
	TABLE_ENTRY_BYTES = 128,
	TABLE_POINTER_BYTES = 32, /**< Of an entry without texts of its own. */
};

/** Text of a prepared statement, which has the same name on all server connections. */
struct prepared_shape
{
	struct byte_string *shape; /**< Statement text as in PREPARE. */
	char name[16];
	bool is_write;
};

enum connection_state
{
	CONNECTION_OPENING, /**< TCP connect, then the greeting. */
	CONNECTION_IDLE,
	CONNECTION_SETUP,   /**< Session values, prepared statements and BEGIN, before a statement. */
	CONNECTION_RUNNING, /**< A statement. */
	CONNECTION_ROLLING_BACK,
	CONNECTION_PROBING, /**< A query for the status or a sample, or a demotion. */
	CONNECTION_CLOSED,
};

struct connection
{
	struct line_stream stream;
	struct server *server;
	/** Tenant that the server was told; NULL: none. A connection to an owner has none. */
	struct tenant_state *tenant;
	enum connection_state state;
	GHashTable *
		values; /**< Session values that are set on the server, name to value, both struct byte_string. */
	size_t value_bytes;   /**< Of @c values. */
	GHashTable *prepared; /**< Set of struct prepared_shape that are prepared on the server. */
	GString *answer;      /**< Lines that have come of the present answer, without READY. */
	GString *greeting;    /**< READY line of the answer to the greeting. */
	struct answer_summary summary; /**< Of these lines. */
	size_t completion_start;       /**< Offset of the COMPLETE line. */
	enum answer_code code;         /**< Error code among these lines. */
	/** Position at which a transaction last began on the connection; term 0: none has. */
	struct log_position begin_position;
	bool
		has_reported; /**< It has been asked for the server's status, so that the next answer may be an earlier one. */
	/** What the server itself has answered; NULL: connected to its owner. */
	struct answer_match *match;
	/** What the statement that was sent last waits for. */
	enum answer_wanted statement_wanted;
	uint64_t statement_id; /**< Hash of id and text of the statement that was sent last. */
	enum transaction_state state_after; /**< State after that statement, if it succeeds. */
	bool is_in_transaction;             /**< According to the last answer. */
	uint32_t setup_pending;      /**< Outstanding answers to the setup before the statement. */
	enum answer_code setup_code; /**< First error among the answers to the setup. */
	bool setup_has_begin;        /**< The last setup statement is BEGIN. */
	bool setup_is_read_only;     /**< Of a read-only transaction. */
	bool setup_is_in_doubt;      /**< A setup statement other than BEGIN was refused. */
	/** Session of the transaction or running statement; NULL when it was closed. */
	struct session *session;
	bool is_sample; /**< Probing: the query is for the owner's sample. */
	struct database_status status;
	bool has_status;
	bool is_status;  /**< Probing: the query is for the status, which names what the server runs. */
	int64_t sent_us; /**< When the current statement was sent. */
	/** When the server said that it does not run the statement any more, whose answer is lost; 0: it may run. */
	int64_t lost_us;
	int64_t idle_us; /**< When it became idle. */
	/** The server was the primary, with authority, when the statement was sent. */
	bool sent_to_primary;
	/** Connected to the server's owner, which has the connections to the server. */
	bool is_relayed;
	uint32_t relay_ip; /**< Address of the owner that it is connected to; 0: the server itself. */
	struct connection *next;
};

enum
{
	SERVER_OWNERS = 2, /**< The owner and its standby. */
};

/** A VM that may hold a server's connections on behalf of the other VMs. */
struct server_owner
{
	uint32_t ip; /**< 0: it is this VM, or there is none. */
	uint16_t port;
	bool is_self;
};

/** Connections of tenants to the server itself. */
struct server_pool
{
	GHashTable *index; /**< Number of a tenant's row, counted from 1, by struct tenant_state. */
	GArray *rows;      /**< Array of struct tenant_pool_row. */
	GArray *demands;   /**< Array of struct tenant_demand, as @c rows. */
	bool is_current;   /**< The rows were counted after the last change. */
	struct tenant_pool_limit limit;
	int64_t next_replace_us; /**< Earliest replacement of a connection after a refused one. */
	struct tenant_state *starved_tenant; /**< Last tenant that found no place. */
	int64_t starved_us;                  /**< When it last asked for one; 0: none did. */
};

/** A status that may be an earlier one. It is believed if the true answer does not come within the usual time of one. */
struct unsettled_report
{
	int64_t sent_us; /**< When the question was sent; 0: there is none. */
	int64_t received_us;
	bool is_sample; /**< The position is one of the primary's, asked with authority. */
	struct log_position position;
	bool has_status;
	struct database_status status;
};

struct server
{
	char *id;
	char *zone;
	struct service *service;
	uint32_t ip;
	uint16_t port;
	uint32_t slots; /**< Statements that it runs concurrently. */
	bool is_listed; /**< It is in the view. */
	bool is_draining;
	int64_t use_end_us; /**< Draining: nothing begins there from then on; 0: not known. */
	bool is_same_zone;  /**< The server is in this VM's zone. */
	struct connection *connections;
	uint32_t connection_count;
	uint32_t running_count; /**< Statements that hold a slot, as far as this VM knows. */
	uint32_t probing_count;
	struct answer_time answer_time; /**< Of statements that were sent to the server itself. */
	struct slot_inquiry inquiry;    /**< Questions about overdue statements. */
	struct service_time times;      /**< Of statements that were sent to the server itself. */
	int64_t served_us; /**< When it last answered a statement that was sent to the server itself. */
	struct wait_error wait_error; /**< Of the predicted waits of statements that run from here. */
	struct load_report measured;  /**< Last measurement here, of a server that is used directly. */
	int64_t measured_us;
	struct load_report load; /**< Last report of the owner. */
	int64_t load_us;         /**< When the report came; 0: never. */
	int64_t repeated_us;     /**< When it last sent an answer again; 0: never. */
	struct unsettled_report unsettled;
	struct answer_restarts restarts;
	uint64_t slots_released;     /**< Slots of statements whose answers were lost. */
	struct log_position applied; /**< Last position that it reported. */
	int64_t applied_us;          /**< When it last reported its position. */
	int64_t answered_us;         /**< Time of its last answer of any kind. */
	int64_t failed_us;           /**< When it became unreachable; 0: it is reachable. */
	int64_t next_connect_us;     /**< Earliest new connection after a refused or failed one. */
	int64_t next_growth_us; /**< Earliest new connection after its connection limit was reached. */
	/** End of the pause after it refused a read for its position. */
	int64_t behind_until_us;
	bool is_behind; /**< It has refused a read for its position and has not served a later one. */
	struct connection *
		probe_read; /**< Connection whose read tests whether the server is still behind; NULL: none. */
	/** Until then it is avoided, since it refused a statement for lack of capacity. */
	int64_t overloaded_until_us;
	int64_t latency_us;        /**< Moving average of the latency of a statement. */
	bool reported_unreachable; /**< The control thread was told that it is unreachable. */
	bool status_requested;
	uint64_t demote_term; /**< Term of a demotion to send; 0: none. */
	struct server_pool pool;
	/** Tenant of the last statement, for connections that are opened without one. */
	struct tenant_state *last_tenant;
	/* The owner is the VM that holds most of the server's connections and runs the statements of all VMs on them. */
	struct server_owner owners[SERVER_OWNERS];
	uint32_t owner_index; /**< Index in owners of the VM in use. */
	/** Neither owner nor standby answers, or the owner does not reach the server. */
	bool is_relay_lost;
	int64_t relay_lost_us;  /**< When the relay was lost. */
	int64_t relay_retry_us; /**< Earliest new connection to a lost owner. */
	bool is_suspected; /**< The owner or standby has reported that it does not reach the server. */
	int64_t relay_answered_us; /**< Last answer of the owner or standby in use. */
	int64_t owner_probed_us;   /**< Last new connection to an owner that did not answer. */
};

struct service
{
	char *name;
	uint32_t number; /**< Identifies its log among those of all services. */
	struct gateway_traffic *traffic;
	uint32_t max_connections;
	GPtrArray *servers;     /**< Array of struct server. */
	struct server *primary; /**< NULL: not known, or not listed. */
	uint64_t record_change; /**< Number of the primary record in use. */
	bool is_changing;       /**< A change of primary has begun: the primary must not be used. */
	bool is_planned;  /**< The old primary still works, so running statements may complete first. */
	bool is_quiesced; /**< This VM has reported that nothing runs at the old primary any more. */
	int64_t record_adopted_us; /**< When the present record was adopted. */
	/** When the records were last known to be current before the present change of primary was learned of. */
	int64_t valid_before_change_us;
	struct position_history history;
	int64_t last_used_us;   /**< Last time that a caller of this or another VM used it. */
	uint32_t offered_count; /**< Requests of the queue that were offered before the present one. */
	bool needs_dispatch;    /**< The queue is passed at the end of the loop's turn. */
	GQueue waiting; /**< Queue of struct session; in the order of the last pass, then of arrival. */
	int64_t sorted_us; /**< When the queue was last sorted. */
	struct work_queue work;
	GHashTable *shares; /**< struct work_share by struct tenant_state. */
	/** Sessions whose commit waits for a confirmation of the primary record. */
	GList *held_commits;
};

struct request
{
	bool is_active;
	bool is_queued;
	enum delivery delivery; /**< Of the statement itself; its setup does not count. */
	/** The server has answered the commit; the answer is held until the records are confirmed. */
	bool is_commit_held;
	GString *id;
	GString *text;
	struct statement statement;   /**< Its members point into @c text. */
	struct prepared_shape *shape; /**< EXECUTE: the prepared statement. */
	bool has_after;               /**< Forwarded read that requires the position @c after. */
	struct log_position after;    /**< Position that the server must have applied. */
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t retry_us;        /**< Earliest next attempt. */
	bool may_move;           /**< Forwarded: another server can run it as well. */
	bool has_prediction;     /**< @c predicted_us is given. */
	int64_t predicted_us;    /**< Wait for a slot that was predicted on arrival. */
	int64_t queued_us;       /**< When it was queued for a slot of a server here. */
	struct work_order order; /**< Place in the last pass of the queue. */
	uint32_t attempts;
	enum answer_code last_code; /**< Why the last attempt did not run. */
	GString *answer;            /**< The server's answer to a held commit. */
	char server[48];            /**< Server of the last attempt; for the log. */
	int64_t chosen_us;          /**< When the current connection was chosen. */
	int64_t sent_us;            /**< When the statement was last sent. */
	int64_t answered_us;        /**< When the server answered a held commit. */
};

/** The token of a session's operation. */
enum cap_state
{
	CAP_NONE,
	CAP_WAITING,
	CAP_HELD,
	CAP_USED, /**< Something was sent to a server. */
};

struct session
{
	struct line_stream stream;
	struct gateway_traffic *traffic;
	struct service *service; /**< Service of the current transaction or statement; may be NULL. */
	bool is_greeted;
	/** The answer to the greeting waits for a configuration, or for the server's entry. */
	bool is_starting;
	bool is_closed;
	bool is_relay;    /**< The caller is another VM, which forwards statements for one server. */
	uint32_t peer_ip; /**< Address of that VM. */
	struct server *relay_server;
	/** Position that the forwarded BEGIN requires; { 0, 0 }: none. */
	struct log_position relay_after;
	bool is_first_statement; /**< The current statement was sent together with BEGIN. */
	char *database;
	bool has_nul; /**< The name of the database holds a NUL byte, so that it is none of a route. */
	struct key_digest key; /**< Digest of the caller's key. */
	/** Tenant of the current operation; NULL: none, the deployment or the route has no tenants. */
	struct tenant_state *tenant;
	bool
		takes_any_tenant; /**< A forwarded statement of a gateway itself: it runs on any tenant's connection. */
	enum cap_state cap_state;
	int64_t cap_until_us; /**< End of the wait for a token. */
	GHashTable *values; /**< Acknowledged session values, name to value, both struct byte_string. */
	size_t value_bytes; /**< Of @c values. */
	size_t shape_bytes; /**< Of the names and texts of @c prepared. */
	size_t name_bytes;  /**< Of the names alone; the texts belong to all sessions. */
	GHashTable *prepared; /**< Name (struct byte_string) to struct prepared_shape. */
	enum transaction_state state;
	bool is_read_only;
	bool is_started; /**< The server has begun the transaction. */
	bool has_written;
	bool is_aborted; /**< Rolled back while the caller was idle; reported with the next answer. */
	int64_t began_us;
	int64_t accepted_us;
	int64_t active_us; /**< Time of the caller's last message or of the last answer. */
	enum route_kind route_kind;
	uint32_t statement_timeout_ms;
	uint32_t target_latency_ms;
	uint32_t priority;
	uint32_t max_staleness_ms;
	struct connection *
		connection; /**< Connection that the transaction is pinned to, or that runs the statement. */
	struct own_commits commits;
	struct request request;
	GList link;       /**< Node in traffic->sessions. */
	bool is_ending;   /**< It begins no further operation. */
	int64_t ended_us; /**< When its output was ended; 0: it owes something. */
	GList end_link;   /**< Node in traffic->ending, if is_ending. */
};

struct gateway_traffic
{
	struct gateway_traffic_settings settings;
	struct loop loop;
	struct mailbox mailbox;
	pthread_t thread;
	bool has_thread;
	struct loop_source listener;
	struct loop_source relay_listener;
	struct loop_timer tick;
	struct loop_timer dispatch; /**< Passes the queues that changed in this turn of the loop. */
	struct loop_timer reap;
	struct loop_timer end; /**< Looks at the sessions that are ending. */
	GQueue sessions;       /**< Queue of struct session. */
	GQueue ending;         /**< Those of them that are ending. */
	GSList *dead_sessions; /**< Closed sessions, freed later since their callbacks may still run. */
	GSList *dead_connections;
	GHashTable *services; /**< struct service by name. */
	GHashTable *servers;  /**< struct server by id. */
	GHashTable *tenants;  /**< struct tenant_state by name. */
	GArray
		*tenant_report; /**< Handed to other threads by an atomic exchange; NULL: it was taken. */
	int64_t tenant_report_us; /**< When the last one was made. */
	struct cap_exchange cap_exchange;
	GHashTable *
		shapes; /**< struct prepared_shape by kind (read or write) and text (struct byte_string). */
	size_t shape_bytes;    /**< Charge of @c shapes in the budget. */
	uint32_t shape_number; /**< Number of the next one's name. */
	int64_t shapes_swept_us;
	struct buffer_budget budget; /**< Bytes in buffers of callers, VMs and servers. */
	int64_t counted_us;          /**< When the kernel's buffers were last counted. */
	int64_t trimmed_us;          /**< When unused memory was last returned to the system. */
	bool needs_trim;
	int64_t accept_paused_us;  /**< Since when no connection is accepted; 0: they are. */
	uint32_t relay_count;      /**< Relay sessions among @c sessions. */
	GHashTable *peer_sessions; /**< Number of relay sessions by address of the VM. */
	struct view *view;
	/** Latest time at which the records of the view are known to have been current. */
	int64_t records_valid_us;
	struct gateway_traffic_turns turns; /**< Written by the traffic thread, read by others. */
	bool is_leaving;
	int64_t leaving_us;
	/** Since when this VM has been isolated and out of rotation; 0: it is not. */
	int64_t out_of_rotation_us;
	const struct gateway_traffic_events *events;
	void *events_data;
};

/* traffic.c */
/** Prepares the loop for a thread, or for a test that runs the loop itself. */
void gateway_traffic_prepare (struct gateway_traffic *traffic,
                              const struct gateway_traffic_events *events, void *data);
/** Whether this VM may use primaries: its records were current less than SUCCESSION_AUTHORITY_MS ago, and a change of
 * primary waits that long for VMs that do not answer. */
bool gateway_traffic_has_authority (const struct gateway_traffic *traffic, int64_t now_us);
void gateway_traffic_send_report (struct server *server, const struct database_status *status,
                                  int64_t now_us);
/** Reports only the reachability and the time of the server's last answer. */
void gateway_traffic_send_contact (struct server *server, int64_t now_us);
/** Finds or adds a prepared statement with the text @p shape. @return NULL when the texts of all have no more room. */
struct prepared_shape *gateway_traffic_get_shape (struct gateway_traffic *traffic,
                                                  struct text shape, bool is_write);

/* client_limits.c */
void client_limits_init (struct gateway_traffic *traffic);
/** Bounds the kernel's buffers of the connections that the listener accepts. */
void client_limits_set_listener (struct gateway_traffic *traffic,
                                 const struct loop_source *listener);
/** Accepts connections; for struct loop_source. */
void client_limits_accept (struct loop_source *source, uint32_t epoll_events);
/** Closes connections if the budget is short. Must not be called while a line is handled. */
void client_limits_make_room (struct gateway_traffic *traffic, int64_t now_us);
/** Closes the session if its peer makes no progress. */
void client_limits_check_session (struct session *session, int64_t now_us);
void client_limits_tick (struct gateway_traffic *traffic, int64_t now_us);
/** Counts a relay session of a VM. @param number 1 or -1. */
void client_limits_add_peer (struct gateway_traffic *traffic, uint32_t ip, int number);

/* session.c */
/** @param peer_ip address of the VM whose statements the connection forwards; 0: a caller. */
void session_accept (struct gateway_traffic *traffic, int fd, uint32_t peer_ip);
void session_close (struct session *session);
void session_free (struct session *session);

/** Sets up @p connection for the session and sends the statement. */
void session_run (struct session *session, struct connection *connection, int64_t now_us);

/** Avoids a server for a while that has refused a statement. */
void server_heed_refusal (struct server *server, enum answer_code code, int64_t now_us);

/** Called when the server refused the setup, before the statement was sent. */
void session_handle_setup_failed (struct session *session, struct server *server,
                                  enum answer_code code, int64_t now_us);

/** Called when @p connection holds the complete answer to the statement. */
void session_handle_answer (struct session *session, struct connection *connection,
                            const struct server_message *ready, int64_t now_us);

/** Called when the connection was lost. */
void session_handle_lost (struct session *session, int64_t now_us);

/** Ends the current request with an error. */
void session_fail (struct session *session, enum answer_code code, const char *message);

/** As session_fail(), for a request that has not run; tells the caller when to retry. */
void session_refuse (struct session *session, enum answer_code code, const char *cause,
                     int64_t retry_after_us);

/** Answers a held commit. @param is_confirmed no change of primary had begun before the server's answer. */
void session_release_commit (struct session *session, bool is_confirmed);
void session_tick (struct session *session, int64_t now_us);
/** Ends the current request, whose time is over for the reason @p cause, with what is known of its statement. */
void session_time_out (struct session *session, const char *cause);
/** Rolls back the transaction of a session without a request. */
void session_abort_idle (struct session *session);

/* session_end.c */
/** Begins to end the session if it has to end; call whenever it may owe nothing. */
void session_check_end (struct session *session, int64_t now_us);
/** Looks at the sessions that are ending. Must not be called while a line is handled. */
void session_handle_ends (struct gateway_traffic *traffic, int64_t now_us);

bool session_needs_primary (const struct session *session);

/** Finds the lowest position that a read of the session must see. @return false when it is unknown. */
bool session_find_required_position (const struct session *session, struct log_position *position);

/* relay.c */
/** Answers the greeting once the server is known. */
void relay_greet (struct session *session, int64_t now_us);
void relay_handle_start (struct session *session, const struct caller_message *message);
void relay_handle_query (struct session *session, const struct caller_message *message,
                         int64_t now_us);
void relay_refuse (struct session *session, enum answer_code code, const char *message);
/** Closes the session's connection to the server, and answers its request, if there is one, with what is known of it. */
void relay_give_up (struct session *session, const char *cause);
void relay_handle_answer (struct session *session, struct connection *connection,
                          const struct server_message *ready, int64_t now_us);
void relay_close_all (struct server *server);

/* session*.c, for each other and relay.c */
bool request_is_write (const struct request *request);
/** When the session's current statement takes effect. */
enum statement_effect session_effect (const struct session *session);
void session_complete (struct session *session);
/**
 * Applies the present route of the database and the tenant of the caller's key, for a whole operation.
 * @return ANSWER_DONE, ANSWER_UNKNOWN_DATABASE or ANSWER_UNAUTHORIZED.
 */
enum answer_code session_resolve_route (struct session *session);
void session_enqueue (struct session *session, int64_t now_us);
/** Answers the greeting, or waits while there is no configuration, e.g. after a restart. */
void session_greet (struct session *session);
/** Executes the request's statement or queues it for a server; in session_query.c. */
void session_handle_query (struct session *session, int64_t now_us);
void session_answered (struct session *session);
void session_end_transaction (struct session *session);
bool session_find_shape (struct session *session);
void session_run_statement (struct session *session, int64_t now_us);
/** @return false when the session's values would be too large. */
bool session_set_value (struct session *session, const struct statement *statement);
/** @return false when the session's prepared statements, or those of all sessions, would be too large. */
bool session_set_prepared (struct session *session, const struct statement *statement);

/* service.c */
struct service *service_get (struct gateway_traffic *traffic, const char *name);
void service_free (struct service *service);
void service_enqueue (struct service *service, struct session *session);
void service_remove (struct service *service, struct session *session);
/** Requests a pass of the queue, which offers each request at most once. It runs at the end of the loop's turn, never
 * inside a callback, so that a pass that leads to another one keeps nothing else from its turn. */
void service_dispatch (struct service *service);
/** Runs the pass that was requested, if any. */
void service_run_dispatch (struct service *service, int64_t now_us);
void service_apply_record (struct service *service, const struct primary_record *primary_record,
                           int64_t now_us);
void service_tick (struct service *service, int64_t now_us);
void service_handle_records_valid (struct service *service, int64_t now_us);
bool service_can_use_primary (const struct service *service, int64_t now_us);
/**
 * Whether the session's statement may be sent to the server now: the only condition, both for the choice of a server and
 * before sending. How busy the server is does not matter here.
 */
bool service_may_run (const struct session *session, const struct server *server, int64_t now_us);

/* service_load.c */
/** What the session's statement is to the order of the queue. */
struct work_item service_work_item (const struct session *session);
struct work_order service_work_order (const struct session *session, int64_t now_us);
/**
 * Whether a server that may run the session's statement is used directly from here, has no free slot, and goes on
 * answering. One that has stopped has lost answers or fails, and nothing can be said about the wait.
 */
bool service_waits_for_slot (const struct session *session, int64_t now_us);
/** Predicts the wait of a session that has just been queued, if it waits for a server used directly from here. */
void service_predict_wait (struct session *session, int64_t now_us);
/** Accounts the start of a statement on a connection to the server itself. */
void service_account_start (struct session *session, const struct connection *connection,
                            int64_t now_us);
/** Whether a queued statement cannot be answered within its time limit. @param is_arrival it has just been queued. */
bool service_exceeds_limit (const struct session *session, bool is_arrival, int64_t now_us);
/** Load of a server that is used directly from here. */
struct load_report server_measure_load (struct server *server, int64_t now_us);
/** Predicted wait at a server by the last report of its owner; 0: none, or it is older than 1 s. */
int64_t server_reported_wait_us (const struct server *server, int64_t now_us);
/** When a caller whose request was refused should retry. */
int64_t service_retry_delay_us (const struct session *session, int64_t now_us);
enum service_time_kind session_time_kind (const struct session *session);

/* server.c */
struct server *server_new (struct service *service, const struct server_entry *entry);
void server_update (struct server *server, const struct server_entry *entry);
void server_free (struct server *server);
void server_tick (struct server *server, int64_t now_us);
struct connection *server_find_idle (struct server *server, const struct session *session);
/** Statements that this VM runs on connections to the server itself; those that it forwards do not count. */
uint32_t server_direct_running (const struct server *server);
bool server_has_capacity (const struct server *server, int64_t now_us);
/** Whether this VM may open another connection to the server or its current owner. */
bool server_can_open (struct server *server, struct tenant_state *tenant, int64_t now_us);
/** Tenant of a connection that no tenant's statement has asked for: servers are told declared tenants only. */
struct tenant_state *server_default_tenant (const struct server *server);
/** Opens a connection to the server itself, for forwarded statements, if the limits allow it. */
void server_open_direct (struct server *server, struct tenant_state *tenant, int64_t now_us);
void server_open (struct server *server, struct tenant_state *tenant, int64_t now_us);
/** Reports the last contact, and probes the server unless it has answered recently. */
void server_report_contact (struct server *server, int64_t now_us);
/** Requests a sample of the primary's position, from its owner if there is one. */
void server_request_sample (struct server *server, int64_t now_us);
void server_close_all (struct server *server);
void server_handle_failed (struct server *server, int64_t now_us);
void server_handle_alive (struct server *server, int64_t now_us);

/** Closes the connection and notifies its session, if any. */
void server_end_connection (struct connection *connection);
/**
 * When the oldest outstanding request was sent; 0: none is outstanding.
 * @param is_relayed requests to the current owner; otherwise requests to the server itself.
 */
int64_t server_oldest_request_us (const struct server *server, bool is_relayed);
/**
 * Whether the server's status may be asked for on the connection. That of a server that sends answers again has to be the
 * first question there, whose answer cannot be an earlier one.
 */
bool server_may_ask (const struct server *server, const struct connection *connection);
/** Requests the status on an idle connection, or opens a connection. @param is_direct bypass the owner. */
void server_probe (struct server *server, bool is_direct, int64_t now_us);

/** Whether there are too many VMs for each to have connections of its own to the server. */
bool server_is_oversubscribed (const struct server *server);

/** Whether no further connection to the server itself may be opened, and none is idle. */
bool server_lacks_connections (const struct server *server);

/* server_slots.c */
/** Applies what the server runs by its own word, which @p probe has received. */
void server_apply_running (struct server *server, const struct connection *probe, int64_t now_us);
/** Asks about overdue statements, and ends waits for answers that are lost. */
void server_check_slots (struct server *server, int64_t now_us);

/** Limit of connections from this VM to the server itself. */
uint32_t server_direct_limit (const struct server *server, int64_t now_us);

/* server_pool.c */
/** Whether connections to the server belong to tenants. */
bool server_has_tenants (const struct server *server);
void server_pool_init (struct server *server);
void server_pool_finish (struct server *server);
/** Whether a connection to the server itself would be opened for a waiting statement of the tenant. */
bool server_pool_can_open (struct server *server, struct tenant_state *tenant, int64_t now_us);
bool server_pool_is_opening (struct server *server, struct tenant_state *tenant, int64_t now_us);
/** Opens a connection to the server itself for the tenant, possibly in place of an idle one, if it needs one. */
void server_pool_open (struct server *server, struct tenant_state *tenant, int64_t now_us);
/** Whether the tenant leaves an idle connection to another one that has none. */
bool server_pool_yields (struct server *server, struct tenant_state *tenant, int64_t now_us);
/** Called when a statement of the tenant is sent to the server itself. */
void server_pool_add_use (struct server *server, struct tenant_state *tenant, int64_t now_us);
/** Called when the server has refused a connection for their number. */
void server_pool_handle_refused (struct server *server, int64_t now_us);

/* server_owner.c */
/** Chooses owner and standby among the members of the view. */
void server_update_owner (struct server *server);
/** Whether this VM forwards its statements to another one. */
bool server_uses_relay (const struct server *server);
bool server_is_current_owner (const struct server *server, uint32_t ip);
/** Called when the VM at @p ip has answered a greeting. */
void server_handle_relay_alive (struct server *server, uint32_t ip);
/** Called when the VM at @p ip reports that it does not reach the server. */
void server_handle_suspicion (struct server *server, uint32_t ip, int64_t now_us);
/**
 * Called when statements cannot be forwarded to the VM at @p ip.
 * @param is_closed it closed or refused the connection, so its process is ending or down.
 */
void server_handle_relay_lost (struct server *server, uint32_t ip, bool is_closed, int64_t now_us);
/** Detects owners and servers that do not answer. */
void server_check_timeouts (struct server *server, int64_t now_us);
/** Periodically opens a connection to a lost owner, or switches to the standby. */
void server_retry_relay (struct server *server, int64_t now_us);

/* connection_answer.c */
/** Handles a line of the server or owner, without its end. */
void connection_handle_line (struct connection *connection, struct text line);
/** Whether the server has sent an answer again lately. */
bool server_has_repeats (const struct server *server);
/** Whether a part of an answer has come that nothing waits for. */
bool connection_has_part (const struct connection *connection);
/** Believes a status that no other answer has followed. */
void server_settle (struct server *server, int64_t now_us);

/* connection.c */
/**
 * Opens a connection to an owner, or to the server itself (@p owner NULL). A failure is handled from the loop, never
 * before this returns.
 * @param tenant tenant that the server is told; NULL: none. Ignored for an owner.
 */
void connection_open (struct server *server, const struct server_owner *owner,
                      struct tenant_state *tenant, int64_t now_us);
void connection_set_state (struct connection *connection, enum connection_state state);
/** Handles the end of the connection, by its peer or for an error, as the loss of the path to the server or owner. */
void connection_handle_lost (struct connection *connection, const char *cause, int error);
/** Closes the connection; what waits for an answer on it is unanswered, and its path is not lost. */
void connection_give_up (struct connection *connection, const char *cause);
/** Its statement does not run any more, but its answer has not come. */
void connection_release_slot (struct connection *connection, int64_t now_us);
/** Closes the connection without notifying its session. */
void connection_close (struct connection *connection);
void connection_free (struct connection *connection);
void connection_release (struct connection *connection, int64_t now_us);
void connection_roll_back (struct connection *connection);
void connection_request_status (struct connection *connection, int64_t now_us);
/** Requests the last sample from the owner of a primary. */
void connection_request_sample (struct connection *connection, int64_t now_us);

/** Weighted number of statements that connection_prepare() would send. */
uint32_t connection_setup_cost (const struct connection *connection, const struct session *session);
/**
 * Sends the session values and prepared statements that are missing on the connection.
 * @return number of answers to wait for.
 */
uint32_t connection_prepare (struct connection *connection, const struct session *session);
