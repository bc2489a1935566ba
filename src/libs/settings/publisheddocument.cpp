#include "publisheddocument.h"

#include "document.h"
#include "fleetsettings.h"

namespace CassiaRelay::Settings {

void checkPublished(const Schema::Document &document)
{
    const std::string source = document.key + " revision " + std::to_string(document.revision);
    if (document.key == Schema::CONFIGURATION_KEY) {
        FleetSettings::parse(document.text, document.revision);
    } else if (document.key == Schema::VM_LIST_KEY) {
        checkedDocument(document.text, source, Schema::vmListSchema());
    } else if (document.key == Schema::TARGET_LIST_KEY) {
        checkedDocument(document.text, source, Schema::targetListSchema());
    } else {
        throw SettingsError(source, { { "", "unknown key", "run the same release on all VMs" } });
    }
}

} // namespace CassiaRelay::Settings
