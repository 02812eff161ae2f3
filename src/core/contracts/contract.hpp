#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "ports/requests.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::contracts
{

/// What one customer may consume: all limits on its work, and nothing else
/// limits it. Written by operators as JSON (docs/API.md).
struct contract
{
    std::string customer;
    ports::resources capacity; ///< In use by its tasks, in all places.
    std::uint32_t requests_in_flight = 0; ///< Summed over all entries.
    std::uint32_t requests_per_second = 0;
    /// Share of `capacity` and of requests in flight that batch work may use,
    /// in thousandths.
    std::uint32_t batch_permille = 1000;
    common::duration latency_target{};       ///< Of latency-critical work.
    common::duration batch_latency_target{}; ///< Of batch requests.
    /// Path prefixes whose POST requests may be repeated safely.
    std::vector<std::string> idempotent_routes;

    bool operator==(contract const&) const = default;
};

/// Reads and checks a contract's JSON; `reason` names the place of an error.
std::optional<contract> parse_contract(std::string_view json,
                                       common::failure& reason);

std::string to_json(contract const& value);

/// True where repeating the request can do no harm: GET, HEAD, PUT, DELETE
/// (by HTTP's definition) or a POST on an idempotent route.
bool is_idempotent(contract const& value,
                   std::string_view method,
                   std::string_view target) noexcept;

} // namespace fuchsia::core::contracts
