#include "exitcode.h"

namespace CassiaRelay::Tool {

ToolError::ToolError(ExitCode exitCode, const std::string &message, const std::string &remedy)
    : Error(ErrorKind::Internal, message, remedy)
    , m_exitCode(exitCode)
{
}

ExitCode ToolError::exitCode() const
{
    return m_exitCode;
}

} // namespace CassiaRelay::Tool
