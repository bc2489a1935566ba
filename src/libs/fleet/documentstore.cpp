#include "documentstore.h"

namespace CassiaRelay::Fleet {

bool DocumentStore::adopt(const Schema::Document &document)
{
    if (document.revision <= revision(document.key)) {
        return false;
    }
    m_documents[document.key] = document;
    return true;
}

std::int64_t DocumentStore::revision(const std::string &key) const
{
    const Schema::Document *document = find(key);
    return document == nullptr ? 0 : document->revision;
}

const Schema::Document *DocumentStore::find(const std::string &key) const
{
    const auto found = m_documents.find(key);
    return found == m_documents.end() ? nullptr : &found->second;
}

} // namespace CassiaRelay::Fleet
