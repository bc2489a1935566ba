#pragma once

/** @file
 * Public header of the pipeline library: the state machine of one request, from its first stage to its answer or refusal.
 * The library does no I/O: events and times are arguments, actions are return values.
 */

#include "action.h"
#include "callerrequest.h"
#include "requestmachine.h"
#include "stagecall.h"
