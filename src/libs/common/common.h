#pragma once

/** @file
 * Public header of the common library: identifiers, typed errors, clock types, hashing, snapshots.
 */

#include "clock.h"
#include "endpoint.h"
#include "error.h"
#include "hash.h"
#include "httpfield.h"
#include "incarnation.h"
#include "overloaded.h"
#include "snapshot.h"
#include "strongid.h"
