#include "platform/kv_codec.hpp"

#include <gtest/gtest.h>
#include <string>

// Odd answers of the store that were believed once.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;
using core::common::result_code;

ports::kv_status said_of(ports::kv_operation const& asked,
                         std::string const& body)
{
    failure reason;
    auto const made = platform::decode_kv_reply(asked, {200, {}, body}, reason);
    EXPECT_EQ(made.status == ports::kv_status::unclear,
              reason.code != result_code::ok)
        << body;
    return made.status;
}

} // namespace

// Answers of the store that lack what their call returns were taken as whole:
// a page counted as the last one, and an item without a key ended the process.
TEST(store_inputs, a_page_of_the_store_is_whole_or_unclear)
{
    ports::kv_range const asked{"servers/", ""};
    auto const page = [](std::string const& item, std::string const& rest)
    {
        return R"({"items":[)" + item + "]," + rest + "}";
    };
    std::string const good = R"({"key":"servers/a","value":"","revision":7})";
    EXPECT_EQ(said_of(asked, page(good, R"("atRevision":9,"hasMore":true)")),
              ports::kv_status::done);
    EXPECT_EQ(said_of(asked, page("", R"("atRevision":9,"hasMore":false)")),
              ports::kv_status::done);
    for (auto const& bad :
         {page(good, R"("hasMore":false)"),
          page(good, R"("atRevision":"9","hasMore":false)"),
          page(good, R"("atRevision":-9,"hasMore":false)"),
          page(good, R"("atRevision":9,"hasMore":1)"),
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
        EXPECT_EQ(said_of(asked, bad), ports::kv_status::unclear) << bad;
    }
}

// A page that was answered again and again was read for ever, and the owner
// never came to schedule.
TEST(store_inputs, a_page_brings_its_reader_forward)
{
    std::string const page =
        R"({"items":[{"key":"pool/b","revision":7}],"atRevision":9,)"
        R"("hasMore":true})";
    using ports::kv_status;
    EXPECT_EQ(said_of(ports::kv_range{"pool/", ""}, page), kv_status::done);
    EXPECT_EQ(said_of(ports::kv_range{"pool/", "pool/a"}, page),
              kv_status::done);
    EXPECT_EQ(said_of(ports::kv_range{"pool/", "pool/b"}, page),
              kv_status::unclear);
    EXPECT_EQ(said_of(ports::kv_range{"pool/", "pool/c"}, page),
              kv_status::unclear);
}

// A page that ended with another writer's odd key made the next call one that
// no server reads, and the list of workers was never read to its end.
TEST(store_inputs, odd_keys_are_escaped_in_calls)
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

// The same of the other calls.
TEST(store_inputs, an_answer_of_the_store_holds_what_its_call_returns)
{
    using ports::kv_status;
    ports::kv_watch const watch{"pool/", 3, {}};
    EXPECT_EQ(said_of(watch, R"({"events":[],"atRevision":9})"),
              kv_status::done);
    EXPECT_EQ(said_of(watch,
                      R"({"events":[{"revision":9,"deleted":true}],)"
                      R"("atRevision":9})"),
              kv_status::unclear);
    EXPECT_EQ(said_of(watch, R"({"events":[]})"), kv_status::unclear);
    EXPECT_EQ(said_of(watch, R"({"atRevision":9})"), kv_status::unclear);
    ports::kv_read const read{"roster", false};
    EXPECT_EQ(said_of(read, R"({"key":"roster","revision":3,"atRevision":9})"),
              kv_status::done);
    EXPECT_EQ(said_of(read, R"({"key":"backlog","revision":3,"atRevision":9})"),
              kv_status::unclear);
    EXPECT_EQ(said_of(read, R"({"atRevision":9})"), kv_status::unclear);
    EXPECT_EQ(said_of(read, ""), kv_status::unclear);
    EXPECT_EQ(said_of(ports::kv_commit{}, R"({"revision":9})"),
              kv_status::done);
    EXPECT_EQ(said_of(ports::kv_commit{}, "{}"), kv_status::unclear);
    EXPECT_EQ(said_of(ports::kv_lease_grant{}, R"({"leaseId":9})"),
              kv_status::done);
    EXPECT_EQ(said_of(ports::kv_lease_grant{}, "{}"), kv_status::unclear);
    EXPECT_EQ(said_of(ports::kv_lease_renew{1}, "{}"), kv_status::done);
}

} // namespace fuchsia::tests::contract::inputs
