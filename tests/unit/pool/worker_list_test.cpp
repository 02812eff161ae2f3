#include "core/pool/worker_list.hpp"

#include <gtest/gtest.h>
#include <map>
#include <optional>

namespace ports = fuchsia::ports;
namespace common = fuchsia::core::common;
using namespace fuchsia::core::pool;
using namespace std::chrono_literals;

namespace
{

platform_records make_records()
{
    platform_records result;
    result.workers_prefix = "workers/";
    result.read_worker =
        [](ports::kv_item const& item,
           common::failure& reason) -> std::optional<ports::pool_worker>
    {
        if (item.value == "unreadable")
        {
            reason = {common::result_code::wrong_type, "worker", "no worker"};
            return std::nullopt;
        }
        ports::pool_worker result;
        result.id = item.key.substr(std::string("workers/").size());
        result.draining = item.value == "draining";
        return result;
    };
    return result;
}

ports::kv_item worker_entry(std::string const& id,
                            std::uint64_t revision,
                            std::string const& value = "ready")
{
    ports::kv_item result;
    result.key = "workers/" + id;
    result.value = value;
    result.revision = revision;
    return result;
}

/// A worker list with a store whose answers the test gives.
class list_follower
{
public:
    list_follower()
        : records_(make_records()),
          list_({},
                records_,
                out_,
                [this](common::time_point, worker_changes const& changes)
                {
                    apply_changes(changes);
                })
    {
        list_.tick(now_);
    }

    void note(common::time_point sent_at, std::uint64_t revision)
    {
        list_.note(sent_at, revision);
    }

    worker_list const& list() const
    {
        return list_;
    }

    common::time_point now() const
    {
        return now_;
    }

    /// Whether each listed worker is draining, by its id.
    std::map<std::string, bool> const& listed() const
    {
        return listed_;
    }

    /// The pending call, if any.
    std::optional<ports::kv_call> const& call() const
    {
        return call_;
    }

    bool is_watching() const
    {
        return call_ &&
               std::holds_alternative<ports::kv_watch>(call_->operation);
    }

    void run(common::duration period)
    {
        for (auto const end = now_ + period; now_ < end;)
        {
            now_ += 10ms;
            list_.tick(now_);
            poll_calls();
        }
    }

    void answer(std::vector<ports::kv_item> items,
                std::uint64_t revision,
                bool more = false)
    {
        ports::kv_reply reply;
        reply.status = ports::kv_status::done;
        reply.items = std::move(items);
        reply.revision = revision;
        reply.more = more;
        answer(std::move(reply));
    }

    void answer(ports::kv_reply reply)
    {
        poll_calls();
        ASSERT_TRUE(call_.has_value());
        reply.id = call_->id;
        call_.reset();
        out_.on_kv_reply(now_, reply);
        poll_calls();
    }

private:
    void poll_calls()
    {
        for (auto& action : out_.take_actions())
        {
            if (auto* const pending = std::get_if<ports::kv_call>(&action))
            {
                call_ = std::move(*pending);
            }
        }
    }

    void apply_changes(worker_changes const& changes)
    {
        if (changes.complete)
        {
            listed_.clear();
        }
        for (auto const& id : changes.removed)
        {
            listed_.erase(id);
        }
        for (auto const& w : changes.present)
        {
            listed_[w.id] = w.draining;
        }
    }

    platform_records records_;
    outbox out_;
    common::time_point now_{1h};
    worker_list list_;
    std::map<std::string, bool> listed_;
    std::optional<ports::kv_call> call_;
};

using listing = std::map<std::string, bool>;

} // namespace

// Reading the whole list each time took the owner of a large pool seconds, in
// which no task started.
TEST(pool_worker_list, reads_the_whole_list_once_and_then_only_changes)
{
    list_follower follower;
    follower.answer({worker_entry("a", 3), worker_entry("b", 4)}, 7, true);
    follower.answer({worker_entry("c", 5)}, 9);
    EXPECT_TRUE(follower.list().loaded());
    EXPECT_EQ(follower.listed(),
              (listing{{"a", false}, {"b", false}, {"c", false}}));
    for (std::uint64_t revision = 10; revision < 30; ++revision)
    {
        follower.run(500ms);
        ASSERT_TRUE(follower.is_watching());
        follower.run(10ms);
        follower.answer({worker_entry("a", revision)}, revision);
        EXPECT_GE(follower.list().current_as_of(), follower.now() - 500ms);
    }
    follower.run(500ms);
    follower.answer({worker_entry("b", 30, "draining")}, 30);
    EXPECT_EQ(follower.listed(),
              (listing{{"a", false}, {"b", true}, {"c", false}}));
}

// The store may leave some of the changes for the next answer. If the list
// counted as current before that, a worker that has left would still get tasks.
TEST(pool_worker_list,
     list_is_not_current_after_an_answer_that_may_be_cut_short)
{
    list_follower follower;
    follower.answer({worker_entry("a", 3)}, 7);
    auto const read_at = follower.now();
    follower.run(500ms);
    std::vector<ports::kv_item> events;
    for (std::uint64_t i = 0; i < 500; ++i)
    {
        events.push_back(worker_entry("b" + std::to_string(i), 10 + i));
    }
    follower.answer(events, 600);
    EXPECT_LE(follower.list().current_as_of(), read_at);
    follower.run(10ms);
    ASSERT_TRUE(follower.is_watching());
    EXPECT_EQ(std::get<ports::kv_watch>(follower.call()->operation).after,
              509U);
    follower.answer({worker_entry("a", 510, "draining")}, 600);
    EXPECT_GT(follower.list().current_as_of(), read_at);
    EXPECT_TRUE(follower.listed().at("a"));
}

// When a thousand workers write between two answers, every answer is full. If a
// full answer never made the list more current, no task would start any more,
// as was seen on a pool of 3,000 workers.
TEST(pool_worker_list, list_is_current_up_to_the_last_event_of_a_full_answer)
{
    list_follower follower;
    follower.answer({worker_entry("a", 3)}, 7);
    follower.run(500ms);
    ASSERT_TRUE(follower.is_watching());
    auto const revision_time = follower.now();
    follower.note(revision_time, 300);
    follower.run(200ms);
    follower.note(follower.now(), 700);
    std::vector<ports::kv_item> events;
    for (std::uint64_t i = 0; i < 500; ++i)
    {
        events.push_back(worker_entry("b" + std::to_string(i), 10 + i));
    }
    follower.answer(events, 600);
    EXPECT_EQ(follower.list().current_as_of(), revision_time);
}

// Changes made while the pages are read must not be missed.
TEST(pool_worker_list, watch_continues_from_the_revision_of_the_first_page)
{
    list_follower follower;
    follower.answer({worker_entry("a", 3)}, 7, true);
    follower.answer({worker_entry("b", 4)}, 12);
    follower.run(500ms);
    ASSERT_TRUE(follower.is_watching());
    EXPECT_EQ(std::get<ports::kv_watch>(follower.call()->operation).after, 7U);
}

// A watch without events can't be told from a stalled one. If its answers made
// the list current, workers that are leaving would get tasks.
TEST(pool_worker_list, list_is_not_current_after_an_answer_without_changes)
{
    list_follower follower;
    follower.answer({worker_entry("a", 3)}, 7);
    auto const read_at = follower.now();
    follower.run(500ms);
    ASSERT_TRUE(follower.is_watching());
    follower.run(490ms);
    follower.answer({}, 20);
    EXPECT_LE(follower.list().current_as_of(), read_at);
    follower.run(20ms);
    ASSERT_TRUE(follower.call().has_value());
    ASSERT_FALSE(follower.is_watching());
    follower.answer({worker_entry("a", 15, "draining")}, 21);
    EXPECT_EQ(follower.listed(), (listing{{"a", true}}));
    EXPECT_GT(follower.list().current_as_of(), read_at);
}

// A worker that left in the compacted part of the history must not stay listed.
TEST(pool_worker_list, reads_the_whole_list_when_the_history_is_compacted)
{
    list_follower follower;
    follower.answer({worker_entry("a", 3), worker_entry("b", 4)}, 7);
    follower.run(500ms);
    ports::kv_reply compacted_reply;
    compacted_reply.status = ports::kv_status::compacted;
    follower.answer(compacted_reply);
    follower.run(10ms);
    ASSERT_TRUE(follower.call().has_value());
    ASSERT_FALSE(follower.is_watching());
    follower.answer({worker_entry("b", 4)}, 40);
    EXPECT_EQ(follower.listed(), (listing{{"b", false}}));
}

// If one lost page restarted the whole read, the list would never be complete
// with a slow store.
TEST(pool_worker_list, only_a_lost_page_is_requested_again)
{
    list_follower follower;
    follower.answer({worker_entry("a", 3)}, 7, true);
    follower.answer(ports::kv_reply{});
    follower.run(200ms);
    ASSERT_TRUE(follower.call().has_value());
    ASSERT_FALSE(follower.is_watching());
    EXPECT_EQ(std::get<ports::kv_range>(follower.call()->operation).after,
              "workers/a");
    follower.answer({worker_entry("b", 4)}, 9);
    EXPECT_EQ(follower.listed(), (listing{{"a", false}, {"b", false}}));
}

// A worker whose entry is erased or overwritten must not get tasks any more.
TEST(pool_worker_list, erased_or_malformed_entry_removes_its_worker)
{
    list_follower follower;
    follower.answer(
        {worker_entry("a", 3), worker_entry("b", 4), worker_entry("c", 5)}, 7);
    follower.run(500ms);
    auto erased = worker_entry("a", 8);
    erased.erased = true;
    follower.answer({erased, worker_entry("b", 9, "unreadable")}, 9);
    EXPECT_EQ(follower.listed(), (listing{{"c", false}}));
    follower.run(500ms);
    follower.answer({worker_entry("b", 10)}, 10);
    EXPECT_EQ(follower.listed(), (listing{{"b", false}, {"c", false}}));
}
