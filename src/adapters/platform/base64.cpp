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
    // The library writes up to two bytes beyond its own `decoded_size` where
    // the last group is not whole.
    constexpr std::size_t group = 4;
    if (text.size() % group != 0)
    {
        return std::nullopt;
    }
    std::string bytes(base64::decoded_size(text.size()), '\0');
    auto const [written, read] =
        base64::decode(bytes.data(), text.data(), text.size());
    // The library stops at the padding, and at anything that is no base64.
    if (text.find_first_not_of('=', read) != std::string_view::npos)
    {
        return std::nullopt;
    }
    bytes.resize(written);
    return bytes;
}

} // namespace fuchsia::adapters::platform
