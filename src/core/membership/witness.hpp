#pragma once

#include "core/common/time.hpp"
#include "core/membership/roster.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <map>

// Obligations of this process as a witness of other members.
namespace fuchsia::core::membership
{

/// Stores promises and consents of this witness. A promise to a member excludes
/// consent to its fencing for `fencing_delay`. A consent excludes further
/// promises to that incarnation until this witness has read a record newer than
/// the one to be fenced.
///
/// Both are kept in memory only: a restarted witness is another incarnation
/// that no record names, so the lost promises and consents bind nobody.
class witness
{
public:
    /// Maximum number of promises and maximum number of consents that are
    /// stored; further requests are refused.
    static constexpr std::size_t max_remembered = 1024;

    explicit witness(common::duration fencing_delay);

    /// Decides whether to give `subject` a promise, and stores a given one.
    bool promise(common::time_point now,
                 ports::member_identity const& subject,
                 roster const& members);
    /// Decides whether to consent to the fencing of `subject` at `version`, and
    /// stores a given consent.
    bool consent(common::time_point now,
                 ports::member_identity const& subject,
                 std::uint64_t version,
                 roster const& members);
    /// Discards expired promises and the consents for which the roster contains
    /// a newer record.
    void on_list(common::time_point now, roster const& members);
    /// Makes all promises count as given now. After a pause their age is
    /// unknown, because the clock may have stopped together with the process.
    void on_pause(common::time_point now) noexcept;

private:
    common::duration fencing_delay_;
    std::map<ports::member_identity, common::time_point> promises_;
    std::map<ports::member_identity, std::uint64_t> consents_;
};

} // namespace fuchsia::core::membership
