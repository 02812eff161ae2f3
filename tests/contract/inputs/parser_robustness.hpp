#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::tests::contract::inputs
{

/// Parses an input and returns a description of the parser's fault; empty if
/// there is none.
using input_check = std::function<std::string(std::string const& input)>;

/// Calls `check` with every sample and then with mutated ones. The test fails
/// at the first input for which `check` returns a fault or throws. The number
/// of mutated inputs is 1,000 or the value of FUCHSIA_INPUT_CASES.
void expect_robust_parser(std::vector<std::string> const& samples,
                          input_check const& check);

} // namespace fuchsia::tests::contract::inputs
