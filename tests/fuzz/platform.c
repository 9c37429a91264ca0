/* Guards against an answer of the platform that makes a proxy read out of bounds. */
#include "flamingospring/platform_etcd_json.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	int (*const decoders[]) (struct etcd_answer *, const char *, size_t) = {
		etcd_range_decode,
		etcd_swap_decode,
		etcd_watch_decode,
	};

	for (size_t i = 0; i < sizeof decoders / sizeof decoders[0]; i++)
	{
		struct etcd_answer decoded;

		etcd_answer_init (&decoded);
		decoders[i](&decoded, (const char *) data, size);
		etcd_answer_finish (&decoded);
	}
	return 0;
}
