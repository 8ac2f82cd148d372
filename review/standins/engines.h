// A group of model runners in lock-step, and plain runners.

#pragma once

#include "record.h"
#include "store.h"

#include <numeric>
#include <optional>
#include <random>
#include <set>

namespace review
{

/// What a runner has received: its id by request.
class Arrivals
{
public:
    void add(const std::string &request, const std::string &runner)
    {
        const std::lock_guard lock(mutex_);
        runners_[request].push_back(runner);
    }

    std::vector<std::string> of(const std::string &request)
    {
        const std::lock_guard lock(mutex_);
        return runners_[request];
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> runners_;
};

inline std::string answerFields(const Message &request, const std::string &runner)
{
    return "X-Request-Id: " + request.field("X-Request-Id") + "\r\nX-Response-Seal: seal." + request.field("X-Request-Id") + "\r\nX-Instance-Id: " + runner
        + "\r\n";
}

/// Runner of a plain service: answers each request after its work, @p slots at a time.
class PlainRunner
{
public:
    PlainRunner(const std::string &ip, std::string id, double workMs, int slots, Arrivals &arrivals)
        : id_(std::move(id)), workMs_(workMs), slots_(slots), arrivals_(arrivals), listener_(ip, [this](Socket &socket) { serve(socket); })
    { }

    const std::string &address() const
    {
        return listener_.address();
    }

private:
    void serve(Socket &socket)
    {
        Message request;
        while (socket.read(request, 60'000) == ReadResult::Complete) {
            if (request.field("X-Expect-Instance") != id_ && !request.field("X-Expect-Instance").empty()) {
                socket.write(response(421, "", "X-Instance-Id: " + id_ + "\r\n"));
                continue;
            }
            if (++running_ > slots_) {
                --running_;
                socket.write(response(503, "", "X-Request-Id: " + request.field("X-Request-Id") + "\r\nX-Not-Executed: 1\r\n"));
                continue;
            }
            arrivals_.add(request.field("X-Request-Id"), id_);
            sleepMs(workMs_);
            --running_;
            if (!socket.write(response(200, "done", answerFields(request, id_)))) {
                return;
            }
        }
    }

    std::string id_;
    double workMs_;
    int slots_;
    std::atomic<int> running_{0};
    Arrivals &arrivals_;
    Listener listener_;
};

struct GroupLayout
{
    int ranks = 12;
    int sets = 4;
    int experts = 72;
    double copyMs = 35; ///< For one expert.
    // The engine of the service, see CONFIG.
    int stride = 5; ///< Steps a pass, and tokens an event.
    double stepMs = 5.85;
    double perSequenceMs = 0.355;
    double contextPerThousandMs = 0.036;
    double readPerMs = 61.2;
    int chunk = 512;
    double expertShare = 0.85;
    double shiftShare = 0.7; ///< Of the demand that changes with the topic.
};

using ExpertMap = std::vector<std::vector<std::vector<int>>>; ///< By set and rank.

/// All ranks of one group. A pass begins for all of them at once.
class Group
{
public:
    Group(const GroupLayout &layout, const std::string &network, Arrivals &arrivals, Record &record)
        : layout_(layout), arrivals_(arrivals), record_(record), ranks_(static_cast<size_t>(layout.ranks))
    {
        bornMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        for (size_t i = 0; i < ranks_.size(); ++i) {
            Rank &rank = ranks_[i];
            rank.id = "i-rank" + std::to_string(i);
            rank.map.content.resize(static_cast<size_t>(layout.sets));
            rank.counts.assign(static_cast<size_t>(layout.sets * layout.experts), 0);
            rank.listener = std::make_unique<Listener>(network + std::to_string(i + 1), [this, i](Socket &socket) { serve(i, socket); });
        }
        std::thread([this] { passes(); }).detach();
    }

    const std::string &address(int rank) const
    {
        return ranks_[static_cast<size_t>(rank)].listener->address();
    }

    std::string registration(int rank, const std::string &service, const std::string &zone) const
    {
        return R"({"service":")" + service + R"(","address":")" + address(rank) + R"(","zone":")" + zone
            + R"(","version":"v1","slots":12,"state":"ready","cold_remaining_ms":0,"sequence":0,"born":)" + std::to_string(bornMs_) + "}";
    }

    std::string id(int rank) const
    {
        return ranks_[static_cast<size_t>(rank)].id;
    }

    /// Prompts choose other experts from now on.
    void shiftDemand()
    {
        const std::lock_guard lock(mutex_);
        topic_ = random_() % 1000;
    }

    /// When the last prepare order was carried out, 0 before the first.
    double lastPrepareAt()
    {
        const std::lock_guard lock(mutex_);
        return lastPrepareAt_;
    }

    /// Passes that began while ranks had different maps.
    int mixedPasses()
    {
        const std::lock_guard lock(mutex_);
        return mixedPasses_;
    }

    int64_t step()
    {
        const std::lock_guard lock(mutex_);
        return step_;
    }

    int switches()
    {
        const std::lock_guard lock(mutex_);
        return switches_;
    }

    using DelayOrder = std::function<std::optional<double>(int rank, const Json::Value &order)>;

    /// @p delay decides on an order before it is carried out. Empty: at once; else it gets no answer and is carried out after so many ms.
    void setDelay(DelayOrder delay)
    {
        const std::lock_guard lock(mutex_);
        delayOrder_ = std::move(delay);
    }

    using ExtraAnswer = std::function<bool(int rank, const Json::Value &order)>;

    /// @p extra decides whether a second copy of the last answer of @p rank comes late, at the point where the answer to an order is expected.
    /// Asked only where that last answer was one to a call without effects.
    void setExtraAnswers(ExtraAnswer extra)
    {
        const std::lock_guard lock(mutex_);
        extraAnswer_ = std::move(extra);
    }

    /// When @p rank last carried out a prepare order.
    double preparedRankAt(int rank)
    {
        const std::lock_guard lock(mutex_);
        return ranks_[static_cast<size_t>(rank)].orderedAt;
    }

private:
    struct Map
    {
        int64_t version = 0;
        Json::Value content; ///< As it was prepared; null for map 0.
    };

    struct Rank
    {
        std::string id;
        std::unique_ptr<Listener> listener;
        Map map;
        std::optional<Map> prepared;
        double preparedAt = 0; ///< When the copy is complete.
        double orderedAt = 0; ///< When the last prepare was carried out.
        int64_t highestVersion = 0;
        int64_t sequence = 0;
        int64_t fence = 0;
        std::optional<int64_t> armedStep;
        std::optional<int64_t> heldStep;
        std::vector<int64_t> counts;
        int running = 0;
        int64_t context = 0; ///< Tokens of the requests that are running.
        int64_t unread = 0; ///< Tokens of prompts.
    };

    void passes()
    {
        while (true) {
            double lasts = IDLE_MS;
            {
                const std::lock_guard lock(mutex_);
                const bool busy = std::any_of(ranks_.begin(), ranks_.end(), [](const Rank &rank) { return rank.running > 0; });
                const bool held = std::any_of(ranks_.begin(), ranks_.end(), [this](const Rank &rank) { return rank.heldStep && *rank.heldStep <= step_ + 1; });
                if (busy && !held) {
                    beginPass();
                    lasts = passMs();
                }
            }
            passBegun_.notify_all();
            sleepMs(lasts);
        }
    }

    /// How long the pass that has begun lasts (PROTOCOL.md, "Requests"): the part of the slowest rank for itself, and set by set that of the rank whose
    /// experts are chosen most.
    double passMs()
    {
        double slowest = 0;
        double sum = 0;
        for (Rank &rank : ranks_) {
            const int64_t read = std::min<int64_t>(rank.unread, layout_.stride * layout_.chunk);
            rank.unread -= read;
            const double steps = layout_.stride
                * (layout_.stepMs + layout_.perSequenceMs * rank.running + layout_.contextPerThousandMs * static_cast<double>(rank.context) / 1000);
            const double work = steps + static_cast<double>(read) / layout_.readPerMs;
            slowest = std::max(slowest, work);
            sum += work;
        }
        return (1 - layout_.expertShare) * slowest + layout_.expertShare * sum / layout_.ranks * unevenness();
    }

    /// The load of the most loaded rank by that of the mean, over all sets.
    double unevenness()
    {
        if (unevennessOf_ == std::pair(ranks_.front().map.version, topic_)) {
            return unevenness_;
        }
        unevennessOf_ = {ranks_.front().map.version, topic_};
        unevenness_ = 0;
        std::vector<Json::Value> held;
        for (size_t i = 0; i < ranks_.size(); ++i) {
            held.push_back(lists(i, ranks_[i].map)["experts"]);
        }
        for (int set = 0; set < layout_.sets; ++set) {
            std::vector<int> places(static_cast<size_t>(layout_.experts));
            for (const Json::Value &experts : held) {
                for (const Json::Value &expert : experts[set]) {
                    ++places[expert.asUInt()];
                }
            }
            const std::vector<double> demand = demandOf(set);
            double most = 0;
            for (const Json::Value &experts : held) {
                double load = 0;
                for (const Json::Value &expert : experts[set]) {
                    load += demand[expert.asUInt()] / places[expert.asUInt()];
                }
                most = std::max(most, load);
            }
            unevenness_ += most * layout_.ranks / std::accumulate(demand.begin(), demand.end(), 0.0) / layout_.sets;
        }
        return unevenness_;
    }

    void beginPass()
    {
        ++step_;
        for (Rank &rank : ranks_) {
            if (rank.armedStep == step_) {
                rank.map = *rank.prepared;
                rank.armedStep.reset();
                rank.prepared.reset();
            }
        }
        const Map &first = ranks_.front().map;
        for (size_t i = 1; i < ranks_.size(); ++i) {
            const Map &other = ranks_[i].map;
            if (other.version != first.version || other.content != first.content) {
                ++mixedPasses_;
                record_.line("pass " + std::to_string(step_) + " begins on different maps: rank 0 has version " + std::to_string(first.version) + ", rank "
                             + std::to_string(i) + " has version " + std::to_string(other.version)
                             + (other.version == first.version ? " with another content" : ""));
                break;
            }
        }
        if (first.version != lastVersion_) {
            ++switches_;
            lastVersion_ = first.version;
            record_.line("pass " + std::to_string(step_) + " begins on map " + std::to_string(first.version));
        }
    }

    void serve(size_t index, Socket &socket)
    {
        Message request;
        std::string lastRead; ///< The last answer on this connection, if it was one to a reading.
        while (socket.read(request, 60'000) == ReadResult::Complete) {
            const std::string expected = request.field("X-Expect-Instance");
            if (!expected.empty() && expected != ranks_[index].id) {
                socket.write(response(421, "", "X-Instance-Id: " + ranks_[index].id + "\r\n"));
                continue;
            }
            const std::string target = request.target();
            if (!target.starts_with("/-/")) {
                if (!stream(index, request, socket)) {
                    return;
                }
                continue;
            }
            const std::string requestId = request.field("X-Request-Id");
            const std::string fields = "Content-Type: application/json\r\n" + (requestId.empty() ? "" : "X-Request-Id: " + requestId + "\r\n");
            std::string answer;
            if (target == "/-/report") {
                answer = lastRead = response(200, report(index), fields);
            } else if (target.starts_with("/-/picked")) {
                answer = lastRead = response(200, picked(index, target.find("lists") != std::string::npos), fields);
            } else {
                const Json::Value order = parseJson(request.body);
                if (!lastRead.empty() && isExtra(index, order)) {
                    record_.line("rank " + std::to_string(index)
                                 + " sends its last answer, to a reading, once more where that to this order is expected: " + describe(order));
                    socket.write(lastRead);
                }
                lastRead.clear();
                if (const std::optional<int> status = takeOrder(index, order)) {
                    answer = response(*status, "{}", fields);
                }
            }
            if (!answer.empty() && !socket.write(answer)) {
                return;
            }
        }
    }

    /// Carries out an order and returns the status of the answer; empty if there is none.
    std::optional<int> takeOrder(size_t index, const Json::Value &order)
    {
        const std::string text = "rank " + std::to_string(index) + " ";
        int status = acceptFence(index, order) ? 0 : 412;
        if (const std::optional<double> delay = status == 0 ? delayOf(index, order) : std::nullopt) {
            record_.line(text + "leaves unanswered: " + describe(order));
            std::thread([this, text, index, order, ms = *delay] {
                sleepMs(ms);
                const int lateStatus = carryOut(index, order);
                record_.line(text + "carries out late: " + describe(order) + " -> " + std::to_string(lateStatus));
            }).detach();
            return std::nullopt;
        }
        status = status == 0 ? carryOut(index, order) : status;
        record_.line(text + describe(order) + " -> " + std::to_string(status));
        return status;
    }

    static std::string describe(const Json::Value &order)
    {
        Json::Value shown = order;
        shown.removeMember("map");
        return writeJson(shown);
    }

    std::string report(size_t index)
    {
        const std::lock_guard lock(mutex_);
        const Rank &rank = ranks_[index];
        Json::Value json;
        json["stage"] = "mixed";
        json["busy"] = rank.prepared && seconds() < rank.preparedAt;
        json["sequence"] = static_cast<Json::Int64>(rank.sequence);
        json["waiting"] = 0;
        json["running"] = rank.running;
        json["kv_used"] = 0;
        json["kv_total"] = 372000;
        json["pace"] = 1.0;
        json["born"] = static_cast<Json::Int64>(bornMs_);
        json["group"]["name"] = "g0";
        json["group"]["epoch"] = 1;
        json["group"]["rank"] = static_cast<Json::Int64>(index);
        json["group"]["state"] = "open";
        json["group"]["size"] = layout_.ranks;
        json["size"] = layout_.ranks;
        json["step"] = static_cast<Json::Int64>(step_);
        json["map"] = static_cast<Json::Int64>(rank.map.version);
        if (rank.prepared && seconds() >= rank.preparedAt) {
            json["prepared"] = static_cast<Json::Int64>(rank.prepared->version);
        }
        if (rank.armedStep) {
            json["armed"]["version"] = static_cast<Json::Int64>(rank.prepared->version);
            json["armed"]["step"] = static_cast<Json::Int64>(*rank.armedStep);
        }
        if (rank.heldStep) {
            json["held"] = static_cast<Json::Int64>(*rank.heldStep);
        }
        return writeJson(json);
    }

    Json::Value lists(size_t index, const Map &map) const
    {
        Json::Value json;
        json["version"] = static_cast<Json::Int64>(map.version);
        json["experts"] = Json::arrayValue;
        for (int set = 0; set < layout_.sets; ++set) {
            Json::Value experts(Json::arrayValue);
            if (map.version == 0) {
                for (int expert = static_cast<int>(index); expert < layout_.experts; expert += layout_.ranks) {
                    experts.append(expert);
                }
            } else {
                experts = map.content[static_cast<Json::ArrayIndex>(set)][static_cast<Json::ArrayIndex>(index)];
            }
            json["experts"].append(experts);
        }
        return json;
    }

    std::string picked(size_t index, bool withLists)
    {
        const std::lock_guard lock(mutex_);
        const Rank &rank = ranks_[index];
        Json::Value json;
        json["step"] = static_cast<Json::Int64>(step_);
        json["epoch"] = 1;
        if (withLists) {
            json["map"] = lists(index, rank.map);
            if (rank.prepared && seconds() >= rank.preparedAt) {
                json["prepared"] = lists(index, *rank.prepared);
            }
        } else {
            json["counts"] = Json::arrayValue;
            for (const int64_t count : rank.counts) {
                json["counts"].append(static_cast<Json::Int64>(count));
            }
        }
        return writeJson(json);
    }

    int newExperts(size_t index, const Json::Value &content) const
    {
        int most = 0;
        const Json::Value held = lists(index, ranks_[index].map)["experts"];
        for (Json::ArrayIndex set = 0; set < content.size(); ++set) {
            std::set<int> known;
            for (const Json::Value &expert : held[set]) {
                known.insert(expert.asInt());
            }
            int added = 0;
            for (const Json::Value &expert : content[set][static_cast<Json::ArrayIndex>(index)]) {
                added += known.contains(expert.asInt()) ? 0 : 1;
            }
            most += added;
        }
        return most;
    }

    bool isExtra(size_t index, const Json::Value &order)
    {
        const std::lock_guard lock(mutex_);
        return extraAnswer_ && extraAnswer_(static_cast<int>(index), order);
    }

    std::optional<double> delayOf(size_t index, const Json::Value &order)
    {
        const std::lock_guard lock(mutex_);
        return delayOrder_ ? delayOrder_(static_cast<int>(index), order) : std::nullopt;
    }

    /// An order is checked for its fencing token as it arrives, for all else as it is carried out.
    bool acceptFence(size_t index, const Json::Value &order)
    {
        const std::lock_guard lock(mutex_);
        int64_t &seen = ranks_[index].fence;
        const int64_t token = order.isMember("fencing_token") ? order["fencing_token"].asInt64() : seen;
        if (token < seen) {
            return false;
        }
        seen = token;
        return true;
    }

    int carryOut(size_t index, const Json::Value &order)
    {
        const std::lock_guard lock(mutex_);
        Rank &rank = ranks_[index];
        const std::string operation = order["operation"].asString();
        const bool wrongEpoch = order.isMember("epoch") && order["epoch"].asInt64() != 1;
        const bool wrongSequence = order.isMember("expected") && order["expected"].asInt64() != rank.sequence;
        if (wrongEpoch || wrongSequence) {
            return 409;
        }
        const int64_t version = order["version"].asInt64();
        const int64_t step = order["step"].asInt64();
        const bool isPrepared = rank.prepared && rank.prepared->version == version && seconds() >= rank.preparedAt;
        if (operation == "prepare") {
            if (version <= rank.highestVersion || rank.armedStep) {
                return 409;
            }
            rank.highestVersion = version;
            rank.prepared = Map{version, order["map"]};
            rank.preparedAt = seconds() + layout_.copyMs * newExperts(index, order["map"]) / 1000;
            ++rank.sequence;
            lastPrepareAt_ = rank.orderedAt = seconds();
            return 202;
        }
        if (operation == "hold") {
            if (rank.heldStep) {
                return *rank.heldStep == step ? 200 : 409;
            }
            if (step <= step_) {
                return 409;
            }
            rank.heldStep = step;
            return 200;
        }
        if (operation == "go") {
            if (rank.heldStep != step) {
                return 409;
            }
            rank.heldStep.reset();
            return 200;
        }
        if (operation == "arm") {
            if (!isPrepared || step <= step_) {
                return 409;
            }
            rank.armedStep = step;
            return 200;
        }
        if (operation == "disarm") {
            if (rank.map.version == version) {
                return 409;
            }
            if (rank.armedStep && rank.prepared->version == version) {
                rank.armedStep.reset();
            }
            return 200;
        }
        return 400;
    }

    /// Runs a stream: an event a pass.
    bool stream(size_t index, const Message &request, Socket &socket)
    {
        arrivals_.add(request.field("X-Request-Id"), ranks_[index].id);
        const std::string usage = request.field("X-Token-Usage");
        const int prompt = std::atoi(usage.c_str());
        const size_t comma = usage.find(',');
        const int events = std::max(1, (comma == std::string::npos ? 100 : std::atoi(usage.c_str() + comma + 1)) / layout_.stride);
        std::unique_lock lock(mutex_);
        Rank &rank = ranks_[index];
        ++rank.running;
        rank.context += prompt;
        rank.unread += prompt;
        choose(rank, prompt);
        int64_t seen = step_;
        bool open = true;
        int next = std::atoi(request.field("Last-Event-Id").c_str()) + (request.field("Last-Event-Id").empty() ? 0 : 1);
        bool started = false;
        for (; next < events && open; ++next) {
            passBegun_.wait_for(lock, std::chrono::milliseconds(500), [&] { return step_ > seen; });
            while (step_ == seen && open) {
                open = !socket.peerClosed();
                passBegun_.wait_for(lock, std::chrono::milliseconds(200), [&] { return step_ > seen; });
            }
            seen = step_;
            lock.unlock();
            if (!started) {
                started = true;
                open = socket.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\n"
                                    + answerFields(request, rank.id) + "\r\n");
            }
            const std::string event = "id: " + std::to_string(next) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            open = open && !socket.peerClosed() && socket.write(size + event + "\r\n");
            lock.lock();
        }
        --rank.running;
        rank.context -= prompt;
        lock.unlock();
        return open && socket.write("0\r\n\r\n");
    }

    /// How often each expert of @p set is chosen: a few far more often than the others. A share of that stays as topics change.
    std::vector<double> demandOf(int set) const
    {
        std::vector<double> demand(static_cast<size_t>(layout_.experts));
        for (const auto &[topic, share] : {std::pair(0U, 1 - layout_.shiftShare), std::pair(topic_, layout_.shiftShare)}) {
            std::mt19937 order(topic * 31 + static_cast<unsigned>(set) + 1);
            std::vector<size_t> ranking(demand.size());
            std::iota(ranking.begin(), ranking.end(), 0);
            std::shuffle(ranking.begin(), ranking.end(), order);
            for (size_t place = 0; place < ranking.size(); ++place) {
                demand[ranking[place]] += share / (1.0 + static_cast<double>(place));
            }
        }
        return demand;
    }

    /// Counts the experts that the tokens of a prompt choose.
    void choose(Rank &rank, int prompt)
    {
        for (int set = 0; set < layout_.sets; ++set) {
            const std::vector<double> demand = demandOf(set);
            for (size_t expert = 0; expert < demand.size(); ++expert) {
                rank.counts[static_cast<size_t>(set * layout_.experts) + expert] += static_cast<int64_t>(prompt * 8 * demand[expert] / 2);
            }
        }
    }

    static constexpr double IDLE_MS = 5;

    GroupLayout layout_;
    Arrivals &arrivals_;
    Record &record_;
    int64_t bornMs_ = 0;
    std::mutex mutex_;
    std::condition_variable passBegun_;
    std::vector<Rank> ranks_;
    int64_t step_ = 0;
    int64_t lastVersion_ = 0;
    int mixedPasses_ = 0;
    int switches_ = 0;
    double lastPrepareAt_ = 0;
    DelayOrder delayOrder_;
    ExtraAnswer extraAnswer_;
    unsigned topic_ = 1;
    double unevenness_ = 1;
    std::pair<int64_t, unsigned> unevennessOf_{-1, 0}; ///< Version of the map and topic.
    std::minstd_rand random_{7};
};

} // namespace review
