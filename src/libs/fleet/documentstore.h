#pragma once

#include <schema/schema.h>

#include <map>
#include <string>

namespace CassiaRelay::Fleet {

/** The latest revision of each published document that this daemon has accepted. Revisions only rise. */
class DocumentStore
{
public:
    /** @return true when the document is newer than what is held and was taken over */
    bool adopt(const Schema::Document &document);
    /** 0 when nothing is held. */
    std::int64_t revision(const std::string &key) const;
    /** nullptr when nothing is held. */
    const Schema::Document *find(const std::string &key) const;

private:
    std::map<std::string, Schema::Document> m_documents;
};

} // namespace CassiaRelay::Fleet
