#pragma once

#include "core/membership/record.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsia::programs::planner
{

/// Fencing of a member on request of an operator, for a member that is known to
/// have ended together with its witnesses, so that these can't consent.
///
/// The request replaces the consent of the witnesses and nothing else: the
/// record must stay unchanged for `fence_after`, and the fencing is a
/// compare-and-swap on that same version. A member that runs and reaches the
/// store sends a heartbeat in between and can't be removed. A member that runs
/// but is partitioned from the store can be removed: it continues to act on the
/// promises of its witnesses while another member takes over its partitions,
/// and a slot may be assigned twice. Only the operator can rule this out.
class member_removal
{
public:
    member_removal(core::common::duration fence_after,
                   std::string role,
                   std::string name,
                   std::uint64_t write_id);

    void start(core::common::time_point now,
               std::uint64_t& next_call,
               ports::actions& out);
    void tick(core::common::time_point now,
              std::uint64_t& next_call,
              ports::actions& out);
    /// Returns false if the reply is not for this removal.
    bool on_store_reply(core::common::time_point now,
                        ports::store_reply const& reply,
                        std::uint64_t& next_call,
                        ports::actions& out);

    /// Key of the member's record.
    std::string const& key() const noexcept;
    /// Set when the removal is complete: `ok`, `not_found`, `conflict` (the
    /// member runs), `store_unavailable` (nothing was changed) or
    /// `store_unclear`.
    std::optional<core::common::failure> const& result() const noexcept;

private:
    void on_record(core::common::time_point now,
                   ports::store_reply const& reply);
    void on_write(core::common::time_point now, ports::store_status status);
    void wait_before_next_call(core::common::time_point now,
                               core::common::duration length);
    void finish(core::common::result_code code, std::string why);

    core::common::duration fence_after_;
    std::string role_;
    std::string name_;
    std::string key_;
    std::uint64_t write_id_;
    std::optional<core::common::failure> result_;
    std::optional<core::membership::record> last_record_;
    std::uint64_t version_ = 0;
    bool next_is_read_ = true;
    bool write_unclear_ = false;
    std::optional<std::uint64_t> call_in_flight_;
    core::common::time_point next_call_at_{};
    core::common::time_point deadline_{};
};

} // namespace fuchsia::programs::planner
