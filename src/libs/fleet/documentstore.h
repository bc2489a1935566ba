#pragma once

#include <schema/schema.h>

#include <cstdint>
#include <map>
#include <string>

namespace CassiaRelay::Fleet {

/** The latest revision of each published document that this daemon has accepted. Revisions only rise. */
class DocumentStore
{
public:
    /** @return true when the document is newer than what is held and was taken over */
    bool adopt(const Schema::Document &document);
    /** Remembers that the document must not come into force; the one that is held stays. */
    void refuse(const Schema::Document &document);
    bool isRefused(const Schema::Document &document) const;
    /** Highest revision that was held or refused; 0 when there is none. */
    std::int64_t checkedRevision(const std::string &key) const;
    /** 0 when nothing is held. */
    std::int64_t revision(const std::string &key) const;
    /** nullptr when nothing is held. */
    const Schema::Document *find(const std::string &key) const;

private:
    struct Refused {
        std::int64_t revision = 0;
        std::uint64_t digest = 0;
    };

    std::map<std::string, Schema::Document> m_documents;
    std::map<std::string, Refused> m_refused;
};

} // namespace CassiaRelay::Fleet
