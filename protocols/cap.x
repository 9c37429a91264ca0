/* Reports and grants of the tenants' usage caps, sent as datagrams between the traffic threads of a fleet. Every name
 * has a prefix, since rpcgen defines macros for names. Totals count from the start of the reporting VM, so that lost,
 * repeated and reordered datagrams are harmless. */

const FS_CAP_MAGIC = 0x2f5a0401; /* Protocol and version. */
const FS_CAP_MAX_TENANTS = 38; /* Keeps a datagram below 1,200 bytes. */

/* A tenant is identified by the XXH64 hash of its name. */
struct fs_cap_request {
	unsigned hyper tenant;
	unsigned received;
	unsigned spent;
	unsigned returned;
	unsigned waiting; /* Operations that wait for a token. */
	unsigned wanted; /* Tokens that the VM would like to hold. */
};

struct fs_cap_report {
	unsigned vm;
	unsigned hyper start; /* Start time of the reporting process. */
	unsigned number; /* Grows with each report. */
	unsigned group;
	unsigned epoch; /* Grows with each change of the account. */
	bool is_lending; /* The account may fill with the VM's share. */
	fs_cap_request tenants<FS_CAP_MAX_TENANTS>;
};

struct fs_cap_entry {
	unsigned hyper tenant;
	unsigned granted; /* Total in this start of the VM. */
	unsigned retry_ms; /* Time until the next token; 0: all waiting operations have one. */
	bool is_short; /* Spent tokens are to be reported soon. */
};

/* Number, group, epoch, VM and start are those of the report. */
struct fs_cap_grant {
	unsigned account;
	unsigned vm;
	unsigned hyper start;
	unsigned number;
	unsigned group;
	unsigned epoch;
	bool is_leaving;
	fs_cap_entry tenants<FS_CAP_MAX_TENANTS>;
};

enum fs_cap_kind {
	FS_CAP_REPORT = 1,
	FS_CAP_GRANT = 2
};

union fs_cap_body switch (fs_cap_kind kind) {
case FS_CAP_REPORT:
	fs_cap_report report;
case FS_CAP_GRANT:
	fs_cap_grant grant;
};

struct fs_cap_message {
	unsigned magic;
	fs_cap_body body;
};
