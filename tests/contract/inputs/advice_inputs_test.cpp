#include "platform/policy_codec.hpp"

#include <gtest/gtest.h>
#include <string>

// Malformed responses of the policy service that were accepted in the past.
namespace fuchsia::tests::contract::inputs
{

namespace
{

using core::common::failure;

} // namespace

// A validity that was not an integer terminated the process.
TEST(advice_inputs, response_with_an_invalid_validity_is_rejected)
{
    for (auto const* invalid : {"1e300",
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
                 R"({"allowed":[],"validMs":)" + std::string(invalid) + "}"},
                reason)
                .answered)
            << invalid;
        EXPECT_FALSE(reason.where.empty()) << invalid;
    }
}

} // namespace fuchsia::tests::contract::inputs
