#include "adapters/platform/base64.hpp"
#include "core/pool/fleet.hpp"
#include "core/pool/operator_follower.hpp"
#include "core/pool/worker_list.hpp"
#include "platform/kv_codec.hpp"
#include "platform/platform_records.hpp"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Entries of other writers among those of the workers and the operators, from
// the body of the store's answer to the workers that the pool uses.
namespace
{

using namespace fuchsia;
using namespace std::chrono_literals;
namespace pool = core::pool;

/// A key of the store with its value, as another program wrote it.
struct entry
{
    std::string key;
    std::string value;
};

struct odd_entry
{
    std::string name;
    entry content;
};

struct field
{
    std::string_view name;
    std::string_view value;
};

constexpr std::array<field, 11> worker_fields{{
    {"service", R"("s")"},
    {"address", R"("10.0.0.9:8080")"},
    {"zone", R"("a")"},
    {"version", R"("v1")"},
    {"slots", "8"},
    {"state", R"("ready")"},
    {"coldRemainingMs", "0"},
    {"capacity", R"({"cpu":16000,"memMb":32768,"gpu":1})"},
    {"labels", R"(["k","r1-3"])"},
    {"seq", "4"},
    {"born", "1791417529292"},
}};

constexpr std::string_view odd_id = "i-odd";

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Returns a worker's entry with another value in the field `name`.
std::string worker_with(std::string_view name, std::string_view value)
{
    std::string result;
    for (auto const& member : worker_fields)
    {
        result += result.empty() ? "{\"" : ",\"";
        result += member.name;
        result += "\":";
        result += member.name == name ? value : member.value;
    }
    return result + "}";
}

std::string good_worker()
{
    return worker_with("", "");
}

entry worker_entry(std::string_view id, std::string value)
{
    return {"servers/" + std::string(id), std::move(value)};
}

void add_row(std::vector<odd_entry>& rows,
             std::string_view name,
             std::string const& value)
{
    rows.push_back({std::string(name) + " = " + value.substr(0, 40),
                    worker_entry(odd_id, worker_with(name, value))});
}

void add_numbers(std::vector<odd_entry>& rows)
{
    for (auto const* number : {"1e999",
                               "1e99999999999",
                               "9223372036854775808",
                               "18446744073709551616",
                               "-1",
                               "1.5"})
    {
        for (auto const* name : {"slots", "seq", "born"})
        {
            add_row(rows, name, number);
        }
        for (auto const* amount : {"cpu", "memMb", "gpu"})
        {
            add_row(rows,
                    "capacity",
                    "{\"" + std::string(amount) + "\":" + number + "}");
        }
    }
    // The time for which a worker remains slow may have a fraction.
    for (auto const* number : {"1e999",
                               "1e99999999999",
                               "9223372036854775808",
                               "18446744073709551616",
                               "-1"})
    {
        add_row(rows, "coldRemainingMs", number);
    }
}

void add_addresses(std::vector<odd_entry>& rows)
{
    for (auto const* address : {"10.0.0.9:0",
                                "10.0.0.9:65536",
                                "10.0.0.9:-1",
                                "10.0.0.9:8080x",
                                "10.0.0.9:99999999999999999999",
                                "10.0.0.9:",
                                "10.0.0.9",
                                "10.0.0.256:8080",
                                "nowhere:8080",
                                ":8080",
                                "[::1:8080",
                                "",
                                "0.0.0.0:8080",
                                "[::]:8080",
                                "224.0.0.1:8080",
                                "255.255.255.255:8080",
                                "[ff02::1]:8080"})
    {
        add_row(rows, "address", "\"" + std::string(address) + "\"");
    }
}

void add_types(std::vector<odd_entry>& rows)
{
    for (auto const& member : worker_fields)
    {
        for (auto const* value : {"null", "true", "[[]]", "[7]"})
        {
            add_row(rows, member.name, value);
        }
        // An amount that a capacity lacks is 0.
        if (member.name != "capacity")
        {
            add_row(rows, member.name, "{}");
        }
        bool const is_text = member.value.front() == '"';
        add_row(rows, member.name, is_text ? "7" : "\"7\"");
        for (std::size_t const depth : {33, 1000, 100'000})
        {
            add_row(rows, member.name, nested(depth));
        }
    }
}

void add_bytes(std::vector<odd_entry>& rows)
{
    for (std::size_t const depth : {33, 1000, 100'000})
    {
        rows.push_back({"nested " + std::to_string(depth),
                        worker_entry(odd_id, nested(depth))});
        auto beside = good_worker();
        beside.insert(1, "\"more\":" + nested(depth) + ",");
        rows.push_back({"nested beside the fields " + std::to_string(depth),
                        worker_entry(odd_id, beside)});
    }
    for (std::string const value : {"",
                                    "null",
                                    "{",
                                    "\xff\xfe",
                                    "{\"service\":\"\xff\"}",
                                    "{\"service\":\"\\ud800\"}"})
    {
        rows.push_back({"text " + value, worker_entry(odd_id, value)});
    }
    add_row(rows, "service", "\"\xc3\"");
    add_row(rows, "zone", R"("\ud800")");
    add_row(rows, "state", '"' + std::string(1'000'000, 'x') + '"');
}

void add_keys(std::vector<odd_entry>& rows)
{
    for (auto const& id : {std::string(1'000'000, 'k'),
                           std::string("\xff"),
                           std::string("i\n1")})
    {
        rows.push_back(
            {"key " + id.substr(0, 40), worker_entry(id, good_worker())});
    }
    rows.push_back({"empty id", worker_entry("", good_worker())});
}

std::vector<odd_entry> odd_workers()
{
    std::vector<odd_entry> rows;
    add_numbers(rows);
    add_addresses(rows);
    add_types(rows);
    add_bytes(rows);
    add_keys(rows);
    return rows;
}

/// Writes a string of JSON; bytes that aren't UTF-8 stay as they are.
std::string json_text(std::string_view text)
{
    std::string result = "\"";
    for (char const character : text)
    {
        if (character == '\n')
        {
            result += "\\n";
            continue;
        }
        result += character;
    }
    return result + '"';
}

/// Returns the store's answer to `operation` with these entries.
std::string store_body(ports::kv_operation const& operation,
                       std::vector<entry> const& entries,
                       std::uint64_t revision)
{
    std::string items;
    for (auto const& item : entries)
    {
        ++revision;
        items += items.empty() ? "" : ",";
        items += R"({"key":)" + json_text(item.key) + R"(,"value":")" +
                 adapters::platform::to_base64(item.value) +
                 R"(","revision":)" + std::to_string(revision) +
                 R"(,"created":1,"leaseId":1})";
    }
    auto const* const name =
        std::holds_alternative<ports::kv_watch>(operation) ? "events" : "items";
    return "{\"" + std::string(name) + "\":[" + items +
           R"(],"hasMore":false,"atRevision":)" + std::to_string(revision) +
           "}";
}

/// Follows a prefix of a store whose entries the test gives, through the codec
/// of the store's answers.
class store_reader
{
public:
    pool::outbox& out()
    {
        return out_;
    }

    /// Answers the pending call with these entries.
    void answer(core::common::time_point now, std::vector<entry> const& entries)
    {
        collect();
        ASSERT_TRUE(call_.has_value());
        core::common::failure reason;
        auto reply = platform::decode_kv_reply(
            call_->operation,
            {200, {}, store_body(call_->operation, entries, revision_)},
            reason);
        ASSERT_EQ(reply.status, ports::kv_status::done) << to_string(reason);
        EXPECT_EQ(reply.items.size(), entries.size());
        revision_ += entries.size();
        reply.id = call_->id;
        call_.reset();
        out_.on_kv_reply(now, reply);
        collect();
    }

    bool is_watching()
    {
        collect();
        return call_ &&
               std::holds_alternative<ports::kv_watch>(call_->operation);
    }

    std::size_t lines(std::string_view event)
    {
        collect();
        return static_cast<std::size_t>(
            std::count(events_.begin(), events_.end(), event));
    }

private:
    void collect()
    {
        for (auto& action : out_.take_actions())
        {
            if (auto* const call = std::get_if<ports::kv_call>(&action))
            {
                call_ = std::move(*call);
            }
            if (auto* const line = std::get_if<ports::log_event>(&action))
            {
                events_.push_back(std::move(line->event));
            }
        }
    }

    pool::outbox out_;
    std::optional<ports::kv_call> call_;
    std::vector<std::string> events_;
    std::uint64_t revision_ = 10;
};

/// The list of workers and the fleet that it fills.
class list_follower
{
public:
    list_follower()
        : list_({},
                records_,
                reader_.out(),
                [this](core::common::time_point,
                       pool::worker_changes const& changes)
                {
                    apply(changes);
                })
    {
        list_.tick(now_);
    }

    void answer(std::vector<entry> const& entries)
    {
        reader_.answer(now_, entries);
    }

    /// Waits for the next watch and answers it.
    void change(std::vector<entry> const& entries)
    {
        now_ += 500ms;
        list_.tick(now_);
        ASSERT_TRUE(reader_.is_watching());
        answer(entries);
    }

    bool uses(std::string const& id)
    {
        auto const* const found = fleet_.find(id);
        return found != nullptr && found->listed;
    }

    std::size_t used_count()
    {
        std::size_t count = 0;
        for (auto const& [id, worker] : fleet_.all())
        {
            count += worker.listed ? 1 : 0;
        }
        return count;
    }

    std::size_t ignored_lines()
    {
        return reader_.lines("worker_entry_ignored");
    }

private:
    void apply(pool::worker_changes const& changes)
    {
        fleet_.take_list(changes);
        for (auto const& info : changes.present)
        {
            // The owner looks each of them up.
            EXPECT_NE(fleet_.find(info.id), nullptr) << info.id;
        }
    }

    core::common::time_point now_{1h};
    pool::platform_records records_ = platform::make_platform_records();
    store_reader reader_;
    pool::fleet fleet_{{}};
    pool::worker_list list_;
};

/// The operators' records as an instance follows them.
class operators_follower
{
public:
    operators_follower() : operators_({}, records_, reader_.out(), times_)
    {
        operators_.start(now_);
    }

    void answer(std::vector<entry> const& entries)
    {
        now_ += 100ms;
        operators_.tick(now_);
        reader_.answer(now_, entries);
    }

    pool::operator_state const& state() const
    {
        return operators_.state();
    }

    std::size_t ignored_lines()
    {
        return reader_.lines("operator_entry_ignored");
    }

private:
    core::common::time_point now_{1h};
    pool::platform_records records_ = platform::make_platform_records();
    store_reader reader_;
    pool::revision_times times_;
    pool::operator_follower operators_;
};

entry config(std::string value)
{
    return {"op/config", std::move(value)};
}

std::string config_with(std::string const& version,
                        std::string const& queue,
                        std::string const& service = "")
{
    return "{\"version\":" + version + R"(,"routes":[{"name":"r")" + queue +
           R"(}],"services":[{"name":"s")" + service + "}]}";
}

std::vector<std::string> odd_configs()
{
    std::vector<std::string> rows;
    for (std::string const number : {"1e999",
                                     "9223372036854775808",
                                     "18446744073709551616",
                                     "-1",
                                     "1.5",
                                     "\"7\"",
                                     "null",
                                     "[]"})
    {
        rows.push_back(config_with(number, ""));
        for (std::string const name :
             {"priority", "attempts", "targetDurationMs"})
        {
            auto member = ",\"" + name + "\":";
            member += number;
            rows.push_back(config_with("9", member));
        }
    }
    for (std::string const number : {"1e999", "-1", "9223372036854775808"})
    {
        rows.push_back(config_with("9", ",\"stretch\":" + number));
        rows.push_back(
            config_with("9", ",\"advice\":{\"decisionMs\":" + number + "}"));
    }
    for (std::size_t const depth : {33, 1000, 100'000})
    {
        rows.push_back(nested(depth));
        rows.push_back(config_with("9", ",\"host\":" + nested(depth)));
        rows.push_back(config_with("9", "", ",\"standby\":" + nested(depth)));
    }
    rows.push_back(config_with("9", ",\"host\":\"\xff\""));
    rows.push_back(config_with("9", "", ",\"standby\":7"));
    rows.push_back(R"({"version":9,"routes":[7]})");
    rows.push_back(R"({"version":9,"routes":7})");
    rows.push_back("");
    rows.push_back("\xff\xfe");
    return rows;
}

} // namespace

// Guards against an odd entry that ends the process or hides the good workers
// when the whole list is read.
TEST(odd_worker_entries, in_a_snapshot_name_no_worker_and_the_others_hold)
{
    for (auto const& odd : odd_workers())
    {
        list_follower follower;
        follower.answer({worker_entry("i-a", good_worker()),
                         odd.content,
                         worker_entry("i-z", good_worker())});
        EXPECT_TRUE(follower.uses("i-a") && follower.uses("i-z")) << odd.name;
        EXPECT_EQ(follower.used_count(), 2U) << odd.name;
        EXPECT_EQ(follower.ignored_lines(), 1U) << odd.name;
        follower.change({worker_entry("i-b", good_worker())});
        EXPECT_EQ(follower.used_count(), 3U) << odd.name;
    }
}

// Guards against an odd entry that ends the process or stops the list when it
// is written later.
TEST(odd_worker_entries, in_a_change_name_no_worker_and_the_others_hold)
{
    for (auto const& odd : odd_workers())
    {
        list_follower follower;
        follower.answer({worker_entry("i-a", good_worker())});
        follower.change({odd.content, worker_entry("i-z", good_worker())});
        EXPECT_TRUE(follower.uses("i-a") && follower.uses("i-z")) << odd.name;
        EXPECT_EQ(follower.used_count(), 2U) << odd.name;
        EXPECT_EQ(follower.ignored_lines(), 1U) << odd.name;
        follower.change({worker_entry("i-b", good_worker())});
        EXPECT_EQ(follower.used_count(), 3U) << odd.name;
    }
}

// Guards against a worker that is not used again after its entry was odd for a
// while.
TEST(odd_worker_entries, good_worker_turns_odd_and_good_again)
{
    auto const id = std::string(odd_id);
    list_follower follower;
    follower.answer(
        {worker_entry("i-a", good_worker()), worker_entry(id, good_worker())});
    EXPECT_EQ(follower.used_count(), 2U);
    follower.change({worker_entry(id, worker_with("seq", "1e999"))});
    EXPECT_FALSE(follower.uses(id));
    follower.change({worker_entry(id, good_worker())});
    EXPECT_TRUE(follower.uses(id));
    follower.change({worker_entry(id, nested(1000)),
                     worker_entry(id, good_worker()),
                     worker_entry("i-a", good_worker())});
    EXPECT_EQ(follower.used_count(), 2U);
    follower.change(
        {worker_entry(id, good_worker()), worker_entry(id, nested(1000))});
    EXPECT_FALSE(follower.uses(id));
    EXPECT_TRUE(follower.uses("i-a"));
}

// Guards against two entries of one id in an answer that count as two workers.
TEST(odd_worker_entries, an_id_listed_twice_is_one_worker)
{
    auto const twice = [](list_follower& follower, auto const& give)
    {
        give({worker_entry("i-a", good_worker()),
              worker_entry("i-a", good_worker()),
              worker_entry("i-b", good_worker())});
        EXPECT_EQ(follower.used_count(), 2U);
        EXPECT_TRUE(follower.uses("i-a"));
    };
    list_follower follower;
    twice(follower,
          [&follower](std::vector<entry> const& entries)
          {
              follower.answer(entries);
          });
    twice(follower,
          [&follower](std::vector<entry> const& entries)
          {
              follower.change(entries);
          });
}

// Guards against a log line for each heartbeat of another writer, which hides
// all other lines.
TEST(odd_worker_entries, are_logged_once_for_each_cause_and_key)
{
    list_follower follower;
    follower.answer({worker_entry("i-a", good_worker()),
                     worker_entry(odd_id, worker_with("seq", "-1"))});
    EXPECT_EQ(follower.ignored_lines(), 1U);
    for (int seq = 2; seq < 100; ++seq)
    {
        // The wrong value differs each time; the cause is the same.
        follower.change({worker_entry(
            odd_id, worker_with("seq", "-" + std::to_string(seq)))});
    }
    EXPECT_EQ(follower.ignored_lines(), 1U);
    follower.change({worker_entry(odd_id, worker_with("slots", "-1"))});
    EXPECT_EQ(follower.ignored_lines(), 2U);
    follower.change({worker_entry("i-other", worker_with("slots", "-1"))});
    EXPECT_EQ(follower.ignored_lines(), 3U);
    for (int beat = 0; beat < 100; ++beat)
    {
        follower.change({worker_entry(odd_id, worker_with("slots", "-1")),
                         worker_entry("i-other", worker_with("slots", "-1"))});
    }
    EXPECT_EQ(follower.ignored_lines(), 3U);
}

// Guards against a manifest of another form that ends the process or replaces
// the one in force.
TEST(odd_operator_entries, leave_the_manifest_in_force)
{
    for (auto const& odd : odd_configs())
    {
        operators_follower follower;
        follower.answer(
            {config(config_with("7", "")), {"op/evacuate/zone", "e30="}});
        ASSERT_EQ(follower.state().config.version, 7U);
        follower.answer({config(odd)});
        EXPECT_EQ(follower.state().config.version, 7U) << odd.substr(0, 200);
        EXPECT_EQ(follower.ignored_lines(), 1U) << odd.substr(0, 200);
        follower.answer({config(odd), {"op/evacuate/other", ""}});
        EXPECT_EQ(follower.ignored_lines(), 1U) << odd.substr(0, 200);
        EXPECT_EQ(follower.state().data_centres_out.size(), 2U);
        follower.answer({config(config_with("10", ""))});
        EXPECT_EQ(follower.state().config.version, 10U) << odd.substr(0, 200);
    }
}

// Guards against keys of another form under the operators' prefix that end the
// process or stop the reading of the others.
TEST(odd_operator_entries, under_other_keys_change_nothing_else)
{
    operators_follower follower;
    follower.answer({config(config_with("7", "")),
                     {"op/", nested(1000)},
                     {"op/config/more", config_with("8", "")},
                     {"op/evacuate", ""},
                     {"op/evacuate/", "\xff"},
                     {"op/evacuate/\xff", ""},
                     {"op/evacuate/" + std::string(1'000'000, 'z'), ""},
                     {"op/wave", nested(100'000)},
                     {"op/wave/1", R"({"at":1e999})"},
                     {"op/evacuate/zone", nested(1000)}});
    EXPECT_EQ(follower.state().config.version, 7U);
    EXPECT_TRUE(follower.state().data_centres_out.contains("zone"));
    follower.answer({config(config_with("9", ""))});
    EXPECT_EQ(follower.state().config.version, 9U);
}
