/**
 * @file
 * Service documents for the commands: read from a file, or fetched from a VM.
 */
#pragma once

#include "ctl/client.h"
#include "protocols/operator.h"
#include "schema/schema.h"

/** Reads and checks the document in the file @p path ("-": standard input). The text is freed with g_free(), the
 * service with schema_service_finish(). @return 0, or -EINVAL with the findings on standard error. */
int document_read (const char *path, struct schema_service *service, char **text);

/** Fetches the active document of @p service ("": the list of services). The result is freed with xdr_free().
 * @return an exit code, with a message on standard error when it is not EXIT_CODE_OK. */
int document_fetch (const struct client_options *options, const char *service,
                    struct fs_get_result *result);
