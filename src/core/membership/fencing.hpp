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

// Finds members whose record stands still, and buries them.
namespace fuchsia::core::membership
{

/// "Ask `witness` whether `subject` may be buried at `version`."
struct consent_query
{
    ports::member_identity witness;
    ports::member_identity subject;
    std::uint64_t version = 0;
};

/// "Write `operation`; its answer belongs to the burial of `subject`."
struct fencing_write
{
    ports::member_identity subject;
    ports::store_write operation;
};

/// What `burial::next` decided.
struct fencing_actions
{
    std::vector<consent_query> consent_queries;
    std::vector<fencing_write> writes;
};

/// The observer's part of a takeover. Three conditions bury member X:
/// 1. two lists answered by the store, the second sent at least `bury` after
///    the first came in, show X's record at the same version v;
/// 2. a majority of the witnesses named in v consents, or is gone: the
///    platform's list has dropped them for `bury`, or a newer process has run
///    under their names for `bury` (both only with `list_stands_in`);
/// 3. a compare-and-swap of X's record from v to buried succeeds.
///
/// Any member may observe. So that not all ask and write at once, each waits
/// longer by its rank in a hash order drawn for the subject.
class fencing
{
public:
    /// Most burials pursued at once; the rest waits for its turn.
    static constexpr std::size_t max_candidates = 64;

    fencing(settings const& settings, safety_rules rules);

    /// `observer` buries any member, or, while it has not joined, only
    /// `predecessor`, the earlier incarnation under its own name.
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
    /// When the records should be read again to find or follow a burial, were
    /// it sooner than the next regular list.
    common::time_point next_read_at(common::time_point now,
                                    ports::member_identity const& observer,
                                    roster const& members) const;
    /// The answer to a `burial_write` came.
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
