#include "programs/ctl/settings_checks.hpp"

#include "adapters/settings/entry_settings.hpp"
#include "adapters/settings/planner_settings.hpp"
#include "adapters/settings/pool_settings.hpp"
#include "programs/ctl/ctl_settings.hpp"

#include <array>

namespace fuchsia::programs::ctl
{

namespace
{

using core::common::failure;

struct check
{
    std::string_view binary;
    bool (*is_valid)(std::string const& file, failure& reason);
};

constexpr std::array<check, 4> checks{{
    {"fuchsia-entry",
     [](std::string const& file, failure& reason)
     {
         return adapters::settings::load_entry_settings(file, reason)
             .has_value();
     }},
    {"fuchsia-planner",
     [](std::string const& file, failure& reason)
     {
         return adapters::settings::load_planner_settings(file, reason)
             .has_value();
     }},
    {"fuchsia-pool",
     [](std::string const& file, failure& reason)
     {
         return adapters::settings::load_pool_settings(file, reason)
             .has_value();
     }},
    {"fuchsiactl",
     [](std::string const& file, failure& reason)
     {
         return read_ctl_settings(file, reason).has_value();
     }},
}};

} // namespace

std::vector<std::string_view> checked_binaries()
{
    std::vector<std::string_view> names;
    names.reserve(checks.size());
    for (auto const& entry : checks)
    {
        names.push_back(entry.binary);
    }
    return names;
}

std::optional<failure> check_settings(std::string_view binary,
                                      std::string const& file)
{
    for (auto const& entry : checks)
    {
        if (entry.binary == binary)
        {
            failure reason;
            return entry.is_valid(file, reason) ? failure{} : reason;
        }
    }
    return std::nullopt;
}

} // namespace fuchsia::programs::ctl
