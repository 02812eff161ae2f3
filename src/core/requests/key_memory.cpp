#include "core/requests/key_memory.hpp"

#include <algorithm>

namespace fuchsia::core::requests
{

namespace
{

/// Approximate memory of one record besides the text of its key and answer.
constexpr std::size_t record_overhead_bytes = 320;

std::size_t size_of(ports::caller_answer const& answer)
{
    std::size_t size = answer.body.size();
    for (auto const& header : answer.headers)
    {
        size += header.name.size() + header.value.size();
    }
    return size;
}

/// Answer to a repetition if the answer of the first run is not known.
ports::caller_answer memory_lost_answer()
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
                      std::optional<common::time_point> complete_since)
{
    auto& memory = partitions_[partition];
    memory.open = true;
    memory.complete_since = complete_since;
}

std::vector<std::uint64_t> key_memory::close(std::uint32_t partition)
{
    std::vector<std::uint64_t> waiters;
    for (auto it = records_.begin(); it != records_.end();)
    {
        auto const next = std::next(it);
        if (it->second.partition == partition)
        {
            auto const& waiting = it->second.waiters;
            waiters.insert(waiters.end(), waiting.begin(), waiting.end());
            erase(it);
        }
        it = next;
    }
    std::erase_if(expiry_queue_,
                  [this](auto const& ended)
                  {
                      return !records_.contains(ended.second);
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
                                      bool first_sending_confirmed) const
{
    auto const found = records_.find(key);
    if (found != records_.end())
    {
        auto const& record = found->second;
        if (record.fingerprint != 0 && record.fingerprint != fingerprint)
        {
            return {key_verdict::mismatch, nullptr};
        }
        return record.ended
                   ? key_lookup_result{key_verdict::ended, &record.answer}
                   : key_lookup_result{key_verdict::running, nullptr};
    }
    auto const& memory = partitions_[partition];
    bool const reaches_back =
        !memory.complete_since ||
        now - *memory.complete_since >= settings_.retention;
    if (!memory.open || (!reaches_back && !first_sending_confirmed))
    {
        return {key_verdict::history_incomplete, nullptr};
    }
    bool const has_room =
        records_.size() < settings_.max_keys &&
        bytes_ + record_overhead_bytes + key.size() < settings_.max_bytes;
    return {has_room ? key_verdict::first_run : key_verdict::memory_full,
            nullptr};
}

void key_memory::begin(std::uint32_t partition,
                       std::string const& key,
                       std::uint64_t fingerprint)
{
    auto const [it, added] = records_.try_emplace(key);
    if (!added)
    {
        return;
    }
    it->second.partition = partition;
    it->second.fingerprint = fingerprint;
    it->second.bytes = record_overhead_bytes + 2 * key.size();
    bytes_ += it->second.bytes;
    ++partitions_[partition].running;
}

bool key_memory::add_waiter(std::string const& key, std::uint64_t waiter)
{
    auto const found = records_.find(key);
    if (found == records_.end() ||
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
    auto const found = records_.find(key);
    if (found == records_.end() || found->second.ended)
    {
        return {};
    }
    --partitions_[found->second.partition].running;
    std::vector<std::uint64_t> waiters;
    waiters.swap(found->second.waiters);
    record_end(now + settings_.retention, found, answer);
    return waiters;
}

std::vector<std::uint64_t> key_memory::forget(std::string const& key)
{
    auto const found = records_.find(key);
    if (found == records_.end() || found->second.ended)
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
    while (!expiry_queue_.empty() && expiry_queue_.front().first <= now)
    {
        auto const found = records_.find(expiry_queue_.front().second);
        // A key whose partition was released and acquired again may have a
        // record that is to be forgotten later.
        if (found != records_.end() && found->second.ended &&
            found->second.forget_at <= now)
        {
            erase(found);
        }
        expiry_queue_.pop_front();
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
    for (auto const& [name, record] : records_)
    {
        if (record.partition != partition)
        {
            continue;
        }
        auto const slash = name.find('/');
        ports::remembered_key key;
        key.customer = name.substr(0, slash);
        key.key = name.substr(slash + 1);
        key.finished = record.ended;
        key.answer = record.answer;
        key.fingerprint = record.fingerprint;
        auto const remaining =
            record.ended ? record.forget_at - now : settings_.retention;
        key.age_us = static_cast<std::uint64_t>(
            (settings_.retention - remaining).count());
        keys.push_back(std::move(key));
    }
    return keys;
}

bool key_memory::import_keys(common::time_point now,
                             std::uint32_t partition,
                             std::vector<ports::remembered_key> const& keys)
{
    std::size_t required_bytes = bytes_;
    for (auto const& key : keys)
    {
        required_bytes +=
            record_overhead_bytes + 2 * (key.customer.size() + key.key.size());
    }
    if (records_.size() + keys.size() > settings_.max_keys ||
        required_bytes > settings_.max_bytes)
    {
        return false;
    }
    for (auto const& key : keys)
    {
        auto const name = customer_key(key.customer, key.key);
        begin(partition, name, key.fingerprint);
        auto const found = records_.find(name);
        if (found->second.ended)
        {
            continue;
        }
        // This entry never learns the answer of a key that was still running
        // when it was handed over.
        auto const age = common::duration(static_cast<std::int64_t>(
            std::min<std::uint64_t>(key.age_us, settings_.retention.count())));
        --partitions_[partition].running;
        record_end(now + settings_.retention - age,
                   found,
                   key.finished ? key.answer : memory_lost_answer());
    }
    // `tick` takes keys from the front, and the imported ones differ in age.
    std::sort(expiry_queue_.begin(), expiry_queue_.end());
    return true;
}

std::size_t key_memory::size() const noexcept
{
    return records_.size();
}

std::size_t key_memory::bytes() const noexcept
{
    return bytes_;
}

void key_memory::record_end(common::time_point forget_at,
                            key_records::iterator it,
                            ports::caller_answer const& answer)
{
    auto& record = it->second;
    record.ended = true;
    record.forget_at = forget_at;
    std::size_t const size = size_of(answer);
    bool const fits = bytes_ + size <= settings_.max_bytes;
    record.answer = fits ? answer : memory_lost_answer();
    std::size_t const added = fits ? size : 0;
    record.bytes += added;
    bytes_ += added;
    expiry_queue_.emplace_back(forget_at, it->first);
}

void key_memory::erase(key_records::iterator it)
{
    if (!it->second.ended)
    {
        --partitions_[it->second.partition].running;
    }
    bytes_ -= it->second.bytes;
    records_.erase(it);
}

} // namespace fuchsia::core::requests
