#pragma once

/** @file
 * Public header of the settings library: what people write, checked and made into immutable snapshots.
 */

#include "document.h"
#include "explain.h"
#include "fleetsettings.h"
#include "gatewaysettings.h"
#include "problem.h"
#include "processsettings.h"
#include "publisheddocument.h"
