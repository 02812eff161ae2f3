#pragma once

#include "core/common/time.hpp"
#include "ports/requests.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace fuchsia::core::requests
{

struct queued_request
{
    std::uint64_t id = 0;
    std::string customer;
    ports::request_class kind = ports::request_class::latency_critical;
    common::time_point expires;
};

/// Bounded queue of the requests that wait for a slot. Latency-critical
/// requests are served first, except that one turn in `batch_turn_interval`
/// goes to batch requests. Within a class the customers take turns, so that a
/// customer with many requests delays only itself. The requests of one customer
/// are served earliest deadline first.
class fair_queue
{
public:
    /// Turns from one batch request to the next while both classes wait.
    static constexpr std::uint32_t batch_turn_interval = 8;

    explicit fair_queue(std::size_t bound);

    /// Adds a request; false if the queue is full.
    bool push(queued_request const& request);
    /// Removes the request to serve next and returns its id.
    std::optional<std::uint64_t> pop();
    /// Removes a request before its turn, such as one whose deadline has
    /// passed; false if it is not in the queue.
    bool erase(queued_request const& request);

    std::size_t size() const noexcept;
    /// Approximate number of requests that would be served before a new request
    /// of this class.
    std::size_t ahead_of(ports::request_class kind) const noexcept;

private:
    struct customer_queue
    {
        std::uint64_t virtual_time =
            0; ///< Turns taken; the smallest goes first.
        std::set<std::pair<common::time_point, std::uint64_t>>
            by_deadline; ///< Deadline and id of each request.
    };
    struct class_queue
    {
        std::map<std::string, customer_queue> customers;
        std::set<std::pair<std::uint64_t, std::string>>
            by_virtual_time; ///< Customers with requests.
        std::uint64_t current_virtual_time =
            0; ///< Of the customer that was served last.
        std::size_t size = 0;
    };

    class_queue& queue_of(ports::request_class kind) noexcept;
    std::optional<std::uint64_t> pop_from(class_queue& queue);

    std::size_t bound_;
    std::array<class_queue, 2> classes_;
    std::uint32_t batch_turn_counter_ = 0;
};

} // namespace fuchsia::core::requests
