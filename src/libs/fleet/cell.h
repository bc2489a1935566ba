#pragma once

#include <common/common.h>
#include <schema/schema.h>

#include <string>
#include <vector>

namespace CassiaRelay::Fleet {

/** A daemon of the cell, as published. */
struct Member {
    VmId vm;
    std::string address;
    std::uint16_t peerPort = 0;
    FailureDomain failureDomain;
    bool leaving = false;
};

/** The VMs that coordinate with each other, in the order of their ids; immutable. Today one cell is the whole fleet. */
class Cell
{
public:
    Cell() = default;
    Cell(const Schema::VmList &list, std::int64_t revision);

    std::int64_t revision() const;
    const std::vector<Member> &members() const;
    /** nullptr when the VM is not in the cell. */
    const Member *find(const VmId &vm) const;
    /** Smallest number of members of which any two sets have one in common. */
    std::size_t majority() const;

private:
    std::int64_t m_revision = 0;
    std::vector<Member> m_members;
};

} // namespace CassiaRelay::Fleet
