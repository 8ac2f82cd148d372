// Small deployment for the cases 6 to 10: the platform's store, runners and callers as threads of one program, gateways and rank agents as
// separate processes with the commands of the deploy file.

#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

extern char **environ;

namespace sitekit
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int HELD = 0;
constexpr int BROKEN = 1;
constexpr int NOT_RUN = 2;

inline Clock::time_point start()
{
    static const Clock::time_point begin = Clock::now();
    return begin;
}

inline int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start()).count();
}

inline void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(milliseconds{std::max<int64_t>(0, ms)});
}

/// False if the environment has TROUBLE=0.
inline bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

constexpr unsigned MAX_RUN_S = 110;
constexpr size_t MAX_CHILDREN = 64;

/// Ids of the processes that this program has started, 0 for a free place. Read by a signal handler.
inline std::array<std::atomic<pid_t>, MAX_CHILDREN> &children()
{
    static std::array<std::atomic<pid_t>, MAX_CHILDREN> ids{};
    return ids;
}

/// Ends all processes that were started, and this one, if the run is interrupted or takes too long.
inline void endOnInterruption()
{
    children();
    const auto handler = [](int) {
        for (const std::atomic<pid_t> &id : children()) {
            if (id > 0) {
                ::kill(id, SIGKILL);
            }
        }
        ::_exit(NOT_RUN);
    };
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) {
        ::signal(number, handler);
    }
    ::alarm(MAX_RUN_S);
}

/// What was sent, answered and run, with the time since the start in ms.
class Record
{
public:
    explicit Record(const std::string &path) : file_(path)
    { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        file_ << nowMs() << " " << text << std::endl;
    }

    /// A line that is also printed.
    void say(const std::string &text)
    {
        line(text);
        std::cout << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct Message
{
    std::string first; ///< Request or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (key.size() == name.size() && strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }

    std::string target() const
    {
        const size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }

    /// Of a response; 0 if there is none.
    int status() const
    {
        return first.starts_with("HTTP/1.1 ") ? std::atoi(first.c_str() + 9) : 0;
    }
};

/// Blocking TCP connection with HTTP/1.1 framing.
class Link
{
public:
    explicit Link(int descriptor) : descriptor_(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~Link()
    {
        close();
    }

    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    static std::unique_ptr<Link> connect(const std::string &address, int64_t timeoutMs = 1'000)
    {
        const size_t colon = address.find(':');
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit{timeoutMs / 1'000, (timeoutMs % 1'000) * 1'000};
        ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
        if (::connect(descriptor, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Link>(descriptor);
    }

    bool send(const std::string &bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    /// Reads one message. Returns an empty value if the connection ends before, or at the time limit.
    std::optional<Message> read(int64_t timeoutMs)
    {
        const Clock::time_point end = Clock::now() + milliseconds{timeoutMs};
        size_t headEnd = std::string::npos;
        while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(end)) {
                return std::nullopt;
            }
        }
        Message message;
        std::istringstream head(buffer_.substr(0, headEnd));
        buffer_.erase(0, headEnd + 4);
        std::getline(head, message.first);
        if (!message.first.empty() && message.first.back() == '\r') {
            message.first.pop_back();
        }
        for (std::string line; std::getline(head, line);) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const size_t colon = line.find(':');
            const size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
        if (message.field("Transfer-Encoding") == "chunked") {
            return readChunks(message, end) ? std::optional(message) : std::nullopt;
        }
        const std::string length = message.field("Content-Length");
        const size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffer_.size() < size) {
            if (!readMore(end)) {
                return std::nullopt;
            }
        }
        message.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return message;
    }

    /// True if the peer has closed the connection.
    bool closedByPeer()
    {
        pollfd entry{descriptor_, POLLIN, 0};
        char byte = 0;
        return ::poll(&entry, 1, 0) == 1 && ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }

    void reset()
    {
        const linger hard{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close();
    }

    void shutdown()
    {
        ::shutdown(descriptor_, SHUT_RDWR);
    }

    void close()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
            descriptor_ = -1;
        }
    }

private:
    bool readMore(Clock::time_point end)
    {
        const int64_t left = std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
        pollfd entry{descriptor_, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char bytes[16'384];
        const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<size_t>(count));
        return true;
    }

    bool readChunks(Message &message, Clock::time_point end)
    {
        while (true) {
            size_t line = std::string::npos;
            while ((line = buffer_.find("\r\n")) == std::string::npos) {
                if (!readMore(end)) {
                    return false;
                }
            }
            const size_t size = std::stoul(buffer_.substr(0, line), nullptr, 16);
            while (buffer_.size() < line + 2 + size + 2) {
                if (!readMore(end)) {
                    return false;
                }
            }
            message.body += buffer_.substr(line + 2, size);
            buffer_.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int descriptor_ = -1;
    std::string buffer_;
};

inline std::string response(int status, const std::vector<std::string> &fields, const std::string &body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const std::string &field : fields) {
        out += field + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a free port and passes each request to a handler, which writes the response. A thread for each connection.
class Server
{
public:
    using Handler = std::function<void(Link &link, const Message &request)>;

    Server(const std::string &ip, Handler handler) : handler_(std::move(handler))
    {
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in at{};
        at.sin_family = AF_INET;
        ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
        socklen_t size = sizeof(at);
        if (::bind(descriptor_, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0 || ::listen(descriptor_, 256) != 0) {
            std::cerr << "cannot listen on " << ip << std::endl;
            std::_Exit(NOT_RUN);
        }
        ::getsockname(descriptor_, reinterpret_cast<sockaddr *>(&at), &size);
        address_ = ip + ":" + std::to_string(ntohs(at.sin_port));
        std::thread([this] { accept(); }).detach();
    }

    const std::string &address() const
    {
        return address_;
    }

private:
    void accept()
    {
        while (true) {
            const int client = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0) {
                continue;
            }
            std::thread([this, client] {
                Link link(client);
                while (const std::optional<Message> request = link.read(600'000)) {
                    handler_(link, *request);
                }
            }).detach();
        }
    }

    Handler handler_;
    int descriptor_ = -1;
    std::string address_;
};

inline std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value fromText(const std::string &text)
{
    Json::Value value;
    std::istringstream in(text);
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder(), in, &value, &errors);
    return value;
}

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k) {
            group = (group << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (size_t k = 0; k < 4; ++k) {
            out += i + k <= bytes.size() ? digits[(group >> (18 - 6 * k)) & 63U] : '=';
        }
    }
    return out;
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    const size_t at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const size_t begin = at + name.size() + 1;
    std::string raw = target.substr(begin, target.find('&', begin) - begin);
    std::string out;
    for (size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
            out += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += raw[i];
        }
    }
    return out;
}

/// The platform's store: items with revisions, leases, watches and conditional writes.
class Store
{
public:
    Store() : server_("127.0.0.1", [this](Link &link, const Message &request) { serve(link, request); })
    { }

    const std::string &address() const
    {
        return server_.address();
    }

    /// A write by the operator or a runner. The return is the acknowledgement.
    int64_t put(const std::string &key, const std::string &value, int64_t lease = 0)
    {
        const std::lock_guard lock(mutex_);
        return putLocked(key, base64(value), lease);
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        removeLocked(key);
    }

    /// Answers take up to this long from now on. The content is that of the moment at which the call came.
    void setSlow(int64_t maxMs)
    {
        slowMs_ = maxMs;
    }

    /// Called with the prefix of a range that has been read; returns for how long its answer is under way.
    std::function<int64_t(const std::string &prefix)> onRange = [](const std::string &) { return int64_t{0}; };

    /// Discards the history and cuts the watches that are waiting.
    void forgetHistory()
    {
        const std::lock_guard lock(mutex_);
        forgottenUpTo_ = revision_;
        ++cuts_;
        changed_.notify_all();
    }

private:
    struct Item
    {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };

    struct Lease
    {
        int64_t ttlMs = 0;
        int64_t endMs = 0;
    };

    int64_t putLocked(const std::string &key, const std::string &value, int64_t lease)
    {
        ++revision_;
        Item &item = items_[key];
        item = {value, revision_, item.created == 0 ? revision_ : item.created, lease};
        history_.push_back({revision_, row(key)});
        changed_.notify_all();
        return revision_;
    }

    void removeLocked(const std::string &key)
    {
        if (items_.erase(key) == 0) {
            return;
        }
        ++revision_;
        Json::Value event;
        event["key"] = key;
        event["revision"] = static_cast<Json::Int64>(revision_);
        event["deleted"] = true;
        history_.push_back({revision_, event});
        changed_.notify_all();
    }

    Json::Value row(const std::string &key) const
    {
        const Item &item = items_.at(key);
        Json::Value json;
        json["key"] = key;
        json["value"] = item.value;
        json["revision"] = static_cast<Json::Int64>(item.revision);
        json["created"] = static_cast<Json::Int64>(item.created);
        json["lease"] = static_cast<Json::Int64>(item.lease);
        return json;
    }

    void endLease(int64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> bound;
        for (const auto &[key, item] : items_) {
            if (item.lease == id) {
                bound.push_back(key);
            }
        }
        for (const std::string &key : bound) {
            removeLocked(key);
        }
    }

    void expireLeases()
    {
        std::vector<int64_t> ended;
        for (const auto &[id, lease] : leases_) {
            if (nowMs() >= lease.endMs) {
                ended.push_back(id);
            }
        }
        for (const int64_t id : ended) {
            endLease(id);
        }
    }

    void reply(Link &link, int status, Json::Value body)
    {
        if (slowMs_ > 0) {
            thread_local std::minstd_rand random{std::random_device{}()};
            sleepMs(std::uniform_int_distribution<int64_t>(4, slowMs_)(random));
        }
        link.send(response(status, {"Content-Type: application/json"}, toText(body)));
    }

    void serve(Link &link, const Message &request)
    {
        const std::string target = request.target();
        std::unique_lock lock(mutex_);
        expireLeases();
        Json::Value body(Json::objectValue);
        if (target.starts_with("/-/kv-range")) {
            const std::string prefix = queryValue(target, "prefix");
            const std::string after = queryValue(target, "after");
            body["items"] = Json::arrayValue;
            for (const auto &[key, item] : items_) {
                if (key.starts_with(prefix) && key > after) {
                    body["items"].append(row(key));
                }
            }
            body["has_more"] = false;
            body["store_revision"] = static_cast<Json::Int64>(revision_);
            lock.unlock();
            sleepMs(onRange(prefix));
            return reply(link, 200, body);
        } else if (target.starts_with("/-/kv-watch")) {
            if (std::stoll(queryValue(target, "after")) < forgottenUpTo_) {
                lock.unlock();
                return reply(link, 410, body);
            }
            if (!watch(target, body, lock)) {
                link.shutdown();
                return;
            }
        } else if (target.starts_with("/-/kv-key")) {
            const std::string key = queryValue(target, "key");
            if (!items_.contains(key)) {
                lock.unlock();
                return reply(link, 404, body);
            }
            body = row(key);
        } else if (target == "/-/kv-txn") {
            const int status = transaction(fromText(request.body), body);
            lock.unlock();
            return reply(link, status, body);
        } else if (target == "/-/kv-lease") {
            const int64_t ttl = fromText(request.body)["ttl_ms"].asInt64();
            leases_[++lastLease_] = {ttl, nowMs() + ttl};
            body["lease"] = static_cast<Json::Int64>(lastLease_);
            body["ttl_ms"] = static_cast<Json::Int64>(ttl);
            lock.unlock();
            return reply(link, 200, body);
        } else if (target.starts_with("/-/kv-keep/")) {
            const auto lease = leases_.find(std::stoll(target.substr(11)));
            const bool known = lease != leases_.end();
            if (known) {
                lease->second.endMs = nowMs() + lease->second.ttlMs;
                body["ttl_ms"] = static_cast<Json::Int64>(lease->second.ttlMs);
            }
            lock.unlock();
            return reply(link, known ? 200 : 404, body);
        } else if (target.starts_with("/-/kv-lease-end/")) {
            endLease(std::stoll(target.substr(16)));
        }
        body["store_revision"] = static_cast<Json::Int64>(revision_);
        lock.unlock();
        reply(link, 200, body);
    }

    /// Returns false if the watch is cut.
    bool watch(const std::string &target, Json::Value &body, std::unique_lock<std::mutex> &lock)
    {
        const int cuts = cuts_;
        const std::string prefix = queryValue(target, "prefix");
        const int64_t after = std::stoll(queryValue(target, "after"));
        const auto end = Clock::now() + milliseconds{std::stoll(queryValue(target, "wait_ms"))};
        body["events"] = Json::arrayValue;
        while (true) {
            for (const auto &[revision, event] : history_) {
                if (revision > after && event["key"].asString().starts_with(prefix)) {
                    body["events"].append(event);
                }
            }
            if (!body["events"].empty()) {
                return true;
            }
            const bool ended = changed_.wait_until(lock, end) == std::cv_status::timeout;
            if (cuts != cuts_) {
                return false;
            }
            if (ended) {
                return true;
            }
        }
    }

    int transaction(const Json::Value &call, Json::Value &body)
    {
        for (const Json::Value &expected : call["expected"]) {
            const auto item = items_.find(expected["key"].asString());
            if ((item == items_.end() ? 0 : item->second.revision) != expected["revision"].asInt64()) {
                body["items"] = Json::arrayValue;
                return 412;
            }
        }
        for (const Json::Value &write : call["writes"]) {
            if (write["lease"].asInt64() != 0 && !leases_.contains(write["lease"].asInt64())) {
                return 404;
            }
        }
        for (const Json::Value &write : call["writes"]) {
            putLocked(write["key"].asString(), write["value"].asString(), write["lease"].asInt64());
        }
        for (const Json::Value &key : call["remove"]) {
            removeLocked(key.asString());
        }
        body["revision"] = static_cast<Json::Int64>(revision_);
        return 200;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<std::pair<int64_t, Json::Value>> history_;
    std::map<int64_t, Lease> leases_;
    std::atomic<int64_t> slowMs_{0};
    int64_t forgottenUpTo_ = 0;
    int cuts_ = 0;
    int64_t lastLease_ = 100;
    int64_t revision_ = 1;
    Server server_;
};

/// The entry of a runner in the store.
struct Registration
{
    std::string service = "logbook";
    std::string address;
    std::string zone = "a";
    std::string state = "ready";
    int64_t coldMs = 0;
    int64_t sequence = 1;
    int64_t bornMs = 1'700'000'000'000;
    int slots = 6;

    std::string text() const
    {
        Json::Value json;
        json["service"] = service;
        json["address"] = address;
        json["zone"] = zone;
        json["version"] = "v1";
        json["slots"] = slots;
        json["state"] = state;
        json["cold_remaining_ms"] = static_cast<Json::Int64>(coldMs);
        json["sequence"] = static_cast<Json::Int64>(sequence);
        json["born"] = static_cast<Json::Int64>(bornMs);
        return toText(json);
    }
};

/// A gateway or rank agent as a process of its own, with settings like those of a small deployment.
class Process
{
public:
    Process(const std::string &program, std::filesystem::path folder, std::string name, const std::string &settings)
        : program_(program), name_(std::move(name)), settings_(folder / (name_ + ".toml")), log_(folder / (name_ + ".log"))
    {
        std::ofstream(settings_) << settings;
    }

    ~Process()
    {
        end();
    }

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    bool start()
    {
        const std::string variable = "DAISYMOUNT_CONFIG=" + settings_.string();
        std::vector<char *> environment;
        for (char **entry = environ; *entry != nullptr; ++entry) {
            environment.push_back(*entry);
        }
        environment.push_back(const_cast<char *>(variable.c_str()));
        environment.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        char *arguments[] = {program_.data(), nullptr};
        const bool started = posix_spawn(&id_, program_.c_str(), &files, nullptr, arguments, environment.data()) == 0;
        posix_spawn_file_actions_destroy(&files);
        id_ = started ? id_ : 0;
        for (std::atomic<pid_t> &place : children()) {
            pid_t free = 0;
            if (started && place.compare_exchange_strong(free, id_)) {
                break;
            }
        }
        return started;
    }

    void signal(int number) const
    {
        if (id_ > 0) {
            ::kill(id_, number);
        }
    }

    /// Reaps the process if it has ended.
    bool ended()
    {
        int status = 0;
        if (id_ > 0 && ::waitpid(id_, &status, WNOHANG) == id_) {
            forget();
        }
        return id_ == 0;
    }

    void end()
    {
        if (id_ > 0) {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
            forget();
        }
    }

    pid_t id() const
    {
        return id_;
    }

    const std::filesystem::path &log() const
    {
        return log_;
    }

private:
    void forget()
    {
        for (std::atomic<pid_t> &place : children()) {
            pid_t own = id_;
            place.compare_exchange_strong(own, 0);
        }
        id_ = 0;
    }

    std::string program_;
    std::string name_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    pid_t id_ = 0;
};

/// Addresses and settings of the gateways of one run.
class Site
{
public:
    Site(const std::string &store, int gateways) : store_(store)
    {
        std::random_device device;
        network_ = "127." + std::to_string(20 + device() % 200) + "." + std::to_string(1 + device() % 250) + ".";
        std::string pattern = (std::filesystem::temp_directory_path() / "daisymount-case-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        base_ = freePorts();
        for (int i = 0; i < gateways; ++i) {
            processes_.push_back(
                std::make_unique<Process>("target/src/gateway/daisymountgateway", folder_, "front-" + std::to_string(i + 1), settings(i, gateways)));
        }
    }

    ~Site()
    {
        for (const auto &process : processes_) {
            process->end();
        }
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder_, ignored);
        } else {
            std::cout << "logs in " << folder_ << std::endl;
        }
    }

    /// Starts all gateways and waits until each counts as ready. Returns false if one does not.
    bool startAll()
    {
        for (const auto &process : processes_) {
            if (!process->start()) {
                return false;
            }
        }
        const int64_t limit = nowMs() + 20'000;
        for (size_t i = 0; i < processes_.size();) {
            if (ready(i)) {
                ++i;
            } else if (nowMs() > limit) {
                return false;
            } else {
                sleepMs(100);
            }
        }
        return true;
    }

    bool ready(size_t gateway) const
    {
        const std::unique_ptr<Link> link = Link::connect(ip(gateway) + ":" + std::to_string(base_ + 1));
        if (!link || !link->send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        const std::optional<Message> answer = link->read(1'000);
        return answer && answer->status() == 200;
    }

    std::string ip(size_t gateway) const
    {
        return network_ + std::to_string(101 + gateway);
    }

    std::string callers(size_t gateway) const
    {
        return ip(gateway) + ":" + std::to_string(base_);
    }

    Process &process(size_t gateway)
    {
        return *processes_[gateway];
    }

    size_t size() const
    {
        return processes_.size();
    }

    /// Network of the deployment, with a dot at the end.
    const std::string &network() const
    {
        return network_;
    }

    const std::filesystem::path &folder() const
    {
        return folder_;
    }

    int peerPort() const
    {
        return base_ + 4;
    }

private:
    /// Returns the first of 24 successive ports that are free on all addresses of the deployment.
    int freePorts() const
    {
        std::random_device device;
        for (int i = 0; i < 200; ++i) {
            const int first = 20'000 + static_cast<int>(device() % 300) * 40;
            bool free = true;
            for (int port = first; port < first + 24 && free; ++port) {
                const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                sockaddr_in at{};
                at.sin_family = AF_INET;
                at.sin_port = htons(static_cast<uint16_t>(port));
                at.sin_addr.s_addr = htonl(INADDR_ANY);
                free = ::bind(probe, reinterpret_cast<sockaddr *>(&at), sizeof(at)) == 0;
                ::close(probe);
            }
            if (free) {
                return first;
            }
        }
        return 20'000;
    }

    std::string settings(int number, int gateways) const
    {
        const std::string own = ip(static_cast<size_t>(number));
        const auto at = [&](int offset) { return "\"" + own + ":" + std::to_string(base_ + offset) + "\"\n"; };
        const std::string zone(1, static_cast<char>('a' + number % 3));
        std::string seeds;
        for (int i = 0; i < std::min(3, gateways); ++i) {
            seeds += (i == 0 ? "\"" : ",\"") + ip(static_cast<size_t>(i)) + ":" + std::to_string(base_ + 3) + "\"";
        }
        return "node_name = \"front-" + zone + "-" + std::to_string(number / 3 + 1)
            + "\"\nrole = \"gateway\"\nmachine_class = \"front\"\nserves = [\"front\",\"directory\",\"control\"]\nip = \"" + own + "\"\nzone = \"" + zone
            + "\"\nregion = \"r\"\nport_range = [" + std::to_string(base_ + 4) + "," + std::to_string(base_ + 19) + "]\nseeds = [" + seeds
            + "]\nfirst_start = true\nin_fault_budget = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\n"
              "contracts = "
              "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"platform\",\"experts\"]\n"
              "[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n[listen]\nfront = "
            + at(0) + "ready = " + at(1) + "directory = " + at(2) + "control = " + at(3)
            + "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[tolerate]\nmachines = 1\nzones = 1\n"
              "regions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n"
              "loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\nrevoke_when_partitioned = false\nrevoke_ms = 5000\n"
              "retry_budget_ratio = 0.2\nretry_window_s = 10\nbudget_slack = 88\ncold_overshoot = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\n"
              "pass_ms = 120\nretry_after_s = 0\nstall_ms = 1500\nfencing_required = true\nttl_max_s = 5\n[platform]\naddress = \""
            + store_ + "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n";
    }

    std::string store_;
    std::string network_;
    std::filesystem::path folder_;
    int base_ = 0;
    std::vector<std::unique_ptr<Process>> processes_;
};

/// The record lies in the case's folder, which is the first argument.
inline std::string recordPath(int argc, char **argv)
{
    return (argc > 1 ? std::string(argv[1]) : std::string(".")) + "/record.txt";
}

} // namespace sitekit
