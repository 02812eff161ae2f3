#include "core/contracts/contract.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::contracts
{

namespace
{

/// Upper bounds on the values of a contract.
constexpr std::int64_t max_millicores = 100'000'000;
constexpr std::int64_t max_memory_mb = 1'000'000'000;
constexpr std::int64_t max_accelerators = 1'000'000;
constexpr std::int64_t max_requests = 10'000'000;
constexpr std::int64_t max_latency_ms = 3'600'000;
constexpr std::size_t max_routes = 64;

std::vector<std::string> read_routes(common::json_reader& reader)
{
    std::vector<std::string> routes;
    auto const* array = reader.array("idempotent_routes");
    if (array == nullptr)
    {
        return routes;
    }
    for (auto const& item : *array)
    {
        if (!item.is_string() || !item.as_string().starts_with('/'))
        {
            reader.fail(common::result_code::malformed_contract,
                        "idempotent_routes",
                        "each route is a path that begins with /");
            return routes;
        }
        routes.emplace_back(item.as_string());
    }
    if (routes.size() > max_routes)
    {
        reader.fail(common::result_code::out_of_range,
                    "idempotent_routes",
                    "more than 64 routes");
    }
    return routes;
}

bool is_customer_name(std::string_view name) noexcept
{
    auto const allowed = [](char letter)
    {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= '0' && letter <= '9') || letter == '-';
    };
    return !name.empty() && name.size() <= 64 &&
           std::all_of(name.begin(), name.end(), allowed);
}

} // namespace

std::optional<contract> parse_contract(std::string_view json,
                                       common::failure& reason)
{
    auto const object = common::parse_json_object(json, "contract", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "contract");
    reader.allow_only({"customer",
                       "millicores",
                       "memory_mb",
                       "accelerators",
                       "requests_in_flight",
                       "requests_per_second",
                       "batch_permille",
                       "latency_target_ms",
                       "batch_latency_target_ms",
                       "idempotent_routes"});
    contract value;
    value.customer = reader.text("customer");
    value.capacity.millicores = reader.integer("millicores", 0, max_millicores);
    value.capacity.memory_mb = reader.integer("memory_mb", 0, max_memory_mb);
    value.capacity.accelerators =
        reader.integer_or("accelerators", 0, 0, max_accelerators);
    value.requests_in_flight = static_cast<std::uint32_t>(
        reader.integer("requests_in_flight", 0, max_requests));
    value.requests_per_second = static_cast<std::uint32_t>(
        reader.integer("requests_per_second", 0, max_requests));
    value.batch_permille = static_cast<std::uint32_t>(
        reader.integer_or("batch_permille", 1000, 0, 1000));
    value.latency_target = std::chrono::milliseconds(
        reader.integer("latency_target_ms", 1, max_latency_ms));
    value.batch_latency_target = std::chrono::milliseconds(reader.integer_or(
        "batch_latency_target_ms", max_latency_ms, 1, max_latency_ms));
    value.idempotent_routes = read_routes(reader);
    if (!is_customer_name(value.customer))
    {
        reader.fail(common::result_code::malformed_contract,
                    "customer",
                    "1 to 64 lower-case letters, digits and hyphens");
    }
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return value;
}

std::string to_json(contract const& value)
{
    boost::json::array routes;
    for (auto const& route : value.idempotent_routes)
    {
        routes.emplace_back(route);
    }
    boost::json::object object{
        {"customer", value.customer},
        {"millicores", value.capacity.millicores},
        {"memory_mb", value.capacity.memory_mb},
        {"accelerators", value.capacity.accelerators},
        {"requests_in_flight", value.requests_in_flight},
        {"requests_per_second", value.requests_per_second},
        {"batch_permille", value.batch_permille},
        {"latency_target_ms", common::to_milliseconds(value.latency_target)},
        {"batch_latency_target_ms",
         common::to_milliseconds(value.batch_latency_target)},
        {"idempotent_routes", std::move(routes)},
    };
    return boost::json::serialize(object);
}

bool is_idempotent(contract const& value,
                   std::string_view method,
                   std::string_view target) noexcept
{
    if (method != "POST")
    {
        return true;
    }
    std::string_view const path = target.substr(0, target.find('?'));
    return std::any_of(value.idempotent_routes.begin(),
                       value.idempotent_routes.end(),
                       [path](std::string const& route)
                       {
                           return path.starts_with(route);
                       });
}

} // namespace fuchsia::core::contracts
