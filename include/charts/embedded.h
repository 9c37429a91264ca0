/**
 * @file
 * The charts embedded in the program (charts/NAME.scxml).
 */
#pragma once

#include "charts/chart.h"

/** Parses a chart once and shares it, from any thread: "configuration", "drain", "failover",
 * "member" or "upstream". A chart that is missing or has a finding ends the process: it is part of
 * the program, and a unit test loads them all. */
const struct chart *chart_embedded (const char *name);
