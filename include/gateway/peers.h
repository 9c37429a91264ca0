/**
 * @file
 * UDP messages to and from the other gateways of the fleet.
 */
#pragma once

#include "common/loop.h"
#include "protocols/gateway.h"

#include <stdint.h>

struct peer_address
{
	uint32_t ip; /**< Host byte order. */
	uint16_t port;
};

/** Callbacks for received messages; @p args are freed when the callback returns. */
struct peers_ops
{
	/** Called for the primary record of a service. */
	void (*handle_primary_record) (void *data, const struct fs_lead_args *args,
	                               struct peer_address from);
	void (*handle_quiesced) (void *data, const struct fs_quiesced_args *args,
	                         struct peer_address from);
	void (*handle_opinion) (void *data, const struct fs_reachability_args *args,
	                        struct peer_address from);
	void (*handle_hello) (void *data, const struct fs_hello_args *args, struct peer_address from);
	void (*handle_zone) (void *data, const struct fs_zone_args *args);
};

struct peers
{
	struct loop *loop;
	struct loop_source source;
	const struct peers_ops *ops;
	void *data;
};

/** @return 0 or a negative error number. */
int peers_init (struct peers *peers, struct loop *loop, struct peer_address own,
                const struct peers_ops *ops, void *data);
void peers_finish (struct peers *peers);

void peers_send_primary_record (struct peers *peers, struct peer_address to,
                                const struct fs_lead_args *args);
void peers_send_quiesced (struct peers *peers, struct peer_address to,
                          const struct fs_quiesced_args *args);
void peers_send_opinion (struct peers *peers, struct peer_address to,
                         const struct fs_reachability_args *args);
void peers_send_hello (struct peers *peers, struct peer_address to,
                       const struct fs_hello_args *args);
void peers_send_zone (struct peers *peers, struct peer_address to, const struct fs_zone_args *args);
