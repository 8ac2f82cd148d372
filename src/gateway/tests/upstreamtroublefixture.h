// Configuration, requests and responses shared by the tests of faulty upstreams.

#pragma once

#include "gatewayfixture.h"

#include <array>
#include <cstdio>
#include <string>
#include <vector>

namespace daisymount::gateway::tests
{

inline constexpr const char *CONFIG = R"({"version":1,"routes":[
 {"name":"safe","host":"a.example","prefix":"/safe/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":true},
 {"name":"unsafe","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":true},
 {"name":"stream","host":"a.example","prefix":"/stream/","kind":"stream","timeout_ms":0,"target_latency_ms":400,"priority":1,"service":"plain","max_attempts":2,"public":true,"resumable":true},
 {"name":"once","host":"a.example","prefix":"/once/","kind":"stream","timeout_ms":0,"target_latency_ms":400,"priority":1,"service":"plain","max_attempts":2,"public":true,"resumable":false}],
 "services":[{"name":"plain","health_path":"/h","max_connections":100,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":2000},"tenants":[]})";

inline std::string request(const std::string &method, const std::string &path, const std::string &id = "r1", const std::string &fields = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\n" + fields + "\r\n";
}

inline std::string withId(std::string bytes, const ReceivedRequest &received)
{
    if (const size_t at = bytes.find("ID"); at != std::string::npos) {
        bytes.replace(at, 2, received.field("X-Request-Id"));
    }
    return bytes;
}

inline std::string head(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: ID\r\n" + fields + "\r\n";
}

/// Creates a fixture that is kept until the process ends, since suspended coroutines refer to it, and stays reachable for leak checkers.
inline GatewayFixture *newFixture()
{
    static auto &fixtures = *new std::vector<GatewayFixture *>;
    fixtures.push_back(new GatewayFixture);
    fixtures.back()->configure(CONFIG);
    return fixtures.back();
}

inline std::string event(int id, const std::string &text)
{
    const std::string bytes = "id: " + std::to_string(id) + "\ndata: " + text + "\n\n";
    std::array<char, 16> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx", bytes.size());
    return std::string(size.data(), static_cast<size_t>(length)) + "\r\n" + bytes + "\r\n";
}

inline const std::string STREAM_HEAD = head("200 OK", "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
inline const std::string LAST_CHUNK = "0\r\n\r\n";

} // namespace daisymount::gateway::tests
