/* Types common to the typed calls of all services; `flamingospring schema generate` prints them with the
 * service's name as prefix. The parameters of a call follow its context, one fs_service_value each. */

typedef string fs_service_text<1048576>;
typedef fs_service_text *fs_service_value;

struct fs_service_context {
	string session<2048>;
	string request_id<128>;
	string tenant<64>;
	unsigned int timeout_ms;
};

struct fs_service_answer {
	int outcome;
	string reason<64>;
	fs_service_text message;
	unsigned int retry_after_ms;
	string session<2048>;
	fs_service_text columns<256>;
	fs_service_value cells<65536>;
};
