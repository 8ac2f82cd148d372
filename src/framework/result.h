// Results of fallible calls: Boost.LEAF results inside a process, the plain value type Ret at its boundaries.

#pragma once

#include "framework/resultcode.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace daisymount::framework
{

/// A result code with a detail for people. Ok when the code is ResultCode::Ok.
struct Ret
{
    ResultCode code = ResultCode::Ok;
    std::string detail;

    /// True on success.
    explicit operator bool() const
    {
        return code == ResultCode::Ok;
    }
};

template<typename T>
using Result = boost::leaf::result<T>;

/// Builds a failed Result that carries @p code and @p detail.
inline boost::leaf::error_id fail(ResultCode code, std::string detail)
{
    return boost::leaf::new_error(Ret{code, std::move(detail)});
}

/// Runs @p call, which returns a Result<void>, and returns its outcome as a value.
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
