/**
 * @file
 * Reading of files named on the command line.
 */
#pragma once

/** Reads a file, or standard input for "-", as text. Free with g_free().
 * @return 0, or -EIO with a message on standard error. */
int file_read (const char *path, char **text);
