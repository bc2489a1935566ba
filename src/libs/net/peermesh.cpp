#include "peermesh.h"

#include <boost/asio/steady_timer.hpp>
#include <openssl/hmac.h>
#include <spdlog/spdlog.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <array>
#include <map>
#include <set>

namespace CassiaRelay::Net {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr std::int64_t PROTOCOL_VERSION = 1;
constexpr std::chrono::milliseconds CONNECT_INTERVAL { 250 };
constexpr std::size_t MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
constexpr std::size_t MAX_QUEUED_BYTES = 8 * 1024 * 1024;

std::string hmacHex(const std::string &key, const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest.data(),
         &length);
    return sha256Hex(std::string(reinterpret_cast<const char *>(digest.data()), length));
}

std::string randomNonce()
{
    std::random_device device;
    std::string nonce;
    for (int word = 0; word < 4; ++word) {
        nonce += std::to_string(device()) + ".";
    }
    return nonce;
}

} // namespace

class PeerMesh::Private
{
public:
    /** A connection, from its first byte on; messages count only once it is authenticated. */
    struct Link {
        Handle handle;
        bool outgoing = false;
        VmId vm;
        std::string nonce;
        bool authenticated = false;
    };

    Private(boost::asio::io_context &context, PeerIdentity identity, MessageHandler handler)
        : m_identity(std::move(identity))
        , m_handler(std::move(handler))
        , m_timer(context)
    {
        m_server.clear_access_channels(websocketpp::log::alevel::all);
        m_server.clear_error_channels(websocketpp::log::elevel::all);
        m_client.clear_access_channels(websocketpp::log::alevel::all);
        m_client.clear_error_channels(websocketpp::log::elevel::all);
        m_server.init_asio(&context);
        m_client.init_asio(&context);
        m_server.set_reuse_addr(true);
        m_server.set_max_message_size(MAX_MESSAGE_BYTES);
        m_client.set_max_message_size(MAX_MESSAGE_BYTES);
        setHandlers(m_server, false);
        setHandlers(m_client, true);
    }

    template<typename Endpoint>
    void setHandlers(Endpoint &endpoint, bool outgoing)
    {
        endpoint.set_open_handler([this, outgoing](const Handle &handle) { onOpen(handle, outgoing); });
        endpoint.set_close_handler([this](const Handle &handle) { onClosed(handle); });
        endpoint.set_fail_handler([this](const Handle &handle) { onClosed(handle); });
        endpoint.set_message_handler(
            [this](const Handle &handle, const typename Endpoint::message_ptr &message) { onMessage(handle, message->get_payload()); });
    }

    void onOpen(const Handle &handle, bool outgoing)
    {
        Link &link = m_links[handle];
        link.handle = handle;
        link.outgoing = outgoing;
        link.nonce = randomNonce();
        sendOn(link, hello(link, {}));
    }

    void onClosed(const Handle &handle)
    {
        const auto link = m_links.find(handle);
        if (link != m_links.end()) {
            if (link->second.authenticated) {
                spdlog::info("peer {} disconnected", link->second.vm.value());
            }
            m_links.erase(link);
        }
        for (auto dialling = m_dialling.begin(); dialling != m_dialling.end();) {
            const bool same = !dialling->second.owner_before(handle) && !handle.owner_before(dialling->second);
            dialling = same ? m_dialling.erase(dialling) : std::next(dialling);
        }
    }

    void onMessage(const Handle &handle, const std::string &payload)
    {
        const auto found = m_links.find(handle);
        if (found == m_links.end()) {
            return;
        }
        Link &link = found->second;
        try {
            const std::optional<Schema::PeerMessage> message = Schema::decode(payload);
            if (!message) {
                return;
            }
            if (const auto *hello = std::get_if<Schema::Hello>(&*message)) {
                onHello(link, *hello);
            } else if (link.authenticated) {
                m_handler(link.vm, *message);
            }
        } catch (const Error &error) {
            spdlog::warn("peer {} sent an unreadable message: {}; {}", link.vm.value(), error.what(), error.remedy());
            closeLink(link);
        }
    }

    // Each side proves that it knows the secret by the nonce of the other.
    void onHello(Link &link, const Schema::Hello &received)
    {
        if (received.proof.empty()) {
            link.vm = VmId(received.vm);
            sendOn(link, hello(link, proofFor(received.nonce, m_identity.vm)));
            return;
        }
        if (!constantTimeEquals(received.proof, proofFor(link.nonce, VmId(received.vm))) || link.vm.value() != received.vm) {
            spdlog::warn("peer {} failed authentication; give all daemons of the cell the same cellSecret", received.vm);
            closeLink(link);
            return;
        }
        link.authenticated = true;
        spdlog::info("peer {} connected", received.vm);
    }

    std::string proofFor(const std::string &nonce, const VmId &prover) const
    {
        return hmacHex(m_identity.cellSecret, nonce + "|" + prover.value());
    }

    Schema::Hello hello(const Link &link, std::string proof) const
    {
        Schema::Hello hello;
        hello.vm = m_identity.vm.value();
        hello.incarnation = static_cast<std::int64_t>(m_identity.incarnation.value());
        hello.protocolVersion = PROTOCOL_VERSION;
        hello.nonce = link.nonce;
        hello.proof = std::move(proof);
        return hello;
    }

    void sendOn(const Link &link, const Schema::PeerMessage &message)
    {
        websocketpp::lib::error_code error;
        const std::string bytes = Schema::encode(message);
        if (link.outgoing) {
            sendBounded(m_client, link.handle, bytes, error);
        } else {
            sendBounded(m_server, link.handle, bytes, error);
        }
    }

    template<typename Endpoint>
    static void sendBounded(Endpoint &endpoint, const Handle &handle, const std::string &bytes, websocketpp::lib::error_code &error)
    {
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (!connection || connection->get_buffered_amount() > MAX_QUEUED_BYTES) {
            return;
        }
        error = connection->send(bytes, websocketpp::frame::opcode::binary);
    }

    void closeLink(const Link &link)
    {
        websocketpp::lib::error_code ignored;
        if (link.outgoing) {
            m_client.close(link.handle, websocketpp::close::status::policy_violation, "", ignored);
        } else {
            m_server.close(link.handle, websocketpp::close::status::policy_violation, "", ignored);
        }
    }

    void connectMissing()
    {
        for (const Fleet::Member &member : m_members) {
            if (!(m_identity.vm < member.vm) || m_dialling.count(member.vm) > 0) {
                continue;
            }
            websocketpp::lib::error_code error;
            const std::string uri = "ws://" + member.address + ":" + std::to_string(member.peerPort) + "/peer";
            const Client::connection_ptr connection = m_client.get_connection(uri, error);
            if (error) {
                continue;
            }
            m_dialling[member.vm] = connection->get_handle();
            m_client.connect(connection);
        }
        m_timer.expires_after(CONNECT_INTERVAL);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error && !m_stopped) {
                connectMissing();
            }
        });
    }

    PeerIdentity m_identity;
    MessageHandler m_handler;
    Server m_server;
    Client m_client;
    boost::asio::steady_timer m_timer;
    std::map<Handle, Link, std::owner_less<Handle>> m_links;
    std::map<VmId, Handle> m_dialling; ///< outgoing connections, from the first attempt until they are closed
    std::vector<Fleet::Member> m_members;
    bool m_stopped = false;
};

PeerMesh::PeerMesh(boost::asio::io_context &context, PeerIdentity identity, const Schema::Endpoint &endpoint, MessageHandler handler)
    : d(std::make_unique<Private>(context, std::move(identity), std::move(handler)))
{
    try {
        d->m_server.listen({ boost::asio::ip::make_address(endpoint.address), static_cast<std::uint16_t>(endpoint.port) });
    } catch (const std::exception &failure) {
        throw Error(ErrorKind::SettingsInvalid,
                    "cannot listen for peers on " + endpoint.address + ":" + std::to_string(endpoint.port) + ": " + failure.what(),
                    "choose an address of this machine and a free port");
    }
}

PeerMesh::~PeerMesh() = default;

void PeerMesh::start()
{
    d->m_server.start_accept();
    d->connectMissing();
}

void PeerMesh::stop()
{
    d->m_stopped = true;
    d->m_timer.cancel();
    websocketpp::lib::error_code ignored;
    d->m_server.stop_listening(ignored);
    for (const auto &[handle, link] : d->m_links) {
        d->closeLink(link);
    }
}

void PeerMesh::adopt(const Fleet::Cell &cell)
{
    d->m_members = cell.members();
    for (const auto &[handle, link] : d->m_links) {
        if (link.authenticated && cell.find(link.vm) == nullptr) {
            d->closeLink(link);
        }
    }
}

void PeerMesh::send(const VmId &to, const Schema::PeerMessage &message)
{
    for (const auto &[handle, link] : d->m_links) {
        if (link.authenticated && link.vm == to) {
            d->sendOn(link, message);
            return;
        }
    }
}

std::size_t PeerMesh::links() const
{
    std::size_t count = 0;
    for (const auto &[handle, link] : d->m_links) {
        count += link.authenticated ? 1 : 0;
    }
    return count;
}

} // namespace CassiaRelay::Net
