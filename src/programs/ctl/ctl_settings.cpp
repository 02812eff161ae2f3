#include "programs/ctl/ctl_settings.hpp"

#include "adapters/http/message.hpp"
#include "adapters/settings/toml_reader.hpp"

namespace fuchsia::programs::ctl
{

namespace
{

using namespace std::chrono_literals;
using core::common::result_code;

// A planner gives up a change after 6 s and a removal after 9 s. With a shorter
// time-out the outcome could be unknown although the planner would report it.
constexpr core::common::duration min_timeout = 10s;
constexpr core::common::duration max_timeout = 10min;
constexpr std::size_t max_addresses = 64;

std::vector<ports::endpoint>
read_addresses(adapters::settings::toml_table& root, char const* key)
{
    std::vector<ports::endpoint> endpoints;
    for (auto const& text : root.texts_or(key, {}))
    {
        auto const endpoint = adapters::http::parse_endpoint(text);
        if (!endpoint)
        {
            root.fail(result_code::out_of_range,
                      key,
                      text + " is not an IP address and port");
            return endpoints;
        }
        endpoints.push_back(*endpoint);
    }
    if (endpoints.size() > max_addresses)
    {
        root.fail(result_code::out_of_range, key, "at most 64 are expected");
    }
    return endpoints;
}

// Reads the addresses. A deployment has planners, a pool or both.
void read_instances(adapters::settings::toml_table& root, ctl_settings& out)
{
    out.planners = read_addresses(root, "planners");
    out.pools = read_addresses(root, "pools");
    if (out.planners.empty() && out.pools.empty())
    {
        root.fail(result_code::out_of_range,
                  "planners",
                  "1 to 64 addresses of planners, or of a pool's instances "
                  "under pools, are expected");
    }
}

void read_token(adapters::settings::toml_table& root, ctl_settings& out)
{
    auto const path = root.text("token_file");
    if (path.empty())
    {
        return;
    }
    core::common::failure reason;
    auto token = adapters::settings::read_file(path, reason);
    if (!token || token->empty())
    {
        root.fail(token ? result_code::out_of_range : reason.code,
                  "token_file",
                  token ? path + " is empty" : reason.where + " " + reason.why);
        return;
    }
    out.token = std::move(*token);
}

} // namespace

std::optional<ctl_settings> read_ctl_settings(std::string const& path,
                                              core::common::failure& reason)
{
    auto const file = adapters::settings::toml_file::open(path, reason);
    if (!file)
    {
        return std::nullopt;
    }
    auto root = file->root();
    ctl_settings settings;
    read_instances(root, settings);
    // Only planners require a token.
    if (!settings.planners.empty() || !root.text_or("token_file", "").empty())
    {
        read_token(root, settings);
    }
    settings.timeout = root.duration_or(
        "timeout_ms", settings.timeout, min_timeout, max_timeout);
    root.reject_unknown_keys();
    if (!file->ok())
    {
        reason = file->reason();
        return std::nullopt;
    }
    return settings;
}

} // namespace fuchsia::programs::ctl
