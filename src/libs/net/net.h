#pragma once

/** @file
 * Public header of the net library: sockets towards callers, targets, the platform and other daemons.
 */

#include "httpclient.h"
#include "httpexchange.h"
#include "httpserver.h"
#include "peermesh.h"
#include "platformwatch.h"
#include "targetclient.h"
