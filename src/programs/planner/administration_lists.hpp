#pragma once

#include "core/config/configuration.hpp"
#include "core/membership/record.hpp"
#include "ports/actions.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Lists of members and partitions, read from the store on request.
namespace fuchsia::programs::planner
{

/// Cached list of all keys with one prefix. It is read again when it is older
/// than `max_age`, so that any number of operators who wait for a revision
/// cause at most five list calls per second.
class cached_list
{
public:
    static constexpr core::common::duration max_age =
        std::chrono::milliseconds(200);

    explicit cached_list(std::string prefix);

    /// Sends a list call unless the list is fresh or a call is in flight.
    void refresh(core::common::time_point now,
                 std::uint64_t& next_call,
                 ports::actions& out);
    /// Returns false if the reply is not for this list.
    bool on_store_reply(ports::store_reply const& reply);

    bool in_flight() const noexcept;
    /// Whether the last call failed; reset when the next one is sent.
    bool failed() const noexcept;
    std::vector<ports::store_entry> const& entries() const noexcept;

private:
    bool is_fresh(core::common::time_point now) const noexcept;

    std::string prefix_;
    std::optional<std::uint64_t> call_in_flight_;
    core::common::time_point sent_at_{};
    bool loaded_ = false;
    bool failed_ = false;
    std::vector<ports::store_entry> entries_;
};

/// Parses the records of the members of both roles, in the order of their keys;
/// skips malformed records.
std::vector<core::membership::record>
read_members(std::vector<ports::store_entry> const& entries);

/// Members that may still act on a configuration older than `revision`: those
/// with a record that is not fenced and that reports an older revision.
boost::json::array
not_reported(std::vector<core::membership::record> const& members,
             std::uint64_t revision);

/// Description of a member for answers of the API.
boost::json::object describe_member(core::membership::record const& member);

/// Number of partitions that each member owns, by role.
boost::json::object
count_claims(std::vector<ports::store_entry> const& entries);

} // namespace fuchsia::programs::planner
