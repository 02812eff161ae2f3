#pragma once

#include "core/common/result_code.hpp"

#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace fuchsia::core::common
{

/// Remembers the last failure of each subject, such as a key that another
/// program writes again and again, so that each cause is logged once.
class seen_failures
{
public:
    /// Whether the last failure of `subject` had another code or place than
    /// `reason`, or there was none. The text of a failure doesn't count, as it
    /// contains the value.
    bool is_new(std::string_view subject, failure const& reason);
    void forget(std::string_view subject);

private:
    /// Hash of the cause, by that of the subject: either may be of any length.
    std::unordered_map<std::size_t, std::size_t> causes_;
};

} // namespace fuchsia::core::common
