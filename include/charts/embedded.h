/**
 * @file
 * State charts that are embedded in the program, from charts/NAME.scxml.
 */
#pragma once

#include "charts/chart.h"

/** Returns the chart "configuration", "drain", "failover", "member" or "upstream". The first call
 * parses all of them; any thread may call. A chart that is missing or has a finding ends the
 * process: charts are part of the program, and a unit test loads them all. */
const struct chart *chart_embedded (const char *name);
