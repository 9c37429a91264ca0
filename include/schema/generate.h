/**
 * @file
 * Generator of the typed remote procedure calls of a service, as an ONC RPC .x file.
 *
 * Program and procedure numbers are hashes of names, so that they do not change when calls are added or
 * removed. Parameters and cells are sent as text, as in the PostgreSQL protocol; an absent value is NULL.
 */
#pragma once

#include "schema/schema.h"

#include <stdint.h>
#include <stdio.h>

/** RPC program number of a service, in the range reserved for users. */
uint32_t schema_program_number (const char *service);

/** RPC procedure number of a call; never 0. */
uint32_t schema_procedure_number (const char *call);

/** Finds a call by its procedure number. @return NULL when there is none. */
const struct schema_call *schema_find_procedure (const struct schema_service *service,
                                                 uint32_t procedure);

/** Prints the .x file. */
void schema_generate (const struct schema_service *service, FILE *stream);
