/**
 * @file
 * Decides when a session is ended by this VM, rather than by its peer. Does no I/O.
 *
 * A session that ends begins no further operation. What it owes by then is still answered: a statement that waits or runs,
 * complete messages that have arrived, and answers that are being sent. A session whose peer never pauses owes
 * something whenever it is looked at, so it is not enough to end the ones that owe nothing.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
	/** The process ends by itself this long before the platform would kill it, since a busy VM may be stalled for 100 ms. */
	SESSION_EXIT_MARGIN_MS = 250,
};

enum session_end
{
	SESSION_STAYS,
	/** It begins nothing more, and ends when what it owes is answered and sent. */
	SESSION_ENDS,
	/** The same, and what has no answer yet is answered now with what is known of it. */
	SESSION_GIVES_UP,
};

/** What is known of a session and its VM. */
struct session_outlook
{
	bool is_leaving;    /**< The planned stop of the VM has begun. */
	int64_t leaving_us; /**< Time since then. */
	int64_t
		grace_us; /**< Time from the beginning of the stop until the platform kills the process; 0: no limit. */
	bool is_in_transaction; /**< A transaction is open. */
	bool is_peer;           /**< The peer is another VM, which forwards statements. */
	/** For how long this VM, which is isolated, has been out of the rotation of the platform's balancer; 0: it is not. */
	int64_t out_of_rotation_us;
	/** It was accepted after that, since the balancer had no better VM for it. */
	bool is_late;
};

/**
 * Planned stop: sessions stay until the balancer sends no more connections here, since their callers would come back; a
 * transaction stays for the first half of the grace period. A VM that is cut off from the store ends the sessions of callers
 * that can find another one.
 */
enum session_end session_end_judge (const struct session_outlook *outlook);
