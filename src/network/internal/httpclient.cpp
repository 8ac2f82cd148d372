// HTTP client.

#include "network/httpclient.h"

#include "network/internal/responsehead.h"

#include <curl/curl.h>

#include <atomic>
#include <deque>
#include <map>
#include <thread>
#include <unordered_map>

namespace daisymount::network
{

namespace
{
constexpr int POLL_TIMEOUT_MS = 100;
constexpr long MAX_CACHED_CONNECTIONS = 512;
} // namespace

/// Transfers in progress; all members but the inboxes belong to the loop's thread.
class ClientLoop
{
public:
    ClientLoop() : multi_(curl_multi_init())
    {
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, MAX_CACHED_CONNECTIONS);
    }

    ~ClientLoop()
    {
        stop();
        while (!transfers_.empty()) {
            remove(transfers_.begin()->first);
        }
        curl_multi_cleanup(multi_);
    }

    ClientLoop(const ClientLoop &) = delete;
    ClientLoop &operator=(const ClientLoop &) = delete;

    std::shared_ptr<Inbox> makeInbox()
    {
        inboxes_.push_back(std::make_shared<Inbox>(DutyThread::DEFAULT_CAPACITY, [this] { curl_multi_wakeup(multi_); }));
        return inboxes_.back();
    }

    CallId nextId()
    {
        return ++lastId_;
    }

    void start()
    {
        thread_ = std::thread([this] { run(); });
        pthread_setname_np(thread_.native_handle(), "http-client");
    }

    void stop()
    {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    using DataHook = std::function<bool(CallId id, int status, std::string bytes)>;
    using DoneHook = std::function<bool(CallId id, CallResult result, int status)>;

    void add(CallId id, HttpCall call, DataHook data, DoneHook done)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = id;
        transfer->call = std::move(call);
        transfer->data = std::move(data);
        transfer->done = std::move(done);
        transfer->easy = curl_easy_init();
        configure(*transfer);
        curl_multi_add_handle(multi_, transfer->easy);
        transfers_[id] = std::move(transfer);
    }

    void remove(CallId id)
    {
        const auto found = transfers_.find(id);
        if (found == transfers_.end()) {
            return;
        }
        curl_multi_remove_handle(multi_, found->second->easy);
        curl_easy_cleanup(found->second->easy);
        curl_slist_free_all(found->second->headers);
        transfers_.erase(found);
    }

private:
    struct Transfer
    {
        CallId id = 0;
        HttpCall call;
        DataHook data;
        DoneHook done;
        CURL *easy = nullptr;
        curl_slist *headers = nullptr;
        bool paused = false; ///< The duty's ring was full.
        ResponseHead head;
    };

    struct Finished
    {
        CallId id;
        DoneHook done;
        CallResult result;
        int status;
    };

    static size_t onData(char *bytes, size_t size, size_t count, void *user)
    {
        auto *transfer = static_cast<Transfer *>(user);
        const size_t length = size * count;
        long status = 0;
        curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
        if (!transfer->data(transfer->id, static_cast<int>(status), std::string(bytes, length))) {
            transfer->paused = true;
            return CURL_WRITEFUNC_PAUSE;
        }
        return length;
    }

    /// Called for each line of a response head.
    static size_t onHeaderLine(char *bytes, size_t size, size_t count, void *user)
    {
        const std::string_view line(bytes, size * count);
        // Any other value than the size ends the transfer with an error.
        return static_cast<Transfer *>(user)->head.addLine(line) ? line.size() : 0;
    }

    static void configure(Transfer &transfer)
    {
        CURL *easy = transfer.easy;
        const HttpCall &call = transfer.call;
        const auto toMs
            = [](framework::Duration duration) { return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()); };
        curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.ownConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.ownConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, toMs(call.connectTimeout));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, toMs(call.timeout));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &ClientLoop::onData);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &ClientLoop::onHeaderLine);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        if (call.method != "GET" && call.method != "HEAD") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
            transfer.headers = curl_slist_append(transfer.headers, "Expect:");
        }
        for (const std::string &header : call.headers) {
            transfer.headers = curl_slist_append(transfer.headers, header.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    }

    static CallResult classify(CURL *easy, CURLcode code, bool headComplete)
    {
        if (code == CURLE_OK) {
            // libcurl reports success when the connection is closed inside the head.
            return headComplete ? CallResult::Complete : CallResult::Broken;
        }
        if (code == CURLE_COULDNT_CONNECT) {
            return CallResult::NotConnected;
        }
        if (code == CURLE_OPERATION_TIMEDOUT) {
            curl_off_t connectTime = 0;
            long reused = 0;
            curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connectTime);
            curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &reused);
            const bool neverConnected = connectTime == 0 && reused > 0;
            return neverConnected ? CallResult::NotConnected : CallResult::TimedOut;
        }
        return CallResult::Broken;
    }

    void run()
    {
        while (!stopping_) {
            int running = 0;
            curl_multi_perform(multi_, &running);
            collectFinished();
            deliverFinished();
            for (const auto &inbox : inboxes_) {
                inbox->run();
            }
            resumePaused();
            const int timeout = finished_.empty() && !anyPaused_ ? POLL_TIMEOUT_MS : 1;
            curl_multi_poll(multi_, nullptr, 0, timeout, nullptr);
        }
    }

    void collectFinished()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            Transfer *transfer = nullptr;
            long status = 0;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
            finished_.push_back(
                {transfer->id, transfer->done, classify(message->easy_handle, message->data.result, transfer->head.complete()), static_cast<int>(status)});
            remove(transfer->id);
        }
    }

    void deliverFinished()
    {
        while (!finished_.empty()) {
            const Finished &next = finished_.front();
            if (!next.done(next.id, next.result, next.status)) {
                return;
            }
            finished_.pop_front();
        }
    }

    void resumePaused()
    {
        anyPaused_ = false;
        for (const auto &[id, transfer] : transfers_) {
            if (transfer->paused) {
                transfer->paused = false;
                curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
                anyPaused_ = anyPaused_ || transfer->paused;
            }
        }
    }

    CURLM *multi_;
    std::atomic<CallId> lastId_{0};
    std::atomic<bool> stopping_{false};
    std::vector<std::shared_ptr<Inbox>> inboxes_;
    std::unordered_map<CallId, std::unique_ptr<Transfer>> transfers_;
    std::deque<Finished> finished_;
    bool anyPaused_ = false;
    std::thread thread_;
};

/// Hooks of the calls in progress; belongs to the duty's thread.
struct ClientPort::Table
{
    std::unordered_map<CallId, HttpCallHooks> hooks;
};

ClientPort::ClientPort(std::shared_ptr<ClientLoop> loop, std::shared_ptr<Inbox> toDuty)
    : loop_(std::move(loop)), toLoop_(loop_->makeInbox()), toDuty_(std::move(toDuty)), table_(std::make_shared<Table>())
{ }

CallId ClientPort::start(HttpCall call, HttpCallHooks hooks)
{
    const CallId id = loop_->nextId();
    table_->hooks[id] = std::move(hooks);
    const auto data = [inbox = toDuty_, table = table_](CallId call, int status, std::string bytes) {
        const Task task = [table, call, status, bytes = std::move(bytes)] {
            const auto found = table->hooks.find(call);
            if (found != table->hooks.end() && found->second.data) {
                const auto hook = found->second.data;
                hook(status, bytes);
            }
        };
        return inbox->post(task) == framework::ResultCode::Ok;
    };
    const auto done = [inbox = toDuty_, table = table_](CallId call, CallResult result, int status) {
        const Task task = [table, call, result, status] {
            const auto found = table->hooks.find(call);
            if (found == table->hooks.end()) {
                return;
            }
            const HttpCallHooks hooks = std::move(found->second);
            table->hooks.erase(found);
            hooks.done(result, status);
        };
        return inbox->post(task) == framework::ResultCode::Ok;
    };
    const framework::ResultCode posted = toLoop_->post([loop = loop_.get(), id, call = std::move(call), data, done] { loop->add(id, call, data, done); });
    if (posted != framework::ResultCode::Ok) {
        // Nothing was sent. The answer must not come from inside this call.
        toDuty_->post([table = table_, id] {
            const auto found = table->hooks.find(id);
            if (found != table->hooks.end()) {
                const HttpCallHooks hooks = std::move(found->second);
                table->hooks.erase(found);
                hooks.done(CallResult::NotConnected, 0);
            }
        });
    }
    return id;
}

void ClientPort::cancel(CallId call)
{
    table_->hooks.erase(call);
    toLoop_->post([loop = loop_.get(), call] { loop->remove(call); });
}

HttpClient::HttpClient() : loop_(std::make_shared<ClientLoop>())
{ }

HttpClient::~HttpClient()
{
    stop();
}

std::unique_ptr<ClientPort> HttpClient::makePort(DutyThread &duty)
{
    return std::make_unique<ClientPort>(loop_, duty.makeInbox());
}

void HttpClient::start()
{
    loop_->start();
}

void HttpClient::stop()
{
    loop_->stop();
}

} // namespace daisymount::network
