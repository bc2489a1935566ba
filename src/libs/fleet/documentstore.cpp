#include "documentstore.h"

#include <common/common.h>

#include <algorithm>

namespace CassiaRelay::Fleet {

bool DocumentStore::adopt(const Schema::Document &document)
{
    if (document.revision <= revision(document.key)) {
        return false;
    }
    m_documents[document.key] = document;
    return true;
}

void DocumentStore::refuse(const Schema::Document &document)
{
    m_refused[document.key] = { document.revision, stableHash(document.text) };
}

bool DocumentStore::isRefused(const Schema::Document &document) const
{
    const auto found = m_refused.find(document.key);
    return found != m_refused.end() && found->second.revision == document.revision && found->second.digest == stableHash(document.text);
}

std::int64_t DocumentStore::checkedRevision(const std::string &key) const
{
    const auto found = m_refused.find(key);
    return std::max(revision(key), found == m_refused.end() ? 0 : found->second.revision);
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
