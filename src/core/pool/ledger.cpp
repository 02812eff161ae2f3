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
               claim& held,
               outbox& out,
               common::time_point now)
    : settings_(settings), claim_(held), out_(out), ticked_(now)
{
}

template<class Look>
void ledger::for_each(Look look) const
{
    std::for_each(in_flight_.begin(), in_flight_.end(), look);
    std::for_each(results_.begin(), results_.end(), look);
    std::for_each(records_.begin(), records_.end(), look);
}

// Acknowledged once the needless record is out of the way, an end would be lost
// with this owner while the entry still waits.
void ledger::write(write_rank rank, entry what, std::string const& instead_of)
{
    queued made;
    made.what = std::move(what);
    enqueue(rank, std::move(made));
    if (instead_of.empty())
    {
        return;
    }
    auto& number = waiting_of(rank).back().number;
    for_each(
        [&number, &instead_of](queued const& each)
        {
            if (each.latest == instead_of)
            {
                number = std::min(number, each.number);
            }
        });
}

void ledger::write_latest(write_rank rank,
                          std::string const& key,
                          value_source value,
                          durable_handler on_durable)
{
    if (!latest_.insert(key).second)
    {
        return;
    }
    queued made;
    made.latest = key;
    made.value = std::move(value);
    made.what.on_durable = std::move(on_durable);
    enqueue(rank, std::move(made));
}

void ledger::enqueue(write_rank rank, queued what)
{
    what.since = ticked_;
    what.number = ++last_entry_;
    waiting_of(rank).push_back(std::move(what));
}

std::deque<ledger::queued>& ledger::waiting_of(write_rank rank) noexcept
{
    return rank == write_rank::result ? results_ : records_;
}

void ledger::after_all(durable_handler then)
{
    barriers_.push_back({last_entry_, std::move(then)});
}

std::size_t ledger::entries() const noexcept
{
    return results_.size() + records_.size() + in_flight_.size();
}

std::size_t ledger::waiting() const noexcept
{
    return entries() + barriers_.size();
}

ledger::queued const* ledger::oldest() const noexcept
{
    queued const* first = nullptr;
    for_each(
        [&first](queued const& each)
        {
            bool const older = first == nullptr || each.number < first->number;
            first = older ? &each : first;
        });
    return first;
}

common::duration ledger::lag(common::time_point now) const noexcept
{
    auto const* const first = oldest();
    return first == nullptr ? common::duration{} : now - first->since;
}

commit_mark ledger::last_commit() const noexcept
{
    return last_commit_;
}

std::uint64_t ledger::revision() const noexcept
{
    return revision_;
}

// What a handler writes comes behind all that counts here.
void ledger::pass_barriers(common::time_point now)
{
    auto const* const first = oldest();
    auto const durable = first == nullptr ? last_entry_ : first->number - 1;
    while (!barriers_.empty() && barriers_.front().number <= durable)
    {
        auto const then = std::move(barriers_.front().then);
        barriers_.pop_front();
        then(now);
    }
}

void ledger::tick(common::time_point now)
{
    ticked_ = now;
    if (!claim_.held())
    {
        return;
    }
    if (entries() == 0)
    {
        pass_barriers(now);
        return;
    }
    if (busy_ || now < next_step_)
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

// Also tells which commit without an answer took effect: the key holds its
// number. It need not be the last one that was sent.
void ledger::read_revision()
{
    busy_ = true;
    out_.store(life_,
               ports::kv_read{ledger_key},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   busy_ = false;
                   bool const known = reply.status == kv_status::done ||
                                      reply.status == kv_status::missing;
                   if (!known)
                   {
                       next_step_ = at + settings_.retry;
                       return;
                   }
                   bool const exists = !reply.items.empty();
                   auto const applied =
                       exists ? own_commit(reply.items.front().value) : 0;
                   revision_known_ = true;
                   committed(
                       at, exists ? reply.items.front().revision : 0, applied);
                   tick(at);
               });
}

std::string ledger::mark_of(std::uint64_t commit) const
{
    return std::to_string(claim_.epoch()) + "." + std::to_string(commit);
}

// 0 where the mark is not of a commit of this owner.
std::uint64_t ledger::own_commit(std::string_view mark) const
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

void ledger::queued::refresh()
{
    text = value ? value() : std::nullopt;
}

std::size_t ledger::queued::changes() const noexcept
{
    return what.puts.size() + what.erases.size() + (text ? 1 : 0);
}

// After a commit that had no effect its entries are still in flight.
void ledger::refresh_in_flight()
{
    for (auto& each : in_flight_)
    {
        each.refresh();
    }
}

// Takes what waits until the commit holds `most` changes.
void ledger::take_waiting(write_rank rank, std::size_t most)
{
    auto& waiting = waiting_of(rank);
    std::size_t changes = 0;
    std::set<std::string> present;
    for (auto const& each : in_flight_)
    {
        changes += each.changes();
        present.insert(each.latest);
    }
    while (!waiting.empty())
    {
        auto& next = waiting.front();
        bool const known =
            !next.latest.empty() && present.contains(next.latest);
        next.refresh();
        changes += known ? 0 : next.changes();
        if (changes > most && !in_flight_.empty())
        {
            return;
        }
        latest_.erase(next.latest);
        present.insert(next.latest);
        next.sent = number_ + 1;
        in_flight_.push_back(std::move(next));
        waiting.pop_front();
    }
}

ports::kv_commit ledger::changes_in_flight() const
{
    ports::kv_commit made;
    std::set<std::string> present;
    for (auto const& each : in_flight_)
    {
        auto const& what = each.what;
        made.puts.insert(made.puts.end(), what.puts.begin(), what.puts.end());
        made.erases.insert(
            made.erases.end(), what.erases.begin(), what.erases.end());
        if (each.text && present.insert(each.latest).second)
        {
            made.puts.push_back({each.latest, *each.text, 0});
        }
    }
    return made;
}

void ledger::commit(common::time_point now)
{
    refresh_in_flight();
    auto const kept = records_.empty() ? 0 : settings_.record_share;
    take_waiting(write_rank::result, settings_.max_changes - kept);
    take_waiting(write_rank::record, settings_.max_changes);
    auto commit = changes_in_flight();
    if (commit.puts.empty() && commit.erases.empty())
    {
        committed(now, revision_, number_ + 1);
        return;
    }
    ++number_;
    sent_ = now;
    commit.preconditions.push_back(claim_.condition());
    commit.preconditions.push_back({ledger_key, revision_});
    commit.puts.push_back({ledger_key, mark_of(number_), 0});
    busy_ = true;
    next_step_ = now + settings_.interval;
    out_.store(life_,
               std::move(commit),
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   busy_ = false;
                   on_commit(at, reply);
               });
}

// Everything that commits up to `number` held is durable.
void ledger::committed(common::time_point now,
                       std::uint64_t revision,
                       std::uint64_t number)
{
    revision_ = revision;
    auto const rest = std::stable_partition(in_flight_.begin(),
                                            in_flight_.end(),
                                            [number](queued const& each)
                                            {
                                                return each.sent <= number;
                                            });
    std::vector<queued> durable(std::make_move_iterator(in_flight_.begin()),
                                std::make_move_iterator(rest));
    in_flight_.erase(in_flight_.begin(), rest);
    // Records lose nothing by waiting: the next commit holds their newest
    // values. Results are asked for.
    if (results_.size() >= settings_.max_changes)
    {
        next_step_ = now;
    }
    for (auto const& each : durable)
    {
        if (each.what.on_durable)
        {
            each.what.on_durable(now);
        }
    }
    pass_barriers(now);
}

void ledger::on_commit(common::time_point now, kv_reply const& reply)
{
    if (reply.status == kv_status::done)
    {
        last_commit_ = {sent_, reply.revision};
        committed(now, reply.revision, number_);
        return;
    }
    if (reply.status == kv_status::refused)
    {
        next_step_ = now + settings_.retry;
        return;
    }
    // Unclear, or another revision than ours: either a late commit of our own
    // came through, or the claim is gone, which its own watch tells.
    revision_known_ = false;
    next_step_ = now + settings_.retry;
    if (reply.status == kv_status::conflict)
    {
        for (auto const& item : reply.items)
        {
            if (item.key == claim_.condition().key &&
                item.revision != claim_.condition().revision)
            {
                claim_.mark_lost("a commit found another claim");
                return;
            }
        }
    }
    out_.log(ports::severity::warning,
             "commit_unclear",
             {{"commit", std::to_string(number_)},
              {"entries", std::to_string(in_flight_.size())}});
}

} // namespace fuchsia::core::pool
