// Passes, streams and orders of the simulated rank group.

#include "soak/rankgroup.h"

#include "framework/json.h"
#include "transport/httpserver.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>
#include <set>

namespace daisymount::soak
{

namespace
{
using gateway::tests::ReceivedRequest;

constexpr int OK = 200;
constexpr int ACCEPTED = 202;
constexpr int BAD_ORDER = 400;
constexpr int CONFLICT = 409;
constexpr int FENCED = 412;
constexpr milliseconds IDLE_INTERVAL{5};
constexpr milliseconds STREAM_POLL_INTERVAL{20};
constexpr milliseconds WRITE_TIMEOUT{3'000};
constexpr int SELECTIONS_PER_STREAM = 4'000;
/// A replaced rank returns after this time.
constexpr milliseconds DOWN_TIME{1'000};
const std::string ID_PREFIX = "i-rank";
constexpr double MICROSECONDS_PER_MS = 1'000.0;

std::string reply(int status, const std::string &body, const std::string &fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Json::Value parse(const std::string &text)
{
    Json::Value json(Json::objectValue);
    framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(json, framework::parseJsonObject(text));
        return {};
    });
    return json;
}
} // namespace

RankGroup::RankGroup(asio::any_io_executor executor, const RankGroupOptions &options, const std::string &network, unsigned seed)
    : executor_(std::move(executor)), options_(options), network_(network), random_(seed), ranks_(static_cast<size_t>(options.ranks))
{
    for (int i = 0; i < options.ranks; ++i) {
        Rank &rank = ranks_[static_cast<size_t>(i)];
        rank.counts.assign(static_cast<size_t>(options.sets) * static_cast<size_t>(options.experts), 0);
        listen(i, options.port);
    }
    asio::co_spawn(executor_, passes(), asio::detached);
}

void RankGroup::listen(int rank, uint16_t port)
{
    Rank &state = ranks_[static_cast<size_t>(rank)];
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(network_ + std::to_string(rank + 1)), port);
    state.acceptor = transport::listenAt(executor_, endpoint, [this, rank](transport::ConnectionPtr connection) {
        ranks_[static_cast<size_t>(rank)].connections.push_back(connection);
        asio::co_spawn(executor_, serve(rank, std::move(connection)), asio::detached);
    });
}

bool RankGroup::isOpen() const
{
    return ranksAway_ == 0 && framework::monotonicNow() >= opensAt_;
}

void RankGroup::breakOff()
{
    for (const std::shared_ptr<Stream> &stream : streams_) {
        if (!stream->ended) {
            stream->ended = true;
            runs_[stream->requestId].brokenOff = true;
            stream->connection->reset();
        }
    }
}

void RankGroup::beginEpoch()
{
    ++epoch_;
    for (Rank &rank : ranks_) {
        rank.map = PreparedMap{};
        rank.prepared.reset();
        rank.armedPass.reset();
        rank.heldPass.reset();
    }
    opensAt_ = framework::monotonicNow() + options_.formTime;
    onEvent("the group forms in epoch " + std::to_string(epoch_));
}

asio::awaitable<void> RankGroup::replace(int rank, std::function<void(const std::string &id, bool registered)> update)
{
    Rank &state = ranks_[static_cast<size_t>(rank)];
    if (state.draining) {
        co_return;
    }
    const std::string old = id(rank);
    state.draining = true;
    update(old, true);
    onEvent(old + " drains");
    co_await serveOn(state, options_.drainTime + milliseconds{200 + random_() % 2'000});
    const uint16_t port = state.acceptor->local_endpoint().port();
    boost::system::error_code ignored;
    state.acceptor->close(ignored);
    ++ranksAway_;
    ++state.starts;
    breakOff();
    for (const auto &weak : state.connections) {
        if (const transport::ConnectionPtr connection = weak.lock()) {
            connection->close();
        }
    }
    state.connections.clear();
    update(old, false);
    onEvent(old + " has ended");
    co_await transport::sleepFor(DOWN_TIME);
    state.draining = false;
    state.leavingSince = Instant{0};
    std::ranges::fill(state.counts, 0);
    listen(rank, port);
    --ranksAway_;
    beginEpoch();
    update(id(rank), true);
}

RankGroup::Rank *RankGroup::rankWithId(const std::string &id)
{
    for (int i = 0; i < options_.ranks; ++i) {
        if (this->id(i) == id) {
            return &ranks_[static_cast<size_t>(i)];
        }
    }
    return nullptr;
}

asio::awaitable<void> RankGroup::serveOn(Rank &rank, Duration duration)
{
    while (rank.leavingSince == Instant{0} || framework::monotonicNow() < rank.leavingSince + duration) {
        co_await transport::sleepFor(STREAM_POLL_INTERVAL);
    }
}

void RankGroup::acknowledged(const std::string &id)
{
    Rank *rank = rankWithId(id);
    if (rank != nullptr && rank->draining) {
        rank->leavingSince = framework::monotonicNow();
    }
}

void RankGroup::lost(const std::string &id)
{
    if (Rank *rank = rankWithId(id)) {
        rank->leavingSince = Instant{0};
    }
}

std::string RankGroup::id(int rank) const
{
    const int starts = ranks_[static_cast<size_t>(rank)].starts;
    return ID_PREFIX + std::to_string(rank) + (starts > 1 ? "-" + std::to_string(starts) : std::string());
}

int RankGroup::rankOf(const std::string &id) const
{
    return std::atoi(id.c_str() + ID_PREFIX.size());
}

bool RankGroup::usesPort(int first, int end) const
{
    return std::ranges::any_of(ranks_, [&](const Rank &rank) {
        const int port = rank.acceptor->local_endpoint().port();
        return port >= first && port < end;
    });
}

milliseconds RankGroup::drainTime() const
{
    return options_.drainTime;
}

std::string RankGroup::address(int rank) const
{
    return network_ + std::to_string(rank + 1) + ":" + std::to_string(ranks_[static_cast<size_t>(rank)].acceptor->local_endpoint().port());
}

std::string RankGroup::registration(int rank, const std::string &service, const std::string &zone) const
{
    return R"({"service":")" + service + R"(","address":")" + address(rank) + R"(","zone":")" + zone + R"(","version":"v1","slots":)"
        + std::to_string(options_.slots) + R"(,"state":")" + (ranks_[static_cast<size_t>(rank)].draining ? "draining" : "ready")
        + R"(","cold_remaining_ms":0,"sequence":)" + std::to_string(ranks_[static_cast<size_t>(rank)].draining ? 1 : 0) + R"(,"born":)"
        + std::to_string(bornMs_ + ranks_[static_cast<size_t>(rank)].starts) + "}";
}

void RankGroup::shiftDemand()
{
    topic_ = static_cast<unsigned>(random_() % 1'000);
}

const UpstreamRun *RankGroup::run(const std::string &requestId) const
{
    const auto found = runs_.find(requestId);
    return found == runs_.end() ? nullptr : &found->second;
}

Duration RankGroup::latestArrival() const
{
    return latestArrival_;
}

int RankGroup::mixedPasses() const
{
    return mixedPasses_;
}

Duration RankGroup::meanPass() const
{
    return pass_ == 0 ? Duration{0} : passSum_ / pass_;
}

int RankGroup::switches() const
{
    return switches_;
}

Duration RankGroup::longestStand() const
{
    return longestStand_;
}

asio::awaitable<void> RankGroup::passes()
{
    bool standing = false;
    while (true) {
        std::erase_if(streams_, [](const auto &stream) { return stream->ended; });
        const bool held = std::ranges::any_of(ranks_, [this](const Rank &rank) { return rank.heldPass && *rank.heldPass <= pass_ + 1; });
        const Instant now = framework::monotonicNow();
        if (streams_.empty() || !isOpen()) {
            lastPassAt_ = now;
        }
        if (streams_.empty() || !isOpen() || held) {
            if (!streams_.empty()) {
                longestStand_ = std::max<Duration>(longestStand_, now - lastPassAt_);
                if (!standing && now - lastPassAt_ > milliseconds{300}) {
                    standing = true;
                    onEvent("the group stands before pass " + std::to_string(pass_ + 1));
                }
            }
            co_await transport::sleepFor(IDLE_INTERVAL);
            continue;
        }
        if (standing) {
            onEvent("the group stood for " + std::to_string((now - lastPassAt_).count() / 1000) + " ms");
            standing = false;
        }
        lastPassAt_ = now;
        beginPass();
        const Duration length = passTime();
        passSum_ += length;
        co_await transport::sleepFor(length);
        for (const std::shared_ptr<Stream> &stream : streams_) {
            if (stream->inPass && ranksAway_ == 0) {
                writeEvent(stream);
            }
        }
    }
}

void RankGroup::beginPass()
{
    ++pass_;
    for (Rank &rank : ranks_) {
        if (rank.armedPass == pass_ && rank.prepared) {
            rank.map = *rank.prepared;
            rank.armedPass.reset();
            rank.prepared.reset();
        }
    }
    const PreparedMap &first = ranks_.front().map;
    const bool mixed = std::ranges::any_of(ranks_, [&](const Rank &rank) { return rank.map.version != first.version || rank.map.content != first.content; });
    if (mixed) {
        ++mixedPasses_;
        onEvent("pass " + std::to_string(pass_) + " begins on different maps");
    }
    if (first.version != lastVersion_) {
        lastVersion_ = first.version;
        ++switches_;
    }
}

double RankGroup::processRank(int rank)
{
    const fleet::EngineProfile &timing = *options_.timing;
    const Instant now = framework::monotonicNow();
    int admitted = 0;
    int decoding = 0;
    int contextTokens = 0;
    int promptBudget = timing.chunkTokens * timing.stepsPerPass;
    int promptTokens = 0;
    for (const std::shared_ptr<Stream> &stream : streams_) {
        stream->inPass = stream->rank == rank ? false : stream->inPass;
        if (stream->rank != rank || stream->ended || now < stream->receivedAt + options_.timeToFirstPass || admitted == options_.slots) {
            continue;
        }
        ++admitted;
        const int read = std::min(stream->promptTokensLeft, promptBudget);
        stream->promptTokensLeft -= read;
        stream->contextTokens += read;
        promptBudget -= read;
        promptTokens += read;
        if (stream->promptTokensLeft > 0) {
            continue;
        }
        ++decoding;
        contextTokens += stream->contextTokens;
        stream->inPass = true;
    }
    const double stepMs
        = timing.stepMs + timing.stepMsPerSequence * decoding + timing.stepMsPerThousandContextTokens * static_cast<double>(contextTokens) / 1'000.0;
    return timing.stepsPerPass * stepMs + promptTokens * 1'000.0 / timing.promptTokensPerSecond;
}

Duration RankGroup::passTime()
{
    if (!options_.timing) {
        for (const std::shared_ptr<Stream> &stream : streams_) {
            stream->inPass = true;
        }
        return std::chrono::duration_cast<Duration>(options_.balancedPass * (0.6 + 0.4 * skew()));
    }
    double slowestMs = 0;
    double sumMs = 0;
    for (int rank = 0; rank < options_.ranks; ++rank) {
        const double ms = processRank(rank);
        slowestMs = std::max(slowestMs, ms);
        sumMs += ms;
    }
    const double expertShare = options_.timing->experts ? options_.timing->experts->workShare : 0.0;
    const double ms = (1.0 - expertShare) * slowestMs + expertShare * skew() * sumMs / options_.ranks;
    return Duration{static_cast<int64_t>(ms * MICROSECONDS_PER_MS)};
}

double RankGroup::skew() const
{
    double skew = 0;
    for (int set = 0; set < options_.sets; ++set) {
        const std::vector<double> share = demand(set);
        std::vector<int> holders(share.size(), 0);
        std::vector<std::vector<int>> held(ranks_.size());
        for (int rank = 0; rank < options_.ranks; ++rank) {
            const Json::Value lists = expertsOf(rank, ranks_[static_cast<size_t>(rank)].map);
            for (const Json::Value &expert : lists[set]) {
                held[static_cast<size_t>(rank)].push_back(expert.asInt());
                ++holders[static_cast<size_t>(expert.asInt())];
            }
        }
        double most = 0;
        for (const std::vector<int> &experts : held) {
            double load = 0;
            for (const int expert : experts) {
                load += share[static_cast<size_t>(expert)] / holders[static_cast<size_t>(expert)];
            }
            most = std::max(most, load);
        }
        skew += most * options_.ranks / options_.sets;
    }
    return skew;
}

void RankGroup::writeEvent(const std::shared_ptr<Stream> &stream)
{
    if (stream->ended) {
        return;
    }
    std::string bytes;
    if (!stream->started) {
        stream->started = true;
        bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: " + stream->requestId
            + "\r\nX-Response-Seal: seal\r\nX-Instance-Id: " + id(stream->rank) + "\r\n\r\n";
    }
    const std::string event = "id: " + std::to_string(stream->next) + "\ndata: token\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    bytes += size.data() + event + "\r\n";
    UpstreamRun &run = runs_[stream->requestId];
    run.lastEventAt = framework::monotonicNow();
    if (++stream->next >= stream->events) {
        bytes += "0\r\n\r\n";
        stream->ended = run.finished = true;
    }
    asio::co_spawn(executor_, gateway::tests::send(stream->connection, std::move(bytes)), asio::detached);
}

asio::awaitable<void> RankGroup::serve(int rank, transport::ConnectionPtr connection)
{
    const int incarnation = ranks_[static_cast<size_t>(rank)].starts;
    while (connection->open()) {
        const std::optional<ReceivedRequest> request = co_await gateway::tests::readRequest(*connection);
        if (!request || ranks_[static_cast<size_t>(rank)].starts != incarnation) {
            break;
        }
        const std::string expected = request->field("X-Expect-Instance");
        if (!expected.empty() && expected != id(rank)) {
            co_await connection->write(reply(421, ""), WRITE_TIMEOUT);
            continue;
        }
        if (request->target.starts_with("/-/")) {
            co_await connection->write(answer(rank, *request), WRITE_TIMEOUT);
            continue;
        }
        onArrival(rank, request->field("X-Request-Id"));
        noteArrival(rank, request->field("X-Request-Id"));
        if (!isOpen() || ranks_[static_cast<size_t>(rank)].running >= options_.slots + options_.queue) {
            co_await connection->write(reply(503, "", "X-Request-Id: " + request->field("X-Request-Id") + "\r\nX-Not-Executed: 1\r\n"), WRITE_TIMEOUT);
        } else {
            co_await runStream(rank, connection, *request);
        }
    }
    connection->close();
}

asio::awaitable<void> RankGroup::runStream(int rank, transport::ConnectionPtr connection, ReceivedRequest request)
{
    const std::string usage = request.field("X-Token-Usage");
    const int tokens = std::atoi(usage.substr(usage.find(',') + 1).c_str());
    const std::string lastEventId = request.field("Last-Event-Id");
    const auto stream = std::make_shared<Stream>();
    stream->connection = connection;
    stream->requestId = request.field("X-Request-Id");
    stream->rank = rank;
    stream->next = lastEventId.empty() ? 0 : std::atoi(lastEventId.c_str()) + 1;
    stream->events = std::max(stream->next + 1, eventsOf(stream->requestId).value_or(tokens / options_.tokensPerEvent));
    stream->promptTokensLeft = std::atoi(usage.c_str());
    stream->receivedAt = framework::monotonicNow();
    runs_[stream->requestId] = UpstreamRun{framework::monotonicNow(), false, false};
    streams_.push_back(stream);
    Rank &state = ranks_[static_cast<size_t>(rank)];
    ++state.running;
    for (int set = 0; set < options_.sets; ++set) {
        const std::vector<double> share = demand(set);
        for (size_t expert = 0; expert < share.size(); ++expert) {
            state.counts[static_cast<size_t>(set * options_.experts) + expert] += static_cast<int64_t>(SELECTIONS_PER_STREAM * share[expert]);
        }
    }
    while (!stream->ended && connection->open()) {
        co_await transport::sleepFor(STREAM_POLL_INTERVAL);
    }
    stream->ended = true;
    --state.running;
}

void RankGroup::noteArrival(int rank, const std::string &requestId)
{
    const Instant leavingSince = ranks_[static_cast<size_t>(rank)].leavingSince;
    if (leavingSince == Instant{0}) {
        return;
    }
    const Duration late = framework::monotonicNow() - leavingSince;
    latestArrival_ = std::max(latestArrival_, late);
    if (late > options_.drainTime) {
        onLateArrival(requestId, late);
    }
}

std::string RankGroup::answer(int rank, const ReceivedRequest &request)
{
    const std::string requestId = request.field("X-Request-Id");
    const std::string fields = "Content-Type: application/json\r\n" + (requestId.empty() ? std::string() : "X-Request-Id: " + requestId + "\r\n");
    if (request.target == "/-/report") {
        return reply(OK, report(rank), fields);
    }
    if (request.target.starts_with("/-/picked")) {
        return reply(OK, counts(rank, request.target.find("lists") != std::string::npos), fields);
    }
    const Json::Value order = parse(request.body);
    const int status = carryOut(rank, order);
    onOrder(rank, status == FENCED);
    Json::Value shown = order;
    shown.removeMember("map");
    onEvent("rank " + std::to_string(rank) + " " + framework::writeJson(shown) + " -> " + std::to_string(status));
    return reply(status, "{}", fields);
}

std::string RankGroup::report(int rank) const
{
    const Rank &state = ranks_[static_cast<size_t>(rank)];
    const bool copied = state.prepared && framework::monotonicNow() >= state.copiedAt;
    Json::Value json;
    json["stage"] = "mixed";
    json["busy"] = state.prepared && !copied;
    json["sequence"] = static_cast<Json::Int64>(state.sequence);
    json["running"] = state.running;
    json["pace"] = 1.0;
    json["born"] = static_cast<Json::Int64>(bornMs_ + state.starts);
    json["group"]["name"] = "g0";
    json["group"]["epoch"] = static_cast<Json::Int64>(epoch_);
    json["group"]["rank"] = rank;
    json["group"]["state"] = isOpen() ? "open" : "broken";
    json["group"]["size"] = options_.ranks;
    json["size"] = options_.ranks;
    json["step"] = static_cast<Json::Int64>(pass_);
    json["map"] = static_cast<Json::Int64>(state.map.version);
    if (copied) {
        json["prepared"] = static_cast<Json::Int64>(state.prepared->version);
    }
    if (state.armedPass && state.prepared) {
        json["armed"]["version"] = static_cast<Json::Int64>(state.prepared->version);
        json["armed"]["step"] = static_cast<Json::Int64>(*state.armedPass);
    }
    if (state.heldPass) {
        json["held"] = static_cast<Json::Int64>(*state.heldPass);
    }
    return framework::writeJson(json);
}

Json::Value RankGroup::expertsOf(int rank, const PreparedMap &map) const
{
    Json::Value lists(Json::arrayValue);
    for (int set = 0; set < options_.sets; ++set) {
        Json::Value experts(Json::arrayValue);
        if (map.version == 0) {
            for (int expert = rank; expert < options_.experts; expert += options_.ranks) {
                experts.append(expert);
            }
        } else {
            experts = map.content[set][rank];
        }
        lists.append(experts);
    }
    return lists;
}

std::string RankGroup::counts(int rank, bool withLists) const
{
    const Rank &state = ranks_[static_cast<size_t>(rank)];
    Json::Value json;
    json["step"] = static_cast<Json::Int64>(pass_);
    json["epoch"] = static_cast<Json::Int64>(epoch_);
    if (withLists) {
        json["map"]["version"] = static_cast<Json::Int64>(state.map.version);
        json["map"]["experts"] = expertsOf(rank, state.map);
    } else {
        for (const int64_t count : state.counts) {
            json["counts"].append(static_cast<Json::Int64>(count));
        }
    }
    return framework::writeJson(json);
}

int RankGroup::newExperts(int rank, const Json::Value &content) const
{
    int added = 0;
    const Json::Value present = expertsOf(rank, ranks_[static_cast<size_t>(rank)].map);
    for (Json::ArrayIndex set = 0; set < content.size(); ++set) {
        std::set<int> known;
        for (const Json::Value &expert : present[set]) {
            known.insert(expert.asInt());
        }
        for (const Json::Value &expert : content[set][rank]) {
            added += known.contains(expert.asInt()) ? 0 : 1;
        }
    }
    return added;
}

int RankGroup::carryOut(int rank, const Json::Value &order)
{
    Rank &state = ranks_[static_cast<size_t>(rank)];
    const std::string operation = order["operation"].asString();
    if (order["fencing_token"].asInt64() < state.fencing) {
        return FENCED;
    }
    state.fencing = order["fencing_token"].asInt64();
    if (order["epoch"].asInt64() != epoch_ || (order.isMember("expected") && order["expected"].asInt64() != state.sequence)) {
        return CONFLICT;
    }
    const int64_t version = order["version"].asInt64();
    const int64_t pass = order["step"].asInt64();
    if (operation == "prepare") {
        if (version <= state.highestVersion || state.armedPass) {
            return CONFLICT;
        }
        state.highestVersion = version;
        state.prepared = PreparedMap{version, order["map"]};
        state.copiedAt = framework::monotonicNow() + options_.copyTime * newExperts(rank, order["map"]);
        ++state.sequence;
        return ACCEPTED;
    }
    if (operation == "hold") {
        if (state.heldPass || pass <= pass_) {
            return state.heldPass == pass ? OK : CONFLICT;
        }
        state.heldPass = pass;
        return OK;
    }
    if (operation == "go") {
        if (state.heldPass != pass) {
            return CONFLICT;
        }
        state.heldPass.reset();
        return OK;
    }
    if (operation == "arm") {
        const bool ready = state.prepared && state.prepared->version == version && framework::monotonicNow() >= state.copiedAt;
        if (!ready || pass <= pass_) {
            return CONFLICT;
        }
        state.armedPass = pass;
        return OK;
    }
    if (operation == "disarm") {
        if (state.map.version == version) {
            return CONFLICT;
        }
        if (state.prepared && state.prepared->version == version) {
            state.armedPass.reset();
        }
        return OK;
    }
    return BAD_ORDER;
}

std::vector<double> RankGroup::demand(int set) const
{
    std::vector<double> share(static_cast<size_t>(options_.experts));
    for (const auto &[topic, weight] : {std::pair(0U, 1 - options_.topicShare), std::pair(topic_, options_.topicShare)}) {
        std::minstd_rand order(topic * 31 + static_cast<unsigned>(set) + 1);
        std::vector<size_t> ranking(share.size());
        std::iota(ranking.begin(), ranking.end(), 0);
        std::shuffle(ranking.begin(), ranking.end(), order);
        for (size_t place = 0; place < ranking.size(); ++place) {
            share[ranking[place]] += weight / (5.0 * static_cast<double>(place + 1));
        }
    }
    return share;
}

} // namespace daisymount::soak
