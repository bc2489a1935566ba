#pragma once

#include <common/common.h>

namespace CassiaRelay::Net {

/** Another process holds the port on which this one is to listen. It may give it up soon. */
class AddressInUse : public Error
{
public:
    using Error::Error;
};

} // namespace CassiaRelay::Net
