#include "adapters/peer/codec.hpp"
#include "peer_generated.h"

#include <chrono>
#include <gtest/gtest.h>
#include <span>

// Tests that malformed frames from peers are refused.
namespace fuchsia::tests::contract::inputs
{

namespace
{

// Returns a frame that has a message type but no message.
std::vector<std::uint8_t> frame_without_body(schema::message kind)
{
    flatbuffers::FlatBufferBuilder out;
    auto const from = schema::Createidentity(out, out.CreateString("a"), 1);
    auto const to = schema::Createidentity(out, out.CreateString("b"), 2);
    out.Finish(schema::Createframe(out, from, to, 0, kind, 0));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

} // namespace

// If a frame with a message type but no message were accepted, anyone who can
// connect to the peer port could crash the process with a single frame.
TEST(peer_inputs, frame_without_message_is_refused)
{
    for (auto kind = static_cast<int>(schema::message_NONE) + 1;
         kind <= static_cast<int>(schema::message_MAX);
         ++kind)
    {
        core::common::failure reason;
        EXPECT_FALSE(adapters::peer::decode(
            frame_without_body(static_cast<schema::message>(kind)), reason))
            << kind;
        EXPECT_EQ(reason.code, core::common::result_code::malformed_frame);
    }
}

// An answer with an invalid HTTP status would crash the member that forwards
// it. Decoding accepts a result code that is not in the table: `row_of` returns
// the first row of the table for such a code.
TEST(peer_inputs, forwarded_answer_with_invalid_status_is_refused)
{
    using core::common::result_code;
    auto const is_accepted = [](ports::caller_answer const& answer)
    {
        auto const bytes = adapters::peer::encode(
            {{"a", 1}, {"b", 2}, "", ports::forwarded_answer{1, answer, 0, 0}});
        core::common::failure reason;
        return adapters::peer::decode(
                   std::span(bytes).subspan(adapters::peer::length_size),
                   reason)
            .has_value();
    };
    using namespace std::chrono_literals;
    auto const request_outcome = core::common::outcome::not_run;
    EXPECT_TRUE(is_accepted(
        {503, {}, "", result_code::no_free_slot, request_outcome, 1s}));
    for (std::uint16_t const status : {1000, 65535})
    {
        EXPECT_FALSE(
            is_accepted({status, {}, "", result_code::ok, request_outcome, 1s}))
            << status;
    }
}

} // namespace fuchsia::tests::contract::inputs
