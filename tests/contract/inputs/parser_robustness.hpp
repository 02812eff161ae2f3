#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::tests::contract::inputs
{

/// What is wrong with how a parser took an input; empty: nothing.
using input_check = std::function<std::string(std::string const& input)>;

/// Gives `check` every sample as it is and then damaged ones; the test fails at
/// the first that it finds fault with or that makes it throw. Cases: 1,000, or
/// as many as FUCHSIA_INPUT_CASES says.
void expect_robust_parser(std::vector<std::string> const& samples,
                          input_check const& check);

} // namespace fuchsia::tests::contract::inputs
