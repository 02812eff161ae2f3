#include "core/common/seen_failures.hpp"

#include <functional>
#include <string>

namespace fuchsia::core::common
{

namespace
{

// Beyond this number all are forgotten, and each cause is logged once more.
constexpr std::size_t max_subjects = 10'000;

std::size_t cause_of(failure const& reason)
{
    auto const code = static_cast<unsigned>(reason.code);
    return std::hash<std::string>{}(std::to_string(code) + ' ' + reason.where);
}

} // namespace

bool seen_failures::is_new(std::string_view subject, failure const& reason)
{
    auto const cause = cause_of(reason);
    auto const key = std::hash<std::string_view>{}(subject);
    auto const found = causes_.find(key);
    if (found != causes_.end())
    {
        bool const changed = found->second != cause;
        found->second = cause;
        return changed;
    }
    if (causes_.size() >= max_subjects)
    {
        causes_.clear();
    }
    causes_.emplace(key, cause);
    return true;
}

void seen_failures::forget(std::string_view subject)
{
    causes_.erase(std::hash<std::string_view>{}(subject));
}

} // namespace fuchsia::core::common
