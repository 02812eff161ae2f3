#pragma once

#include "core/common/time.hpp"
#include "core/membership/roster.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <map>

// What this process owes to others as their witness.
namespace fuchsia::core::membership
{

/// Remembers promises ("for `bury` I consent to no burial of yours") and
/// consents ("I promise nothing to that incarnation any more, until I have
/// read a record newer than the one to be buried").
///
/// Both live in memory only: a witness that restarted is another incarnation,
/// is named in no record, and what it forgot binds nobody.
class witness
{
public:
    /// Most promises, and most consents, that are remembered; beyond it the
    /// answer is no.
    static constexpr std::size_t max_remembered = 1024;

    explicit witness(common::duration bury);

    /// Whether the promise is given to `subject`; notes it where it is.
    bool promise(common::time_point now,
                 ports::member_identity const& subject,
                 roster const& members);
    /// Whether `subject` may be buried at `version`; notes it where so.
    bool consent(common::time_point now,
                 ports::member_identity const& subject,
                 std::uint64_t version,
                 roster const& members);
    /// Lets go of consents whose record is newer now, and of old promises.
    void on_list(common::time_point now, roster const& members);
    /// After a pause it can't be told how long ago a promise was given, where
    /// the clock stood still with the process: all count as given now.
    void on_pause(common::time_point now) noexcept;

private:
    common::duration fencing_delay_;
    std::map<ports::member_identity, common::time_point> promises_;
    std::map<ports::member_identity, std::uint64_t> consents_;
};

} // namespace fuchsia::core::membership
