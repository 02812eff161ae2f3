#include "tools/load/standin_counts.hpp"

#include "adapters/http/client.hpp"

#include <boost/json.hpp>
#include <utility>

namespace fuchsia::tools::load
{

namespace
{
constexpr std::uint16_t ok = 200;
} // namespace

std::optional<counts> parse_counts(std::string_view body)
{
    boost::json::error_code error;
    auto const json = boost::json::parse(body, error);
    if (error || !json.is_object())
    {
        return std::nullopt;
    }
    counts result;
    for (auto const& member : json.as_object())
    {
        auto const count = member.value().to_number<std::uint64_t>(error);
        if (error)
        {
            return std::nullopt;
        }
        result[std::string(member.key())] = count;
    }
    return result;
}

std::optional<counts> fetch_counts(ports::endpoint const& endpoint)
{
    boost::asio::io_context io(1);
    adapters::http::client client(io, {});
    std::optional<counts> result;
    bool ended = false;
    adapters::http::client_call call;
    call.remote_endpoint = endpoint;
    call.message.method = "GET";
    call.message.target = "/control/counts";
    client.send(std::move(call),
                [&](ports::exchange_status status,
                    adapters::http::response const& answer)
                {
                    ended = true;
                    if (status == ports::exchange_status::answered &&
                        answer.status == ok)
                    {
                        result = parse_counts(answer.body);
                    }
                });
    while (!ended && io.run_one() > 0)
    {
    }
    return result;
}

counts difference(counts const& before, counts const& after)
{
    counts increase;
    for (auto const& [name, count] : after)
    {
        auto const earlier = count_of(before, name);
        increase[name] = count > earlier ? count - earlier : 0;
    }
    return increase;
}

std::uint64_t count_of(counts const& counters, std::string_view name)
{
    auto const found = counters.find(name);
    return found == counters.end() ? 0 : found->second;
}

} // namespace fuchsia::tools::load
