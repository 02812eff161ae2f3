#pragma once

#include "standins/common/http_messages.hpp"
#include "standins/platform/call_rate.hpp"
#include "standins/platform/store_state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// Handles the store's HTTP paths (docs/API.md, "The platform's store") without
// sockets, with rate limits, injected faults and counters.
namespace fuchsia::standins::platform
{

struct store_service_settings
{
    double writes_per_second = 500;
    double reads_per_second = 2'000;
    store_limits limits;
};

struct store_faults
{
    bool down = false;
    std::uint32_t slow_ms = 0; ///< Added latency of each call.
    /// Number of writes to keys that begin with `drop_responses_prefix` whose
    /// responses are dropped after the change is made; -1 for all writes.
    std::int64_t drop_responses = 0;
    std::string drop_responses_prefix;
};

struct store_counters
{
    std::uint64_t reads = 0;
    std::uint64_t lists = 0;
    std::uint64_t writes = 0;
    std::uint64_t erases = 0;
    std::uint64_t watches = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t rate_limited = 0;
    std::uint64_t dropped_responses = 0;
    std::uint64_t sessions = 0;
};

/// The change was made, and the connection closes without a response.
struct dropped_response
{
};

/// The response is sent when the query is due; `respond_to_held` creates it.
struct deferred_response
{
    held_query query;
};

using store_response =
    std::variant<adapters::http::response, dropped_response, deferred_response>;

class store_service
{
public:
    explicit store_service(store_service_settings settings);

    /// Returns whether `path` belongs to the store.
    static bool serves(std::string_view path) noexcept;
    store_response handle(core::common::time_point now,
                          request_target const& target,
                          adapters::http::request const& request);
    adapters::http::response respond_to_held(held_query const& query) const;
    std::vector<held_query> take_due(core::common::time_point now);
    void drop_query(std::uint64_t number);
    bool expire_session(std::string_view id);

    store_faults& faults() noexcept;
    store_counters const& counters() const noexcept;

private:
    using response = adapters::http::response;

    store_response read(core::common::time_point now,
                        request_target const& target);
    store_response put(core::common::time_point now,
                       request_target const& target,
                       std::string const& body);
    store_response erase(core::common::time_point now,
                         request_target const& target);
    store_response transact(core::common::time_point now,
                            std::string const& body);
    store_response session(core::common::time_point now,
                           request_target const& target,
                           std::string const& body);
    response open_session(core::common::time_point now,
                          std::string const& body);
    response entries_response(std::string_view key, bool recurse) const;
    store_response respond_after_change(std::string_view key, response message);
    store_response plain_result(std::string_view key, change_result result);
    store_response txn_result(std::string_view key, change_result result);
    bool admit_read(core::common::time_point now);
    bool admit_write(core::common::time_point now);

    store_service_settings settings_;
    store_state state_;
    call_rate read_rate_;
    call_rate write_rate_;
    store_faults faults_;
    store_counters counters_;
    std::uint64_t last_query_number_ = 0;
};

} // namespace fuchsia::standins::platform
