/**
 * @file
 * Service documents in force, as commands fetch them.
 */
#pragma once

#include "ctl/client.h"
#include "protocols/operator.h"

/** Fetches the document of @p service ("": the list of services). The result is freed with xdr_free().
 * @return an exit code, with a message on standard error when it is not EXIT_CODE_OK. */
int document_fetch (const struct client_options *options, const char *service,
                    struct fs_get_result *result);
