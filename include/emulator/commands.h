/**
 * @file
 * Entry points of the flamingospring-emulator commands; each command is one kind of process.
 */
#pragma once

/** Runs one server of a database group. @return the exit code. */
int cmd_database (int argc, char **argv);

/** Runs sessions against a fleet and checks its guarantees. @return the exit code. */
int cmd_load (int argc, char **argv);

/** Runs the platform's key-value service. @return the exit code. */
int cmd_platform (int argc, char **argv);

/** Relays traffic between processes; commands on standard input cut, delay and restore links.
 * @return the exit code. */
int cmd_relay (int argc, char **argv);
