// JsonCpp wrappers.

#include "framework/json.h"

#include "framework/boundedinteger.h"

#include <memory>

namespace daisymount::framework
{

namespace
{
constexpr int MAX_NESTING = 64;

Json::CharReaderBuilder makeReaderBuilder()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = MAX_NESTING;
    return builder;
}

const Json::Value *memberOf(const Json::Value &object, const char *key)
{
    return object.isObject() && object.isMember(key) ? &object[key] : nullptr;
}
} // namespace

Result<Json::Value> parseJson(std::string_view text)
{
    static const Json::CharReaderBuilder builder = makeReaderBuilder();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return value;
        }
    } catch (const Json::Exception &error) {
        errors = error.what();
    }
    return fail(ResultCode::BadJson, errors);
}

Result<Json::Value> parseJsonObject(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    if (!value.isObject()) {
        return fail(ResultCode::BadJson, "JSON value is not an object");
    }
    return value;
}

std::string writeJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        return compact;
    }();
    return Json::writeString(builder, value);
}

std::string stringField(const Json::Value &object, const char *key)
{
    const Json::Value *member = memberOf(object, key);
    return member != nullptr && member->isString() ? member->asString() : std::string();
}

int64_t intField(const Json::Value &object, const char *key)
{
    const Json::Value *member = memberOf(object, key);
    return member != nullptr && member->isInt64() ? member->asInt64() : 0;
}

uint64_t uintField(const Json::Value &object, const char *key)
{
    const Json::Value *member = memberOf(object, key);
    return member != nullptr && member->isUInt64() ? member->asUInt64() : 0;
}

double numberField(const Json::Value &object, const char *key)
{
    const Json::Value *member = memberOf(object, key);
    return member != nullptr && member->isNumeric() ? member->asDouble() : 0.0;
}

std::optional<int64_t> toInteger(const Json::Value &value)
{
    return value.isInt64() ? std::optional<int64_t>(value.asInt64()) : std::nullopt;
}

int64_t boundedField(const Json::Value &object, const char *key, int64_t min, int64_t max)
{
    return boundedInteger(numberField(object, key), min, max);
}

const Json::Value &arrayField(const Json::Value &object, const char *key)
{
    static const Json::Value empty(Json::arrayValue);
    const Json::Value *member = memberOf(object, key);
    return member != nullptr && member->isArray() ? *member : empty;
}

bool boolField(const Json::Value &object, const char *key)
{
    const Json::Value *member = memberOf(object, key);
    return member != nullptr && member->isBool() && member->asBool();
}

} // namespace daisymount::framework
