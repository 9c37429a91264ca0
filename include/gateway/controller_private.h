/**
 * @file
 * State of the control thread, shared by the controller_*.c files.
 */
#pragma once

#include "common/clock.h"
#include "common/http_responder.h"
#include "common/mailbox.h"
#include "decision/restore.h"
#include "decision/succession.h"
#include "flamingospring/platform.h"
#include "gateway/controller.h"
#include "gateway/peers.h"

#include <pthread.h>

/** A server: its directory entry and what the traffic thread last reported about it. */
struct known_server
{
	struct server_entry entry;
	bool is_listed; /**< Cleared when its entry has been missing for CONTROL_MISSING_US. */
	bool has_left;  /**< It has left as it had announced, and left_position is known. */
	struct log_position left_position; /**< What its service's primary held afterwards. */
	int64_t left_us;     /**< When it was found gone after it had announced that; 0: it is not. */
	int64_t draining_us; /**< When its entry first said that it leaves; 0: it does not. */
	bool was_ready;      /**< Its entry has said before that it does not leave. */
	int64_t missing_us;  /**< When its entry was first found missing; 0: it is present. */
	bool is_unreachable;
	int64_t contact_us;      /**< Time of its last answer to the traffic thread. */
	uint64_t slots_released; /**< Slots of statements whose answers were lost. */
	bool has_status;
	struct database_status status;
	int64_t status_us;
	/** When it first reported that it is not the primary; 0: it reports that it is. */
	int64_t not_primary_us;
};

/** Another VM, according to its record in the store. */
struct member
{
	char *vm;
	struct peer_address address;
	char *zone;
	struct store_position at; /**< Last change of its record in the store. */
	bool is_listed;           /**< Its record exists and is not marked as removed. */
	bool is_removed;          /**< Its record is marked as removed. */
	bool is_settled;          /**< Its record says that every list of VMs in use names it. */
	int64_t removed_us;       /**< When this VM learned of the removal; 0: it is not removed. */
	/** Until then it counts although a restored store has lost its record: it may still use primaries. */
	int64_t retained_until_us;
	bool is_leaving; /**< It has announced its graceful shutdown. */
	bool is_serving; /**< It accepts forwarded statements. */
	/** When this state of its record was first read, or its removal last tried. */
	int64_t seen_us;
	int64_t last_heard_us; /**< Time of the last datagram from it. */
	/** Last time at which its records equalled this VM's and it had no change of primary in progress. */
	int64_t steady_us;
	/** First query to it as the poller since its last answer with recent records; 0: none. */
	int64_t unanswered_since_us;
	int64_t avoided_until_us; /**< Until then it is not chosen as the poller. */
};

/** The last report of another zone's poller about the VMs of that zone. */
struct zone_report
{
	int64_t last_heard_us;
	GHashTable *absent; /**< Set of names of VMs that are dead or leaving. */
};

/** Another VM's answer to whether it reaches the primary. */
struct opinion
{
	bool is_unreachable;
	int64_t at_us;
};

/** A VM's confirmation that it has stopped using the old primary. */
struct quiesced
{
	uint64_t change; /**< Number of the record that it confirms. */
	bool is_settled;
};

/** Detects the loss of one service's primary and drives the change to another one. */
struct primary_manager
{
	char *service;
	struct controller *controller;
	struct succession succession;
	struct restore_stored stored;  /**< What the store holds. */
	struct succession_record swap; /**< Record that the outstanding compare-and-swap writes. */
	struct fs_term_start sent_terms[TERM_HISTORY_STARTS]; /**< Terms of the last datagram. */
	uint64_t swap_era;    /**< Era of the store in which it was sent. */
	bool is_rewriting;    /**< The outstanding compare-and-swap writes the known record again. */
	int64_t rewritten_us; /**< When it was last tried. */
	bool is_promoting;    /**< A call that promotes a server is outstanding. */
	uint64_t quiesced_change;     /**< Last record that this VM's traffic thread has confirmed. */
	struct peer_address claimant; /**< Address from which the claimant last sent the record. */
	GHashTable *quiesced;         /**< VM name to struct quiesced. */
	GHashTable *opinions;         /**< VM name to struct opinion. */
	int64_t first_asked_us; /**< First of the questions that are being repeated to the other VMs. */
	int64_t silent_since_us;  /**< Since when it counts that they are not answered. */
	int64_t opinion_asked_us; /**< Last of them; 0: the next question is the first. */
	int64_t status_asked_us;
	/** When this VM first failed to reach the primary; 0: it reaches it. */
	int64_t unreachable_us;
};

enum
{
	PRIMARY_MANAGER_MAX_SERVERS = 32,
	CONTROL_LARGE_FLEET =
		20, /**< VMs above which calls and messages of each VM are spread or left to pollers. */
	/** By then a VM that has a poller in its zone follows it, and needs no watches. */
	CONTROL_FIRST_WATCH_US = 500 * US_PER_MS,
};

struct controller
{
	struct boot_settings boot;
	uint16_t metrics_port; /**< 0: metrics are not served. */
	struct gateway_traffic *traffic;
	struct loop loop;
	int64_t started_us; /**< When the control thread began. */
	int64_t turned_us;  /**< When it last began a turn; read by other threads. */
	struct mailbox mailbox;
	pthread_t thread;
	struct platform platform;
	struct peers peers;
	struct http_responder readiness;
	struct http_responder metrics;
	GArray *tenants; /**< Latest report of the traffic thread; NULL: none yet. */
	struct loop_timer tick;
	struct loop_timer poll_timer;
	struct loop_timer configuration_timer;
	struct loop_timer directory_timer;
	struct loop_timer
		watch_timer; /**< Starts the watches of a VM that follows no poller by then. */
	struct configuration *configuration;
	GHashTable *servers;  /**< struct known_server by id. */
	GHashTable *managers; /**< struct primary_manager by service. */
	GHashTable *members;  /**< struct member by VM name, without this VM. */
	GHashTable *zones;    /**< struct zone_report by zone. */
	bool has_directory;
	int64_t directory_us; /**< When it was first read. */
	bool is_polling;
	bool is_registering;
	bool is_registered;
	/** Since when this VM has known that the store's list of VMs names it; 0: it does not. */
	int64_t listed_us;
	bool view_is_registered; /**< What the last view said of it. */
	uint64_t own_revision;   /**< Revision of this VM's record, in the era of the list of VMs. */
	bool is_settled;         /**< Every list of VMs in use names this VM. */
	/** When this process first wrote this VM's record; 0: not yet. */
	int64_t registered_us;
	bool record_is_settled; /**< This VM's record in the store is marked as settled. */
	/** Start time in ns, which distinguishes this process from earlier ones of the same VM. */
	char start[BOOT_NAME_BYTES];
	/** Latest time at which the primary records are known to have been current. */
	int64_t records_valid_us;
	/** Latest time at which the list of VMs and the records are known to have been current. */
	int64_t members_valid_us;
	int64_t polled_sent_us; /**< When this VM sent the last read of them that was answered. */
	bool knows_era;         /**< The store has answered since this VM started. */
	uint64_t store_era;     /**< Latest era of the store that this VM has learned of. */
	int64_t
		era_heard_us; /**< When this VM last read the store since another one named a later era. */
	uint64_t members_era; /**< Era in which the list of VMs and the records were read. */
	/** When this VM learned that the store had been restored; 0: it has known no other era. */
	int64_t restored_us;
	uint32_t unconfirmed; /**< Known records that the store does not hold as of its present era. */
	/** Latest times at which more than two thirds, and more than half, of the VMs had the same records and no change of
	 * primary in progress. */
	int64_t quorum_us;
	int64_t majority_us;
	int64_t store_ok_us;   /**< Since when the store has been answering; 0: it does not answer. */
	int64_t store_lost_us; /**< When the store last stopped answering. */
	int64_t last_hello_us;
	uint64_t absent_digest; /**< Digest of the VMs that the last zone report named. */
	int64_t members_asked_us;
	int64_t poller_asked_us;
	uint32_t unready_answers; /**< Unready answers to the balancer since the last ready one. */
	/** The balancer sends no new callers, if other VMs of the zone are ready. */
	bool is_out_of_rotation;
	bool is_isolated; /**< The records are about to expire, so callers should use other VMs. */
	int64_t poller_answered_us; /**< Last answer of the zone's poller with a recent list of VMs. */
	bool is_following; /**< The poller reports changes, so this VM has no watches of its own. */
	/** Last time that the directory was read because of the poller's answer. */
	int64_t directory_read_us;
	bool is_reading_configuration;
	bool is_reading_directory;
	struct store_position directory_at; /**< Up to which the list of servers is known. */
	const struct member *poller;        /**< Poller of the zone; NULL: this VM. */
	bool is_poller;                     /**< This VM polls the store for its zone. */
	uint32_t vm_count;                  /**< Live VMs, including this one. */
	uint32_t listed_count; /**< VMs on the list with this one, also those that do not answer. */
	bool is_serving_dirty; /**< A VM has announced a change since the VMs were last checked. */
	int64_t serving_checked_us; /**< When all VMs were last checked. */
	int64_t former_demoted_us;  /**< When former primaries were last looked for. */
	bool is_view_dirty;         /**< The traffic thread does not have the latest state yet. */
	bool is_leaving;            /**< The graceful shutdown has begun. */
	bool has_left;              /**< The graceful shutdown is complete. */
	void (*handle_leave_complete) (void *data);
	void *handle_leave_complete_data;
};

/* controller_store.c */
/** Formats the record of a VM in the store. @param start start time of its process. */
char *member_record_format (const struct peer_address *address, const char *zone, const char *start,
                            bool is_settled, bool is_removed);

/** Reads the primary records and the list of VMs from the store. */
void controller_poll (struct controller *controller, int64_t now_us);

/** Marks this VM's record as settled once every list of VMs in use must name it. */
void controller_settle (struct controller *controller, int64_t now_us);

/** When to repeat a failed call. */
int64_t controller_next_retry_us (const struct controller *controller, int64_t now_us);

/** Whether it is not known yet if this VM follows a poller. */
bool controller_is_starting (const struct controller *controller);

/** Reads the configuration again, unless a read is in progress. */
void controller_read_configuration (struct controller *controller);

/** Switches between following the zone's poller and watching the store. */
void controller_set_following (struct controller *controller, bool is_following);

/** Polls when the records have not been confirmed for some time. */
void controller_refresh_records (struct controller *controller, int64_t now_us);

/** Sends the view to the traffic thread if it has changed. */
void controller_flush_view (struct controller *controller);

void controller_handle_poll_timer (struct loop_timer *timer, int64_t now_us);
void controller_handle_configuration_timer (struct loop_timer *timer, int64_t now_us);
void controller_handle_watch_timer (struct loop_timer *timer, int64_t now_us);

/* controller_directory.c */
/** Reads the directory of servers again, unless a read is in progress. */
void controller_read_directory (struct controller *controller);

/** Takes servers off the list whose entry has been missing for CONTROL_MISSING_US. */
void controller_unlist_expired (struct controller *controller, int64_t now_us);
void controller_handle_directory_timer (struct loop_timer *timer, int64_t now_us);

/* controller_metrics.c */
unsigned controller_answer_metrics (void *data, GString *body);
unsigned controller_answer_tenants (void *data, GString *body);

/* controller_primary.c */
struct primary_manager *primary_manager_get (struct controller *controller, const char *service);
void primary_manager_free (struct primary_manager *primary_manager);
void primary_manager_tick (struct primary_manager *primary_manager, int64_t now_us);

/**
 * Learns from a store's answer in which era the store is. After a restore, everything is read again.
 * @return whether an answer of this era is of the present one; earlier ones are ignored.
 */
bool controller_set_era (struct controller *controller, uint64_t era, int64_t now_us);

/** Adopts a record that is newer than the present one. @return whether it is newer. */
bool primary_manager_set_record (struct primary_manager *primary_manager,
                                 const struct succession_record *record, int64_t now_us);

/**
 * Takes over what the store holds. A stored record that is later than the known one is adopted.
 * @param record NULL: the key does not exist. @param at last change of the key, or of the whole store without it.
 */
void primary_manager_set_stored (struct primary_manager *primary_manager,
                                 const struct succession_record *record, uint64_t record_era,
                                 struct store_position at, int64_t now_us);

/** Writes the known record again if a restored store lacks it. */
void primary_manager_restore (struct primary_manager *primary_manager, int64_t now_us);

/** Sends the record to all VMs that have not confirmed it. */
void primary_manager_send_record (struct primary_manager *primary_manager);

/** Returns the record as the arguments of a datagram, whose strings and terms belong to @p primary_manager. */
struct fs_lead_args primary_manager_record_args (struct primary_manager *primary_manager);

/** Confirms to the VM that changes the primary that this VM does not use the old one any more. */
void primary_manager_notify_claimant (struct primary_manager *primary_manager);
/** @param era era of the store in which the record is written. */
char *primary_record_format (const struct succession_record *record, uint64_t era);

/** @param revision last change of the key: the number of a record that holds none. @return 0 or -EBADMSG. */
int primary_record_parse (const char *text, size_t length, uint64_t revision,
                          struct succession_record *record, uint64_t *era);

/** Digest of the numbers of all records; equal on VMs that have the same records. */
uint64_t controller_records_digest (const struct controller *controller);

/* controller_servers.c */
struct known_server *primary_manager_find_server (const struct primary_manager *primary_manager,
                                                  const char *id);

/** Until when a planned change may wait for a successor: the leaving primary must be out of use in time. 0: it may not. */
int64_t primary_manager_wait_end (const struct primary_manager *primary_manager);

/** When nothing may begin any more at a server that has announced its end; 0: it has not. */
int64_t controller_find_use_end (const struct controller *controller,
                                 const struct known_server *server);

/** Lists what is known of the service's servers, the listed ones first. @return their number. */
size_t primary_manager_collect_servers (const struct primary_manager *primary_manager,
                                        struct succession_server *servers);

/** Logs what this VM knows of each server when it promotes one. */
void primary_manager_log_choice (const struct primary_manager *primary_manager, int64_t now_us);

/**
 * Demotes servers that report themselves as the primary of a term before the recorded one. While they cannot reach the
 * present primary they would go on leading, and replicas could receive commits from them that were given up.
 */
void controller_demote_former (struct controller *controller, int64_t now_us);

/**
 * Asks the primary for its position after @p server has left: with synchronous replicas, a commit may be acknowledged
 * because only that server had received it.
 */
void primary_manager_note_departure (struct controller *controller, struct known_server *server,
                                     int64_t now_us);

/** Takes over the status of a primary for the servers that have left before. */
void primary_manager_apply_status (struct controller *controller,
                                   const struct known_server *primary);

/* controller.c */
/** Whether the traffic thread turns, so that callers and other VMs may use this one. */
bool controller_serves (const struct controller *controller, int64_t now_us);

/* controller_member.c */
extern const struct peers_ops controller_peers_ops;
struct member *member_get (struct controller *controller, const char *vm, int64_t now_us);
void member_free (struct member *member);

/** Whether the VM may use primaries, so that a change of primary and an agreement have to count it. */
bool member_counts (const struct member *member, int64_t now_us);
void zone_report_free (struct zone_report *report);
bool member_is_alive (const struct controller *controller, const struct member *member,
                      int64_t now_us);
void members_tick (struct controller *controller, int64_t now_us);

/** Updates which VMs accept forwarded statements, and how many VMs are alive. */
void members_update_serving (struct controller *controller, int64_t now_us);

extern const char controller_record_prefix[];
extern const char controller_member_prefix[];
