// Many clients read their answers slowly. The gateway holds the answers for them, and the platform ends it when it exceeds its memory.

#include "site.h"

using namespace review;

namespace
{
/// limits.memory_mb of the settings.
constexpr int64_t MEMORY_LIMIT_MB = 260;
constexpr size_t ANSWER_BYTES = 1'000'000;
constexpr int READERS = 240;
constexpr int ARRIVAL_SPREAD_MS = 3'000;
/// Of a slow client: 4 KiB every 100 ms.
constexpr size_t SLOW_READ_BYTES = 4'096;
constexpr int SLOW_READ_INTERVAL_MS = 100;
/// Clients that send one unsafe request after the other and read each answer at once.
constexpr int WRITERS = 20;
constexpr int WORK_MS = 100;
constexpr int DURATION_MS = 28'000;
constexpr int DEADLINE_MS = 30'000;
/// RULES.md, LOST: "more than three times".
constexpr int PERMITTED = 3;
constexpr int RUNNERS = 3;

struct Reader
{
    std::string requestId;
    std::atomic<size_t> bytes = 0;
    std::atomic<bool> sent = false;
    std::atomic<bool> complete = false;
    std::atomic<bool> cut = false; ///< The connection ended before the answer did.
};

/// An unsafe request that got no byte of an answer before its connection ended.
struct Unanswered
{
    std::string requestId;
    int answeredBefore = 0; ///< On the same connection.
};

std::mutex mutex;
std::map<std::string, std::string> runAt; ///< Runner by request.

int64_t residentMb(pid_t id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/statm");
    int64_t size = 0;
    int64_t resident = 0;
    file >> size >> resident;
    return resident * ::sysconf(_SC_PAGESIZE) / (1 << 20);
}
} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const bool trouble = withTrouble();
    TemporaryFolder folder;
    const std::string ip = freeIp();
    Store store(ip, 8223);
    store.put(
        "op/config",
        R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/a/","kind":"safe","service":"s","timeout_ms":30000,)"
        R"("target_latency_ms":300,"priority":2,"max_attempts":1},{"name":"w","host":"h.example","prefix":"/w/","kind":"unsafe","service":"s",)"
        R"("timeout_ms":3000,"target_latency_ms":300,"priority":2,"max_attempts":1}],"services":[{"name":"s","health_path":"/healthz","max_connections":408}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000}})");
    const std::string body(ANSWER_BYTES, 'x');
    std::vector<std::string> runners;
    for (int i = 0; i < RUNNERS; ++i) {
        const std::string runnerIp = freeIp();
        const std::string id = "i-" + std::to_string(i) + "a9c2e4";
        serve(runnerIp, 8725, [&body, id](Stream stream) {
            while (const std::optional<Message> request = stream.readMessage(after(60'000))) {
                const std::string requestId = request->field("X-Request-Id");
                if (request->field("X-Expect-Instance") != id) {
                    stream.write(answer(421, "", "X-Not-Executed: 1\r\nX-Request-Id: " + requestId + "\r\n"));
                    continue;
                }
                {
                    const std::lock_guard lock(mutex);
                    runAt[requestId] = id;
                }
                sleepMs(WORK_MS);
                const std::string &out = request->target() == "/a/large" ? body : std::string(800, 'y');
                if (!stream.write(answer(200, out, "X-Request-Id: " + requestId + "\r\nX-Response-Seal: seal-" + id + "\r\nX-Instance-Id: " + id + "\r\n"))) {
                    return;
                }
            }
        });
        keepRegistered(store, id, "s", runnerIp + ":8725");
    }
    Gateway gateway("front-a-1", ip, ip + ":8223", folder.path());
    gateway.start();
    gateway.awaitReady();
    record.line("gateway ready with " + std::to_string(residentMb(gateway.id())) + " MB; " + std::to_string(READERS) + " clients come within "
                + std::to_string(ARRIVAL_SPREAD_MS) + " ms and read " + (trouble ? "slowly" : "at once"));

    sleepMs(3'500); // The machine is in touch.

    const auto request = [](const std::string &path, const std::string &id) {
        return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(DEADLINE_MS) + "\r\n\r\n";
    };
    std::vector<Reader> readers(READERS);
    std::atomic<bool> exceeded = false;
    const Clock::time_point begin = Clock::now();
    const Clock::time_point end = begin + milliseconds{DURATION_MS};
    const auto read = [&](Reader &reader, int64_t startMs) {
        sleepMs(startMs);
        if (exceeded) {
            return;
        }
        Stream stream = connectTo(ip, 8227, [&](int socket) {
            if (trouble) {
                const int segment = 1'448;
                const int buffer = 4 * 1024;
                ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
                ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
            }
        });
        // The first request makes it a kept connection.
        stream.write(request("/a/small", reader.requestId + "f"));
        if (!stream.readMessage(after(5'000)) || exceeded) {
            return;
        }
        reader.sent = stream.write(request("/a/large", reader.requestId));
        const std::optional<Message> head = stream.readHead(end);
        reader.bytes = stream.buffer().size();
        while (head && head->status() == 200 && reader.bytes < ANSWER_BYTES) {
            stream.buffer().clear();
            if (!stream.read(end, trouble ? SLOW_READ_BYTES : 65'536)) {
                break;
            }
            reader.bytes += stream.buffer().size();
            if (trouble) {
                sleepMs(SLOW_READ_INTERVAL_MS);
            }
        }
        // The answer comes in chunks, whose framing is counted too.
        reader.complete = head && (head->status() != 200 || reader.bytes >= ANSWER_BYTES);
        reader.cut = !reader.complete && Clock::now() < end;
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < READERS; ++i) {
        char id[32];
        std::snprintf(id, sizeof(id), "5c41d07be2a3%04x", i);
        Reader &reader = readers[static_cast<size_t>(i)];
        reader.requestId = id;
        threads.emplace_back([&read, &reader, i] { read(reader, ARRIVAL_SPREAD_MS * i / READERS); });
    }
    std::vector<Unanswered> unanswered;
    std::atomic<int> written = 0;
    std::atomic<bool> finished = false;
    const auto writeAll = [&](int number) {
        Stream stream = connectTo(ip, 8227);
        for (int i = 0; !finished && Clock::now() < end; ++i) {
            char id[32];
            std::snprintf(id, sizeof(id), "7c41d07b%02x%06x", number, i);
            stream.write("POST /w/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + std::string(id)
                         + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n{}");
            if (!stream.readMessage(after(5'000))) {
                const std::lock_guard lock(mutex);
                if (stream.buffer().empty() && runAt.count(id) > 0) {
                    unanswered.push_back({id, i});
                }
                return;
            }
            ++written;
        }
    };
    for (int i = 0; i < WRITERS; ++i) {
        threads.emplace_back([&writeAll, i] { writeAll(i); });
    }
    int64_t most = 0;
    while (!exceeded && Clock::now() < end
           && std::any_of(readers.begin(), readers.end(), [](const Reader &reader) { return !reader.complete && !reader.cut; })) {
        sleepMs(20);
        const int64_t resident = residentMb(gateway.id());
        most = std::max(most, resident);
        if (resident > MEMORY_LIMIT_MB) {
            exceeded = true;
            record.line("the gateway uses " + std::to_string(resident) + " MB of " + std::to_string(MEMORY_LIMIT_MB)
                        + " MB and is ended, as the platform does");
            gateway.kill();
        }
    }
    finished = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    int complete = 0;
    int cut = 0;
    for (const Reader &reader : readers) {
        complete += reader.complete ? 1 : 0;
        cut += reader.sent && reader.cut ? 1 : 0;
    }
    int lost = 0;
    for (const Unanswered &request : unanswered) {
        const std::lock_guard lock(mutex);
        lost += request.answeredBefore > 0 ? 1 : 0;
        record.line(request.requestId + ": run by " + runAt[request.requestId] + "; its connection, kept since " + std::to_string(request.answeredBefore)
                    + " answers, was closed without an answer");
    }
    record.line("most memory seen " + std::to_string(most) + " MB; large answers: " + std::to_string(complete) + " complete, " + std::to_string(cut)
                + " cut; unsafe requests: " + std::to_string(written) + " answered, " + std::to_string(lost) + " run and closed without an answer");
    const bool ended = !exceeded && !gateway.ended().empty();
    finish(gateway, folder, ended ? CANNOT_RUN : lost > PERMITTED ? BROKEN : 0);
}
