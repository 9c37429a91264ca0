/**
 * @file
 * State of the control thread.
 */
#pragma once

#include "common/clock.h"
#include "common/http_responder.h"
#include "common/mailbox.h"
#include "decision/succession.h"
#include "flamingospring/platform.h"
#include "gateway/controller.h"
#include "gateway/peers.h"

#include <pthread.h>

/** A server: its directory entry and what the traffic thread saw of it. */
struct known_server
{
	struct server_entry entry;
	bool is_listed;
	int64_t missing_us; /**< Since when its entry is missing; 0: it is there. */
	bool is_unreachable;
	int64_t contact_us; /**< Last answer that the traffic thread told of. */
	bool has_status;
	struct database_status status;
	int64_t status_us;
	int64_t not_primary_us; /**< Since when it says that it is no primary; 0: it does not. */
};

/** Another VM, by the records in the store. */
struct member
{
	char *vm;
	struct peer_address address;
	char *zone;
	uint64_t revision; /**< Of its record. */
	bool is_listed;
	bool is_removed;       /**< Its record says that it was taken off the list. */
	bool is_settled;       /**< By its record. */
	int64_t removed_us;    /**< Since when this VM knows that; 0: it is not removed. */
	bool is_leaving;       /**< It has said so. */
	bool is_serving;       /**< It takes forwarded statements. */
	int64_t seen_us;       /**< First time in the store. */
	int64_t last_heard_us; /**< Last datagram. */
	int64_t steady_us;     /**< It had the same records and no order in flight then. */
	int64_t
		unanswered_us; /**< First question to it as the poller since it last told fresh knowledge; 0: none. */
	int64_t avoided_until_us; /**< It is not taken as the poller. */
};

/** What the poller of another zone last said of its VMs. */
struct zone_report
{
	int64_t last_heard_us;
	GHashTable *absent; /**< Set of VM names that are gone or leaving. */
};

struct opinion
{
	bool is_unreachable;
	int64_t at_us;
};

/** A VM has stopped using an old primary. */
struct quiesced
{
	uint64_t revision;
	bool is_settled;
};

/** What this VM does for the primary of one service. */
struct primary_manager
{
	char *service;
	struct controller *controller;
	struct succession succession;
	struct succession_record swap; /**< What the outstanding swap writes. */
	uint64_t quiesced_revision;    /**< Of this VM's traffic thread. */
	struct peer_address claimant;
	GHashTable *quiesced; /**< VM name to struct quiesced. */
	GHashTable *opinions; /**< VM name to struct opinion. */
	int64_t opinion_asked_us;
	int64_t status_asked_us;
	int64_t unreachable_us; /**< Since when this VM does not reach the primary; 0: it does. */
};

struct controller
{
	struct boot_settings boot;
	uint16_t metrics_port; /**< 0: none. */
	struct gateway_traffic *traffic;
	struct loop loop;
	struct mailbox mailbox;
	pthread_t thread;
	struct platform platform;
	struct peers peers;
	struct http_responder readiness;
	struct http_responder metrics;
	struct loop_timer tick;
	struct loop_timer poll_timer;
	struct loop_timer configuration_timer;
	struct loop_timer directory_timer;
	struct configuration *configuration;
	GHashTable *servers;  /**< struct known_server by id. */
	GHashTable *managers; /**< struct duty by service. */
	GHashTable *members;  /**< struct member by VM name, this one left out. */
	GHashTable *zones;    /**< struct zone_report by zone. */
	bool has_directory;
	bool is_polling;
	bool is_registering;
	bool is_registered;
	uint64_t own_revision; /**< Of this VM's record. */
	bool is_settled;       /**< All lists of VMs in use name this VM: the record says so. */
	int64_t settling_us;   /**< Since when the record is there without saying so; 0: it is not. */
	bool record_is_settled;
	char start[BOOT_NAME_BYTES]; /**< Tells this process from an earlier one of the same VM. */
	int64_t records_valid_us;    /**< The records of the primaries held at that time. */
	int64_t
		members_valid_us; /**< As records_valid_us, for the list of VMs as well: by this VM's own poll. */
	int64_t store_ok_us;   /**< Since when the store answers; 0: it does not. */
	int64_t store_lost_us; /**< Since when it does not. */
	int64_t last_hello_us;
	uint64_t absent_digest; /**< Of the VMs that the last report named. */
	int64_t members_asked_us;
	int64_t poller_asked_us;
	uint32_t unready_answers; /**< To the balancer, since it was last told that this VM is ready. */
	bool is_out_of_rotation;  /**< No new callers come, if other VMs of the zone are ready. */
	bool is_isolated;         /**< Neither the store nor other VMs tell about the records. */
	int64_t poller_answered_us; /**< Last good answer of the zone's poller. */
	bool is_following;          /**< The poller tells of changes: no watches of one's own. */
	int64_t directory_read_us;  /**< Last time because of the poller. */
	bool is_reading_configuration;
	bool is_reading_directory;
	uint64_t directory_revision; /**< Of the store, up to which the list of servers is known. */
	const struct member *poller; /**< Of the zone; NULL: this VM. */
	bool is_poller;              /**< Reads the records often, for its zone. */
	uint32_t vm_count;
	bool is_view_dirty;
	bool is_leaving;
	bool has_left;
	void (*handle_leave_complete) (void *data);
	void *handle_leave_complete_data;
};

/* controller_store.c */
/** The record of a VM in the store. @param start names its process. */
char *member_record_format (const struct peer_address *address, const char *zone, const char *start,
                            bool is_settled, bool is_removed);
void controller_poll (struct controller *controller, int64_t now_us);

/** Writes into the record of this VM that all lists in use name it, once that is so. */
void controller_settle (struct controller *controller, int64_t now_us);

/** Reads the configuration or the servers' entries again, unless that is under way. */
void controller_read_configuration (struct controller *controller);
void controller_read_directory (struct controller *controller);

/** Follows the poller of the zone, or watches the store again. */
void controller_set_following (struct controller *controller, bool is_following);

/** Polls when what is known gets old. */
void controller_refresh_records (struct controller *controller, int64_t now_us);
/** Sends the view to the traffic thread if it has changed. */
void controller_flush_view (struct controller *controller);
/** Entries that have been missing for long are gone. */
void controller_unlist_expired (struct controller *controller, int64_t now_us);
void controller_handle_poll_timer (struct loop_timer *timer, int64_t now_us);
void controller_handle_configuration_timer (struct loop_timer *timer, int64_t now_us);
void controller_handle_directory_timer (struct loop_timer *timer, int64_t now_us);

/* controller_metrics.c */
unsigned controller_answer_metrics (void *data, GString *body);

/* controller_duty.c */
struct primary_manager *primary_manager_get (struct controller *controller, const char *service);
void primary_manager_free (struct primary_manager *primary_manager);
void primary_manager_tick (struct primary_manager *primary_manager, int64_t now_us);

/** Adopts a record. @return whether it is news. */
bool primary_manager_set_record (struct primary_manager *primary_manager,
                                 const struct succession_record *record, int64_t now_us);
void primary_manager_send_record (struct primary_manager *primary_manager);
/** The duty's record as a datagram; its texts belong to the duty. */
struct fs_lead_args primary_manager_lead_args (struct primary_manager *primary_manager);
void primary_manager_notify_claimant (struct primary_manager *primary_manager);
char *primary_record_format (const struct succession_record *record);
int primary_record_parse (const char *text, size_t length, struct succession_record *record);

/** Of the revisions of all records: equal when two VMs have the same. */
uint64_t controller_records_digest (const struct controller *controller);

/* controller_member.c */
extern const struct peers_ops controller_peers_ops;
struct member *member_get (struct controller *controller, const char *vm, int64_t now_us);
void member_free (struct member *member);
void zone_report_free (struct zone_report *report);
bool member_is_alive (const struct controller *controller, const struct member *member,
                      int64_t now_us);
void members_tick (struct controller *controller, int64_t now_us);
/** Finds out which VMs take forwarded statements. */
void members_count_serving (struct controller *controller, int64_t now_us);

extern const char controller_record_prefix[];
extern const char controller_member_prefix[];
