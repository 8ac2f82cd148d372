// Header fields of an HTTP message, in the order in which they were received.

#pragma once

#include <boost/algorithm/string/predicate.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::framework
{

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field named @p name (case-insensitive), or an empty string if there is none.
inline std::string_view findField(const HeaderFields &fields, std::string_view name)
{
    for (const auto &[field, value] : fields) {
        if (boost::algorithm::iequals(field, name)) {
            return value;
        }
    }
    return {};
}

} // namespace daisymount::framework
