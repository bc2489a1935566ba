#pragma once

/** @file
 * Public header of the fleet library: what the daemons of a cell decide together.
 * Nothing here does I/O; messages, timers and times are arguments, what to send is returned.
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
