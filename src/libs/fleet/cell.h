#pragma once

#include <common/common.h>
#include <schema/schema.h>

#include <string>
#include <vector>

namespace CassiaRelay::Fleet {

/** One daemon of the cell, as listed in the published VM list. */
struct Member {
    VmId vm;
    std::string address;
    std::uint16_t peerPort = 0;
    FailureDomain failureDomain;
    bool leaving = false;
};

/** Immutable list of the VMs that coordinate with each other, sorted by id. Currently one cell covers the whole fleet. */
class Cell
{
public:
    Cell() = default;
    Cell(const Schema::VmList &list, std::int64_t revision);

    std::int64_t revision() const;
    const std::vector<Member> &members() const;
    /** Returns nullptr if the VM is not in the cell. */
    const Member *find(const VmId &vm) const;
    /** Size of a majority quorum: any two sets of this many members have at least one member in common. */
    std::size_t majority() const;

private:
    std::int64_t m_revision = 0;
    std::vector<Member> m_members;
};

} // namespace CassiaRelay::Fleet
