/**
 * @file
 * Estimates which of the statements that were sent to a server still run there. Does no I/O.
 *
 * Fault pattern: the answer to a statement is lost while its connection stays open. Its slot at the server is free, but a
 * count that only an answer releases takes the server out of use, one slot for each lost answer, until the time limits of
 * the statements. The server's own count of what it runs shows which slots are free. It is asked only about statements that
 * have taken much longer than usual, and less and less often while it confirms that they run.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** Usual time of a server's answers; zero before the first one. */
struct answer_time
{
	int64_t mean_us;
	int64_t deviation_us; /**< Mean absolute deviation. */
};

void answer_time_add (struct answer_time *usual, int64_t elapsed_us);

/** Time after which an answer is overdue. */
int64_t answer_time_overdue_us (const struct answer_time *usual);

/** What is known when a server has said how many statements it runs. */
struct slot_evidence
{
	uint32_t
		overdue; /**< Statements that count as running and were overdue when the server was asked. */
	uint32_t
		recent; /**< Others that count as running, sent before it was asked and still unanswered. */
	uint32_t reported; /**< Statements that it runs, for any VM, without the question itself. */
};

/** Course of the questions to one server; zero before the first one. */
struct slot_inquiry
{
	int64_t asked_us;
	int64_t interval_us;
	bool was_likely; /**< The last answer made it likely that statements are lost. */
};

/** Whether to ask now, while there are overdue statements. */
bool slot_inquiry_is_due (const struct slot_inquiry *inquiry, int64_t now_us);
void slot_inquiry_start (struct slot_inquiry *inquiry, int64_t now_us);

/**
 * Judges the answer. @return how many of the overdue statements do not run any more.
 *
 * Recent statements explain reported ones only if two answers in a row agree: their answers may have been sent before that
 * to the question and arrive after it, and then a reported statement is an overdue one that is only slow.
 */
uint32_t slot_inquiry_judge (struct slot_inquiry *inquiry, const struct slot_evidence *evidence);

/**
 * Whether the answer to a statement that does not run any more is given up.
 * @param lost_for_us time since its slot was released.
 * @param is_repeatable the statement or its transaction may be run again without the answer.
 * @param is_scarce all connections that the VM may have to the server are in use.
 */
bool slot_answer_is_given_up (int64_t lost_for_us, bool is_repeatable, bool is_scarce);

/**
 * Whether the answers to a statement's setup, which takes no slot, are given up. The statement has not been sent.
 * @param answered_after_us time from the sending of the setup to the server's last answer of any kind.
 * @param overdue_us time after which the answer to a statement is overdue.
 */
bool slot_setup_is_given_up (int64_t waited_us, int64_t answered_after_us, int64_t overdue_us);
