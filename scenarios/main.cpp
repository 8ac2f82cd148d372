// Runs scenarios: small Lua scripts that drive a site under virtual time. See docs/scenarios.md for the verbs.

#include "world.h"

#include <docopt.h>
#include <lua.hpp>

#include <filesystem>
#include <iostream>
#include <memory>

namespace
{
using namespace daisymount;
using framework::Duration;
using framework::milliseconds;
using scenarios::World;

constexpr const char *USAGE = R"(Runs scenario scripts over the cores under virtual time.

Usage: scenarios [--seed=N] FILE...

Options:
  --seed=N  Seed of the links and routers, added to the script's own [default: 0].
)";

/// State of the running script.
struct Script
{
    std::unique_ptr<World> world;
    uint64_t seedOffset = 0;
    uint64_t seed = 0;
};

Script *scriptOf(lua_State *lua)
{
    lua_getfield(lua, LUA_REGISTRYINDEX, "daisymount.script");
    auto *script = static_cast<Script *>(lua_touserdata(lua, -1));
    lua_pop(lua, 1);
    return script;
}

World &worldOf(lua_State *lua)
{
    Script *script = scriptOf(lua);
    if (!script->world) {
        luaL_error(lua, "call site{} first");
    }
    return *script->world;
}

Duration durationAt(lua_State *lua, int index)
{
    return milliseconds{static_cast<int64_t>(luaL_checknumber(lua, index))};
}

int64_t intField(lua_State *lua, int table, const char *key, int64_t standard)
{
    lua_getfield(lua, table, key);
    const int64_t value = lua_isnil(lua, -1) ? standard : static_cast<int64_t>(luaL_checknumber(lua, -1));
    lua_pop(lua, 1);
    return value;
}

std::string stringField(lua_State *lua, int table, const char *key, const char *standard)
{
    lua_getfield(lua, table, key);
    const std::string value = lua_isnil(lua, -1) ? standard : luaL_checkstring(lua, -1);
    lua_pop(lua, 1);
    return value;
}

bool boolField(lua_State *lua, int table, const char *key)
{
    lua_getfield(lua, table, key);
    const bool value = lua_toboolean(lua, -1) != 0;
    lua_pop(lua, 1);
    return value;
}

int site(lua_State *lua)
{
    Script *script = scriptOf(lua);
    luaL_checktype(lua, 1, LUA_TTABLE);
    scenarios::SiteOptions options;
    options.entries = static_cast<int>(intField(lua, 1, "entries", options.entries));
    options.models = static_cast<int>(intField(lua, 1, "models", options.models));
    options.orders = static_cast<int>(intField(lua, 1, "orders", options.orders));
    script->seed = static_cast<uint64_t>(intField(lua, 1, "seed", 1)) + script->seedOffset;
    options.seed = script->seed;
    script->world = std::make_unique<World>(options);
    return 0;
}

int send(lua_State *lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    scenarios::RequestOptions request;
    request.entry = stringField(lua, 1, "to", "entry-1");
    request.service = stringField(lua, 1, "service", "model");
    request.key = stringField(lua, 1, "key", "");
    request.body = stringField(lua, 1, "body", "text");
    request.stream = boolField(lua, 1, "stream");
    request.tokens = intField(lua, 1, "tokens", request.tokens);
    request.deadline = milliseconds{intField(lua, 1, "deadline", 0)};
    lua_pushstring(lua, worldOf(lua).send(request).c_str());
    return 1;
}

/// Result of a request: {replied, code, ran, body, streamed, tokens, replayed, retry_after, first_token, time}.
int result(lua_State *lua)
{
    const scenarios::CallerView &view = worldOf(lua).view(luaL_checkstring(lua, 1));
    const auto toMs = [](Duration duration) { return static_cast<lua_Number>(std::chrono::duration_cast<milliseconds>(duration).count()); };
    lua_newtable(lua);
    lua_pushboolean(lua, view.replied);
    lua_setfield(lua, -2, "replied");
    lua_pushstring(lua, view.replied ? std::string(framework::resultCodeInfo(view.reply.code).name).c_str() : "");
    lua_setfield(lua, -2, "code");
    lua_pushstring(lua, std::string(toString(view.reply.ran)).c_str());
    lua_setfield(lua, -2, "ran");
    lua_pushstring(lua, view.reply.body.c_str());
    lua_setfield(lua, -2, "body");
    lua_pushstring(lua, view.streamed.c_str());
    lua_setfield(lua, -2, "streamed");
    lua_pushinteger(lua, view.reply.tokens);
    lua_setfield(lua, -2, "tokens");
    lua_pushboolean(lua, view.reply.replayed);
    lua_setfield(lua, -2, "replayed");
    lua_pushnumber(lua, toMs(view.reply.retryAfter));
    lua_setfield(lua, -2, "retry_after");
    lua_pushnumber(lua, toMs(view.firstTokenAt - view.sentAt));
    lua_setfield(lua, -2, "first_token");
    lua_pushnumber(lua, toMs(view.repliedAt - view.sentAt));
    lua_setfield(lua, -2, "time");
    return 1;
}

int store(lua_State *lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    store::StoreFaults &faults = worldOf(lua).store().faults();
    faults.down = boolField(lua, 1, "down");
    faults.loseWriteReplies = boolField(lua, 1, "lose_replies");
    faults.loseWrites = boolField(lua, 1, "lose_writes");
    return 0;
}

int counters(lua_State *lua)
{
    World &world = worldOf(lua);
    const auto set = [&](const char *name, int64_t value) {
        lua_pushinteger(lua, value);
        lua_setfield(lua, -2, name);
    };
    lua_newtable(lua);
    set("executions", world.counters().executions);
    set("crashes", world.counters().crashes);
    set("answered", world.counters().answered);
    set("refused", world.counters().refused);
    set("store_reads", static_cast<int64_t>(world.store().counters().reads));
    set("store_writes", static_cast<int64_t>(world.store().counters().writes));
    return 1;
}

int expect(lua_State *lua)
{
    if (lua_toboolean(lua, 1) == 0) {
        return luaL_error(lua, "expectation failed: %s", luaL_optstring(lua, 2, ""));
    }
    return 0;
}

int expectPromises(lua_State *lua)
{
    const auto violations = worldOf(lua).ledger().violations();
    if (!violations.empty()) {
        const std::string text = std::string(promises::toString(violations.front().promise)) + ": " + violations.front().detail;
        return luaL_error(lua, "promise broken (%d in all): %s", static_cast<int>(violations.size()), text.c_str());
    }
    return 0;
}

int expectInForce(lua_State *lua)
{
    World &world = worldOf(lua);
    world.ledger().checkConfigInForce(world.runningNodes());
    return expectPromises(lua);
}

/// Binds a verb that takes one name.
template<void (World::*VERB)(const std::string &)>
int named(lua_State *lua)
{
    (worldOf(lua).*VERB)(luaL_checkstring(lua, 1));
    return 0;
}

template<bool OUT>
int zone(lua_State *lua)
{
    lua_pushboolean(lua, worldOf(lua).operate("zones", luaL_checkstring(lua, 1), OUT));
    return 1;
}

template<bool OUT>
int vm(lua_State *lua)
{
    lua_pushboolean(lua, worldOf(lua).operate("upstreams", luaL_checkstring(lua, 1), OUT));
    return 1;
}

void registerVerbs(lua_State *lua)
{
    const luaL_Reg verbs[] = {
        {"site", site},
        {"send", send},
        {"result", result},
        {"store", store},
        {"counters", counters},
        {"expect", expect},
        {"expect_promises", expectPromises},
        {"expect_in_force", expectInForce},
        {"kill", named<&World::kill>},
        {"start", named<&World::start>},
        {"pause", named<&World::pause>},
        {"wake", named<&World::wake>},
        {"drain", named<&World::drain>},
        {"crash_engine", named<&World::crashEngine>},
        {"cool_engine", named<&World::coolEngine>},
        {"isolate", named<&World::isolate>},
        {"hang_up", named<&World::hangUp>},
        {"zone_out", zone<true>},
        {"zone_in", zone<false>},
        {"vm_out", vm<true>},
        {"vm_in", vm<false>},
        {"advance",
         [](lua_State *state) {
             worldOf(state).advance(durationAt(state, 1));
             return 0;
         }},
        {"stall_engine",
         [](lua_State *state) {
             worldOf(state).stallEngine(luaL_checkstring(state, 1), durationAt(state, 2));
             return 0;
         }},
        {"cut",
         [](lua_State *state) {
             worldOf(state).cut(luaL_checkstring(state, 1), luaL_checkstring(state, 2));
             return 0;
         }},
        {"heal",
         [](lua_State *state) {
             worldOf(state).heal();
             return 0;
         }},
        {"loss",
         [](lua_State *state) {
             worldOf(state).setLoss(luaL_checknumber(state, 1));
             return 0;
         }},
        {"duplicate",
         [](lua_State *state) {
             worldOf(state).setDuplication(luaL_checknumber(state, 1));
             return 0;
         }},
        {"delay",
         [](lua_State *state) {
             worldOf(state).setDelay(durationAt(state, 1));
             return 0;
         }},
        {"leaving",
         [](lua_State *state) {
             worldOf(state).announceLeaving(luaL_checkstring(state, 1), true);
             return 0;
         }},
        {"returned",
         [](lua_State *state) {
             worldOf(state).announceLeaving(luaL_checkstring(state, 1), false);
             return 0;
         }},
        {"in_flight",
         [](lua_State *state) {
             lua_pushinteger(state, worldOf(state).inFlightOf(luaL_checkstring(state, 1)));
             return 1;
         }},
        {"limit",
         [](lua_State *state) {
             lua_pushinteger(state, worldOf(state).limitOf(luaL_checkstring(state, 1)));
             return 1;
         }},
        {"zone_of",
         [](lua_State *state) {
             lua_pushstring(state, worldOf(state).zoneOf(luaL_checkstring(state, 1)).c_str());
             return 1;
         }},
        {"runs",
         [](lua_State *state) {
             lua_pushinteger(state, worldOf(state).ledger().executionCount(luaL_checkstring(state, 1)));
             return 1;
         }},
        {"now",
         [](lua_State *state) {
             lua_pushnumber(state, static_cast<lua_Number>(std::chrono::duration_cast<milliseconds>(worldOf(state).now()).count()));
             return 1;
         }},
    };
    for (const luaL_Reg &verb : verbs) {
        lua_register(lua, verb.name, verb.func);
    }
}

bool runFile(const std::string &file, uint64_t seedOffset)
{
    Script script;
    script.seedOffset = seedOffset;
    lua_State *lua = luaL_newstate();
    luaL_openlibs(lua);
    lua_pushlightuserdata(lua, &script);
    lua_setfield(lua, LUA_REGISTRYINDEX, "daisymount.script");
    registerVerbs(lua);
    const bool passed = luaL_dofile(lua, file.c_str()) == LUA_OK;
    std::cout << (passed ? "passed " : "FAILED ") << std::filesystem::path(file).stem().string() << '\n';
    if (!passed) {
        std::cout << "  seed " << script.seed << ": " << lua_tostring(lua, -1) << '\n';
        if (script.world) {
            for (const std::string &event : script.world->recentEvents()) {
                std::cout << "  | " << event << '\n';
            }
        }
    }
    lua_close(lua);
    return passed;
}
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    int failed = 0;
    int passed = 0;
    for (const std::string &file : arguments.at("FILE").asStringList()) {
        runFile(file, static_cast<uint64_t>(arguments.at("--seed").asLong())) ? ++passed : ++failed;
    }
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
