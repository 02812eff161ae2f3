#pragma once

#include <cstdint>

namespace fuchsia::core::pool
{

/// The fencing tokens that an owner may send: from its epoch to the revision of
/// its last commit. A successor's epoch is above all of them, because each
/// commit has the claim's key as a precondition.
struct token_range
{
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
};

/// The fencing token of an owner's orders to one worker. A worker obeys no
/// order with a lower token than the highest that its present incarnation has
/// received, so a higher token makes it refuse the orders that are still on
/// their way.
class order_token
{
public:
    order_token() = default;
    /// Tokens up to `sent_before` may have been sent to the worker already.
    explicit order_token(std::uint64_t sent_before) noexcept;

    /// Returns the token for the next order: the present one, unless it is
    /// outdated and `allowed` has a higher one.
    std::uint64_t next(token_range allowed) noexcept;
    /// Token of the last order; 0: there was none.
    std::uint64_t present() const noexcept;
    /// Handles that an order with `token` may still be carried out, after later
    /// ones or by another incarnation. Returns whether the present token has to
    /// be replaced for it.
    bool supersede(std::uint64_t token) noexcept;
    /// Whether an order with the present token may still be carried out late.
    bool is_outdated() const noexcept;
    /// Whether this owner may have sent the worker a higher token than `token`.
    bool is_above(std::uint64_t token) const noexcept;

private:
    std::uint64_t present_ = 0;
    /// Highest token of the orders that may still be carried out late.
    std::uint64_t superseded_ = 0;
};

} // namespace fuchsia::core::pool
