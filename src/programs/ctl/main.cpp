#include "programs/ctl/command_line.hpp"
#include "programs/ctl/runner.hpp"

#include <iostream>

/// `fuchsiactl`: contracts, data centres, jobs, status and settings, for
/// operators and their scripts.
int main(int count, char** arguments)
{
    using namespace fuchsia::programs::ctl;
    auto status = exit_status::usage;
    auto const line =
        parse_command_line(count, arguments, std::cout, std::cerr, status);
    if (line)
    {
        status = run(*line, std::cout, std::cerr);
    }
    return static_cast<int>(status);
}
