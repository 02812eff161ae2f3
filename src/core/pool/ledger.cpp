#include "core/pool/ledger.hpp"

#include <utility>

namespace fuchsia::core::pool
{

namespace
{

using ports::kv_reply;
using ports::kv_status;

constexpr char const* ledger_key = "ledger";

} // namespace

ledger::ledger(ledger_settings settings, claim& held, outbox& out)
    : settings_(settings), claim_(held), out_(out)
{
}

void ledger::write(entry what)
{
    waiting_.push_back({std::move(what), {}, {}, ticked_, {}});
}

void ledger::write_latest(std::string const& key,
                          value_source value,
                          std::function<void(common::time_point)> on_durable)
{
    if (latest_.insert(key).second)
    {
        waiting_.push_back({{{}, {}, std::move(on_durable)},
                            key,
                            std::move(value),
                            ticked_,
                            {}});
    }
}

void ledger::after_all(std::function<void(common::time_point)> then)
{
    write({{}, {}, std::move(then)});
}

bool ledger::idle() const noexcept
{
    return waiting_.empty() && in_flight_.empty();
}

std::size_t ledger::waiting() const noexcept
{
    return waiting_.size() + in_flight_.size();
}

common::duration ledger::lag(common::time_point now) const noexcept
{
    if (idle())
    {
        return {};
    }
    auto const& oldest =
        in_flight_.empty() ? waiting_.front() : in_flight_.front();
    return now - oldest.since;
}

void ledger::tick(common::time_point now)
{
    ticked_ = now;
    if (busy_ || now < next_step_ || idle() || !claim_.held())
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

// Also tells whether a commit without an answer took effect: the key holds its
// number then.
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
                   revision_ = exists ? reply.items.front().revision : 0;
                   revision_known_ = true;
                   auto const mine = std::to_string(claim_.epoch()) + "." +
                                     std::to_string(number_);
                   if (!in_flight_.empty() && exists &&
                       reply.items.front().value == mine)
                   {
                       kv_reply done;
                       done.status = kv_status::done;
                       done.revision = revision_;
                       on_commit(at, done);
                       return;
                   }
                   tick(at);
               });
}

void ledger::queued::refresh()
{
    text = value ? value() : std::nullopt;
}

std::size_t ledger::queued::changes() const noexcept
{
    return what.puts.size() + what.erases.size() + (text ? 1 : 0);
}

// After a commit that had no effect its entries are still in flight, and what
// came meanwhile joins them.
void ledger::take_waiting()
{
    std::size_t changes = 0;
    std::set<std::string> present;
    for (auto& each : in_flight_)
    {
        each.refresh();
        changes += each.changes();
        present.insert(each.latest);
    }
    while (!waiting_.empty())
    {
        auto& next = waiting_.front();
        bool const has_key = !next.latest.empty();
        if (has_key && present.contains(next.latest))
        {
            next.value = nullptr;
        }
        next.refresh();
        changes += next.changes();
        if (changes > settings_.max_changes && !in_flight_.empty())
        {
            return;
        }
        latest_.erase(next.latest);
        present.insert(next.latest);
        in_flight_.push_back(std::move(next));
        waiting_.pop_front();
    }
}

ports::kv_commit ledger::changes_in_flight() const
{
    ports::kv_commit made;
    for (auto const& each : in_flight_)
    {
        auto const& what = each.what;
        made.puts.insert(made.puts.end(), what.puts.begin(), what.puts.end());
        made.erases.insert(
            made.erases.end(), what.erases.begin(), what.erases.end());
        if (each.text)
        {
            made.puts.push_back({each.latest, *each.text, 0});
        }
    }
    return made;
}

void ledger::commit(common::time_point now)
{
    take_waiting();
    auto commit = changes_in_flight();
    if (commit.puts.empty() && commit.erases.empty())
    {
        kv_reply done;
        done.status = kv_status::done;
        done.revision = revision_;
        on_commit(now, done);
        return;
    }
    ++number_;
    commit.expected.push_back(claim_.condition());
    commit.expected.push_back({ledger_key, revision_});
    commit.puts.push_back(
        {ledger_key,
         std::to_string(claim_.epoch()) + "." + std::to_string(number_),
         0});
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

void ledger::on_commit(common::time_point now, kv_reply const& reply)
{
    if (reply.status == kv_status::done)
    {
        revision_ = reply.revision;
        auto const durable = std::exchange(in_flight_, {});
        // A commit that can't hold what waits already would only grow a queue.
        if (waiting_.size() >= settings_.max_changes)
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
                claim_.lose("a commit found another claim");
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
