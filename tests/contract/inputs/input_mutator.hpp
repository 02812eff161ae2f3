#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace fuchsia::tests::contract::inputs
{

/// Damages valid messages, the same way for the same seed: their bytes, or,
/// where they are JSON, their values, members and rows.
class input_mutator
{
public:
    explicit input_mutator(std::uint64_t seed);

    /// A copy of `sample` with one to three damages.
    std::string mutated(std::string_view sample);

private:
    std::size_t below(std::size_t bound);
    std::string damage_bytes(std::string text);
    /// Empty where `text` is no JSON.
    std::string damage_values(std::string_view text);

    std::mt19937_64 random_;
};

} // namespace fuchsia::tests::contract::inputs
