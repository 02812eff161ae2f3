#pragma once

#include "ports/store.hpp"
#include "virtual_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// In-memory store for tests of the core, with fault injection.
namespace fuchsia::tests::unit::walks
{

/// Contents of the store and the effect of each operation, without delays or
/// faults.
class store_contents
{
public:
    ports::store_reply apply(ports::store_operation const& operation)
    {
        ports::store_reply reply;
        reply.status = ports::store_status::done;
        reply.index = index_;
        if (auto const* read = std::get_if<ports::store_read>(&operation))
        {
            if (auto const* entry = find(read->key))
            {
                reply.entries.push_back(*entry);
            }
        }
        else if (auto const* list = std::get_if<ports::store_list>(&operation))
        {
            reply.entries = entries_under(list->prefix);
        }
        else if (auto const* watch =
                     std::get_if<ports::store_watch>(&operation))
        {
            reply.entries = entries_under(watch->prefix);
        }
        else if (auto const* write =
                     std::get_if<ports::store_write>(&operation))
        {
            reply.status = compare_and_swap(
                write->key, write->expected_version, &write->value);
            reply.index = index_;
        }
        else if (auto const* erase =
                     std::get_if<ports::store_erase>(&operation))
        {
            reply.status =
                compare_and_swap(erase->key, erase->expected_version, nullptr);
            reply.index = index_;
        }
        return reply;
    }

    ports::store_entry const* find(std::string_view key) const
    {
        auto const position = entries_.find(key);
        return position == entries_.end() ? nullptr : &position->second;
    }

    /// Returns the index of the newest change under `prefix`, erasures
    /// included.
    std::uint64_t last_change(std::string_view prefix) const
    {
        std::uint64_t newest = 0;
        for (auto const& [key, version] : changes_)
        {
            if (std::string_view(key).starts_with(prefix))
            {
                newest = std::max(newest, version);
            }
        }
        return newest;
    }

private:
    std::vector<ports::store_entry> entries_under(std::string_view prefix) const
    {
        std::vector<ports::store_entry> matches;
        for (auto position = entries_.lower_bound(prefix);
             position != entries_.end() && position->first.starts_with(prefix);
             ++position)
        {
            matches.push_back(position->second);
        }
        return matches;
    }

    ports::store_status compare_and_swap(std::string const& key,
                                         std::uint64_t expected,
                                         std::string const* value)
    {
        auto const position = entries_.find(key);
        std::uint64_t const version =
            position == entries_.end() ? 0 : position->second.version;
        if (version != expected)
        {
            return ports::store_status::conflict;
        }
        changes_[key] = ++index_;
        if (value == nullptr)
        {
            entries_.erase(key);
        }
        else
        {
            entries_[key] = {key, *value, index_};
        }
        return ports::store_status::done;
    }

    std::map<std::string, ports::store_entry, std::less<>> entries_;
    std::map<std::string, std::uint64_t, std::less<>> changes_;
    std::uint64_t index_ = 1;
};

/// Faults on the network path between the callers and the store.
struct store_faults
{
    bool down = false;
    std::set<std::string> cut;          ///< Callers that can't reach the store.
    std::set<std::string> replies_lost; ///< Callers whose replies are lost.
    std::set<std::string> requests_lost; ///< Callers whose requests are lost.
    std::set<std::string> replies_late; ///< Callers whose replies are all late.
    std::uint32_t lose_request_permille = 0;
    std::uint32_t lose_reply_permille = 0;
    std::uint32_t duplicate_permille = 0;
    /// Probability that a read or list is answered from a state that is up to
    /// a few seconds old.
    std::uint32_t stale_permille = 0;
    /// Each direction of a call takes `delay`; with the probability
    /// `late_permille` it takes up to `late_delay`.
    duration delay = std::chrono::milliseconds(2);
    duration late_delay = std::chrono::seconds(4);
    std::uint32_t late_permille = 0;
    /// Time after which an unanswered call ends with `unclear`. The wait of a
    /// watch is added.
    duration timeout = std::chrono::seconds(1);
    /// Number of the next writes under `lose_prefix` whose replies are lost.
    std::uint32_t lose_next_replies = 0;
    std::string lose_prefix;
};

/// Number of calls that reached the store, by kind.
struct store_counts
{
    std::uint64_t reads = 0;
    std::uint64_t lists = 0;
    std::uint64_t writes = 0;
    std::uint64_t erases = 0;
    std::uint64_t watches = 0;
};

/// Store behind an unreliable network. Each call gets exactly one reply.
class fake_store
{
public:
    using reply_handler = std::function<void(ports::store_reply const&)>;

    fake_store(virtual_clock& time, std::uint64_t seed)
        : time_(time), random_(seed)
    {
    }

    store_faults faults;
    store_counts counts;
    store_contents contents;
    /// Called when a write has taken effect, before its reply is sent.
    std::function<void(std::string const& key)> after_write;

    void call(std::string const& caller,
              ports::store_call const& request,
              reply_handler on_reply)
    {
        auto const pending = std::make_shared<call_state>();
        pending->call = request;
        pending->caller = caller;
        pending->on_reply = std::move(on_reply);
        if (is_cut(caller) && chance(500))
        {
            finish_later(pending, ports::store_status::unavailable);
            return;
        }
        duration wait = faults.timeout;
        if (auto const* watch =
                std::get_if<ports::store_watch>(&request.operation))
        {
            wait += watch->wait;
        }
        time_.after(wait,
                    [pending]
                    {
                        ports::store_reply reply;
                        reply.status = ports::store_status::unclear;
                        finish(*pending, reply);
                    });
        if (chance(faults.lose_request_permille))
        {
            return;
        }
        arrive_later(pending);
        if (chance(faults.duplicate_permille))
        {
            arrive_later(pending);
        }
    }

private:
    struct call_state
    {
        ports::store_call call;
        std::string caller;
        reply_handler on_reply;
        bool finished = false;
    };

    using call_pointer = std::shared_ptr<call_state>;

    bool chance(std::uint32_t permille)
    {
        return permille != 0 && random_() % 1000 < permille;
    }

    bool is_cut(std::string const& caller) const
    {
        return faults.down || faults.cut.count(caller) != 0;
    }

    duration one_way_delay(bool slow = false)
    {
        if (slow || chance(faults.late_permille))
        {
            return duration(static_cast<std::int64_t>(
                random_() %
                static_cast<std::uint64_t>(faults.late_delay.count())));
        }
        return faults.delay;
    }

    static void finish(call_state& pending, ports::store_reply reply)
    {
        if (!std::exchange(pending.finished, true))
        {
            reply.id = pending.call.id;
            pending.on_reply(reply);
        }
    }

    void finish_later(call_pointer const& pending, ports::store_status status)
    {
        time_.after(faults.delay,
                    [pending, status]
                    {
                        ports::store_reply reply;
                        reply.status = status;
                        finish(*pending, reply);
                    });
    }

    void arrive_later(call_pointer const& pending)
    {
        time_.after(one_way_delay(),
                    [this, pending]
                    {
                        arrive(pending);
                    });
    }

    void arrive(call_pointer const& pending)
    {
        if (is_cut(pending->caller) ||
            faults.requests_lost.count(pending->caller) != 0)
        {
            return;
        }
        auto const& operation = pending->call.operation;
        if (auto const* watch = std::get_if<ports::store_watch>(&operation))
        {
            ++counts.watches;
            if (contents.last_change(watch->prefix) <= watch->index)
            {
                watches_.push_back(pending);
                time_.after(watch->wait,
                            [this, pending]
                            {
                                reply_to(
                                    pending,
                                    contents.apply(pending->call.operation));
                            });
                return;
            }
        }
        count(operation);
        bool const writes =
            std::holds_alternative<ports::store_write>(operation) ||
            std::holds_alternative<ports::store_erase>(operation);
        bool const stale =
            !writes && !older_states_.empty() && chance(faults.stale_permille);
        auto const reply =
            stale ? older_states_[random_() % older_states_.size()].apply(
                        operation)
                  : contents.apply(operation);
        auto const* write = std::get_if<ports::store_write>(&operation);
        if (after_write && write != nullptr &&
            reply.status == ports::store_status::done)
        {
            after_write(write->key);
        }
        reply_to(pending, reply);
        save_state();
        if (writes && reply.status == ports::store_status::done)
        {
            wake_watches();
        }
    }

    /// Saves the states of the last few seconds for stale replies.
    void save_state()
    {
        if (faults.stale_permille == 0 ||
            time_.now() < saved_at_ + std::chrono::milliseconds(400))
        {
            return;
        }
        saved_at_ = time_.now();
        older_states_.push_back(contents);
        if (older_states_.size() > 8)
        {
            older_states_.pop_front();
        }
    }

    void count(ports::store_operation const& operation)
    {
        counts.reads +=
            std::holds_alternative<ports::store_read>(operation) ? 1 : 0;
        counts.lists +=
            std::holds_alternative<ports::store_list>(operation) ? 1 : 0;
        counts.writes +=
            std::holds_alternative<ports::store_write>(operation) ? 1 : 0;
        counts.erases +=
            std::holds_alternative<ports::store_erase>(operation) ? 1 : 0;
    }

    void wake_watches()
    {
        auto waiting = std::exchange(watches_, {});
        for (auto const& pending : waiting)
        {
            auto const& watch =
                std::get<ports::store_watch>(pending->call.operation);
            if (pending->finished)
            {
                continue;
            }
            if (contents.last_change(watch.prefix) > watch.index)
            {
                reply_to(pending, contents.apply(pending->call.operation));
            }
            else
            {
                watches_.push_back(pending);
            }
        }
    }

    bool loses_reply(ports::store_operation const& operation)
    {
        if (chance(faults.lose_reply_permille))
        {
            return true;
        }
        auto const* write = std::get_if<ports::store_write>(&operation);
        if (write == nullptr || faults.lose_next_replies == 0 ||
            !write->key.starts_with(faults.lose_prefix))
        {
            return false;
        }
        --faults.lose_next_replies;
        return true;
    }

    void reply_to(call_pointer const& pending, ports::store_reply const& reply)
    {
        if (loses_reply(pending->call.operation))
        {
            return;
        }
        time_.after(
            one_way_delay(faults.replies_late.count(pending->caller) != 0),
            [this, pending, reply]
            {
                if (!is_cut(pending->caller) &&
                    faults.replies_lost.count(pending->caller) == 0)
                {
                    finish(*pending, reply);
                }
            });
    }

    virtual_clock& time_;
    std::mt19937_64 random_;
    std::vector<call_pointer> watches_;
    std::deque<store_contents> older_states_;
    time_point saved_at_{};
};

} // namespace fuchsia::tests::unit::walks
