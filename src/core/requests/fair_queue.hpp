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

/// Requests that wait for a slot, bounded. Latency-critical ones go first but
/// one turn in `batch_turn` is the batch's; within a class the customers take
/// turns, so that a noisy one delays itself; a customer's own requests go by
/// deadline.
class fair_queue
{
public:
    /// While both classes wait, every so many-th turn is the batch's.
    static constexpr std::uint32_t batch_turn_interval = 8;

    explicit fair_queue(std::size_t bound);

    /// False where the queue is full.
    bool push(queued_request const& request);
    /// Takes out the request whose turn it is.
    std::optional<std::uint64_t> pop();
    /// Takes out a request that has waited in vain.
    bool erase(queued_request const& request);

    std::size_t size() const noexcept;
    /// How many would be served before a newcomer of this class, roughly.
    std::size_t ahead_of(ports::request_class kind) const noexcept;

private:
    struct customer_line
    {
        std::uint64_t turns = 0; ///< Virtual time: rises with each turn taken.
        std::set<std::pair<common::time_point, std::uint64_t>> waiting;
    };
    struct class_line
    {
        std::map<std::string, customer_line> customers;
        std::set<std::pair<std::uint64_t, std::string>> order;
        std::uint64_t newest_turn = 0;
        std::size_t size = 0;
    };

    class_line& line_of(ports::request_class kind) noexcept;
    std::optional<std::uint64_t> pop_from(class_line& line);

    std::size_t bound_;
    std::array<class_line, 2> classes_;
    std::uint32_t turn_ = 0;
};

} // namespace fuchsia::core::requests
