#include "platform/kv_codec.hpp"

#include <gtest/gtest.h>
#include <string>

// Malformed responses of the store that were accepted in the past.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;
using core::common::result_code;

ports::kv_status status_of(ports::kv_operation const& operation,
                           std::string const& body)
{
    failure reason;
    auto const reply =
        platform::decode_kv_reply(operation, {200, {}, body}, reason);
    EXPECT_EQ(reply.status == ports::kv_status::unclear,
              reason.code != result_code::ok)
        << body;
    return reply.status;
}

} // namespace

// Incomplete responses of the store were accepted as complete: a page counted
// as the last one, and an item without a key terminated the process.
TEST(store_inputs, incomplete_page_is_unclear)
{
    ports::kv_range const operation{"servers/", ""};
    auto const page = [](std::string const& item, std::string const& rest)
    {
        return R"({"items":[)" + item + "]," + rest + "}";
    };
    std::string const item_text =
        R"({"key":"servers/a","value":"","revision":7})";
    EXPECT_EQ(status_of(operation,
                        page(item_text, R"("atRevision":9,"hasMore":true)")),
              ports::kv_status::done);
    EXPECT_EQ(
        status_of(operation, page("", R"("atRevision":9,"hasMore":false)")),
        ports::kv_status::done);
    for (auto const& invalid :
         {page(item_text, R"("hasMore":false)"),
          page(item_text, R"("atRevision":"9","hasMore":false)"),
          page(item_text, R"("atRevision":-9,"hasMore":false)"),
          page(item_text, R"("atRevision":9,"hasMore":1)"),
          page("", R"("atRevision":9,"hasMore":true)"),
          page("7", R"("atRevision":9)"),
          page(R"({"value":"","revision":7})", R"("atRevision":9)"),
          page(R"({"key":"","revision":7})", R"("atRevision":9)"),
          page(R"({"key":"serv","revision":7})", R"("atRevision":9)"),
          page(R"({"key":"op/config","revision":7})", R"("atRevision":9)"),
          page(R"({"key":"servers/a"})", R"("atRevision":9)"),
          page(R"({"key":"servers/a","revision":-1})", R"("atRevision":9)"),
          std::string(R"({"items":{},"atRevision":9})"),
          std::string(R"({"atRevision":9})"),
          std::string("{}"),
          std::string("")})
    {
        EXPECT_EQ(status_of(operation, invalid), ports::kv_status::unclear)
            << invalid;
    }
}

// A page that the store returned repeatedly was read for ever, and the owner
// never began to schedule.
TEST(store_inputs, page_that_does_not_advance_the_read_is_unclear)
{
    std::string const page =
        R"({"items":[{"key":"pool/b","revision":7}],"atRevision":9,)"
        R"("hasMore":true})";
    using ports::kv_status;
    EXPECT_EQ(status_of(ports::kv_range{"pool/", ""}, page), kv_status::done);
    EXPECT_EQ(status_of(ports::kv_range{"pool/", "pool/a"}, page),
              kv_status::done);
    EXPECT_EQ(status_of(ports::kv_range{"pool/", "pool/b"}, page),
              kv_status::unclear);
    EXPECT_EQ(status_of(ports::kv_range{"pool/", "pool/c"}, page),
              kv_status::unclear);
}

// If the last key of a page had special characters, the next call was
// malformed, and the list of workers was never read to its end.
TEST(store_inputs, special_characters_in_keys_are_escaped)
{
    EXPECT_EQ(platform::encode(ports::kv_range{"servers/", "servers/i-1.a:b_c"})
                  .target,
              "/v1/kv-range?prefix=servers/&after=servers/i-1.a:b_c");
    EXPECT_EQ(platform::encode(ports::kv_range{"servers/", "servers/a b&c%\n"})
                  .target,
              "/v1/kv-range?prefix=servers/&after=servers/a%20b%26c%25%0A");
    EXPECT_EQ(platform::encode(ports::kv_read{"a#\xc3", false}).target,
              "/v1/kv-key?key=a%23%C3");
    EXPECT_EQ(platform::encode(ports::kv_watch{"p+", 3, {}}).target,
              "/v1/kv-watch?prefix=p%2B&after=3&waitMs=0");
}

// A response was unreadable as a whole, or an item was lost, if the value of
// one item of another program could not be decoded.
TEST(store_inputs, an_odd_value_leaves_the_other_items)
{
    for (auto const* odd : {R"("value":"***")",
                            R"("value":"e30")",
                            R"("value":7)",
                            R"("value":null)",
                            R"("value":[[[]]])",
                            R"("value":"\u0000\ufffd")",
                            R"("value":"","leaseId":1e999)",
                            R"("value":"","created":-1,"leaseId":1.5)",
                            R"("value":"","deleted":"no")",
                            R"("other":18446744073709551616)"})
    {
        auto const items =
            R"([{"key":"servers/a","value":"e30=","revision":7},)"
            R"({"key":"servers/b","revision":8,)" +
            std::string(odd) +
            R"(},{"key":"servers/c","value":"e30=","revision":9}],)"
            R"("hasMore":false,"atRevision":9})";
        for (auto const& [operation, name] :
             {std::pair<ports::kv_operation, std::string>(
                  ports::kv_range{"servers/", ""}, "items"),
              std::pair<ports::kv_operation, std::string>(
                  ports::kv_watch{"servers/", 1, {}}, "events")})
        {
            failure reason;
            auto body = "{\"" + name + "\":";
            body += items;
            auto const reply =
                platform::decode_kv_reply(operation, {200, {}, body}, reason);
            ASSERT_EQ(reply.status, ports::kv_status::done)
                << odd << to_string(reason);
            ASSERT_EQ(reply.items.size(), 3U) << odd;
            EXPECT_EQ(reply.items.front().value, "{}") << odd;
            EXPECT_EQ(reply.items.back().value, "{}") << odd;
            EXPECT_FALSE(reply.items[1].erased) << odd;
        }
    }
}

// Incomplete responses to watches, reads, commits and lease grants were
// accepted as complete, as those to range reads were.
TEST(store_inputs, incomplete_response_is_unclear)
{
    using ports::kv_status;
    ports::kv_watch const watch{"pool/", 3, {}};
    EXPECT_EQ(status_of(watch, R"({"events":[],"atRevision":9})"),
              kv_status::done);
    EXPECT_EQ(status_of(watch,
                        R"({"events":[{"revision":9,"deleted":true}],)"
                        R"("atRevision":9})"),
              kv_status::unclear);
    EXPECT_EQ(status_of(watch, R"({"events":[]})"), kv_status::unclear);
    EXPECT_EQ(status_of(watch, R"({"atRevision":9})"), kv_status::unclear);
    ports::kv_read const read{"roster", false};
    EXPECT_EQ(
        status_of(read, R"({"key":"roster","revision":3,"atRevision":9})"),
        kv_status::done);
    EXPECT_EQ(
        status_of(read, R"({"key":"backlog","revision":3,"atRevision":9})"),
        kv_status::unclear);
    EXPECT_EQ(status_of(read, R"({"atRevision":9})"), kv_status::unclear);
    EXPECT_EQ(status_of(read, ""), kv_status::unclear);
    EXPECT_EQ(status_of(ports::kv_commit{}, R"({"revision":9})"),
              kv_status::done);
    EXPECT_EQ(status_of(ports::kv_commit{}, "{}"), kv_status::unclear);
    EXPECT_EQ(status_of(ports::kv_lease_grant{}, R"({"leaseId":9})"),
              kv_status::done);
    EXPECT_EQ(status_of(ports::kv_lease_grant{}, "{}"), kv_status::unclear);
    EXPECT_EQ(status_of(ports::kv_lease_renew{1}, "{}"), kv_status::done);
}

} // namespace fuchsia::tests::contract::inputs
