#pragma once

#include "core/common/result_code.hpp"
#include "ports/peer.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fuchsia::adapters::peer
{

/// Maximum size of a frame; a longer frame closes the connection. A forwarded
/// body of 1 MiB or a complete configuration fits.
constexpr std::uint32_t max_frame_bytes = 4 * 1024 * 1024;
/// Number of bytes of the little-endian length before each frame.
constexpr std::size_t length_size = 4;

struct frame
{
    ports::member_identity from;
    ports::member_identity to;
    std::string token; ///< Set only in the first frame of a connection.
    std::optional<ports::peer_message> message; ///< Absent in the first frame.
};

/// Returns the encoded frame with its length prefix.
std::vector<std::uint8_t> encode(frame const& value);

/// Decodes one frame without its length prefix and checks every offset and
/// field. If the frame is malformed, the result is empty and `reason` is set.
std::optional<frame> decode(std::span<std::uint8_t const> bytes,
                            core::common::failure& reason);

} // namespace fuchsia::adapters::peer
