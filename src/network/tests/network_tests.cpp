// Tests of the network library over loopback sockets. Waits are bounded; verdicts do not depend on speed.

#include "network/datagramsocket.h"
#include "network/httpclient.h"
#include "network/httpserver.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

// Last, since its macros replace operator new in what follows.
#include <CppUTest/TestHarness.h>

using namespace daisymount;
using framework::milliseconds;
using framework::ResultCode;
using network::CallResult;
using network::ExchangeId;

namespace
{
constexpr int WAIT_MS = 5000;

/// A caller with a plain socket, so that a test decides when it hangs up.
class RawCaller
{
public:
    explicit RawCaller(uint16_t port) : descriptor_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        CHECK(connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    }

    ~RawCaller()
    {
        hangUp();
    }

    void request(const std::string &path) const
    {
        const std::string text = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        CHECK(::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    }

    void hangUp()
    {
        if (descriptor_ >= 0) {
            close(descriptor_);
            descriptor_ = -1;
        }
    }

    /// Reads until @p marker has come, the connection ends, or the time is up.
    std::string readUntil(const std::string &marker, int waitMs = WAIT_MS) const
    {
        std::string text;
        pollfd waiting{descriptor_, POLLIN, 0};
        while (text.find(marker) == std::string::npos && poll(&waiting, 1, waitMs) > 0) {
            char buffer[4096];
            const ssize_t got = recv(descriptor_, buffer, sizeof(buffer), 0);
            if (got <= 0) {
                break;
            }
            text.append(buffer, static_cast<size_t>(got));
        }
        return text;
    }

private:
    int descriptor_;
};

/// Events handed from a server's thread to the test's.
template<typename T>
class Mailbox
{
public:
    void put(T item)
    {
        const std::lock_guard lock(mutex_);
        items_.push_back(std::move(item));
        changed_.notify_all();
    }

    T take()
    {
        std::unique_lock lock(mutex_);
        CHECK(changed_.wait_for(lock, std::chrono::milliseconds{WAIT_MS}, [this] { return !items_.empty(); }));
        T item = std::move(items_.front());
        items_.pop_front();
        return item;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<T> items_;
};

using PeerPtr = std::shared_ptr<Pistache::Tcp::Peer>;

/// Answers as Pistache's examples do: keeps the peer and writes to it later from another thread.
class NaiveHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(NaiveHandler)

    NaiveHandler(Mailbox<PeerPtr> *requests, Mailbox<int> *gone) : requests_(requests), gone_(gone)
    { }

    void onRequest(const Pistache::Http::Request & /*request*/, Pistache::Http::ResponseWriter response) override
    {
        requests_->put(response.getPeer());
    }

    void onDisconnection(const PeerPtr & /*peer*/) override
    {
        gone_->put(1);
    }

private:
    Mailbox<PeerPtr> *requests_;
    Mailbox<int> *gone_;
};

/// Accepts one connection, reads a request, writes the given bytes and closes.
class OneAnswerServer
{
public:
    /// With @p resets, the connection is reset after the answer, instead of closed.
    OneAnswerServer(uint16_t port, std::string answer, bool resets = false)
        : answer_(std::move(answer)), resets_(resets), descriptor_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int enabled = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        CHECK(bind(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
        CHECK(listen(descriptor_, 1) == 0);
        thread_ = std::thread([this] { serve(); });
    }

    ~OneAnswerServer()
    {
        thread_.join();
        close(descriptor_);
    }

private:
    void serve() const
    {
        const int connection = accept(descriptor_, nullptr, nullptr);
        char buffer[4096];
        if (recv(connection, buffer, sizeof(buffer), 0) > 0) {
            ::send(connection, answer_.data(), answer_.size(), MSG_NOSIGNAL);
        }
        const linger reset{resets_ ? 1 : 0, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close(connection);
    }

    std::string answer_;
    bool resets_;
    int descriptor_;
    std::thread thread_;
};

/// Refuses the first request, and writes that refusal once more before the answer to each further request on the same connection.
class RepeatedRefusalServer
{
public:
    RepeatedRefusalServer(uint16_t port, int requests) : requests_(requests), descriptor_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int enabled = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        CHECK(bind(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
        CHECK(listen(descriptor_, 1) == 0);
        thread_ = std::thread([this] { serve(); });
    }

    ~RepeatedRefusalServer()
    {
        stopping_ = true;
        shutdown(descriptor_, SHUT_RDWR);
        shutdown(connection_, SHUT_RDWR);
        thread_.join();
        close(descriptor_);
    }

private:
    void serve()
    {
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nrefused";
        const std::string ran = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran";
        int received = 0;
        while (received < requests_ && !stopping_) {
            const int connection = accept(descriptor_, nullptr, nullptr);
            connection_ = connection;
            char buffer[4096];
            for (bool kept = false; received < requests_ && recv(connection, buffer, sizeof(buffer), 0) > 0; kept = true) {
                const std::string answer = received == 0 ? refusal : kept ? refusal + ran : ran;
                ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
                ++received;
            }
            close(connection);
        }
    }

    int requests_;
    int descriptor_;
    std::atomic<int> connection_{-1}; ///< The connection that is being served.
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

constexpr const char *LATE_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nFIRST";
} // namespace

TEST_GROUP(CrossedAnswers){};

TEST(CrossedAnswers, theNaiveWayWritesTheFirstCallersAnswerToTheSecond)
{
    Mailbox<PeerPtr> requests;
    Mailbox<int> gone;
    Pistache::Http::Endpoint endpoint(Pistache::Address("127.0.0.1:18091"));
    endpoint.init(Pistache::Http::Endpoint::options().threads(1).flags(Pistache::Tcp::Options::ReuseAddr));
    endpoint.setHandler(std::make_shared<NaiveHandler>(&requests, &gone));
    endpoint.serveThreaded();
    RawCaller first(18091);
    first.request("/first");
    const PeerPtr peer = requests.take();
    first.hangUp();
    gone.take();
    // The descriptor is closed after the handler has been told; only then can its number be given again.
    for (int wait = 0; wait < WAIT_MS && fcntl(peer->fd(), F_GETFD) != -1; ++wait) {
        usleep(1000);
    }
    RawCaller second(18091);
    second.request("/second");
    const PeerPtr reused = requests.take();
    const std::string late = LATE_ANSWER;
    peer->send(Pistache::RawBuffer(late, late.size()));
    const std::string got = second.readUntil("FIRST");
    endpoint.shutdown();
    LONGS_EQUAL(peer->fd(), reused->fd());
    STRCMP_CONTAINS("FIRST", got.c_str());
}

TEST(CrossedAnswers, thisServerNeverDoes)
{
    Mailbox<ExchangeId> requests;
    Mailbox<ExchangeId> gone;
    network::HttpServer server({"127.0.0.1:18092", 1000},
                               {[&](network::HttpRequest request) { requests.put(request.exchange); }, [&](ExchangeId exchange) { gone.put(exchange); }});
    const auto port = server.makePort();
    CHECK(static_cast<bool>(server.start()));
    for (int round = 0; round < 20; ++round) {
        RawCaller first(18092);
        first.request("/first");
        const ExchangeId old = requests.take();
        first.hangUp();
        CHECK(gone.take() == old);
        RawCaller second(18092);
        second.request("/second");
        const ExchangeId current = requests.take();
        CHECK(current != old);
        port->reply(old, {200, "text/plain", {}, "FIRST"});
        port->sendChunk(old, "FIRST");
        port->reply(current, {200, "text/plain", {}, "SECOND"});
        const std::string got = second.readUntil("SECOND");
        STRCMP_CONTAINS("SECOND", got.c_str());
        CHECK(got.find("FIRST") == std::string::npos);
    }
    LONGS_EQUAL(40, server.counters().droppedWrites);
    server.stop();
}

TEST(CrossedAnswers, anAnswerToAnEndedExchangeIsDroppedThoughItsConnectionLives)
{
    Mailbox<ExchangeId> requests;
    network::HttpServer server({"127.0.0.1:18093", 1000}, {[&](network::HttpRequest request) { requests.put(request.exchange); }, [](ExchangeId) {}});
    const auto port = server.makePort();
    CHECK(static_cast<bool>(server.start()));
    RawCaller caller(18093);
    caller.request("/one");
    const ExchangeId one = requests.take();
    port->reply(one, {200, "text/plain", {}, "ONE"});
    STRCMP_CONTAINS("ONE", caller.readUntil("ONE").c_str());
    caller.request("/two");
    const ExchangeId two = requests.take();
    port->reply(one, {200, "text/plain", {}, "LATE"});
    port->reply(two, {200, "text/plain", {}, "TWO"});
    const std::string got = caller.readUntil("TWO");
    CHECK(got.find("LATE") == std::string::npos);
    STRCMP_CONTAINS("TWO", got.c_str());
    server.stop();
}

TEST_GROUP(HttpClientAndServer)
{
    network::HttpServer *server = nullptr;
    std::unique_ptr<network::ReplyPort> replies;
    Mailbox<ExchangeId> requests;
    Mailbox<ExchangeId> gone;
    network::HttpClient client;
    network::DutyThread duty{"test", milliseconds{5}};
    std::shared_ptr<network::Inbox> inbox;
    std::unique_ptr<network::ClientPort> port;
    Mailbox<CallResult> results;
    std::string body;
    bool ownConnection = false;
    std::string upload; ///< Sent by POST if not empty.

    void setup() override
    {
        server = new network::HttpServer(
            {"127.0.0.1:18094", 1000},
            {[this](network::HttpRequest request) { requests.put(request.exchange); }, [this](ExchangeId exchange) { gone.put(exchange); }});
        replies = server->makePort();
        inbox = duty.makeInbox();
        port = client.makePort(duty);
        duty.start({[] {}, {}, -1});
        client.start();
        CHECK(static_cast<bool>(server->start()));
    }

    void teardown() override
    {
        duty.stop();
        client.stop();
        server->stop();
        delete server;
    }

    void call(const std::string &url, std::atomic<network::CallId> *id = nullptr)
    {
        inbox->post([this, url, id] {
            network::HttpCall request;
            request.url = url;
            request.ownConnection = ownConnection;
            request.method = upload.empty() ? request.method : "POST";
            request.body = upload;
            network::HttpCallHooks hooks;
            hooks.data = [this](int, std::string_view bytes) { body += bytes; };
            hooks.done = [this](CallResult result, int) { results.put(result); };
            const network::CallId started = port->start(std::move(request), std::move(hooks));
            if (id != nullptr) {
                *id = started;
            }
        });
    }
};

TEST(HttpClientAndServer, carriesAStream)
{
    call("http://127.0.0.1:18094/x");
    const ExchangeId exchange = requests.take();
    replies->beginStream(exchange, 200, "text/event-stream");
    replies->sendChunk(exchange, "one ");
    replies->sendChunk(exchange, "two");
    replies->endStream(exchange);
    CHECK(results.take() == CallResult::Complete);
    STRCMP_EQUAL("one two", body.c_str());
}

TEST(HttpClientAndServer, aBrokenStreamIsNotComplete)
{
    call("http://127.0.0.1:18094/x");
    const ExchangeId exchange = requests.take();
    replies->beginStream(exchange, 200, "text/event-stream");
    replies->sendChunk(exchange, "one ");
    replies->abort(exchange);
    CHECK(results.take() == CallResult::Broken);
}

TEST(HttpClientAndServer, answerThatStopsInsideItsHeadIsNotComplete)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n";
    for (const size_t length : {size_t{7}, size_t{17}, size_t{25}, size_t{39}, whole.size() - 2}) {
        const OneAnswerServer cut(18097, whole.substr(0, length));
        call("http://127.0.0.1:18097/x");
        CHECK(results.take() == CallResult::Broken);
    }
    const OneAnswerServer complete(18097, whole);
    call("http://127.0.0.1:18097/x");
    CHECK(results.take() == CallResult::Complete);
}

// Guards against bytes of an upstream in trouble being taken for its answer: libcurl accepts such heads.
TEST(HttpClientAndServer, answerWithAMalformedHeadIsNotComplete)
{
    using namespace std::string_literals;
    for (const std::string &start :
         {"HTTP/1.1 000 X"s, "HTTP/1.1 099 X"s, "HTTP/1.1 600 X"s, "HTTP/1.1 999 X"s, "HTTP/1.1 101 X"s, "HTTP/1.7 200 X"s, "HTTP/1.1 200 OK\r\nOdd Name: x"s,
          "HTTP/1.1 200 OK\r\n Odd: x"s, "HTTP/1.1 200 OK\r\nA: b\r\n Odd: x"s, "HTTP/1.1 200 OK\r\nOdd\x01Name: x"s, "HTTP/1.1 200 OK\r\nOdd\0Name: x"s,
          "HTTP/1.1 200 OK\r\nOdd\xc3: x"s, "HTTP/1.1 200 OK\r\n: x"s, "HTTP/1.1 200 OK\r\nOdd"s, "HTTP/1.1 200 OK\r\nOdd: a\x01z"s,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip"s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip"s}) {
        body.clear();
        const OneAnswerServer odd(18097, start + "\r\nContent-Length: 2\r\n\r\nab");
        call("http://127.0.0.1:18097/x");
        CHECK(results.take() == CallResult::Broken);
        STRCMP_EQUAL("", body.c_str());
    }
}

TEST(HttpClientAndServer, answerWithoutLengthThatIsResetDuringAnUploadIsNotComplete)
{
    upload.assign(8'000'000, 'x');
    for (const std::string part : {"", "part"}) {
        for (int i = 0; i < 5; ++i) {
            const OneAnswerServer faulty(18096, "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\n" + part, true);
            call("http://127.0.0.1:18096/x");
            CHECK(results.take() != CallResult::Complete);
        }
    }
}

TEST(HttpClientAndServer, repeatedRefusalIsNotTakenForTheAnswerOfACallWithItsOwnConnection)
{
    ownConnection = true;
    const RepeatedRefusalServer faulty(18098, 3);
    for (const std::string expected : {"refused", "ran", "ran"}) {
        body.clear();
        call("http://127.0.0.1:18098/x");
        CHECK(results.take() == CallResult::Complete);
        STRCMP_EQUAL(expected.c_str(), body.c_str());
    }
}

TEST(HttpClientAndServer, nothingWasSentWhereNobodyListens)
{
    call("http://127.0.0.1:18099/x");
    CHECK(results.take() == CallResult::NotConnected);
}

TEST(HttpClientAndServer, aCancelledCallIsSeenByTheServer)
{
    std::atomic<network::CallId> id{0};
    call("http://127.0.0.1:18094/x", &id);
    const ExchangeId exchange = requests.take();
    inbox->post([this, &id] { port->cancel(id); });
    CHECK(gone.take() == exchange);
}

TEST_GROUP(DatagramSocket){};

TEST(DatagramSocket, carriesDatagramsAndRefusesBadAddresses)
{
    network::DatagramSocket left;
    network::DatagramSocket right;
    CHECK(static_cast<bool>(left.bind("127.0.0.1:18095")));
    CHECK(static_cast<bool>(right.bind("127.0.0.1:18096")));
    CHECK(!network::DatagramSocket().bind("nowhere:1"));
    left.send("127.0.0.1:18096", "hello");
    pollfd waiting{right.descriptor(), POLLIN, 0};
    LONGS_EQUAL(1, poll(&waiting, 1, WAIT_MS));
    std::string got;
    right.drain([&](std::string_view data) { got = data; });
    STRCMP_EQUAL("hello", got.c_str());
}
