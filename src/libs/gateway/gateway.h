#pragma once

/** @file
 * Public header of the gateway library: the decision logic of a daemon that serves routes by host and prefix. Performs no I/O.
 */

#include "catalogue.h"
#include "configuration.h"
#include "crashtracker.h"
#include "eventframer.h"
#include "members.h"
#include "piece.h"
#include "platformport.h"
#include "reachabilitytracker.h"
#include "refusal.h"
#include "relayaction.h"
#include "relaymachine.h"
#include "relayrequest.h"
#include "resultmemorytracker.h"
#include "retrybudget.h"
#include "routetable.h"
#include "shutdownpolicy.h"
#include "stagelatencyestimator.h"
#include "stageplan.h"
#include "stagescheduler.h"
#include "storeentry.h"
#include "streamdirectory.h"
#include "targetratelimits.h"
#include "targetrecord.h"
#include "targetregistry.h"
#include "targetstatements.h"
#include "versionhistory.h"
#include "watchtiming.h"
