/**
 * @file
 * Entry point that libFuzzer calls with each input. A target reports a fault by a sanitizer error or
 * by abort().
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);
