/**
 * @file
 * The command `flamingospring proxy`: settings, threads, signals.
 */
#pragma once

/** Runs the proxy until it is stopped. @return an exit code from ctl/commands.h. */
int proxy_run (int argc, char **argv);
