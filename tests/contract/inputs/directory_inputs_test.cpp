#include "platform/platform_records.hpp"

#include <array>
#include <gtest/gtest.h>
#include <string>
#include <string_view>

// Malformed records of workers and operators that were accepted in the past.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;

constexpr std::array<std::string_view, 10> worker_fields{
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

// Returns a worker's record with one field replaced; an empty replacement omits
// the field, and an index beyond the last field changes nothing.
std::string make_entry(std::size_t field, std::string_view replacement)
{
    std::string result;
    for (std::size_t index = 0; index < worker_fields.size(); ++index)
    {
        auto const text = index == field ? replacement : worker_fields[index];
        result += result.empty() || text.empty() ? "" : ",";
        result += text;
    }
    return "{" + result + "}";
}

bool is_worker(std::string const& key, std::string const& value)
{
    failure reason;
    ports::kv_item item;
    item.key = key;
    item.value = value;
    bool const is_accepted =
        platform::make_platform_records().read_worker(item, reason).has_value();
    EXPECT_TRUE(is_accepted || !reason.where.empty()) << value;
    return is_accepted;
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

// An incomplete record that another writer had put under a worker's key was
// accepted with its readable fields: without capacity or with wrong labels.
TEST(directory_inputs, record_with_a_missing_or_invalid_field_is_rejected)
{
    EXPECT_TRUE(is_worker("servers/i-1", make_entry(99, "")));
    for (std::size_t field = 0; field < worker_fields.size(); ++field)
    {
        EXPECT_FALSE(is_worker("servers/i-1", make_entry(field, "")))
            << worker_fields[field];
        auto const name =
            worker_fields[field].substr(0, worker_fields[field].find(':') + 1);
        for (auto const* invalid :
             {"null", "true", "[[]]", "-1", "1e300", "\"\""})
        {
            EXPECT_FALSE(is_worker(
                "servers/i-1", make_entry(field, std::string(name) + invalid)))
                << name << invalid;
        }
    }
}

// A capacity of a wrong type was read as 0, and one out of range was accepted.
TEST(directory_inputs, record_with_an_invalid_capacity_is_rejected)
{
    constexpr std::size_t capacity = 7;
    for (auto const* invalid : {R"({"cpu":"16000","memMb":1})",
                                R"({"cpu":-1,"memMb":1})",
                                R"({"cpu":0.5,"memMb":1})",
                                R"({"cpu":4503599627370496,"memMb":1})",
                                R"({"cpu":1,"memMb":1,"gpu":[]})"})
    {
        EXPECT_FALSE(is_worker(
            "servers/i-1",
            make_entry(capacity, R"("capacity":)" + std::string(invalid))))
            << invalid;
    }
}

// A key outside the prefix of workers terminated the process.
TEST(directory_inputs, record_under_a_foreign_key_is_rejected)
{
    for (auto const* key : {"", "serv", "servers/", "op/config/long enough"})
    {
        EXPECT_FALSE(is_worker(key, make_entry(99, ""))) << key;
    }
}

// The id is sent in a header of each call to the worker. An id with a line
// break allowed its writer to inject headers into these calls.
TEST(directory_inputs, worker_id_with_invisible_characters_is_rejected)
{
    EXPECT_TRUE(is_worker("servers/i-7f3a.b_1:2", make_entry(99, "")));
    for (auto const& id : {std::string("a b"),
                           std::string("a\r\nFuchsialanding-Fence-Token: 9"),
                           std::string("a\x7f"),
                           std::string("a\xc3\xa4"),
                           std::string("a\0b", 3),
                           std::string(201, 'a')})
    {
        EXPECT_FALSE(is_worker("servers/" + id, make_entry(99, ""))) << id;
    }
}

// A configuration without a version number was accepted, and no later one was
// applied.
TEST(directory_inputs, configuration_without_a_version_is_rejected)
{
    EXPECT_TRUE(is_configuration(R"({"version":1})"));
    EXPECT_FALSE(is_configuration("{}"));
    EXPECT_FALSE(is_configuration(R"({"version":null})"));
}

// Malformed durations of a policy were read as 0.
TEST(directory_inputs,
     configuration_with_an_invalid_policy_duration_is_rejected)
{
    auto const make_configuration = [](std::string const& advice)
    {
        return R"({"version":1,"routes":[{"name":"r","advice":)" + advice +
               "}]}";
    };
    EXPECT_TRUE(is_configuration(make_configuration(R"({"decisionMs":300})")));
    EXPECT_FALSE(
        is_configuration(make_configuration(R"({"decisionMs":"300"})")));
    EXPECT_FALSE(is_configuration(make_configuration(R"({"perWorkerMs":-1})")));
    EXPECT_FALSE(
        is_configuration(make_configuration(R"({"decisionMs":1e300})")));
}

} // namespace fuchsia::tests::contract::inputs
