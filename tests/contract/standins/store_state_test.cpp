#include "standins/platform/store_service.hpp"

#include <gtest/gtest.h>

namespace fuchsia::standins::platform
{

namespace
{

using namespace std::chrono_literals;
using adapters::http::request;
using adapters::http::response;

constexpr core::common::time_point start(1h);

std::uint16_t status_of(store_response const& result)
{
    auto const* sent = std::get_if<response>(&result);
    return sent == nullptr ? 0 : sent->status;
}

store_response call_store(store_service& store,
                          std::string method,
                          std::string target,
                          std::string body = {},
                          core::common::time_point now = start)
{
    request http_request{
        std::move(method), std::move(target), {}, std::move(body), {}};
    auto const parsed = parse_target(http_request.target);
    return store.handle(now, *parsed, http_request);
}

std::string cas(std::string const& key, std::uint64_t index)
{
    return R"([{"KV":{"Verb":"cas","Key":")" + key +
           R"(","Value":"aGk=","Index":)" + std::to_string(index) + "}}]";
}

} // namespace

TEST(store_state, writes_only_at_the_expected_version)
{
    struct row
    {
        std::string_view description;
        bool exists;
        std::optional<std::uint64_t> expected;
        change_status expected_status;
    };
    // Two writers that have read the same version race. Only one of them may
    // succeed.
    std::vector<row> const rows{
        {"create", false, 0, change_status::done},
        {"create what exists", true, 0, change_status::conflict},
        {"change at its version", true, 2, change_status::done},
        {"change at an old version", true, 1, change_status::conflict},
        {"change what is absent", false, 2, change_status::conflict},
        {"unconditional", true, std::nullopt, change_status::done},
    };
    for (auto const& row : rows)
    {
        store_state store;
        if (row.exists)
        {
            store.write("k", "old", std::nullopt);
        }
        auto const before = store.index();
        auto const result = store.write("k", "new", row.expected);
        EXPECT_EQ(result.status, row.expected_status) << row.description;
        bool const done = row.expected_status == change_status::done;
        EXPECT_EQ(store.index(), done ? before + 1 : before) << row.description;
    }
}

TEST(store_state, a_conflicting_erase_changes_nothing)
{
    store_state store;
    auto const written = store.write("k", "v", 0);
    EXPECT_EQ(store.erase("k", written.index + 1).status,
              change_status::conflict);
    ASSERT_NE(store.find("k"), nullptr);
    EXPECT_EQ(store.erase("k", written.index).status, change_status::done);
    EXPECT_EQ(store.find("k"), nullptr);
}

TEST(store_state, a_query_is_due_when_a_matching_key_changes_or_its_wait_ends)
{
    struct row
    {
        std::string_view description;
        std::string_view changed_key;
        core::common::duration passed;
        bool due;
    };
    std::vector<row> const rows{
        {"the key below the prefix", "a/1", 1s, true},
        {"another key", "b/1", 1s, false},
        {"nothing, in time", "", 9s, false},
        {"nothing, and the wait is over", "", 10s, true},
    };
    for (auto const& row : rows)
    {
        store_state store;
        store.write("a/1", "v", 0);
        ASSERT_TRUE(store.hold({7, "a/", true, store.index(), start + 10s}));
        if (!row.changed_key.empty())
        {
            store.write(row.changed_key, "new", std::nullopt);
        }
        auto const due = store.take_due(start + row.passed);
        EXPECT_EQ(due.size(), row.due ? 1U : 0U) << row.description;
    }
}

TEST(store_state, a_query_is_due_at_once_after_a_deletion_newer_than_its_index)
{
    // The last key below the prefix is deleted after the watcher has read the
    // list and before its query arrives. A query that waits would miss the
    // deletion.
    store_state store;
    store.write("a/1", "v", 0);
    auto const read_index = store.index();
    store.erase("a/1", std::nullopt);
    EXPECT_FALSE(store.hold({1, "a/", true, read_index, start + 10s}));
    EXPECT_TRUE(store.hold({2, "a/", true, store.index(), start + 10s}));
}

TEST(store_state, an_expired_lease_releases_its_keys)
{
    // The holder is paused for longer than its lease. Another session acquires
    // the key, and the first one can neither renew its lease nor release the
    // key.
    store_state store;
    auto const first = store.open_session(start, 10s);
    auto const second = store.open_session(start, 60s);
    ASSERT_EQ(store.acquire("lock", "1", *first).status, change_status::done);
    EXPECT_EQ(store.acquire("lock", "2", *second).status,
              change_status::conflict);
    store.take_due(start + 10s);
    EXPECT_FALSE(store.renew_session(start + 10s, *first));
    EXPECT_EQ(store.acquire("lock", "2", *second).status, change_status::done);
    EXPECT_EQ(store.release("lock", "1", *first).status,
              change_status::conflict);
    EXPECT_EQ(store.find("lock")->lock_index, 2U);
}

TEST(store_service, responds_with_the_documented_status)
{
    struct row
    {
        std::string_view description;
        std::string method;
        std::string target;
        std::string body;
        std::uint16_t status;
    };
    std::vector<row> const rows{
        {"read", "GET", "/v1/kv/k", "", 200},
        {"read what is absent", "GET", "/v1/kv/none", "", 404},
        {"list", "GET", "/v1/kv/?recurse", "", 200},
        {"list nothing", "GET", "/v1/kv/x/?recurse", "", 404},
        {"won race", "PUT", "/v1/txn", cas("k", 2), 200},
        {"lost race", "PUT", "/v1/txn", cas("k", 1), 409},
        {"no JSON", "PUT", "/v1/txn", "{", 400},
        {"two operations", "PUT", "/v1/txn", "[{},{}]", 400},
        {"unknown verb",
         "PUT",
         "/v1/txn",
         R"([{"KV":{"Verb":"set","Key":"k","Value":""}}])",
         400},
        {"no base64",
         "PUT",
         "/v1/txn",
         R"([{"KV":{"Verb":"cas","Key":"k","Value":"%%","Index":2}}])",
         400},
        {"malformed index", "GET", "/v1/kv/k?index=x", "", 400},
        {"malformed wait", "GET", "/v1/kv/k?index=9&wait=1y", "", 400},
        {"largest value", "PUT", "/v1/kv/k", std::string(1 << 20, 'v'), 200},
        {"larger value",
         "PUT",
         "/v1/kv/k",
         std::string((1 << 20) + 1, 'v'),
         413},
        {"unknown method", "PATCH", "/v1/kv/k", "", 405},
    };
    for (auto const& row : rows)
    {
        store_service store({});
        call_store(store, "PUT", "/v1/kv/k", "v");
        auto const result = call_store(store, row.method, row.target, row.body);
        EXPECT_EQ(status_of(result), row.status) << row.description;
    }
}

TEST(store_service, refuses_calls_beyond_its_rate_limits)
{
    store_service_settings settings;
    settings.reads_per_second = 10;
    settings.writes_per_second = 5;
    store_service store(settings);
    for (int call = 0; call < 20; ++call)
    {
        call_store(store, "GET", "/v1/kv/k");
        call_store(store, "PUT", "/v1/kv/k", "v");
    }
    EXPECT_EQ(store.counters().rate_limited, 25U);
    EXPECT_EQ(status_of(call_store(store, "PUT", "/v1/kv/k", "v")), 429);
    EXPECT_EQ(status_of(call_store(store, "PUT", "/v1/kv/k", "v", start + 1s)),
              200);
}

TEST(store_service, drops_responses_only_of_changes_below_the_prefix)
{
    // An overloaded store makes the change, but the connection closes before
    // the response. The caller cannot tell and must read the key.
    struct row
    {
        std::string_view description;
        std::int64_t dropped_writes;
        std::string key;
        int expected_drops;
    };
    std::vector<row> const rows{
        {"none", 0, "members/a", 0},
        {"one", 1, "members/a", 1},
        {"all", -1, "members/a", 3},
        {"elsewhere", -1, "tasks/a", 0},
    };
    for (auto const& row : rows)
    {
        store_service store({});
        store.faults().drop_responses = row.dropped_writes;
        store.faults().drop_responses_prefix = "members/";
        int drops = 0;
        for (int write = 0; write < 3; ++write)
        {
            auto const result = call_store(
                store, "PUT", "/v1/kv/" + row.key, std::to_string(write));
            drops += std::holds_alternative<dropped_response>(result) ? 1 : 0;
        }
        EXPECT_EQ(drops, row.expected_drops) << row.description;
        EXPECT_EQ(store.counters().dropped_responses,
                  static_cast<std::uint64_t>(row.expected_drops))
            << row.description;
        auto const read = call_store(store, "GET", "/v1/kv/" + row.key);
        auto const& body = std::get<response>(read).body;
        EXPECT_NE(body.find("\"Mg==\""), std::string::npos) << row.description;
    }
}

} // namespace fuchsia::standins::platform
