/**
 * @file
 * State and functions shared by the parts of the control thread. All of them run in that thread.
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
	CONTROL_MAX_ITEMS = 8192, /**< Limit of group items (one per database) and leaving marks. */
	CONTROL_MAX_SERVICES = 4096,
	CONTROL_CALL_TIMEOUT_US = 1000000,
	CONTROL_PLATFORM_TIMEOUT_US = 2000000,
	CONTROL_MAX_CLIENTS = 1024, /**< Limit of connections accepted on the control port. */
};

/** One service document as stored on the platform. */
struct control_document
{
	char service[SCHEMA_NAME_BYTES];
	uint64_t revision;
	bool is_deleted;
	char *value;                      /**< Stored value: JSON, see control_documents.c. */
	struct snapshot_service *adopted; /**< Last valid version; NULL: deleted, or none was valid. */
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
	uint64_t random_seed;

	void *membership_memory;
	struct membership *membership;
	uint64_t published_membership_generation;
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
	uint64_t gossip_revision; /**< Highest configuration revision received by gossip. */
	bool is_watcher;
	bool platform_ok;
	struct platform platform;
	uint64_t vms_revision;
	struct loop_timer vms_timer;
	bool is_watching_vms;

	struct control_observer *observers;
	struct control_call *calls;
	uint32_t last_call_xid;
	struct rpc_listener server;

	struct drain_settings drain_settings;
	struct drain drain;
	struct loop_timer drain_timer;
	struct loop_timer publish_timer;
};

/** @return the hash of a zone's name, as stored in struct member_address. */
uint32_t control_zone_hash (const char *zone);

/** Publishes a new snapshot after a short delay, so that several changes share one snapshot. */
void control_schedule_publish (struct control *control);

/** Looks a zone's name up by its hash, in the settings and the service documents.
 * @return the name, or "?" when it is unknown. */
const char *control_zone_name (const struct control *control, uint32_t zone);

/* control_gossip.c */

int control_gossip_init (struct control *control);
void control_gossip_finish (struct control *control);

/** Sends all pending gossip messages and sets the timer for the next ones. */
void control_gossip_pump (struct control *control);

/** Merges an item. When it is newer than the known one, schedules a publication and spreads the
 * item by gossip. @return whether it was newer. */
bool control_merge_item (struct control *control, const struct membership_item *item);

void control_item_encode (const struct membership_item *item, struct fs_item *out);
bool control_item_decode (const struct fs_item *in, struct membership_item *item);

/* control_call.c */

/** Receives the result of an outgoing call. @p status is 0, or a negative error number with
 * @p result NULL. */
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

/** Calls another VM's control port on a separate connection. Unless the return value is negative,
 * the handler runs exactly once. */
int control_call_start (struct control *control, const struct control_call_request *request);
void control_calls_finish (struct control *control);

/* control_server.c */

int control_server_init (struct control *control);
void control_server_finish (struct control *control);

/** Identifies a call that is answered later. The connection may be closed by then. */
struct control_reply_handle
{
	uint32_t connection;
	uint32_t xid;
};

struct control_reply_handle control_reply_defer (struct rpc_connection *connection, uint32_t xid);
void control_reply_send (struct control *control, struct control_reply_handle handle,
                         xdrproc_t encode, const void *result);

/* control_documents.c */

int control_documents_init (struct control *control);
void control_documents_finish (struct control *control);
void control_documents_pump (struct control *control);

/** Updates this VM's role as a watcher of the platform after a change of members. */
void control_documents_handle_members (struct control *control);
const struct control_document *control_documents_find (const struct control *control,
                                                       const char *service);

/** Adopts a document from the platform or a peer when it is newer than the known one. A new version
 * that does not parse is recorded, but the last valid one stays in force.
 * @return whether the document was newer. */
bool control_documents_offer (struct control *control, const char *service, uint64_t revision,
                              const char *value);

/** Fills the answer to FS_PEER_CONFIG_PULL with the documents newer than @p revision. The strings
 * belong to the documents: free the array only. */
void control_documents_list (struct control *control, uint64_t revision,
                             struct fs_config_result *result);

/** Formats a document for storage on the platform. @return text to be freed with g_free(). */
char *control_document_value (const char *operation_id, const char *author, const char *text,
                              bool is_deleted);

/** Parses a stored value. Free the strings with g_free(). @return 0 or -EPROTO. */
int control_document_parse (const char *value, char **operation_id, char **author, char **text,
                            bool *is_deleted);

/* control_vms.c */

int control_vms_init (struct control *control);
void control_vms_finish (struct control *control);

/** Starts or stops watching the platform's VM list. Only the watchers of a zone watch it. */
void control_vms_set_watcher (struct control *control, bool is_watcher);

/* control_observer.c */

/** Creates, updates and removes observers to match the published snapshot. */
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

/** Postpones the polls of replicas while a change of configuration spreads. */
void control_observers_postpone_polls (struct control *control);

/** Requests a planned change of primary. @return 0, -EINVAL, -EBUSY, or -ENOENT when this VM does
 * not observe the group. */
int control_observers_promote (struct control *control, const char *database, uint32_t server);

/* control_operator.c */

/** Handles a call of FS_OPERATOR_PROGRAM. @return false closes the connection. */
bool control_operator_handle_call (struct control *control, struct rpc_connection *connection,
                                   uint32_t xid, uint32_t procedure, XDR *args);
