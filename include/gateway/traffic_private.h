/**
 * @file
 * State of the traffic thread: caller sessions, servers and their connections.
 */
#pragma once

#include "common/clock.h"
#include "common/mailbox.h"
#include "decision/position_history.h"
#include "gateway/line_stream.h"
#include "gateway/traffic.h"
#include "gateway/view.h"

#include <glib.h>

struct connection;
struct server;
struct service;
struct session;

/** A statement type and its shape; prepared under one name on all server connections. */
struct prepared_shape
{
	char *shape;
	char name[16];
	bool is_write;
};

enum connection_state
{
	CONNECTION_OPENING, /**< TCP connect, then the greeting. */
	CONNECTION_IDLE,
	CONNECTION_SETUP, /**< Values, prepared names and BEGIN, before a statement. */
	CONNECTION_RUNNING,
	CONNECTION_ROLLING_BACK,
	CONNECTION_PROBING, /**< A status question or an order. */
	CONNECTION_CLOSED,
};

struct connection
{
	struct line_stream stream;
	struct server *server;
	enum connection_state state;
	GHashTable *values;          /**< Session values that the server holds, name to value. */
	GHashTable *prepared;        /**< Set of struct prepared_shape. */
	GString *answer;             /**< Lines of the present answer, without READY. */
	enum answer_code code;       /**< Of the present answer. */
	bool is_complete;            /**< The answer has its completion line. */
	bool is_in_transaction;      /**< As of the last answer. */
	uint32_t setup_pending;      /**< Outstanding answers before the statement. */
	enum answer_code setup_code; /**< First error of these. */
	bool setup_has_begin;        /**< The last of these begins a transaction. */
	bool setup_is_in_doubt;      /**< Another step than the beginning was refused. */
	struct session *session;     /**< Pinned, or whose statement runs; NULL when it has left. */
	bool is_sample;              /**< Probing: the question was for the owner's sample. */
	struct database_status status;
	bool has_status;
	int64_t sent_us;      /**< The present statement. */
	int64_t idle_us;      /**< Since when it is idle. */
	bool sent_to_primary; /**< The server was the primary, with authority, when it was sent. */
	bool is_relayed;      /**< Ends at the server's owner, which has the real connections. */
	uint32_t relay_ip;
	struct connection *next;
};

enum
{
	SERVER_OWNERS = 2, /**< Owner and standby. */
};

/** A VM that may hold a server's connections for others. */
struct server_owner
{
	uint32_t ip; /**< 0: this VM is, or there is none. */
	uint16_t port;
	bool is_self;
};

struct server
{
	char *id;
	char *zone;
	struct service *service;
	uint32_t ip;
	uint16_t port;
	uint32_t slots;
	bool is_listed;
	bool is_draining;
	bool is_same_zone; /**< In this VM's zone. */
	struct connection *connections;
	uint32_t connection_count;
	uint32_t running_count;
	uint32_t probing_count;
	struct log_position applied;
	int64_t applied_us;
	int64_t answered_us;     /**< Last answer of any kind. */
	int64_t failed_us;       /**< Since when it is unreachable; 0: it is not. */
	int64_t next_connect_us; /**< After a refused or failed connection. */
	int64_t next_growth_us;  /**< After its connection limit was reached. */
	int64_t behind_until_us; /**< A read was refused for its position. */
	bool is_behind;          /**< Refused reads for their position until a later one was served. */
	struct connection
		*probe_read; /**< Read that shows whether the server is still behind; NULL: none. */
	int64_t overloaded_until_us; /**< It refused a statement for lack of capacity. */
	int64_t latency_us;          /**< Moving mean of the time of a statement. */
	bool reported_unreachable;
	bool status_requested;
	uint64_t demote_term; /**< Order to send; 0: none. */
	/* The owner is the VM that holds most of the server's connections and orders the work of all VMs. */
	struct server_owner owners[SERVER_OWNERS];
	uint32_t owner_index;  /**< The one in use. */
	bool is_relay_lost;    /**< Neither answers, or the owner does not reach the server. */
	int64_t relay_lost_us; /**< Since when. */
	int64_t relay_retry_us;
	bool is_suspected; /**< The owner does not reach the server. */
	int64_t relay_answered_us;
	int64_t owner_probed_us; /**< Last time that a silent owner was asked. */
};

struct service
{
	char *name;
	struct gateway_traffic *traffic;
	uint32_t max_connections;
	GPtrArray *servers;     /**< Of struct server. */
	struct server *primary; /**< NULL: not known, or not listed. */
	uint64_t record_revision;
	bool is_changing;
	bool is_planned;
	bool is_quiesced;    /**< Reported that nothing runs at the old primary any more. */
	int64_t changing_us; /**< Since when. */
	struct position_history history;
	int64_t last_used_us; /**< Last time that callers of this or another VM needed it. */
	bool is_dispatching;
	bool dispatch_again; /**< Something changed inside service_dispatch(). */
	GQueue waiting;      /**< Of struct session, in order of priority and arrival. */
	GList *held_commits; /**< Sessions whose commit waits for newer knowledge of the lead. */
};

struct request
{
	bool is_active;
	bool is_queued;
	bool is_sent; /**< The statement itself may have reached a server. */
	bool is_commit_held;
	GString *id;
	GString *text;
	struct statement statement;   /**< Its texts point into @c text. */
	struct prepared_shape *shape; /**< EXECUTE. */
	bool has_after;               /**< Forwarded: required position. */
	struct log_position after;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t retry_us; /**< Not before. */
	uint32_t attempts;
	enum answer_code last_code; /**< Why the last attempt did not run. */
	GString *answer;            /**< Held. */
	char server[48];            /**< The last one that it was sent to; for the log. */
	int64_t chosen_us;          /**< When the present connection was chosen. */
	int64_t sent_us;            /**< When the statement was sent last. */
	int64_t answered_us;        /**< Held. */
};

struct session
{
	struct line_stream stream;
	struct gateway_traffic *traffic;
	struct service *service; /**< Of the present transaction; may be NULL. */
	bool is_greeted;
	bool is_starting; /**< The greeting waits for a configuration. */
	bool is_closed;
	bool is_relay; /**< Another VM forwards statements for one server. */
	struct server *relay_server;
	struct log_position relay_after; /**< Required by the transaction's beginning. */
	bool is_first_statement; /**< The present statement was sent along with the beginning. */
	char *database;
	GHashTable *values;   /**< Acknowledged values, name to value. */
	GHashTable *prepared; /**< Name to struct prepared_shape. */
	enum transaction_state state;
	bool is_read_only;
	bool is_started; /**< The server has begun the transaction. */
	bool has_written;
	bool is_aborted; /**< Rolled back while the caller was idle; told with the next answer. */
	int64_t began_us;
	int64_t accepted_us;
	int64_t active_us; /**< Last message or answer. */
	enum route_kind route_kind;
	uint32_t statement_timeout_ms;
	uint32_t target_latency_ms;
	uint32_t priority;
	uint32_t max_staleness_ms;
	struct connection *connection; /**< Pinned by the transaction, or running the statement. */
	struct log_position committed; /**< Last commit of this session. */
	uint64_t committed_revision;   /**< Lead under which it was made. */
	struct request request;
	GList link; /**< In traffic->sessions. */
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
	struct loop_timer reap;
	GQueue sessions;       /**< Of struct session. */
	GSList *dead_sessions; /**< Freed outside of their callbacks. */
	GSList *dead_connections;
	GHashTable *services; /**< By name. */
	GHashTable *servers;  /**< By id. */
	GHashTable *shapes;   /**< struct prepared_shape by type and shape. */
	struct view *view;
	int64_t records_valid_us; /**< The leads of the view held at that time. */
	bool is_leaving;
	int64_t leaving_us;
	int64_t
		out_of_rotation_us; /**< Since when this VM is cut off and out of rotation; 0: it is not. */
	const struct gateway_traffic_events *events;
	void *events_data;
};

/* traffic.c */
bool gateway_traffic_has_authority (const struct gateway_traffic *traffic, int64_t now_us);
void gateway_traffic_send_report (struct server *server, const struct database_status *status,
                                  int64_t now_us);
/** Tells only when the server answered last. */
void gateway_traffic_send_contact (struct server *server, int64_t now_us);
struct prepared_shape *gateway_traffic_find_shape (struct gateway_traffic *traffic,
                                                   struct text shape, bool is_write);

/* session.c */
void session_accept (struct gateway_traffic *traffic, int fd, bool is_relay);
void session_close (struct session *session);
void session_free (struct session *session);

/** Chosen for @p connection: sets it up and sends the statement. */
void session_run (struct session *session, struct connection *connection, int64_t now_us);

/** The setup was refused, nothing of the statement was sent. */
void session_handle_setup_failed (struct session *session, struct server *server,
                                  enum answer_code code, int64_t now_us);

/** The statement's answer is in the connection. */
void session_handle_answer (struct session *session, struct connection *connection,
                            const struct server_message *ready, int64_t now_us);

/** The connection broke. */
void session_handle_lost (struct session *session, bool was_sent, int64_t now_us);

/** Ends the present request with an error. */
void session_fail (struct session *session, enum answer_code code, const char *message);

/** As session_fail(), for a request that has not run; tells the caller when to come back. */
void session_refuse (struct session *session, enum answer_code code, const char *cause,
                     int64_t retry_after_us);

/** A commit waited for newer knowledge of the lead: @p is_confirmed, no change was ordered before it. */
void session_release_commit (struct session *session, bool is_confirmed);
void session_tick (struct session *session, int64_t now_us);
bool session_needs_primary (const struct session *session);

/** Lowest position that a read of the session must see. @return false when it is not known. */
bool session_find_required_position (const struct session *session, struct log_position *position);

/* relay.c */
/** Answers the greeting when the server is known. */
void relay_greet (struct session *session, int64_t now_us);
void relay_handle_start (struct session *session, const struct caller_message *message);
void relay_handle_query (struct session *session, const struct caller_message *message,
                         int64_t now_us);
void relay_refuse (struct session *session, enum answer_code code, const char *message);
void relay_handle_answer (struct session *session, struct connection *connection,
                          const struct server_message *ready, int64_t now_us);
void relay_close_all (struct server *server);

/* session.c, for its other parts and relay.c */
bool request_is_write (const struct request *request);
void session_complete (struct session *session);
/** Takes the route in force; it holds for the whole transaction. @return false when there is none. */
bool session_resolve_route (struct session *session);
void session_enqueue (struct session *session, int64_t now_us);
/** Answers the greeting; waits while no configuration is known. */
void session_greet (struct session *session);
/** session_query.c: decides about the statement in the request. */
void session_handle_query (struct session *session, int64_t now_us);
void session_answered (struct session *session);
void session_end_transaction (struct session *session);
bool session_find_shape (struct session *session);
void session_run_statement (struct session *session, int64_t now_us);
void session_set_value (struct session *session, const struct statement *statement);
void session_set_prepared (struct session *session, const struct statement *statement);

/* service.c */
struct service *service_get (struct gateway_traffic *traffic, const char *name);
void service_free (struct service *service);
void service_enqueue (struct service *service, struct session *session);
void service_remove (struct service *service, struct session *session);
void service_dispatch (struct service *service, int64_t now_us);
void service_apply_record (struct service *service, const struct primary_record *primary_record,
                           int64_t now_us);
void service_tick (struct service *service, int64_t now_us);
void service_handle_records_valid (struct service *service, int64_t now_us);
bool service_can_use_primary (const struct service *service, int64_t now_us);

/* server.c */
struct server *server_new (struct service *service, const struct server_entry *entry);
void server_update (struct server *server, const struct server_entry *entry);
void server_free (struct server *server);
void server_tick (struct server *server, int64_t now_us);
struct connection *server_find_idle (struct server *server, const struct session *session);
bool server_has_capacity (const struct server *server, int64_t now_us);
bool server_can_grow (const struct server *server, int64_t now_us);
/** For statements of other VMs, if the limits allow one. */
void server_open_direct (struct server *server, int64_t now_us);
void server_open (struct server *server, int64_t now_us);
/** Reports the last contact; asks the server for its status when that is some time ago. */
void server_report_contact (struct server *server, int64_t now_us);
/** Gets a sample of the primary's position, from its owner if there is one. */
void server_request_sample (struct server *server, int64_t now_us);
void server_close_all (struct server *server);
void server_handle_failed (struct server *server, int64_t now_us);
void server_handle_alive (struct server *server, int64_t now_us);

/** Closes and tells the session, if any. */
void server_end_connection (struct connection *connection);
/** Earliest time from which a question waits, to the current owner or to the server itself; 0: nothing is outstanding. */
int64_t server_oldest_request_us (const struct server *server, bool is_relayed);
/** Asks for the status on an idle connection, or opens one for it. */
void server_probe (struct server *server, bool is_direct, int64_t now_us);

/** There are so many VMs that the server cannot serve a connection of each. */
bool server_is_oversubscribed (const struct server *server);

/* server_owner.c */
/** Chooses owner and standby among the members of the view. */
void server_update_owner (struct server *server);
/** Statements of this VM go over another one. */
bool server_uses_relay (const struct server *server);
bool server_is_current_owner (const struct server *server, uint32_t ip);
/** The VM at @p ip has greeted a connection. */
void server_handle_relay_alive (struct server *server, uint32_t ip);
/** The VM at @p ip does not reach the server. */
void server_handle_suspicion (struct server *server, uint32_t ip, int64_t now_us);
/** The path over the VM at @p ip does not work. @param is_closed it has closed it or refuses it: its process ends or is down. */
void server_handle_relay_lost (struct server *server, uint32_t ip, bool is_closed, int64_t now_us);
/** Finds out about silent owners and servers. */
void server_check_timeouts (struct server *server, int64_t now_us);
/** Greets a lost owner from time to time, beside the traffic. */
void server_retry_relay (struct server *server, int64_t now_us);

/* connection.c */
/** Opens a connection to an owner, or to the server itself (@p owner NULL). */
struct connection *connection_open (struct server *server, const struct server_owner *owner,
                                    int64_t now_us);
void connection_set_state (struct connection *connection, enum connection_state state);
/** Closes; its session, if any, is not told. */
void connection_close (struct connection *connection);
void connection_free (struct connection *connection);
void connection_release (struct connection *connection, int64_t now_us);
void connection_roll_back (struct connection *connection);
void connection_request_status (struct connection *connection, int64_t now_us);
/** Asks the owner of a primary for its last sample. */
void connection_request_sample (struct connection *connection, int64_t now_us);
uint32_t connection_setup_cost (const struct connection *connection, const struct session *session);
/** Sends what is missing on the connection. @return number of answers to wait for. */
uint32_t connection_prepare (struct connection *connection, const struct session *session);
