/**
 * @file
 * Entry points of the commands in ctl/commands/. Each returns an exit code.
 */
#pragma once

int cmd_apply (int argc, char **argv);
int cmd_counters (int argc, char **argv);
int cmd_diff (int argc, char **argv);
int cmd_drain (int argc, char **argv);
int cmd_explain (int argc, char **argv);
int cmd_get (int argc, char **argv);
int cmd_promote (int argc, char **argv);
int cmd_schema (int argc, char **argv);
int cmd_status (int argc, char **argv);
int cmd_tenants (int argc, char **argv);
int cmd_trace (int argc, char **argv);
int cmd_undrain (int argc, char **argv);
