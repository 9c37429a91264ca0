/**
 * @file
 * The command `flamingospring gateway`: database sessions on the users' platform.
 */
#pragma once

/** @return an exit code of ctl/commands.h. */
int gateway_run (int argc, char **argv);
