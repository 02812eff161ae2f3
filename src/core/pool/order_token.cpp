#include "core/pool/order_token.hpp"

#include <algorithm>

namespace fuchsia::core::pool
{

order_token::order_token(std::uint64_t sent_before) noexcept
    : superseded_(sent_before)
{
}

// Takes the lowest token that is high enough, so that there are some left while
// the store confirms no commit.
std::uint64_t order_token::next(token_range allowed) noexcept
{
    if (is_outdated())
    {
        auto const wanted = std::max(allowed.lowest, superseded_ + 1);
        present_ = std::max(present_, std::min(wanted, allowed.highest));
    }
    return present_;
}

std::uint64_t order_token::present() const noexcept
{
    return present_;
}

bool order_token::supersede(std::uint64_t token) noexcept
{
    bool const was_outdated = is_outdated();
    superseded_ = std::max(superseded_, token);
    return is_outdated() && !was_outdated;
}

bool order_token::is_outdated() const noexcept
{
    return present_ <= superseded_;
}

bool order_token::is_above(std::uint64_t token) const noexcept
{
    return std::max(present_, superseded_) > token;
}

} // namespace fuchsia::core::pool
