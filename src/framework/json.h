// JsonCpp wrappers that return results instead of throwing exceptions.

#pragma once

#include "framework/result.h"

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace daisymount::framework
{

/// Parses @p text. Invalid or too deeply nested input gives ResultCode::BadJson.
Result<Json::Value> parseJson(std::string_view text);

/// Like parseJson(), but also gives ResultCode::BadJson if the value is not an object.
Result<Json::Value> parseJsonObject(std::string_view text);

/// Serializes @p value in compact form, without a trailing newline.
std::string writeJson(const Json::Value &value);

/// Returns the string at @p key, or an empty string if it is missing or has another type.
std::string stringField(const Json::Value &object, const char *key);

/// Returns the signed integer at @p key, or 0 if it is missing or has another type.
int64_t intField(const Json::Value &object, const char *key);

/// Returns the unsigned integer at @p key, or 0 if it is missing or has another type.
uint64_t uintField(const Json::Value &object, const char *key);

/// Returns the number at @p key, or 0 if it is missing or has another type.
double numberField(const Json::Value &object, const char *key);

/// Returns @p value if it is an integer in the range of int64_t. JsonCpp's own conversions throw for larger ones.
std::optional<int64_t> toInteger(const Json::Value &value);

/// Returns the number at @p key, rounded towards zero and limited to the range from @p min to @p max. Returns 0, limited likewise, if it is
/// missing or has another type.
int64_t boundedField(const Json::Value &object, const char *key, int64_t min, int64_t max);

/// Returns the array at @p key, or an empty array if it is missing or has another type.
const Json::Value &arrayField(const Json::Value &object, const char *key);

/// Returns the boolean at @p key, or false if it is missing or has another type.
bool boolField(const Json::Value &object, const char *key);

} // namespace daisymount::framework
