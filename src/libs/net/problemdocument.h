#pragma once

#include "httpexchange.h"

#include <common/common.h>

#include <string>

namespace CassiaRelay::Net {

/** RFC 9457 response for a refused request. */
HttpResponse problemResponse(const Refusal &refusal, const std::string &requestId);

/** HTTP status of an error kind. */
unsigned httpStatus(ErrorKind kind);

/** RFC 9457 document as JSON text. */
std::string problemText(const Refusal &refusal, const std::string &requestId);

} // namespace CassiaRelay::Net
