/**
 * @file
 * Checks the head of a received HTTP request for what libmicrohttpd accepts although receivers read it differently.
 */
#pragma once

#include <microhttpd.h>
#include <stdbool.h>

/**
 * Whether all receivers agree on the fields of the request and on where its body ends (RFC 9112, sections 5 and 6): one
 * Content-Length or one Transfer-Encoding, the latter "chunked"; no blank in a field's name; no control character but
 * tab. Of two receivers that disagree, e.g. a balancer and this process, one takes a part of the body for the next
 * request. A request that is not valid must be answered with 400, and its connection closed.
 */
bool http_head_is_valid (struct MHD_Connection *connection);
