#pragma once

/** @file
 * Public header of the metrics library: counters, gauges and histograms, written as Prometheus text.
 */

#include "histogram.h"
#include "instruments.h"
#include "registry.h"
#include "requestmetrics.h"
