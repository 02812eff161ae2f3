#pragma once

#include "core/common/time.hpp"
#include "core/membership/member.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsia::core::claims
{

/// Who owns one partition, as the store last showed it.
struct claim
{
    std::string partition;
    ports::member_identity owner; ///< Empty name: nobody.
    std::uint64_t epoch = 0;      ///< Rises with every change of owner.
    std::uint64_t version = 0;    ///< The store's version of its key.
};

enum class claim_change_kind : std::uint8_t
{
    acquired,       ///< Ours from now on.
    handover_asked, ///< Another live member is wished: hand over, then
                    ///< `release`.
    lost,           ///< No longer ours.
    owner_changed,  ///< Changed hands between others.
};

struct claim_change
{
    claim_change_kind kind = claim_change_kind::owner_changed;
    claim now;
    /// The owner before; empty name where there was none.
    ports::member_identity before;
    /// Acquired by `release` of a live predecessor rather than by burial.
    bool handed_over = false;
};

/// The partitions of one role: reads `partitions/<role>/`, claims by CAS those
/// that nobody live owns and that rendezvous hashing gives to this member, and
/// tells which are owned.
class claim_table
{
public:
    /// `partitions` may be replaced later (`set_partitions`): a planner's
    /// cells follow the list of workers.
    claim_table(std::string role, std::vector<std::string> partitions);

    void set_partitions(std::vector<std::string> partitions);

    void start(common::time_point now, ports::actions& out);
    void tick(common::time_point now,
              membership::member const& members,
              ports::actions& out);
    /// Only replies of `store_user::claims`.
    void on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        membership::member const& members,
                        ports::actions& out);

    /// Gives up one partition by CAS, in a handover or a planned stop.
    void release(common::time_point now,
                 std::string const& partition,
                 ports::actions& out);
    /// From now on claims nothing and asks to hand over everything.
    void begin_leaving() noexcept;

    /// Whether the partition is this member's and its proof stands.
    bool owns(common::time_point now,
              std::string const& partition,
              membership::member const& members) const noexcept;
    claim const* find(std::string const& partition) const noexcept;
    std::map<std::string, claim> const& all() const noexcept;
    /// Names of the partitions that are this member's.
    std::vector<std::string> owned(membership::member const& members) const;
    /// Whether the table has been read at least once.
    bool known() const noexcept;

    /// Changes since the last call.
    std::vector<claim_change> take_changes();

private:
    std::string role_;
    std::vector<std::string> partitions_;
    std::map<std::string, claim> claims_;
    std::vector<claim_change> changes_;
};

} // namespace fuchsia::core::claims
