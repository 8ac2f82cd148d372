// The operator takes the last key of the only tenant away. Nothing may run for callers without a valid key after that.

#include "sitekit.h"

using namespace sitekit;

namespace
{
constexpr int64_t CONFIG_APPLY_MS = 2'000;
constexpr int64_t CONTACT_MS = 3'000;
constexpr int CALLS = 20;

std::string configuration(int version, const std::string &tenants)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r-order","host":"ficu95.example","prefix":"/puxa403/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,
"priority":2,"service":"logbook","max_attempts":1,"public":false,"sticky_sessions":false,"resumable":false}],"services":[{"name":"logbook",
"health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":)"
        + tenants + "}";
}

/// Sends one order and returns the status, 0 without an answer.
int order(Record &record, const std::string &gateway, const std::string &id, const std::string &key)
{
    const std::unique_ptr<Link> link = Link::connect(gateway);
    const std::string credentials = key.empty() ? std::string() : "Authorization: Bearer " + key + "\r\n";
    int status = 0;
    if (link
        && link->send("POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 3000\r\n" + credentials
                      + "Content-Length: 5\r\n\r\norder")) {
        const std::optional<Message> answer = link->read(3'000);
        status = answer ? answer->status() : 0;
    }
    record.line("order " + id + " with key '" + key + "' to " + gateway + " -> " + std::to_string(status));
    return status;
}
} // namespace

int main(int argc, char **argv)
{
    start();
    endOnInterruption();
    Record record(recordPath(argc, argv));
    Store store;
    std::mutex mutex;
    std::map<std::string, std::string> runs; // Tenant by request id.
    Site site(store.address(), 3);
    std::vector<std::unique_ptr<Server>> runners;
    for (int i = 0; i < 3; ++i) {
        const std::string id = "i-log" + std::to_string(i);
        runners.push_back(std::make_unique<Server>(site.network() + std::to_string(201 + i), [&, id](Link &link, const Message &request) {
            {
                const std::lock_guard lock(mutex);
                runs[request.field("X-Request-Id")] = request.field("X-Tenant");
            }
            record.line("runner " + id + " runs " + request.field("X-Request-Id") + " for tenant '" + request.field("X-Tenant") + "'");
            link.send(response(200, {"X-Request-Id: " + request.field("X-Request-Id"), "X-Response-Seal: seal"}, "done"));
        }));
        Registration registration;
        registration.address = runners.back()->address();
        registration.zone = std::string(1, static_cast<char>('a' + i));
        store.put("servers/" + id, registration.text());
    }
    store.put("op/config", configuration(1, R"([{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}])"));
    if (!site.startAll()) {
        record.say("the gateways do not become ready");
        return NOT_RUN;
    }
    sleepMs(CONTACT_MS + 500);
    int served = 0;
    int refused = 0;
    for (int i = 0; i < CALLS; ++i) {
        served += order(record, site.callers(static_cast<size_t>(i % 3)), "before" + std::to_string(i), "n2ctnfzs989anu6wsjnb") == 200 ? 1 : 0;
        refused += order(record, site.callers(static_cast<size_t>(i % 3)), "stranger" + std::to_string(i), "never-held-by-anyone") == 401 ? 1 : 0;
    }
    if (served != CALLS || refused != CALLS) {
        record.say("the deployment does not serve as expected before the disruption");
        return NOT_RUN;
    }
    if (trouble()) {
        store.put("op/config", configuration(2, "[]"));
        record.say("the store acknowledges version 2, in which the only key is gone");
    }
    sleepMs(CONFIG_APPLY_MS + 1'000);
    const std::string revoked = trouble() ? "n2ctnfzs989anu6wsjnb" : "";
    std::map<std::string, int> statuses;
    for (int i = 0; i < CALLS; ++i) {
        const std::string gateway = site.callers(static_cast<size_t>(i % 3));
        ++statuses["never held: " + std::to_string(order(record, gateway, "unknown" + std::to_string(i), "never-held-by-anyone"))];
        ++statuses["no key: " + std::to_string(order(record, gateway, "nokey" + std::to_string(i), ""))];
        if (!revoked.empty()) {
            ++statuses["taken away: " + std::to_string(order(record, gateway, "revoked" + std::to_string(i), revoked))];
        }
    }
    for (const auto &[text, count] : statuses) {
        record.say(text + " x " + std::to_string(count));
    }
    const std::lock_guard lock(mutex);
    const auto ran = [&](const std::string &prefix) {
        return std::count_if(runs.begin(), runs.end(), [&](const auto &entry) { return entry.first.starts_with(prefix); });
    };
    const int64_t broken = ran("unknown") + ran("nokey") + ran("revoked");
    record.say("orders that ran: " + std::to_string(ran("unknown")) + " with a key that no configuration held, " + std::to_string(ran("nokey"))
               + " without a key, " + std::to_string(ran("revoked")) + " with a key taken away");
    record.say(broken > 0 ? "BROKEN: ROUTE, CONFIG" : "held");
    return broken > 0 ? BROKEN : HELD;
}
