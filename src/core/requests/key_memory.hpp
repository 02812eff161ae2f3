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
    /// How long after its end a key is remembered. Callers must not send a key
    /// again later than this after its first sending.
    common::duration retention = std::chrono::minutes(2);
    std::size_t max_keys = 100'000;
    std::size_t max_bytes = 64U << 20U;
    std::size_t max_waiters = 64; ///< On one running key.
};

/// What the owner of a key may do with a request that carries it.
enum class key_verdict : std::uint8_t
{
    first_run,          ///< Never seen, and it would have been: run it.
    running,            ///< Wait for the first one's answer.
    ended,              ///< Answer the same again.
    mismatch,           ///< The key belongs to another request.
    history_incomplete, ///< An earlier sending may have run before the memory
                        ///< begins.
    memory_full,        ///< No room to remember it, so it may not run.
};

struct key_lookup_result
{
    key_verdict verdict = key_verdict::history_incomplete;
    ports::caller_answer const* answer = nullptr; ///< Where it ended.
};

/// The name under which a key is remembered and by which it is given to a
/// partition.
std::string customer_key(std::string const& customer, std::string const& key);

/// Hash of what a request asks for; never 0.
std::uint64_t fingerprint_of(ports::caller_request const& request);

/// Idempotency keys of the partitions this entry owns: which run, and how the
/// others ended.
///
/// At most one run per key holds because only the owner of the key's partition
/// starts it and because it is not started unless the memory is known to hold
/// every earlier run. After a takeover without a handover the memory begins
/// empty at the takeover, and the predecessor may have run any key before. A
/// key that is not found is then `fresh` only where one of two things holds:
///
/// - the memory reaches back further than `keep`: a caller does not repeat a
///   key for longer, so an earlier run would be remembered;
/// - the request is vouched for: the entry that read it from the caller knows
///   that it is the key's first sending (Fuchsia-Attempt: 1) and that it was
///   sent after this claim began. All other sendings of the key are later
///   still, so none can have reached the predecessor. That it says "first"
///   alone proves nothing: it may have been held up on its way while the
///   second sending was run by the predecessor.
///
/// A key is never forgotten early. When the memory is full, new keys are
/// refused; an answer that does not fit is dropped but its key stays, and a
/// repetition is told "unknown".
class key_memory
{
public:
    explicit key_memory(key_memory_settings const& settings);

    /// The partition is ours; its memory holds all runs since `reaches_from`.
    /// Empty: all that ever were.
    void open(std::uint32_t partition,
              std::optional<common::time_point> reaches_from);
    /// The partition is no longer ours: forgets its keys. Returns the waiters
    /// of those that were running.
    std::vector<std::uint64_t> close(std::uint32_t partition);
    bool is_open(std::uint32_t partition) const noexcept;

    key_lookup_result look_up(common::time_point now,
                              std::uint32_t partition,
                              std::string const& key,
                              std::uint64_t fingerprint,
                              bool vouched) const;
    /// Remembers a fresh key as running, before anything is sent.
    void begin(std::uint32_t partition,
               std::string const& key,
               std::uint64_t fingerprint);
    /// Adds a request that waits for a running key; false where too many do.
    bool add_waiter(std::string const& key, std::uint64_t waiter);
    /// The run ended: remembers how, and returns the waiters.
    std::vector<std::uint64_t> finish(common::time_point now,
                                      std::string const& key,
                                      ports::caller_answer const& answer);
    /// Nothing was run after all: the key is fresh again.
    std::vector<std::uint64_t> forget(std::string const& key);
    /// Drops what is older than `keep`.
    void tick(common::time_point now);

    std::uint32_t running(std::uint32_t partition) const noexcept;
    /// How far back the memory of the partition reaches.
    common::duration history_length(common::time_point now,
                                    std::uint32_t partition) const noexcept;
    std::vector<ports::remembered_key>
    export_keys(common::time_point now, std::uint32_t partition) const;
    /// Takes over a predecessor's keys; false where they don't fit, so that
    /// the memory has to count as empty.
    bool import_keys(common::time_point now,
                     std::uint32_t partition,
                     std::vector<ports::remembered_key> const& keys);

    std::size_t size() const noexcept;
    std::size_t bytes() const noexcept;

private:
    struct entry
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
    using entries = std::unordered_map<std::string, entry>;

    void end_with(common::time_point forget_at,
                  entries::iterator at,
                  ports::caller_answer const& answer);
    void erase(entries::iterator at);

    key_memory_settings settings_;
    entries entries_;
    /// Ended keys in the order in which they are forgotten.
    std::deque<std::pair<common::time_point, std::string>> ended_;
    std::array<partition_memory, common::partition_count> partitions_;
    std::size_t bytes_ = 0;
};

} // namespace fuchsia::core::requests
