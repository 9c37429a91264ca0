/**
 * @file
 * Parts of the control thread. Everything here runs in that one thread.
 */
#pragma once

#include "common/loop.h"
#include "common/mailbox.h"
#include "common/rpc_listener.h"
#include "decision/configuration.h"
#include "decision/drain.h"
#include "decision/failover.h"
#include "decision/membership.h"
#include "flamingospring/control.h"
#include "flamingospring/platform.h"
#include "protocols/operator.h"
#include "protocols/peer.h"

enum
{
	CONTROL_MAX_MEMBERS = 2048,
	CONTROL_MAX_ITEMS = 8192, /**< A group item for each database, and leaving servers. */
	CONTROL_MAX_SERVICES = 4096,
	CONTROL_CALL_TIMEOUT_US = 1000000,
	CONTROL_PLATFORM_TIMEOUT_US = 2000000,
	CONTROL_MAX_CLIENTS = 1024, /**< Accepted connections on the control port. */
};

/** One service document as the platform holds it. */
struct control_document
{
	char service[SCHEMA_NAME_BYTES];
	uint64_t revision;
	bool is_deleted;
	char *value;                      /**< The platform's value: JSON, see control_documents.c. */
	struct snapshot_service *adopted; /**< NULL while deleted or invalid. */
};

struct control_observer;
struct control_call;

struct control
{
	const struct settings *settings;
	const struct control_traffic_ops *ops;
	void *data;
	pthread_t thread;
	struct loop loop;
	struct mailbox mailbox;
	struct mailbox_message stop_message;
	uint8_t stop_requested;
	struct snapshot_source *snapshots;
	struct snapshot_reader writer;
	uint64_t generation;
	uint64_t random;

	void *membership_memory;
	struct membership *membership;
	uint64_t seen_generation; /**< Of membership, at the last publication. */
	struct loop_source gossip_source;
	struct loop_timer gossip_timer;
	struct loop_timer seed_timer;
	uint32_t next_seed;

	void *configuration_memory;
	struct configuration *configuration;
	struct loop_timer configuration_timer;
	struct control_document *documents; /**< Sorted by service. */
	size_t document_count;
	size_t document_capacity;
	uint64_t pull_revision;
	uint64_t heard_revision; /**< Highest that gossip told of. */
	bool is_watcher;
	bool platform_ok;
	struct platform platform;
	uint64_t vms_revision;
	struct loop_timer vms_timer;
	bool is_watching_vms;

	struct control_observer *observers;
	struct control_call *calls;
	struct rpc_listener server;

	struct drain_settings drain_settings;
	struct drain drain;
	struct loop_timer drain_timer;
	struct loop_timer publish_timer;
};

/** Hash of a zone's name, as in struct member_address. */
uint32_t control_zone_hash (const char *zone);

/** Publishes a new snapshot soon; several changes at a time make one snapshot. */
void control_schedule_publish (struct control *control);

/** Name of a zone by its hash, from the service documents; "?" when none has it. */
const char *control_zone_name (const struct control *control, uint32_t zone);

/* control_gossip.c */

int control_gossip_init (struct control *control);
void control_gossip_finish (struct control *control);

/** Sends what membership wants to send and sets its timer. */
void control_gossip_pump (struct control *control);

/** Merges an item that was learned or made here; spreads it and publishes when it is news. */
bool control_merge_item (struct control *control, const struct membership_item *item);

void control_item_encode (const struct membership_item *item, struct fs_item *out);
bool control_item_decode (const struct fs_item *in, struct membership_item *item);

/* control_call.c */

/** Result of an outgoing call: @p status 0, or a negative error number and @p result NULL. */
typedef void control_call_handler (struct control *control, void *data, int status, void *result);

struct control_call_request
{
	uint32_t ip;
	uint16_t port;
	uint32_t program;
	uint32_t procedure;
	xdrproc_t encode;
	const void *args;
	xdrproc_t decode;
	size_t result_size;
	control_call_handler *handle;
	void *data;
};

/** Calls another VM's control port, on a connection of its own. The handler runs exactly once unless
 * the return value is negative. */
int control_call_start (struct control *control, const struct control_call_request *request);
void control_calls_finish (struct control *control);

/* control_server.c */

int control_server_init (struct control *control);
void control_server_finish (struct control *control);

/** Answers later: names a connection that may be closed by then. */
struct control_reply_handle
{
	uint32_t connection;
	uint32_t xid;
};

struct control_reply_handle control_reply_hold (struct rpc_connection *connection, uint32_t xid);
void control_reply_send (struct control *control, struct control_reply_handle handle,
                         xdrproc_t encode, const void *result);

/* control_documents.c */

int control_documents_init (struct control *control);
void control_documents_finish (struct control *control);
void control_documents_pump (struct control *control);

/** Tells configuration about watchers and newer peers after a change of members. */
void control_documents_handle_members (struct control *control);
const struct control_document *control_documents_find (const struct control *control,
                                                       const char *service);

/** Offers a document of the platform or of a peer. @return whether it was adopted. */
bool control_documents_offer (struct control *control, const char *service, uint64_t revision,
                              const char *value);

/** Fills the answer to FS_PEER_CONFIG_PULL; strings belong to the documents, free only the array. */
void control_documents_list (struct control *control, uint64_t revision,
                             struct fs_config_result *result);

/** Value of a document as stored on the platform; free with g_free(). */
char *control_document_value (const char *operation_id, const char *author, const char *text,
                              bool is_deleted);

/** Members of a stored value; free the strings with g_free(). @return 0 or -EPROTO. */
int control_document_parse (const char *value, char **operation_id, char **author, char **text,
                            bool *is_deleted);

/* control_vms.c */

int control_vms_init (struct control *control);
void control_vms_finish (struct control *control);

/** Watches the platform's VM list while this VM is a watcher of its zone. */
void control_vms_set_watcher (struct control *control, bool is_watcher);

/* control_observer.c */

/** Makes observers match the published snapshot. */
void control_observers_update (struct control *control, const struct snapshot *snapshot);
void control_observers_finish (struct control *control);
void control_observers_handle_observation (struct control *control,
                                           const struct control_observation *observation);
void control_observers_handle_answer (struct control *control,
                                      const struct observer_answer *answer);
void control_observers_handle_announced (struct control *control, const char *database,
                                         uint64_t term, uint32_t primary);
bool control_observers_opinion (struct control *control, const char *database,
                                struct failover_opinion *opinion);

/** Puts off what observers can put off, since a change of configuration spreads. */
void control_observers_postpone (struct control *control);

/** Asks for a planned change of primary. @return 0, -EINVAL, -EBUSY, or -ENOENT when this VM is no
 * observer of the group. */
int control_observers_promote (struct control *control, const char *database, uint32_t server);

/* control_operator.c */

/** Handles a call of FS_OPERATOR_PROGRAM. @return false closes the connection. */
bool control_operator_handle_call (struct control *control, struct rpc_connection *connection,
                                   uint32_t xid, uint32_t procedure, XDR *args);
