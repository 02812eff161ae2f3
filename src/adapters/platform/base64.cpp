#include "adapters/platform/base64.hpp"

#include <boost/beast/core/detail/base64.hpp>

namespace fuchsia::adapters::platform
{

namespace base64 = boost::beast::detail::base64;

std::string to_base64(std::string_view bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    // The decoder writes up to two bytes beyond its own `decoded_size` if the
    // last group is incomplete.
    constexpr std::size_t group_size = 4;
    if (text.size() % group_size != 0)
    {
        return std::nullopt;
    }
    std::string bytes(base64::decoded_size(text.size()), '\0');
    auto const [written, read] =
        base64::decode(bytes.data(), text.data(), text.size());
    // The decoder stops at the padding and at the first character that is not
    // base64; only padding may follow.
    if (text.find_first_not_of('=', read) != std::string_view::npos)
    {
        return std::nullopt;
    }
    bytes.resize(written);
    return bytes;
}

} // namespace fuchsia::adapters::platform
