/* Calls between VMs. Every name has a prefix, since rpcgen defines macros for names. */

const FS_MAX_NAME = 64;
const FS_MAX_ID = 128;
const FS_MAX_TEXT = 1048576;
const FS_MAX_PARAMS = 64;
const FS_MAX_COLUMNS = 256;
const FS_MAX_CELLS = 65536;
const FS_MAX_ITEMS = 16;
const FS_MAX_CLAIMS = 32;
const FS_MAX_BLOCKS = 32;
const FS_MAX_STATE = 16384;
const FS_MAX_DOCUMENTS = 4096;

struct fs_position {
	unsigned hyper term;
	unsigned hyper index;
};

/* A parameter or result cell of a statement; absent for NULL. */
typedef string fs_text<FS_MAX_TEXT>;
typedef fs_text *fs_value;

enum fs_operation {
	FS_OPERATION_CALL = 0,
	FS_OPERATION_BEGIN = 1,
	FS_OPERATION_TRANSACTION_CALL = 2,
	FS_OPERATION_COMMIT = 3,
	FS_OPERATION_ROLLBACK = 4,
	/* Determines by the request id whether a transaction was committed, and prevents its commit if not. */
	FS_OPERATION_SETTLE = 5
};

struct fs_execute_args {
	fs_operation operation;
	string service<FS_MAX_NAME>;
	unsigned hyper service_revision;
	string call<FS_MAX_NAME>;
	string database<FS_MAX_NAME>;
	unsigned int server;
	unsigned hyper transaction;
	fs_value params<FS_MAX_PARAMS>;
	string request_id<FS_MAX_ID>;
	string tenant<FS_MAX_NAME>;
	fs_position required;
	unsigned int budget_ms;
	unsigned int wait_ms; /* Time limit of the wait for the required position; 0: budget_ms. */
	string traceparent<FS_MAX_ID>;
};

/* outcome and reason: enum outcome and enum reason of decision/request.h. */
struct fs_execute_result {
	int outcome;
	int reason;
	unsigned int retry_after_ms;
	fs_text message;
	fs_text columns<FS_MAX_COLUMNS>;
	fs_value cells<FS_MAX_CELLS>;
	fs_position written;
	unsigned hyper transaction;
	bool replayed;
	bool server_is_primary;
	fs_position server_position;
	unsigned int server_age_ms;
	unsigned int server_lag_ms;
	unsigned int server_queue_us;
	unsigned hyper primary_term;
	int primary;
};

struct fs_address {
	unsigned int ip;
	unsigned int traffic_port;
	unsigned int control_port;
	unsigned int zone;
};

struct fs_item_member {
	unsigned int member;
	unsigned hyper item_version; /* Incarnation and state. */
	fs_address address;
	unsigned hyper config_revision;
};

struct fs_item_value {
	string key<FS_MAX_NAME>;
	unsigned hyper item_version;
	unsigned hyper value;
};

/* type: enum item_type of decision/membership.h. */
union fs_item switch (int type) {
case 0:
	fs_item_member member;
default:
	fs_item_value value;
};

/* Incarnation and state of a member whose address the receiver knows. */
struct fs_member_claim {
	unsigned int member;
	unsigned hyper member_version;
};

/* Bitmap of the members first to first + 63 that the sender considers alive. */
struct fs_member_block {
	unsigned int first;
	unsigned hyper alive;
};

struct fs_gossip {
	int type;
	unsigned int from;
	unsigned int target;
	unsigned hyper sequence;
	unsigned hyper config_revision;
	unsigned int config_age_ms; /* Time since the revision was first read from the platform. */
	unsigned int view_hash;     /* Hash of the members that the sender considers alive. */
	fs_item items<FS_MAX_ITEMS>;
	fs_member_claim claims<FS_MAX_CLAIMS>;
	fs_member_block blocks<FS_MAX_BLOCKS>;
};

struct fs_state_result {
	fs_item items<FS_MAX_STATE>;
};

struct fs_document {
	string service<FS_MAX_NAME>;
	unsigned hyper revision;
	bool is_deleted;
	fs_text text;
};

struct fs_config_result {
	unsigned hyper revision;
	fs_document documents<FS_MAX_DOCUMENTS>;
};

struct fs_opinion_args {
	string database<FS_MAX_NAME>;
};

struct fs_opinion_result {
	bool is_observer;
	unsigned hyper term;
	unsigned int primary;
	bool suspects;
};

struct fs_announce_args {
	string database<FS_MAX_NAME>;
	unsigned hyper term;
	unsigned int primary;
};

program FS_PEER_PROGRAM {
	version FS_PEER_VERSION {
		void FS_PEER_NULL(void) = 0;
		fs_execute_result FS_PEER_EXECUTE(fs_execute_args) = 1;
		void FS_PEER_GOSSIP(fs_gossip) = 2;
		fs_state_result FS_PEER_STATE_PULL(void) = 3;
		fs_config_result FS_PEER_CONFIG_PULL(unsigned hyper) = 4;
		fs_opinion_result FS_PEER_OPINION(fs_opinion_args) = 5;
		void FS_PEER_ANNOUNCE(fs_announce_args) = 6;
	} = 1;
} = 0x2f5a0001;
