#pragma once

#include "core/common/time.hpp"
#include "core/membership/platform_list.hpp"
#include "core/membership/roster.hpp"
#include "core/membership/safety_rules.hpp"
#include "core/membership/settings.hpp"
#include "core/membership/witness.hpp"
#include "ports/identity.hpp"
#include "ports/store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Detects members that no longer renew their record and fences them.
namespace fuchsia::core::membership
{

/// Request to `witness` for its consent to fence `subject` at `version`.
struct consent_query
{
    ports::member_identity witness;
    ports::member_identity subject;
    std::uint64_t version = 0;
};

/// Store write that fences `subject`.
struct fencing_write
{
    ports::member_identity subject;
    ports::store_write operation;
};

/// Requests and writes that `fencing::next` wants sent.
struct fencing_actions
{
    std::vector<consent_query> consent_queries;
    std::vector<fencing_write> writes;
};

/// Observer's part of a takeover. Member X is fenced under three conditions:
/// 1. two lists from the store, the second sent at least `fencing_delay` after
///    the reply to the first arrived, show X's record at the same version v;
/// 2. a majority of the witnesses named in v consents or has terminated: they
///    have been absent from the platform's list for `fencing_delay`, or a newer
///    process has run under their names for `fencing_delay` (both only with
///    `platform_list_replaces_consent`);
/// 3. a compare-and-swap of X's record from v to fenced succeeds.
///
/// Any member may be an observer. Each one waits longer according to its rank
/// in a hash order that depends on the subject, so that not all of them send
/// requests and writes at the same time.
class fencing
{
public:
    /// Maximum number of fencing candidates at the same time; others wait.
    static constexpr std::size_t max_candidates = 64;

    fencing(settings const& settings, safety_rules rules);

    /// Decides what to send now. `observer` fences any member or, while it has
    /// not joined, only the earlier incarnation under its own name.
    fencing_actions next(common::time_point now,
                         ports::member_identity const& observer,
                         bool joined,
                         roster const& members,
                         platform_list const& platform,
                         witness& own_witness,
                         std::mt19937_64& random);
    void on_consent(ports::member_identity const& witness,
                    ports::member_identity const& subject,
                    std::uint64_t version);
    /// Time at which the records should be read again to detect or follow a
    /// fencing. It counts only if it is earlier than the next regular list.
    common::time_point next_read_at(common::time_point now,
                                    ports::member_identity const& observer,
                                    roster const& members) const;
    /// Handles the reply to a `fencing_write`.
    void on_write_reply(common::time_point now,
                        ports::member_identity const& subject);

private:
    struct candidate
    {
        ports::member_identity subject;
        std::uint64_t version = 0;
        std::set<ports::member_identity> consents;
        common::time_point next_query{};
        common::duration query_interval{};
        common::time_point next_write{};
        bool writing = false;
    };

    bool is_unchanged(observed_record const& observed,
                      roster const& members) const;
    common::duration rank_delay(ports::member_identity const& observer,
                                ports::member_identity const& subject,
                                roster const& members) const;
    bool can_no_longer_promise(common::time_point now,
                               ports::member_identity const& witness,
                               roster const& members,
                               platform_list const& platform) const;
    bool may_fence(common::time_point now,
                   candidate const& target,
                   record const& value,
                   roster const& members,
                   platform_list const& platform) const;
    void request_consent(common::time_point now,
                         candidate& target,
                         record const& value,
                         ports::member_identity const& observer,
                         roster const& members,
                         witness& own_witness,
                         fencing_actions& actions) const;
    void drop_outdated(roster const& members);

    settings settings_;
    safety_rules rules_;
    std::map<std::string, candidate, std::less<>> candidates_;
};

} // namespace fuchsia::core::membership
