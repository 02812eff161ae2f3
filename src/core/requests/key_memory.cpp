#include "core/requests/key_memory.hpp"

#include <algorithm>

namespace fuchsia::core::requests
{

namespace
{

/// Memory of one key besides its text and answer, roughly.
constexpr std::size_t entry_overhead = 320;

std::size_t size_of(ports::caller_answer const& answer)
{
    std::size_t size = answer.body.size();
    for (auto const& one : answer.headers)
    {
        size += one.name.size() + one.value.size();
    }
    return size;
}

/// What a repetition is told where the first one's answer is not known.
ports::caller_answer memory_lost()
{
    using common::result_code;
    ports::caller_answer answer;
    answer.code = result_code::key_memory_lost;
    answer.status = common::row_of(answer.code).http_status;
    answer.outcome = common::outcome::unknown;
    return answer;
}

} // namespace

std::string customer_key(std::string const& customer, std::string const& key)
{
    return customer + "/" + key;
}

std::uint64_t fingerprint_of(ports::caller_request const& request)
{
    std::uint64_t hash = common::hash_of(request.method);
    hash = common::hash_of(request.target, hash);
    hash = common::hash_of(request.body, hash);
    return hash == 0 ? 1 : hash;
}

key_memory::key_memory(key_memory_settings const& settings)
    : settings_(settings)
{
}

void key_memory::open(std::uint32_t partition,
                      std::optional<common::time_point> reaches_from)
{
    auto& memory = partitions_[partition];
    memory.open = true;
    memory.complete_since = reaches_from;
}

std::vector<std::uint64_t> key_memory::close(std::uint32_t partition)
{
    std::vector<std::uint64_t> waiters;
    for (auto at = entries_.begin(); at != entries_.end();)
    {
        auto const next = std::next(at);
        if (at->second.partition == partition)
        {
            auto const& waiting = at->second.waiters;
            waiters.insert(waiters.end(), waiting.begin(), waiting.end());
            erase(at);
        }
        at = next;
    }
    std::erase_if(ended_,
                  [this](auto const& ended)
                  {
                      return !entries_.contains(ended.second);
                  });
    partitions_[partition] = {};
    return waiters;
}

bool key_memory::is_open(std::uint32_t partition) const noexcept
{
    return partitions_[partition].open;
}

key_lookup_result key_memory::look_up(common::time_point now,
                                      std::uint32_t partition,
                                      std::string const& key,
                                      std::uint64_t fingerprint,
                                      bool vouched) const
{
    auto const found = entries_.find(key);
    if (found != entries_.end())
    {
        auto const& known = found->second;
        if (known.fingerprint != 0 && known.fingerprint != fingerprint)
        {
            return {key_verdict::mismatch, nullptr};
        }
        return known.ended
                   ? key_lookup_result{key_verdict::ended, &known.answer}
                   : key_lookup_result{key_verdict::running, nullptr};
    }
    auto const& memory = partitions_[partition];
    bool const reaching = !memory.complete_since ||
                          now - *memory.complete_since >= settings_.retention;
    if (!memory.open || (!reaching && !vouched))
    {
        return {key_verdict::history_incomplete, nullptr};
    }
    bool const room =
        entries_.size() < settings_.max_keys &&
        bytes_ + entry_overhead + key.size() < settings_.max_bytes;
    return {room ? key_verdict::first_run : key_verdict::memory_full, nullptr};
}

void key_memory::begin(std::uint32_t partition,
                       std::string const& key,
                       std::uint64_t fingerprint)
{
    auto const [at, added] = entries_.try_emplace(key);
    if (!added)
    {
        return;
    }
    at->second.partition = partition;
    at->second.fingerprint = fingerprint;
    at->second.bytes = entry_overhead + 2 * key.size();
    bytes_ += at->second.bytes;
    ++partitions_[partition].running;
}

bool key_memory::add_waiter(std::string const& key, std::uint64_t waiter)
{
    auto const found = entries_.find(key);
    if (found == entries_.end() ||
        found->second.waiters.size() >= settings_.max_waiters)
    {
        return false;
    }
    found->second.waiters.push_back(waiter);
    return true;
}

std::vector<std::uint64_t>
key_memory::finish(common::time_point now,
                   std::string const& key,
                   ports::caller_answer const& answer)
{
    auto const found = entries_.find(key);
    if (found == entries_.end() || found->second.ended)
    {
        return {};
    }
    --partitions_[found->second.partition].running;
    std::vector<std::uint64_t> waiters;
    waiters.swap(found->second.waiters);
    end_with(now + settings_.retention, found, answer);
    return waiters;
}

std::vector<std::uint64_t> key_memory::forget(std::string const& key)
{
    auto const found = entries_.find(key);
    if (found == entries_.end() || found->second.ended)
    {
        return {};
    }
    std::vector<std::uint64_t> waiters;
    waiters.swap(found->second.waiters);
    erase(found);
    return waiters;
}

void key_memory::tick(common::time_point now)
{
    while (!ended_.empty() && ended_.front().first <= now)
    {
        auto const found = entries_.find(ended_.front().second);
        // A key whose partition left and came back has a later entry.
        if (found != entries_.end() && found->second.ended &&
            found->second.forget_at <= now)
        {
            erase(found);
        }
        ended_.pop_front();
    }
}

std::uint32_t key_memory::running(std::uint32_t partition) const noexcept
{
    return partitions_[partition].running;
}

common::duration
key_memory::history_length(common::time_point now,
                           std::uint32_t partition) const noexcept
{
    auto const& from = partitions_[partition].complete_since;
    return from ? std::min(now - *from, settings_.retention)
                : settings_.retention;
}

std::vector<ports::remembered_key>
key_memory::export_keys(common::time_point now, std::uint32_t partition) const
{
    std::vector<ports::remembered_key> keys;
    for (auto const& [name, known] : entries_)
    {
        if (known.partition != partition)
        {
            continue;
        }
        auto const slash = name.find('/');
        ports::remembered_key key;
        key.customer = name.substr(0, slash);
        key.key = name.substr(slash + 1);
        key.finished = known.ended;
        key.answer = known.answer;
        key.fingerprint = known.fingerprint;
        auto const left =
            known.ended ? known.forget_at - now : settings_.retention;
        key.age_us =
            static_cast<std::uint64_t>((settings_.retention - left).count());
        keys.push_back(std::move(key));
    }
    return keys;
}

bool key_memory::import_keys(common::time_point now,
                             std::uint32_t partition,
                             std::vector<ports::remembered_key> const& keys)
{
    std::size_t wanted = bytes_;
    for (auto const& key : keys)
    {
        wanted += entry_overhead + 2 * (key.customer.size() + key.key.size());
    }
    if (entries_.size() + keys.size() > settings_.max_keys ||
        wanted > settings_.max_bytes)
    {
        return false;
    }
    for (auto const& key : keys)
    {
        auto const name = customer_key(key.customer, key.key);
        begin(partition, name, key.fingerprint);
        auto const found = entries_.find(name);
        if (found->second.ended)
        {
            continue;
        }
        // What was running when it was handed over ends where nobody tells us.
        auto const age = common::duration(static_cast<std::int64_t>(
            std::min<std::uint64_t>(key.age_us, settings_.retention.count())));
        --partitions_[partition].running;
        end_with(now + settings_.retention - age,
                 found,
                 key.finished ? key.answer : memory_lost());
    }
    // Their ages differ, and forgetting goes from the front.
    std::sort(ended_.begin(), ended_.end());
    return true;
}

std::size_t key_memory::size() const noexcept
{
    return entries_.size();
}

std::size_t key_memory::bytes() const noexcept
{
    return bytes_;
}

void key_memory::end_with(common::time_point forget_at,
                          entries::iterator at,
                          ports::caller_answer const& answer)
{
    auto& known = at->second;
    known.ended = true;
    known.forget_at = forget_at;
    std::size_t const size = size_of(answer);
    bool const fits = bytes_ + size <= settings_.max_bytes;
    known.answer = fits ? answer : memory_lost();
    std::size_t const added = fits ? size : 0;
    known.bytes += added;
    bytes_ += added;
    ended_.emplace_back(forget_at, at->first);
}

void key_memory::erase(entries::iterator at)
{
    if (!at->second.ended)
    {
        --partitions_[at->second.partition].running;
    }
    bytes_ -= at->second.bytes;
    entries_.erase(at);
}

} // namespace fuchsia::core::requests
