#include "tools/load/bench.hpp"

#include <chrono>
#include <functional>
#include <iomanip>
#include <ostream>

namespace fuchsia::tools::load
{

namespace
{

// The signature in a commit message: eight digits tell changes apart.
constexpr std::uint64_t shown_digits = 100'000'000;

void timed(std::ostream& out,
           char const* name,
           signature& all,
           std::function<void(signature&)> const& run)
{
    auto const before = all.count();
    auto const start = std::chrono::steady_clock::now();
    run(all);
    std::chrono::duration<double> const taken =
        std::chrono::steady_clock::now() - start;
    auto const decisions = all.count() - before;
    out << std::left << std::setw(10) << name << std::right << std::setw(9)
        << decisions << " decisions  " << std::fixed << std::setprecision(0)
        << std::setw(9) << static_cast<double>(decisions) / taken.count()
        << " a second\n";
}

} // namespace

int run_bench(std::ostream& out)
{
    signature all;
    timed(out, "requests", all, bench_requests);
    timed(out, "tasks", all, bench_tasks);
    out << "Bench: " << all.value() % shown_digits << '\n';
    return 0;
}

} // namespace fuchsia::tools::load
