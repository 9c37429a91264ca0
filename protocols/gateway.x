/* One-way calls between the gateways of a fleet, sent as datagrams. Every name has a prefix, since rpcgen
 * defines macros for names. */

const FS_GATEWAY_MAX_NAME = 96;
const FS_GATEWAY_MAX_ABSENT = 40;
const FS_GATEWAY_MAX_TERMS = 16;

typedef string fs_gateway_name<FS_GATEWAY_MAX_NAME>;

/* Where the entries of a term begin in a service's log. */
struct fs_term_start {
	unsigned hyper term;
	unsigned hyper index; /* Last entry of earlier terms. */
};

/* A service's record in the store, sent so that the receiver learns it before its next poll. */
struct fs_lead_args {
	string vm<FS_GATEWAY_MAX_NAME>;
	string service<FS_GATEWAY_MAX_NAME>;
	string primary<FS_GATEWAY_MAX_NAME>;
	string claimant<FS_GATEWAY_MAX_NAME>;
	unsigned hyper change; /* Number of the record's state; later ones are greater. */
	unsigned hyper term;
	unsigned claims; /* Claims of the unfinished change. */
	fs_term_start terms<FS_GATEWAY_MAX_TERMS>;
	bool is_changing;
	bool is_planned;
	unsigned hyper store_era; /* Era in which the store holds this record; 0: not known to hold it. */
	unsigned hyper store_revision;
};

/* Reports that nothing runs at the old primary any more. */
struct fs_quiesced_args {
	string vm<FS_GATEWAY_MAX_NAME>;
	string service<FS_GATEWAY_MAX_NAME>;
	unsigned hyper change; /* Of the record that it confirms. */
	bool is_settled; /* Every VM list in use contains the sender. */
};

/* Asks or reports whether a server is reachable. */
struct fs_reachability_args {
	string vm<FS_GATEWAY_MAX_NAME>;
	string server<FS_GATEWAY_MAX_NAME>;
	bool is_question;
	bool is_unreachable;
};

/* Heartbeat. A request is answered with the same number; the response carries the age of the sender's copies
 * of all services' records and a digest of them. */
struct fs_hello_args {
	string vm<FS_GATEWAY_MAX_NAME>;
	unsigned hyper number;
	bool is_question;
	bool is_leaving;
	bool has_knowledge;
	bool is_steady; /* The sender is not changing the record of any service. */
	bool is_registered; /* The store's list of VMs contains the VM that asked. */
	unsigned hyper digest;
	unsigned hyper members_digest;
	unsigned hyper configuration;
	unsigned hyper era; /* Latest era of the store that the sender knows of. */
	unsigned hyper directory_era;
	unsigned hyper directory_revision;
	unsigned hyper age_us;
	unsigned hyper list_age_us;
};

/* Sent by the polling VM of a zone to the VMs of other zones: which VMs of its zone are gone or leaving. */
struct fs_zone_args {
	string vm<FS_GATEWAY_MAX_NAME>;
	string zone<FS_GATEWAY_MAX_NAME>;
	fs_gateway_name absent<FS_GATEWAY_MAX_ABSENT>;
};

program FS_GATEWAY_PROGRAM {
	version FS_GATEWAY_VERSION {
		void FS_LEAD(fs_lead_args) = 1;
		void FS_QUIESCED(fs_quiesced_args) = 2;
		void FS_REACHABILITY(fs_reachability_args) = 3;
		void FS_HELLO(fs_hello_args) = 4;
		void FS_ZONE(fs_zone_args) = 5;
	} = 3;
} = 0x2f5a0003;
