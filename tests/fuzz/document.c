/* Guards against a service document or a state chart that makes a proxy or a command read out of bounds,
 * and against a document that is rejected without a finding. */
#include "charts/chart.h"
#include "fuzz.h"
#include "schema/generate.h"
#include "schema/schema.h"

#include <stdlib.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct schema_service service;
	struct findings findings;
	struct chart chart;
	int result;

	findings_init (&findings);
	result = schema_service_init (&service, "fuzz.yaml", (const char *) data, size, &findings);
	if ((result == 0) != (findings.count == 0))
		abort ();
	if (result == 0)
		schema_service_finish (&service);
	findings_finish (&findings);

	findings_init (&findings);
	if (chart_init (&chart, "fuzz.scxml", (const char *) data, size, &findings) == 0)
		chart_finish (&chart);
	findings_finish (&findings);
	return 0;
}
