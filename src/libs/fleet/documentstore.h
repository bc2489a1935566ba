#pragma once

#include <schema/schema.h>

#include <cstdint>
#include <map>
#include <string>

namespace CassiaRelay::Fleet {

/** Holds the latest accepted revision of each published document. Revisions never decrease. */
class DocumentStore
{
public:
    /** @return true if the document is newer than the stored one and replaced it */
    bool adopt(const Schema::Document &document);
    /** Records that the document was refused; the stored one stays in force. */
    void refuse(const Schema::Document &document);
    bool isRefused(const Schema::Document &document) const;
    /** Highest revision that was stored or refused; 0 if there is none. */
    std::int64_t checkedRevision(const std::string &key) const;
    /** Revision of the stored document; 0 if there is none. */
    std::int64_t revision(const std::string &key) const;
    /** Returns nullptr if no document is stored under the key. */
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
