#include "platform/policy_codec.hpp"

#include <gtest/gtest.h>
#include <string>

// Odd answers of the policy service that were believed once.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;

} // namespace

// A validity that is no whole number ended the process.
TEST(advice_inputs, advice_is_valid_for_a_time_or_is_none)
{
    for (auto const* bad : {"1e300",
                            "0.5",
                            "-1",
                            "18446744073709551615",
                            "9223372036854775807",
                            "\"3\"",
                            "null"})
    {
        failure reason;
        EXPECT_FALSE(
            platform::decode_policy_reply(
                {200,
                 {},
                 R"({"allowed":[],"validMs":)" + std::string(bad) + "}"},
                reason)
                .answered)
            << bad;
        EXPECT_FALSE(reason.where.empty()) << bad;
    }
}

} // namespace fuchsia::tests::contract::inputs
