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
constexpr std::size_t max_printed_bytes = 600;

std::uint64_t case_count()
{
    auto const* const variable = std::getenv("FUCHSIA_INPUT_CASES");
    std::string_view const text = variable == nullptr ? "" : variable;
    auto count = default_cases;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return count;
}

std::string find_fault(input_check const& check, std::string const& input)
{
    try
    {
        return check(input);
    }
    catch (std::exception const& error)
    {
        return std::string("the check threw: ") + error.what();
    }
}

std::string print_input(std::string const& input)
{
    return testing::PrintToString(input.substr(0, max_printed_bytes)) + " of " +
           std::to_string(input.size()) + " bytes";
}

} // namespace

void expect_robust_parser(std::vector<std::string> const& samples,
                          input_check const& check)
{
    for (auto const& sample : samples)
    {
        ASSERT_EQ(find_fault(check, sample), "") << print_input(sample);
    }
    auto const cases = case_count();
    for (std::uint64_t seed = 1; seed <= cases; ++seed)
    {
        input_mutator mutator(seed);
        auto const input = mutator.mutated(samples[seed % samples.size()]);
        ASSERT_EQ(find_fault(check, input), "")
            << "seed " << seed << ": " << print_input(input);
    }
}

} // namespace fuchsia::tests::contract::inputs
