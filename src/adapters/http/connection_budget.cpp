#include "adapters/http/connection_budget.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <sys/resource.h>
#include <utility>

namespace fuchsia::adapters::http
{

namespace
{

using core::common::clock;

constexpr std::array<std::string_view, 3> reason_names{
    "memory", "connections", "unread"};

constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
constexpr std::uint64_t small_machine_mb = 160;
/// The connections hold at most this part of the machine's memory: the rest is
/// for the state of jobs and workers.
constexpr std::uint64_t memory_divisor = 8;
/// The connections take at most this part of the descriptors: the rest is for
/// files and for the process's own calls to the store and the workers.
constexpr std::uint64_t descriptor_divisor = 4;
constexpr std::uint64_t max_connections = 4096;

/// Size from which an answer may be given up for its memory. The answer to an
/// accepted job is far smaller.
constexpr std::uint64_t min_shed_answer_bytes = 16 * 1024;

/// Time after which an answer that isn't sent counts as not read.
constexpr core::common::duration unread_after = std::chrono::seconds(1);

// Order in which connections are closed for their descriptors.
enum class need : std::uint8_t
{
    never_served,
    waits_for_request,
    answer_unread,
};

/// Returns the number of descriptors that this process may open.
std::uint64_t process_descriptors()
{
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0
               ? static_cast<std::uint64_t>(limit.rlim_cur)
               : std::numeric_limits<std::uint64_t>::max();
}

} // namespace

budget_limits limits_of_machine(std::uint64_t memory_mb,
                                std::uint32_t descriptors)
{
    budget_limits result;
    auto const known_mb = memory_mb > 0 ? memory_mb : small_machine_mb;
    result.bytes = known_mb * bytes_per_mb / memory_divisor;
    auto known_descriptors = process_descriptors();
    if (descriptors > 0)
    {
        known_descriptors =
            std::min<std::uint64_t>(known_descriptors, descriptors);
    }
    result.connections = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
        known_descriptors / descriptor_divisor, 1, max_connections));
    return result;
}

budget_limits limits_of_process(std::uint64_t memory_mb,
                                std::uint32_t connections)
{
    // Each request that is handled may need a connection to an upstream.
    auto const callers = process_descriptors() / 2;
    budget_limits result;
    result.bytes = memory_mb * bytes_per_mb;
    result.connections = static_cast<std::uint32_t>(
        std::clamp<std::uint64_t>(callers, 1, connections));
    return result;
}

std::string_view name_of(shed_reason reason) noexcept
{
    return reason_names[static_cast<std::size_t>(reason)];
}

connection_budget::member::member(connection_budget& budget,
                                  std::list<entry>::iterator place)
    : budget_(budget), place_(place)
{
}

connection_budget::member::~member()
{
    budget_.remove(place_);
}

void connection_budget::member::enter(connection_phase phase)
{
    place_->phase = phase;
    place_->since = clock::now();
    place_->served = place_->served || phase == connection_phase::handling;
}

bool connection_budget::member::hold(std::uint64_t bytes)
{
    budget_.set_bytes(*place_, bytes);
    while (budget_.bytes_ > budget_.limits_.bytes)
    {
        auto* const victim = budget_.largest();
        if (victim != nullptr && victim != &*place_)
        {
            budget_.shed(*victim, shed_reason::memory);
            continue;
        }
        if (victim == nullptr && !is_large_answer(*place_))
        {
            return true;
        }
        budget_.shed(*place_, shed_reason::memory);
        return false;
    }
    return true;
}

void connection_budget::member::report(shed_reason reason) const
{
    budget_.report(*place_, reason);
}

connection_budget::connection_budget(budget_limits limits, observer observe)
    : limits_(limits), observe_(std::move(observe))
{
}

bool connection_budget::make_room(std::string const& address)
{
    if (open_ < limits_.connections)
    {
        return true;
    }
    auto* const victim = least_needed();
    if (victim != nullptr)
    {
        victim->closing = true;
        --open_;
        shed(*victim, shed_reason::connections);
        return true;
    }
    if (observe_)
    {
        observe_(shed_reason::connections, address, 0);
    }
    return false;
}

std::unique_ptr<connection_budget::member>
connection_budget::add(std::string address,
                       std::function<void(shed_reason)> shed)
{
    entry added;
    added.address = std::move(address);
    added.shed = std::move(shed);
    added.since = clock::now();
    entries_.push_back(std::move(added));
    ++open_;
    return std::make_unique<member>(*this, std::prev(entries_.end()));
}

bool connection_budget::is_large_answer(entry const& candidate)
{
    return candidate.phase == connection_phase::answering &&
           candidate.bytes >= min_shed_answer_bytes;
}

// Returns the connection to close first; null if each has a request that is
// being handled or answered.
connection_budget::entry* connection_budget::least_needed()
{
    auto const now = clock::now();
    auto const need_of = [now](entry const& candidate) -> std::optional<need>
    {
        if (candidate.closing || candidate.phase == connection_phase::handling)
        {
            return std::nullopt;
        }
        if (candidate.phase == connection_phase::receiving)
        {
            return candidate.served ? need::waits_for_request
                                    : need::never_served;
        }
        return now - candidate.since >= unread_after
                   ? std::optional(need::answer_unread)
                   : std::nullopt;
    };
    entry* result = nullptr;
    std::optional<need> lowest;
    for (auto& candidate : entries_)
    {
        auto const current = need_of(candidate);
        if (current &&
            (!lowest || *current < *lowest ||
             (*current == *lowest && candidate.since < result->since)))
        {
            result = &candidate;
            lowest = current;
        }
    }
    return result;
}

// Returns the connection with the largest incomplete request or unread answer;
// null if there is none.
connection_budget::entry* connection_budget::largest()
{
    auto const now = clock::now();
    auto const may_be_shed = [now](entry const& candidate)
    {
        switch (candidate.phase)
        {
        case connection_phase::receiving:
            return candidate.bytes > 0;
        case connection_phase::answering:
            return is_large_answer(candidate) &&
                   now - candidate.since >= unread_after;
        case connection_phase::handling:
            break;
        }
        return false;
    };
    entry* result = nullptr;
    for (auto& candidate : entries_)
    {
        if (may_be_shed(candidate) &&
            (result == nullptr || candidate.bytes > result->bytes))
        {
            result = &candidate;
        }
    }
    return result;
}

void connection_budget::shed(entry& victim, shed_reason reason)
{
    report(victim, reason);
    set_bytes(victim, 0);
    victim.shed(reason);
}

void connection_budget::report(entry const& subject, shed_reason reason) const
{
    if (observe_)
    {
        observe_(reason, subject.address, subject.bytes);
    }
}

void connection_budget::set_bytes(entry& changed, std::uint64_t bytes)
{
    bytes_ = bytes_ - changed.bytes + bytes;
    changed.bytes = bytes;
}

void connection_budget::remove(std::list<entry>::iterator place)
{
    set_bytes(*place, 0);
    if (!place->closing)
    {
        --open_;
    }
    entries_.erase(place);
}

} // namespace fuchsia::adapters::http
