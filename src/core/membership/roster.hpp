#pragma once

#include "core/common/time.hpp"
#include "core/membership/member_info.hpp"
#include "core/membership/record.hpp"
#include "ports/store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// Records of all members of one role, as of the newest list from the store.
namespace fuchsia::core::membership
{

/// Record together with the times at which this process first observed it.
struct observed_record
{
    record value;
    std::uint64_t version = 0;
    /// Time of the first reply with this version.
    common::time_point version_seen;
    /// Time of the first reply with this incarnation.
    common::time_point incarnation_seen;
    /// Time of the first reply with a successor; valid if the record has one.
    common::time_point successor_seen;
    /// False if the value could not be parsed: the key exists, but does not
    /// tell whether the member is live or fenced.
    bool readable = true;
};

/// Newest list of records and the state derived from it. Of earlier lists it
/// keeps only the times at which the current values were first observed.
class roster
{
public:
    using records_by_name = std::map<std::string, observed_record, std::less<>>;

    /// Maximum number of records. A longer list is rejected as a whole, because
    /// a truncated list would show running members as removed.
    static constexpr std::size_t max_records = 1024;

    explicit roster(std::string role);

    /// Applies the reply to a list call that was sent at `sent_at`. Returns
    /// false and changes nothing if the list is older than the current one or
    /// too long. `reason` also reports records that could not be parsed.
    bool apply(common::time_point now,
               common::time_point sent_at,
               ports::store_reply const& reply,
               common::failure& reason);
    /// Applies a single record that the store is known to hold at `version`,
    /// such as after a write.
    void update_record(common::time_point now,
                       record const& value,
                       std::uint64_t version);

    bool is_loaded() const noexcept;
    /// Time at which the newest list call was sent.
    common::time_point list_sent() const noexcept;
    /// Store index at which the newest list was read: the list contains every
    /// change up to this index.
    std::uint64_t index() const noexcept;
    records_by_name const& records() const noexcept;
    observed_record const* find(std::string_view name) const noexcept;
    std::vector<member_info> const& live() const noexcept;
    bool is_fenced(ports::member_identity const& id) const noexcept;

private:
    observed_record read_entry(common::time_point now,
                               std::string const& name,
                               ports::store_entry const& entry,
                               common::failure& reason) const;
    void rebuild_live();

    std::string role_;
    records_by_name records_;
    std::vector<member_info> live_;
    common::time_point list_sent_{};
    std::uint64_t list_index_ = 0;
    bool known_ = false;
};

} // namespace fuchsia::core::membership
