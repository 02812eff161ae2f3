#include "contract/inputs/parser_robustness.hpp"

#include "contract/inputs/input_mutator.hpp"

#include <boost/json.hpp>
#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <gtest/gtest.h>

namespace fuchsia::tests::contract::inputs
{

namespace
{

constexpr std::uint64_t default_cases = 1000;
constexpr std::size_t most_shown = 600;

std::uint64_t case_count()
{
    auto const* const set = std::getenv("FUCHSIA_INPUT_CASES");
    std::string_view const text = set == nullptr ? "" : set;
    auto count = default_cases;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return count;
}

std::string fault_of(input_check const& check, std::string const& input)
{
    try
    {
        return check(input);
    }
    catch (std::exception const& error)
    {
        return std::string("it threw: ") + error.what();
    }
}

std::string shown(std::string const& input)
{
    return testing::PrintToString(input.substr(0, most_shown)) + " of " +
           std::to_string(input.size()) + " bytes";
}

} // namespace

void expect_robust_parser(std::vector<std::string> const& samples,
                          input_check const& check)
{
    for (auto const& sample : samples)
    {
        ASSERT_EQ(fault_of(check, sample), "") << shown(sample);
    }
    auto const cases = case_count();
    for (std::uint64_t seed = 1; seed <= cases; ++seed)
    {
        input_mutator mutator(seed);
        auto const input = mutator.mutated(samples[seed % samples.size()]);
        ASSERT_EQ(fault_of(check, input), "")
            << "seed " << seed << ": " << shown(input);
    }
}

} // namespace fuchsia::tests::contract::inputs
