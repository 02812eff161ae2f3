#include "adapters/peer/codec.hpp"
#include "peer_generated.h"

#include <chrono>
#include <gtest/gtest.h>
#include <span>

// Odd frames of peers that were believed once.
namespace fuchsia::tests::contract::inputs
{

namespace
{

// A frame that names the kind of its message and has none.
std::vector<std::uint8_t> frame_without_body(schema::message kind)
{
    flatbuffers::FlatBufferBuilder out;
    auto const from = schema::Createidentity(out, out.CreateString("a"), 1);
    auto const to = schema::Createidentity(out, out.CreateString("b"), 2);
    out.Finish(schema::Createframe(out, from, to, 0, kind, 0));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

} // namespace

// Whoever reached the port could end the process with one frame: it says what
// it holds, and holds nothing.
TEST(peer_inputs, a_frame_without_its_message_is_refused)
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

// A status that HTTP has not, or a code that the table has not, ended the
// member that passed the answer on.
TEST(peer_inputs, answers_are_what_a_caller_can_be_told)
{
    using core::common::result_code;
    auto const answered = [](ports::caller_answer const& answer)
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
    auto const says = core::common::outcome::not_run;
    EXPECT_TRUE(answered({503, {}, "", result_code::no_free_slot, says, 1s}));
    for (std::uint16_t const status : {1000, 65535})
    {
        EXPECT_FALSE(answered({status, {}, "", result_code::ok, says, 1s}))
            << status;
    }
}

} // namespace fuchsia::tests::contract::inputs
