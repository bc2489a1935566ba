#pragma once

/** @file
 * Public header of the schema library: generated message and settings types, and their codecs.
 */

#include "boundedjson.h"
#include "codec.h"
#include "documents.h"
#include "generated/types.h"
