#pragma once

#include <boost/asio/io_context.hpp>
#include <common/common.h>
#include <fleet/fleet.h>
#include <schema/schema.h>

#include <functional>
#include <memory>
#include <string>

namespace CassiaRelay::Net {

/** Who this daemon is towards the others. */
struct PeerIdentity {
    VmId vm;
    Incarnation incarnation;
    std::string cellSecret;
};

/** Websocket links with the other daemons of the cell; the VM with the lower id connects. Lives on one thread. */
class PeerMesh
{
public:
    using MessageHandler = std::function<void(const VmId &, const Schema::PeerMessage &)>;

    /** @throws Error when the address cannot be listened on */
    PeerMesh(boost::asio::io_context &context, PeerIdentity identity, const Schema::Endpoint &endpoint, MessageHandler handler);
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    void start();
    void stop();
    /** Connects to new members and drops links to former ones. */
    void adopt(const Fleet::Cell &cell);
    /** Drops the message when there is no authenticated link. */
    void send(const VmId &to, const Schema::PeerMessage &message);
    std::size_t links() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace CassiaRelay::Net
