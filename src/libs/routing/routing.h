#pragma once

/** @file
 * Public header of the routing library, which decides what work runs next, on which target, and what is refused.
 * The library does no I/O: times and random numbers are arguments, decisions are return values.
 */

#include "decision.h"
#include "dispatcher.h"
#include "limitshare.h"
#include "loadreport.h"
#include "targettable.h"
#include "workitem.h"
