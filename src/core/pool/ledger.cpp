#include "core/pool/ledger.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

using ports::kv_reply;
using ports::kv_status;

constexpr char const* ledger_key = "ledger";

} // namespace

ledger::ledger(ledger_settings settings,
               claim& owned_claim,
               outbox& out,
               common::time_point now)
    : settings_(settings), claim_(owned_claim), out_(out), last_tick_(now)
{
}

template<class Visitor>
void ledger::for_each(Visitor visit) const
{
    std::for_each(in_flight_.begin(), in_flight_.end(), visit);
    std::for_each(results_.begin(), results_.end(), visit);
    std::for_each(records_.begin(), records_.end(), visit);
}

// The entry takes the number of the record that it replaces, so that barriers
// of that record also wait for the entry. Otherwise the end of a task could be
// acknowledged while the entry still waits, and would be lost if this owner
// failed.
void ledger::write(write_rank rank,
                   entry new_entry,
                   std::string const& replaced_key)
{
    queued_entry queued;
    queued.content = std::move(new_entry);
    enqueue(rank, std::move(queued));
    if (replaced_key.empty())
    {
        return;
    }
    auto& number = queue_of(rank).back().number;
    for_each(
        [&number, &replaced_key](queued_entry const& item)
        {
            if (item.latest_key == replaced_key)
            {
                number = std::min(number, item.number);
            }
        });
}

void ledger::write_latest(write_rank rank,
                          std::string const& key,
                          value_source value,
                          durable_handler on_durable)
{
    if (!queued_keys_.insert(key).second)
    {
        return;
    }
    queued_entry item;
    item.latest_key = key;
    item.value = std::move(value);
    item.content.on_durable = std::move(on_durable);
    enqueue(rank, std::move(item));
}

void ledger::enqueue(write_rank rank, queued_entry item)
{
    item.queued_at = last_tick_;
    item.number = ++last_entry_;
    queue_of(rank).push_back(std::move(item));
}

std::deque<ledger::queued_entry>& ledger::queue_of(write_rank rank) noexcept
{
    return rank == write_rank::result ? results_ : records_;
}

void ledger::after_all(durable_handler handler)
{
    barriers_.push_back({last_entry_, std::move(handler)});
}

std::size_t ledger::entries() const noexcept
{
    return results_.size() + records_.size() + in_flight_.size();
}

std::size_t ledger::waiting() const noexcept
{
    return entries() + barriers_.size();
}

ledger::queued_entry const* ledger::oldest() const noexcept
{
    queued_entry const* first = nullptr;
    for_each(
        [&first](queued_entry const& item)
        {
            bool const older = first == nullptr || item.number < first->number;
            first = older ? &item : first;
        });
    return first;
}

common::duration ledger::lag(common::time_point now) const noexcept
{
    auto const* const first = oldest();
    return first == nullptr ? common::duration{} : now - first->queued_at;
}

commit_mark ledger::last_commit() const noexcept
{
    return last_commit_;
}

std::uint64_t ledger::revision() const noexcept
{
    return revision_;
}

// Entries that a handler writes get higher numbers, so they don't affect the
// barriers that are passed here.
void ledger::pass_barriers(common::time_point now)
{
    auto const* const first = oldest();
    auto const durable = first == nullptr ? last_entry_ : first->number - 1;
    while (!barriers_.empty() && barriers_.front().number <= durable)
    {
        auto const handler = std::move(barriers_.front().handler);
        barriers_.pop_front();
        handler(now);
    }
}

void ledger::tick(common::time_point now)
{
    last_tick_ = now;
    if (!claim_.held())
    {
        return;
    }
    if (entries() == 0)
    {
        pass_barriers(now);
        return;
    }
    if (call_pending_ || now < next_call_at_)
    {
        return;
    }
    if (revision_known_)
    {
        commit(now);
    }
    else
    {
        read_revision();
    }
}

// Reads the common key for its revision. Its value also shows which of the
// commits without an answer took effect; that need not be the last one sent.
void ledger::read_revision()
{
    call_pending_ = true;
    out_.store(
        life_,
        ports::kv_read{ledger_key},
        settings_.call_timeout,
        [this](common::time_point at, kv_reply const& reply)
        {
            call_pending_ = false;
            bool const readable = reply.status == kv_status::done ||
                                  reply.status == kv_status::missing;
            if (!readable)
            {
                next_call_at_ = at + settings_.retry;
                return;
            }
            bool const exists = !reply.items.empty();
            auto const applied =
                exists ? own_commit_number(reply.items.front().value) : 0;
            revision_known_ = true;
            committed(at, exists ? reply.items.front().revision : 0, applied);
            tick(at);
        });
}

std::string ledger::commit_mark_text(std::uint64_t commit) const
{
    return std::to_string(claim_.epoch()) + "." + std::to_string(commit);
}

// Returns 0 if the mark does not identify a commit of this owner.
std::uint64_t ledger::own_commit_number(std::string_view mark) const
{
    auto const prefix = std::to_string(claim_.epoch()) + ".";
    std::uint64_t number = 0;
    if (mark.starts_with(prefix))
    {
        std::from_chars(
            mark.data() + prefix.size(), mark.data() + mark.size(), number);
    }
    return number;
}

void ledger::queued_entry::refresh()
{
    latest_value = value ? value() : std::nullopt;
}

std::size_t ledger::queued_entry::changes() const noexcept
{
    return content.puts.size() + content.erases.size() + (latest_value ? 1 : 0);
}

// Entries of a commit that had no effect are still in flight; their values are
// read again for the next commit.
void ledger::refresh_in_flight()
{
    for (auto& item : in_flight_)
    {
        item.refresh();
    }
}

// Moves waiting entries into the commit until it holds `change_limit` changes.
void ledger::take_waiting(write_rank rank, std::size_t change_limit)
{
    auto& waiting = queue_of(rank);
    std::size_t changes = 0;
    std::set<std::string> present;
    for (auto const& item : in_flight_)
    {
        changes += item.changes();
        present.insert(item.latest_key);
    }
    while (!waiting.empty())
    {
        auto& next = waiting.front();
        bool const already_present =
            !next.latest_key.empty() && present.contains(next.latest_key);
        next.refresh();
        changes += already_present ? 0 : next.changes();
        if (changes > change_limit && !in_flight_.empty())
        {
            return;
        }
        queued_keys_.erase(next.latest_key);
        present.insert(next.latest_key);
        next.first_commit = last_commit_number_ + 1;
        in_flight_.push_back(std::move(next));
        waiting.pop_front();
    }
}

ports::kv_commit ledger::changes_in_flight() const
{
    ports::kv_commit commit;
    std::set<std::string> present;
    for (auto const& item : in_flight_)
    {
        auto const& content = item.content;
        commit.puts.insert(
            commit.puts.end(), content.puts.begin(), content.puts.end());
        commit.erases.insert(
            commit.erases.end(), content.erases.begin(), content.erases.end());
        if (item.latest_value && present.insert(item.latest_key).second)
        {
            commit.puts.push_back({item.latest_key, *item.latest_value, 0});
        }
    }
    return commit;
}

void ledger::commit(common::time_point now)
{
    refresh_in_flight();
    auto const reserved = records_.empty() ? 0 : settings_.record_share;
    take_waiting(write_rank::result, settings_.max_changes - reserved);
    take_waiting(write_rank::record, settings_.max_changes);
    auto commit = changes_in_flight();
    if (commit.puts.empty() && commit.erases.empty())
    {
        committed(now, revision_, last_commit_number_ + 1);
        return;
    }
    ++last_commit_number_;
    last_commit_sent_at_ = now;
    commit.preconditions.push_back(claim_.condition());
    commit.preconditions.push_back({ledger_key, revision_});
    commit.puts.push_back(
        {ledger_key, commit_mark_text(last_commit_number_), 0});
    call_pending_ = true;
    next_call_at_ = now + settings_.interval;
    out_.store(life_,
               std::move(commit),
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   call_pending_ = false;
                   on_commit(at, reply);
               });
}

// Handles that all entries of commits up to `number` have become durable.
void ledger::committed(common::time_point now,
                       std::uint64_t revision,
                       std::uint64_t number)
{
    revision_ = revision;
    auto const rest =
        std::stable_partition(in_flight_.begin(),
                              in_flight_.end(),
                              [number](queued_entry const& item)
                              {
                                  return item.first_commit <= number;
                              });
    std::vector<queued_entry> durable(
        std::make_move_iterator(in_flight_.begin()),
        std::make_move_iterator(rest));
    in_flight_.erase(in_flight_.begin(), rest);
    // A full commit of results is sent at once because callers query results.
    // Records can wait without loss: the next commit contains their newest
    // values.
    if (results_.size() >= settings_.max_changes)
    {
        next_call_at_ = now;
    }
    for (auto const& item : durable)
    {
        if (item.content.on_durable)
        {
            item.content.on_durable(now);
        }
    }
    pass_barriers(now);
}

void ledger::on_commit(common::time_point now, kv_reply const& reply)
{
    if (reply.status == kv_status::done)
    {
        last_commit_ = {last_commit_sent_at_, reply.revision};
        committed(now, reply.revision, last_commit_number_);
        return;
    }
    if (reply.status == kv_status::refused)
    {
        next_call_at_ = now + settings_.retry;
        return;
    }
    // The outcome is unclear or a revision differs. Either a late commit of
    // this owner has taken effect, or the claim is lost, which the watch on the
    // claim also detects.
    revision_known_ = false;
    next_call_at_ = now + settings_.retry;
    if (reply.status == kv_status::conflict)
    {
        for (auto const& item : reply.items)
        {
            if (item.key == claim_.condition().key &&
                item.revision != claim_.condition().revision)
            {
                claim_.mark_lost(
                    now, "a commit found a different revision of the claim");
                return;
            }
        }
    }
    out_.log(ports::severity::warning,
             "commit_unclear",
             {{"commit", std::to_string(last_commit_number_)},
              {"entries", std::to_string(in_flight_.size())}});
}

} // namespace fuchsia::core::pool
