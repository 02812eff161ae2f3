#pragma once

#include "core/claims/claim_record.hpp"
#include "ports/store.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// Latest known state of all claims of one role, as read from the store.
namespace fuchsia::core::claims
{

/// Latest known ownership of one partition.
struct claim
{
    std::string partition;
    ports::member_identity owner; ///< Empty name if the partition is unowned.
    std::uint64_t epoch = 0;      ///< Increases with every change of owner.
    std::uint64_t version = 0; ///< Version of the partition's key in the store.
    /// Member that last released the partition; empty name if its last owner
    /// was fenced instead.
    ports::member_identity released_by;
    /// Member that the partition was released for; empty name if any member may
    /// claim it.
    ports::member_identity handed_to;
};

enum class claim_change_kind : std::uint8_t
{
    acquired,           ///< This member now owns the partition.
    handover_requested, ///< Another live member is assigned: hand over,
                        ///< then call `release`.
    lost,               ///< This member no longer owns the partition.
    owner_changed,      ///< Ownership changed between other members.
};

/// One change of a claim, for the users of the table.
struct claim_change
{
    claim_change_kind kind = claim_change_kind::owner_changed;
    claim current;
    /// Owner before the change; empty name if there was none.
    ports::member_identity previous_owner;
    /// Whether a live predecessor released the partition, rather than being
    /// fenced.
    bool handed_over = false;
    /// For `handover_requested`: the assigned successor; empty name if there is
    /// no candidate.
    ports::member_identity assigned_to;
};

/// Claims by partition, each at the newest version that any reply has shown.
/// Replies may arrive out of order; a version that is not newer is ignored.
class claim_view
{
public:
    /// Maximum number of partitions of a role; further ones are ignored.
    static constexpr std::size_t max_partitions = 4096;

    explicit claim_view(std::string prefix);

    /// Sets the identity of this member, whose claims count as its own.
    void set_self(ports::member_identity const& self);
    /// Adds a partition, which may not have been claimed yet.
    void add(std::string const& partition);

    /// Applies the reply to a list or watch.
    void apply_list(ports::store_reply const& reply);
    /// Applies the reply to a read of one partition.
    void apply_read(std::string const& partition,
                    ports::store_reply const& reply);
    /// Applies a record known to be stored, such as after a successful write.
    void apply_claim(std::string const& partition,
                     claim_record const& value,
                     std::uint64_t version);

    /// Treats the partition as given up, even while the store still names this
    /// member as owner, until the store shows another owner or none.
    void begin_release(std::string const& partition);
    bool is_releasing(std::string const& partition) const noexcept;
    /// Appends a change that the claim table decided.
    void record_change(claim_change change);
    /// Returns and clears the changes since the last call.
    std::vector<claim_change> take_changes();

    std::map<std::string, claim> const& all() const noexcept;
    claim const* find(std::string const& partition) const noexcept;
    /// Whether any claim names `id` as its owner.
    bool names_owner(ports::member_identity const& id) const noexcept;
    /// Whether a list has been applied.
    bool is_loaded() const noexcept;
    /// Store index of the latest list, from which the next watch waits.
    std::uint64_t index() const noexcept;

private:
    void apply_entry(ports::store_entry const& entry);
    void apply_absence(std::string const& partition, std::uint64_t index);
    void record_owner_change(claim const& before, claim const& after);

    std::string prefix_;
    ports::member_identity self_;
    std::map<std::string, claim> claims_;
    std::set<std::string> releasing_;
    std::vector<claim_change> changes_;
    std::uint64_t index_ = 0;
    bool loaded_ = false;
};

} // namespace fuchsia::core::claims
