#pragma once

/** @file
 * Public header of the routing library: which work runs next, on which target, and what is refused.
 * Nothing here does I/O; times and random numbers are arguments, decisions are return values.
 */

#include "decision.h"
#include "dispatcher.h"
#include "limitshare.h"
#include "loadreport.h"
#include "targettable.h"
#include "workitem.h"
