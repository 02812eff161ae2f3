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

/// Largest frame; a longer one closes the connection. A forwarded body of
/// 1 MiB or a whole configuration fits.
constexpr std::uint32_t max_frame = 4 * 1024 * 1024;
/// Bytes of the little-endian length before each frame.
constexpr std::size_t length_size = 4;

struct frame
{
    ports::member_identity from;
    ports::member_identity to;
    std::string token; ///< Only on a connection's first frame.
    std::optional<ports::peer_message> message; ///< Absent on the first.
};

/// The frame with its length in front, ready to be written.
std::vector<std::uint8_t> encode(frame const& value);

/// Reads one frame without its length; every offset and field is checked.
std::optional<frame> decode(std::span<std::uint8_t const> bytes,
                            core::common::failure& reason);

} // namespace fuchsia::adapters::peer
