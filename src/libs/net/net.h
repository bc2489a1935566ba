#pragma once

/** @file
 * Public header of the net library: sockets towards callers, targets, the platform and other daemons.
 */

#include "addressinuse.h"
#include "connectionprobe.h"
#include "httpclient.h"
#include "httpexchange.h"
#include "httpserver.h"
#include "jsontext.h"
#include "loadpoller.h"
#include "peermesh.h"
#include "platformwatch.h"
#include "problemdocument.h"
#include "targetclient.h"
