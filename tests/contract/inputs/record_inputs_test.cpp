#include "core/pool/claim_holder.hpp"
#include "core/pool/progress.hpp"
#include "core/pool/roster.hpp"

#include <gtest/gtest.h>
#include <string>

// Malformed records of the pool that were accepted in the past.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;
using core::common::result_code;

} // namespace

// The number of a failed attempt overflowed, or was the last one that a task
// can have.
TEST(record_inputs, progress_with_tasks_or_attempts_out_of_range_is_rejected)
{
    for (auto const* invalid : {"[4294967296,0,0,1,[],\"\"]",
                                "[0,4294967296,0,1,[],\"\"]",
                                "[0,0,4294967296,1,[],\"\"]",
                                "[0,0,0,0,[4294967295],\"\"]",
                                "[0,0,0,0,[4294967297],\"\"]"})
    {
        failure reason;
        EXPECT_FALSE(core::pool::parse_progress(
            R"({"job":"a","tasks":[)" + std::string(invalid) + "]}", reason))
            << invalid;
    }
}

// Cells of a wrong type terminated the process, and a port number overflowed to
// another port.
TEST(record_inputs, malformed_rows_of_the_roster_are_skipped)
{
    failure reason;
    auto const workers = core::pool::parse_roster(
        R"({"workers":[[7,"s","10.0.0.1",80],["a",7,"10.0.0.1",80],)"
        R"(["b","s",7,80],["c","s","10.0.0.1",65616],["d","s","10.0.0.1",0],)"
        R"(["","s","10.0.0.1",80],["e","s","",80],["f","s","10.0.0.1",80]]})",
        reason);
    // The service of a worker does not matter to the clients of the roster.
    ASSERT_EQ(workers.size(), 2U);
    EXPECT_EQ(workers.front().id, "a");
    EXPECT_EQ(workers.back().id, "f");
    EXPECT_EQ(reason.code, result_code::wrong_type);
    failure malformed_list;
    EXPECT_TRUE(
        core::pool::parse_roster(R"({"workers":7})", malformed_list).empty());
    EXPECT_EQ(malformed_list.code, result_code::wrong_type);
}

// A successor that takes fewer workers for silent than it was told waits
// longer, but one that fails to read the roster would wait for none.
TEST(record_inputs, malformed_silent_workers_of_the_roster_are_ignored)
{
    EXPECT_TRUE(core::pool::parse_silent_workers("").empty());
    EXPECT_TRUE(core::pool::parse_silent_workers(R"({"silent":7})").empty());
    std::set<std::string> const expected{"a"};
    EXPECT_EQ(core::pool::parse_silent_workers(R"({"silent":[7,"a",[]]})"),
              expected);
    EXPECT_TRUE(core::pool::parse_long_leases(
                    R"({"long_leases":{"a":-1,"b":"x","c":1e999,"d":0}})")
                    .empty());
    EXPECT_TRUE(core::pool::parse_long_leases(R"({"long_leases":[]})").empty());
}

// Guards against a roster that loses what a successor has to know of restarted
// workers.
TEST(record_inputs, roster_keeps_incarnations_and_long_leases)
{
    core::pool::fleet workers({});
    for (auto const* const id : {"a", "b"})
    {
        ports::pool_worker info;
        info.id = id;
        info.remote_endpoint = {"10.0.0.1", 80};
        workers.add_rostered(info);
    }
    core::pool::roster_ids ids;
    ids.workers = {"a", "b"};
    ids.incarnations = {{"b", 1790454954831}};
    ids.long_leases = {{"b", std::chrono::seconds(7)}};
    auto const text = core::pool::to_json(workers, ids);
    failure reason;
    auto const rows = core::pool::parse_roster(text, reason);
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_EQ(rows.front().incarnation, 0U);
    EXPECT_EQ(rows.back().incarnation, 1790454954831U);
    EXPECT_EQ(core::pool::parse_long_leases(text), ids.long_leases);
    EXPECT_EQ(reason.code, result_code::ok);
}

// Guards against a roster of an earlier version, or with odd incarnations,
// whose workers would not be polled.
TEST(record_inputs, roster_without_readable_incarnations_keeps_its_workers)
{
    for (auto const* const incarnations : {"",
                                           R"(,"incarnations":7)",
                                           R"(,"incarnations":[])",
                                           R"(,"incarnations":["x"])",
                                           R"(,"incarnations":[-1])",
                                           R"(,"incarnations":[1e999])"})
    {
        failure reason;
        auto const rows =
            core::pool::parse_roster(R"({"workers":[["a","s","10.0.0.1",80]])" +
                                         std::string(incarnations) + "}",
                                     reason);
        ASSERT_EQ(rows.size(), 1U) << incarnations;
        EXPECT_EQ(rows.front().incarnation, 0U) << incarnations;
    }
}

// A holder of infinite size would delay the claims of all other instances.
TEST(record_inputs, claim_holder_with_an_invalid_size_is_rejected)
{
    for (auto const* invalid : {"0", "-1", "1e300", "1e999", "\"1\""})
    {
        failure reason;
        EXPECT_FALSE(core::pool::parse_claim_holder(
            R"({"instance":"a","size":)" + std::string(invalid) + "}", reason))
            << invalid;
    }
}

} // namespace fuchsia::tests::contract::inputs
