/**
 * @file
 * Tells the thread sanitizer what Concurrency Kit orders between threads; nothing in other builds.
 *
 * Concurrency Kit loads and stores with volatile accesses and fences, which the sanitizer does not
 * follow. tools/thread-sanitizer.supp leaves out these accesses themselves.
 */
#pragma once

#include <stdint.h>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
/** All that this thread wrote is visible to a thread that acquires @p address later. */
#define THREAD_RELEASE(address) __tsan_release ((void *) (uintptr_t) (address))
#define THREAD_ACQUIRE(address) __tsan_acquire ((void *) (uintptr_t) (address))
#else
#define THREAD_RELEASE(address) ((void) (address))
#define THREAD_ACQUIRE(address) ((void) (address))
#endif
