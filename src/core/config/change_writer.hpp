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

/// A change and the conditions under which it is accepted.
struct change_request
{
    change requested_change;
    /// Revision that the operator has seen. The change conflicts if the same
    /// contract or data centre was changed after this revision, or if the index
    /// has not reached it. If not set, the revision of the first index that the
    /// writer reads is used, so that only a change made meanwhile conflicts.
    std::optional<std::uint64_t> if_revision;
    /// Unique for each change of each process; letters, digits and dots.
    std::string write_id;
    /// Names of the data centres of instances and workers, to be added to the
    /// index.
    name_set observed_data_centres;
    /// Revision that this process has applied. An older index is a stale read.
    std::uint64_t known_revision = 0;
};

/// Outcome of a change. The code is `ok` (accepted at `revision`), `conflict`
/// (`revision` is the newest), `not_found`, `out_of_range`, the code of an
/// index that can't be parsed, `store_unavailable` (the change did not take
/// effect and never will) or `store_unclear` (it may have taken effect or may
/// still do so).
struct change_result
{
    common::failure reason;
    std::uint64_t revision = 0;

    bool accepted() const noexcept;
};

struct change_writer_settings
{
    /// Pause before the retry of a call.
    common::duration retry_interval = std::chrono::milliseconds(200);
    /// Time since the start after which no further call is sent for a change
    /// without a result; the change then fails. The calls that erase
    /// unreferenced documents after the result are not limited.
    common::duration give_up_after = std::chrono::seconds(5);
    /// Maximum number of compare-and-swaps lost to changes of other contracts
    /// or data centres, after which this change ends in a conflict.
    std::uint32_t max_lost_races = 16;
};

/// Writes one change to the store. The writer reads the index, checks that the
/// same contract or data centre has not been changed by another writer, writes
/// the document of a new or changed contract, and replaces the index by one
/// compare-and-swap. Only one call is in flight at a time.
///
/// If the reply to the swap is lost, the outcome is determined by reading the
/// index again, which contains the write ids of its newest revisions. While the
/// index is unchanged, the same swap is sent again; at most one of these swaps
/// succeeds, since all of them expect the same version.
class change_writer
{
public:
    change_writer(change_writer_settings settings, change_request request);

    /// `next_call` is the number of the next call of
    /// `store_requester::administration`; it is incremented for each call.
    void start(common::time_point now,
               std::uint64_t& next_call,
               ports::actions& out);
    void
    tick(common::time_point now, std::uint64_t& next_call, ports::actions& out);
    /// Returns false if the reply does not belong to this writer.
    bool on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        std::uint64_t& next_call,
                        ports::actions& out);

    change_request const& request() const noexcept;
    /// Returns the outcome; empty while it is not known.
    std::optional<change_result> const& result() const noexcept;
    /// Whether the writer has no more calls to send. After a change of a
    /// contract is accepted, the writer still erases unreferenced documents.
    bool finished() const noexcept;

private:
    enum class step : std::uint8_t
    {
        reading,
        writing_document,
        swapping_index,
        listing_documents,
        erasing_documents,
        finished,
    };

    /// The compare-and-swap of the index that was last sent.
    struct sent_swap
    {
        index_document index;
        std::uint64_t expected = 0;   ///< Version that the swap expects.
        bool may_take_effect = false; ///< Whether a reply to the swap was lost.
    };

    void
    send(common::time_point now, std::uint64_t& next_call, ports::actions& out);
    ports::store_operation operation() const;
    void schedule_retry(common::time_point now);
    void finish(common::failure reason, std::uint64_t revision);
    void on_index(common::time_point now, ports::store_reply const& reply);
    bool resolve_swap(common::time_point now,
                      index_document const& index,
                      std::uint64_t version);
    void prepare_swap(index_document index, std::uint64_t version);
    bool make_next_index(index_document& index, common::failure& reason);
    void on_document(common::time_point now, ports::store_status status);
    void on_swap(common::time_point now, ports::store_status status);
    void on_documents(ports::store_reply const& reply);
    std::string const* customer() const noexcept;

    change_writer_settings settings_;
    change_request request_;
    std::optional<change_result> result_;
    step step_ = step::reading;
    common::time_point give_up_at_{};
    common::time_point retry_at_{};
    std::optional<std::uint64_t> pending_call_id_; ///< Call in flight.
    bool send_due_ = false; ///< Whether the call of `step_` is to be sent now.
    /// Revision on which the change is based. A change to the same contract or
    /// data centre after this revision is a conflict.
    std::optional<std::uint64_t> base_revision_;
    std::uint32_t lost_races_ = 0;
    std::optional<sent_swap> swap_;
    std::string previous_document_; ///< Document that this change replaces.
    /// Documents still to be erased; at most `max_erased` of them.
    std::vector<ports::store_entry> unreferenced_documents_;
};

} // namespace fuchsia::core::config
