// Runners crash and come back at their addresses under new ids; later another one leaves as planned.

#include "smallsite.h"

namespace
{
using namespace review;

constexpr int RUNNERS = 4;
constexpr int CRASHES = 4;
constexpr double DOWN_S = 1;
/// The registration of a runner is removed after three heartbeats of silence.
constexpr double SILENCE_S = 3.6;
constexpr double DRAIN_S = 2;
/// A runner that leaves may serve on for many seconds.
constexpr double SERVES_ON_S = 8;

/// Runner of the plain service with an address of its own.
class RestartingRunner
{
public:
    RestartingRunner(World &world, std::string ip) : world_(world), ip_(std::move(ip))
    {
        start();
    }

    /// All connections are reset and the port refuses others, until the runner is back.
    void crash()
    {
        world_.record.line("runner " + id_ + " at " + address() + " crashes");
        const std::string old = id_;
        {
            const std::lock_guard lock(mutex_);
            down_ = true;
            ::shutdown(listener_, SHUT_RDWR);
            ::close(listener_);
            for (const int descriptor : connections_) {
                const linger reset{1, 0};
                ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                ::shutdown(descriptor, SHUT_RDWR);
            }
        }
        sleepMs(DOWN_S * 1000);
        start();
        sleepMs((SILENCE_S - DOWN_S) * 1000);
        world_.store->remove("servers/" + old);
        world_.record.line("the registration of " + old + " is removed after three heartbeats of silence");
    }

    void leave()
    {
        world_.store->put("servers/" + id_, registration("draining"));
        leavingSince_ = seconds();
        world_.record.line("the store has accepted that " + id_ + " is draining");
    }

    /// Requests that it ran later than allowed after it had begun to leave.
    int lateRequests() const
    {
        return late_;
    }

private:
    std::string address() const
    {
        return ip_ + ":" + std::to_string(port_);
    }

    std::string registration(const std::string &state) const
    {
        return R"({"service":"logbook","address":")" + address() + R"(","zone":"a","version":"v1","slots":6,"state":")" + state
            + R"(","cold_remaining_ms":0,"sequence":0,"born":)" + std::to_string(bornMs_) + "}";
    }

    void start()
    {
        static std::mt19937 random(std::random_device{}());
        char id[16];
        std::snprintf(id, sizeof(id), "i-%08x", static_cast<unsigned>(random()));
        id_ = id;
        bornMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in where = endpointOf(ip_, port_);
        socklen_t size = sizeof(where);
        while (::bind(descriptor, reinterpret_cast<sockaddr *>(&where), size) != 0) {
            sleepMs(20);
        }
        ::listen(descriptor, 256);
        ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&where), &size);
        port_ = ntohs(where.sin_port);
        {
            const std::lock_guard lock(mutex_);
            listener_ = descriptor;
            down_ = false;
        }
        world_.store->put("servers/" + id_, registration("ready"));
        world_.record.line("runner " + id_ + " starts at " + address());
        std::thread([this, descriptor] {
            while (true) {
                const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([this, accepted] { serve(accepted); }).detach();
            }
        }).detach();
    }

    void serve(int descriptor)
    {
        const std::string id = id_;
        {
            const std::lock_guard lock(mutex_);
            connections_.insert(descriptor);
        }
        {
            Socket socket(::dup(descriptor));
            Message request;
            while (socket.read(request, 60'000) == ReadResult::Complete && !down_) {
                const std::string requestId = "X-Request-Id: " + request.field("X-Request-Id") + "\r\n";
                if (request.field("X-Expect-Instance") != id && !request.field("X-Expect-Instance").empty()) {
                    socket.write(response(421, "", requestId + "X-Instance-Id: " + id + "\r\n"));
                    continue;
                }
                world_.arrivals.add(request.field("X-Request-Id"), id);
                if (leavingSince_ > 0 && seconds() > leavingSince_ + DRAIN_S) {
                    ++late_;
                    world_.record.line(request.field("X-Request-Id") + " reaches " + id + " " + std::to_string(seconds() - leavingSince_)
                                       + " s after that (DRAIN)");
                }
                sleepMs(100);
                if (down_) {
                    break;
                }
                socket.write(response(200, "done", answerFields(request, id)));
            }
        }
        const std::lock_guard lock(mutex_);
        connections_.erase(descriptor);
        ::close(descriptor);
    }

    World &world_;
    std::string ip_;
    std::string id_;
    int64_t bornMs_ = 0;
    int port_ = 0;
    std::mutex mutex_;
    int listener_ = -1;
    std::set<int> connections_;
    std::atomic<bool> down_{false};
    std::atomic<double> leavingSince_{0};
    std::atomic<int> late_{0};
};
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: restarts RECORD TROUBLE\n";
        return 2;
    }
    Record record(argv[1]);
    World world(record);
    if (!startSite(world, false)) {
        return 2;
    }
    // The runners' threads live until the process exits.
    std::vector<RestartingRunner *> runners;
    for (int i = 0; i < RUNNERS; ++i) {
        runners.push_back(new RestartingRunner(world, world.site.network + std::to_string(50 + i)));
    }
    sleepMs(2000);
    startTraffic(world);
    sleepMs(6000);
    for (int i = 0; i < CRASHES && std::string_view(argv[2]) != "0"; ++i) {
        runners[static_cast<size_t>(i % (RUNNERS - 1))]->crash();
        sleepMs(2000);
    }
    sleepMs(5000);
    runners.back()->leave();
    sleepMs(SERVES_ON_S * 1000);
    endSite(world);
    record.line(std::to_string(runners.back()->lateRequests()) + " requests reached the leaving runner too late");
    finish(world, "DRAIN", runners.back()->lateRequests() > 0);
}
