#define BOOST_TEST_MODULE httpserver
#include "loopback.h"

#include <boost/test/unit_test.hpp>

using namespace CassiaRelay;
using namespace std::chrono_literals;
using Loopback::Client;
using Loopback::echo;
using Loopback::HttpExchangePointer;
using Loopback::post;
using Loopback::Response;
using Loopback::Server;

namespace {

void checkProblem(const Response &response, unsigned status)
{
    BOOST_TEST(response.result_int() == status);
    const auto problem = nlohmann::json::parse(response.body());
    BOOST_TEST(problem.at("outcome") == "not_run");
    BOOST_TEST(!problem.at("remedy").get<std::string>().empty());
    BOOST_TEST(!response.keep_alive());
}

Net::HttpLimits shortReadTimeout()
{
    Net::HttpLimits limits;
    limits.readTimeout = 50ms;
    return limits;
}

} // namespace

BOOST_AUTO_TEST_CASE(answersPipelinedRequestsInOrder)
{
    constexpr int REQUESTS = 200;
    std::vector<HttpExchangePointer> held;
    Server server([&held](const HttpExchangePointer &exchange) {
        held.push_back(exchange);
        echo(exchange);
        // A late writer of an earlier request must not reach the response of this one.
        held.front()->respond({ 500, "text/plain", "late", {} });
        held.front()->writeStream("late");
    });
    Client client(server.http().port());
    std::string requests;
    for (int index = 0; index < REQUESTS; ++index) {
        requests += post("/", std::to_string(index));
    }
    BOOST_TEST(client.send(requests));
    for (int index = 0; index < REQUESTS; ++index) {
        BOOST_TEST(client.read().body() == std::to_string(index));
    }
}

BOOST_AUTO_TEST_CASE(refusesLongBodyAndItsSenderReadsWhy)
{
    Server server(echo);
    Client client(server.http().port());
    client.send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 104857600\r\n\r\n");
    // The sender goes on sending before it looks at the response.
    client.send(std::string(4 * 1024 * 1024, 'x'));
    checkProblem(client.read(), 413);
}

BOOST_AUTO_TEST_CASE(refusesLongHeader)
{
    Server server(echo);
    Client client(server.http().port());
    client.send("POST / HTTP/1.1\r\nHost: test\r\nX-Long: " + std::string(1024 * 1024, 'x') + "\r\n\r\n");
    checkProblem(client.read(), 431);
}

BOOST_AUTO_TEST_CASE(refusesWhatIsNotHttp)
{
    Server server(echo);
    Client client(server.http().port());
    client.send("\"\\\x01 no such protocol\r\n\r\n");
    checkProblem(client.read(), 400);
}

// Regression (issue 57): a request with an unknown coding was taken for one without a body, and its body for the next request.
BOOST_AUTO_TEST_CASE(refusesUnknownTransferCodings)
{
    std::atomic<int> handled { 0 };
    Server server([&handled](const HttpExchangePointer &exchange) {
        ++handled;
        echo(exchange);
    });
    const std::string smuggled = post("/smuggled", "x");
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    const std::string head = "POST / HTTP/1.1\r\nHost: test\r\n";
    const std::vector<std::vector<std::string>> requests {
        { head, "Transfer-Encoding: xchunked\r\n\r\n", smuggled },
        { head, "Transfer-Encoding: chunked, gzip\r\n\r\n", smuggled },
        { head, "Transfer-Encoding: gzip, chunked\r\n\r\n", chunks },
        { head, "Transfer-Encoding: identity\r\n\r\n", smuggled },
        { head, "Transfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nok" },
        { "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", chunks },
    };
    for (const std::vector<std::string> &request : requests) {
        Client client(server.http().port());
        for (const std::string &part : request) {
            client.send(part);
        }
        checkProblem(client.read(), 400);
    }
    BOOST_TEST(handled == 0);
    Client client(server.http().port());
    client.send(head + "Transfer-Encoding: chunked\r\n\r\n" + chunks);
    BOOST_TEST(client.read().body() == "ok");
}

BOOST_AUTO_TEST_CASE(refusesSlowSender)
{
    Server server(echo, shortReadTimeout());
    Client client(server.http().port());
    // Each byte arrives well before the timeout, the whole request never does.
    const std::string request = post("/", std::string(100000, 'x'));
    std::size_t sent = 0;
    while (client.socket().available() == 0) {
        client.send(request.substr(sent++, 1));
        std::this_thread::sleep_for(2ms);
    }
    checkProblem(client.read(), 408);
}

BOOST_AUTO_TEST_CASE(refusesBodyCutShort)
{
    std::atomic<int> handled { 0 };
    Server server([&handled](const HttpExchangePointer &exchange) {
        ++handled;
        echo(exchange);
    });
    Client client(server.http().port());
    client.send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\n12345");
    client.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    checkProblem(client.read(), 400);
    BOOST_TEST(handled == 0);
}

BOOST_AUTO_TEST_CASE(halfClosedSocketCountsAsDisconnect)
{
    for (const std::string &readAhead : { std::string(), std::string("POST /next") }) {
        std::promise<void> closed;
        std::vector<HttpExchangePointer> held;
        Server server([&](const HttpExchangePointer &exchange) {
            exchange->onClosed([&closed] { closed.set_value(); });
            held.push_back(exchange);
        });
        Client client(server.http().port());
        client.send(post("/", "{}") + readAhead);
        client.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send);
        closed.get_future().wait();
        BOOST_TEST(client.readAll().empty());
    }
}

BOOST_AUTO_TEST_CASE(answersConnectionsOverTheLimit)
{
    Net::HttpLimits limits;
    limits.maxConnections = 1;
    Server server(echo, limits);
    Client first(server.http().port());
    first.send(post("/", "1"));
    BOOST_TEST(first.read().body() == "1");
    Client second(server.http().port());
    checkProblem(second.read(), 503);
    first.send(post("/", "2"));
    BOOST_TEST(first.read().body() == "2");
}

BOOST_AUTO_TEST_CASE(exceptionInHandlerIsAnswered)
{
    Server server([](const HttpExchangePointer &) { throw std::runtime_error("unexpected"); });
    Client client(server.http().port());
    client.send(post("/", "{}"));
    const Response response = client.read();
    BOOST_TEST(response.result_int() == 500U);
    BOOST_TEST(nlohmann::json::parse(response.body()).at("outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(cutsOffReaderThatTakesNothing)
{
    Net::HttpLimits limits;
    limits.stalledReaderTimeout = 50ms;
    std::promise<void> closed;
    Server server(
        [&closed](const HttpExchangePointer &exchange) {
            exchange->onClosed([&closed] { closed.set_value(); });
            exchange->startStream({ 200, "text/event-stream", {}, {} });
            exchange->writeStream(std::string(32 * 1024 * 1024, 'x'));
        },
        limits);
    Client client(server.http().port());
    client.send(post("/", "{}"));
    closed.get_future().wait();
    BOOST_TEST(client.readAll().size() < 32U * 1024U * 1024U);
}

BOOST_AUTO_TEST_CASE(drainAnswersAndClosesEveryConnection)
{
    Net::HttpLimits limits;
    limits.drainIdleTimeout = 3s; // longer than this test may stand still between drain and its next request on a busy machine
    Server server(echo, limits);
    Client idle(server.http().port());
    Client active(server.http().port());
    active.send(post("/", "1"));
    BOOST_TEST(active.read().keep_alive());
    server.http().drain();
    active.send(post("/", "2"));
    const Response last = active.read();
    BOOST_TEST(last.body() == "2");
    BOOST_TEST(!last.keep_alive());
    Client late(server.http().port());
    late.send(post("/", "3"));
    BOOST_TEST(late.read().body() == "3");
    BOOST_TEST(idle.readAll().empty());
    while (server.http().connections() > 0) {
        std::this_thread::sleep_for(1ms);
    }
}

// A response that promised to keep the connection was followed by its end when the drain began before the response was written.
BOOST_AUTO_TEST_CASE(connectionThatWasPromisedToStaySurvivesTheStartOfADrain)
{
    Net::HttpLimits limits;
    limits.drainIdleTimeout = 3s;
    Net::HttpServer *drained = nullptr;
    Server server(
        [&drained](const HttpExchangePointer &exchange) {
            echo(exchange);
            drained->drain();
        },
        limits);
    drained = &server.http();
    Client client(server.http().port());
    client.send(post("/", "1"));
    BOOST_TEST(client.read().keep_alive());
    client.send(post("/", "2"));
    const Response last = client.read();
    BOOST_TEST(last.body() == "2");
    BOOST_TEST(!last.keep_alive());
}

BOOST_AUTO_TEST_CASE(keepsManyIdleConnections)
{
    constexpr int CONNECTIONS = 400;
    Net::HttpLimits limits;
    limits.maxConnections = CONNECTIONS + 1;
    Server server(echo, limits);
    std::vector<std::unique_ptr<Client>> idle;
    idle.reserve(CONNECTIONS);
    for (int index = 0; index < CONNECTIONS; ++index) {
        idle.push_back(std::make_unique<Client>(server.http().port()));
    }
    Client active(server.http().port());
    active.send(post("/", "1"));
    BOOST_TEST(active.read().body() == "1");
    BOOST_TEST(server.http().connections() == CONNECTIONS + 1U);
    for (const auto &client : idle) {
        client->send(post("/", "2"));
        BOOST_TEST(client->read().body() == "2");
    }
}

BOOST_AUTO_TEST_CASE(refusesJsonThatIsNestedTooDeeply)
{
    constexpr std::size_t DEPTH = 400000;
    BOOST_TEST(!Net::parseJson("{\"a\":" + std::string(DEPTH, '[') + std::string(DEPTH, ']') + "}").has_value());
    BOOST_TEST(!Net::parseJson("{").has_value());
    BOOST_TEST(Net::parseJson(R"({"a":[[1]]})").has_value());
}
