#pragma once

#include "core/membership/record.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsia::programs::planner
{

/// An operator's burial of a member that is known to be gone, where its
/// witnesses are gone with it and so can't consent.
///
/// It takes the place of the witnesses' consent and of nothing else: the
/// record must stand still for `bury`, and the burial is a compare-and-swap on
/// that same version. A member that runs and reaches the store beats in
/// between and can't be removed. One that runs and is cut off from the store
/// can: it goes on by its witnesses' promises while another takes over its
/// partitions, and a slot may be given twice. Only the operator can tell.
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
    /// False where the reply is not for this removal.
    bool on_store_reply(core::common::time_point now,
                        ports::store_reply const& reply,
                        std::uint64_t& next_call,
                        ports::actions& out);

    /// Key of the member's record.
    std::string const& key() const noexcept;
    /// Set at the end: `ok`, `not_found`, `conflict` (it runs),
    /// `store_unavailable` (nothing was changed) or `store_unclear`.
    std::optional<core::common::failure> const& result() const noexcept;

private:
    void on_record(core::common::time_point now,
                   ports::store_reply const& reply);
    void on_write(core::common::time_point now, ports::store_status status);
    void wait_before_next_call(core::common::time_point now, core::common::duration length);
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
