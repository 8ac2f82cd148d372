// A client reads an answer slowly that has neither a length nor chunks and ends with the runner's connection.

#include "site.h"

using namespace review;

namespace
{
constexpr size_t BODY_BYTES = 1U << 20U;
constexpr size_t PIECE_BYTES = 64U << 10U;
constexpr int PIECE_PAUSE_MS = 5;
constexpr int REQUESTS = 3;
/// Of the slow client, whose receive buffer is small: some 70 KiB a second, without a longer pause.
constexpr size_t SLOW_READ_BYTES = 16U << 10U;
constexpr int SLOW_READ_PAUSE_MS = 60;

std::string bodyOf()
{
    std::string body;
    for (size_t line = 0; body.size() < BODY_BYTES; ++line) {
        body += "line " + std::to_string(line) + "\n";
    }
    body.resize(BODY_BYTES);
    return body;
}
} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const bool trouble = withTrouble();
    TemporaryFolder folder;
    const std::string ip = freeIp();
    const std::string body = bodyOf();
    Store store(ip, 8223);
    store.put("op/config",
              R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/a/","kind":"safe","service":"s","timeout_ms":20000,)"
              R"("target_latency_ms":300,"priority":2,"max_attempts":2}],"services":[{"name":"s","health_path":"/healthz","max_connections":100}],)"
              R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000}})");
    // Two sound runners.
    const std::vector<std::string> runners{freeIp(), freeIp()};
    std::vector<std::string> ids;
    for (size_t i = 0; i < runners.size(); ++i) {
        ids.push_back("i-" + std::to_string(i) + "a9c2e4");
        serve(runners[i], 8725, [&record, &body, id = ids[i]](Stream stream) {
            while (const std::optional<Message> request = stream.readMessage(after(60'000))) {
                if (request->field("X-Expect-Instance") != id) {
                    stream.write(answer(421, "", "X-Not-Executed: 1\r\nX-Request-Id: " + request->field("X-Request-Id") + "\r\n"));
                    continue;
                }
                record.line("runner " + id + " runs " + request->field("X-Request-Id"));
                // Neither a length nor chunks: the answer ends with the connection.
                bool sent = stream.write("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nX-Request-Id: " + request->field("X-Request-Id")
                                         + "\r\nX-Response-Seal: seal-" + id + "\r\nX-Instance-Id: " + id + "\r\nConnection: close\r\n\r\n");
                for (size_t at = 0; sent && at < body.size(); at += PIECE_BYTES) {
                    sent = stream.write(body.substr(at, PIECE_BYTES));
                    sleepMs(PIECE_PAUSE_MS);
                }
                record.line("runner " + id + (sent ? " has sent all of its answer to " : " was cut off in its answer to ") + request->field("X-Request-Id")
                            + " and closes");
                return;
            }
        });
        keepRegistered(store, ids[i], "s", runners[i] + ":8725");
    }
    Gateway gateway("front-a-1", ip, ip + ":8223", folder.path());
    gateway.start();
    gateway.awaitReady();
    record.line(std::string("gateway ready; the client reads ") + (trouble ? "slowly" : "at once"));

    int broken = 0;
    int whole = 0;
    for (int i = 0; i < REQUESTS; ++i) {
        const std::string requestId = "0c41d07be2a35f6" + std::to_string(i);
        Stream client = connectTo(ip, 8227, [&](int socket) {
            if (trouble) {
                // The buffers of a client on a network with packets of 1,500 bytes and little memory.
                const int segment = 1'448;
                const int buffer = 4 * 1024;
                ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
                ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
            }
        });
        client.write("GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + requestId + "\r\nX-Deadline-Ms: 20000\r\n\r\n");
        const Clock::time_point end = after(20'000);
        const std::optional<Message> head = client.readHead(end);
        if (!head) {
            record.line(requestId + ": no answer");
            continue;
        }
        std::string bytes = std::exchange(client.buffer(), {});
        while (client.read(end, trouble ? SLOW_READ_BYTES : 65'536)) {
            bytes += std::exchange(client.buffer(), {});
            if (bytes.size() >= 5 && bytes.compare(bytes.size() - 5, 5, "0\r\n\r\n") == 0) {
                break;
            }
            if (trouble) {
                sleepMs(SLOW_READ_PAUSE_MS);
            }
        }
        // Decodes the chunks.
        std::string got;
        bool complete = false;
        for (size_t at = 0; !complete;) {
            const size_t lineEnd = bytes.find("\r\n", at);
            const size_t size = lineEnd == std::string::npos ? 0 : std::strtoull(bytes.c_str() + at, nullptr, 16);
            if (lineEnd == std::string::npos || lineEnd + 2 + size + 2 > bytes.size()) {
                break;
            }
            got.append(bytes, lineEnd + 2, size);
            at = lineEnd + 2 + size + 2;
            complete = size == 0;
        }
        const bool looksComplete = head->status() == 200 && complete;
        const bool isWhole = got == body;
        record.line(requestId + ": status " + std::to_string(head->status()) + ", seal " + head->field("X-Response-Seal") + ", " + std::to_string(got.size())
                    + " of " + std::to_string(body.size()) + " bytes, " + (complete ? "ended as complete" : "broken off"));
        broken += looksComplete && !isWhole ? 1 : 0;
        whole += looksComplete && isWhole ? 1 : 0;
    }
    record.line(std::to_string(broken) + " answers were short and looked complete, " + std::to_string(whole) + " were whole, of " + std::to_string(REQUESTS));
    if (broken == 0 && whole < REQUESTS) {
        record.line("no verdict: an answer failed");
        finish(gateway, folder, CANNOT_RUN);
    }
    finish(gateway, folder, broken > 0 ? BROKEN : 0);
}
