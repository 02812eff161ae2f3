#include "platform/platform_records.hpp"

#include <array>
#include <gtest/gtest.h>
#include <string>
#include <string_view>

// Odd entries of workers and operators that were used once.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;

constexpr std::array<std::string_view, 10> fields_of_a_worker{
    R"("service":"s")",
    R"("address":"10.0.0.9:8080")",
    R"("zone":"a")",
    R"("version":"v1")",
    R"("slots":8)",
    R"("state":"ready")",
    R"("coldRemainingMs":0)",
    R"("capacity":{"cpu":16000,"memMb":32768})",
    R"("labels":["k","r1-3"])",
    R"("seq":4)"};

// The entry of a worker with one field replaced; "" leaves it out.
std::string entry_with(std::size_t field, std::string_view replaced)
{
    std::string made;
    for (std::size_t number = 0; number < fields_of_a_worker.size(); ++number)
    {
        auto const text =
            number == field ? replaced : fields_of_a_worker[number];
        made += made.empty() || text.empty() ? "" : ",";
        made += text;
    }
    return "{" + made + "}";
}

bool names_a_worker(std::string const& key, std::string const& value)
{
    failure reason;
    ports::kv_item item;
    item.key = key;
    item.value = value;
    bool const taken =
        platform::make_platform_records().read_worker(item, reason).has_value();
    EXPECT_TRUE(taken || !reason.where.empty()) << value;
    return taken;
}

bool is_configuration(std::string const& value)
{
    failure reason;
    ports::kv_item item;
    item.key = "op/config";
    item.value = value;
    return platform::make_platform_records()
        .read_operator(item, reason)
        .has_value();
}

} // namespace

// What another writer left under a worker's key was used with what was readable
// of it: without capacity, or with the wrong labels.
TEST(directory_inputs, an_entry_with_a_field_missing_names_no_worker)
{
    EXPECT_TRUE(names_a_worker("servers/i-1", entry_with(99, "")));
    for (std::size_t field = 0; field < fields_of_a_worker.size(); ++field)
    {
        EXPECT_FALSE(names_a_worker("servers/i-1", entry_with(field, "")))
            << fields_of_a_worker[field];
        auto const name = fields_of_a_worker[field].substr(
            0, fields_of_a_worker[field].find(':') + 1);
        for (auto const* odd : {"null", "true", "[[]]", "-1", "1e300", "\"\""})
        {
            EXPECT_FALSE(names_a_worker(
                "servers/i-1", entry_with(field, std::string(name) + odd)))
                << name << odd;
        }
    }
}

// A size of another type counted as none, and one beyond all bounds as it was.
TEST(directory_inputs, an_entry_with_an_odd_capacity_names_no_worker)
{
    constexpr std::size_t capacity = 7;
    for (auto const* odd : {R"({"cpu":"16000","memMb":1})",
                            R"({"cpu":-1,"memMb":1})",
                            R"({"cpu":0.5,"memMb":1})",
                            R"({"cpu":4503599627370496,"memMb":1})",
                            R"({"cpu":1,"memMb":1,"gpu":[]})"})
    {
        EXPECT_FALSE(names_a_worker(
            "servers/i-1",
            entry_with(capacity, R"("capacity":)" + std::string(odd))))
            << odd;
    }
}

// A key that is not below the prefix of workers ended the process.
TEST(directory_inputs, an_entry_under_another_key_names_no_worker)
{
    for (auto const* key : {"", "serv", "servers/", "op/config/long enough"})
    {
        EXPECT_FALSE(names_a_worker(key, entry_with(99, ""))) << key;
    }
}

// The id stands in a header of each call of the worker: with a line break in it
// whoever writes an entry wrote headers of ours.
TEST(directory_inputs, a_worker_is_named_by_visible_letters)
{
    EXPECT_TRUE(names_a_worker("servers/i-7f3a.b_1:2", entry_with(99, "")));
    for (auto const& id : {std::string("a b"),
                           std::string("a\r\nFuchsialanding-Fence-Token: 9"),
                           std::string("a\x7f"),
                           std::string("a\xc3\xa4"),
                           std::string("a\0b", 3),
                           std::string(201, 'a')})
    {
        EXPECT_FALSE(names_a_worker("servers/" + id, entry_with(99, ""))) << id;
    }
}

// A configuration without a number counted as read, and none came after it.
TEST(directory_inputs, a_configuration_has_a_version)
{
    EXPECT_TRUE(is_configuration(R"({"version":1})"));
    EXPECT_FALSE(is_configuration("{}"));
    EXPECT_FALSE(is_configuration(R"({"version":null})"));
}

// Times of a policy that can't be read counted as none.
TEST(directory_inputs, a_configuration_says_how_long_advice_takes)
{
    auto const with_advice = [](std::string const& advice)
    {
        return R"({"version":1,"routes":[{"name":"r","advice":)" + advice +
               "}]}";
    };
    EXPECT_TRUE(is_configuration(with_advice(R"({"decisionMs":300})")));
    EXPECT_FALSE(is_configuration(with_advice(R"({"decisionMs":"300"})")));
    EXPECT_FALSE(is_configuration(with_advice(R"({"perWorkerMs":-1})")));
    EXPECT_FALSE(is_configuration(with_advice(R"({"decisionMs":1e300})")));
}

} // namespace fuchsia::tests::contract::inputs
