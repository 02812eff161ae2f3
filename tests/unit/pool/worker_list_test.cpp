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

platform_records make_words()
{
    platform_records made;
    made.workers_prefix = "workers/";
    made.read_worker =
        [](ports::kv_item const& item,
           common::failure& reason) -> std::optional<ports::pool_worker>
    {
        if (item.value == "unreadable")
        {
            reason = {common::result_code::wrong_type, "worker", "no worker"};
            return std::nullopt;
        }
        ports::pool_worker made;
        made.id = item.key.substr(std::string("workers/").size());
        made.draining = item.value == "draining";
        return made;
    };
    return made;
}

ports::kv_item entry(std::string const& id,
                     std::uint64_t revision,
                     std::string const& value = "ready")
{
    ports::kv_item made;
    made.key = "workers/" + id;
    made.value = value;
    made.revision = revision;
    return made;
}

/// The list with a store that the test answers for.
class followed_list
{
public:
    followed_list()
        : words_(make_words()),
          list_({},
                words_,
                out_,
                [this](common::time_point, worker_changes const& seen)
                {
                    take(seen);
                })
    {
        list_.tick(now_);
    }

    void note(common::time_point asked, std::uint64_t revision)
    {
        list_.note(asked, revision);
    }

    worker_list const& list() const
    {
        return list_;
    }

    common::time_point now() const
    {
        return now_;
    }

    /// Drains, by id, of what is listed.
    std::map<std::string, bool> const& listed() const
    {
        return listed_;
    }

    /// The call that waits for its answer; empty: none.
    std::optional<ports::kv_call> const& call() const
    {
        return call_;
    }

    bool watches() const
    {
        return call_ &&
               std::holds_alternative<ports::kv_watch>(call_->operation);
    }

    void run(common::duration how_long)
    {
        for (auto const until = now_ + how_long; now_ < until;)
        {
            now_ += 10ms;
            list_.tick(now_);
            look_for_call();
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
        look_for_call();
        ASSERT_TRUE(call_.has_value());
        reply.id = call_->id;
        call_.reset();
        out_.on_kv_reply(now_, reply);
        look_for_call();
    }

private:
    void look_for_call()
    {
        for (auto& action : out_.take_actions())
        {
            if (auto* const made = std::get_if<ports::kv_call>(&action))
            {
                call_ = std::move(*made);
            }
        }
    }

    void take(worker_changes const& seen)
    {
        if (seen.complete)
        {
            listed_.clear();
        }
        for (auto const& id : seen.removed)
        {
            listed_.erase(id);
        }
        for (auto const& each : seen.present)
        {
            listed_[each.id] = each.draining;
        }
    }

    platform_records words_;
    outbox out_;
    common::time_point now_{1h};
    worker_list list_;
    std::map<std::string, bool> listed_;
    std::optional<ports::kv_call> call_;
};

using listing = std::map<std::string, bool>;

} // namespace

// The whole list, read at each look, took an owner of a large pool seconds, in
// which nothing started.
TEST(pool_worker_list, is_read_whole_once_and_then_by_what_changed)
{
    followed_list it;
    it.answer({entry("a", 3), entry("b", 4)}, 7, true);
    it.answer({entry("c", 5)}, 9);
    EXPECT_TRUE(it.list().known());
    EXPECT_EQ(it.listed(), (listing{{"a", false}, {"b", false}, {"c", false}}));
    for (std::uint64_t revision = 10; revision < 30; ++revision)
    {
        it.run(500ms);
        ASSERT_TRUE(it.watches());
        it.run(10ms);
        it.answer({entry("a", revision)}, revision);
        EXPECT_GE(it.list().current_as_of(), it.now() - 500ms);
    }
    it.run(500ms);
    it.answer({entry("b", 30, "draining")}, 30);
    EXPECT_EQ(it.listed(), (listing{{"a", false}, {"b", true}, {"c", false}}));
}

// A store that tells part of what changed leaves the rest for the next answer;
// vouched for, a worker that left would get tasks until then.
TEST(pool_worker_list, an_answer_that_may_be_cut_short_vouches_for_nothing)
{
    followed_list it;
    it.answer({entry("a", 3)}, 7);
    auto const read = it.now();
    it.run(500ms);
    std::vector<ports::kv_item> many;
    for (std::uint64_t number = 0; number < 500; ++number)
    {
        many.push_back(entry("b" + std::to_string(number), 10 + number));
    }
    it.answer(many, 600);
    EXPECT_LE(it.list().current_as_of(), read);
    it.run(10ms);
    ASSERT_TRUE(it.watches());
    EXPECT_EQ(std::get<ports::kv_watch>(it.call()->operation).after, 509U);
    it.answer({entry("a", 510, "draining")}, 600);
    EXPECT_GT(it.list().current_as_of(), read);
    EXPECT_TRUE(it.listed().at("a"));
}

// Where a thousand workers write between two answers each answer is full; never
// vouched for, it stopped all starts on a pool of 3,000.
TEST(pool_worker_list, a_full_answer_vouches_for_what_was_written_before_it)
{
    followed_list it;
    it.answer({entry("a", 3)}, 7);
    it.run(500ms);
    ASSERT_TRUE(it.watches());
    auto const reached = it.now();
    it.note(reached, 300);
    it.run(200ms);
    it.note(it.now(), 700);
    std::vector<ports::kv_item> many;
    for (std::uint64_t number = 0; number < 500; ++number)
    {
        many.push_back(entry("b" + std::to_string(number), 10 + number));
    }
    it.answer(many, 600);
    EXPECT_EQ(it.list().current_as_of(), reached);
}

// What changed while the pages were read would be missed for good.
TEST(pool_worker_list, goes_on_from_the_first_page)
{
    followed_list it;
    it.answer({entry("a", 3)}, 7, true);
    it.answer({entry("b", 4)}, 12);
    it.run(500ms);
    ASSERT_TRUE(it.watches());
    EXPECT_EQ(std::get<ports::kv_watch>(it.call()->operation).after, 7U);
}

// A watch that hears nothing looks like one that is deaf; believed, workers
// that leave would be given tasks.
TEST(pool_worker_list, an_answer_without_changes_vouches_for_nothing)
{
    followed_list it;
    it.answer({entry("a", 3)}, 7);
    auto const read = it.now();
    it.run(500ms);
    ASSERT_TRUE(it.watches());
    it.run(490ms);
    it.answer({}, 20);
    EXPECT_LE(it.list().current_as_of(), read);
    it.run(20ms);
    ASSERT_TRUE(it.call().has_value());
    ASSERT_FALSE(it.watches());
    it.answer({entry("a", 15, "draining")}, 21);
    EXPECT_EQ(it.listed(), (listing{{"a", true}}));
    EXPECT_GT(it.list().current_as_of(), read);
}

// A worker that left while the history was lost would stay listed.
TEST(pool_worker_list, is_read_whole_where_the_history_is_gone)
{
    followed_list it;
    it.answer({entry("a", 3), entry("b", 4)}, 7);
    it.run(500ms);
    ports::kv_reply gone;
    gone.status = ports::kv_status::compacted;
    it.answer(gone);
    it.run(10ms);
    ASSERT_TRUE(it.call().has_value());
    ASSERT_FALSE(it.watches());
    it.answer({entry("b", 4)}, 40);
    EXPECT_EQ(it.listed(), (listing{{"b", false}}));
}

// One lost page had all pages read anew, so a slow store never told the list.
TEST(pool_worker_list, a_lost_page_alone_is_asked_for_again)
{
    followed_list it;
    it.answer({entry("a", 3)}, 7, true);
    it.answer(ports::kv_reply{});
    it.run(200ms);
    ASSERT_TRUE(it.call().has_value());
    ASSERT_FALSE(it.watches());
    EXPECT_EQ(std::get<ports::kv_range>(it.call()->operation).after,
              "workers/a");
    it.answer({entry("b", 4)}, 9);
    EXPECT_EQ(it.listed(), (listing{{"a", false}, {"b", false}}));
}

// A worker whose entry is overwritten or erased would get tasks still.
TEST(pool_worker_list, an_erased_or_unreadable_entry_takes_its_worker_out)
{
    followed_list it;
    it.answer({entry("a", 3), entry("b", 4), entry("c", 5)}, 7);
    it.run(500ms);
    auto erased = entry("a", 8);
    erased.erased = true;
    it.answer({erased, entry("b", 9, "unreadable")}, 9);
    EXPECT_EQ(it.listed(), (listing{{"c", false}}));
    it.run(500ms);
    it.answer({entry("b", 10)}, 10);
    EXPECT_EQ(it.listed(), (listing{{"b", false}, {"c", false}}));
}
