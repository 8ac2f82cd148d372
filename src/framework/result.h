// Error handling: functions that can fail return a Boost.LEAF result; callbacks and messages carry the plain value type Ret.

#pragma once

#include "framework/resultcode.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace daisymount::framework
{

/// Result code with a human-readable detail. The call succeeded if the code is ResultCode::Ok.
struct Ret
{
    ResultCode code = ResultCode::Ok;
    std::string detail;

    /// Returns true on success.
    explicit operator bool() const
    {
        return code == ResultCode::Ok;
    }
};

template<typename T>
using Result = boost::leaf::result<T>;

/// Creates the error of a failed Result, with @p code and @p detail.
inline boost::leaf::error_id fail(ResultCode code, std::string detail)
{
    return boost::leaf::new_error(Ret{code, std::move(detail)});
}

/// Runs @p call, which returns a Result<void>, and returns its result as a Ret.
template<typename Call>
Ret evaluate(Call &&call)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<Ret> {
            BOOST_LEAF_CHECK(call());
            return Ret{};
        },
        [](const Ret &error) { return error; },
        [] {
            return Ret{ResultCode::Internal, "unclassified error"};
        });
}

} // namespace daisymount::framework
