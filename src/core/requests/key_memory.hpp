#pragma once

#include "core/common/hash.hpp"
#include "core/common/time.hpp"
#include "ports/peer.hpp"
#include "ports/requests.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fuchsia::core::requests
{

struct key_memory_settings
{
    /// Time that a key is remembered after its run ended. Callers must not
    /// repeat a key later than this after they first sent it.
    common::duration retention = std::chrono::minutes(2);
    std::size_t max_keys = 100'000; ///< Running and ended keys together.
    std::size_t max_bytes = 64U << 20U;
    std::size_t max_waiters =
        64; ///< Maximum number of requests waiting for one running key.
};

/// What the owner of a key has to do with a request that carries it.
enum class key_verdict : std::uint8_t
{
    first_run,          ///< The key has certainly not run before: run it.
    running,            ///< Wait for the answer of the running request.
    ended,              ///< Repeat the remembered answer.
    mismatch,           ///< The key belongs to another request.
    history_incomplete, ///< The key may have run before the time from which
                        ///< the memory is complete.
    memory_full,        ///< The key can't be remembered, so it may not run.
};

struct key_lookup_result
{
    key_verdict verdict = key_verdict::history_incomplete;
    ports::caller_answer const* answer =
        nullptr; ///< Set if the verdict is `ended`.
};

/// Name under which a key is remembered and from which its partition is
/// derived.
std::string customer_key(std::string const& customer, std::string const& key);

/// Hash of a request's method, target and body; never 0.
std::uint64_t fingerprint_of(ports::caller_request const& request);

/// Idempotency keys of the partitions that this entry owns: the running ones,
/// and the answers of the ended ones.
///
/// A key runs at most once because only the owner of its partition starts it,
/// and only if the memory is known to hold every earlier run. After a takeover
/// without a handover the memory is empty, and the predecessor may have run any
/// key. A key that is not found is then a first run only if one of two
/// conditions holds:
///
/// - The memory reaches back further than `retention`. Callers do not repeat a
/// key
///   after that time, so an earlier run would be remembered.
/// - The request is confirmed as the first sending: the entry that read it from
///   the caller knows that it is the key's first sending (Fuchsia-Attempt: 1)
///   and that it was sent after this claim began. All other sendings of the key
///   are later, so none can have reached the predecessor. The header alone
///   proves nothing: the first sending may have been delayed in transit while
///   the predecessor ran the second one.
///
/// A key is never forgotten early. When the memory is full, new keys are
/// refused. An answer that does not fit is dropped, but its key stays, and a
/// repetition gets the outcome "unknown".
class key_memory
{
public:
    explicit key_memory(key_memory_settings const& settings);

    /// Starts the memory of a partition that this entry now owns. It holds all
    /// runs since `complete_since`, or all runs ever if that is empty.
    void open(std::uint32_t partition,
              std::optional<common::time_point> complete_since);
    /// Forgets the keys of a partition that this entry no longer owns. Returns
    /// the requests that waited for its running keys.
    std::vector<std::uint64_t> close(std::uint32_t partition);
    bool is_open(std::uint32_t partition) const noexcept;

    key_lookup_result look_up(common::time_point now,
                              std::uint32_t partition,
                              std::string const& key,
                              std::uint64_t fingerprint,
                              bool first_sending_confirmed) const;
    /// Remembers a new key as running. Called before the request is sent.
    void begin(std::uint32_t partition,
               std::string const& key,
               std::uint64_t fingerprint);
    /// Adds a request that waits for a running key; false if too many do.
    bool add_waiter(std::string const& key, std::uint64_t waiter);
    /// Remembers the answer of a run that ended and returns the requests that
    /// waited for it.
    std::vector<std::uint64_t> finish(common::time_point now,
                                      std::string const& key,
                                      ports::caller_answer const& answer);
    /// Forgets a running key because its request was not run after all. Returns
    /// the requests that waited for it.
    std::vector<std::uint64_t> forget(std::string const& key);
    /// Drops keys that ended more than `retention` ago.
    void tick(common::time_point now);

    std::uint32_t running(std::uint32_t partition) const noexcept;
    /// Time for which the memory of the partition is complete, at most
    /// `retention`.
    common::duration history_length(common::time_point now,
                                    std::uint32_t partition) const noexcept;
    std::vector<ports::remembered_key>
    export_keys(common::time_point now, std::uint32_t partition) const;
    /// Adds a predecessor's keys; false if they don't fit, in which case the
    /// memory must be treated as empty.
    bool import_keys(common::time_point now,
                     std::uint32_t partition,
                     std::vector<ports::remembered_key> const& keys);

    std::size_t size() const noexcept;
    std::size_t bytes() const noexcept;

private:
    struct key_record
    {
        std::uint32_t partition = 0;
        std::uint64_t fingerprint = 0;
        bool ended = false;
        common::time_point forget_at;
        ports::caller_answer answer;
        std::vector<std::uint64_t> waiters;
        std::size_t bytes = 0;
    };
    struct partition_memory
    {
        bool open = false;
        std::optional<common::time_point> complete_since;
        std::uint32_t running = 0;
    };
    using key_records = std::unordered_map<std::string, key_record>;

    void record_end(common::time_point forget_at,
                    key_records::iterator it,
                    ports::caller_answer const& answer);
    void erase(key_records::iterator it);

    key_memory_settings settings_;
    key_records records_;
    /// Ended keys with the time at which to forget them, earliest first.
    std::deque<std::pair<common::time_point, std::string>> expiry_queue_;
    std::array<partition_memory, common::partition_count> partitions_;
    std::size_t bytes_ = 0;
};

} // namespace fuchsia::core::requests
