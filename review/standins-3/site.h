// Stand-ins for the cases of the third review: the platform's store, runners, a client's connection, and a gateway as a process of its own.
//
// They follow the published protocol. Everything listens on loopback addresses, on ports that were free when they were chosen.

#pragma once

#include <json/json.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int BROKEN = 1;
constexpr int CANNOT_RUN = 2;

/// Ends the program with CANNOT_RUN. A gateway ends with it, see Gateway::start().
[[noreturn]] inline void cannotRun(const std::string &why)
{
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(CANNOT_RUN);
}

/// Lines with the time since the start of the program, in record.txt and on standard output.
class Record
{
public:
    explicit Record(const std::string &path) : file_(path), begin_(Clock::now())
    { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        const double seconds = std::chrono::duration<double>(Clock::now() - begin_).count();
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f s  ", seconds);
        file_ << time << text << std::endl;
        std::printf("%s%s\n", time, text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point begin_;
};

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string method() const
    {
        return startLine.substr(0, startLine.find(' '));
    }
    std::string target() const
    {
        const size_t first = startLine.find(' ');
        return startLine.substr(first + 1, startLine.find(' ', first + 1) - first - 1);
    }
    int status() const
    {
        const size_t first = startLine.find(' ');
        return first == std::string::npos ? 0 : std::atoi(startLine.c_str() + first + 1);
    }
};

/// A connected socket with what was read ahead.
class Stream
{
public:
    explicit Stream(int socket = -1) : socket_(socket)
    { }
    ~Stream()
    {
        close();
    }
    Stream(Stream &&other) noexcept : socket_(std::exchange(other.socket_, -1)), buffer_(std::move(other.buffer_)), reset_(other.reset_)
    { }
    Stream &operator=(Stream &&other) noexcept
    {
        close();
        socket_ = std::exchange(other.socket_, -1);
        buffer_ = std::move(other.buffer_);
        reset_ = other.reset_;
        return *this;
    }

    int socket() const
    {
        return socket_;
    }
    bool open() const
    {
        return socket_ >= 0;
    }
    void close()
    {
        if (socket_ >= 0) {
            ::close(socket_);
            socket_ = -1;
        }
    }
    void reset()
    {
        if (socket_ >= 0) {
            const linger now{1, 0};
            ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            close();
        }
    }
    bool wasReset() const
    {
        return reset_;
    }
    std::string &buffer()
    {
        return buffer_;
    }

    bool write(const std::string &bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    /// Reads at most @p most bytes into the buffer. Returns false at the end of the stream, after a reset or when nothing comes until @p deadline.
    bool read(Clock::time_point deadline, size_t most = 65536)
    {
        pollfd wait{socket_, POLLIN, 0};
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        if (socket_ < 0 || ::poll(&wait, 1, static_cast<int>(std::max<int64_t>(0, left))) <= 0) {
            return false;
        }
        std::string bytes(most, '\0');
        const ssize_t count = ::recv(socket_, bytes.data(), bytes.size(), 0);
        reset_ = count < 0;
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, 0, static_cast<size_t>(count));
        return true;
    }

    std::optional<std::string> readLine(Clock::time_point deadline)
    {
        size_t end = buffer_.find("\r\n");
        while (end == std::string::npos) {
            if (!read(deadline)) {
                return std::nullopt;
            }
            end = buffer_.find("\r\n");
        }
        std::string line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return line;
    }

    std::optional<Message> readHead(Clock::time_point deadline)
    {
        Message message;
        std::optional<std::string> line = readLine(deadline);
        if (!line) {
            return std::nullopt;
        }
        message.startLine = *line;
        while ((line = readLine(deadline)) && !line->empty()) {
            const size_t colon = line->find(':');
            const size_t value = line->find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line->substr(0, colon), value == std::string::npos ? "" : line->substr(value));
        }
        return line ? std::optional(std::move(message)) : std::nullopt;
    }

    bool readBytes(std::string &into, size_t count, Clock::time_point deadline)
    {
        while (buffer_.size() < count) {
            if (!read(deadline)) {
                return false;
            }
        }
        into.append(buffer_, 0, count);
        buffer_.erase(0, count);
        return true;
    }

    /// Reads a request or response whose body has a length or comes in chunks.
    std::optional<Message> readMessage(Clock::time_point deadline)
    {
        std::optional<Message> message = readHead(deadline);
        if (!message) {
            return std::nullopt;
        }
        if (const std::string length = message->field("Content-Length"); !length.empty()) {
            return readBytes(message->body, std::strtoull(length.c_str(), nullptr, 10), deadline) ? message : std::nullopt;
        }
        if (message->field("Transfer-Encoding") != "chunked") {
            return message;
        }
        while (true) {
            const std::optional<std::string> line = readLine(deadline);
            const size_t size = line ? std::strtoull(line->c_str(), nullptr, 16) : 0;
            std::string ending;
            if (!line || !readBytes(message->body, size, deadline) || !readBytes(ending, 2, deadline)) {
                return std::nullopt;
            }
            if (size == 0) {
                return message;
            }
        }
    }

private:
    int socket_;
    std::string buffer_;
    bool reset_ = false;
};

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Returns -1 if the port is in use.
inline int bindSocket(const std::string &ip, int port, int type = SOCK_STREAM)
{
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM) {
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    const sockaddr_in address = socketAddress(ip, port);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

/// A loopback address of its own for this run.
inline std::string freeIp()
{
    static std::minstd_rand random(std::random_device{}());
    for (int attempt = 0; attempt < 50; ++attempt) {
        const std::string ip
            = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + "." + std::to_string(2 + random() % 250);
        bool free = true;
        for (const int port : {7340, 8220, 8223, 8224, 8227, 8229, 9464}) {
            const int socket = bindSocket(ip, port);
            free = free && socket >= 0;
            ::close(socket);
        }
        const int datagrams = bindSocket(ip, 7340, SOCK_DGRAM);
        free = free && datagrams >= 0;
        ::close(datagrams);
        if (free) {
            return ip;
        }
    }
    cannotRun("no free ports");
}

inline Stream connectTo(
    const std::string &ip, int port, const std::function<void(int)> &configure = [](int) {})
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    configure(socket);
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return Stream();
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return Stream(socket);
}

/// Accepts connections until the program ends, each in a thread of its own.
inline void serve(const std::string &ip, int port, std::function<void(Stream)> handler)
{
    const int listener = bindSocket(ip, port);
    if (listener < 0 || ::listen(listener, 128) != 0) {
        cannotRun("cannot listen at " + ip + ":" + std::to_string(port));
    }
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([socket, &handler] { handler(Stream(socket)); }).detach();
        }
    }).detach();
}

inline Clock::time_point after(int64_t ms)
{
    return Clock::now() + milliseconds{ms};
}

inline void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(milliseconds{ms});
}

inline std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (size_t j = 0; j < 4; ++j) {
            out += i + j <= bytes.size() ? digits[group >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return out;
}

inline std::string decodeBase64(const std::string &text)
{
    std::string out;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        int value = -1;
        if (c >= 'A' && c <= 'Z') {
            value = c - 'A';
        } else if (c >= 'a' && c <= 'z') {
            value = c - 'a' + 26;
        } else if (c >= '0' && c <= '9') {
            value = c - '0' + 52;
        } else if (c == '+' || c == '/') {
            value = c == '+' ? 62 : 63;
        }
        if (value < 0) {
            continue;
        }
        group = group << 6U | static_cast<unsigned>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

inline std::string jsonText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    std::string out;
    size_t at = target.find('?');
    while (at != std::string::npos) {
        const size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.compare(0, name.size() + 1, name + "=") == 0) {
            const std::string raw = pair.substr(name.size() + 1);
            for (size_t i = 0; i < raw.size(); ++i) {
                if (raw[i] == '%' && i + 2 < raw.size()) {
                    out += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    out += raw[i];
                }
            }
        }
        at = end;
    }
    return out;
}

inline std::string answer(int status, const std::string &body, const std::string &fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// The platform's store: items, leases, ranges and watches. Its history is complete.
class Store
{
public:
    Store(const std::string &ip, int port)
    {
        serve(ip, port, [this](Stream stream) {
            while (const std::optional<Message> request = stream.readMessage(after(60'000))) {
                if (!stream.write(handle(*request))) {
                    break;
                }
            }
        });
    }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        write(key, value, 0);
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        erase(key);
    }

private:
    struct Item
    {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        int64_t revision = 0;
        std::optional<Item> item;
    };
    struct Lease
    {
        int64_t ttl = 0;
        Clock::time_point end;
    };

    void write(const std::string &key, const std::string &value, int64_t lease)
    {
        Item &item = items_[key];
        ++revision_;
        item = {value, revision_, item.created == 0 ? revision_ : item.created, lease};
        history_.push_back({key, revision_, item});
        changed_.notify_all();
    }
    void erase(const std::string &key)
    {
        if (items_.erase(key) > 0) {
            history_.push_back({key, ++revision_, std::nullopt});
            changed_.notify_all();
        }
    }
    void endLease(int64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
    }
    static Json::Value toJson(const std::string &key, const Item &item)
    {
        Json::Value json;
        json["key"] = key;
        json["value"] = encodeBase64(item.value);
        json["revision"] = Json::Int64(item.revision);
        json["created"] = Json::Int64(item.created);
        json["lease"] = Json::Int64(item.lease);
        return json;
    }

    std::string handle(const Message &request)
    {
        std::unique_lock lock(mutex_);
        for (auto entry = leases_.begin(); entry != leases_.end();) {
            const auto next = std::next(entry);
            if (entry->second.end <= Clock::now()) {
                endLease(entry->first);
            }
            entry = next;
        }
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string prefix = queryValue(target, "prefix");
        const auto hasPrefix = [&](const std::string &key) { return key.compare(0, prefix.size(), prefix) == 0; };
        if (path == "/-/kv-range") {
            Json::Value page;
            page["items"] = Json::arrayValue;
            for (const auto &[key, item] : items_) {
                if (hasPrefix(key)) {
                    page["items"].append(toJson(key, item));
                }
            }
            page["has_more"] = false;
            page["store_revision"] = Json::Int64(revision_);
            return answer(200, jsonText(page));
        }
        if (path == "/-/kv-watch") {
            const int64_t known = std::atoll(queryValue(target, "after").c_str());
            const Clock::time_point end = after(std::atoll(queryValue(target, "wait_ms").c_str()));
            Json::Value changes;
            changes["events"] = Json::arrayValue;
            while (true) {
                for (const Event &event : history_) {
                    if (event.revision <= known || !hasPrefix(event.key)) {
                        continue;
                    }
                    Json::Value json = event.item ? toJson(event.key, *event.item) : Json::Value();
                    if (!event.item) {
                        json["key"] = event.key;
                        json["revision"] = Json::Int64(event.revision);
                        json["deleted"] = true;
                    }
                    changes["events"].append(json);
                }
                if (!changes["events"].empty() || changed_.wait_until(lock, end) == std::cv_status::timeout) {
                    break;
                }
            }
            changes["store_revision"] = Json::Int64(revision_);
            return answer(200, jsonText(changes));
        }
        if (path == "/-/kv-txn") {
            const Json::Value body = parseJson(request.body);
            for (const Json::Value &row : body["expected"]) {
                const auto found = items_.find(row["key"].asString());
                if ((found == items_.end() ? 0 : found->second.revision) != row["revision"].asInt64()) {
                    return answer(412, "{\"items\":[]}");
                }
            }
            for (const Json::Value &row : body["writes"]) {
                if (row["lease"].asInt64() != 0 && leases_.count(row["lease"].asInt64()) == 0) {
                    return answer(404, "{}");
                }
            }
            for (const Json::Value &row : body["writes"]) {
                write(row["key"].asString(), decodeBase64(row["value"].asString()), row["lease"].asInt64());
            }
            for (const Json::Value &row : body["remove"]) {
                erase(row.asString());
            }
            return answer(200, "{\"revision\":" + std::to_string(revision_) + "}");
        }
        if (path == "/-/kv-lease") {
            const int64_t ttl = parseJson(request.body)["ttl_ms"].asInt64();
            leases_[++lastLease_] = {ttl, after(ttl)};
            return answer(200, "{\"lease\":" + std::to_string(lastLease_) + ",\"ttl_ms\":" + std::to_string(ttl) + "}");
        }
        const int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
        if (leases_.count(id) == 0) {
            return answer(404, "{}");
        }
        if (path.rfind("/-/kv-keep/", 0) == 0) {
            leases_[id].end = after(leases_[id].ttl);
        } else {
            endLease(id);
        }
        return answer(200, "{}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Event> history_;
    std::map<int64_t, Lease> leases_;
    int64_t revision_ = 100;
    int64_t lastLease_ = 0;
};

/// The program of the deploy file's role `gateway`, killed at the end of this program at the latest.
class Gateway
{
public:
    Gateway(std::string name, std::string ip, const std::string &store, const std::string &folder) : name_(std::move(name)), ip_(std::move(ip)), folder_(folder)
    {
        const auto address = [this](int port) { return "\"" + ip_ + ":" + std::to_string(port) + "\"\n"; };
        std::ofstream file(settings());
        file << "node_name = \"" << name_ << "\"\nrole = \"gateway\"\nmachine_class = \"front\"\nserves = [\"front\",\"directory\",\"control\"]\nip = \"" << ip_
             << "\"\nzone = \"a\"\nregion = \"r\"\nport_range = [7340,7355]\nseeds = [\"" << ip_
             << ":8229\"]\nfirst_start = true\nheartbeat_ms = 1200\n[listen]\nfront = " << address(8227) << "ready = " << address(8220)
             << "control = " << address(8229) << "directory = " << address(8224)
             << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n[bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\n"
                "loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nretry_budget_ratio = 0.2\nretry_window_s = 10\nbudget_slack = 90\n"
                "cold_overshoot = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\npass_ms = 120\nstall_ms = 1500\nfencing_required = true\n"
                "ttl_max_s = 5\n[platform]\naddress = \""
             << store << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n";
    }
    ~Gateway()
    {
        kill();
    }

    void start()
    {
        const std::string program = "target/src/gateway/daisymountgateway";
        const std::string log = folder_ + "/" + name_ + ".log";
        const std::string config = settings();
        id_ = ::fork();
        if (id_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::setenv("DAISYMOUNT_CONFIG", config.c_str(), 1);
            ::execl(program.c_str(), program.c_str(), static_cast<char *>(nullptr));
            ::_exit(CANNOT_RUN);
        }
        if (id_ < 0) {
            cannotRun("cannot start " + program);
        }
    }
    /// Waits until the ready page answers 200.
    void awaitReady()
    {
        const Clock::time_point end = after(15'000);
        while (Clock::now() < end) {
            Stream stream = connectTo(ip_, 8220);
            if (stream.open() && stream.write("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
                const std::optional<Message> reply = stream.readMessage(after(1'000));
                if (reply && reply->status() == 200) {
                    return;
                }
            }
            sleepMs(100);
        }
        kill();
        cannotRun("the gateway does not become ready");
    }
    void signal(int number)
    {
        if (id_ > 0) {
            ::kill(id_, number);
        }
    }
    /// How the process ended; empty while it runs.
    std::string ended()
    {
        int status = 0;
        if (id_ > 0 && ::waitpid(id_, &status, WNOHANG) == id_) {
            id_ = 0;
            end_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "code " + std::to_string(WEXITSTATUS(status));
        }
        return end_;
    }
    void kill()
    {
        if (id_ > 0) {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
            id_ = 0;
        }
    }
    const std::string &ip() const
    {
        return ip_;
    }
    /// 0 while no process runs.
    pid_t id() const
    {
        return id_;
    }

private:
    std::string settings() const
    {
        return folder_ + "/" + name_ + ".toml";
    }

    std::string name_;
    std::string ip_;
    std::string folder_;
    pid_t id_ = 0;
    std::string end_;
};

class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "daisymount-review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            cannotRun("no temporary folder");
        }
        path_ = pattern;
    }
    void remove()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
};

/// A runner's registration in the store.
inline std::string registration(const std::string &service, const std::string &address, const std::string &zone, int64_t sequence, int64_t bornMs,
                                const std::string &state = "ready")
{
    Json::Value json;
    json["service"] = service;
    json["address"] = address;
    json["zone"] = zone;
    json["version"] = 1;
    json["slots"] = 12;
    json["state"] = state;
    json["cold_remaining_ms"] = 0;
    json["sequence"] = Json::Int64(sequence);
    json["born"] = Json::Int64(bornMs);
    return jsonText(json);
}

inline int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Registers a runner and writes its entry again at the interval of its heartbeats.
inline void keepRegistered(Store &store, const std::string &id, const std::string &service, const std::string &address, const std::string &zone = "a")
{
    const int64_t born = unixMs();
    store.put("servers/" + id, registration(service, address, zone, 1, born));
    std::thread([&store, id, service, address, zone, born] {
        for (int64_t sequence = 2;; ++sequence) {
            sleepMs(1'200);
            store.put("servers/" + id, registration(service, address, zone, sequence, born));
        }
    }).detach();
}

/// Ends the program and what it started. The stand-ins' threads still run, so nothing is destroyed.
[[noreturn]] inline void finish(Gateway &gateway, TemporaryFolder &folder, int code)
{
    gateway.kill();
    folder.remove();
    std::fflush(stdout);
    std::_Exit(code);
}

/// True unless the caller of the program has set TROUBLE=0.
inline bool withTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review
