#include "textfile.h"

#include "exitcode.h"

#include <fstream>
#include <sstream>

namespace CassiaRelay::Tool {

std::string readTextFile(const std::string &fileName)
{
    const std::ifstream file(fileName);
    std::ostringstream text;
    if (file) {
        text << file.rdbuf();
    }
    if (!file || !text) {
        throw ToolError(ExitCode::InvalidSettings, "cannot read " + fileName, "give the path of a readable file");
    }
    return text.str();
}

} // namespace CassiaRelay::Tool
