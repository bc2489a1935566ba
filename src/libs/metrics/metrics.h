#pragma once

/** @file
 * Public header of the metrics library: counters and histograms, written as Prometheus text.
 */

#include "registry.h"
