#pragma once

/** @file
 * Public header of the pipeline library: the state machine of one request, from its first stage to its one answer.
 * Nothing here does I/O; events and times are arguments, what to do is returned.
 */

#include "action.h"
#include "callerrequest.h"
#include "requestmachine.h"
#include "stagecall.h"
