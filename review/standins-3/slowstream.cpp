// Clients read event streams slowly, but without a pause, around a SIGHUP of the gateway.

#include "site.h"

using namespace review;

namespace
{
/// The largest stream of the small sites: 69 events of 390 bytes.
constexpr int EVENTS = 69;
constexpr size_t EVENT_BYTES = 390;
constexpr int EVENT_INTERVAL_MS = 40;
constexpr int CLIENTS = 8;
constexpr int DEADLINE_MS = 8'000;
/// Of a slow client: 1 KiB every 180 ms.
constexpr size_t SLOW_READ_BYTES = 1'024;
constexpr int SLOW_READ_INTERVAL_MS = 180;
/// bounds.config_apply_ms: requests sent up to this time after the SIGHUP count.
constexpr int CONFIG_APPLY_MS = 2'000;

std::string eventOf(int number)
{
    std::string event = "id: " + std::to_string(number) + "\ndata: ";
    event.resize(EVENT_BYTES - 2, static_cast<char>('a' + number % 26));
    return event + "\n\n";
}

struct Seen
{
    std::string requestId;
    int events = 0;
    bool complete = false;
    bool reset = false;
    int64_t ms = 0;
    int64_t longestPauseMs = 0;
};

std::mutex mutex;
std::map<std::string, int> runs;
std::map<std::string, bool> finished; ///< The runner has sent the whole stream.
} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const bool trouble = withTrouble();
    TemporaryFolder folder;
    const std::string ip = freeIp();
    Store store(ip, 8223);
    store.put("op/config",
              R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/a/","kind":"stream","service":"s","timeout_ms":8000,)"
              R"("target_latency_ms":400,"gap_aim_ms":120,"priority":1,"max_attempts":2}],"services":[{"name":"s","health_path":"/healthz",)"
              R"("max_connections":408}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000}})");
    for (int i = 0; i < 2; ++i) {
        const std::string runnerIp = freeIp();
        const std::string id = "i-" + std::to_string(i) + "a9c2e4";
        serve(runnerIp, 8725, [&record, id](Stream stream) {
            while (const std::optional<Message> request = stream.readMessage(after(60'000))) {
                const std::string requestId = request->field("X-Request-Id");
                if (request->field("X-Expect-Instance") != id) {
                    stream.write(answer(421, "", "X-Not-Executed: 1\r\nX-Request-Id: " + requestId + "\r\n"));
                    continue;
                }
                {
                    const std::lock_guard lock(mutex);
                    ++runs[requestId];
                }
                bool sent = stream.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: " + requestId
                                         + "\r\nX-Response-Seal: seal-" + id + "\r\nX-Instance-Id: " + id + "\r\n\r\n");
                for (int number = 1; sent && number <= EVENTS; ++number) {
                    sleepMs(EVENT_INTERVAL_MS);
                    char size[16];
                    std::snprintf(size, sizeof(size), "%zx\r\n", EVENT_BYTES);
                    sent = stream.write(size + eventOf(number) + "\r\n");
                }
                sent = sent && stream.write("0\r\n\r\n");
                record.line("runner " + id + (sent ? " has sent the whole stream " : " was cut off in the stream ") + requestId);
                const std::lock_guard lock(mutex);
                finished[requestId] = sent;
            }
        });
        keepRegistered(store, id, "s", runnerIp + ":8725");
    }
    Gateway gateway("front-a-1", ip, ip + ":8223", folder.path());
    gateway.start();
    gateway.awaitReady();
    sleepMs(3'500); // The machine is in touch.
    record.line(std::string("SIGHUP to the gateway; ") + std::to_string(CLIENTS) + " clients come and read " + (trouble ? "slowly" : "at once"));
    gateway.signal(SIGHUP);
    sleepMs(CONFIG_APPLY_MS / 4);

    std::vector<Seen> seen(CLIENTS);
    std::vector<std::thread> threads;
    for (int i = 0; i < CLIENTS; ++i) {
        threads.emplace_back([&, i] {
            Seen &own = seen[static_cast<size_t>(i)];
            own.requestId = "9c41d07be2a35f6" + std::to_string(i);
            Stream client = connectTo(ip, 8227, [&](int socket) {
                if (trouble) {
                    const int segment = 1'448;
                    const int buffer = 2 * 1024;
                    ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
                    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
                }
            });
            const Clock::time_point begin = Clock::now();
            const Clock::time_point end = begin + milliseconds{DEADLINE_MS};
            const auto sinceMs = [](Clock::time_point from) { return std::chrono::duration_cast<milliseconds>(Clock::now() - from).count(); };
            client.write("POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + own.requestId + "\r\nX-Deadline-Ms: " + std::to_string(DEADLINE_MS)
                         + "\r\nContent-Length: 2\r\n\r\n{}");
            std::string bytes;
            Clock::time_point last = begin;
            while (!own.complete && client.read(end, trouble ? SLOW_READ_BYTES : 65'536)) {
                own.longestPauseMs = std::max<int64_t>(own.longestPauseMs, sinceMs(last));
                last = Clock::now();
                bytes += std::exchange(client.buffer(), {});
                own.complete = bytes.size() >= 5 && bytes.compare(bytes.size() - 5, 5, "0\r\n\r\n") == 0;
                if (trouble && !own.complete) {
                    sleepMs(SLOW_READ_INTERVAL_MS);
                }
            }
            own.ms = sinceMs(begin);
            own.reset = client.wasReset();
            for (int number = 1; number <= EVENTS && bytes.find(eventOf(number)) != std::string::npos; ++number) {
                own.events = number;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    int lost = 0;
    int complete = 0;
    for (const Seen &own : seen) {
        const std::lock_guard lock(mutex);
        const bool cut = !own.complete && runs[own.requestId] > 0 && own.ms < DEADLINE_MS;
        lost += cut ? 1 : 0;
        complete += own.complete && own.events == EVENTS ? 1 : 0;
        record.line(own.requestId + ": " + std::to_string(own.events) + " of " + std::to_string(EVENTS) + " events, "
                    + (own.complete    ? "complete"
                           : own.reset ? "connection reset"
                                       : "connection ended")
                    + " after " + std::to_string(own.ms) + " ms; longest time without bytes " + std::to_string(own.longestPauseMs) + " ms; runs "
                    + std::to_string(runs[own.requestId]) + (finished[own.requestId] ? ", the runner had sent all of it" : ""));
    }
    record.line(std::to_string(lost) + " connections ended without a complete answer, " + std::to_string(complete) + " answers were complete, of "
                + std::to_string(CLIENTS));
    const std::string ended = gateway.ended();
    if (!ended.empty() || (lost == 0 && complete < CLIENTS)) {
        record.line("no verdict" + (ended.empty() ? std::string() : ": the gateway ended with " + ended));
        finish(gateway, folder, CANNOT_RUN);
    }
    finish(gateway, folder, lost > 0 ? BROKEN : 0);
}
