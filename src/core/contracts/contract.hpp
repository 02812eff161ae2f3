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

/// Limits on one customer's work; no other limits apply to it. Operators write
/// contracts as JSON (docs/API.md).
struct contract
{
    std::string customer;
    ports::resources capacity; ///< Maximum used by its tasks in total.
    std::uint32_t requests_in_flight = 0;  ///< Maximum over all entries.
    std::uint32_t requests_per_second = 0; ///< Maximum over all entries.
    /// Share of `capacity` and of requests in flight that batch work may use,
    /// in thousandths.
    std::uint32_t batch_permille = 1000;
    common::duration latency_target{};       ///< For latency-critical work.
    common::duration batch_latency_target{}; ///< For batch requests.
    /// Path prefixes whose POST requests may be repeated safely.
    std::vector<std::string> idempotent_routes;

    bool operator==(contract const&) const = default;
};

/// Parses and checks a contract; `reason` says where and why that failed.
std::optional<contract> parse_contract(std::string_view json,
                                       common::failure& reason);

std::string to_json(contract const& value);

/// Whether the request may be repeated safely: GET, HEAD, PUT and DELETE are
/// idempotent by HTTP's definition, a POST only on an idempotent route.
bool is_idempotent(contract const& value,
                   std::string_view method,
                   std::string_view target) noexcept;

} // namespace fuchsia::core::contracts
