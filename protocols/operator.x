/* Calls from operators, served on the control port of any VM. */

const FS_OPERATOR_MAX_NAME = 64;
const FS_OPERATOR_MAX_TEXT = 1048576;
const FS_OPERATOR_MAX_ROWS = 65536;

typedef string fs_operator_text<FS_OPERATOR_MAX_TEXT>;

/* code is 0 or a negative error number; message describes the outcome. */
struct fs_operator_result {
	int code;
	fs_operator_text message;
};

/* expected_revision 0: the service is new. operation_id identifies the operation when it is repeated after
 * a lost response. */
struct fs_apply_args {
	string service<FS_OPERATOR_MAX_NAME>;
	unsigned hyper expected_revision;
	string operation_id<FS_OPERATOR_MAX_NAME>;
	string author<FS_OPERATOR_MAX_NAME>;
	fs_operator_text text;
};

struct fs_apply_result {
	int code;
	fs_operator_text message;
	unsigned hyper revision;
};

struct fs_get_result {
	int code;
	fs_operator_text message;
	unsigned hyper revision;
	string author<FS_OPERATOR_MAX_NAME>;
	fs_operator_text text;
};

struct fs_name_args {
	string name<FS_OPERATOR_MAX_NAME>;
};

struct fs_promote_args {
	string database<FS_OPERATOR_MAX_NAME>;
	unsigned int server;
};

struct fs_drain_args {
	string target<FS_OPERATOR_MAX_NAME>; /* "database/index", or "" for this VM. */
	bool leaving;
};

struct fs_member_row {
	unsigned int id;
	string zone<FS_OPERATOR_MAX_NAME>;
	string address<FS_OPERATOR_MAX_NAME>;
	int state;
	unsigned hyper config_revision;
	unsigned int rtt_us;
};

struct fs_server_row {
	string database<FS_OPERATOR_MAX_NAME>;
	unsigned int server;
	string address<FS_OPERATOR_MAX_NAME>;
	bool is_primary;
	bool is_leaving;
	unsigned hyper term;
	unsigned int owner;
	unsigned int standby;
};

struct fs_status_result {
	unsigned int self;
	unsigned hyper config_revision;
	bool is_watcher;
	bool platform_ok;
	string phase<FS_OPERATOR_MAX_NAME>;
	fs_member_row members<FS_OPERATOR_MAX_ROWS>;
	fs_server_row servers<FS_OPERATOR_MAX_ROWS>;
};

struct fs_counter_row {
	string name<FS_OPERATOR_MAX_NAME>;
	unsigned hyper value;
};

struct fs_counters_result {
	fs_counter_row rows<FS_OPERATOR_MAX_ROWS>;
};

program FS_OPERATOR_PROGRAM {
	version FS_OPERATOR_VERSION {
		void FS_OPERATOR_NULL(void) = 0;
		fs_apply_result FS_OPERATOR_APPLY(fs_apply_args) = 1;
		fs_get_result FS_OPERATOR_GET(fs_name_args) = 2;
		fs_status_result FS_OPERATOR_STATUS(void) = 3;
		fs_operator_result FS_OPERATOR_DRAIN(fs_drain_args) = 4;
		fs_operator_result FS_OPERATOR_PROMOTE(fs_promote_args) = 5;
		fs_counters_result FS_OPERATOR_COUNTERS(void) = 6;
		fs_operator_text FS_OPERATOR_TRACE(void) = 7;
	} = 1;
} = 0x2f5a0002;
