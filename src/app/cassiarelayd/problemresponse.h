#pragma once

#include <net/net.h>

namespace CassiaRelay::Daemon {

using Net::httpStatus;
using Net::problemResponse;
using Net::problemText;

} // namespace CassiaRelay::Daemon
