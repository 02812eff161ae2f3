#pragma once

#include "core/claims/claim_record.hpp"
#include "ports/store.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// What the store last showed of all claims of one role.
namespace fuchsia::core::claims
{

/// Who owns one partition, as the store last showed it.
struct claim
{
    std::string partition;
    ports::member_identity owner; ///< Empty name: nobody.
    std::uint64_t epoch = 0;      ///< Rises with every change of owner.
    std::uint64_t version = 0;    ///< The store's version of its key.
    /// Who released it last; empty name where its owner was buried.
    ports::member_identity released_by;
    /// Whom it was released for; empty name where that does not matter.
    ports::member_identity handed_to;
};

enum class claim_change_kind : std::uint8_t
{
    acquired,           ///< Ours from now on.
    handover_requested, ///< Another live member is wished: hand over, then
                        ///< `release`.
    lost,               ///< No longer ours.
    owner_changed,      ///< Changed hands between others.
};

struct claim_change
{
    claim_change_kind kind = claim_change_kind::owner_changed;
    claim current;
    /// The owner before; empty name where there was none.
    ports::member_identity previous_owner;
    /// Acquired by `release` of a live predecessor rather than by burial.
    bool handed_over = false;
    /// Of `handover_asked`: who is wished; empty name where nobody is left.
    ports::member_identity assigned_to;
};

/// The claims by partition, each at the newest version that any answer showed.
/// Answers come out of order; a version that is not newer changes nothing.
class claim_view
{
public:
    /// Most partitions of a role; further ones are not looked at.
    static constexpr std::size_t max_partitions = 4096;

    explicit claim_view(std::string prefix);

    /// Whose claims count as ours.
    void set_self(ports::member_identity const& self);
    /// Makes room for a partition that nobody may have claimed yet.
    void add(std::string const& partition);

    /// Takes the answer to a list or watch.
    void apply_list(ports::store_reply const& reply);
    /// Takes the answer to a read of one partition.
    void apply_read(std::string const& partition,
                    ports::store_reply const& reply);
    /// Takes what is known to stand, such as after a write.
    void take(std::string const& partition,
              claim_record const& value,
              std::uint64_t version);

    /// From now on the partition counts as given up, whatever is shown, until
    /// the store shows another owner or none.
    void begin_release(std::string const& partition);
    bool is_releasing(std::string const& partition) const noexcept;
    /// Appends a change that the table itself decided.
    void record_change(claim_change change);
    std::vector<claim_change> take_changes();

    std::map<std::string, claim> const& all() const noexcept;
    claim const* find(std::string const& partition) const noexcept;
    bool names_owner(ports::member_identity const& id) const noexcept;
    /// Whether a list has been taken.
    bool is_loaded() const noexcept;
    /// The index to wait on for news.
    std::uint64_t index() const noexcept;

private:
    void take_entry(ports::store_entry const& entry);
    void take_absent(std::string const& partition, std::uint64_t index);
    void record_owner_change(claim const& before, claim const& after);

    std::string prefix_;
    ports::member_identity self_;
    std::map<std::string, claim> claims_;
    std::set<std::string> releasing_;
    std::vector<claim_change> changes_;
    std::uint64_t index_ = 0;
    bool known_ = false;
};

} // namespace fuchsia::core::claims
