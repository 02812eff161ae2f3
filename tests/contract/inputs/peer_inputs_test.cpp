#include "adapters/peer/codec.hpp"
#include "peer_generated.h"

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

} // namespace fuchsia::tests::contract::inputs
