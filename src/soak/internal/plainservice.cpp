// Requests, restarts and registrations of the simulated plain service.

#include "soak/plainservice.h"

#include "platform/standins/wireformat.h"
#include "transport/httpserver.h"

#include <algorithm>
#include <chrono>

namespace daisymount::soak
{

namespace
{
using gateway::tests::ReceivedRequest;

constexpr milliseconds WRITE_TIMEOUT{3'000};
/// An upstream that leaves serves on for this long after the drain time.
constexpr milliseconds MIN_LINGER{200};
constexpr int LINGER_SPREAD_MS = 3'000;
constexpr milliseconds DOWN_TIME{1'000};
constexpr milliseconds POLL_INTERVAL{20};
constexpr milliseconds EXPIRY{2'600};
/// One in so many upstreams leaves without a word: its registration is removed.
constexpr int SILENT_LEAVE_INTERVAL = 3;
constexpr size_t ANSWER_BYTES = 800;

int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}
} // namespace

PlainService::PlainService(asio::any_io_executor executor, std::string service, int slots, Amount workMs, std::vector<std::string> ips, unsigned seed)
    : executor_(std::move(executor)), service_(std::move(service)), slots_(slots), workMs_(workMs), random_(seed)
{
    for (size_t i = 0; i < ips.size(); ++i) {
        members_.push_back(std::make_unique<Member>());
        Member &member = *members_.back();
        member.ip = std::move(ips[i]);
        listen(member, 0);
        beginIncarnation(member, i);
    }
}

void PlainService::listen(Member &member, uint16_t port)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(member.ip), port);
    member.acceptor = transport::listenAt(executor_, endpoint, [this, &member](transport::ConnectionPtr connection) {
        member.connections.push_back(connection);
        asio::co_spawn(executor_, serve(member, std::move(connection)), asio::detached);
    });
    member.registration.address = member.ip + ":" + std::to_string(member.acceptor->local_endpoint().port());
}

void PlainService::beginIncarnation(Member &member, size_t number)
{
    ++member.starts;
    member.leaving = false;
    member.leavingSince = Instant{0};
    member.registration.sequence = 0;
    member.registration.id = "d-" + std::to_string(random_() % 1'000'000) + "-" + std::to_string(number) + "-" + std::to_string(member.starts);
    member.registration.bornMs = unixMillis();
    member.registration.service = service_;
    member.registration.zone = std::string(1, static_cast<char>('a' + number % 3));
    member.registration.slots = slots_;
    member.registration.state = fleet::UpstreamState::Ready;
}

void PlainService::start(Register registration)
{
    register_ = std::move(registration);
    for (const auto &member : members_) {
        register_(member->registration.id, member->registration);
    }
}

size_t PlainService::size() const
{
    return members_.size();
}

asio::awaitable<void> PlainService::replace(size_t number, milliseconds drainTime)
{
    Member &member = *members_[number];
    if (member.replacing) {
        co_return;
    }
    member.replacing = true;
    drainTime_ = drainTime;
    const std::string id = member.registration.id;
    const bool silent = random_() % SILENT_LEAVE_INTERVAL == 0;
    member.registration.state = fleet::UpstreamState::Draining;
    ++member.registration.sequence;
    member.leaving = true;
    register_(id, silent ? std::nullopt : std::optional(member.registration));
    onEvent(id + (silent ? " leaves without a word" : " drains"));
    co_await serveOn(member, drainTime + MIN_LINGER + milliseconds{random_() % LINGER_SPREAD_MS});
    const uint16_t port = member.acceptor->local_endpoint().port();
    boost::system::error_code ignored;
    member.acceptor->close(ignored);
    for (const auto &weak : member.connections) {
        if (const transport::ConnectionPtr connection = weak.lock()) {
            connection->close();
        }
    }
    member.connections.clear();
    // The registration of an upstream that ended without a word of its end expires later than its successor registers.
    const bool expires = !silent && random_() % 2 == 0;
    if (!expires) {
        register_(id, std::nullopt);
    }
    onEvent(id + " has ended");
    co_await transport::sleepFor(DOWN_TIME);
    beginIncarnation(member, number);
    listen(member, port);
    register_(member.registration.id, member.registration);
    onEvent(member.registration.id + " has started at the address of " + id);
    if (expires) {
        co_await transport::sleepFor(EXPIRY);
        register_(id, std::nullopt);
    }
    member.replacing = false;
}

asio::awaitable<void> PlainService::serveOn(Member &member, Duration duration)
{
    while (member.leavingSince == Instant{0} || framework::monotonicNow() < member.leavingSince + duration) {
        co_await transport::sleepFor(POLL_INTERVAL);
    }
}

void PlainService::acknowledged(const std::string &id)
{
    for (const auto &member : members_) {
        if (member->registration.id == id && member->leaving) {
            member->leavingSince = framework::monotonicNow();
        }
    }
}

void PlainService::lost(const std::string &id)
{
    for (const auto &member : members_) {
        if (member->registration.id == id) {
            member->leavingSince = Instant{0};
        }
    }
}

const UpstreamRun *PlainService::run(const std::string &requestId) const
{
    const auto found = runs_.find(requestId);
    return found == runs_.end() ? nullptr : &found->second;
}

Duration PlainService::latestArrival() const
{
    return latestArrival_;
}

asio::awaitable<void> PlainService::serve(Member &member, transport::ConnectionPtr connection)
{
    const int incarnation = member.starts;
    while (connection->open() && member.starts == incarnation) {
        const std::optional<ReceivedRequest> request = co_await gateway::tests::readRequest(*connection);
        if (!request || member.starts != incarnation) {
            break;
        }
        co_await answer(member, connection, *request);
    }
    connection->close();
}

asio::awaitable<void> PlainService::answer(Member &member, transport::ConnectionPtr connection, ReceivedRequest request)
{
    platform::UpstreamHeaders headers;
    headers.requestId = platform::parseCallerHeaders(request.fields).requestId;
    headers.upstreamId = member.registration.id;
    const std::string expected = platform::standins::expectedUpstream(request.fields);
    const auto refuse = [&](int status) {
        headers.notRun = true;
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + platform::standins::upstreamResponseFields(headers) + "Content-Length: 0\r\n\r\n";
    };
    if (!expected.empty() && expected != member.registration.id) {
        const std::string bytes = refuse(421);
        co_await connection->write(bytes, WRITE_TIMEOUT);
        co_return;
    }
    const Instant now = framework::monotonicNow();
    if (!headers.requestId.empty()) {
        onArrival(headers.requestId, member.registration.zone);
    }
    if (member.leavingSince != Instant{0} && !headers.requestId.empty()) {
        latestArrival_ = std::max<Duration>(latestArrival_, now - member.leavingSince);
        if (now - member.leavingSince > drainTime_) {
            onLateArrival(headers.requestId, now - member.leavingSince);
        }
    }
    if (member.running >= slots_) {
        const std::string bytes = refuse(503);
        co_await connection->write(bytes, WRITE_TIMEOUT);
        co_return;
    }
    ++member.running;
    const int incarnation = member.starts;
    UpstreamRun &run = runs_[headers.requestId];
    run.lastEventAt = now;
    co_await transport::sleepFor(milliseconds{static_cast<int64_t>(workMs_.draw(random_))});
    --member.running;
    run.lastEventAt = framework::monotonicNow();
    run.finished = connection->open();
    run.brokenOff = member.starts != incarnation;
    headers.signature = "seal";
    headers.load = platform::ReportedLoad{member.running, 0, slots_};
    const std::string bytes = "HTTP/1.1 200 OK\r\n" + platform::standins::upstreamResponseFields(headers) + "Content-Length: " + std::to_string(ANSWER_BYTES)
        + "\r\n\r\n" + std::string(ANSWER_BYTES, 'x');
    co_await connection->write(bytes, WRITE_TIMEOUT);
}

} // namespace daisymount::soak
