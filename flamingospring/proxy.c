#include "flamingospring/proxy.h"

#include "ctl/commands.h"
#include "flamingospring/settings.h"

int
proxy_run (int argc, char **argv)
{
	struct findings findings;
	struct settings settings;
	int code = EXIT_CODE_OK;

	findings_init (&findings);
	if (settings_init (&settings, argc, argv, &findings) < 0)
		code = EXIT_CODE_USAGE;
	findings_print (&findings, stderr);
	if (settings.check_only)
		settings_print (&settings, stdout);
	settings_finish (&settings);
	findings_finish (&findings);
	return code;
}
