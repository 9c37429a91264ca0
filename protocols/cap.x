/* Reports and grants of the tenants' usage caps, sent as datagrams between the traffic threads of a fleet. Every name
 * has a prefix, since rpcgen defines macros for names. Totals count from the start of the reporting VM, so that lost,
 * repeated and reordered datagrams are harmless. */

const FS_CAP_MAX_TENANTS = 70; /* Keeps a datagram below 1,200 bytes. */

/* A tenant is identified by 32 bits of the XXH64 hash of its name. */
struct fs_cap_request {
	unsigned tenant;
	unsigned received; /* Total. */
	unsigned held_returned; /* Tokens held; total of the returned ones modulo 65,536. */
	unsigned waiting_wanted; /* Operations that wait for a token; tokens that the VM would like to hold. */
};

struct fs_cap_report {
	unsigned vm;
	unsigned hyper start; /* Start time of the reporting process. */
	unsigned number; /* Grows with each report. */
	unsigned choice; /* Epoch, which grows with each change of the account, x 16 + group x 2 + is_lending. */
	fs_cap_request tenants<FS_CAP_MAX_TENANTS>;
};

struct fs_cap_entry {
	unsigned tenant;
	unsigned granted; /* Total in this start of the VM. */
	unsigned retry; /* Time in ms until the next token, or 0, x 2 + whether spent tokens are to be reported soon. */
};

/* Tenants of the report without an entry have no news. */
struct fs_cap_grant {
	unsigned account;
	unsigned start; /* Low half of the report's. */
	unsigned number; /* Of the report. */
	unsigned choice; /* Epoch and group as in the report, + whether the account leaves. */
	fs_cap_entry tenants<FS_CAP_MAX_TENANTS>;
};

/* Kind, protocol and version. */
enum fs_cap_kind {
	FS_CAP_REPORT = 0x2f5a0411,
	FS_CAP_GRANT = 0x2f5a0412
};

union fs_cap_message switch (fs_cap_kind kind) {
case FS_CAP_REPORT:
	fs_cap_report report;
case FS_CAP_GRANT:
	fs_cap_grant grant;
};
