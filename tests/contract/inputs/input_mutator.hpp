#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace fuchsia::tests::contract::inputs
{

/// Mutates valid messages for fuzz tests, deterministically for a seed. It
/// changes their bytes or, if they are JSON, their values, members and rows.
class input_mutator
{
public:
    explicit input_mutator(std::uint64_t seed);

    /// Returns a copy of `sample` with one to three mutations.
    std::string mutated(std::string_view sample);

private:
    std::size_t random_below(std::size_t bound);
    std::string mutate_bytes(std::string text);
    /// Returns an empty string if `text` is not JSON.
    std::string mutate_values(std::string_view text);

    std::mt19937_64 random_;
};

} // namespace fuchsia::tests::contract::inputs
