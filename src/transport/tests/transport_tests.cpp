// Tests for HTTP parsing: the result does not depend on how the input is split, and invalid message framing is rejected.

#include "transport/connection.h"
#include "transport/httpcaller.h"
#include "transport/httpreader.h"
#include "transport/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <random>
#include <thread>

using namespace daisymount::transport;

namespace
{
HttpReader response()
{
    return {HttpReader::MessageType::Response, 4'096, 1U << 20U};
}

HttpReader request()
{
    return {HttpReader::MessageType::Request, 4'096, 1'000};
}

/// Feeds @p bytes in pieces of @p size, as they would arrive on a connection.
void feedInPieces(HttpReader &reader, std::string_view bytes, size_t size)
{
    std::string buffer;
    while (!bytes.empty() && !reader.done() && !reader.failed()) {
        buffer += bytes.substr(0, size);
        bytes.remove_prefix(std::min(size, bytes.size()));
        buffer.erase(0, reader.feed(buffer));
    }
}
} // namespace

TEST_GROUP(HttpReader){};

TEST(HttpReader, parsesSameMessageForEveryPieceSize)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n";
    const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\nabc0123456789abcdef";
    for (const std::string &bytes : {chunked, sized}) {
        for (size_t size = 1; size <= bytes.size(); ++size) {
            HttpReader reader = response();
            feedInPieces(reader, bytes, size);
            CHECK(reader.done());
            STRCMP_EQUAL("abc0123456789abcdef", reader.body().c_str());
            CHECK(reader.keepAlive());
        }
    }
}

TEST(HttpReader, stopsAtEndOfMessage)
{
    HttpReader reader = response();
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1";
    LONGS_EQUAL(bytes.size() - 8, reader.feed(bytes));
    CHECK(reader.done());
}

TEST(HttpReader, skipsInformationalResponses)
{
    HttpReader reader = response();
    feedInPieces(reader, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 7);
    CHECK(reader.done());
    LONGS_EQUAL(204, reader.status());
}

TEST(HttpReader, responseWithoutLengthEndsAtEof)
{
    HttpReader reader = response();
    feedInPieces(reader, "HTTP/1.1 200 OK\r\n\r\npart", 5);
    CHECK_FALSE(reader.done());
    CHECK(reader.endsAtEof());
    reader.feedEof();
    CHECK(reader.done());
    CHECK_FALSE(reader.keepAlive());
}

// Guards against bytes of a server in trouble being taken for an answer.
TEST(HttpReader, statusOutsideOfTheDefinedClassesIsMalformed)
{
    for (const std::string status : {"000", "001", "099", "600", "999", "20", "2000", "-20", "2x0", "101"}) {
        HttpReader reader = response();
        reader.feed("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CHECK(reader.failed());
    }
    for (const std::string status : {"200", "299", "404", "599"}) {
        HttpReader reader = response();
        reader.feed("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
        CHECK(reader.done());
    }
}

// Guards against a body in a transfer coding that nobody decodes being passed on as it is.
TEST(HttpReader, transferCodingsOtherThanChunkedAreMalformed)
{
    for (const std::string coding : {"gzip", "chunked, gzip", "gzip, chunked", "identity", "chunked;q=1", "", "chunked\r\nTransfer-Encoding: chunked"}) {
        HttpReader answer = response();
        answer.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n2\r\nab\r\n0\r\n\r\n");
        answer.feedEof();
        CHECK(answer.failed());
        HttpReader call = request();
        call.feed("POST / HTTP/1.1\r\nTransfer-Encoding: " + coding + "\r\n\r\n2\r\nab\r\n0\r\n\r\n");
        CHECK(call.failed());
    }
    HttpReader reader = response();
    reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n2\r\nab\r\n0\r\n\r\n");
    CHECK(reader.done());
}

// Guards against a head whose odd lines are passed on, or hide how the body is delimited.
TEST(HttpReader, fieldLinesThatAreNoneAreMalformed)
{
    using namespace std::string_literals;
    for (const std::string &line :
         {"Odd Name: x"s, " Odd: x"s, "Odd\tName: x"s, "Odd\x01Name: x"s, "Odd\x7fName: x"s, "Odd\0Name: x"s, "Odd\xc3Name: x"s, "Odd\rName: x"s, ": x"s,
          "Odd"s, "Odd : x"s, "Odd: a\x01z"s, "Odd: a\0z"s, "Odd: a\rz"s, "Content-Length : 2"s, "Content Length: 2"s}) {
        for (const std::string &before : {""s, "X-Response-Seal: s\r\n"s}) {
            const std::string bytes = "HTTP/1.1 200 OK\r\n" + before + line + "\r\nContent-Length: 2\r\n\r\nab";
            for (const size_t size : {size_t{1}, size_t{7}, bytes.size()}) {
                HttpReader reader = response();
                feedInPieces(reader, bytes, size);
                reader.feedEof();
                CHECK(reader.failed());
            }
        }
    }
}

TEST(HttpReader, eofFailsIncompleteResponse)
{
    for (const char *bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 200 O"}) {
        HttpReader reader = response();
        feedInPieces(reader, bytes, 64);
        reader.feedEof();
        CHECK(reader.failed());
        CHECK_FALSE(reader.done());
    }
}

TEST(HttpReader, rejectsInvalidRequestFraming)
{
    for (const char *bytes : {"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
                              "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                              "POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nabcd", "GET /\r\n\r\n", "\x16\x03\x01garbage\r\n\r\n"}) {
        HttpReader reader = request();
        feedInPieces(reader, bytes, 64);
        CHECK_TEXT(reader.failed(), bytes);
    }
}

TEST(HttpReader, enforcesHeadAndBodyLimits)
{
    HttpReader longHead = request();
    feedInPieces(longHead, "GET / HTTP/1.1\r\nA: " + std::string(5'000, 'x') + "\r\n\r\n", 512);
    CHECK(longHead.state() == ReadState::HeadTooLarge);
    HttpReader longBody = request();
    feedInPieces(longBody, "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 512);
    CHECK(longBody.state() == ReadState::BodyTooLarge);
    HttpReader longChunks = request();
    feedInPieces(longChunks, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1'001, 'x') + "\r\n0\r\n\r\n", 512);
    CHECK(longChunks.failed());
}

TEST(HttpReader, mutatedMessagesEndInDoneOrFailed)
{
    std::mt19937_64 random(9);
    const std::string valid = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes = valid;
        for (uint64_t k = 0; k <= random() % 5; ++k) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        HttpReader reader = request();
        feedInPieces(reader, bytes, 1 + random() % 20);
        reader.feedEof();
        CHECK(reader.done() || reader.failed());
    }
}

TEST_GROUP(Endpoint){};

TEST(Endpoint, parsesAddressesWithPorts)
{
    LONGS_EQUAL(80, parseEndpoint("10.0.0.1:80")->port());
    for (const char *bad : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:99999", "host:80", "10.0.0.1:8x"}) {
        CHECK_FALSE(parseEndpoint(bad).has_value());
    }
}

TEST(Endpoint, decodesQueryValues)
{
    STRCMP_EQUAL("a b", queryValue("/p?zone=z&name=a%20b", "name").c_str());
    STRCMP_EQUAL("z", queryValue("/p?zone=z&name=a%20b", "zone").c_str());
    STRCMP_EQUAL("", queryValue("/p", "zone").c_str());
    STRCMP_EQUAL("%", queryValue("/p?zone=%", "zone").c_str());
}

TEST_GROUP(HttpCaller)
{
    asio::io_context reactor;

    /// Serves two calls on one connection. The reply to the first comes once more in place of that to the second, which follows if @p answersSecond.
    asio::awaitable<void> serveWithLateCopy(ConnectionPtr connection, bool answersSecond)
    {
        std::string copy;
        for (int call = 0; call < 2; ++call) {
            HttpReader reader(HttpReader::MessageType::Request, 4'096, 1'000);
            while (!reader.done() && connection->open()) {
                connection->consume(reader.feed(connection->receiveBuffer()));
                if (!reader.done()) {
                    co_await connection->waitForBytes(connection->receiveBuffer().size(), daisymount::framework::monotonicNow() + milliseconds{1'000});
                }
            }
            const std::string body = std::to_string(call);
            const std::string reply
                = "HTTP/1.1 200 OK\r\nX-Call: " + std::string(findField(reader.fields(), "X-Call")) + "\r\nContent-Length: 1\r\n\r\n" + body;
            const std::string bytes = call == 0 ? reply : copy + (answersSecond ? reply : "");
            copy = reply;
            co_await connection->write(bytes, milliseconds{1'000});
        }
        co_await sleepFor(milliseconds{500});
    }

    /// Returns the replies to two calls.
    std::vector<HttpReply> callTwice(bool answersSecond)
    {
        const AcceptorPtr acceptor = listenAt(reactor.get_executor(), {asio::ip::address_v4::loopback(), 0}, [&](ConnectionPtr connection) {
            asio::co_spawn(reactor, serveWithLateCopy(std::move(connection), answersSecond), asio::detached);
        });
        const std::string address = "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
        daisymount::transport::HttpCaller caller(reactor.get_executor(), "X-Call");
        std::vector<HttpReply> replies;
        asio::co_spawn(
            reactor,
            [](daisymount::transport::HttpCaller *client, std::string to, std::vector<HttpReply> *into) -> asio::awaitable<void> {
                for (int i = 0; i < 2; ++i) {
                    HttpReply reply = co_await client->call(to, "GET", "/", "", milliseconds{300});
                    into->push_back(std::move(reply));
                }
            }(&caller, address, &replies),
            asio::detached);
        reactor.run_for(std::chrono::milliseconds{900});
        acceptor->close();
        reactor.run_for(std::chrono::milliseconds{300});
        return replies;
    }
};

// Guards against a late copy of an earlier reply that is taken for the answer to an order to a rank.
TEST(HttpCaller, lateCopyOfAnEarlierReplyIsNotTakenForTheReplyToACall)
{
    const std::vector<HttpReply> replies = callTwice(false);
    LONGS_EQUAL(2, replies.size());
    LONGS_EQUAL(200, replies[0].status);
    LONGS_EQUAL(0, replies[1].status);
}

TEST(HttpCaller, replyAfterALateCopyIsDelivered)
{
    const std::vector<HttpReply> replies = callTwice(true);
    LONGS_EQUAL(2, replies.size());
    LONGS_EQUAL(200, replies[1].status);
    STRCMP_EQUAL("1", replies[1].body.c_str());
}

// Guards against a reply that is none being taken for the answer of the store, a rank or a peer.
TEST(HttpCaller, replyWithAMalformedHeadCountsAsNone)
{
    for (const std::string start : {"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/1.1 200 OK\r\nOdd Name: x\r\n",
                                    "HTTP/1.1 200 OK\r\nOdd\x01: x\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"}) {
        const AcceptorPtr acceptor = listenAt(reactor.get_executor(), {asio::ip::address_v4::loopback(), 0}, [&](ConnectionPtr connection) {
            asio::co_spawn(
                reactor,
                [](ConnectionPtr to, std::string bytes) -> asio::awaitable<void> {
                    co_await to->write(bytes, milliseconds{500});
                    co_await to->closeGracefully(milliseconds{100});
                }(std::move(connection), start + "Content-Length: 2\r\n\r\n{}"),
                asio::detached);
        });
        const std::string address = "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
        daisymount::transport::HttpCaller caller(reactor.get_executor());
        HttpReply reply{1, {}, "", 0};
        asio::co_spawn(
            reactor, [&]() -> asio::awaitable<void> { reply = co_await caller.call(address, "GET", "/", "", milliseconds{300}); }, asio::detached);
        reactor.restart();
        reactor.run_for(std::chrono::milliseconds{200});
        acceptor->close();
        reactor.run_for(std::chrono::milliseconds{200});
        LONGS_EQUAL(0, reply.status);
        CHECK(reply.body.empty());
    }
}

namespace
{
/// Reads from a peer that sends a part without length and resets while it is being written to, and returns how reading ended.
ReadEnd endAfterReset(bool reset)
{
    asio::io_context reactor;
    asio::ip::tcp::acceptor acceptor(reactor, {asio::ip::address_v4::loopback(), 0});
    const std::string upload(8U << 20U, 'x');
    ReadEnd end = ReadEnd::Open;
    const auto serve = [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        co_await sleepFor(milliseconds{50});
        asio::write(socket, asio::buffer(std::string_view("part")));
        if (reset) {
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
            co_return;
        }
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        co_await sleepFor(milliseconds{100});
    };
    const auto write
        = [](ConnectionPtr connection, std::string_view bytes) -> asio::awaitable<void> { co_await connection->write(bytes, milliseconds{1'000}); };
    const auto call = [&]() -> asio::awaitable<void> {
        const ConnectionPtr connection = co_await connectTo(reactor.get_executor(), acceptor.local_endpoint(), milliseconds{1'000});
        asio::co_spawn(reactor, write(connection, upload), asio::detached);
        while (connection->readEnd() == ReadEnd::Open) {
            co_await connection->waitForBytes(connection->receiveBuffer().size(), daisymount::framework::monotonicNow() + milliseconds{500});
        }
        STRCMP_EQUAL("part", std::string(connection->receiveBuffer()).c_str());
        end = connection->readEnd();
        reactor.stop();
    };
    asio::co_spawn(reactor, serve(), asio::detached);
    asio::co_spawn(reactor, call(), asio::detached);
    reactor.run_for(std::chrono::seconds{3});
    return end;
}
} // namespace

TEST_GROUP(Connection){};

// Guards against a part of a body being taken for the whole: the system reports a reset once, here to the write, and the next read looks like an end.
TEST(Connection, resetThatIsReportedToAWriteIsNoProperEnd)
{
    for (int i = 0; i < 20; ++i) {
        CHECK(endAfterReset(true) == ReadEnd::Broken);
    }
    CHECK(endAfterReset(false) == ReadEnd::Finished);
}

namespace
{
/// Keeps @p reactor busy: each turn of the loop takes @p turn.
void keepBusy(asio::io_context &reactor, std::chrono::milliseconds turn)
{
    asio::post(reactor, [&reactor, turn] {
        std::this_thread::sleep_for(turn);
        keepBusy(reactor, turn);
    });
}
} // namespace

/// Guards against large replies that a busy process does not read in time although they have arrived.
TEST(HttpCaller, aLargeReplyIsReceivedInFewTurnsOfABusyLoop)
{
    asio::io_context server;
    asio::io_context client;
    const std::string body(600'000, 'x');
    asio::ip::tcp::acceptor probe(server, {asio::ip::address_v4::loopback(), 0});
    const asio::ip::tcp::endpoint endpoint = probe.local_endpoint();
    probe.close();
    listenAndServe(server.get_executor(), endpoint, [&](const ServerRequest &) { return ServerResponse{200, "text/plain", body}; });
    std::thread serving([&] { server.run(); });
    daisymount::transport::HttpCaller caller(client.get_executor());
    HttpReply reply;
    asio::co_spawn(
        client,
        [&]() -> asio::awaitable<void> {
            const std::string address = "127.0.0.1:" + std::to_string(endpoint.port());
            reply = co_await caller.call(address, "GET", "/", "", std::chrono::milliseconds{1'000}, {}, 1U << 20U);
            client.stop();
        },
        asio::detached);
    keepBusy(client, std::chrono::milliseconds{20});
    client.run_for(std::chrono::seconds{5});
    server.stop();
    serving.join();
    LONGS_EQUAL(200, reply.status);
    LONGS_EQUAL(body.size(), reply.body.size());
}
