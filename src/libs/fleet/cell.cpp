#include "cell.h"

#include <algorithm>

namespace CassiaRelay::Fleet {

Cell::Cell(const Schema::VmList &list, std::int64_t revision)
    : m_revision(revision)
{
    for (const Schema::VmEntry &entry : list.vms) {
        m_members.push_back({ VmId(entry.vm),
                              entry.address,
                              static_cast<std::uint16_t>(entry.peerPort),
                              FailureDomain(entry.failureDomain),
                              entry.leaving.value_or(false) });
    }
    std::sort(m_members.begin(), m_members.end(), [](const Member &left, const Member &right) { return left.vm < right.vm; });
}

std::int64_t Cell::revision() const
{
    return m_revision;
}

const std::vector<Member> &Cell::members() const
{
    return m_members;
}

const Member *Cell::find(const VmId &vm) const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&vm](const Member &member) { return member.vm == vm; });
    return found == m_members.end() ? nullptr : &*found;
}

std::size_t Cell::majority() const
{
    return m_members.size() / 2 + 1;
}

} // namespace CassiaRelay::Fleet
