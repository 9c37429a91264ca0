/**
 * @file
 * The commands of flamingospring-emulator, one for each kind of process.
 */
#pragma once

/** One server of a database group. @return the exit code. */
int cmd_database (int argc, char **argv);

/** Sessions against a fleet, and the check of its guarantees. @return the exit code. */
int cmd_load (int argc, char **argv);

/** The platform's key-value service. @return the exit code. */
int cmd_platform (int argc, char **argv);

/** Links between processes, cut on commands from standard input. @return the exit code. */
int cmd_relay (int argc, char **argv);
