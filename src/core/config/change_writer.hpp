#pragma once

#include "core/config/change.hpp"
#include "core/config/index.hpp"
#include "core/config/name_set.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::core::config
{

struct change_request
{
    change requested_change;
    /// The operator saw this revision: a conflict where the same contract or
    /// data centre was changed after it. Without it, the change conflicts
    /// only with one that comes in while it is under way.
    std::optional<std::uint64_t> if_revision;
    /// Different for each change of each process; letters, digits and dots.
    std::string write_id;
    /// Data centres of instances and workers; the index remembers them.
    name_set observed_data_centres;
    /// This process has applied this revision: an older index is stale.
    std::uint64_t known_revision = 0;
};

/// How a change ended: `ok` (accepted at `revision`), `conflict` (`revision`
/// is the newest), `not_found`, `out_of_range`, `store_unavailable` (nothing
/// was changed and nothing will be) or `store_unclear`.
struct change_result
{
    common::failure reason;
    std::uint64_t revision = 0;

    bool accepted() const noexcept;
};

struct change_writer_settings
{
    common::duration retry_interval = std::chrono::milliseconds(200);
    /// No call is begun after this time since the start.
    common::duration give_up_after = std::chrono::seconds(5);
    /// Changes of other things that may come first before this one gives up.
    std::uint32_t max_lost_races = 16;
};

/// One change on its way into the store: reads the index, checks that nobody
/// else changed the same thing, writes the contract's document, and moves the
/// index by one compare-and-swap. One call at a time.
///
/// A lost answer of the swap is settled by reading back: the index names the
/// writers of its newest revisions. While the index stands as it was, the same
/// swap is sent again; whichever of the two comes first, the other fails.
class change_writer
{
public:
    change_writer(change_writer_settings settings, change_request request);

    /// `next_call` numbers the calls of `store_user::administration`; it is
    /// counted up for each.
    void start(common::time_point now,
               std::uint64_t& next_call,
               ports::actions& out);
    void
    tick(common::time_point now, std::uint64_t& next_call, ports::actions& out);
    /// False where the reply is not for this writer.
    bool on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        std::uint64_t& next_call,
                        ports::actions& out);

    change_request const& request() const noexcept;
    /// Set once the outcome is known.
    std::optional<change_result> const& result() const noexcept;
    /// Whether nothing is left to do; after the result, documents that
    /// nothing points to any more are erased.
    bool finished() const noexcept;

private:
    enum class step : std::uint8_t
    {
        reading,
        writing_document,
        moving_index,
        listing_documents,
        erasing_documents,
        finished,
    };

    /// An index that was sent, and perhaps written.
    struct sent_move
    {
        index_document index;
        std::uint64_t expected = 0;
        bool unclear = false; ///< It may have taken effect, or may yet.
    };

    void
    send(common::time_point now, std::uint64_t& next_call, ports::actions& out);
    ports::store_operation operation() const;
    void pause(common::time_point now);
    void finish(common::failure reason, std::uint64_t revision);
    void on_index(common::time_point now, ports::store_reply const& reply);
    bool settle_move(common::time_point now,
                     index_document const& index,
                     std::uint64_t version);
    void decide(index_document index, std::uint64_t version);
    bool make_next(index_document& index, common::failure& reason);
    void on_document(common::time_point now, ports::store_status status);
    void on_move(common::time_point now, ports::store_status status);
    void on_documents(ports::store_reply const& reply);
    std::string const* customer() const noexcept;

    change_writer_settings settings_;
    change_request request_;
    std::optional<change_result> result_;
    step step_ = step::reading;
    common::time_point give_up_at_{};
    common::time_point retry_at_{};
    std::optional<std::uint64_t> waiting_for_; ///< Number of the call.
    bool ready_ = false; ///< The call of `step_` is to be sent at once.
    std::optional<std::uint64_t> base_;
    std::uint32_t lost_races_ = 0;
    std::optional<sent_move> move_;
    std::string previous_document_;
    std::vector<ports::store_entry> garbage_; ///< At most `max_erased`.
};

} // namespace fuchsia::core::config
