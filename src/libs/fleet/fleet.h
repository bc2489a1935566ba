#pragma once

/** @file
 * Public header of the fleet library: the decisions that the daemons of a cell make together.
 * The library performs no I/O. Messages, timer ticks and times are passed in; messages to send are returned as outputs.
 */

#include "cell.h"
#include "demand.h"
#include "documentstore.h"
#include "fleetnode.h"
#include "grant.h"
#include "grantrules.h"
#include "output.h"
#include "permit.h"
#include "quarantinestate.h"
